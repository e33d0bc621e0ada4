import type { Millis } from '../../clock/clock.js'
import type { CoreModule, Importance, Outcome, Reason } from '../coreTypes.js'

/** Role of the node that writes a record. */
export enum RecordRole {
  Entry = 'entry',
  Executor = 'executor',
  /** The entry node executed the call itself; counts for both sides. */
  Both = 'both'
}

/** The one final record of a call at a node. */
export interface CallRecord {
  readonly role: RecordRole
  readonly callerName: string
  readonly serviceName: string
  readonly routeName: string
  readonly importance: Importance
  readonly withinPromise: boolean
  readonly documentVersion: number
  readonly outcome: Outcome
  readonly reason: Reason
  /** Whose promise or limit refused the call; empty when done. */
  readonly limitedBy: string
  readonly rootId: string
  readonly callId: string
  readonly parentId: string
  readonly attempt: number
  readonly retriesCount: number
  readonly arrivedAtWallMs: Millis
  readonly queuedMs: Millis
  readonly servedMs: Millis
  readonly totalMs: Millis
}

export interface LedgerSettings {
  readonly nodeId: string
  readonly incarnation: string
  /** Caller and service pairs counted one by one; further ones count under `(other)`. */
  readonly tenantsCapacityCount?: number
}

/** Counts of one caller, service and importance in one role. */
export interface LedgerCounts {
  readonly role: RecordRole
  readonly callerName: string
  readonly serviceName: string
  readonly importance: Importance
  readonly doneCount: number
  readonly notRunCount: number
  readonly unknownCount: number
  readonly cancelledCount: number
}

/** Reading of one histogram of the total times of done calls. */
export interface LatencyReading {
  readonly role: RecordRole
  readonly callerName: string
  readonly serviceName: string
  readonly importance: Importance
  readonly count: number
  readonly p50Ms: Millis
  readonly p99Ms: Millis
  readonly maxMs: Millis
}

/** One final record per call, with counters and histograms. */
export interface LedgerModule<Db> extends CoreModule<Db, LedgerSettings> {
  /** Counts a call and returns its log line without line end. */
  record (db: Db, record: CallRecord): string
  counts (db: Db): LedgerCounts[]
  latencies (db: Db): LatencyReading[]
}
