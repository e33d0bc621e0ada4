import type { Millis } from '../../clock/clock.js'
import type { RefusedSendsDb } from './refusedSendsDb.js'

/** Time constant of the counts: 95% of their weight lies in the last 1.2 s. */
const TIME_CONSTANT_MS: Millis = 400
/** Below this many recent sends the ratio is not known. Nodes that decide take the median of several reports. */
const SENDS_MIN_COUNT = 3
/** Weight to which the counts decrease at most, while sends are rare because roots are refused. */
const SENDS_KEPT_COUNT = 4
/** Without a send for this long nothing is known. */
const LIFETIME_MS: Millis = 1_500

/** Factor by which the counts have decreased since their last update. */
export function countsDecay (db: RefusedSendsDb, nowMs: Millis): number {
  const elapsedMs = Math.max(0, nowMs - db.updatedAtMs)
  if (elapsedMs >= LIFETIME_MS) return 0
  return Math.max(Math.exp(-elapsedMs / TIME_CONSTANT_MS), Math.min(1, SENDS_KEPT_COUNT / db.sendsCount))
}

/**
 * Share of the recent sends that the server refused, or null if there are too few.
 *
 * @example
 * refusedRatio(db, nowMs) // 0.55
 */
export function refusedRatio (db: RefusedSendsDb, nowMs: Millis): number | null {
  if (db.sendsCount * countsDecay(db, nowMs) < SENDS_MIN_COUNT) return null
  return db.refusedCount / db.sendsCount
}
