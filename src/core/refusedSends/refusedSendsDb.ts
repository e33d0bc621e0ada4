import type { Millis } from '../../clock/clock.js'

/** Recent sends to this node's own backend server; the counts decrease exponentially with time. */
export interface RefusedSendsDb {
  sendsCount: number
  refusedCount: number
  updatedAtMs: Millis
}

export function createRefusedSendsDb (): RefusedSendsDb {
  return { sendsCount: 0, refusedCount: 0, updatedAtMs: 0 }
}

/** Resets the counts. */
export function clearRefusedSendsDb (db: RefusedSendsDb): void {
  db.sendsCount = 0
  db.refusedCount = 0
  db.updatedAtMs = 0
}
