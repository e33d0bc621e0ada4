import type { Millis } from '../../clock/clock.js'
import type { ChainAdmissionSettings } from './chainAdmissionTypes.js'

/** What is known of a route whose requests come from outside. */
export interface RouteCosts {
  importanceRank: number
  /** Slot time of one request at each service, as a moving mean. */
  readonly slotMsByService: Map<string, number>
  samplesCount: number
  /** Requests offered a second, as a moving mean. */
  offeredPerMs: number
  offeredAtMs: Millis
}

/** What is known of a service that requests from here use. */
export interface ServiceLoad {
  utilizationRatio: number
  observedAtMs: Millis
  /** Share of the work offered to the service that is admitted. */
  admittedRatio: number
  steppedAtMs: Millis
}

export interface ChainAdmissionDb {
  readonly settings: ChainAdmissionSettings
  readonly routes: Map<string, RouteCosts>
  readonly services: Map<string, ServiceLoad>
}

export function createChainAdmissionDb (settings: ChainAdmissionSettings): ChainAdmissionDb {
  return { settings, routes: new Map(), services: new Map() }
}

/** Empties the state. */
export function clearChainAdmissionDb (db: ChainAdmissionDb): void {
  db.routes.clear()
  db.services.clear()
}

export function routeOf (db: ChainAdmissionDb, routeName: string, importanceRank: number, nowMs: Millis): RouteCosts {
  let route = db.routes.get(routeName)
  if (route === undefined) {
    route = { importanceRank, slotMsByService: new Map(), samplesCount: 0, offeredPerMs: 0, offeredAtMs: nowMs }
    db.routes.set(routeName, route)
  }
  route.importanceRank = importanceRank
  return route
}

export function serviceOf (db: ChainAdmissionDb, serviceName: string, nowMs: Millis): ServiceLoad {
  let service = db.services.get(serviceName)
  if (service === undefined) {
    service = { utilizationRatio: 0, observedAtMs: nowMs, admittedRatio: 1, steppedAtMs: nowMs }
    db.services.set(serviceName, service)
  }
  return service
}
