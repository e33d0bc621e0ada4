import type { Millis } from '../../clock/clock.js'
import { addToSlidingCount, slidingCountAtMost } from '../slidingCount.js'
import { clearRateLimitDb, createRateLimitDb, LIMIT_WINDOW_MS, type RateLimitDb } from './rateLimitDb.js'
import { allowedCount, mayStart, startDelayMs, tokensAt } from './rateLimitDetector.js'
import { LimitChange, type LimitAnswer, type LimitReport } from './rateLimitTypes.js'

function setLimit (db: RateLimitDb, limitPerS: number | null, nowMs: Millis): void {
  db.tokens = db.limitPerS === null ? 0 : tokensAt(db, nowMs)
  db.refilledAtMs = nowMs
  db.limitPerS = limitPerS
}

/**
 * Records the limit that an answer names, or that it names none. Answers may arrive in another order than they
 * were given, so a limit is lifted only by the answer to a request that was sent after the limit was named.
 *
 * @example
 * recordAnswer(db, { limitPerS: 17.5, sentAtMs: 0 }, 120) // 'named'
 */
function recordAnswer (db: RateLimitDb, { limitPerS, sentAtMs }: LimitAnswer, nowMs: Millis): LimitChange {
  const before = db.limitPerS
  db.hasAnswered = true
  if (limitPerS === null) {
    if (before === null || sentAtMs < db.namedAtMs) return LimitChange.None
    setLimit(db, null, nowMs)
    return LimitChange.Lifted
  }
  db.namedAtMs = nowMs
  if (before === limitPerS) return LimitChange.None
  setLimit(db, limitPerS, nowMs)
  return before === null ? LimitChange.Named : LimitChange.Changed
}

/**
 * Adopts a limit that a peer knows from answers that it forwarded. Returns false if this process has answers of its
 * own, which are newer. A process that has just started does not know what its predecessor has sent, so it starts
 * without tokens.
 */
function adoptLimit (db: RateLimitDb, limitPerS: number, nowMs: Millis): boolean {
  if (db.hasAnswered || db.limitPerS !== null) return false
  db.namedAtMs = nowMs
  setLimit(db, limitPerS, nowMs)
  return true
}

/** Takes the token of a request that starts; `mayStart` must be true. */
function takeToken (db: RateLimitDb, nowMs: Millis): void {
  if (db.limitPerS === null) return
  db.tokens = tokensAt(db, nowMs) - 1
  db.refilledAtMs = nowMs
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

/**
 * The rate-limit module: the limit that this node's backend server names for all nodes together. All requests to
 * the server pass through its own node, so the limit is not divided among the others and needs no coordination.
 */
export const rateLimitDefinition = {
  createDb: createRateLimitDb,
  clear: clearRateLimitDb,
  recordAnswer,
  adoptLimit,
  mayStart,
  takeToken,
  allowedCount,
  startDelayMs,
  recordSend,
  getReport
}
