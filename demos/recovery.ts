import type { WindowCounts } from '../src/standins/callerReport.js'

/** Windows that must all be back to normal, so that a single lucky one does not count. */
const STEADY_WINDOWS_COUNT = 3
const NORMAL_RATIO = 0.95
const LIMIT_MS = 30_000

function wholeRatio (windows: readonly WindowCounts[]): number {
  const offered = windows.reduce((sum, one) => sum + one.offered_count, 0)
  return offered === 0 ? 1 : windows.reduce((sum, one) => sum + one.whole_count, 0) / offered
}

/**
 * Time from the end of an overload until goodput is back to 95% of normal, or
 * null if that is not seen. Goodput of a window is the part of the root requests
 * arriving in it that end whole: the number that ends in a window varies by more
 * than 5% with the random arrivals alone.
 *
 * @example
 * recoveryMs(windows, overloadEndMs, { fromMs: calmStartMs, untilMs: overloadStartMs })
 */
export function recoveryMs (
  windows: readonly WindowCounts[], overloadEndMs: number, calm: { readonly fromMs: number, readonly untilMs: number }
): number | null {
  const calmRatio = wholeRatio(windows.filter(one => one.at_ms >= calm.fromMs && one.at_ms < calm.untilMs))
  const after = windows.filter(one => one.at_ms >= overloadEndMs && one.offered_count > 0)
  for (let index = 0; index + STEADY_WINDOWS_COUNT <= after.length; index += 1) {
    const steady = after.slice(index, index + STEADY_WINDOWS_COUNT)
    const first = steady[0]
    if (first === undefined || first.at_ms - overloadEndMs > LIMIT_MS) return null
    const isNormal = steady.every(one => wholeRatio([one]) >= NORMAL_RATIO * calmRatio)
    if (isNormal) return Math.max(0, first.at_ms - overloadEndMs)
  }
  return null
}
