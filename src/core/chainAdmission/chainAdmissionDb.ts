import type { Millis } from '../../clock/clock.js'
import type { ChainAdmissionSettings } from './chainAdmissionTypes.js'

/** Statistics of a route whose root requests enter the mesh at this node. */
export interface RouteCosts {
  importanceRank: number
  /** Slot time that one root request uses at each service: exponential moving average by service name. */
  readonly slotMsByService: Map<string, number>
  samplesCount: number
  /** Rate of offered requests per millisecond, exponentially averaged. */
  offeredPerMs: number
  offeredAtMs: Millis
}

/** Load of a service that root requests of this node use. */
export interface ServiceLoad {
  utilizationRatio: number
  observedAtMs: Millis
  /** Fraction of the offered work for the service that is admitted. */
  admittedRatio: number
  /** When `admittedRatio` was last adjusted. */
  adjustedAtMs: Millis
}

export interface ChainAdmissionDb {
  readonly settings: ChainAdmissionSettings
  readonly routes: Map<string, RouteCosts>
  readonly services: Map<string, ServiceLoad>
}

export function createChainAdmissionDb (settings: ChainAdmissionSettings): ChainAdmissionDb {
  return { settings, routes: new Map(), services: new Map() }
}

/** Removes all routes and services. */
export function clearChainAdmissionDb (db: ChainAdmissionDb): void {
  db.routes.clear()
  db.services.clear()
}

export function getOrCreateRoute (
  db: ChainAdmissionDb, routeName: string, importanceRank: number, nowMs: Millis
): RouteCosts {
  let route = db.routes.get(routeName)
  if (route === undefined) {
    route = { importanceRank, slotMsByService: new Map(), samplesCount: 0, offeredPerMs: 0, offeredAtMs: nowMs }
    db.routes.set(routeName, route)
  }
  route.importanceRank = importanceRank
  return route
}

export function getOrCreateService (db: ChainAdmissionDb, serviceName: string, nowMs: Millis): ServiceLoad {
  let service = db.services.get(serviceName)
  if (service === undefined) {
    service = { utilizationRatio: 0, observedAtMs: nowMs, admittedRatio: 1, adjustedAtMs: nowMs }
    db.services.set(serviceName, service)
  }
  return service
}
