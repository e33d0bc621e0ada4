import type { Histogram } from 'hdr-histogram-js'
import { Outcome, type Importance } from '../core/coreTypes.js'
import { OTHER_NAME } from '../core/ledger/ledgerDb.js'
import { RecordRole } from '../core/ledger/ledgerTypes.js'
import { DistinctCounter } from './distinctCounter.js'
import { copied, RecordLosses } from './recordLosses.js'
import { readRecordLine, type ReadRecord } from './recordText.js'
import type { OutcomeCounts } from './reportTypes.js'
import { SequenceNews } from './sequenceRanges.js'
import { addTime, emptyTimes } from './timeHistogram.js'

/** Caller, service and importance combinations counted one by one; some 10 KB each at most. */
const SERIES_CAPACITY_COUNT = 10_000
const REFUSALS_CAPACITY_COUNT = 100_000
const CALLERS_CAPACITY_COUNT = 1_000
/** 45 days; earlier and later calls are counted but not plotted. */
const MINUTES_CAPACITY_COUNT = 64_800
const MINUTE_MS = 60_000

export interface Series {
  readonly callerName: string
  readonly serviceName: string
  readonly importance: Importance
  /** What callers saw: entry records and records of both roles. */
  readonly seen: OutcomeCounts
  /** What was used: executor records and records of both roles. */
  readonly used: OutcomeCounts
  takenWithinCount: number
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

function noCounts (): OutcomeCounts {
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

  /** Takes a line. A record line without its line end counts as cut, since its last number may be. */
  readLine (line: string, isEnded: boolean): void {
    this.linesCount += 1
    const read = readRecordLine(line)
    switch (read.kind) {
      case 'other':
        this.otherLinesCount += 1
        return
      case 'damaged':
        this.#noteDamaged(read.node, read.incarnation, read.sequence)
        return
      case 'record':
        if (isEnded) this.#noteRecord(read.record)
        else this.#noteDamaged(read.record.node, read.record.incarnation, read.record.sequence)
    }
  }

  #noteDamaged (node?: string, incarnation?: string, sequence?: number): void {
    if (node === undefined || incarnation === undefined || sequence === undefined) this.unnamedDamagedCount += 1
    else this.losses.addDamaged(node, incarnation, sequence)
  }

  #noteRecord (record: ReadRecord): void {
    const news = this.losses.add(record.node, record.incarnation, record.sequence)
    if (news === SequenceNews.Repeated) this.repeatedLinesCount += 1
    if (news !== SequenceNews.New) return
    if (!record.counts) {
      this.repeatedRecordsCount += 1
      return
    }
    this.recordsCount += 1
    this.fromWallMs = Math.min(this.fromWallMs, record.arrivedAtWallMs)
    this.untilWallMs = Math.max(this.untilWallMs, record.arrivedAtWallMs)
    const series = this.#seriesOf(record)
    if (record.role !== RecordRole.Entry) this.#countUsed(series, record)
    if (record.role !== RecordRole.Executor) this.#countSeen(series, record)
  }

  #countUsed (series: Series, record: ReadRecord): void {
    series.used[record.outcome] += 1
    if (record.outcome === Outcome.NotRun) return
    if (record.withinPromise) series.takenWithinCount += 1
    if (record.outcome === Outcome.Done) addTime(series.served ??= emptyTimes(), record.servedMs)
  }

  #countSeen (series: Series, record: ReadRecord): void {
    series.seen[record.outcome] += 1
    this.#minuteOf(record.arrivedAtWallMs)[record.outcome] += 1
    if (record.outcome === Outcome.Done) addTime(series.total ??= emptyTimes(), record.totalMs)
    else this.#countRefusal(record)
    if (record.parentId === '') this.#countSend(record)
  }

  #countRefusal (record: ReadRecord): void {
    const { callerName, serviceName, importance, outcome, reason, limitedBy } = record
    const key = `${callerName}\n${serviceName}\n${importance}\n${outcome}\n${reason}\n${limitedBy}`
    const known = this.refusals.get(key)
    if (known !== undefined) {
      known.count += 1
      return
    }
    const isOther = this.refusals.size >= REFUSALS_CAPACITY_COUNT
    if (isOther) this.overflowCount += 1
    const otherKey = `${OTHER_NAME}\n${importance}\n${outcome}\n${reason}`
    const found = (isOther ? this.refusals.get(otherKey) : undefined) ?? {
      callerName: isOther ? OTHER_NAME : copied(callerName),
      serviceName: isOther ? OTHER_NAME : copied(serviceName),
      importance,
      outcome,
      reason: copied(reason),
      limitedBy: isOther ? OTHER_NAME : copied(limitedBy),
      count: 0
    }
    found.count += 1
    this.refusals.set(isOther ? otherKey : copied(key), found)
  }

  #countSend ({ callerName, rootId }: ReadRecord): void {
    const isOther = !this.sends.has(callerName) && this.sends.size >= CALLERS_CAPACITY_COUNT
    const name = isOther ? OTHER_NAME : callerName
    const known = this.sends.get(name)
    const found = known ?? { sendsCount: 0, roots: new DistinctCounter() }
    if (known === undefined) this.sends.set(copied(name), found)
    found.sendsCount += 1
    found.roots.add(rootId)
  }

  #seriesOf ({ callerName, serviceName, importance }: ReadRecord): Series {
    const known = this.series.get(`${callerName}\n${serviceName}\n${importance}`)
    if (known !== undefined) return known
    const isOther = this.series.size >= SERIES_CAPACITY_COUNT
    if (isOther) this.overflowCount += 1
    const names = isOther ? [OTHER_NAME, OTHER_NAME] : [copied(callerName), copied(serviceName)]
    const [caller = '', service = ''] = names
    const key = copied(`${caller}\n${service}\n${importance}`)
    const found = this.series.get(key) ?? {
      callerName: caller,
      serviceName: service,
      importance,
      seen: noCounts(),
      used: noCounts(),
      takenWithinCount: 0,
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
    const made = noCounts()
    if (this.minutes.size < MINUTES_CAPACITY_COUNT) this.minutes.set(minute, made)
    return made
  }
}
