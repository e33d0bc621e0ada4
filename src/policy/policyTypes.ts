import type { Millis } from '../clock/clock.js'
import type { ChainAdmissionSettings } from '../core/chainAdmission/chainAdmissionTypes.js'

/** Load-shedding policy of a modelled fleet. */
export enum Policy {
  /** No admission control: servers run calls first come, first served, and refuse them only if their queue is full. */
  FirstCome = 'first_come',
  /** Each server sheds load by its own slots alone: no chain admission, no priorities, no resends. */
  RefuseAtHop = 'refuse_at_hop',
  /** The policy of the product: chain admission at the entry node, slots with priorities, budgeted resends. */
  Chain = 'chain'
}

export interface ModelService {
  readonly name: string
  readonly slotsCount: number
  /** Relative speed of each server; at 1 a call takes its route's `workMs` on average. */
  readonly speeds: readonly number[]
  /** Fraction of used slots above which a server slows down, and the factor by which its work then takes longer. */
  readonly knee?: { readonly ratio: number, readonly slowdown: number }
}

export interface ModelRoute {
  readonly name: string
  readonly service: string
  readonly workMs: Millis
  readonly importanceRank: number
  /** Weight of a request in the goodput; 0 for routes that only backend servers call. */
  readonly goodputWeight: number
  readonly ratePerS: number
  readonly objectiveMs: Millis
  readonly timeoutMs: Millis
  readonly isIdempotent: boolean
  readonly calls?: { readonly route: string, readonly timesCount: number }
}

/** Fault or load change during part of a run. */
export type ModelDisturbance =
  | { readonly kind: 'burst', readonly fromMs: Millis, readonly toMs: Millis, readonly factor: number }
  /** Servers of a service shed a share of their calls although they are healthy. */
  | {
    readonly kind: 'shed',
    readonly service: string,
    readonly fromMs: Millis,
    readonly toMs: Millis
    readonly share: number,
    readonly servers: readonly number[]
  }
  | {
    readonly kind: 'slow',
    readonly service: string,
    readonly fromMs: Millis,
    readonly toMs: Millis
    readonly factor: number,
    readonly servers: readonly number[]
  }
  /** Callers resend without backoff, up to `timesCount` times. */
  | { readonly kind: 'resend_at_once', readonly fromMs: Millis, readonly toMs: Millis, readonly timesCount: number }
  /** A share of the callers abandons its requests after `afterMs`. */
  | { readonly kind: 'give_up', readonly fromMs: Millis, readonly toMs: Millis, readonly afterMs: Millis, readonly share: number }

export interface ModelPlan {
  readonly seed: number
  readonly durationMs: Millis
  readonly entryNodesCount: number
  readonly services: readonly ModelService[]
  readonly routes: readonly ModelRoute[]
  readonly disturbances: readonly ModelDisturbance[]
  readonly policy: Policy
  readonly admission?: Partial<ChainAdmissionSettings>
}

export interface RouteResult {
  offered: number
  inTime: number
  late: number
  refused: number
  failed: number
}

export interface ModelResult {
  /** Weight of the requests served within their latency objective, as a fraction of the weight of all requests. */
  readonly goodputRatio: number
  /** Goodput ratio of the worst window of two seconds, the first window excluded. */
  readonly worstGoodputRatio: number
  readonly routes: Readonly<Record<string, RouteResult>>
  /** Work for requests that were not served in the end, as a fraction of all work. */
  readonly wastedRatio: number
  /**
   * Time from the end of the last disturbance until goodput is back at the level before the first one;
   * null if there is no disturbance or no recovery.
   */
  readonly recoveryMs: Millis | null
}
