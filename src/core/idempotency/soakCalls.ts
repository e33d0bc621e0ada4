import type { Millis } from '../../clock/clock.js'
import { Outcome } from '../coreTypes.js'
import { idempotencyDefinition as idempotency } from './idempotencyDefinition.js'
import type { KeyDecision, KeySend, RequestKey } from './idempotencyTypes.js'
import type { SoakFleet, SoakNode } from './soakFleet.js'

const ATTEMPTS_COUNT = 9
const CALLER_SKEW_MS = 1_000
// A key without a creation time is protected within the resend window only.
const UNLABELLED_SENDS_MS = 112_000
const ULID_ALPHABET = '0123456789ABCDEFGHJKMNPQRSTVWXYZ'
const ANSWER = { status: 200, headers: {}, body: new Uint8Array(8) }

interface SoakRequest {
  readonly key: RequestKey
  readonly labelled: boolean
  readonly bornMs: Millis
  readonly runs: Array<{ readonly nodeId: string, readonly attempt: number, readonly atMs: Millis }>
  attempt: number
  notRunAttempt: number
  isDone: boolean
}

/** What happened in a run. */
export interface SoakCounts {
  keysCount: number
  sendsCount: number
  runsCount: number
  doneCount: number
  notRunCount: number
  unknownCount: number
}

/** Callers that resend hard, and the call path through entry and owner nodes. */
export class SoakCalls {
  readonly counts: SoakCounts = {
    keysCount: 0, sendsCount: 0, runsCount: 0, doneCount: 0, notRunCount: 0, unknownCount: 0
  }

  readonly #fleet: SoakFleet
  readonly #requests: SoakRequest[] = []

  constructor (fleet: SoakFleet, startMs: Millis) {
    this.#fleet = fleet
    fleet.world.after(startMs, () => this.#arrive())
  }

  #arrive (): void {
    const { world } = this.#fleet
    this.#newRequest()
    world.after(world.between(50, 400), () => this.#arrive())
  }

  #newRequest (): void {
    const { world } = this.#fleet
    const labelled = world.chance(0.8)
    const index = this.counts.keysCount++
    const idempotencyKey = labelled ? this.#labelledKey(index) : `order-${index}`
    const request: SoakRequest = {
      key: { callerName: 'dispatchers', serviceName: 'delivery-booking', idempotencyKey },
      labelled,
      bornMs: world.nowMs,
      runs: [],
      attempt: 0,
      notRunAttempt: 0,
      isDone: false
    }
    this.#requests.push(request)
    this.#send(request)
  }

  /** Keys that came before a time and have not run. */
  neverRunCount (bornBeforeMs: Millis): number {
    return this.#requests.filter(request => request.bornMs < bornBeforeMs && request.runs.length === 0).length
  }

