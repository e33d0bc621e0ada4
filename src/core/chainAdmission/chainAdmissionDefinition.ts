import type { Millis } from '../../clock/clock.js'
import type { RandomSource } from '../coreTypes.js'
import { chainOrder } from '../retryOrder.js'
import { addToSlidingCount } from '../slidingCount.js'
import {
  addRefusalReport, clearChainAdmissionDb, createChainAdmissionDb, getOrCreateCalls, getOrCreateRoute,
  getOrCreateService, type ChainAdmissionDb, type RouteCosts, type ServiceLoad
} from './chainAdmissionDb.js'
import {
  completableByRoute, isObservationFresh, isPartOfChain, isRefusing, MEAN_OFFERED_TIME_CONSTANT_MS,
  routeAdmittedRatio, serviceRefusedRatio
} from './chainAdmissionDetector.js'
import type {
  ChainAdmissionSettings, RetryBudget, RootDecision, RootRequest, ServiceUsage
} from './chainAdmissionTypes.js'
import { recordWorkspaceOffered, workspaceAdmittedRatio } from './workspaceShares.js'

export const chainAdmissionDefaults: ChainAdmissionSettings = { targetRatio: 1, gainPerS: 2, floorRatio: 0.08 }

/** Least weight of one finished request in the average cost of its route. */
const COST_WEIGHT_RATIO = 0.05
/** Time constant of the average rate of offered requests. */
const OFFERED_TIME_CONSTANT_MS: Millis = 500
/** Time constant of the average utilization of a service. */
const UTILIZATION_TIME_CONSTANT_MS: Millis = 100
/** Lower bound of a service's admitted ratio; a smaller one has the same effect as admitting nothing. */
const ADMITTED_MIN_RATIO = 0.02
/** One adjustment covers at most this time, because the utilization before it is unknown. */
const ADJUSTMENT_MAX_MS: Millis = 250
/** The shares of chains that can complete are computed again after this time. */
const COMPLETABLE_LIFETIME_MS: Millis = 50
/** Requests of a route are admitted until this many have finished, so that their costs become known. */
const SAMPLES_MIN_COUNT = 3

function recordOffered (db: ChainAdmissionDb, request: RootRequest, nowMs: Millis): RouteCosts {
  const route = getOrCreateRoute(db, request, nowMs)
  const elapsedMs = nowMs - route.offeredAtMs
  route.offeredPerMs = route.offeredPerMs * Math.exp(-elapsedMs / OFFERED_TIME_CONSTANT_MS) +
    1 / OFFERED_TIME_CONSTANT_MS
  route.meanOfferedPerMs = route.meanOfferedPerMs * Math.exp(-elapsedMs / MEAN_OFFERED_TIME_CONSTANT_MS) +
    1 / MEAN_OFFERED_TIME_CONSTANT_MS
  route.offeredAtMs = nowMs
  if (request.workspaceName !== null) {
    recordWorkspaceOffered(db.workspaces, request.importanceRank, request.workspaceName, nowMs)
  }
  return route
}

/**
 * Adjusts the admitted ratio so that the utilization approaches its target: an
 * integral controller on a logarithmic scale. The utilization counts as at least
 * half of the target, which limits how fast the ratio rises; without a recent
 * observation it counts as exactly that, so the ratio recovers.
 */
function adjustAdmittedRatio (db: ChainAdmissionDb, service: ServiceLoad, nowMs: Millis): void {
  const elapsedMs = Math.min(ADJUSTMENT_MAX_MS, nowMs - service.adjustedAtMs)
  if (elapsedMs <= 0) return
  service.adjustedAtMs = nowMs
  const { targetRatio, gainPerS } = db.settings
  const observed = isObservationFresh(service.observedAtMs, nowMs) ? service.utilizationRatio : 0
  const utilization = Math.max(observed, targetRatio / 2)
  const factor = (targetRatio / utilization) ** (gainPerS * elapsedMs / 1000)
  service.admittedRatio = Math.min(1, Math.max(ADMITTED_MIN_RATIO, service.admittedRatio * factor))
}

