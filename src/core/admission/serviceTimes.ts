import type { Millis } from '../../clock/clock.js'
import type { RouteTimes } from './admissionDb.js'

const RECENT_SAMPLES = 16
const BASELINE_FALL_RATIO = 1 / 8
/** At 400 answers a second the floor follows a lasting change within about 10 s. */
const BASELINE_RISE_RATIO = 1 / 4096
/** An estimate without new answers is kept this long before it falls, whatever it is made of. */
const STALE_AFTER_MS = 200
/** Halving this often brings a tenfold estimate back to the floor in 0.35 s. */
const STALE_HALVING_MS = 100

/**
 * Learns from an answer that took `servedMs`.
 *
 * @example
 * learnServed(timesOf(db, 'book'), 12, nowMs)
 */
export function learnServed (times: RouteTimes, servedMs: Millis, nowMs: Millis): void {
  times.recentMs = expectedMs(times, nowMs)
  times.samplesCount += 1
  times.recentMs += (servedMs - times.recentMs) / Math.min(times.samplesCount, RECENT_SAMPLES)
  times.lastSampleAtMs = nowMs
  const gapMs = times.recentMs - times.baselineMs
  const ratio = gapMs < 0 ? BASELINE_FALL_RATIO : BASELINE_RISE_RATIO
  times.baselineMs += gapMs * Math.max(ratio, times.samplesCount < RECENT_SAMPLES ? 1 / times.samplesCount : 0)
}

/**
 * Learns from a call that ended without an answer after `elapsedMs`. The time
 * is only a lower bound, so it can raise the estimate but not lower it. Without
 * it a server too slow to answer any call in time would never look slow.
 *
 * @example
 * learnUnanswered(timesOf(db, 'book'), 2000, nowMs)
 */
export function learnUnanswered (times: RouteTimes, elapsedMs: Millis, nowMs: Millis): void {
  if (elapsedMs > expectedMs(times, nowMs)) learnServed(times, elapsedMs, nowMs)
}

/**
 * Expected service time, 0 when nothing is known. Without new answers the
 * estimate falls towards 0: a high estimate refuses the very calls whose answers
 * would correct it. It does not stop at the long-term floor, which is itself as
 * high as a timeout when the first calls of a route timed out.
 *
 * @example
 * expectedMs(timesOf(db, 'book'), nowMs)
 */
export function expectedMs (times: RouteTimes, nowMs: Millis): Millis {
  const staleMs = nowMs - times.lastSampleAtMs - STALE_AFTER_MS
  return staleMs <= 0 ? times.recentMs : times.recentMs * 2 ** (-staleMs / STALE_HALVING_MS)
}
