import type { Millis } from '../../clock/clock.js'
import type { SlotsSettings, Waiting } from './slotsTypes.js'

export interface SlotsDb {
  readonly settings: SlotsSettings
  slotsCount: number
  acceptsWork: boolean
  runningCount: number
  /** In the order in which they start. */
  readonly queue: Waiting[]
  /** Running calls as a share of the limit, averaged over a short time. */
  occupancyRatio: number
  /** Calls offered a millisecond, those that were refused included, averaged over a short time. */
  offeredPerMs: number
  countedAtMs: Millis
  /** Mean time for which a call holds its slot. */
  slotMs: Millis
}

export function createSlotsDb (settings: SlotsSettings): SlotsDb {
  return {
    settings,
    slotsCount: 0,
    acceptsWork: true,
    runningCount: 0,
    queue: [],
    occupancyRatio: 0,
    offeredPerMs: 0,
    countedAtMs: 0,
    slotMs: 0
  }
}

/** Empties the state. */
export function clearSlotsDb (db: SlotsDb): void {
  db.slotsCount = 0
  db.acceptsWork = true
  db.runningCount = 0
  db.queue.length = 0
  db.occupancyRatio = 0
  db.offeredPerMs = 0
  db.countedAtMs = 0
  db.slotMs = 0
}
