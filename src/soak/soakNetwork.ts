import type { Millis } from '../clock/clock.js'
import { Reason } from '../core/coreTypes.js'
import type { IncomingCall } from '../core/nodeCore/nodeCoreTypes.js'
import type { SoakNode } from './soakNode.js'
import type { Exchange, OnResult } from './soakTypes.js'
import type { SoakWorld } from './soakWorld.js'

const LATENCY_MIN_MS: Millis = 0.2
const LATENCY_MAX_MS: Millis = 2
const CONNECT_TIMEOUT_MS: Millis = 500

/** A place on the network: a data centre and, inside it, a VM or a caller. */
export interface Place {
  readonly dataCentre: string
  readonly placeId: string
}

/** Links between places, which can be cut, silenced, and lose or repeat datagrams. */
export class SoakNetwork {
  readonly #world: SoakWorld
  readonly #cuts = new Set<string>()
  /** Places whose open connections carry nothing any more, while new ones work. */
  readonly silent = new Set<string>()

  constructor (world: SoakWorld) {
    this.#world = world
  }

  cut (a: string, b: string): void {
    this.#cuts.add([a, b].sort().join('|'))
  }

  heal (a: string, b: string): void {
    this.#cuts.delete([a, b].sort().join('|'))
  }

  isCut (from: Place, to: Place): boolean {
    return this.#has(from.placeId, to.placeId) || this.#has(from.dataCentre, to.dataCentre)
  }

  latencyMs (): Millis {
    return this.#world.between(LATENCY_MIN_MS, LATENCY_MAX_MS)
  }

  /** Sends a datagram, which may be lost, repeated or late. */
  datagram (from: Place, to: SoakNode | undefined, deliver: (node: SoakNode) => void): void {
    if (to === undefined || this.isCut(from, to.place) || this.#world.chance(0.01)) return
    const copies = this.#world.chance(0.01) ? 2 : 1
    for (let copy = 0; copy < copies; copy++) {
      const delayMs = this.#world.chance(0.01) ? this.#world.between(10, 3000) : this.latencyMs()
      this.#world.after(delayMs, () => {
        if (to.isAlive && !this.isCut(from, to.place)) to.whenAwake(() => deliver(to))
      })
    }
  }

  /** Sends a call over a connection and reports how that ended, exactly once. */
  exchange (
    from: Place, to: SoakNode | undefined, call: IncomingCall, timeoutMs: Millis, onResult: OnResult
  ): Exchange {
    return new CallExchange(this.#world, this, from, to, call, timeoutMs, onResult)
  }

  connectTimeoutMs (timeoutMs: Millis): Millis {
    return Math.min(timeoutMs, CONNECT_TIMEOUT_MS)
  }

  #has (a: string, b: string): boolean {
    return this.#cuts.size > 0 && this.#cuts.has(a < b ? `${a}|${b}` : `${b}|${a}`)
  }
}

class CallExchange implements Exchange {
  readonly #world: SoakWorld
  readonly #network: SoakNetwork
  readonly #from: Place
  readonly #to: SoakNode | undefined
  readonly #call: IncomingCall
  readonly #onResult: OnResult
  readonly #startedAtMs: Millis
  #delivered = false
  #ended = false

  constructor (
    world: SoakWorld, network: SoakNetwork, from: Place, to: SoakNode | undefined, call: IncomingCall,
    timeoutMs: Millis, onResult: OnResult
  ) {
    this.#world = world
    this.#network = network
    this.#from = from
    this.#to = to
    this.#call = call
    this.#onResult = onResult
    this.#startedAtMs = world.nowMs
    this.#start(timeoutMs)
  }

  abort (): void {
    this.#fail(Reason.CallerCancelled, true)
    this.#tellGone()
  }

  #start (timeoutMs: Millis): void {
    const to = this.#to
    if (to === undefined || !to.isAlive) {
      this.#world.after(this.#network.latencyMs(), () => this.#fail(Reason.ConnectFailed, false))
      return
    }
    const isOpen = this.#world.chance(0.5)
    if (this.#network.isCut(this.#from, to.place) && !isOpen) {
      this.#world.after(this.#network.connectTimeoutMs(timeoutMs), () => this.#fail(Reason.ConnectFailed, false))
      return
    }
    this.#world.after(timeoutMs, () => {
      this.#fail(Reason.AnswerTimeout, true)
      this.#tellGone()
    })
    this.#world.after(this.#network.latencyMs(), () => this.#deliver(to, isOpen))
  }

  #deliver (to: SoakNode, isOpen: boolean): void {
    const isSilent = isOpen && this.#network.silent.has(to.place.placeId)
    if (isSilent || this.#network.isCut(this.#from, to.place)) return
    if (!to.isAlive) {
      this.#fail(Reason.ConnectionLost, true)
      return
    }
    this.#delivered = true
    to.receive({
      call: this.#call,
      onAnswer: answer => this.#world.after(this.#network.latencyMs(), () => {
        if (!this.#network.isCut(this.#from, to.place)) this.#answered(answer)
      }),
      onDropped: () => this.#world.after(this.#network.latencyMs(), () => this.#fail(Reason.ConnectionLost, true))
    })
  }

  #answered (answer: Parameters<NonNullable<Parameters<SoakNode['receive']>[0]['onAnswer']>>[0]): void {
    if (this.#ended) return
    this.#ended = true
    this.#onResult({ kind: 'answered', ...answer, tookMs: this.#world.nowMs - this.#startedAtMs })
  }

  #fail (reason: Reason, bytesSent: boolean): void {
    if (this.#ended) return
    this.#ended = true
    this.#onResult({ kind: 'failed', reason, bytesSent, tookMs: this.#world.nowMs - this.#startedAtMs })
  }

  /** The receiver notices the closed connection, unless the link is cut. */
  #tellGone (): void {
    const to = this.#to
    if (to === undefined || !this.#delivered) return
    this.#world.after(this.#network.latencyMs(), () => {
      if (to.isAlive && !this.#network.isCut(this.#from, to.place)) to.callerGone(this.#call.callId)
    })
  }
}
