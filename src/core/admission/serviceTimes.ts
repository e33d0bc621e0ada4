import type { Millis } from '../../clock/clock.js'
import type { ServiceTimeEstimate } from './admissionDb.js'

const AVERAGE_SAMPLES_COUNT = 16
const BASELINE_FALL_RATIO = 1 / 8
/** At 400 answers per second the baseline follows a lasting increase within about 10 s. */
const BASELINE_RISE_RATIO = 1 / 4096
/** Time after the last sample during which the estimate does not decay. */
const STALE_AFTER_MS = 200
/** Half-life of a stale estimate; a tenfold estimate is back at the baseline 0.35 s after decay starts. */
const STALE_HALVING_MS = 100

/**
 * Adds a service time of `servedMs` to the moving average and the baseline.
 *
 * @example
 * recordServiceTime(getOrCreateEstimate(db, 'book'), 12, nowMs)
 */
export function recordServiceTime (estimate: ServiceTimeEstimate, servedMs: Millis, nowMs: Millis): void {
  estimate.movingAverageMs = estimateServiceMs(estimate, nowMs)
  estimate.samplesCount += 1
  estimate.movingAverageMs += (servedMs - estimate.movingAverageMs) /
    Math.min(estimate.samplesCount, AVERAGE_SAMPLES_COUNT)
  estimate.lastSampleAtMs = nowMs
  const gapMs = estimate.movingAverageMs - estimate.baselineMs
  const ratio = gapMs < 0 ? BASELINE_FALL_RATIO : BASELINE_RISE_RATIO
  estimate.baselineMs += gapMs *
    Math.max(ratio, estimate.samplesCount < AVERAGE_SAMPLES_COUNT ? 1 / estimate.samplesCount : 0)
}

/**
 * Records a call that ended without an answer after `elapsedMs`. This time is
 * only a lower bound of the service time, so it can raise the estimate but not
 * lower it. If such calls were ignored, the estimate would stay low for a server
 * that is too slow to answer any call in time.
 *
 * @example
 * recordUnanswered(getOrCreateEstimate(db, 'book'), 2000, nowMs)
 */
export function recordUnanswered (estimate: ServiceTimeEstimate, elapsedMs: Millis, nowMs: Millis): void {
  if (elapsedMs > estimateServiceMs(estimate, nowMs)) recordServiceTime(estimate, elapsedMs, nowMs)
}

/**
 * Expected service time, 0 without samples. The estimate decays towards 0 while
 * no answers arrive, because a high estimate causes refusals of the calls whose
 * answers would correct it. The decay does not stop at the baseline: if the first
 * calls of a route timed out, the baseline is as high as the timeout.
 *
 * @example
 * estimateServiceMs(getOrCreateEstimate(db, 'book'), nowMs)
 */
export function estimateServiceMs (estimate: ServiceTimeEstimate, nowMs: Millis): Millis {
  const staleMs = nowMs - estimate.lastSampleAtMs - STALE_AFTER_MS
  return staleMs <= 0 ? estimate.movingAverageMs : estimate.movingAverageMs * 2 ** (-staleMs / STALE_HALVING_MS)
}
