import type { Millis } from '../../clock/clock.js'
import type { FleetRetryBudgetSettings } from '../fleetRetryBudget/fleetRetryBudgetTypes.js'

/** Resources of one service that a call and its downstream calls used. */
export interface ServiceUsage {
  readonly serviceName: string
  /** Time for which slots were held. */
  readonly slotMs: Millis
  /** Utilization of the service: running and queued work relative to its concurrency limit. */
  readonly utilizationRatio: number
  /** Calls that the service answered. Refused sends are not counted. */
  readonly callsCount: number
  /** Share of the recent sends to the service's server that it refused, or null if it is not known. */
  readonly refusedRatio: number | null
  /** Results behind `refusedRatio`: it is their median. */
  readonly reportsCount: number
}

export interface ChainAdmissionSettings {
  /** Target utilization of a service; above it calls begin to queue. */
  readonly targetRatio: number
  /** Controller gain: per second the admitted ratio is multiplied by (target / utilization) to this power. */
  readonly gainPerS: number
  /** Least admitted ratio of a route, so that no route starves and recovery of a service is detected. */
  readonly floorRatio: number
}

/** A request from outside the mesh, the root of a call chain. */
export interface RootRequest {
  readonly routeName: string
  /** Service that runs the root request itself. */
  readonly serviceName: string
  /** Id by which its chain has its place in the order of retries. */
  readonly rootId: string
  /** 0 is the most important. */
  readonly importanceRank: number
  /** Workspace of the caller, or null without one. */
  readonly workspaceName: string | null
}

/** The fleet's retry budget and the number of nodes among which its slack is divided. */
export interface RetryBudget {
  readonly settings: FleetRetryBudgetSettings
  readonly nodesCount: number
}

export type RootDecision =
  | { readonly kind: 'admit' }
  /** The service `limitedBy` is saturated; `admittedRatio` is the fraction of such requests that is admitted. */
  | {
    readonly kind: 'refuse'
    readonly cause: 'saturated'
    readonly limitedBy: string
    readonly admittedRatio: number
    readonly utilizationRatio: number
  }
  /** The service `limitedBy` refuses calls with free slots; `completableRatio` is the fraction that is admitted. */
  | {
    readonly kind: 'refuse'
    readonly cause: 'incompletable'
    readonly limitedBy: string
    readonly refusedRatio: number
    readonly completableRatio: number
  }
