import type { Millis } from '../../clock/clock.js'
import { clearRefusedSendsDb, createRefusedSendsDb, type RefusedSendsDb } from './refusedSendsDb.js'
import { countsDecay, refusedRatio } from './refusedSendsDetector.js'

/** Records how a send to the backend server ended: it was refused there, or it ran. */
function recordSend (db: RefusedSendsDb, isRefused: boolean, nowMs: Millis): void {
  const decay = countsDecay(db, nowMs)
  db.sendsCount = db.sendsCount * decay + 1
  db.refusedCount = db.refusedCount * decay + (isRefused ? 1 : 0)
  db.updatedAtMs = Math.max(db.updatedAtMs, nowMs)
}

/** The refused-sends module: how many of its sends this node's own backend server refuses. */
export const refusedSendsDefinition = {
  createDb: createRefusedSendsDb,
  clear: clearRefusedSendsDb,
  recordSend,
  refusedRatio
}
