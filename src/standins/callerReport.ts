import { build, type Histogram } from 'hdr-histogram-js'
import type { LoadPlan, LoadStream } from './loadPlan.js'
import { SendResult, type SendEnd } from './sendCall.js'

/** Width of the windows in which goodput is counted. */
export const WINDOW_MS = 100
const HIGHEST_LATENCY_US = 120_000_000
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

/** Counts of root requests by the window in which they arrived; `completed_count` goes by the end. */
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
  /** How often each reason ended a root request. */
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
  /** Keys of which each send was reported as not run, as `<service> <key>`. */
  readonly not_run_keys: readonly string[]
  /** Example root ids of wrong answers. */
  readonly wrong_roots: readonly string[]
  readonly cpu_percent: number
}

/** A root request of the caller. */
export interface Root {
  readonly stream: LoadStream
  readonly phaseIndex: number
  readonly rootId: string
  readonly key: string | undefined
  readonly arrivedAtMs: number
  readonly arrivedWallMs: number
  sendsCount: number
  notRunCount: number
}

interface StreamTally {
  readonly counts: Counts
  readonly histogram: Histogram
  readonly reasons: Map<string, number>
}

/** Counts of no request at all, to be added to. */
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
    lowestDiscernibleValue: 1, highestTrackableValue: HIGHEST_LATENCY_US, numberOfSignificantValueDigits: 2
  })
}

function countEnd (counts: Counts, result: SendResult): void {
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

/** Collects what became of each root request. */
export class ReportBook {
  readonly #plan: LoadPlan
  readonly #tallies = new Map<string, StreamTally>()
  readonly #byCaller = new Map<string, Histogram>()
  readonly #windows = new Map<string, WindowCounts>()
  readonly #notRunKeys: string[] = []
  readonly #wrongRoots: string[] = []
  #second = emptyCounts()
  #secondHistogram = newHistogram()

  constructor (plan: LoadPlan) {
    this.#plan = plan
  }

  offered (root: Root): void {
    this.#tallyOf(root).counts.offered_count += 1
    this.#second.offered_count += 1
    this.#windowAt(root, root.arrivedWallMs).offered_count += 1
  }

  sent (root: Root): void {
    this.#tallyOf(root).counts.sends_count += 1
    this.#second.sends_count += 1
  }

  ended (root: Root, end: SendEnd, latencyMs: number, wallMs: number): void {
    const tally = this.#tallyOf(root)
    countEnd(tally.counts, end.result)
    countEnd(this.#second, end.result)
    if (end.reason !== '') tally.reasons.set(end.reason, (tally.reasons.get(end.reason) ?? 0) + 1)
    if (end.result === SendResult.Whole) this.#noteWhole(root, tally, latencyMs, wallMs)
    if (end.result === SendResult.Wrong) this.#wrongRoots.push(root.rootId)
    if (root.key !== undefined && root.notRunCount === root.sendsCount) {
      this.#notRunKeys.push(`${root.stream.service} ${root.key}`)
    }
  }

  /** Counts since the last call, for the line of a second. */
  takeSecond (): Counts & { p50_ms: number, p99_ms: number } {
    const taken = { ...this.#second, ...percentilesOf(this.#secondHistogram) }
    this.#second = emptyCounts()
    this.#secondHistogram = newHistogram()
    return taken
  }

  report (cpuPercent: number): CallerReport {
    return {
      streams: [...this.#tallies].map(([name, tally]) => this.#streamReport(name, tally)),
      latencies: [...this.#byCaller].map(([name, histogram]) => {
        const [caller = '', importance = ''] = name.split(' ')
        return { caller, importance, ...percentilesOf(histogram), count: histogram.totalCount }
      }),
      windows: [...this.#windows.values()].sort((a, b) => a.at_ms - b.at_ms),
      not_run_keys: this.#notRunKeys,
      wrong_roots: this.#wrongRoots.slice(0, 20),
      cpu_percent: cpuPercent
    }
  }

  #noteWhole (root: Root, tally: StreamTally, latencyMs: number, wallMs: number): void {
    const latencyUs = Math.min(HIGHEST_LATENCY_US, Math.max(1, Math.round(latencyMs * US_PER_MS)))
    tally.histogram.recordValue(latencyUs)
    this.#secondHistogram.recordValue(latencyUs)
    const name = `${root.stream.caller} ${root.stream.importance}`
    const histogram = this.#byCaller.get(name) ?? newHistogram()
    histogram.recordValue(latencyUs)
    this.#byCaller.set(name, histogram)
    this.#windowAt(root, root.arrivedWallMs).whole_count += 1
    this.#windowAt(root, wallMs).completed_count += 1
  }

  #streamReport (name: string, tally: StreamTally): StreamReport {
    const [phaseIndex = '0', streamName = ''] = name.split(' ')
    const stream = this.#plan.streams.find(one => one.name === streamName)
    return {
      phase: this.#plan.phases[Number(phaseIndex)]?.name ?? '',
      stream: streamName,
      caller: stream?.caller ?? '',
      service: stream?.service ?? '',
      importance: stream?.importance ?? '',
      ...tally.counts,
      ...percentilesOf(tally.histogram),
      reasons: Object.fromEntries(tally.reasons)
    }
  }

  #tallyOf (root: Root): StreamTally {
    const name = `${root.phaseIndex} ${root.stream.name}`
    let tally = this.#tallies.get(name)
    if (tally === undefined) {
      tally = { counts: emptyCounts(), histogram: newHistogram(), reasons: new Map() }
      this.#tallies.set(name, tally)
    }
    return tally
  }

  #windowAt (root: Root, wallMs: number): WindowCounts {
    const atMs = Math.floor(wallMs / WINDOW_MS) * WINDOW_MS
    const name = `${atMs} ${root.stream.name}`
    let window = this.#windows.get(name)
    if (window === undefined) {
      window = { stream: root.stream.name, at_ms: atMs, offered_count: 0, whole_count: 0, completed_count: 0 }
      this.#windows.set(name, window)
    }
    return window
  }
}
