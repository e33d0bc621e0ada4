import type { Millis } from '../../clock/clock.js'
import { Outcome } from '../coreTypes.js'
import { idempotencyDefinition as idempotency } from './idempotencyDefinition.js'
import type { KeyDecision, KeySend, RequestKey } from './idempotencyTypes.js'
import type { SoakFleet, SoakNode } from './soakFleet.js'

const ATTEMPTS_COUNT = 9
const CALLER_SKEW_MS = 1_000
// A key without a timestamp is protected only within the resend window, so later sends are not simulated.
const UNTIMESTAMPED_SENDS_MS = 112_000
const ULID_ALPHABET = '0123456789ABCDEFGHJKMNPQRSTVWXYZ'
const ANSWER = { status: 200, headers: {}, body: new Uint8Array(8) }

interface SoakRequest {
  readonly key: RequestKey
  readonly hasTimestamp: boolean
  readonly createdMs: Millis
  readonly runs: Array<{ readonly nodeId: string, readonly attempt: number, readonly atMs: Millis }>
  attempt: number
  maxNotRunAttempt: number
  isDone: boolean
}

/** Counts of what happened in a run. */
export interface SoakCounts {
  keysCount: number
  sendsCount: number
  runsCount: number
  doneCount: number
  notRunCount: number
  unknownCount: number
}

/** Simulated callers that resend aggressively, and the call path through entry and owner nodes. */
export class SoakCalls {
  readonly counts: SoakCounts = {
    keysCount: 0, sendsCount: 0, runsCount: 0, doneCount: 0, notRunCount: 0, unknownCount: 0
  }

  readonly #fleet: SoakFleet
  readonly #requests: SoakRequest[] = []

  constructor (fleet: SoakFleet, startMs: Millis) {
    this.#fleet = fleet
    fleet.simulator.schedule(startMs, () => this.#scheduleArrivals())
  }

  #scheduleArrivals (): void {
    const { simulator } = this.#fleet
    this.#startRequest()
    simulator.schedule(simulator.randomInt(50, 400), () => this.#scheduleArrivals())
  }

  #startRequest (): void {
    const { simulator } = this.#fleet
    const hasTimestamp = simulator.randomBool(0.8)
    const index = this.counts.keysCount++
    const idempotencyKey = hasTimestamp ? this.#timestampedKey(index) : `order-${index}`
    const request: SoakRequest = {
      key: { callerName: 'dispatchers', serviceName: 'delivery-booking', idempotencyKey },
      hasTimestamp,
      createdMs: simulator.nowMs,
      runs: [],
      attempt: 0,
      maxNotRunAttempt: 0,
      isDone: false
    }
    this.#requests.push(request)
    this.#sendAttempt(request)
  }

  /** Number of keys that were created before a time and have not run. */
  neverRunCount (createdBeforeMs: Millis): number {
    return this.#requests.filter(request => request.createdMs < createdBeforeMs && request.runs.length === 0).length
  }

