import type { Histogram } from 'hdr-histogram-js'
import histogramModule from 'hdr-histogram-js/dist/Int32Histogram.js'
import type { Millis } from '../clock/clock.js'

/** Longest time that a histogram tells apart; the platform's requests live for some seconds. */
const HIGHEST_MS: Millis = 60_000
const SIGNIFICANT_DIGITS = 2
const QUANTILES = [0.5, 0.9, 0.99]
/** Series of one metric; routes and services come from the configuration, which may grow by hundreds. */
const SERIES_MAX_COUNT = 2_000

// The package's entry point also loads its WebAssembly and compression code, which takes 10 MB.
const { default: Int32Histogram } = histogramModule

interface TimeSeries {
  readonly histogram: Histogram
  sumMs: number
}

export type Labels = Readonly<Record<string, string>>

/** Characters that the text format escapes in a label's value. */
const NEEDS_ESCAPE = /["\\\n]/

/** Labels as the text format writes them; it runs for each count, so it creates no arrays. */
function keyOf (labels: Labels): string {
  let key = ''
  for (const name in labels) {
    const value = labels[name]!
    key += `${key === '' ? '' : ','}${name}=${NEEDS_ESCAPE.test(value) ? JSON.stringify(value) : `"${value}"`}`
  }
  return key
}

/**
 * Counters, gauges and histograms of a node, as Prometheus text. Counting costs a
 * map look-up; nothing is rendered until the text is asked for.
 *
 * @example
 * metrics.count('answers', { kind: 'served', route: 'look-up' })
 * metrics.time('request_ms', { route: 'look-up' }, 12)
 */
export class NodeMetrics {
  readonly #counters = new Map<string, Map<string, number>>()
  readonly #times = new Map<string, Map<string, TimeSeries>>()
  readonly #gauges = new Map<string, () => number>()

  count (name: string, labels: Labels = {}, byCount = 1): void {
    const series = this.#seriesOf(this.#counters, name)
    const key = keyOf(labels)
    const known = series.get(key)
    if (known === undefined && series.size >= SERIES_MAX_COUNT) return
    series.set(key, (known ?? 0) + byCount)
  }

  time (name: string, labels: Labels, tookMs: Millis): void {
    const series = this.#seriesOf(this.#times, name)
    const key = keyOf(labels)
    let entry = series.get(key)
    if (entry === undefined) {
      if (series.size >= SERIES_MAX_COUNT) return
      entry = { histogram: new Int32Histogram(1, HIGHEST_MS, SIGNIFICANT_DIGITS), sumMs: 0 }
      series.set(key, entry)
    }
    entry.histogram.recordValue(Math.min(HIGHEST_MS, Math.max(1, Math.round(tookMs))))
    entry.sumMs += tookMs
  }

  /** A value that is read when the text is asked for. */
  gauge (name: string, read: () => number): void {
    this.#gauges.set(name, read)
  }

  /** Prometheus text exposition format, version 0.0.4. */
  text (): string {
    const lines: string[] = []
    for (const [name, read] of this.#gauges) lines.push(`# TYPE ragwortspur_${name} gauge`, `ragwortspur_${name} ${read()}`)
    for (const [name, series] of this.#counters) {
      lines.push(`# TYPE ragwortspur_${name}_total counter`)
      for (const [labels, value] of series) lines.push(`ragwortspur_${name}_total{${labels}} ${value}`)
    }
    for (const [name, series] of this.#times) {
      lines.push(`# TYPE ragwortspur_${name} summary`)
      for (const [labels, { histogram, sumMs }] of series) {
        const separator = labels === '' ? '' : ','
        for (const quantile of QUANTILES) {
          const value = histogram.getValueAtPercentile(quantile * 100)
          lines.push(`ragwortspur_${name}{${labels}${separator}quantile="${quantile}"} ${value}`)
        }
        lines.push(`ragwortspur_${name}_sum{${labels}} ${Math.round(sumMs)}`)
        lines.push(`ragwortspur_${name}_count{${labels}} ${histogram.totalCount}`)
      }
    }
    return `${lines.join('\n')}\n`
  }

  #seriesOf<T> (metrics: Map<string, Map<string, T>>, name: string): Map<string, T> {
    let series = metrics.get(name)
    if (series === undefined) {
      series = new Map()
      metrics.set(name, series)
    }
    return series
  }
}
