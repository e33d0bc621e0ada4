import { ServiceTimeKind } from '../src/standins/backendTypes.js'

/**
 * Sizes of a deployment on one machine, as a part of those in the documents:
 * slots, connections, promises and capacity shrink alike, service times stay.
 * A process that serves few calls runs mostly unoptimised code, at 1 to 2 ms of
 * CPU for each hop, so that ten times the load must stay near 2,000 calls a second.
 */
export const SIZE_FACTOR = 0.05

export enum DeploymentName {
  Lyhter = 'lyhter',
  Restringing = 'restringing'
}

/** Work of a backend server on one route of its document. */
export interface RouteWork {
  readonly serviceTimeMs: number
  readonly serviceTimeKind: ServiceTimeKind
  /** Calls made in sequence, as service and route name. */
  readonly subCalls: ReadonlyArray<{ readonly service: string, readonly route: string }>
}

export interface ServiceSpec {
  readonly service: string
  /** One entry for each VM. */
  readonly dataCentres: readonly string[]
  readonly routes: Readonly<Record<string, RouteWork>>
}

/** Calls that enter from outside; the rate at 1x is the caller's promise. */
export interface StreamSpec {
  readonly caller: string
  readonly service: string
  readonly route: string
}

export interface DeploymentSpec {
  readonly name: DeploymentName
  readonly services: readonly ServiceSpec[]
  readonly streams: readonly StreamSpec[]
  /** Service at the end of the chains, which is slowed in the bench. */
  readonly deepService: string
}

function lookUp (serviceTimeMs: number): RouteWork {
  return { serviceTimeMs, serviceTimeKind: ServiceTimeKind.Exponential, subCalls: [] }
}

function change (serviceTimeMs: number, ...subCalls: RouteWork['subCalls']): RouteWork {
  return { serviceTimeMs, serviceTimeKind: ServiceTimeKind.Fixed, subCalls }
}

const KYUSHU = ['fukuoka', 'kumamoto', 'kagoshima', 'oita']
const EESTI = ['tallinn', 'tartu', 'parnu']

export const DEPLOYMENT_SPECS: Readonly<Record<DeploymentName, DeploymentSpec>> = {
  [DeploymentName.Lyhter]: {
    name: DeploymentName.Lyhter,
    services: [
      {
        service: 'depot-stock',
        dataCentres: ['tallinn', 'tallinn', 'tartu', 'parnu'],
        routes: { 'look-up': lookUp(250), reserve: change(250) }
      },
      {
        service: 'delivery-booking',
        dataCentres: EESTI,
        routes: {
          book: change(
            40, { service: 'delivery-schedule', route: 'claim' }, { service: 'depot-stock', route: 'reserve' },
            { service: 'invoicing', route: 'issue' }
          )
        }
      },
      { service: 'delivery-schedule', dataCentres: EESTI, routes: { check: lookUp(280), claim: change(280) } },
      { service: 'invoicing', dataCentres: EESTI, routes: { issue: change(112) } }
    ],
    streams: [
      { caller: 'dispatchers', service: 'depot-stock', route: 'look-up' },
      { caller: 'drivers', service: 'depot-stock', route: 'look-up' },
      { caller: 'customers', service: 'delivery-schedule', route: 'check' },
      { caller: 'members', service: 'delivery-booking', route: 'book' },
      { caller: 'members', service: 'invoicing', route: 'issue' }
    ],
    deepService: 'invoicing'
  },
  [DeploymentName.Restringing]: {
    name: DeploymentName.Restringing,
    services: [
      { service: 'routing-catalogue', dataCentres: KYUSHU, routes: { 'look-up': lookUp(100) } },
      {
        service: 'order-desk',
        dataCentres: KYUSHU,
        routes: {
          order: change(
            30, { service: 'routing-catalogue', route: 'look-up' }, { service: 'parts-stock', route: 'reserve' }
          )
        }
      },
      {
        service: 'parts-stock',
        dataCentres: ['fukuoka', ...KYUSHU],
        routes: { 'look-up': lookUp(176), reserve: change(176), move: change(176) }
      },
      {
        service: 'branch-transfers',
        dataCentres: KYUSHU,
        routes: { settle: change(24, { service: 'parts-stock', route: 'move' }) }
      }
    ],
    streams: [
      { caller: 'counter-staff', service: 'routing-catalogue', route: 'look-up' },
      { caller: 'counter-staff', service: 'parts-stock', route: 'look-up' },
      { caller: 'shops', service: 'order-desk', route: 'order' },
      { caller: 'settlement', service: 'branch-transfers', route: 'settle' }
    ],
    deepService: 'parts-stock'
  }
}
