import type { Histogram } from 'hdr-histogram-js'
import { Outcome, type Importance } from '../core/coreTypes.js'
import { OTHER_NAME } from '../core/ledger/ledgerDb.js'
import { RecordRole } from '../core/ledger/ledgerTypes.js'
import { DistinctCounter } from './distinctCounter.js'
import { detachedCopy, RecordLosses } from './recordLosses.js'
import { parseRecordLine, type ParsedRecord } from './parseRecordLine.js'
import type { OutcomeCounts } from './reportTypes.js'
import { SequenceStatus } from './sequenceRanges.js'
import { recordTime, createTimeHistogram } from './timeHistogram.js'

/** Maximum number of combinations of caller, service and importance counted separately, at most about 10 KB each. */
const SERIES_CAPACITY_COUNT = 10_000
const REFUSALS_CAPACITY_COUNT = 100_000
const CALLERS_CAPACITY_COUNT = 1_000
/** 45 days; calls of any further minute are counted but not plotted. */
const MINUTES_CAPACITY_COUNT = 64_800
const MINUTE_MS = 60_000

/** Counts and times of the calls of one caller, service and importance. */
export interface Series {
  readonly callerName: string
  readonly serviceName: string
  readonly importance: Importance
  /** Calls as the callers saw them: records of the roles `entry` and `both`. */
  readonly entryCounts: OutcomeCounts
  /** Calls at the executing nodes: records of the roles `executor` and `both`. */
  readonly executorCounts: OutcomeCounts
  takenWithinPromiseCount: number
  total: Histogram | undefined
  served: Histogram | undefined
}

export interface Refusal {
  readonly callerName: string
  readonly serviceName: string
  readonly importance: Importance
  readonly outcome: Outcome
  readonly reason: string
  readonly limitedBy: string
  count: number
}

function zeroCounts (): OutcomeCounts {
  return { done: 0, not_run: 0, unknown: 0, cancelled: 0 }
}

/** Running counts over all lines of a report, in memory that does not grow with the number of lines. */
export class ReportTally {
  readonly series = new Map<string, Series>()
  readonly refusals = new Map<string, Refusal>()
  readonly sends = new Map<string, { sendsCount: number, readonly roots: DistinctCounter }>()
  readonly minutes = new Map<number, OutcomeCounts>()
  readonly losses = new RecordLosses()
  linesCount = 0
  recordsCount = 0
  otherLinesCount = 0
  repeatedLinesCount = 0
  repeatedRecordsCount = 0
  unnamedDamagedCount = 0
  overflowCount = 0
  fromWallMs = Infinity
  untilWallMs = -Infinity

  /** Counts a line. A record line without a line end counts as damaged, since its last number may be truncated. */
  countLine (line: string, hasLineEnd: boolean): void {
    this.linesCount += 1
    const parsed = parseRecordLine(line)
    switch (parsed.kind) {
      case 'other':
        this.otherLinesCount += 1
        return
      case 'damaged':
        this.#countDamaged(parsed.node, parsed.incarnation, parsed.sequence)
        return
      case 'record':
        if (hasLineEnd) this.#countRecord(parsed.record)
        else this.#countDamaged(parsed.record.node, parsed.record.incarnation, parsed.record.sequence)
    }
  }

