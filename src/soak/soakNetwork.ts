import type { Millis } from '../clock/clock.js'
import { Reason } from '../core/coreTypes.js'
import type { IncomingCall } from '../core/nodeCore/nodeCoreTypes.js'
import type { SoakNode } from './soakNode.js'
import type { Exchange, OnResult } from './soakTypes.js'
import type { SoakSimulation } from './soakSimulation.js'

const LATENCY_MIN_MS: Millis = 0.2
const LATENCY_MAX_MS: Millis = 2
const CONNECT_TIMEOUT_MS: Millis = 500

/** A network endpoint: a VM or caller in a data centre, or the platform. */
export interface NetworkEndpoint {
  readonly dataCentre: string
  readonly endpointId: string
}

/** Simulated network: links can be cut, open connections can stall, datagrams can be lost, duplicated or delayed. */
export class SoakNetwork {
  readonly #simulation: SoakSimulation
  readonly #cutLinks = new Set<string>()
  /** Endpoints whose open connections no longer deliver calls, while new connections work. */
  readonly silentEndpointIds = new Set<string>()

  constructor (simulation: SoakSimulation) {
    this.#simulation = simulation
  }

  cutLink (a: string, b: string): void {
    this.#cutLinks.add([a, b].sort().join('|'))
  }

  restoreLink (a: string, b: string): void {
    this.#cutLinks.delete([a, b].sort().join('|'))
  }

  isCut (from: NetworkEndpoint, to: NetworkEndpoint): boolean {
    return this.#isLinkCut(from.endpointId, to.endpointId) || this.#isLinkCut(from.dataCentre, to.dataCentre)
  }

  randomLatencyMs (): Millis {
    return this.#simulation.randomBetween(LATENCY_MIN_MS, LATENCY_MAX_MS)
  }

  /** Sends a datagram, which may be lost, duplicated or delayed. */
  sendDatagram (from: NetworkEndpoint, to: SoakNode | undefined, deliver: (node: SoakNode) => void): void {
    if (to === undefined || this.isCut(from, to.endpoint) || this.#simulation.randomBool(0.01)) return
    const copies = this.#simulation.randomBool(0.01) ? 2 : 1
    for (let copy = 0; copy < copies; copy++) {
      const delayMs = this.#simulation.randomBool(0.01)
        ? this.#simulation.randomBetween(10, 3000)
        : this.randomLatencyMs()
      this.#simulation.schedule(delayMs, () => {
        if (to.isAlive && !this.isCut(from, to.endpoint)) to.runWhenResumed(() => deliver(to))
      })
    }
  }

  /** Sends a call over a connection and reports its result exactly once. */
  sendCall (
    from: NetworkEndpoint, to: SoakNode | undefined, call: IncomingCall, timeoutMs: Millis, onResult: OnResult
  ): Exchange {
    return new CallExchange(this.#simulation, this, from, to, call, timeoutMs, onResult)
  }

  connectTimeoutMs (timeoutMs: Millis): Millis {
    return Math.min(timeoutMs, CONNECT_TIMEOUT_MS)
  }

  #isLinkCut (a: string, b: string): boolean {
    return this.#cutLinks.size > 0 && this.#cutLinks.has(a < b ? `${a}|${b}` : `${b}|${a}`)
  }
}

class CallExchange implements Exchange {
  readonly #simulation: SoakSimulation
  readonly #network: SoakNetwork
  readonly #from: NetworkEndpoint
  readonly #to: SoakNode | undefined
  readonly #call: IncomingCall
  readonly #onResult: OnResult
  readonly #startedAtMs: Millis
  #isDelivered = false
  #isEnded = false

  constructor (
    simulation: SoakSimulation, network: SoakNetwork, from: NetworkEndpoint, to: SoakNode | undefined,
    call: IncomingCall, timeoutMs: Millis, onResult: OnResult
  ) {
    this.#simulation = simulation
    this.#network = network
    this.#from = from
    this.#to = to
    this.#call = call
    this.#onResult = onResult
    this.#startedAtMs = simulation.nowMs
    this.#start(timeoutMs)
  }

  abort (): void {
    this.#fail(Reason.CallerCancelled, true)
    this.#notifyReceiverOfClose()
  }

  #start (timeoutMs: Millis): void {
    const to = this.#to
    if (to === undefined || !to.isAlive) {
      this.#simulation.schedule(this.#network.randomLatencyMs(), () => this.#fail(Reason.ConnectFailed, false))
      return
    }
    const usesOpenConnection = this.#simulation.randomBool(0.5)
    if (this.#network.isCut(this.#from, to.endpoint) && !usesOpenConnection) {
      this.#simulation.schedule(
        this.#network.connectTimeoutMs(timeoutMs), () => this.#fail(Reason.ConnectFailed, false))
      return
    }
    this.#simulation.schedule(timeoutMs, () => {
      this.#fail(Reason.AnswerTimeout, true)
      this.#notifyReceiverOfClose()
    })
    this.#simulation.schedule(this.#network.randomLatencyMs(), () => this.#deliver(to, usesOpenConnection))
  }

  #deliver (to: SoakNode, usesOpenConnection: boolean): void {
    const isSilent = usesOpenConnection && this.#network.silentEndpointIds.has(to.endpoint.endpointId)
    if (isSilent || this.#network.isCut(this.#from, to.endpoint)) return
    if (!to.isAlive) {
      this.#fail(Reason.ConnectionLost, true)
      return
    }
    this.#isDelivered = true
    to.receiveCall({
      call: this.#call,
      onAnswer: answer => this.#simulation.schedule(this.#network.randomLatencyMs(), () => {
        if (!this.#network.isCut(this.#from, to.endpoint)) this.#receiveAnswer(answer)
      }),
      onDropped: () => this.#simulation.schedule(
        this.#network.randomLatencyMs(), () => this.#fail(Reason.ConnectionLost, true))
    })
  }

  #receiveAnswer (answer: Parameters<NonNullable<Parameters<SoakNode['receiveCall']>[0]['onAnswer']>>[0]): void {
    if (this.#isEnded) return
    this.#isEnded = true
    this.#onResult({ kind: 'answered', ...answer, tookMs: this.#simulation.nowMs - this.#startedAtMs })
  }

  #fail (reason: Reason, bytesSent: boolean): void {
    if (this.#isEnded) return
    this.#isEnded = true
    this.#onResult({ kind: 'failed', reason, bytesSent, tookMs: this.#simulation.nowMs - this.#startedAtMs })
  }

  /** Tells the receiver that the caller closed the connection, unless the link is cut. */
  #notifyReceiverOfClose (): void {
    const to = this.#to
    if (to === undefined || !this.#isDelivered) return
    this.#simulation.schedule(this.#network.randomLatencyMs(), () => {
      if (to.isAlive && !this.#network.isCut(this.#from, to.endpoint)) to.handleCallerGone(this.#call.callId)
    })
  }
}
