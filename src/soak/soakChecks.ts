import type { Millis } from '../clock/clock.js'
import { Outcome } from '../core/coreTypes.js'
import { documentsDefinition } from '../core/documents/documentsDefinition.js'
import type { IncomingCall, SendResult } from '../core/nodeCore/nodeCoreTypes.js'
import type { SoakBackend } from './soakBackend.js'
import type { SoakFleet } from './soakFleet.js'
import type { SoakNode } from './soakNode.js'
import type { BackendRun } from './soakTypes.js'

const VIOLATIONS_MAX_COUNT = 20
/** Retry budget in the documents of the run. */
export const RETRY_BUDGET_COUNT = 2
/** P6: a leaving backend server gets no new work later than this after the platform or the server said so. */
const DRAIN_BOUND_MS: Millis = 3_000

/** Who announced that a backend server leaves. */
type LeaveSource = 'platform' | 'server'

interface RootChecks {
  readonly sends: Set<string>
  readonly runs: BackendRun[]
  readonly notRun: Array<{ readonly call: IncomingCall, readonly reportedAtMs: Millis }>
  readonly sentAtMs: Map<string, Millis>
  isNumbered: boolean
  callerSendsCount: number
  retriesCount: number
}

/** The properties that must hold, checked on what callers and backend servers of the run see. */
export class SoakChecks {
  readonly violations: string[] = []
  readonly #roots = new Map<string, RootChecks>()
  readonly #runsByKey = new Map<string, BackendRun[]>()
  readonly #versions = new Map<string, Map<string, readonly [number, number]>>()
  readonly #leavingSince: Readonly<Record<LeaveSource, Map<string, Millis>>> = {
    platform: new Map(), server: new Map()
  }

  /** Until when some nodes could not hear the platform, or each other. */
  #unheardUntilMs: Millis = 0
  maxRetriesPerRoot = 0
  backendRunsCount = 0

  violation (property: string, detail: string): void {
    if (this.violations.length < VIOLATIONS_MAX_COUNT) this.violations.push(`${property}: ${detail}`)
  }

  rootSent (call: IncomingCall, nowMs: Millis): void {
    const root = this.#rootOf(call.rootId)
    root.callerSendsCount += 1
    root.sentAtMs.set(call.callId, nowMs)
    root.isNumbered = call.attempt !== null
  }

  subCallSent (call: IncomingCall, nowMs: Millis): void {
    this.#rootOf(call.rootId).sentAtMs.set(call.callId, nowMs)
  }

  /** A node sent a call on; each further send of the same call by the same node is a retry. */
  sent (rootId: string, nodeId: string, callId: string): void {
    const root = this.#rootOf(rootId)
    const send = `${nodeId}/${callId}`
    if (!root.sends.has(send)) {
      root.sends.add(send)
      return
    }
    root.retriesCount += 1
    this.maxRetriesPerRoot = Math.max(this.maxRetriesPerRoot, root.retriesCount)
    // A caller that does not number its sends opens a budget with each of them.
    const boundCount = RETRY_BUDGET_COUNT * (root.isNumbered ? 1 : root.callerSendsCount)
    if (root.retriesCount > boundCount) {
      this.violation('retryBound', `root ${rootId} caused ${root.retriesCount} retries, bound ${boundCount}`)
    }
  }

  ran (fleet: SoakFleet, run: BackendRun, backend: SoakBackend): void {
    this.backendRunsCount += 1
    const root = this.#rootOf(run.rootId)
    root.runs.push(run)
    if (run.idempotencyKey !== null) this.#checkKey(run)
    for (const claim of root.notRun) this.#checkClaim(root, claim, run)
    const { platform, server } = this.#leavingSince
    const announcedAtMs = Math.min(platform.get(run.vmId) ?? Infinity, server.get(run.vmId) ?? Infinity)
    const sinceMs = Math.max(announcedAtMs, this.#unheardUntilMs)
    if (run.startedAtMs - sinceMs > DRAIN_BOUND_MS) {
      this.violation('drainStopsWork', `${run.vmId} got ${run.callId} ${run.startedAtMs - sinceMs} ms after it left`)
    }
    if (backend.runningCount > fleet.slotsCount) {
      this.violation('slots', `${run.vmId} runs ${backend.runningCount} calls with ${fleet.slotsCount} slots`)
    }
  }

  /** What a caller or a calling backend server was told about one of its sends. */
  answered (call: IncomingCall, result: SendResult, nowMs: Millis): void {
    if (result.kind !== 'answered') return
    const outcome = result.headers['ragwortspur-outcome']
    if (outcome === Outcome.Done && result.headers['x-root'] !== call.rootId) {
      this.violation('wholeOwnAnswer', `${call.callId} got the answer to ${result.headers['x-root']}`)
    }
    if (outcome !== Outcome.NotRun) return
    const root = this.#rootOf(call.rootId)
    const claim = { call, reportedAtMs: nowMs }
    root.notRun.push(claim)
    for (const run of root.runs) this.#checkClaim(root, claim, run)
  }

  /** The platform or the server announced that it leaves; each may take back only its own word. */
  vmLeaves (vmId: string, source: LeaveSource, sinceMs: Millis): void {
    const since = this.#leavingSince[source]
    if (!since.has(vmId)) since.set(vmId, sinceMs)
  }

  /** A fault keeps the word of the platform from some nodes; the time for drains starts after it. */
  unheard (untilMs: Millis): void {
    this.#unheardUntilMs = Math.max(this.#unheardUntilMs, untilMs)
  }

  vmStays (vmId: string, source: LeaveSource): void {
    this.#leavingSince[source].delete(vmId)
  }

  /** A version in force at a running process never goes back. */
  noteVersions (node: SoakNode): void {
    const id = `${node.entry.vmId}/${node.db.settings.incarnation}`
    const known = this.#versions.get(id) ?? new Map<string, readonly [number, number]>()
    this.#versions.set(id, known)
    for (const { document, revision } of documentsDefinition.documents(node.db.modules.documents)) {
      const [version, oldRevision] = known.get(document.serviceName) ?? [0, 0]
      if (document.version < version || (document.version === version && revision < oldRevision)) {
        this.violation('documentsMoveForward',
          `${id}: ${document.serviceName} went from ${version}/${oldRevision} to ${document.version}/${revision}`)
      }
      known.set(document.serviceName, [document.version, revision])
    }
  }

  /** Forgets root requests that can no longer change; runs take hours of simulated time. */
  forget (rootId: string): void {
    const root = this.#roots.get(rootId)
    if (root === undefined) return
    for (const run of root.runs) if (run.idempotencyKey !== null) this.#runsByKey.delete(run.idempotencyKey)
    this.#roots.delete(rootId)
  }

  #rootOf (rootId: string): RootChecks {
    const known = this.#roots.get(rootId)
    if (known !== undefined) return known
    const root: RootChecks = {
      sends: new Set(),
      runs: [],
      notRun: [],
      sentAtMs: new Map(),
      isNumbered: true,
      callerSendsCount: 0,
      retriesCount: 0
    }
    this.#roots.set(rootId, root)
    return root
  }

  #checkKey (run: BackendRun): void {
    const key = run.idempotencyKey ?? ''
    const runs = [...this.#runsByKey.get(key) ?? [], run]
    this.#runsByKey.set(key, runs)
    if (runs.length > 1) {
      this.violation('atMostOnce', `${key} ran ${runs.length} times: ${runs.map(one =>
        `${one.vmId}@${one.startedAtMs.toFixed(1)}#${one.attempt}`).join(', ')}`)
    }
  }

  /**
   * A send that was reported as not run has no run. For a key this also holds
   * for sends with the same or a lower attempt number, and without numbers for
   * all sends that were made before the report.
   */
  #checkClaim (root: RootChecks, { call, reportedAtMs }: RootChecks['notRun'][number], run: BackendRun): void {
    if (run.serviceName !== call.serviceName) return
    const isSameKey = run.idempotencyKey !== null && run.idempotencyKey === call.idempotencyKey
    const isEarlierSend = isSameKey && (run.attempt === null || call.attempt === null
      ? (root.sentAtMs.get(run.callId) ?? run.startedAtMs) <= reportedAtMs
      : run.attempt <= call.attempt)
    if (run.callId !== call.callId && !isEarlierSend) return
    this.violation('notRunIsTrue', `${call.rootId}: attempt ${call.attempt} at ${call.serviceName} was reported as ` +
      `not run, but attempt ${run.attempt} ran at ${run.vmId}`)
  }
}