  #labelledKey (index: number): string {
    const { world } = this.#fleet
    const labelMs = world.clock.wallMs() + world.between(-CALLER_SKEW_MS, CALLER_SKEW_MS)
    if (world.chance(0.5)) {
      const hex = labelMs.toString(16).padStart(12, '0')
      return `${hex.slice(0, 8)}-${hex.slice(8)}-7000-8000-${index.toString(16).padStart(12, '0')}:invoice`
    }
    let time = ''
    for (let rest = labelMs; time.length < 10; rest = Math.floor(rest / 32)) time = ULID_ALPHABET[rest % 32] + time
    return time + index.toString().padStart(16, '0')
  }

  #send (request: SoakRequest): void {
    const { world, nodes } = this.#fleet
    const attempt = ++request.attempt
    this.counts.sendsCount++
    const entry = world.pick(nodes)
    this.#fleet.later(entry, world.between(1, 3), () => this.#atEntry(request, attempt, entry))
    if (attempt >= ATTEMPTS_COUNT) return
    world.after(this.#resendDelayMs(), () => {
      if (!request.isDone || world.chance(0.3)) this.#send(request)
    })
  }

  #resendDelayMs (): Millis {
    const { world } = this.#fleet
    if (world.chance(0.3)) return world.between(5, 200)
    return world.chance(0.8) ? world.between(500, 4_000) : world.between(10_000, 70_000)
  }

  #isLate (request: SoakRequest): boolean {
    return !request.labelled && this.#fleet.world.nowMs - request.bornMs > UNLABELLED_SENDS_MS
  }

  #atEntry (request: SoakRequest, attempt: number, entry: SoakNode): void {
    const fleet = this.#fleet
    const ownerId = fleet.ownerUnder(entry.revisions.at(-1) ?? 0, request.key)
    if (ownerId === undefined || !fleet.canReach(entry, fleet.nodeOf(ownerId))) {
      return this.#report(request, attempt, attempt === 1 ? Outcome.NotRun : Outcome.Unknown)
    }
    const owner = fleet.nodeOf(ownerId)
    const callId = `${entry.id}/${request.key.idempotencyKey}/${attempt}`
    fleet.send(entry, owner, false, () => this.#atOwner(request, { callId, attempt }, owner))
  }

  #sendOf (request: SoakRequest, ids: { callId: string, attempt: number }, owner: SoakNode): KeySend {
    const ownerRevisions = this.#fleet.ownerRevisions(owner, request.key)
    const isOwner = ownerRevisions.includes(owner.revisions.at(-1) ?? 0)
    return { key: request.key, ...ids, isOwner, ownerRevisions }
  }

  #atOwner (request: SoakRequest, ids: { callId: string, attempt: number }, owner: SoakNode): void {
    if (this.#isLate(request)) return
    const fleet = this.#fleet
    const send = this.#sendOf(request, ids, owner)
    const decision = idempotency.admit(owner.db, send, fleet.world.nowMs, fleet.wallOf(owner))
    if (decision.kind === 'run') this.#queue(request, send, owner)
    else this.#answer(request, send, decision)
  }

  /** The eviction and the dispatch are steps of their own; a late dispatch must notice the eviction. */
  #queue (request: SoakRequest, send: KeySend, owner: SoakNode): void {
    const fleet = this.#fleet
    const { world } = fleet
    const waitMs = world.chance(0.95) ? world.between(0, 300) : world.between(300, 15_000)
    const call = { wasDispatched: false }
    if (fleet.faults.evictions && world.chance(0.15)) {
      fleet.later(owner, world.between(0, waitMs), () => {
        if (call.wasDispatched) return
        idempotency.refused(owner.db, send, world.nowMs)
        this.#report(request, send.attempt, Outcome.NotRun)
      })
    }
    fleet.later(owner, waitMs, () => {
      const fresh = this.#sendOf(request, send, owner)
      const decision = idempotency.beforeDispatch(owner.db, fresh, world.nowMs, fleet.wallOf(owner))
      if (decision.kind !== 'run') return this.#answer(request, send, decision)
      call.wasDispatched = true
      this.#run(request, send, owner)
    })
  }

  #run (request: SoakRequest, send: KeySend, owner: SoakNode): void {
    const fleet = this.#fleet
    const { world } = fleet
    if (fleet.faults.evictions && world.chance(0.05)) {
      idempotency.finish(owner.db, send, Outcome.NotRun, null, world.nowMs)
      return this.#report(request, send.attempt, Outcome.NotRun)
    }
    this.#checkRun(request, send, owner)
    fleet.later(owner, world.between(5, 200), () => {
      const outcome = fleet.faults.lostMessages && world.chance(0.1) ? Outcome.Unknown : Outcome.Done
      const answer = outcome === Outcome.Done && world.chance(0.8) ? ANSWER : null
      idempotency.finish(owner.db, send, outcome, answer, world.nowMs)
      this.#report(request, send.attempt, outcome)
    })
  }

  #checkRun (request: SoakRequest, send: KeySend, owner: SoakNode): void {
    const { world, violations } = this.#fleet
    this.counts.runsCount++
    const run = { nodeId: owner.id, attempt: send.attempt, atMs: world.nowMs }
    request.runs.push(run)
    if (request.runs.length > 1) {
      violations.push(`${world.nowMs} ms: ran twice: ${request.key.idempotencyKey} ${JSON.stringify(request.runs)}`)
    }
    if (send.attempt <= request.notRunAttempt) {
      violations.push(`${world.nowMs} ms: ran after not_run of attempt ${request.notRunAttempt}: ` +
        `${request.key.idempotencyKey} ${JSON.stringify(run)}`)
    }
  }

  #answer (request: SoakRequest, send: KeySend, decision: Exclude<KeyDecision, { kind: 'run' }>): void {
    this.#report(request, send.attempt, decision.kind === 'answer' ? Outcome.Done : decision.outcome)
  }

  #report (request: SoakRequest, attempt: number, outcome: Outcome): void {
    if (outcome === Outcome.Done) {
      this.counts.doneCount++
      request.isDone = true
    }
    if (outcome === Outcome.Unknown) this.counts.unknownCount++
    if (outcome === Outcome.NotRun) this.#reportNotRun(request, attempt)
  }

  // A first send says nothing about higher attempts that the caller made before its answer.
  #reportNotRun (request: SoakRequest, attempt: number): void {
    const { world, violations } = this.#fleet
    this.counts.notRunCount++
    const earlier = request.runs.find(run => attempt > 1 || run.attempt <= attempt)
    if (earlier !== undefined) {
      violations.push(`${world.nowMs} ms: attempt ${attempt} reported not_run after a run: ` +
        `${request.key.idempotencyKey} ${JSON.stringify(earlier)}`)
    }
    request.notRunAttempt = Math.max(request.notRunAttempt, attempt)
  }
}
