import type { SlotsDb } from './slotsDb.js'

/** Slots assumed for a server that has not reported its own yet; the answers to these calls report them. */
const DEFAULT_SLOTS_COUNT = 4

/** Concurrency limit: calls that may run at once. */
export function limitCount (db: SlotsDb): number {
  const slotsCount = db.slotsCount > 0 ? db.slotsCount : DEFAULT_SLOTS_COUNT
  return Math.max(1, Math.floor(slotsCount * db.settings.usedSlotsRatio))
}

/**
 * Calls that run at once when calls start as fast as the rate limit allows (Little's law), at most the concurrency
 * limit. Other nodes compare servers by it.
 */
export function rateLimitedCount (db: SlotsDb): number {
  const { limitPerS } = db.rateLimit
  if (limitPerS === null) return limitCount(db)
  return Math.min(limitCount(db), Math.max(1, Math.ceil(limitPerS * db.meanSlotMs / 1000)))
}

/** Whether a slot is free for another call. */
export function hasFreeSlot (db: SlotsDb): boolean {
  return db.runningCount < limitCount(db)
}
