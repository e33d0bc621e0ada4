import { build, type Histogram } from 'hdr-histogram-js'
import type { LoadPlan, LoadStream } from './loadPlan.js'
import { SendResult, type SendEnd } from './sendCall.js'

/** Length of the windows in which root requests are counted to measure goodput. */
export const WINDOW_MS = 100
const MAX_LATENCY_US = 120_000_000
const US_PER_MS = 1000

export interface Counts {
  offered_count: number
  sends_count: number
  whole_count: number
  refused_count: number
  unknown_count: number
  failed_count: number
  no_answer_count: number
  wrong_count: number
}

/** Counts of root requests by the window of their arrival; `completed_count` is by the window of their end. */
export interface WindowCounts {
  stream: string
  at_ms: number
  offered_count: number
  whole_count: number
  completed_count: number
}

export interface StreamReport extends Counts {
  readonly phase: string
  readonly stream: string
  readonly caller: string
  readonly service: string
  readonly importance: string
  readonly p50_ms: number
  readonly p99_ms: number
  /** Number of root requests by the reason of their last result. */
  readonly reasons: Readonly<Record<string, number>>
}

export interface LatencyReport {
  readonly caller: string
  readonly importance: string
  readonly p50_ms: number
  readonly p99_ms: number
  readonly count: number
}

export interface CallerReport {
  readonly streams: readonly StreamReport[]
  readonly latencies: readonly LatencyReport[]
  readonly windows: readonly WindowCounts[]
  /** Idempotency keys whose sends were all reported as not run, as `<service> <key>`. */
  readonly not_run_keys: readonly string[]
  /** Root ids of the first wrong answers. */
  readonly wrong_roots: readonly string[]
  readonly cpu_percent: number
}

/** Progress of one root request. */
export interface RootRequest {
  readonly stream: LoadStream
  readonly phaseIndex: number
  readonly rootId: string
  readonly key: string | undefined
  readonly arrivedAtMs: number
  readonly arrivedWallMs: number
  sendsCount: number
  notRunCount: number
}

interface StreamStats {
  readonly counts: Counts
  readonly histogram: Histogram
  readonly reasons: Map<string, number>
}

/** Returns counts that all start at zero. */
export function emptyCounts (): Counts {
  return {
    offered_count: 0,
    sends_count: 0,
    whole_count: 0,
    refused_count: 0,
    unknown_count: 0,
    failed_count: 0,
    no_answer_count: 0,
    wrong_count: 0
  }
}

function newHistogram (): Histogram {
  return build({
    lowestDiscernibleValue: 1, highestTrackableValue: MAX_LATENCY_US, numberOfSignificantValueDigits: 2
  })
}

function countResult (counts: Counts, result: SendResult): void {
  switch (result) {
    case SendResult.Whole: counts.whole_count += 1; break
    case SendResult.NotRun: counts.refused_count += 1; break
    case SendResult.Unknown: counts.unknown_count += 1; break
    case SendResult.Failed: counts.failed_count += 1; break
    case SendResult.NoAnswer: counts.no_answer_count += 1; break
    case SendResult.Wrong: counts.wrong_count += 1
  }
}

function percentilesOf (histogram: Histogram): { p50_ms: number, p99_ms: number } {
  if (histogram.totalCount === 0) return { p50_ms: 0, p99_ms: 0 }
  return {
    p50_ms: histogram.getValueAtPercentile(50) / US_PER_MS,
    p99_ms: histogram.getValueAtPercentile(99) / US_PER_MS
  }
}

/** Aggregates the sends and results of root requests into a report. */
export class ReportCollector {
  readonly #plan: LoadPlan
  readonly #statsByKey = new Map<string, StreamStats>()
  readonly #histogramsByCaller = new Map<string, Histogram>()
  readonly #windows = new Map<string, WindowCounts>()
  readonly #notRunKeys: string[] = []
  readonly #wrongRoots: string[] = []
  #secondCounts = emptyCounts()
  #secondHistogram = newHistogram()

  constructor (plan: LoadPlan) {
    this.#plan = plan
  }

  recordOffered (root: RootRequest): void {
    this.#getOrCreateStats(root).counts.offered_count += 1
    this.#secondCounts.offered_count += 1
    this.#getOrCreateWindow(root, root.arrivedWallMs).offered_count += 1
  }

