import type { Millis } from '../../clock/clock.js'
import type { CoreModule, Importance, Outcome, Reason } from '../coreTypes.js'

/** Role of the node that writes a record. */
export enum RecordRole {
  Entry = 'entry',
  Executor = 'executor',
  /** The entry node executed the call itself, so the record counts for both roles. */
  Both = 'both'
}

/** The final record of a call; a node writes one for each call and role. */
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
  /** Promise or service limit that caused the refusal, such as `promise:clerks`; otherwise empty. */
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
  /** Maximum number of caller and service pairs with their own counts; further pairs count as `(other)`. */
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

/** Percentiles of the total times of the `done` calls of one caller, service and importance in one role. */
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

/** Log lines, counters and latency histograms of the final records of calls. */
export interface LedgerModule<Db> extends CoreModule<Db, LedgerSettings> {
  /** Counts a call and returns its log line without a line break. */
  recordCall (db: Db, record: CallRecord): string
  counts (db: Db): LedgerCounts[]
  latencies (db: Db): LatencyReading[]
}
