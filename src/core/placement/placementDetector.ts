import type { Millis } from '../../clock/clock.js'
import type { ListedServer } from '../discovery/discoveryTypes.js'
import type { ServerView } from './placementTypes.js'

/** A report older than this says little: most calls end within it. */
const REPORT_LIFETIME_MS: Millis = 1_000
/** A backend server that has just started does about half of its usual work. */
const WARMING_CAPACITY_RATIO = 0.5

/** Share of a server's room that is taken, 1 when it is full; above 1 while calls wait. */
export function utilization (server: ListedServer, view: ServerView, nowMs: Millis): number {
  const limitCount = Math.max(1, view.report?.limitCount ?? server.slotsCount)
  const capacity = nowMs < view.warmUntilMs ? limitCount * WARMING_CAPACITY_RATIO : limitCount
  const ageMs = nowMs - view.reportedAtMs
  const trust = view.report === null ? 0 : Math.max(0, 1 - ageMs / REPORT_LIFETIME_MS)
  const reported = view.report === null ? 0 : view.report.runningCount + view.report.queuedCount
  const load = Math.max(reported * trust + view.sentSinceReportCount, view.outstandingCount)
  return (load + 1) / capacity
}

/** Whether a server is left alone for now because calls to it failed. */
export function isEjected (view: ServerView, nowMs: Millis): boolean {
  return nowMs < view.ejectedUntilMs || view.isSilent
}

/** Whether the server's own node said lately that it takes no new work. */
export function declinesWork (view: ServerView, nowMs: Millis): boolean {
  return view.report?.acceptsWork === false && nowMs - view.reportedAtMs < REPORT_LIFETIME_MS
}
