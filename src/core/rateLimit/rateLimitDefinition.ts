import type { Millis } from '../../clock/clock.js'
import { addToSlidingCount, slidingCountAtMost } from '../slidingCount.js'
import { clearRateLimitDb, createRateLimitDb, LIMIT_WINDOW_MS, type RateLimitDb } from './rateLimitDb.js'
import { LimitChange, type LimitReport } from './rateLimitTypes.js'

/**
 * Records the limit that an answer names, or that it names none.
 *
 * @example
 * recordAnswer(db, 17.5) // 'named'
 */
function recordAnswer (db: RateLimitDb, limitPerS: number | null): LimitChange {
  const before = db.limitPerS
  if (before === limitPerS) return LimitChange.None
  db.limitPerS = limitPerS
  if (limitPerS === null) return LimitChange.Lifted
  return before === null ? LimitChange.Named : LimitChange.Changed
}

/** Counts a request that is sent to the backend server. */
function recordSend (db: RateLimitDb, isRepeated: boolean, nowMs: Millis): void {
  addToSlidingCount(db.sent, 1, nowMs)
  if (isRepeated) addToSlidingCount(db.repeated, 1, nowMs)
}

/** What was sent under the limit in force, or null without one. */
function getReport (db: RateLimitDb, nowMs: Millis): LimitReport | null {
  if (db.limitPerS === null) return null
  return {
    limitPerS: db.limitPerS,
    sentCount: slidingCountAtMost(db.sent, nowMs),
    repeatedCount: slidingCountAtMost(db.repeated, nowMs),
    windowMs: LIMIT_WINDOW_MS
  }
}

/** The rate-limit module: the limit that this node's backend server names in its answers. */
export const rateLimitDefinition = {
  createDb: createRateLimitDb,
  clear: clearRateLimitDb,
  recordAnswer,
  recordSend,
  getReport
}
