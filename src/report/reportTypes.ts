import type { Importance, Outcome } from '../core/coreTypes.js'
import type { SequenceRange } from './sequenceRanges.js'

/** Calls by outcome. */
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

/** A caller's promise at a service, and what it took there. */
export interface UsageRow {
  readonly callerName: string
  readonly serviceName: string
  /** From the documents given; null without a document of the service. */
  readonly promisedCallsPerS: number | null
  readonly documentVersion: number | null
  /** Calls that ran or may have run, which the promise is about. */
  readonly takenCount: number
  readonly withinPromiseCount: number
  readonly abovePromiseCount: number
  readonly takenCallsPerS: number
  /** Taken calls a second in parts of the promise. */
  readonly takenOfPromiseRatio: number | null
}

/** What a caller saw at a service for one importance. */
export interface SeenRow {
  readonly callerName: string
  readonly serviceName: string
  readonly importance: Importance
  readonly counts: OutcomeCounts
  /** Total times of done calls, as the caller's entry node measured them. */
  readonly total: TimeReading
}

/** Time that calls spent at the executing nodes. */
export interface ServedRow {
  readonly callerName: string
  readonly serviceName: string
  readonly importance: Importance
  readonly served: TimeReading
}

export interface RefusalRow {
  readonly callerName: string
  readonly serviceName: string
  readonly importance: Importance
  readonly outcome: Outcome
  readonly reason: string
  /** Whose promise or limit refused the call; empty when nobody's. */
  readonly limitedBy: string
  readonly count: number
}

/** Sends of root requests by one caller. */
export interface SendsRow {
  readonly callerName: string
  readonly sendsCount: number
  readonly rootsCount: number
  readonly isEstimate: boolean
}

export interface CallerTimes {
  readonly callerName: string
  readonly total: TimeReading
}

export interface MinuteCounts {
  readonly minuteStartMs: number
  readonly counts: OutcomeCounts
}

/** Lines of one incarnation of a node that were not counted. */
export interface IncarnationLoss {
  readonly node: string
  readonly incarnation: string
  readonly missing: readonly SequenceRange[]
  readonly missingCount: number
  readonly damaged: readonly SequenceRange[]
  readonly damagedCount: number
  readonly tooLateCount: number
}

export interface Completeness {
  readonly linesCount: number
  readonly recordsCount: number
  readonly otherLinesCount: number
  readonly repeatedLinesCount: number
  /** Second records of a call, which nodes mark as such. */
  readonly repeatedRecordsCount: number
  readonly incarnationsCount: number
  /** Incarnations whose first line read has a number above 1: a period that starts later, or a lost beginning. */
  readonly startsLaterCount: number
  readonly losses: readonly IncarnationLoss[]
  /** Damaged lines that no longer tell their node. */
  readonly unnamedDamagedCount: number
  readonly unreadFiles: ReadonlyArray<{ readonly name: string, readonly error: string }>
  /** Names beyond the capacity, which count under `(other)`. */
  readonly overflowCount: number
  readonly isComplete: boolean
}

/** All that a report tells. */
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
