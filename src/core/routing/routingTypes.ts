import type { Millis } from '../../clock/clock.js'
import type { CoreModule, RandomSource } from '../coreTypes.js'

/** A node that may execute calls of a service, as listed for an entry node. */
export interface NodeTarget {
  readonly nodeId: string
  /** `ip:port` of the node's call port. */
  readonly address: string
  readonly serviceName: string
  readonly dataCentre: string
}

/** A call for which a node is to be chosen. */
export interface RouteRequest {
  readonly serviceName: string
  readonly ownDataCentre: string
  /** Nodes that this call has already been sent to. */
  readonly triedNodeIds: readonly string[]
}

/** The chosen node, or that no node is eligible. */
export type RouteChoice =
  | { readonly kind: 'target', readonly target: NodeTarget, readonly isProbe: boolean }
  | { readonly kind: 'none' }

/** How one forwarded call ended, as observed by the entry node. */
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

/** An event of a connection to one `ip:port`. */
export enum ConnectionEvent {
  Opened = 'opened',
  OpenFailed = 'open_failed',
  Answered = 'answered',
  TimedOut = 'timed_out',
  Reset = 'reset',
  ProbeAnswered = 'probe_answered',
  ProbeTimedOut = 'probe_timed_out'
}

/** What to do with an idle connection before its next call. */
export type ConnectionAdvice =
  | { readonly kind: 'keep' }
  | { readonly kind: 'probe_before_use' }
  | { readonly kind: 'replace' }

export interface RoutingSettings {
  /** Whether calls go to the cheaper of two random nodes; otherwise to a single random one. */
  readonly choiceOfTwo: boolean
  /** Length of a node's first ejection; each further one is twice as long, up to `ejectMaxMs`. */
  readonly ejectBaseMs: Millis
  readonly ejectMaxMs: Millis
  /** Largest ratio of a service's nodes that may be ejected at once. */
  readonly maxEjectedRatio: number
  /** Consecutive failures that eject a node. */
  readonly failuresToEjectCount: number
  /** A connection idle for this long is probed or replaced before use. */
  readonly idleProbeAfterMs: Millis
  /** Rate limit of new connections to one `ip:port`. */
  readonly connectsPerS: number
  /** How long a drain mark holds unless it is renewed. */
  readonly drainMarkTtlMs: Millis
}

/** Status of one peer, shown to operators. */
export interface PeerReading {
  readonly nodeId: string
  readonly serviceName: string
  readonly outstandingCount: number
  readonly latencyMs: Millis
  readonly ejectedUntilMs: Millis | null
  readonly draining: boolean
}

/**
 * Chooses the node for a call and watches the health of connections, based on
 * this node's own observations only. Connections are identified by the `ip:port`
 * that they lead to (`address`).
 */
export interface RoutingModule<Db> extends CoreModule<Db, RoutingSettings> {
  /** Replaces the set of nodes that calls may be sent to. */
  setTargets (db: Db, targets: readonly NodeTarget[], nowMs: Millis): void
  /** Chooses the node that a call is sent to next. */
  chooseNode (db: Db, request: RouteRequest, nowMs: Millis, random: RandomSource): RouteChoice
  /** Counts a call sent to a node as outstanding. */
  recordSend (db: Db, nodeId: string, nowMs: Millis): void
  /** Records how a call to a node ended, `latencyMs` after it was sent. */
  recordResult (db: Db, nodeId: string, result: PeerResult, latencyMs: Millis, nowMs: Millis): void
  /** Stops new calls to a node until `drainMarkTtlMs` has passed. */
  markDraining (db: Db, nodeId: string, nowMs: Millis): void
  /** Removes a drain mark, for example when the backend server is ready again. */
  clearDraining (db: Db, nodeId: string): void
  /** The target with this id as last listed; its address is empty if the node was never listed. */
  targetOf (db: Db, nodeId: string): NodeTarget | undefined
  /** Records an event of a connection. */
  recordConnectionEvent (db: Db, address: string, event: ConnectionEvent, nowMs: Millis): void
  /** What to do with a connection before its next call, given that it has received nothing for `silentMs`. */
  adviseConnection (db: Db, address: string, silentMs: Millis): ConnectionAdvice
  /** Whether a new connection may be opened now; takes a token, which prevents connect storms. */
  mayConnect (db: Db, address: string, nowMs: Millis): boolean
  /** Whether an address answers neither on existing nor on new connections. */
  isUnreachable (db: Db, address: string, nowMs: Millis): boolean
  peerReadings (db: Db, nowMs: Millis): PeerReading[]
}
