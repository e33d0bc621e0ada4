import type { Millis } from '../../clock/clock.js'
import { getOrCreateSends, type FleetRetryBudgetDb } from './fleetRetryBudgetDb.js'

/** Slice length of the sliding-window counters; shorter slices are more exact and use more memory. */
export const SLICE_MS: Millis = 500
/** Fraction of the budget that is used; the rest covers sends in transit and slices partly outside the window. */
const ALLOWANCE_USED_RATIO = 0.8

function sumSince (slices: Map<number, number>, firstSlice: number): number {
  let sum = 0
  for (const [slice, count] of slices) if (slice >= firstSlice) sum += count
  return sum
}

/**
 * Whether one more send stays within this node's part of the budget: the ratio of
 * the requests that it sent itself, plus an equal share of the slack. For requests the
 * oldest slice, partly outside the window, is left out; for extra sends it is included.
 */
export function allowsRetry (db: FleetRetryBudgetDb, serviceName: string, nowMs: Millis): boolean {
  const sends = getOrCreateSends(db, serviceName)
  const { windowMs, budgetRatio, slackCount } = db.settings
  const firstSlice = Math.floor((nowMs - windowMs) / SLICE_MS)
  const requestsCount = sumSince(sends.requestsBySlice, firstSlice + 1)
  const extrasCount = sumSince(sends.extrasBySlice, firstSlice)
  const allowedCount = (requestsCount * budgetRatio + slackCount / Math.max(1, db.nodesCount)) * ALLOWANCE_USED_RATIO
  return extrasCount + 1 <= allowedCount
}
