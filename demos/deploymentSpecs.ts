import { ServiceTimeKind } from '../src/standins/backendTypes.js'

/**
 * Factor by which slots, connections, promised rates and capacity of the documents
 * are scaled down to run a deployment on one machine. Service times stay unchanged.
 * Processes with few calls run mostly unoptimised code and use 1 to 2 ms of CPU per
 * hop, so the load at 10x must stay near 2,000 calls per second.
 */
export const SIZE_FACTOR = 0.05

export enum DeploymentName {
  Lyhter = 'lyhter',
  Restringing = 'restringing'
}

/** Simulated work of a backend server for a call of one route. */
export interface RouteWork {
  readonly serviceTimeMs: number
  readonly serviceTimeKind: ServiceTimeKind
  /** Calls to other services, made one after another; `route` is the route name. */
  readonly subCalls: ReadonlyArray<{ readonly service: string, readonly route: string }>
}

export interface ServiceSpec {
  readonly service: string
  /** Data centre of each VM of the service: one entry per VM. */
  readonly dataCentres: readonly string[]
  readonly routes: Readonly<Record<string, RouteWork>>
}

/** Load from an external caller; the rate at 1x is the rate that the service promises to the caller. */
export interface StreamSpec {
  readonly caller: string
  readonly service: string
  readonly route: string
}

export interface DeploymentSpec {
  readonly name: DeploymentName
  readonly services: readonly ServiceSpec[]
  readonly streams: readonly StreamSpec[]
  /** Service at the end of the call chains, which the benchmark slows down. */
  readonly lastServiceInChain: string
}

function readRoute (serviceTimeMs: number): RouteWork {
  return { serviceTimeMs, serviceTimeKind: ServiceTimeKind.Exponential, subCalls: [] }
}

function writeRoute (serviceTimeMs: number, ...subCalls: RouteWork['subCalls']): RouteWork {
  return { serviceTimeMs, serviceTimeKind: ServiceTimeKind.Fixed, subCalls }
}

const KYUSHU_DATA_CENTRES = ['fukuoka', 'kumamoto', 'kagoshima', 'oita']
const ESTONIAN_DATA_CENTRES = ['tallinn', 'tartu', 'parnu']

export const DEPLOYMENT_SPECS: Readonly<Record<DeploymentName, DeploymentSpec>> = {
  [DeploymentName.Lyhter]: {
    name: DeploymentName.Lyhter,
    services: [
      {
        service: 'depot-stock',
        dataCentres: ['tallinn', 'tallinn', 'tartu', 'parnu'],
        routes: { 'look-up': readRoute(250), reserve: writeRoute(250) }
      },
      {
        service: 'delivery-booking',
        dataCentres: ESTONIAN_DATA_CENTRES,
        routes: {
          book: writeRoute(
            40, { service: 'delivery-schedule', route: 'claim' }, { service: 'depot-stock', route: 'reserve' },
            { service: 'invoicing', route: 'issue' }
          )
        }
      },
      { service: 'delivery-schedule', dataCentres: ESTONIAN_DATA_CENTRES, routes: { check: readRoute(280), claim: writeRoute(280) } },
      { service: 'invoicing', dataCentres: ESTONIAN_DATA_CENTRES, routes: { issue: writeRoute(112) } }
    ],
    streams: [
      { caller: 'dispatchers', service: 'depot-stock', route: 'look-up' },
      { caller: 'drivers', service: 'depot-stock', route: 'look-up' },
      { caller: 'customers', service: 'delivery-schedule', route: 'check' },
      { caller: 'members', service: 'delivery-booking', route: 'book' },
      { caller: 'members', service: 'invoicing', route: 'issue' }
    ],
    lastServiceInChain: 'invoicing'
  },
  [DeploymentName.Restringing]: {
    name: DeploymentName.Restringing,
    services: [
      { service: 'routing-catalogue', dataCentres: KYUSHU_DATA_CENTRES, routes: { 'look-up': readRoute(100) } },
      {
        service: 'order-desk',
        dataCentres: KYUSHU_DATA_CENTRES,
        routes: {
          order: writeRoute(
            30, { service: 'routing-catalogue', route: 'look-up' }, { service: 'parts-stock', route: 'reserve' }
          )
        }
      },
      {
        service: 'parts-stock',
        dataCentres: ['fukuoka', ...KYUSHU_DATA_CENTRES],
        routes: { 'look-up': readRoute(176), reserve: writeRoute(176), move: writeRoute(176) }
      },
      {
        service: 'branch-transfers',
        dataCentres: KYUSHU_DATA_CENTRES,
        routes: { settle: writeRoute(24, { service: 'parts-stock', route: 'move' }) }
      }
    ],
    streams: [
      { caller: 'counter-staff', service: 'routing-catalogue', route: 'look-up' },
      { caller: 'counter-staff', service: 'parts-stock', route: 'look-up' },
      { caller: 'shops', service: 'order-desk', route: 'order' },
      { caller: 'settlement', service: 'branch-transfers', route: 'settle' }
    ],
    lastServiceInChain: 'parts-stock'
  }
}