  #timestampedKey (index: number): string {
    const { simulator } = this.#fleet
    const timestampMs = simulator.clock.wallMs() + simulator.randomInt(-CALLER_SKEW_MS, CALLER_SKEW_MS)
    if (simulator.randomBool(0.5)) {
      const hex = timestampMs.toString(16).padStart(12, '0')
      return `${hex.slice(0, 8)}-${hex.slice(8)}-7000-8000-${index.toString(16).padStart(12, '0')}:invoice`
    }
    let time = ''
    for (let rest = timestampMs; time.length < 10; rest = Math.floor(rest / 32)) time = ULID_ALPHABET[rest % 32] + time
    return time + index.toString().padStart(16, '0')
  }

  #sendAttempt (request: SoakRequest): void {
    const { simulator, nodes } = this.#fleet
    const attempt = ++request.attempt
    this.counts.sendsCount++
    const entry = simulator.randomItem(nodes)
    this.#fleet.scheduleOnNode(entry, simulator.randomInt(1, 3), () => this.#receiveAtEntry(request, attempt, entry))
    if (attempt >= ATTEMPTS_COUNT) return
    simulator.schedule(this.#resendDelayMs(), () => {
      if (!request.isDone || simulator.randomBool(0.3)) this.#sendAttempt(request)
    })
  }

  #resendDelayMs (): Millis {
    const { simulator } = this.#fleet
    if (simulator.randomBool(0.3)) return simulator.randomInt(5, 200)
    return simulator.randomBool(0.8) ? simulator.randomInt(500, 4_000) : simulator.randomInt(10_000, 70_000)
  }

  #isPastResendWindow (request: SoakRequest): boolean {
    return !request.hasTimestamp && this.#fleet.simulator.nowMs - request.createdMs > UNTIMESTAMPED_SENDS_MS
  }

  #receiveAtEntry (request: SoakRequest, attempt: number, entry: SoakNode): void {
    const fleet = this.#fleet
    const ownerId = fleet.ownerUnder(entry.revisions.at(-1) ?? 0, request.key)
    if (ownerId === undefined || !fleet.canReach(entry, fleet.nodeOf(ownerId))) {
      return this.#reportOutcome(request, attempt, attempt === 1 ? Outcome.NotRun : Outcome.Unknown)
    }
    const owner = fleet.nodeOf(ownerId)
    const callId = `${entry.id}/${request.key.idempotencyKey}/${attempt}`
    fleet.send(entry, owner, false, () => this.#receiveAtOwner(request, { callId, attempt }, owner))
  }

  #createKeySend (request: SoakRequest, ids: { callId: string, attempt: number }, owner: SoakNode): KeySend {
    const ownerRevisions = this.#fleet.ownerRevisions(owner, request.key)
    const isOwner = ownerRevisions.includes(owner.revisions.at(-1) ?? 0)
    return { key: request.key, ...ids, isOwner, ownerRevisions }
  }

  #receiveAtOwner (request: SoakRequest, ids: { callId: string, attempt: number }, owner: SoakNode): void {
    if (this.#isPastResendWindow(request)) return
    const fleet = this.#fleet
    const send = this.#createKeySend(request, ids, owner)
    const decision = idempotency.admitSend(owner.db, send, fleet.simulator.nowMs, fleet.wallMsOf(owner))
    if (decision.kind === 'run') this.#enqueue(request, send, owner)
    else this.#reportDecision(request, send, decision)
  }

  /** Eviction and dispatch are separate tasks, so that a dispatch after an eviction has to detect it. */
  #enqueue (request: SoakRequest, send: KeySend, owner: SoakNode): void {
    const fleet = this.#fleet
    const { simulator } = fleet
    const waitMs = simulator.randomBool(0.95) ? simulator.randomInt(0, 300) : simulator.randomInt(300, 15_000)
    const call = { wasDispatched: false }
    if (fleet.faults.evictions && simulator.randomBool(0.15)) {
      fleet.scheduleOnNode(owner, simulator.randomInt(0, waitMs), () => {
        if (call.wasDispatched) return
        idempotency.recordRefusal(owner.db, send, simulator.nowMs)
        this.#reportOutcome(request, send.attempt, Outcome.NotRun)
      })
    }
    fleet.scheduleOnNode(owner, waitMs, () => {
      const fresh = this.#createKeySend(request, send, owner)
      const decision = idempotency.beforeDispatch(owner.db, fresh, simulator.nowMs, fleet.wallMsOf(owner))
      if (decision.kind !== 'run') return this.#reportDecision(request, send, decision)
      call.wasDispatched = true
      this.#dispatch(request, send, owner)
    })
  }

  #dispatch (request: SoakRequest, send: KeySend, owner: SoakNode): void {
    const fleet = this.#fleet
    const { simulator } = fleet
    if (fleet.faults.evictions && simulator.randomBool(0.05)) {
      idempotency.recordResult(owner.db, send, Outcome.NotRun, null, simulator.nowMs)
      return this.#reportOutcome(request, send.attempt, Outcome.NotRun)
    }
    this.#checkRun(request, send, owner)
    fleet.scheduleOnNode(owner, simulator.randomInt(5, 200), () => {
      const outcome = fleet.faults.lostMessages && simulator.randomBool(0.1) ? Outcome.Unknown : Outcome.Done
      const answer = outcome === Outcome.Done && simulator.randomBool(0.8) ? ANSWER : null
      idempotency.recordResult(owner.db, send, outcome, answer, simulator.nowMs)
      this.#reportOutcome(request, send.attempt, outcome)
    })
  }

  #checkRun (request: SoakRequest, send: KeySend, owner: SoakNode): void {
    const { simulator, violations } = this.#fleet
    this.counts.runsCount++
    const run = { nodeId: owner.id, attempt: send.attempt, atMs: simulator.nowMs }
    request.runs.push(run)
    if (request.runs.length > 1) {
      violations.push(`${simulator.nowMs} ms: ran twice: ${request.key.idempotencyKey} ${JSON.stringify(request.runs)}`)
    }
    if (send.attempt <= request.maxNotRunAttempt) {
      violations.push(`${simulator.nowMs} ms: ran after not_run of attempt ${request.maxNotRunAttempt}: ` +
        `${request.key.idempotencyKey} ${JSON.stringify(run)}`)
    }
  }

  #reportDecision (request: SoakRequest, send: KeySend, decision: Exclude<KeyDecision, { kind: 'run' }>): void {
    this.#reportOutcome(request, send.attempt, decision.kind === 'answer' ? Outcome.Done : decision.outcome)
  }

  #reportOutcome (request: SoakRequest, attempt: number, outcome: Outcome): void {
    if (outcome === Outcome.Done) {
      this.counts.doneCount++
      request.isDone = true
    }
    if (outcome === Outcome.Unknown) this.counts.unknownCount++
    if (outcome === Outcome.NotRun) this.#reportNotRun(request, attempt)
  }

  // The outcome of a first send does not cover later sends that the caller made before it got the answer.
  #reportNotRun (request: SoakRequest, attempt: number): void {
    const { simulator, violations } = this.#fleet
    this.counts.notRunCount++
    const earlier = request.runs.find(run => attempt > 1 || run.attempt <= attempt)
    if (earlier !== undefined) {
      violations.push(`${simulator.nowMs} ms: attempt ${attempt} reported not_run after a run: ` +
        `${request.key.idempotencyKey} ${JSON.stringify(earlier)}`)
    }
    request.maxNotRunAttempt = Math.max(request.maxNotRunAttempt, attempt)
  }
}