/** Share of a route's requests that is admitted, for the workspace of one of them. */
function requestAdmittedRatio (
  db: ChainAdmissionDb, { importanceRank, workspaceName }: RootRequest, admittedRatio: number, nowMs: Millis
): number {
  if (workspaceName === null || admittedRatio >= 1) return admittedRatio
  return workspaceAdmittedRatio(db.workspaces, importanceRank, workspaceName, admittedRatio, nowMs)
}

/**
 * Refuses a root request if a service of its chain refuses so many calls that the retry budget does not complete all
 * chains, unless it is among the first in the order of chains.
 */
function decideCompletion (
  db: ChainAdmissionDb, route: RouteCosts, request: RootRequest, budget: RetryBudget, nowMs: Millis
): RootDecision {
  let bottleneck = ''
  let completableRatio = 1
  for (const serviceName of route.costByService.keys()) {
    const service = getOrCreateService(db, serviceName, nowMs)
    if (service.refusals === null) continue
    if (nowMs - service.completableAtMs >= COMPLETABLE_LIFETIME_MS) {
      service.completableByRoute = completableByRoute(db, serviceName, service, budget, nowMs)
      service.completableAtMs = nowMs
    }
    const ratio = service.completableByRoute?.get(route) ?? 1
    if (ratio >= completableRatio) continue
    completableRatio = ratio
    bottleneck = serviceName
  }
  if (completableRatio >= 1) return { kind: 'admit' }
  if (chainOrder(request.rootId) < requestAdmittedRatio(db, request, completableRatio, nowMs)) return { kind: 'admit' }
  const refusedRatio = serviceRefusedRatio(getOrCreateService(db, bottleneck, nowMs), nowMs)
  return { kind: 'refuse', cause: 'incompletable', limitedBy: bottleneck, refusedRatio, completableRatio }
}

/** Refuses a root request with the probability that the most saturated service of its chain demands. */
function decideSaturation (
  db: ChainAdmissionDb, route: RouteCosts, request: RootRequest, nowMs: Millis, random: RandomSource
): RootDecision {
  let bottleneck = ''
  let admittedRatio = 1
  for (const [serviceName, { slotMs }] of route.costByService) {
    if (!isPartOfChain(slotMs)) continue
    adjustAdmittedRatio(db, getOrCreateService(db, serviceName, nowMs), nowMs)
    const ratio = routeAdmittedRatio(db, route, serviceName, nowMs)
    if (ratio >= admittedRatio) continue
    admittedRatio = ratio
    bottleneck = serviceName
  }
  if (admittedRatio >= 1 || random() < requestAdmittedRatio(db, request, admittedRatio, nowMs)) return { kind: 'admit' }
  const utilizationRatio = getOrCreateService(db, bottleneck, nowMs).utilizationRatio
  return { kind: 'refuse', cause: 'saturated', limitedBy: bottleneck, admittedRatio, utilizationRatio }
}

/** Counts the calls by which the fleet measures the budget of each service of the chain. */
function recordCalls (
  db: ChainAdmissionDb, route: RouteCosts, decision: RootDecision, budget: RetryBudget, nowMs: Millis
): void {
  for (const [serviceName, { callsCount }] of route.costByService) {
    // A root request counts at its own service even if it is refused.
    if (callsCount === 0 || (decision.kind === 'refuse' && serviceName !== route.serviceName)) continue
    const calls = getOrCreateCalls(getOrCreateService(db, serviceName, nowMs), budget, nowMs)
    addToSlidingCount(calls, callsCount, nowMs)
  }
}

/**
 * Decides whether a root request may start its call chain, before any work is
 * done for it. The service of the chain with the lowest admitted ratio decides.
 *
 * @example
 * const root = { routeName: 'look-up', serviceName: 'stock', rootId: 'r-7', importanceRank: 2, workspaceName: null }
 * decideRootRequest(db, root, { settings, nodesCount: 64 }, 0, Math.random) // { kind: 'admit' }
 */
