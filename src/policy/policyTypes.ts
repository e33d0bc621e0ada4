import type { Millis } from '../clock/clock.js'
import type { ChainAdmissionSettings } from '../core/chainAdmission/chainAdmissionTypes.js'

/** Who decides what gets in. */
export enum Policy {
  /** Every request enters; servers take calls in the order in which they come. */
  FirstCome = 'first_come',
  /** Each server refuses what it has no room for; nothing looks at the chain. */
  RefuseAtHop = 'refuse_at_hop',
  /** The product's families decide. */
  Chain = 'chain'
}

export interface ModelService {
  readonly name: string
  readonly slotsCount: number
  /** Speed of each server; 1 does work in its stated time. */
  readonly speeds: readonly number[]
  /** Share of its slots above which a server slows down, and by how much. */
  readonly knee?: { readonly ratio: number, readonly slowdown: number }
}

export interface ModelRoute {
  readonly name: string
  readonly service: string
  readonly workMs: Millis
  readonly rank: number
  /** 0 for routes that only backend servers call. */
  readonly worth: number
  readonly ratePerS: number
  readonly objectiveMs: Millis
  readonly timeoutMs: Millis
  readonly isIdempotent: boolean
  readonly calls?: { readonly route: string, readonly timesCount: number }
}

/** What happens during a run. */
export type ModelTrouble =
  | { readonly kind: 'burst', readonly fromMs: Millis, readonly toMs: Millis, readonly factor: number }
  /** Servers of a service refuse a share of their calls although they are healthy. */
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
  /** Callers resend at once, up to so many times. */
  | { readonly kind: 'resend_at_once', readonly fromMs: Millis, readonly toMs: Millis, readonly timesCount: number }
  /** Callers leave after so long. */
  | { readonly kind: 'give_up', readonly fromMs: Millis, readonly toMs: Millis, readonly afterMs: Millis, readonly share: number }

export interface ModelPlan {
  readonly seed: number
  readonly lengthMs: Millis
  readonly entriesCount: number
  readonly services: readonly ModelService[]
  readonly routes: readonly ModelRoute[]
  readonly troubles: readonly ModelTrouble[]
  readonly policy: Policy
  readonly admission?: Partial<ChainAdmissionSettings>
}

export interface RouteResult {
  asked: number
  inTime: number
  late: number
  refused: number
  failed: number
}

export interface ModelResult {
  /** Worth of requests served in time, as a share of the worth of all. */
  readonly worthRatio: number
  /** The same over the worst two seconds. */
  readonly worstRatio: number
  readonly routes: Readonly<Record<string, RouteResult>>
  /** Work done for requests that failed afterwards, as a share of all work. */
  readonly wastedRatio: number
  /** From the end of the last trouble to the first second served as well as before the first one. */
  readonly recoveryMs: Millis | null
}
