import type { SlotsDb } from './slotsDb.js'

/** Slots assumed for a server that has not reported its own yet; the answers to these calls report them. */
const DEFAULT_SLOTS_COUNT = 4

/** Concurrency limit: calls that may run at once. */
export function limitCount (db: SlotsDb): number {
  const slotsCount = db.slotsCount > 0 ? db.slotsCount : DEFAULT_SLOTS_COUNT
  return Math.max(1, Math.floor(slotsCount * db.settings.usedSlotsRatio))
}

/** Whether another call may start. */
export function hasFreeSlot (db: SlotsDb): boolean {
  return db.runningCount < limitCount(db)
}
