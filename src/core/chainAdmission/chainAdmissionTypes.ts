import type { Millis } from '../../clock/clock.js'

/** Resources of one service that a call and its downstream calls used. */
export interface ServiceUsage {
  readonly serviceName: string
  /** Time for which slots were held. */
  readonly slotMs: Millis
  /** Utilization of the service: running and queued work relative to its concurrency limit. */
  readonly utilizationRatio: number
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
  /** 0 is the most important. */
  readonly importanceRank: number
}

export type RootDecision =
  | { readonly kind: 'admit' }
  /** The service `limitedBy` is saturated; `admittedRatio` is the fraction of such requests that is admitted. */
  | {
    readonly kind: 'refuse'
    readonly limitedBy: string
    readonly admittedRatio: number
    readonly utilizationRatio: number
  }