  recordSend (root: RootRequest): void {
    this.#getOrCreateStats(root).counts.sends_count += 1
    this.#secondCounts.sends_count += 1
  }

  recordEnd (root: RootRequest, end: SendEnd, latencyMs: number, wallMs: number): void {
    const stats = this.#getOrCreateStats(root)
    countResult(stats.counts, end.result)
    countResult(this.#secondCounts, end.result)
    if (end.reason !== '') stats.reasons.set(end.reason, (stats.reasons.get(end.reason) ?? 0) + 1)
    if (end.result === SendResult.Whole) this.#recordWholeAnswer(root, stats, latencyMs, wallMs)
    if (end.result === SendResult.Wrong) this.#wrongRoots.push(root.rootId)
    if (root.key !== undefined && root.notRunCount === root.sendsCount) {
      this.#notRunKeys.push(`${root.stream.service} ${root.key}`)
    }
  }

  /** Returns counts and percentiles since the previous call, for the log line of each second. */
  takeSecondReport (): Counts & { p50_ms: number, p99_ms: number } {
    const secondReport = { ...this.#secondCounts, ...percentilesOf(this.#secondHistogram) }
    this.#secondCounts = emptyCounts()
    this.#secondHistogram = newHistogram()
    return secondReport
  }

  buildReport (cpuPercent: number): CallerReport {
    return {
      streams: [...this.#statsByKey].map(([name, stats]) => this.#buildStreamReport(name, stats)),
      latencies: [...this.#histogramsByCaller].map(([name, histogram]) => {
        const [caller = '', importance = ''] = name.split(' ')
        return { caller, importance, ...percentilesOf(histogram), count: histogram.totalCount }
      }),
      windows: [...this.#windows.values()].sort((a, b) => a.at_ms - b.at_ms),
      not_run_keys: this.#notRunKeys,
      wrong_roots: this.#wrongRoots.slice(0, 20),
      cpu_percent: cpuPercent
    }
  }

  #recordWholeAnswer (root: RootRequest, stats: StreamStats, latencyMs: number, wallMs: number): void {
    const latencyUs = Math.min(MAX_LATENCY_US, Math.max(1, Math.round(latencyMs * US_PER_MS)))
    stats.histogram.recordValue(latencyUs)
    this.#secondHistogram.recordValue(latencyUs)
    const histogramKey = `${root.stream.caller} ${root.stream.importance}`
    const histogram = this.#histogramsByCaller.get(histogramKey) ?? newHistogram()
    histogram.recordValue(latencyUs)
    this.#histogramsByCaller.set(histogramKey, histogram)
    this.#getOrCreateWindow(root, root.arrivedWallMs).whole_count += 1
    this.#getOrCreateWindow(root, wallMs).completed_count += 1
  }

  #buildStreamReport (statsKey: string, stats: StreamStats): StreamReport {
    const [phaseIndex = '0', streamName = ''] = statsKey.split(' ')
    const stream = this.#plan.streams.find(candidate => candidate.name === streamName)
    return {
      phase: this.#plan.phases[Number(phaseIndex)]?.name ?? '',
      stream: streamName,
      caller: stream?.caller ?? '',
      service: stream?.service ?? '',
      importance: stream?.importance ?? '',
      ...stats.counts,
      ...percentilesOf(stats.histogram),
      reasons: Object.fromEntries(stats.reasons)
    }
  }

  #getOrCreateStats (root: RootRequest): StreamStats {
    const statsKey = `${root.phaseIndex} ${root.stream.name}`
    let stats = this.#statsByKey.get(statsKey)
    if (stats === undefined) {
      stats = { counts: emptyCounts(), histogram: newHistogram(), reasons: new Map() }
      this.#statsByKey.set(statsKey, stats)
    }
    return stats
  }

  #getOrCreateWindow (root: RootRequest, wallMs: number): WindowCounts {
    const atMs = Math.floor(wallMs / WINDOW_MS) * WINDOW_MS
    const windowKey = `${atMs} ${root.stream.name}`
    let window = this.#windows.get(windowKey)
    if (window === undefined) {
      window = { stream: root.stream.name, at_ms: atMs, offered_count: 0, whole_count: 0, completed_count: 0 }
      this.#windows.set(windowKey, window)
    }
    return window
  }
}
