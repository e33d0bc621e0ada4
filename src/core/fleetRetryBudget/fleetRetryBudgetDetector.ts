import type { Millis } from '../../clock/clock.js'
import { getOrCreateCounts, type FleetRetryBudgetDb } from './fleetRetryBudgetDb.js'

/** Slice length of the sliding-window counters; shorter slices are more exact and use more memory. */
export const SLICE_MS: Millis = 500
/** Fraction of the budget that is used; the rest covers retries in transit and slices partly outside the window. */
const ALLOWANCE_USED_RATIO = 0.8

function sumSince (slices: Map<number, number>, firstSlice: number): number {
  let sum = 0
  for (const [slice, count] of slices) if (slice >= firstSlice) sum += count
  return sum
}

/**
 * Whether one more retry stays within this node's part of the budget: `budgetRatio` of
 * the requests that it recorded itself, plus an equal share of the slack. The oldest slice
 * lies partly outside the window; it is left out for requests and included for retries.
 */
export function allowsRetry (db: FleetRetryBudgetDb, serviceName: string, nowMs: Millis): boolean {
  const counts = getOrCreateCounts(db, serviceName)
  const { windowMs, budgetRatio, slackCount } = db.settings
  const firstSlice = Math.floor((nowMs - windowMs) / SLICE_MS)
  const requestsCount = sumSince(counts.requestsBySlice, firstSlice + 1)
  const retriesCount = sumSince(counts.retriesBySlice, firstSlice)
  const allowedCount = (requestsCount * budgetRatio + slackCount / Math.max(1, db.nodesCount)) * ALLOWANCE_USED_RATIO
  return retriesCount + 1 <= allowedCount
}
