import type { Millis } from '../../clock/clock.js'
import type { ChainAdmissionDb, RouteCosts } from './chainAdmissionDb.js'

/** A utilization that nobody has confirmed for this long is no reason to refuse. */
const OBSERVATION_LIFETIME_MS: Millis = 1_500
/** A service that takes less of a route than this part of a slot-millisecond is not part of its chain. */
const COST_MIN_MS: Millis = 0.5

/** Order in which routes are admitted to a full service: by importance, then the cheaper ones. */
function precedes (left: RouteCosts, right: RouteCosts, serviceName: string): boolean {
  if (left.importanceRank !== right.importanceRank) return left.importanceRank < right.importanceRank
  return (left.slotMsByService.get(serviceName) ?? 0) < (right.slotMsByService.get(serviceName) ?? 0)
}

/**
 * Share of a route's requests that a service has room for: the routes are let in
 * one after the other until the admitted part of the offered work is used up.
 */
export function admittedRatioOf (db: ChainAdmissionDb, route: RouteCosts, serviceName: string): number {
  const admittedRatio = db.services.get(serviceName)?.admittedRatio ?? 1
  if (admittedRatio >= 1) return 1
  let totalWork = 0
  let workBefore = 0
  for (const other of db.routes.values()) {
    const work = other.offeredPerMs * (other.slotMsByService.get(serviceName) ?? 0)
    totalWork += work
    if (other !== route && precedes(other, route, serviceName)) workBefore += work
  }
  const ownWork = route.offeredPerMs * (route.slotMsByService.get(serviceName) ?? 0)
  if (ownWork <= 0) return 1
  const ratio = (admittedRatio * totalWork - workBefore) / ownWork
  return Math.min(1, Math.max(db.settings.floorRatio, ratio))
}

export function isCurrent (observedAtMs: Millis, nowMs: Millis): boolean {
  return nowMs - observedAtMs < OBSERVATION_LIFETIME_MS
}

export function isPartOfChain (slotMs: Millis): boolean {
  return slotMs >= COST_MIN_MS
}
