import type { Millis } from '../../clock/clock.js'
import type { ListedServer } from '../discovery/discoveryTypes.js'
import type { NamedSignals, ServerView } from './placementTypes.js'

/** Age at which a load report is ignored: most calls that it counted have ended by then. */
const REPORT_LIFETIME_MS: Millis = 1_000
/** Capacity of a backend server during its warm-up, relative to its usual one. */
const WARM_UP_CAPACITY_RATIO = 0.5
const UTILIZATION_COUNTED_MAX_RATIO = 0.99

/** Calls that a server runs at once, less during its warm-up. */
export function warmCapacityCount (server: ListedServer, view: ServerView, nowMs: Millis): number {
  const limitCount = Math.max(1, view.report?.limitCount ?? server.slotsCount)
  return nowMs < view.warmUntilMs ? limitCount * WARM_UP_CAPACITY_RATIO : limitCount
}

/**
 * Mean wait for one of `slotsCount` slots by the approximation of Sakasegawa (1977). Utilization counts up to 0.99;
 * above that the queue grows without end, and the wait is that of the calls beyond the slots.
 *
 * @example
 * expectedWaitMs(0.9, 100, 140) // about 3.5
 */
export function expectedWaitMs (utilizationRatio: number, slotsCount: number, slotMs: Millis): Millis {
  const counted = Math.min(UTILIZATION_COUNTED_MAX_RATIO, utilizationRatio)
  const steadyMs = slotMs * counted ** (Math.sqrt(2 * (slotsCount + 1)) - 1) / (slotsCount * (1 - counted))
  return steadyMs + Math.max(0, utilizationRatio - counted) * slotMs
}

/**
 * Expected utilization of a server with one more call: 1 when it is full, above 1
 * while calls are queued. Uses the last load report, whose weight decreases with its
 * age, plus the calls sent since; at least this node's own outstanding calls.
 */
export function expectedUtilizationRatio (server: ListedServer, view: ServerView, nowMs: Millis): number {
  const capacity = warmCapacityCount(server, view, nowMs)
  const ageMs = nowMs - view.reportedAtMs
  const reportWeightRatio = view.report === null ? 0 : Math.max(0, 1 - ageMs / REPORT_LIFETIME_MS)
  const reported = view.report === null ? 0 : view.report.runningCount + view.report.queuedCount
  const load = Math.max(reported * reportWeightRatio + view.sentSinceReportCount, view.outstandingCount)
  return (load + 1) / capacity
}

/** Whether a server is ejected because calls to it failed or its node does not respond. */
export function isEjected (view: ServerView, nowMs: Millis): boolean {
  return nowMs < view.ejectedUntilMs || view.isUnresponsive
}

/**
 * Whether signals are about a listed server. A node may know a later incarnation of its server than the list here,
 * or only parts of its identity.
 */
export function mayBeAbout ({ serverId, startedAtWallMs }: NamedSignals, server: ListedServer): boolean {
  if (serverId === '') return true
  return serverId === server.serverId &&
    (startedAtWallMs === 0 || server.startedAtWallMs === 0 || startedAtWallMs === server.startedAtWallMs)
}

/** Whether the server's own node recently reported that it accepts no new work. */
export function declinesWork (view: ServerView, nowMs: Millis): boolean {
  return view.report?.acceptsWork === false && nowMs - view.reportedAtMs < REPORT_LIFETIME_MS
}

/** Limits of a plausible pace. */
const PACE_MIN_RATIO = 0.1
const PACE_MAX_RATIO = 10

/** The pace, or null if it is zero, negative, not a number or implausible. */
export function plausiblePaceRatio (paceRatio: number): number | null {
  return paceRatio >= PACE_MIN_RATIO && paceRatio <= PACE_MAX_RATIO ? paceRatio : null
}