  #countDamaged (node?: string, incarnation?: string, sequence?: number): void {
    if (node === undefined || incarnation === undefined || sequence === undefined) this.unnamedDamagedCount += 1
    else this.losses.addDamaged(node, incarnation, sequence)
  }

  #countRecord (record: ParsedRecord): void {
    const status = this.losses.addIntact(record.node, record.incarnation, record.sequence)
    if (status === SequenceStatus.Repeated) this.repeatedLinesCount += 1
    if (status !== SequenceStatus.New) return
    if (!record.isCounted) {
      this.repeatedRecordsCount += 1
      return
    }
    this.recordsCount += 1
    this.fromWallMs = Math.min(this.fromWallMs, record.arrivedAtWallMs)
    this.untilWallMs = Math.max(this.untilWallMs, record.arrivedAtWallMs)
    const series = this.#seriesOf(record)
    if (record.role !== RecordRole.Entry) this.#countExecutorRecord(series, record)
    if (record.role !== RecordRole.Executor) this.#countEntryRecord(series, record)
  }

  #countExecutorRecord (series: Series, record: ParsedRecord): void {
    series.executorCounts[record.outcome] += 1
    if (record.outcome === Outcome.NotRun) return
    if (record.withinPromise) series.takenWithinPromiseCount += 1
    if (record.outcome === Outcome.Done) recordTime(series.served ??= createTimeHistogram(), record.servedMs)
  }

  #countEntryRecord (series: Series, record: ParsedRecord): void {
    series.entryCounts[record.outcome] += 1
    this.#minuteOf(record.arrivedAtWallMs)[record.outcome] += 1
    if (record.outcome === Outcome.Done) recordTime(series.total ??= createTimeHistogram(), record.totalMs)
    else this.#countRefusal(record)
    if (record.parentId === '') this.#countSend(record)
  }

  #countRefusal (record: ParsedRecord): void {
    const { callerName, serviceName, importance, outcome, reason, limitedBy } = record
    const key = `${callerName}\n${serviceName}\n${importance}\n${outcome}\n${reason}\n${limitedBy}`
    const known = this.refusals.get(key)
    if (known !== undefined) {
      known.count += 1
      return
    }
    const isOther = this.refusals.size >= REFUSALS_CAPACITY_COUNT
    if (isOther) this.overflowCount += 1
    const overflowKey = `${OTHER_NAME}\n${importance}\n${outcome}\n${reason}`
    const found = (isOther ? this.refusals.get(overflowKey) : undefined) ?? {
      callerName: isOther ? OTHER_NAME : detachedCopy(callerName),
      serviceName: isOther ? OTHER_NAME : detachedCopy(serviceName),
      importance,
      outcome,
      reason: detachedCopy(reason),
      limitedBy: isOther ? OTHER_NAME : detachedCopy(limitedBy),
      count: 0
    }
    found.count += 1
    this.refusals.set(isOther ? overflowKey : detachedCopy(key), found)
  }

  #countSend ({ callerName, rootId }: ParsedRecord): void {
    const isOther = !this.sends.has(callerName) && this.sends.size >= CALLERS_CAPACITY_COUNT
    const name = isOther ? OTHER_NAME : callerName
    const known = this.sends.get(name)
    const found = known ?? { sendsCount: 0, roots: new DistinctCounter() }
    if (known === undefined) this.sends.set(detachedCopy(name), found)
    found.sendsCount += 1
    found.roots.add(rootId)
  }

  #seriesOf ({ callerName, serviceName, importance }: ParsedRecord): Series {
    const known = this.series.get(`${callerName}\n${serviceName}\n${importance}`)
    if (known !== undefined) return known
    const isOther = this.series.size >= SERIES_CAPACITY_COUNT
    if (isOther) this.overflowCount += 1
    const names = isOther ? [OTHER_NAME, OTHER_NAME] : [detachedCopy(callerName), detachedCopy(serviceName)]
    const [caller = '', service = ''] = names
    const key = detachedCopy(`${caller}\n${service}\n${importance}`)
    const found = this.series.get(key) ?? {
      callerName: caller,
      serviceName: service,
      importance,
      entryCounts: zeroCounts(),
      executorCounts: zeroCounts(),
      takenWithinPromiseCount: 0,
      total: undefined,
      served: undefined
    }
    this.series.set(key, found)
    return found
  }

  #minuteOf (wallMs: number): OutcomeCounts {
    const minute = Math.floor(wallMs / MINUTE_MS)
    const known = this.minutes.get(minute)
    if (known !== undefined) return known
    const created = zeroCounts()
    if (this.minutes.size < MINUTES_CAPACITY_COUNT) this.minutes.set(minute, created)
    return created
  }
}
