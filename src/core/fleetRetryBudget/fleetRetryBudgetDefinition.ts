import type { Millis } from '../../clock/clock.js'
import { clearFleetRetryBudgetDb, createFleetRetryBudgetDb, getOrCreateSends, type FleetRetryBudgetDb } from './fleetRetryBudgetDb.js'
import { allowsRetry, SLICE_MS } from './fleetRetryBudgetDetector.js'

/** Counts one event in the current slice and deletes the slices before the window. */
function incrementCurrentSlice (slices: Map<number, number>, windowMs: Millis, nowMs: Millis): void {
  const slice = Math.floor(nowMs / SLICE_MS)
  slices.set(slice, (slices.get(slice) ?? 0) + 1)
  const oldest = Math.floor((nowMs - windowMs) / SLICE_MS)
  for (const key of slices.keys()) {
    if (key >= oldest) break
    slices.delete(key)
  }
}

/** Records a request for a service, whether it is sent or not. */
function recordRequest (db: FleetRetryBudgetDb, serviceName: string, nowMs: Millis): void {
  incrementCurrentSlice(getOrCreateSends(db, serviceName).requestsBySlice, db.settings.windowMs, nowMs)
}

/**
 * Takes one extra send from the budget if it allows one.
 *
 * @example
 * tryTakeResend(db, 'invoicing', 0) // false if the budget is exhausted
 */
function tryTakeRetry (db: FleetRetryBudgetDb, serviceName: string, nowMs: Millis): boolean {
  if (!allowsRetry(db, serviceName, nowMs)) return false
  incrementCurrentSlice(getOrCreateSends(db, serviceName).extrasBySlice, db.settings.windowMs, nowMs)
  return true
}

/** Records an extra arrival caused by a request that was itself a resend; not subject to the budget, but counted. */
function recordRepeat (db: FleetRetryBudgetDb, serviceName: string, nowMs: Millis): void {
  incrementCurrentSlice(getOrCreateSends(db, serviceName).extrasBySlice, db.settings.windowMs, nowMs)
}

/** The second-sends module: keeps resends within a fleet-wide budget without state shared between nodes. */
export const fleetRetryBudgetDefinition = {
  createDb: createFleetRetryBudgetDb,
  clear: clearFleetRetryBudgetDb,
  recordRequest,
  tryTakeRetry,
  recordRepeat,
  setNodesCount: (db: FleetRetryBudgetDb, nodesCount: number) => { db.nodesCount = nodesCount }
}
