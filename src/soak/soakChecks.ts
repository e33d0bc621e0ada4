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
/** A leaving backend server gets no new work later than this after the platform or the server announced it. */
const DRAIN_BOUND_MS: Millis = 3_000

/** Source of the announcement that a backend server is leaving. */
type LeavingSource = 'platform' | 'server'

interface RootRecord {
  readonly sends: Set<string>
  readonly runs: BackendRun[]
  readonly notRunReports: Array<{ readonly call: IncomingCall, readonly reportedAtMs: Millis }>
  readonly sentAtMs: Map<string, Millis>
  hasAttemptNumbers: boolean
  callerSendsCount: number
  retriesCount: number
}

/** Checks the invariants of the fleet from what callers and backend servers observe. */
export class SoakChecks {
  readonly violations: string[] = []
  readonly #roots = new Map<string, RootRecord>()
  readonly #runsByKey = new Map<string, BackendRun[]>()
  readonly #versions = new Map<string, Map<string, readonly [number, number]>>()
  readonly #leavingSince: Readonly<Record<LeavingSource, Map<string, Millis>>> = {
    platform: new Map(), server: new Map()
  }

  /** Time until which some nodes could not reach the platform or each other. */
  #communicationLostUntilMs: Millis = 0
  maxRetriesPerRoot = 0
  backendRunsCount = 0

  addViolation (property: string, detail: string): void {
    if (this.violations.length < VIOLATIONS_MAX_COUNT) this.violations.push(`${property}: ${detail}`)
  }

  recordRootSend (call: IncomingCall, nowMs: Millis): void {
    const root = this.#rootOf(call.rootId)
    root.callerSendsCount += 1
    root.sentAtMs.set(call.callId, nowMs)
    root.hasAttemptNumbers = call.attempt !== null
  }

  recordSubCallSend (call: IncomingCall, nowMs: Millis): void {
    this.#rootOf(call.rootId).sentAtMs.set(call.callId, nowMs)
  }

  /** Records that a node sent a call; each further send of the same call by the same node is a retry. */
  recordNodeSend (rootId: string, nodeId: string, callId: string): void {
    const root = this.#rootOf(rootId)
    const send = `${nodeId}/${callId}`
    if (!root.sends.has(send)) {
      root.sends.add(send)
      return
    }
    root.retriesCount += 1
    this.maxRetriesPerRoot = Math.max(this.maxRetriesPerRoot, root.retriesCount)
    // Without attempt numbers, each send of a caller opens a new retry budget.
    const boundCount = RETRY_BUDGET_COUNT * (root.hasAttemptNumbers ? 1 : root.callerSendsCount)
    if (root.retriesCount > boundCount) {
      this.addViolation('retryBound', `root ${rootId} caused ${root.retriesCount} retries, bound ${boundCount}`)
    }
  }

  checkBackendRun (fleet: SoakFleet, run: BackendRun, backend: SoakBackend): void {
    this.backendRunsCount += 1
    const root = this.#rootOf(run.rootId)
    root.runs.push(run)
    if (run.idempotencyKey !== null) this.#checkKeyRunsOnce(run)
    for (const report of root.notRunReports) this.#checkNotRunReport(root, report, run)
    const { platform, server } = this.#leavingSince
    const announcedAtMs = Math.min(platform.get(run.vmId) ?? Infinity, server.get(run.vmId) ?? Infinity)
    const leavingKnownAtMs = Math.max(announcedAtMs, this.#communicationLostUntilMs)
    if (run.startedAtMs - leavingKnownAtMs > DRAIN_BOUND_MS) {
      this.addViolation('drainStopsWork', `${run.vmId} got ${run.callId} ${run.startedAtMs - leavingKnownAtMs} ms after it was announced as leaving`)
    }
    if (backend.runningCount > fleet.slotsCount) {
      this.addViolation('slots', `${run.vmId} runs ${backend.runningCount} calls with ${fleet.slotsCount} slots`)
    }
  }

  /** Checks the answer that a caller or a calling backend server got to one of its sends. */
  checkAnswer (call: IncomingCall, result: SendResult, nowMs: Millis): void {
    if (result.kind !== 'answered') return
    const outcome = result.headers['ragwortspur-outcome']
    if (outcome === Outcome.Done && result.headers['x-root'] !== call.rootId) {
      this.addViolation('wholeOwnAnswer', `${call.callId} got the answer to ${result.headers['x-root']}`)
    }
    if (outcome !== Outcome.NotRun) return
    const root = this.#rootOf(call.rootId)
    const report = { call, reportedAtMs: nowMs }
    root.notRunReports.push(report)
    for (const run of root.runs) this.#checkNotRunReport(root, report, run)
  }

  /** Records an announcement that a VM is leaving; each source can withdraw only its own announcement. */
  recordVmLeaving (vmId: string, source: LeavingSource, sinceMs: Millis): void {
    const since = this.#leavingSince[source]
    if (!since.has(vmId)) since.set(vmId, sinceMs)
  }

  /** Records until when a fault keeps announcements from some nodes; the drain bound starts no earlier than that. */
  recordCommunicationLoss (untilMs: Millis): void {
    this.#communicationLostUntilMs = Math.max(this.#communicationLostUntilMs, untilMs)
  }

  clearVmLeaving (vmId: string, source: LeavingSource): void {
    this.#leavingSince[source].delete(vmId)
  }

  /** Checks that the document versions in force at a running process never decrease. */
  checkVersions (node: SoakNode): void {
    const id = `${node.entry.vmId}/${node.db.settings.incarnation}`
    const known = this.#versions.get(id) ?? new Map<string, readonly [number, number]>()
    this.#versions.set(id, known)
    for (const { document, revision } of documentsDefinition.documents(node.db.modules.documents)) {
      const [version, oldRevision] = known.get(document.serviceName) ?? [0, 0]
      if (document.version < version || (document.version === version && revision < oldRevision)) {
        this.addViolation('documentsMoveForward',
          `${id}: ${document.serviceName} went from ${version}/${oldRevision} to ${document.version}/${revision}`)
      }
      known.set(document.serviceName, [document.version, revision])
    }
  }

  /** Deletes the record of a finished root request, to bound memory over hours of simulated time. */
  forgetRoot (rootId: string): void {
    const root = this.#roots.get(rootId)
    if (root === undefined) return
    for (const run of root.runs) if (run.idempotencyKey !== null) this.#runsByKey.delete(run.idempotencyKey)
    this.#roots.delete(rootId)
  }

  #rootOf (rootId: string): RootRecord {
    const known = this.#roots.get(rootId)
    if (known !== undefined) return known
    const root: RootRecord = {
      sends: new Set(),
      runs: [],
      notRunReports: [],
      sentAtMs: new Map(),
      hasAttemptNumbers: true,
      callerSendsCount: 0,
      retriesCount: 0
    }
    this.#roots.set(rootId, root)
    return root
  }

  #checkKeyRunsOnce (run: BackendRun): void {
    const key = run.idempotencyKey ?? ''
    const runs = [...this.#runsByKey.get(key) ?? [], run]
    this.#runsByKey.set(key, runs)
    if (runs.length > 1) {
      this.addViolation('atMostOnce', `${key} ran ${runs.length} times: ${runs.map(keyRun =>
        `${keyRun.vmId}@${keyRun.startedAtMs.toFixed(1)}#${keyRun.attempt}`).join(', ')}`)
    }
  }

  /**
   * Checks that a send reported as not run was not run. With an idempotency key
   * this also covers sends with the same or a lower attempt number or, without
   * attempt numbers, all sends made before the report.
   */
  #checkNotRunReport (root: RootRecord, { call, reportedAtMs }: RootRecord['notRunReports'][number], run: BackendRun): void {
    if (run.serviceName !== call.serviceName) return
    const isSameKey = run.idempotencyKey !== null && run.idempotencyKey === call.idempotencyKey
    const isEarlierSend = isSameKey && (run.attempt === null || call.attempt === null
      ? (root.sentAtMs.get(run.callId) ?? run.startedAtMs) <= reportedAtMs
      : run.attempt <= call.attempt)
    if (run.callId !== call.callId && !isEarlierSend) return
    this.addViolation('notRunIsTrue', `${call.rootId}: attempt ${call.attempt} at ${call.serviceName} was reported as ` +
      `not run, but attempt ${run.attempt} ran at ${run.vmId}`)
  }
}
