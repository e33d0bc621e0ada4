import type { SlotsDb } from './slotsDb.js'

/** A server whose slots are not known yet gets a few calls, which tell them. */
const UNKNOWN_SLOTS_COUNT = 4

/** Calls that may run at once. */
export function limitCount (db: SlotsDb): number {
  const slotsCount = db.slotsCount > 0 ? db.slotsCount : UNKNOWN_SLOTS_COUNT
  return Math.max(1, Math.floor(slotsCount * db.settings.usedSlotsRatio))
}

export function hasRoom (db: SlotsDb): boolean {
  return db.runningCount < limitCount(db)
}
