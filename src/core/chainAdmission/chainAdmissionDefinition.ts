import type { Millis } from '../../clock/clock.js'
import type { RandomSource } from '../coreTypes.js'
import {
  clearChainAdmissionDb, createChainAdmissionDb, routeOf, serviceOf, type ChainAdmissionDb, type ServiceLoad
} from './chainAdmissionDb.js'
import { admittedRatioOf, isCurrent, isPartOfChain } from './chainAdmissionDetector.js'
import type { ChainAdmissionSettings, RootQuestion, RootVerdict, ServiceUsage } from './chainAdmissionTypes.js'

export const chainAdmissionDefaults: ChainAdmissionSettings = { targetRatio: 1, gainPerS: 2, floorRatio: 0.08 }

/** Weight of one finished request in the mean cost of its route. */
const COST_WEIGHT_RATIO = 0.05
/** Time over which offered requests are averaged. */
const OFFERED_TIME_MS: Millis = 500
/** Time over which the utilization of a service is averaged. */
const UTILIZATION_TIME_MS: Millis = 100
/** A share below this cannot be told from none. */
const ADMITTED_MIN_RATIO = 0.02
/** One step of the share covers at most this time, since the utilization before it is not known. */
const STEP_MAX_MS: Millis = 250
/** A request without known costs is admitted; the first few teach them. */
const SAMPLES_MIN_COUNT = 3

function countOffered (db: ChainAdmissionDb, question: RootQuestion, nowMs: Millis): void {
  const route = routeOf(db, question.routeName, question.importanceRank, nowMs)
  const elapsedMs = nowMs - route.offeredAtMs
  route.offeredPerMs = route.offeredPerMs * Math.exp(-elapsedMs / OFFERED_TIME_MS) + 1 / OFFERED_TIME_MS
  route.offeredAtMs = nowMs
}

/** Moves the admitted share so that the utilization comes to its target. */
function step (db: ChainAdmissionDb, service: ServiceLoad, nowMs: Millis): void {
  const elapsedMs = Math.min(STEP_MAX_MS, nowMs - service.steppedAtMs)
  if (elapsedMs <= 0) return
  service.steppedAtMs = nowMs
  const { targetRatio, gainPerS } = db.settings
  const observed = isCurrent(service.observedAtMs, nowMs) ? service.utilizationRatio : 0
  const utilization = Math.max(observed, targetRatio / 2)
  const factor = (targetRatio / utilization) ** (gainPerS * elapsedMs / 1000)
  service.admittedRatio = Math.min(1, Math.max(ADMITTED_MIN_RATIO, service.admittedRatio * factor))
}

/**
 * Decides whether a request from outside may enter its chain of services, before
 * any work is done for it. The tightest service on the way decides.
 *
 * @example
 * ask(db, { routeName: 'look-up', importanceRank: 2 }, 0, Math.random) // { kind: 'admit' }
 */
function ask (db: ChainAdmissionDb, question: RootQuestion, nowMs: Millis, random: RandomSource): RootVerdict {
  countOffered(db, question, nowMs)
  const route = db.routes.get(question.routeName)
  if (route === undefined || route.samplesCount < SAMPLES_MIN_COUNT) return { kind: 'admit' }
  let tightest = ''
  let admittedRatio = 1
  for (const [serviceName, slotMs] of route.slotMsByService) {
    if (!isPartOfChain(slotMs)) continue
    step(db, serviceOf(db, serviceName, nowMs), nowMs)
    const ratio = admittedRatioOf(db, route, serviceName)
    if (ratio >= admittedRatio) continue
    admittedRatio = ratio
    tightest = serviceName
  }
  if (admittedRatio >= 1 || random() < admittedRatio) return { kind: 'admit' }
  const utilizationRatio = serviceOf(db, tightest, nowMs).utilizationRatio
  return { kind: 'refuse', limitedBy: tightest, admittedRatio, utilizationRatio }
}

/** Takes what a finished request used. */
function learn (db: ChainAdmissionDb, question: RootQuestion, usage: readonly ServiceUsage[], nowMs: Millis): void {
  const route = routeOf(db, question.routeName, question.importanceRank, nowMs)
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

/** Takes the utilization of services, from any answer that passes this node. */
function observe (db: ChainAdmissionDb, usage: readonly ServiceUsage[], nowMs: Millis): void {
  for (const { serviceName, utilizationRatio } of usage) {
    const service = serviceOf(db, serviceName, nowMs)
    step(db, service, nowMs)
    const keep = Math.exp(-(nowMs - service.observedAtMs + 5) / UTILIZATION_TIME_MS)
    service.utilizationRatio = service.utilizationRatio * keep + utilizationRatio * (1 - keep)
    service.observedAtMs = nowMs
  }
}

/** The chain-admission family: whether a request may start the chain of calls that it causes. */
export const chainAdmissionDefinition = {
  defaults: chainAdmissionDefaults,
  createDb: createChainAdmissionDb,
  clear: clearChainAdmissionDb,
  ask,
  learn,
  observe
}
