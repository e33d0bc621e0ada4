import type { Millis } from '../../clock/clock.js'
import type { SlotsSettings, Waiting } from './slotsTypes.js'

export interface SlotsDb {
  readonly settings: SlotsSettings
  slotsCount: number
  acceptsWork: boolean
  runningCount: number
  /** In the order in which they start. */
  readonly queue: Waiting[]
  /** Running and waiting calls as a share of the limit, averaged over a short time. */
  utilizationRatio: number
  countedAtMs: Millis
}

export function createSlotsDb (settings: SlotsSettings): SlotsDb {
  return {
    settings, slotsCount: 0, acceptsWork: true, runningCount: 0, queue: [], utilizationRatio: 0, countedAtMs: 0
  }
}

/** Empties the state. */
export function clearSlotsDb (db: SlotsDb): void {
  db.slotsCount = 0
  db.acceptsWork = true
  db.runningCount = 0
  db.queue.length = 0
  db.utilizationRatio = 0
  db.countedAtMs = 0
}
