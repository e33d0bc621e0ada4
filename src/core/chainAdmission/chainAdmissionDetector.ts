import type { Millis } from '../../clock/clock.js'
import { slidingCountsOfTwoWindows } from '../slidingCount.js'
import type { ChainAdmissionDb, RouteCosts, ServiceLoad } from './chainAdmissionDb.js'
import type { RetryBudget } from './chainAdmissionTypes.js'
import { completableShares, type CompetingRoute } from './completion.js'

/** A utilization older than this no longer causes refusals. */
const OBSERVATION_LIFETIME_MS: Millis = 1_500
/** A service at which a route uses less slot time per request than this is not part of its call chain. */
const COST_MIN_MS: Millis = 0.5
/** A service that a route calls less often per request than this does not decide whether its chains complete. */
const CALLS_MIN_COUNT = 0.25
/** Below this refusal ratio nothing is computed: a fifth of the budget bears it. */
const REFUSED_MIN_RATIO = 0.04
/** Reports of this age are enough by themselves, so that the end of the refusals is noticed soon. */
const REPORT_PREFERRED_AGE_MS: Millis = 500
/** Results behind the reports that are used. With fewer, a single server of four could decide. */
const RESULTS_MIN_COUNT = 6
/** Nodes at which few chains enter hear of a service about once a second. */
const REPORT_LIFETIME_MS: Millis = 5_000
/** A report counts as at most this many results, so that one chain does not decide alone. */
const RESULTS_PER_REPORT_MAX_COUNT = 6
/** A report with this many results behind it is itself a median over several servers. */
const RESULTS_OF_CHAIN_COUNT = 3
/** Time over which the calls of a process that has just started are counted at least. */
const CALLS_COUNTED_MIN_MS: Millis = 1_000
/** A route that was not offered for this long has no share in the work. */
const OFFERED_LIFETIME_MS: Millis = 10_000

/** Time constant of the rate by which chains are compared with the budget; low rates vary much in a shorter time. */
export const MEAN_OFFERED_TIME_CONSTANT_MS: Millis = 3_000

/** Rate of a route's requests over the last seconds. The time before its first request does not count. */
function meanOfferedPerMs (route: RouteCosts, nowMs: Millis): number {
  const decay = Math.exp(-(nowMs - route.offeredAtMs) / MEAN_OFFERED_TIME_CONSTANT_MS)
  const knownMs = Math.max(CALLS_COUNTED_MIN_MS, nowMs - route.firstOfferedAtMs)
  return route.meanOfferedPerMs * decay / (1 - Math.exp(-knownMs / MEAN_OFFERED_TIME_CONSTANT_MS))
}

/** Order in which routes share a saturated service: by importance, then by slot time, the cheaper route first. */
function isAdmittedBefore (left: RouteCosts, right: RouteCosts, serviceName: string): boolean {
  if (left.importanceRank !== right.importanceRank) return left.importanceRank < right.importanceRank
  return slotMsAt(left, serviceName) < slotMsAt(right, serviceName)
}

function slotMsAt (route: RouteCosts, serviceName: string): Millis {
  return route.costByService.get(serviceName)?.slotMs ?? 0
}

/**
 * Fraction of a route's requests that a service can admit. The admitted part of
 * the offered work is allotted to the routes in order of priority until none is left.
 */
