import type { Millis } from '../../clock/clock.js'
import { createSlidingCount, type SlidingCount } from '../slidingCount.js'
import type { ChainAdmissionSettings, RetryBudget, RootRequest } from './chainAdmissionTypes.js'
import { createWorkspaceSharesDb, type WorkspaceSharesDb } from './workspaceShares.js'

/** What one root request uses at a service, on average. */
export interface ServiceCost {
  slotMs: Millis
  callsCount: number
}

/** Statistics of the root requests of one route and rank that enter the mesh at this node. */
export interface RouteCosts {
  readonly importanceRank: number
  /** Service that runs the root requests themselves. */
  serviceName: string
  /** Exponential moving averages by service name. */
  readonly costByService: Map<string, ServiceCost>
  samplesCount: number
  /** Rate of offered requests per millisecond, exponentially averaged. */
  offeredPerMs: number
  offeredAtMs: Millis
  /** The same rate over several seconds, by which chains are compared with the budget. */
  meanOfferedPerMs: number
  readonly firstOfferedAtMs: Millis
}

/** Refusal ratios of a service's servers, as the results that this node received reported them. */
export interface RefusalReports {
  /** Ring of the newest reports. */
  readonly ratios: Float64Array
  /** Results behind each report. */
  readonly weights: Float64Array
  readonly atMs: Float64Array
  nextIndex: number
}

/** Load of a service that root requests of this node use. */
export interface ServiceLoad {
  utilizationRatio: number
  observedAtMs: Millis
  /** Fraction of the offered work for the service that is admitted. */
  admittedRatio: number
  /** When `admittedRatio` was last adjusted. */
  adjustedAtMs: Millis
  /** Null until a server of the service has reported a refusal. */
  refusals: RefusalReports | null
  /** Calls that the admitted root requests of the last two windows of the budget make, or null before the first one. */
  calls: SlidingCount | null
  /** When `calls` began to count. */
  callsSinceMs: Millis
  /** Share of each route's chains that can complete, or null while all can. */
  completableByRoute: ReadonlyMap<RouteCosts, number> | null
  completableAtMs: Millis
}

export interface ChainAdmissionDb {
  readonly settings: ChainAdmissionSettings
  /** By `routeKey`. */
  readonly routes: Map<string, RouteCosts>
  readonly services: Map<string, ServiceLoad>
  readonly workspaces: WorkspaceSharesDb
}

/** Bound on the entries by route and rank. Ranks come from the workspaces of the configuration. */
const ROUTES_MAX_COUNT = 2_000
/** With 16, a quarter of wrong reports is more than half of the ring 3 times in 100; with 48 twice in 10,000. */
const REFUSAL_REPORTS_COUNT = 48

export function createChainAdmissionDb (settings: ChainAdmissionSettings): ChainAdmissionDb {
  return { settings, routes: new Map(), services: new Map(), workspaces: createWorkspaceSharesDb() }
}

/** Removes all routes and services. */
export function clearChainAdmissionDb (db: ChainAdmissionDb): void {
  db.routes.clear()
  db.services.clear()
  db.workspaces.ratesByRank.clear()
}

function routeKey ({ routeName, importanceRank }: RootRequest): string {
  return `${importanceRank} ${routeName}`
}

export function getOrCreateRoute (db: ChainAdmissionDb, request: RootRequest, nowMs: Millis): RouteCosts {
  const key = routeKey(request)
  let route = db.routes.get(key)
  if (route === undefined) {
    if (db.routes.size >= ROUTES_MAX_COUNT) db.routes.delete(db.routes.keys().next().value!)
    route = {
      importanceRank: request.importanceRank,
      serviceName: request.serviceName,
      costByService: new Map(),
      samplesCount: 0,
      offeredPerMs: 0,
      offeredAtMs: nowMs,
      meanOfferedPerMs: 0,
      firstOfferedAtMs: nowMs
    }
    db.routes.set(key, route)
  }
  route.serviceName = request.serviceName
  return route
}

export function getOrCreateService (db: ChainAdmissionDb, serviceName: string, nowMs: Millis): ServiceLoad {
  let service = db.services.get(serviceName)
  if (service === undefined) {
    service = {
      utilizationRatio: 0,
      observedAtMs: nowMs,
      admittedRatio: 1,
      adjustedAtMs: nowMs,
      refusals: null,
      calls: null,
      callsSinceMs: nowMs,
      completableByRoute: null,
      completableAtMs: -Infinity
    }
    db.services.set(serviceName, service)
  }
  return service
}

/** Adds the reported refusal ratio of a server. A service whose servers refuse nothing gets no ring. */
export function addRefusalReport (
  service: ServiceLoad, refusedRatio: number, reportsCount: number, nowMs: Millis
): void {
  if (service.refusals === null) {
    if (refusedRatio === 0) return
    service.refusals = {
      ratios: new Float64Array(REFUSAL_REPORTS_COUNT),
      weights: new Float64Array(REFUSAL_REPORTS_COUNT),
      atMs: new Float64Array(REFUSAL_REPORTS_COUNT).fill(-Infinity),
      nextIndex: 0
    }
  }
  const { ratios, weights, atMs, nextIndex } = service.refusals
  weights[nextIndex] = reportsCount
  ratios[nextIndex] = refusedRatio
  atMs[nextIndex] = nowMs
  service.refusals.nextIndex = (nextIndex + 1) % ratios.length
}

/** Count of the calls that admitted root requests make at a service. */
export function getOrCreateCalls (service: ServiceLoad, { settings }: RetryBudget, nowMs: Millis): SlidingCount {
  if (service.calls === null) {
    service.calls = createSlidingCount(2 * settings.windowMs)
    service.callsSinceMs = nowMs
  }
  return service.calls
}
