import type { Millis } from '../../clock/clock.js'
import { clearFleetRetryBudgetDb, createFleetRetryBudgetDb, getOrCreateCounts, type FleetRetryBudgetDb } from './fleetRetryBudgetDb.js'
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

/** Records a request to a service, whether it is sent or refused. */
function recordRequest (db: FleetRetryBudgetDb, serviceName: string, nowMs: Millis): void {
  incrementCurrentSlice(getOrCreateCounts(db, serviceName).requestsBySlice, db.settings.windowMs, nowMs)
}

/**
 * Takes one retry from the budget if it allows one.
 *
 * @example
 * tryTakeRetry(db, 'invoicing', 0) // false if the budget is exhausted
 */
function tryTakeRetry (db: FleetRetryBudgetDb, serviceName: string, nowMs: Millis): boolean {
  if (!allowsRetry(db, serviceName, nowMs)) return false
  incrementCurrentSlice(getOrCreateCounts(db, serviceName).retriesBySlice, db.settings.windowMs, nowMs)
  return true
}

/** Counts a sub-call that a retry of another call has caused as a retry. It is sent even if the budget is used up. */
function recordSubCallOfRetry (db: FleetRetryBudgetDb, serviceName: string, nowMs: Millis): void {
  incrementCurrentSlice(getOrCreateCounts(db, serviceName).retriesBySlice, db.settings.windowMs, nowMs)
}

/** The fleet-retry-budget module: keeps the retries of each service within a fleet-wide budget without shared state. */
export const fleetRetryBudgetDefinition = {
  createDb: createFleetRetryBudgetDb,
  clear: clearFleetRetryBudgetDb,
  recordRequest,
  tryTakeRetry,
  recordSubCallOfRetry,
  setNodesCount: (db: FleetRetryBudgetDb, nodesCount: number) => { db.nodesCount = nodesCount }
}
