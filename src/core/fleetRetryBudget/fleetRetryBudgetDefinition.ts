import type { Millis } from '../../clock/clock.js'
import { addToSlidingCount } from '../slidingCount.js'
import { clearFleetRetryBudgetDb, createFleetRetryBudgetDb, getOrCreateCounts, type FleetRetryBudgetDb } from './fleetRetryBudgetDb.js'
import { allowsRetry, arrivalReport } from './fleetRetryBudgetDetector.js'
import type { ArrivalReport, RetryRequest } from './fleetRetryBudgetTypes.js'

/** Records a request to a service, whether it is sent or refused. */
function recordRequest (db: FleetRetryBudgetDb, serviceName: string, nowMs: Millis): void {
  addToSlidingCount(getOrCreateCounts(db, serviceName).requests, 1, nowMs)
}

/**
 * Takes one retry from the budget if it allows one. When the budget is nearly used up,
 * the chains that are first in the order of retries still get all they need.
 *
 * @example
 * const root = { rootId: 'r-7', rootImportanceRank: 0 }
 * tryTakeRetry(db, { serviceName: 'invoicing', serversCount: 3, ...root }, 0) // false if it is used up
 */
function tryTakeRetry (db: FleetRetryBudgetDb, request: RetryRequest, nowMs: Millis): boolean {
  const counts = getOrCreateCounts(db, request.serviceName)
  if (!allowsRetry(db, counts, request, nowMs)) return false
  addToSlidingCount(counts.retries, 1, nowMs)
  return true
}

/** Counts a sub-call that a retry of another call has caused as a retry. It is sent even if the budget is used up. */
function recordSubCallOfRetry (db: FleetRetryBudgetDb, serviceName: string, nowMs: Millis): void {
  addToSlidingCount(getOrCreateCounts(db, serviceName).retries, 1, nowMs)
}

/** Records a call that is sent to this node's own backend server. */
function recordArrival (db: FleetRetryBudgetDb, isRepeated: boolean, nowMs: Millis): void {
  addToSlidingCount(isRepeated ? db.arrivals.repeated : db.arrivals.first, 1, nowMs)
}

/** Stores what the node of a server of the service reports of its arrivals. */
function recordArrivalReport (
  db: FleetRetryBudgetDb, serviceName: string, serverId: string, report: ArrivalReport | null, nowMs: Millis
): void {
  if (report !== null) getOrCreateCounts(db, serviceName).reportsByServer.set(serverId, { report, receivedAtMs: nowMs })
}

/** The fleet-retry-budget module: keeps the retries of each service within a fleet-wide budget without shared state. */
export const fleetRetryBudgetDefinition = {
  createDb: createFleetRetryBudgetDb,
  clear: clearFleetRetryBudgetDb,
  recordRequest,
  tryTakeRetry,
  recordSubCallOfRetry,
  recordArrival,
  recordArrivalReport,
  arrivalReport,
  setNodesCount: (db: FleetRetryBudgetDb, nodesCount: number) => { db.nodesCount = nodesCount }
}
