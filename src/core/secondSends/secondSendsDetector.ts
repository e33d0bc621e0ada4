import type { Millis } from '../../clock/clock.js'
import { sendsOf, type SecondSendsDb } from './secondSendsDb.js'

/** Finer slices count a sliding window more exactly and cost more memory. */
export const SLICE_MS: Millis = 500
/** Part of the allowance that is used; the rest covers sends on their way and slices cut by the window. */
const USED_RATIO = 0.8

function sumSince (slices: Map<number, number>, firstSlice: number): number {
  let sum = 0
  for (const [slice, count] of slices) if (slice >= firstSlice) sum += count
  return sum
}

/**
 * Whether one more send stays within this node's part of the bound: the share
 * for the requests that it sent itself, and an even part of the slack.
 */
export function mayResend (db: SecondSendsDb, serviceName: string, nowMs: Millis): boolean {
  const sends = sendsOf(db, serviceName)
  const { windowMs, budgetRatio, slackCount } = db.settings
  const firstSlice = Math.floor((nowMs - windowMs) / SLICE_MS)
  const requestsCount = sumSince(sends.requestsBySlice, firstSlice + 1)
  const extrasCount = sumSince(sends.extrasBySlice, firstSlice)
  const allowedCount = (requestsCount * budgetRatio + slackCount / Math.max(1, db.nodesCount)) * USED_RATIO
  return extrasCount + 1 <= allowedCount
}
