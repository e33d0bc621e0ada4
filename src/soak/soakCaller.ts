import { v7 as uuidV7 } from 'uuid'
import type { Millis } from '../clock/clock.js'
import { Outcome } from '../core/coreTypes.js'
import type { IncomingCall, SendResult } from '../core/nodeCore/nodeCoreTypes.js'
import { CRASHING_BODY_HASH } from './soakBackend.js'
import type { SoakFleet } from './soakFleet.js'
import type { NetworkEndpoint } from './soakNetwork.js'
import { START_WALL_MS } from './soakSimulation.js'

const RESENDS_MAX_COUNT = 3
const SEND_TIMEOUT_MS: Millis = 1_500
/** After this time no send or run of a root request can happen any more, so the checks drop its record. */
const FORGET_ROOT_AFTER_MS: Millis = 400_000
const IDEMPOTENCY_KEY_RATIO = 0.5
/** Most resends follow quickly; a late one can reach restarted nodes, newer VM lists and other owner nodes. */
const LATE_RESEND_RATIO = 0.2
const LATE_RESEND_DELAY_MAX_MS: Millis = 30_000
const RESEND_DELAY_MAX_MS: Millis = 60

interface RootRequest {
  readonly rootId: string
  readonly serviceName: string
  readonly idempotencyKey: string | null
  readonly hasAttemptNumbers: boolean
  readonly bodyHash: number
}

/** A caller in one data centre that sends root requests at random intervals and resends those not done. */
export class SoakCaller {
  readonly #fleet: SoakFleet
  readonly #endpoint: NetworkEndpoint
  readonly #name: string
  readonly #clockSkewMs: Millis
  meanPeriodMs: Millis
  /** An idle caller sends no new root requests; resends go on. */
  isIdle = false
  rootsCount = 0
  readonly outcomes = { done: 0, notRun: 0, unknown: 0 }

  constructor (fleet: SoakFleet, name: string, dataCentre: string, meanPeriodMs: Millis) {
    this.#fleet = fleet
    this.#name = name
    this.#endpoint = { dataCentre, endpointId: name }
    this.meanPeriodMs = meanPeriodMs
    this.#clockSkewMs = fleet.simulation.randomBetween(-900, 900)
    this.#scheduleNext()
  }

  /** Sends one request that crashes each `schedule` backend server that runs it. */
  sendCrashing (): void {
    this.#sendRoot(CRASHING_BODY_HASH)
  }

  #scheduleNext (): void {
    const { simulation } = this.#fleet
    simulation.schedule(-Math.log(1 - simulation.random()) * this.meanPeriodMs, () => {
      if (!this.isIdle) this.#sendRoot(Math.floor(simulation.random() * 500))
      this.#scheduleNext()
    })
  }

  #sendRoot (bodyHash: number): void {
    const { simulation } = this.#fleet
    this.rootsCount += 1
    const hasIdempotencyKey = simulation.randomBool(IDEMPOTENCY_KEY_RATIO)
    const root: RootRequest = {
      rootId: this.#fleet.nextId('r'),
      serviceName: hasIdempotencyKey ? 'booking' : 'schedule',
      idempotencyKey: hasIdempotencyKey ? this.#newIdempotencyKey() : null,
      hasAttemptNumbers: simulation.randomBool(0.5),
      bodyHash
    }
    simulation.schedule(FORGET_ROOT_AFTER_MS, () => this.#fleet.checks.forgetRoot(root.rootId))
    this.#sendAttempt(root, 1)
  }

  #newIdempotencyKey (): string {
    const { simulation } = this.#fleet
    const random = Uint8Array.from({ length: 16 }, () => Math.floor(simulation.random() * 256))
    return uuidV7({ msecs: Math.floor(START_WALL_MS + simulation.nowMs + this.#clockSkewMs), random })
  }

  #sendAttempt (root: RootRequest, attempt: number): void {
    const { simulation, network, checks } = this.#fleet
    const call: IncomingCall = {
      callId: this.#fleet.nextId('c'),
      source: { kind: 'caller' },
      callerName: this.#name,
      serviceName: root.serviceName,
      method: root.idempotencyKey === null ? 'GET' : 'POST',
      path: '/',
      rootId: root.rootId,
      parentId: '',
      deadlineMs: 1_000,
      idempotencyKey: root.idempotencyKey,
      attempt: root.hasAttemptNumbers ? attempt : null,
      requestedImportance: null,
      bodyHash: root.bodyHash
    }
    checks.recordRootSend(call, simulation.nowMs)
    network.sendCall(this.#endpoint, simulation.pickRandom(this.#fleet.nodes), call, SEND_TIMEOUT_MS, result => {
      checks.checkAnswer(call, result, simulation.nowMs)
      this.#handleResult(root, attempt, result)
    })
  }

  #handleResult (root: RootRequest, attempt: number, result: SendResult): void {
    const { simulation } = this.#fleet
    const outcome = result.kind === 'answered' ? result.headers['ragwortspur-outcome'] : Outcome.Unknown
    if (outcome === Outcome.Done) {
      this.outcomes.done += 1
    } else if (attempt <= RESENDS_MAX_COUNT) {
      const delayMaxMs = simulation.randomBool(LATE_RESEND_RATIO) ? LATE_RESEND_DELAY_MAX_MS : RESEND_DELAY_MAX_MS
      simulation.schedule(simulation.randomBetween(0, delayMaxMs), () => this.#sendAttempt(root, attempt + 1))
    } else if (outcome === Outcome.NotRun) {
      this.outcomes.notRun += 1
    } else {
      this.outcomes.unknown += 1
    }
  }
}
