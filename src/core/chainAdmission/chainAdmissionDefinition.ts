import type { Millis } from '../../clock/clock.js'
import type { RandomSource } from '../coreTypes.js'
import {
  clearChainAdmissionDb, createChainAdmissionDb, getOrCreateRoute, getOrCreateService,
  type ChainAdmissionDb, type ServiceLoad
} from './chainAdmissionDb.js'
import { isObservationFresh, isPartOfChain, routeAdmittedRatio } from './chainAdmissionDetector.js'
import type { ChainAdmissionSettings, RootDecision, RootRequest, ServiceUsage } from './chainAdmissionTypes.js'

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
/** Requests of a route are admitted until this many have finished, so that their costs become known. */
const SAMPLES_MIN_COUNT = 3

function recordOffered (db: ChainAdmissionDb, request: RootRequest, nowMs: Millis): void {
  const route = getOrCreateRoute(db, request.routeName, request.importanceRank, nowMs)
  const elapsedMs = nowMs - route.offeredAtMs
  route.offeredPerMs = route.offeredPerMs * Math.exp(-elapsedMs / OFFERED_TIME_CONSTANT_MS) +
    1 / OFFERED_TIME_CONSTANT_MS
  route.offeredAtMs = nowMs
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

/**
 * Decides whether a root request may start its call chain, before any work is
 * done for it. The service of the chain with the lowest admitted ratio decides.
 *
 * @example
 * decideRootRequest(db, { routeName: 'look-up', importanceRank: 2 }, 0, Math.random) // { kind: 'admit' }
 */
function decideRootRequest (
  db: ChainAdmissionDb, request: RootRequest, nowMs: Millis, random: RandomSource
): RootDecision {
  recordOffered(db, request, nowMs)
  const route = db.routes.get(request.routeName)
  if (route === undefined || route.samplesCount < SAMPLES_MIN_COUNT) return { kind: 'admit' }
  let bottleneck = ''
  let admittedRatio = 1
  for (const [serviceName, slotMs] of route.slotMsByService) {
    if (!isPartOfChain(slotMs)) continue
    adjustAdmittedRatio(db, getOrCreateService(db, serviceName, nowMs), nowMs)
    const ratio = routeAdmittedRatio(db, route, serviceName)
    if (ratio >= admittedRatio) continue
    admittedRatio = ratio
    bottleneck = serviceName
  }
  if (admittedRatio >= 1 || random() < admittedRatio) return { kind: 'admit' }
  const utilizationRatio = getOrCreateService(db, bottleneck, nowMs).utilizationRatio
  return { kind: 'refuse', limitedBy: bottleneck, admittedRatio, utilizationRatio }
}

/** Updates the average slot time per service with what a finished root request used. */
function recordRequestCost (
  db: ChainAdmissionDb, request: RootRequest, usage: readonly ServiceUsage[], nowMs: Millis
): void {
  const route = getOrCreateRoute(db, request.routeName, request.importanceRank, nowMs)
  route.samplesCount += 1
  const weight = Math.max(COST_WEIGHT_RATIO, 1 / route.samplesCount)
  for (const { serviceName } of usage) {
    if (!route.slotMsByService.has(serviceName)) route.slotMsByService.set(serviceName, 0)
  }
  for (const [serviceName, meanMs] of route.slotMsByService) {
    const slotMs = usage.find(entry => entry.serviceName === serviceName)?.slotMs ?? 0
    route.slotMsByService.set(serviceName, meanMs + (slotMs - meanMs) * weight)
  }
}

/** Updates the average utilization of services from an answer that this node received. */
function recordUtilization (db: ChainAdmissionDb, usage: readonly ServiceUsage[], nowMs: Millis): void {
  for (const { serviceName, utilizationRatio } of usage) {
    const service = getOrCreateService(db, serviceName, nowMs)
    adjustAdmittedRatio(db, service, nowMs)
    const decay = Math.exp(-(nowMs - service.observedAtMs + 5) / UTILIZATION_TIME_CONSTANT_MS)
    service.utilizationRatio = service.utilizationRatio * decay + utilizationRatio * (1 - decay)
    service.observedAtMs = nowMs
  }
}

/** The chain-admission module: refuses root requests whose call chain contains an overloaded service. */
export const chainAdmissionDefinition = {
  defaults: chainAdmissionDefaults,
  createDb: createChainAdmissionDb,
  clear: clearChainAdmissionDb,
  decideRootRequest,
  recordRequestCost,
  recordUtilization
}
