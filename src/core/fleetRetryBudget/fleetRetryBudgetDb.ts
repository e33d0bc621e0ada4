import type { Millis } from '../../clock/clock.js'
import type { FleetRetryBudgetSettings } from './fleetRetryBudgetTypes.js'

/** Requests to one service and their retries, counted per time slice. */
export interface ServiceCounts {
  readonly requestsBySlice: Map<number, number>
  readonly retriesBySlice: Map<number, number>
}

export interface FleetRetryBudgetDb {
  readonly settings: FleetRetryBudgetSettings
  readonly services: Map<string, ServiceCounts>
  readonly startedAtMs: Millis
  /** Number of nodes among which the slack is divided evenly. */
  nodesCount: number
}

export function createFleetRetryBudgetDb (settings: FleetRetryBudgetSettings, nowMs: Millis): FleetRetryBudgetDb {
  return { settings, services: new Map(), startedAtMs: nowMs, nodesCount: 1 }
}

/** Removes the counts of all services. */
export function clearFleetRetryBudgetDb (db: FleetRetryBudgetDb): void {
  db.services.clear()
}

export function getOrCreateCounts (db: FleetRetryBudgetDb, serviceName: string): ServiceCounts {
  let counts = db.services.get(serviceName)
  if (counts === undefined) {
    counts = { requestsBySlice: new Map(), retriesBySlice: new Map() }
    db.services.set(serviceName, counts)
  }
  return counts
}
