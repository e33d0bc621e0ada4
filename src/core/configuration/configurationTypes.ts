import type { Millis } from '../../clock/clock.js'
import type { RequestKind } from './requestKind.js'

/** A service that gets a part of a route's requests, in proportion to its weight. */
export interface WeightedService {
  readonly serviceName: string
  readonly weight: number
}

/** The operator's rule for the requests below one path prefix of a host. */
export interface RouteRule {
  readonly name: string
  readonly host: string
  readonly pathPrefix: string
  readonly requestKind: RequestKind
  /** Longest time until a request is answered, or null for no timeout. */
  readonly timeoutMs: Millis | null
  /** Latency objective, not a limit: an answer within this time has its full value to the caller. */
  readonly latencyObjectiveMs: Millis
  /** 0 is the most important. */
  readonly importanceRank: number
  readonly parts: readonly WeightedService[]
  /** Largest number of backend servers that one request may be sent to. */
  readonly attemptsMaxCount: number
  /** Whether requests are served without a key even if the configuration has workspaces. */
  readonly allowsAnonymous: boolean
}

/** A customer of the mesh: whoever presents one of its keys. */
export interface WorkspaceRule {
  readonly name: string
  readonly keys: readonly string[]
  /** Replaces the route's rank for requests of the workspace; null keeps the route's. */
  readonly importanceRank: number | null
  /** Requests a second that it may send through all nodes together, or null for no limit. */
  readonly ratePerS: number | null
  /** Requests that it may send at once after a pause, beyond its rate. */
  readonly burstCount: number
}

/** The operator's settings for one service. */
export interface ServiceSettings {
  readonly name: string
  readonly healthPath: string
  readonly connectionsMaxCount: number
}

/** Limits on the requests and connections of callers. */
export interface CallerLimits {
  readonly headMaxBytes: number
  readonly bodyMaxBytes: number
  readonly headTimeoutMs: Millis
  readonly idleTimeoutMs: Millis
}

/** One version of the operators' complete configuration. */
export interface Configuration {
  readonly version: number
  readonly routes: readonly RouteRule[]
  readonly services: ReadonlyMap<string, ServiceSettings>
  readonly limits: CallerLimits
  /** By name. Without workspaces, requests need no key. */
  readonly workspaces: ReadonlyMap<string, WorkspaceRule>
}

/** Whether a configuration took effect or was rejected because its version is not newer. */
export type ActivationResult =
  | { readonly kind: 'in_force', readonly version: number, readonly replacedVersion: number }
  | { readonly kind: 'not_newer', readonly version: number, readonly currentVersion: number }
