import type { Millis } from '../../clock/clock.js'
import { retryOrder } from '../retryOrder.js'
import { slidingCountAtMost, slidingCountsOfTwoWindows, type SlidingCount } from '../slidingCount.js'
import type { FleetRetryBudgetDb, ServiceCounts } from './fleetRetryBudgetDb.js'
import type { ArrivalReport, RetryRequest } from './fleetRetryBudgetTypes.js'

/** Part of a node's share that it uses while the nodes of the service report the retries that arrive. */
const USED_RATIO_WITH_REPORTS = 0.9
/** Part of a node's share that it uses without reports: sub-calls of retries that enter at other nodes are unknown. */
const USED_RATIO_WITHOUT_REPORTS = 0.7
/** Age at which a report is no longer used. */
const REPORT_LIFETIME_MS: Millis = 2_500
/** Pressure up to which the first chain in the order may retry. The last one may retry at no pressure only. */
const PRESSURE_MAX_RATIO = 0.88
/**
 * Weight of the order while only the chains that are first in it are admitted: all of these need their retries, so
 * the last of them may retry up to a higher pressure.
 */
const ORDER_WEIGHT_OF_ADMITTED_RATIO = 0.2
/** Part of its share of the slack that a process uses in the first window after its start. */
const NEW_PROCESS_SLACK_RATIO = 0.5

/**
 * Requests by which the budget is measured: those of the last window, or of the one before it if chains are refused
 * at their root now and these were more. The budget counts the requests of the window before too.
 */
function budgetedCount (
  { settings }: FleetRetryBudgetDb, requests: SlidingCount, isServiceRefusing: boolean, nowMs: Millis
): number {
  const { lastCount, beforeCount } = slidingCountsOfTwoWindows(requests, settings.windowMs, nowMs)
  return isServiceRefusing ? Math.max(lastCount, beforeCount) : lastCount
}

/**
 * Repeated arrivals at the servers that reported lately, relative to their part of the budget: 1 when it is used
 * up. The counts are added up, since retries may go to other servers than most first sends. Null without a report.
 */
function reportedPressure (
  db: FleetRetryBudgetDb, counts: ServiceCounts, serversCount: number, nowMs: Millis
): number | null {
  let knownCount = 0
  let firstCount = 0
  let repeatedCount = 0
  for (const [serverId, { report, receivedAtMs }] of counts.reportsByServer) {
    if (nowMs - receivedAtMs >= REPORT_LIFETIME_MS) {
      counts.reportsByServer.delete(serverId)
      continue
    }
    knownCount += 1
    firstCount += report.firstCount
    repeatedCount += report.repeatedCount
  }
  if (knownCount === 0) return null
  const slackCount = db.settings.slackCount * Math.min(1, knownCount / Math.max(1, serversCount))
  return repeatedCount / (firstCount * db.settings.budgetRatio + slackCount)
}

/** The part of the fleet's slack that is this node's. A new process may follow one that has used it. */
function slackShare (db: FleetRetryBudgetDb, nowMs: Millis): number {
  const isNew = nowMs - db.startedAtMs < db.settings.windowMs
  return db.settings.slackCount * (isNew ? NEW_PROCESS_SLACK_RATIO : 1) / Math.max(1, db.nodesCount)
}

/**
 * Whether one more retry stays within this node's share of the budget: `budgetRatio` of
 * the requests that it recorded itself, plus an equal share of the slack. While the nodes of
 * the service report the retries that arrive at all of them, these must leave room as well.
 */
export function allowsRetry (
  db: FleetRetryBudgetDb, counts: ServiceCounts, request: RetryRequest, nowMs: Millis
): boolean {
  const pressure = reportedPressure(db, counts, request.serversCount, nowMs)
  if (pressure !== null) {
    const orderWeightRatio = request.isServiceRefusing ? ORDER_WEIGHT_OF_ADMITTED_RATIO : 1
    const order = retryOrder(request.rootId, request.rootImportanceRank) * orderWeightRatio
    if (pressure > 0 && pressure >= PRESSURE_MAX_RATIO * (1 - order)) return false
  }
  const requestsCount = budgetedCount(db, counts.requests, request.isServiceRefusing, nowMs)
  const shareCount = requestsCount * db.settings.budgetRatio + slackShare(db, nowMs)
  const usedRatio = pressure !== null ? USED_RATIO_WITH_REPORTS : USED_RATIO_WITHOUT_REPORTS
  return slidingCountAtMost(counts.retries, nowMs) + 1 <= shareCount * usedRatio
}

/**
 * Arrivals at this node's backend server. Null in the first window after the start, since the former process may
 * have received calls that this one does not know.
 */
export function arrivalReport (
  db: FleetRetryBudgetDb, nowMs: Millis, isServerRefusing = false
): ArrivalReport | null {
  if (nowMs - db.startedAtMs < db.settings.windowMs) return null
  return {
    firstCount: budgetedCount(db, db.arrivals.first, isServerRefusing, nowMs),
    repeatedCount: slidingCountAtMost(db.arrivals.repeated, nowMs)
  }
}
