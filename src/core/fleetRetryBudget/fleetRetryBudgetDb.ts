import type { Millis } from '../../clock/clock.js'
import { createSlidingCount, type SlidingCount } from '../slidingCount.js'
import type { ArrivalReport, FleetRetryBudgetSettings } from './fleetRetryBudgetTypes.js'

/** A report and when it was received. */
export interface TimedArrivalReport {
  readonly report: ArrivalReport
  readonly receivedAtMs: Millis
}

/** What this node knows of the requests to one service that enter at it. */
export interface ServiceCounts {
  /** Requests of the last two windows. */
  readonly requests: SlidingCount
  /** Retries of these requests and sub-calls of retried calls. */
  readonly retries: SlidingCount
  /** Newest report of each server of the service. */
  readonly reportsByServer: Map<string, TimedArrivalReport>
}

/** Calls that arrived at this node's own backend server. */
export interface ArrivalCounts {
  /** First arrivals of the last two windows. */
  readonly first: SlidingCount
  readonly repeated: SlidingCount
}

export interface FleetRetryBudgetDb {
  readonly settings: FleetRetryBudgetSettings
  readonly services: Map<string, ServiceCounts>
  readonly arrivals: ArrivalCounts
  readonly startedAtMs: Millis
  /** Number of nodes among which the slack is divided evenly. */
  nodesCount: number
}

function createArrivalCounts (windowMs: Millis): ArrivalCounts {
  return { first: createSlidingCount(2 * windowMs), repeated: createSlidingCount(windowMs) }
}

export function createFleetRetryBudgetDb (settings: FleetRetryBudgetSettings, nowMs: Millis): FleetRetryBudgetDb {
  return {
    settings, services: new Map(), arrivals: createArrivalCounts(settings.windowMs), startedAtMs: nowMs, nodesCount: 1
  }
}

/** Removes the counts of all services. */
export function clearFleetRetryBudgetDb (db: FleetRetryBudgetDb): void {
  db.services.clear()
  for (const count of [db.arrivals.first, db.arrivals.repeated]) {
    count.slices.fill(0)
    count.total = 0
  }
}

export function getOrCreateCounts (db: FleetRetryBudgetDb, serviceName: string): ServiceCounts {
  let counts = db.services.get(serviceName)
  if (counts === undefined) {
    const { windowMs } = db.settings
    counts = {
      requests: createSlidingCount(2 * windowMs),
      retries: createSlidingCount(windowMs),
      reportsByServer: new Map()
    }
    db.services.set(serviceName, counts)
  }
  return counts
}