export function routeAdmittedRatio (
  db: ChainAdmissionDb, route: RouteCosts, serviceName: string, nowMs: Millis
): number {
  const admittedRatio = db.services.get(serviceName)?.admittedRatio ?? 1
  if (admittedRatio >= 1) return 1
  let totalWork = 0
  let workBefore = 0
  for (const other of db.routes.values()) {
    if (nowMs - other.offeredAtMs >= OFFERED_LIFETIME_MS) continue
    const work = other.offeredPerMs * slotMsAt(other, serviceName)
    totalWork += work
    if (other !== route && isAdmittedBefore(other, route, serviceName)) workBefore += work
  }
  const ownWork = route.offeredPerMs * slotMsAt(route, serviceName)
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

/**
 * Refusal ratio of a service: the median of the newest reports of its servers, each of which is an average over
 * about a second. A single server that refuses, or whose node reports a wrong ratio, does not change the median,
 * and calls go to the others. 0 while it is not known.
 *
 * @example
 * serviceRefusedRatio(service, nowMs) // 0.55
 */
export function serviceRefusedRatio ({ refusals }: ServiceLoad, nowMs: Millis): number {
  if (refusals === null) return 0
  const { ratios, weights, atMs, nextIndex } = refusals
  const used: number[] = []
  let resultsCount = 0
  for (let back = 1; back <= ratios.length; back++) {
    const index = (nextIndex - back + ratios.length) % ratios.length
    const ageMs = nowMs - atMs[index]!
    if (ageMs >= (resultsCount < RESULTS_MIN_COUNT ? REPORT_LIFETIME_MS : REPORT_PREFERRED_AGE_MS)) break
    const count = Math.min(RESULTS_PER_REPORT_MAX_COUNT, weights[index]!)
    for (let at = 0; at < count; at++) used.push(ratios[index]!)
    resultsCount += count
  }
  if (resultsCount < RESULTS_MIN_COUNT) return 0
  const newestIndex = (nextIndex - 1 + ratios.length) % ratios.length
  // A chain that meets fewer refusals than those before it shows the recovery, also where chains are rare.
  const isChain = weights[newestIndex]! >= RESULTS_OF_CHAIN_COUNT
  return isChain ? Math.min(ratios[newestIndex]!, lowerMedian(used)) : lowerMedian(used)
}

/** Median of a list that is not empty; the lower of the two middle ones if their number is even. */
export function lowerMedian (values: ArrayLike<number>): number {
  return Float64Array.from(values).sort()[(values.length - 1) >> 1]!
}

/** Whether a service refuses so many calls that chains are admitted only as far as they can complete. */
export function isRefusing (db: ChainAdmissionDb, serviceName: string, nowMs: Millis): boolean {
  const service = db.services.get(serviceName)
  return service !== undefined && serviceRefusedRatio(service, nowMs) >= REFUSED_MIN_RATIO
}

/**
 * Calls per millisecond by which the budget is measured: those of the admitted chains of the last window, or of the
 * window before it if these were more, since the budget counts them too.
 */
function budgetedCallsPerMs (service: ServiceLoad, { settings }: RetryBudget, nowMs: Millis): number {
  if (service.calls === null) return 0
  const { windowMs } = settings
  const { lastCount, beforeCount } = slidingCountsOfTwoWindows(service.calls, windowMs, nowMs)
  const countedMs = Math.min(windowMs, Math.max(CALLS_COUNTED_MIN_MS, nowMs - service.callsSinceMs))
  return Math.max(lastCount / countedMs, beforeCount / windowMs)
}

/**
 * Share of the chains of each route that can complete with the retries that the fleet's budget allows at a service,
 * or null if all can.
 */
export function completableByRoute (
  db: ChainAdmissionDb, serviceName: string, service: ServiceLoad, budget: RetryBudget, nowMs: Millis
): ReadonlyMap<RouteCosts, number> | null {
  const refusedRatio = serviceRefusedRatio(service, nowMs)
  if (refusedRatio < REFUSED_MIN_RATIO) return null
  const competing: RouteCosts[] = []
  const routes: CompetingRoute[] = []
  let otherPerMs = 0
  for (const route of db.routes.values()) {
    if (nowMs - route.offeredAtMs >= OFFERED_LIFETIME_MS) continue
    const callsCount = route.costByService.get(serviceName)?.callsCount ?? 0
    if (callsCount < CALLS_MIN_COUNT) {
      otherPerMs += meanOfferedPerMs(route, nowMs)
      continue
    }
    competing.push(route)
    routes.push({
      importanceRank: route.importanceRank,
      offeredPerMs: meanOfferedPerMs(route, nowMs),
      callsCount,
      runsThere: route.serviceName === serviceName
    })
  }
  const { budgetRatio, slackCount, windowMs } = budget.settings
  const retriesPerMs = budgetRatio * budgetedCallsPerMs(service, budget, nowMs) +
    slackCount / Math.max(1, budget.nodesCount) / windowMs
  const shares = completableShares({ routes, refusedRatio: Math.min(0.98, refusedRatio), retriesPerMs, otherPerMs })
  if (shares.every(share => share >= 1)) return null
  return new Map(competing.map((route, index) => [route, shares[index]!]))
}
