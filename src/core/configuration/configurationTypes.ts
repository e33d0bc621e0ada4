import type { Millis } from '../../clock/clock.js'

/** One of the services among which the requests of a route are divided. */
export interface ServicePart {
  readonly serviceName: string
  readonly weight: number
}

/** What the operator declares for the requests below one path prefix of a host. */
export interface RouteRule {
  readonly name: string
  readonly host: string
  readonly pathPrefix: string
  /** Whether a request may run more than once. */
  readonly isIdempotent: boolean
  /** Longest time a caller is kept waiting, or null for no bound. */
  readonly timeoutMs: Millis | null
  /** Time within which an answer has its full value to the caller. */
  readonly latencyObjectiveMs: Millis
  /** 0 is the most important. */
  readonly importanceRank: number
  readonly parts: readonly ServicePart[]
  /** Most backend servers to which one request may be sent. */
  readonly attemptsMaxCount: number
}

export interface ServiceTerms {
  readonly name: string
  readonly healthPath: string
  readonly connectionsMaxCount: number
}

/** Bounds on what callers may send. */
export interface CallerLimits {
  readonly headMaxBytes: number
  readonly bodyMaxBytes: number
  readonly headTimeoutMs: Millis
  readonly idleTimeoutMs: Millis
}

/** One version of everything that operators declare. */
export interface Configuration {
  readonly version: number
  readonly routes: readonly RouteRule[]
  readonly services: ReadonlyMap<string, ServiceTerms>
  readonly limits: CallerLimits
}

export type OfferResult =
  | { readonly kind: 'in_force', readonly version: number, readonly replacedVersion: number }
  | { readonly kind: 'not_newer', readonly version: number, readonly currentVersion: number }
