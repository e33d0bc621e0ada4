import type { Millis } from '../../clock/clock.js'
import { tokensAfterRefill } from '../tokenBucket.js'
import type { RateLimitDb } from './rateLimitDb.js'

/** Largest burst after a pause, as the time in which the limit allows as many requests. */
const BURST_MS: Millis = 250
/** Rate at a lower limit, down to none: without any request, no answer could lift the limit. */
const RATE_MIN_PER_S = 0.25

function ratePerMs (limitPerS: number): number {
  return Math.max(RATE_MIN_PER_S, limitPerS) / 1000
}

/** Requests that may start at this time, not necessarily a whole number; infinite without a limit. */
export function tokensAt (db: RateLimitDb, nowMs: Millis): number {
  if (db.limitPerS === null) return Infinity
  const ratePerS = ratePerMs(db.limitPerS) * 1000
  const level = { tokensCount: db.tokens, refilledAtMs: db.refilledAtMs }
  return tokensAfterRefill(level, ratePerS, Math.max(1, ratePerS * BURST_MS / 1000), nowMs)
}

export function mayStart (db: RateLimitDb, nowMs: Millis): boolean {
  return tokensAt(db, nowMs) >= 1
}

/** Number of requests that the limit allows in some time, at least one; infinite without a limit. */
export function allowedCount (db: RateLimitDb, durationMs: Millis): number {
  return db.limitPerS === null ? Infinity : Math.max(1, Math.floor(ratePerMs(db.limitPerS) * durationMs))
}

/** Time until one more request can start behind `queuedCount` others; 0 without a limit. */
export function startDelayMs (db: RateLimitDb, queuedCount: number, nowMs: Millis): Millis {
  if (db.limitPerS === null) return 0
  return Math.max(0, queuedCount + 1 - tokensAt(db, nowMs)) / ratePerMs(db.limitPerS)
}
