import type { Millis } from '../../clock/clock.js'
import type { ChainAdmissionDb, RouteCosts } from './chainAdmissionDb.js'

/** A utilization older than this no longer causes refusals. */
const OBSERVATION_LIFETIME_MS: Millis = 1_500
/** A service at which a route uses less slot time per request than this is not part of its call chain. */
const COST_MIN_MS: Millis = 0.5

/** Order in which routes share a saturated service: by importance, then by slot time, the cheaper route first. */
function isAdmittedBefore (left: RouteCosts, right: RouteCosts, serviceName: string): boolean {
  if (left.importanceRank !== right.importanceRank) return left.importanceRank < right.importanceRank
  return (left.slotMsByService.get(serviceName) ?? 0) < (right.slotMsByService.get(serviceName) ?? 0)
}

/**
 * Fraction of a route's requests that a service can admit. The admitted part of
 * the offered work is allotted to the routes in order of priority until none is left.
 */
export function routeAdmittedRatio (db: ChainAdmissionDb, route: RouteCosts, serviceName: string): number {
  const admittedRatio = db.services.get(serviceName)?.admittedRatio ?? 1
  if (admittedRatio >= 1) return 1
  let totalWork = 0
  let workBefore = 0
  for (const other of db.routes.values()) {
    const work = other.offeredPerMs * (other.slotMsByService.get(serviceName) ?? 0)
    totalWork += work
    if (other !== route && isAdmittedBefore(other, route, serviceName)) workBefore += work
  }
  const ownWork = route.offeredPerMs * (route.slotMsByService.get(serviceName) ?? 0)
  if (ownWork <= 0) return 1
  const ratio = (admittedRatio * totalWork - workBefore) / ownWork
  return Math.min(1, Math.max(db.settings.floorRatio, ratio))
}

/** Whether an observation of a utilization is recent enough to be used. */
export function isObservationFresh (observedAtMs: Millis, nowMs: Millis): boolean {
  return nowMs - observedAtMs < OBSERVATION_LIFETIME_MS
}

/** Whether a route uses enough slot time at a service for the service to limit it. */
export function isPartOfChain (slotMs: Millis): boolean {
  return slotMs >= COST_MIN_MS
}
