import type { Importance, Outcome } from '../core/coreTypes.js'
import type { SequenceRange } from './sequenceRanges.js'

/** Number of calls by outcome. */
export type OutcomeCounts = Record<Outcome, number>

/** Percentiles of one histogram. */
export interface TimeReading {
  readonly count: number
  readonly p50Ms: number
  readonly p90Ms: number
  readonly p99Ms: number
  readonly p999Ms: number
  readonly maxMs: number
}

/** Promised and used call rate of a caller at a service. */
export interface UsageRow {
  readonly callerName: string
  readonly serviceName: string
  /** From the given documents; null without a document of the service, or if it does not list the caller. */
  readonly promisedCallsPerS: number | null
  readonly documentVersion: number | null
  /** Calls that ran or may have run; only these are compared with the promise. */
  readonly takenCount: number
  readonly withinPromiseCount: number
  readonly abovePromiseCount: number
  readonly takenCallsPerS: number
  /** `takenCallsPerS` divided by `promisedCallsPerS`; null if nothing is promised. */
  readonly takenOfPromiseRatio: number | null
}

/** Calls of a caller to a service at one importance, as recorded by the entry nodes. */
export interface SeenRow {
  readonly callerName: string
  readonly serviceName: string
  readonly importance: Importance
  readonly counts: OutcomeCounts
  /** Times of `done` calls from arrival to answer, measured by the entry nodes. */
  readonly total: TimeReading
}

/** Times that `done` calls spent at the backend servers, measured by the executing nodes. */
export interface ServedRow {
  readonly callerName: string
  readonly serviceName: string
  readonly importance: Importance
  readonly served: TimeReading
}

/** Calls with any outcome other than `done`, by cause. */
export interface RefusalRow {
  readonly callerName: string
  readonly serviceName: string
  readonly importance: Importance
  readonly outcome: Outcome
  readonly reason: string
  /** The promise or limit that caused the refusal; empty if there is none. */
  readonly limitedBy: string
  readonly count: number
}

/** Number of calls without a parent by one caller, and of the distinct root requests among them. */
export interface SendsRow {
  readonly callerName: string
  readonly sendsCount: number
  readonly rootsCount: number
  readonly isEstimate: boolean
}

/** Latency of all `done` calls of one caller. */
export interface CallerTimes {
  readonly callerName: string
  readonly total: TimeReading
}

export interface MinuteCounts {
  readonly minuteStartMs: number
  readonly counts: OutcomeCounts
}

/** Missing, damaged and uncounted late lines of one incarnation of a node. */
export interface IncarnationLoss {
  readonly node: string
  readonly incarnation: string
  readonly missing: readonly SequenceRange[]
  readonly missingCount: number
  readonly damaged: readonly SequenceRange[]
  readonly damagedCount: number
  readonly tooLateCount: number
}

/** Which lines were read, and which are missing or damaged. */
export interface Completeness {
  readonly linesCount: number
  readonly recordsCount: number
  readonly otherLinesCount: number
  readonly repeatedLinesCount: number
  /** Records with the event `call_record_repeated`: further records of a call, which are not counted. */
  readonly repeatedRecordsCount: number
  readonly incarnationsCount: number
  /** Incarnations whose lowest sequence number is above 1: the log starts later, or its first lines are lost. */
  readonly startsLaterCount: number
  readonly losses: readonly IncarnationLoss[]
  /** Too long lines, and damaged lines whose node, incarnation or sequence number cannot be determined. */
  readonly unnamedDamagedCount: number
  readonly unreadFiles: ReadonlyArray<{ readonly name: string, readonly error: string }>
  /** How often the capacity for distinct names was exceeded; these records are counted under `(other)`. */
  readonly overflowCount: number
  readonly isComplete: boolean
}

/** Contents of a report; `--json` prints it as it is. */
export interface Report {
  readonly fromWallMs: number | null
  readonly untilWallMs: number | null
  readonly usage: readonly UsageRow[]
  readonly seen: readonly SeenRow[]
  readonly served: readonly ServedRow[]
  readonly refusals: readonly RefusalRow[]
  readonly sends: readonly SendsRow[]
  readonly callers: readonly CallerTimes[]
  readonly minutes: readonly MinuteCounts[]
  readonly completeness: Completeness
}
