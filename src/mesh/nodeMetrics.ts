import type { Histogram } from 'hdr-histogram-js'
import histogramModule from 'hdr-histogram-js/dist/Int32Histogram.js'
import type { Millis } from '../clock/clock.js'

/** Longer durations are recorded as this one; requests on the platform take at most a few seconds. */
const HISTOGRAM_MAX_MS: Millis = 60_000
const SIGNIFICANT_DIGITS = 2
const QUANTILES = [0.5, 0.9, 0.99]
/** Limit on the label sets of one metric: labels come from the configuration, which may grow by hundreds. */
const SERIES_MAX_COUNT = 2_000

// Imported by its path, since the package's entry point also loads WebAssembly and compression code: 10 MB of memory.
const { default: Int32Histogram } = histogramModule

interface DurationSeries {
  readonly histogram: Histogram
  sumMs: number
}

export type Labels = Readonly<Record<string, string>>

/** A label value with one of these characters is escaped in the Prometheus text format. */
const NEEDS_ESCAPE = /["\\\n]/

/** Formats labels for the Prometheus text format. It runs at each recording, so it allocates no arrays. */
function formatLabels (labels: Labels): string {
  let key = ''
  for (const name in labels) {
    const value = labels[name]!
    key += `${key === '' ? '' : ','}${name}=${NEEDS_ESCAPE.test(value) ? JSON.stringify(value) : `"${value}"`}`
  }
  return key
}

/**
 * Counters, gauges and summaries of a node in the Prometheus text format. Recording
 * costs a map look-up; text is rendered only on request.
 *
 * @example
 * metrics.incrementCounter('answers', { kind: 'served', route: 'look-up' })
 * metrics.observeDuration('request_ms', { route: 'look-up' }, 12)
 */
export class NodeMetrics {
  readonly #counters = new Map<string, Map<string, number>>()
  readonly #summaries = new Map<string, Map<string, DurationSeries>>()
  readonly #gauges = new Map<string, () => number>()
  readonly #labelledGauges = new Map<string, () => ReadonlyArray<readonly [Labels, number]>>()

  incrementCounter (name: string, labels: Labels = {}, increment = 1): void {
    const series = this.#seriesOf(this.#counters, name)
    const key = formatLabels(labels)
    const known = series.get(key)
    if (known === undefined && series.size >= SERIES_MAX_COUNT) return
    series.set(key, (known ?? 0) + increment)
  }

  observeDuration (name: string, labels: Labels, tookMs: Millis): void {
    const series = this.#seriesOf(this.#summaries, name)
    const key = formatLabels(labels)
    let entry = series.get(key)
    if (entry === undefined) {
      if (series.size >= SERIES_MAX_COUNT) return
      entry = { histogram: new Int32Histogram(1, HISTOGRAM_MAX_MS, SIGNIFICANT_DIGITS), sumMs: 0 }
      series.set(key, entry)
    }
    entry.histogram.recordValue(Math.min(HISTOGRAM_MAX_MS, Math.max(1, Math.round(tookMs))))
    entry.sumMs += tookMs
  }

  /** Registers a gauge whose value is read when the text is rendered. */
  registerGauge (name: string, read: () => number): void {
    this.#gauges.set(name, read)
  }

  /** Registers a gauge with labels, whose values are read when the text is rendered. */
  registerLabelledGauge (name: string, read: () => ReadonlyArray<readonly [Labels, number]>): void {
    this.#labelledGauges.set(name, read)
  }

  /** Renders all metrics in the Prometheus text exposition format, version 0.0.4. */
  renderText (): string {
    const lines: string[] = []
    for (const [name, read] of this.#gauges) lines.push(`# TYPE ragwortspur_${name} gauge`, `ragwortspur_${name} ${read()}`)
    for (const [name, read] of this.#labelledGauges) {
      lines.push(`# TYPE ragwortspur_${name} gauge`)
      for (const [labels, value] of read().slice(0, SERIES_MAX_COUNT)) {
        lines.push(`ragwortspur_${name}{${formatLabels(labels)}} ${value}`)
      }
    }
    for (const [name, series] of this.#counters) {
      lines.push(`# TYPE ragwortspur_${name}_total counter`)
      for (const [labels, value] of series) lines.push(`ragwortspur_${name}_total{${labels}} ${value}`)
    }
    for (const [name, series] of this.#summaries) {
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
