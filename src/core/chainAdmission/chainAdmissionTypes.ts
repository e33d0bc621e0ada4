import type { Millis } from '../../clock/clock.js'

/** What a call and everything below it used of one service. */
export interface ServiceUsage {
  readonly serviceName: string
  /** Time for which slots were held. */
  readonly slotMs: Millis
  /** Running and waiting calls as a share of those that may run at once. */
  readonly utilizationRatio: number
}

export interface ChainAdmissionSettings {
  /** Utilization at which a service is kept; above it calls begin to wait. */
  readonly targetRatio: number
  /** How fast the admitted share follows the utilization: the exponent per second. */
  readonly gainPerS: number
  /** Least share of a route that is admitted, so that no kind of request starves and recovery is noticed. */
  readonly floorRatio: number
}

export interface RootQuestion {
  readonly routeName: string
  /** 0 is the most important. */
  readonly importanceRank: number
}

export type RootVerdict =
  | { readonly kind: 'admit' }
  /** The service named is full; `admittedRatio` is the share of such requests that gets in now. */
  | {
    readonly kind: 'refuse'
    readonly limitedBy: string
    readonly admittedRatio: number
    readonly utilizationRatio: number
  }
