import type { Millis } from '../clock/clock.js'

/** Slice length of sliding counts; shorter slices are more exact and use more memory. */
const SLICE_MS: Millis = 500

/** Number of events in the last `windowMs`, counted in slices of half a second. */
export interface SlidingCount {
  /** Events by slice, in a ring that covers the window and the slice that lies partly outside it. */
  readonly slices: Float64Array
  /** Number of the newest slice since the start of the clock. */
  newestSlice: number
  /** Sum of all slices. */
  total: number
}

/** Creates an empty count. */
export function createSlidingCount (windowMs: Millis): SlidingCount {
  return { slices: new Float64Array(Math.ceil(windowMs / SLICE_MS) + 1), newestSlice: 0, total: 0 }
}

/** Removes the slices that have left the window. */
function advanceTo (count: SlidingCount, nowMs: Millis): void {
  const slice = Math.floor(nowMs / SLICE_MS)
  const { slices } = count
  if (slice <= count.newestSlice) return
  if (slice - count.newestSlice >= slices.length) {
    slices.fill(0)
    count.total = 0
  } else {
    for (let cleared = count.newestSlice + 1; cleared <= slice; cleared++) {
      count.total -= slices[cleared % slices.length]!
      slices[cleared % slices.length] = 0
    }
  }
  count.newestSlice = slice
}

/**
 * Counts events at the present time.
 *
 * @example
 * addToSlidingCount(count, 1, 250)
 */
export function addToSlidingCount (count: SlidingCount, eventsCount: number, nowMs: Millis): void {
  advanceTo(count, nowMs)
  count.slices[count.newestSlice % count.slices.length]! += eventsCount
  count.total += eventsCount
}

/** Upper bound of the events in the window: the slice that lies partly outside it is included. */
export function slidingCountAtMost (count: SlidingCount, nowMs: Millis): number {
  advanceTo(count, nowMs)
  return count.total
}

/**
 * Events in the last `windowMs` and in the window of the same length before it. The count must have been created
 * for twice that length. Both are lower bounds: the slice that lies partly outside each is left out.
 */
export function slidingCountsOfTwoWindows (
  count: SlidingCount, windowMs: Millis, nowMs: Millis
): { readonly lastCount: number, readonly beforeCount: number } {
  advanceTo(count, nowMs)
  const { slices, newestSlice } = count
  let lastCount = 0
  const slicesCount = Math.min(slices.length, Math.ceil(windowMs / SLICE_MS), newestSlice + 1)
  for (let back = 0; back < slicesCount; back++) lastCount += slices[(newestSlice - back) % slices.length]!
  return { lastCount, beforeCount: count.total - lastCount - slices[(newestSlice + 1) % slices.length]! }
}
