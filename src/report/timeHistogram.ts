import { build, type Histogram } from 'hdr-histogram-js'
import type { TimeReading } from './reportTypes.js'

/** Times are recorded in integer steps of 10 microseconds, as in the histograms of the nodes. */
const STEPS_PER_MS = 100
/** Longer times are recorded as this one, which bounds the size of a histogram. */
const TIME_MAX_MS = 600_000
const SIGNIFICANT_DIGITS = 2
const EMPTY_READING: TimeReading = { count: 0, p50Ms: 0, p90Ms: 0, p99Ms: 0, p999Ms: 0, maxMs: 0 }

/** Creates an empty histogram of times. */
export function createTimeHistogram (): Histogram {
  return build({ autoResize: true, numberOfSignificantValueDigits: SIGNIFICANT_DIGITS, bitBucketSize: 32 })
}

export function recordTime (histogram: Histogram, timeMs: number): void {
  histogram.recordValue(Math.round(Math.min(TIME_MAX_MS, Math.max(0, timeMs)) * STEPS_PER_MS))
}

/**
 * Merges histograms and returns the percentiles of all their times.
 *
 * @example
 * readTimes([first, second]).p99Ms
 */
export function readPercentiles (histograms: ReadonlyArray<Histogram | undefined>): TimeReading {
  const merged = createTimeHistogram()
  for (const one of histograms) if (one !== undefined) merged.add(one)
  if (merged.totalCount === 0) return EMPTY_READING
  const percentileMs = (percentile: number): number => merged.getValueAtPercentile(percentile) / STEPS_PER_MS
  return {
    count: merged.totalCount,
    p50Ms: percentileMs(50),
    p90Ms: percentileMs(90),
    p99Ms: percentileMs(99),
    p999Ms: percentileMs(99.9),
    maxMs: merged.maxValue / STEPS_PER_MS
  }
}
