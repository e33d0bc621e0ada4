import type { Millis } from '../../clock/clock.js'
import { clearRateLimitDb, createRateLimitDb, type RateLimitDb } from '../rateLimit/rateLimitDb.js'
import type { SlotsSettings, WaitingCall } from './slotsTypes.js'

export interface SlotsDb {
  readonly settings: SlotsSettings
  /** Limit on the rate at which calls start. */
  readonly rateLimit: RateLimitDb
  slotsCount: number
  acceptsWork: boolean
  runningCount: number
  /** Sorted in the order in which the calls start. */
  readonly queue: WaitingCall[]
  /** Running calls relative to the limit, exponentially averaged. */
  occupancyRatio: number
  /** Rate of offered calls per millisecond, refused ones included, exponentially averaged. */
  offeredPerMs: number
  /** When the averages were last updated. */
  averagedAtMs: Millis
  /** Average time for which a call holds its slot. */
  meanSlotMs: Millis
}

export function createSlotsDb (settings: SlotsSettings): SlotsDb {
  return {
    settings,
    rateLimit: createRateLimitDb(),
    slotsCount: 0,
    acceptsWork: true,
    runningCount: 0,
    queue: [],
    occupancyRatio: 0,
    offeredPerMs: 0,
    averagedAtMs: 0,
    meanSlotMs: 0
  }
}

/** Resets the state. */
export function clearSlotsDb (db: SlotsDb): void {
  clearRateLimitDb(db.rateLimit)
  db.slotsCount = 0
  db.acceptsWork = true
  db.runningCount = 0
  db.queue.length = 0
  db.occupancyRatio = 0
  db.offeredPerMs = 0
  db.averagedAtMs = 0
  db.meanSlotMs = 0
}
