import type { Millis } from '../../clock/clock.js'
import type { CoreModule, RandomSource } from '../coreTypes.js'

/** A node that may execute calls of a service, as seen by an entry node. */
export interface NodeTarget {
  readonly nodeId: string
  /** `ip:port` of the node's call port. */
  readonly address: string
  readonly serviceName: string
  readonly dataCentre: string
}

export interface RouteRequest {
  readonly serviceName: string
  readonly ownDataCentre: string
  /** Nodes that this call has already been sent to. */
  readonly triedNodeIds: readonly string[]
}

export type RouteChoice =
  | { readonly kind: 'target', readonly target: NodeTarget, readonly isProbe: boolean }
  | { readonly kind: 'none' }

/** What the entry node saw of one forwarded call. */
export enum PeerResult {
  Answered = 'answered',
  RefusedOverload = 'refused_overload',
  RefusedShare = 'refused_share',
  RefusedDraining = 'refused_draining',
  RefusedBackendDown = 'refused_backend_down',
  ConnectFailed = 'connect_failed',
  ConnectionLost = 'connection_lost',
  TimedOut = 'timed_out',
  Cancelled = 'cancelled'
}

/** What a family of connections to one place shows. */
export enum ConnectionEvent {
  Opened = 'opened',
  OpenFailed = 'open_failed',
  Answered = 'answered',
  TimedOut = 'timed_out',
  Reset = 'reset',
  ProbeAnswered = 'probe_answered',
  ProbeTimedOut = 'probe_timed_out'
}

/** What to do about a connection or the place it leads to. */
export type ConnectionAdvice =
  | { readonly kind: 'keep' }
  | { readonly kind: 'probe_before_use' }
  | { readonly kind: 'replace' }

export interface RoutingSettings {
  readonly choiceOfTwo: boolean
  readonly ejectBaseMs: Millis
  readonly ejectMaxMs: Millis
  readonly maxEjectedRatio: number
  readonly failuresToEjectCount: number
  readonly idleProbeAfterMs: Millis
  readonly connectsPerS: number
  readonly drainMarkTtlMs: Millis
}

/** Reading of one peer for operators. */
export interface PeerReading {
  readonly nodeId: string
  readonly serviceName: string
  readonly outstandingCount: number
  readonly latencyMs: Millis
  readonly ejectedUntilMs: Millis | null
  readonly draining: boolean
}

/** Choice of nodes and care of connections, from the node's own observations. */
export interface RoutingModule<Db> extends CoreModule<Db, RoutingSettings> {
  /** Replaces the set of nodes that calls may be sent to. */
  setTargets (db: Db, targets: readonly NodeTarget[], nowMs: Millis): void
  choose (db: Db, request: RouteRequest, nowMs: Millis, random: RandomSource): RouteChoice
  sent (db: Db, nodeId: string, nowMs: Millis): void
  finished (db: Db, nodeId: string, result: PeerResult, latencyMs: Millis, nowMs: Millis): void
  markDraining (db: Db, nodeId: string, nowMs: Millis): void
  /** Withdraws a drain mark, for example when the backend server is ready again. */
  clearDraining (db: Db, nodeId: string): void
  targetOf (db: Db, nodeId: string): NodeTarget | undefined
  /** Notes what a connection to a place (`ip:port`) showed. */
  connectionSeen (db: Db, place: string, event: ConnectionEvent, nowMs: Millis): void
  /** What to do with a connection that has been silent for `silentMs` before it carries another call. */
  adviseConnection (db: Db, place: string, silentMs: Millis): ConnectionAdvice
  /** Whether a new connection to a place may be opened now; limits connect storms. */
  mayConnect (db: Db, place: string, nowMs: Millis): boolean
  /** Whether a place answers neither on open nor on new connections. */
  isDown (db: Db, place: string, nowMs: Millis): boolean
  readings (db: Db, nowMs: Millis): PeerReading[]
}