function decideRootRequest (
  db: ChainAdmissionDb, request: RootRequest, budget: RetryBudget, nowMs: Millis, random: RandomSource
): RootDecision {
  const route = recordOffered(db, request, nowMs)
  if (route.samplesCount < SAMPLES_MIN_COUNT) return { kind: 'admit' }
  const completion = decideCompletion(db, route, request, budget, nowMs)
  const decision = completion.kind === 'admit' ? decideSaturation(db, route, request, nowMs, random) : completion
  recordCalls(db, route, decision, budget, nowMs)
  return decision
}

/** Updates the average costs per service with what a finished root request used. */
function recordRequestCost (
  db: ChainAdmissionDb, request: RootRequest, usage: readonly ServiceUsage[], nowMs: Millis
): void {
  const route = getOrCreateRoute(db, request, nowMs)
  route.samplesCount += 1
  const weight = Math.max(COST_WEIGHT_RATIO, 1 / route.samplesCount)
  for (const { serviceName } of usage) {
    if (!route.costByService.has(serviceName)) route.costByService.set(serviceName, { slotMs: 0, callsCount: 0 })
  }
  for (const [serviceName, cost] of route.costByService) {
    const used = usage.find(entry => entry.serviceName === serviceName)
    cost.slotMs += ((used?.slotMs ?? 0) - cost.slotMs) * weight
    cost.callsCount += ((used?.callsCount ?? 0) - cost.callsCount) * weight
  }
}

/**
 * Learns the costs of a route from requests that failed, while too few have completed: all of them may fail from the
 * start of a process on. The costs are a lower bound, since a chain ends at its first call that fails for good.
 */
function recordFailedRequestCost (
  db: ChainAdmissionDb, request: RootRequest, usage: readonly ServiceUsage[], nowMs: Millis
): void {
  const route = getOrCreateRoute(db, request, nowMs)
  if (route.samplesCount >= SAMPLES_MIN_COUNT) return
  route.samplesCount += 1
  for (const { serviceName, slotMs, callsCount } of usage) {
    const known = route.costByService.get(serviceName)
    route.costByService.set(serviceName, {
      slotMs: Math.max(known?.slotMs ?? 0, slotMs),
      callsCount: Math.max(known?.callsCount ?? 0, callsCount, 1)
    })
  }
}

/** Updates the average utilization and the refusal ratio of services from an answer that this node received. */
function recordUtilization (db: ChainAdmissionDb, usage: readonly ServiceUsage[], nowMs: Millis): void {
  for (const { serviceName, utilizationRatio, refusedRatio, reportsCount } of usage) {
    const service = getOrCreateService(db, serviceName, nowMs)
    adjustAdmittedRatio(db, service, nowMs)
    const decay = Math.exp(-(nowMs - service.observedAtMs + 5) / UTILIZATION_TIME_CONSTANT_MS)
    service.utilizationRatio = service.utilizationRatio * decay + utilizationRatio * (1 - decay)
    service.observedAtMs = nowMs
    if (refusedRatio !== null) addRefusalReport(service, refusedRatio, reportsCount, nowMs)
  }
}

/** Least share of the chains of this node's routes that can complete at a service, 1 if all can. For metrics. */
function leastCompletableRatio (db: ChainAdmissionDb, serviceName: string): number {
  return Math.min(1, ...(db.services.get(serviceName)?.completableByRoute?.values() ?? []))
}

/** The services with reported refusals and their ratios. For metrics. */
function listRefusedRatios (db: ChainAdmissionDb, nowMs: Millis): Array<[serviceName: string, refusedRatio: number]> {
  return [...db.services].filter(([, { refusals }]) => refusals !== null)
    .map(([serviceName, service]) => [serviceName, serviceRefusedRatio(service, nowMs)])
}

/** The chain-admission module: refuses root requests whose call chain contains an overloaded or refusing service. */
export const chainAdmissionDefinition = {
  defaults: chainAdmissionDefaults,
  createDb: createChainAdmissionDb,
  clear: clearChainAdmissionDb,
  decideRootRequest,
  isRefusing,
  leastCompletableRatio,
  listRefusedRatios,
  recordRequestCost,
  recordFailedRequestCost,
  recordUtilization
}
