import type { WindowCounts } from '../src/standins/callerReport.js'

/** Consecutive windows that must have normal goodput; one window could have it by chance. */
const RECOVERED_WINDOWS_COUNT = 3
const NORMAL_GOODPUT_RATIO = 0.95
const RECOVERY_MAX_MS = 30_000

function goodputRatio (windows: readonly WindowCounts[]): number {
  const offered = windows.reduce((sum, window) => sum + window.offered_count, 0)
  return offered === 0 ? 1 : windows.reduce((sum, window) => sum + window.whole_count, 0) / offered
}

/**
 * Time from the end of an overload until goodput is back to 95% of that in the
 * baseline period, or null if it does not recover in time. The goodput of a window
 * is the fraction of the root requests arriving in it that get a whole answer. The
 * number of completions in a window is not used, because random arrivals alone make
 * it vary by more than 5%.
 *
 * @example
 * recoveryMs(windows, overloadEndMs, { fromMs: calmStartMs, untilMs: overloadStartMs })
 */
export function recoveryMs (
  windows: readonly WindowCounts[],
  overloadEndMs: number,
  baselinePeriod: { readonly fromMs: number, readonly untilMs: number }
): number | null {
  const baselineRatio = goodputRatio(windows.filter(window =>
    window.at_ms >= baselinePeriod.fromMs && window.at_ms < baselinePeriod.untilMs))
  const windowsAfterOverload = windows.filter(window => window.at_ms >= overloadEndMs && window.offered_count > 0)
  for (let index = 0; index + RECOVERED_WINDOWS_COUNT <= windowsAfterOverload.length; index += 1) {
    const candidateWindows = windowsAfterOverload.slice(index, index + RECOVERED_WINDOWS_COUNT)
    const first = candidateWindows[0]
    if (first === undefined || first.at_ms - overloadEndMs > RECOVERY_MAX_MS) return null
    const isNormal = candidateWindows.every(window => goodputRatio([window]) >= NORMAL_GOODPUT_RATIO * baselineRatio)
    if (isNormal) return Math.max(0, first.at_ms - overloadEndMs)
  }
  return null
}
