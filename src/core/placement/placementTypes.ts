import type { Millis } from '../../clock/clock.js'
import type { ListedServer } from '../discovery/discoveryTypes.js'

/** Load of a backend server, reported by its own node with each answer. */
export interface LoadReport {
  readonly runningCount: number
  readonly queuedCount: number
  /** Concurrency limit: calls that may run at once. */
  readonly limitCount: number
  /** False while the backend server or its node accepts no new work. */
  readonly acceptsWork: boolean
  /** How long work takes at the server relative to its usual time, averaged; 1 is usual, null if not stated. */
  readonly paceRatio: number | null
}

/** What a backend server asks of the nodes in its answers, as known to its own node. */
export type ServerSignals =
  /** The server has not answered this process of its node yet. */
  | { readonly kind: 'unknown' }
  /** The server names no limit and does not leave. */
  | { readonly kind: 'none' }
  | {
    readonly kind: 'limited'
    /** The backend server that named the limit, empty while its node does not know its id. */
    readonly serverId: string
    /** Unix time of its start, 0 if unknown. */
    readonly startedAtWallMs: Millis
    /** Requests a second that it takes from all nodes together. */
    readonly limitPerS: number
    /** Time until the limit allows one more call. */
    readonly startDelayMs: Millis
  }
  /** The server takes no more requests, for the rest of its life. */
  | { readonly kind: 'departing', readonly serverId: string, readonly startedAtWallMs: Millis }

/** Signals that name the backend server from which they are. */
export type NamedSignals = Extract<ServerSignals, { kind: 'limited' | 'departing' }>

/** How a call to a server ended, for the statistics of that server. */
export enum SendOutcome {
  /** The backend server answered, and not with a server error. */
  Served = 'served',
  /** The backend server answered with a server error. */
  Failed = 'failed',
  /** The backend server rejected the call although its node had a free slot for it. */
  Shed = 'shed',
  /** The server's node refused the call because it had no free slot. */
  Refused = 'refused',
  /** No answer arrived. */
  Lost = 'lost',
  /** The caller disconnected or the deadline passed. */
  Cancelled = 'cancelled'
}

export interface PlacementSettings {
  readonly ownDataCentre: string
  readonly ownIp: string
  /** Added to the cost of servers in other data centres, in units of utilization. */
  readonly remotePenaltyRatio: number
  /** Round trip to another data centre. */
  readonly remotePathMs: Millis
}

/** Why a call goes to another data centre. */
export enum AwayReason {
  /** This node's data centre has no usable server of the service. */
  NoServerAtHome = 'no_server_at_home',
  /** The expected wait at home exceeds the time of the network path. */
  WaitAtHome = 'wait_at_home',
  /** The servers at home take far longer than those elsewhere. */
  SlowAtHome = 'slow_at_home'
}

/** The server chosen for one call; the reason is null at home and for services whose servers state no pace. */
export interface ServerChoice {
  readonly server: ListedServer
  readonly awayReason: AwayReason | null
}

/** Moving averages over the reports of a service's servers in this data centre, or of those elsewhere. */
export interface GroupLoad {
  /** Running and queued calls relative to the limit. */
  utilizationRatio: number
  paceRatio: number
  reportedAtMs: Millis
}

/** What this node knows of a service whose servers state a pace. */
export interface ServiceLoad {
  readonly serviceName: string
  readonly home: GroupLoad
  readonly away: GroupLoad
  /** Time for which a call holds its slot at a server of usual pace, averaged. */
  slotMs: Millis
  /** When a server of the service last stated a pace. */
  paceStatedAtMs: Millis
  /** The list of which the two arrays below are the parts; they are in random order. */
  servers: readonly ListedServer[]
  homeServers: ListedServer[]
  awayServers: ListedServer[]
  /** Difference of the utilization between the most and the least loaded compared server, averaged. */
  spreadRatio: number
}

/** What this node itself observed of one backend server. */
export interface ServerView {
  readonly serverId: string
  report: LoadReport | null
  reportedAtMs: Millis
  /** Calls sent by this node that the last load report does not include yet. */
  sentSinceReportCount: number
  /** Time for which this node's calls hold their slots there, averaged, 0 if not known. */
  slotMs: Millis
  outstandingCount: number
  consecutiveFailuresCount: number
  ejectedUntilMs: Millis
  /** Moving average of the calls that the backend server rejected. */
  shedRatio: number
  /** End of the warm-up after a start of the server. */
  warmUntilMs: Millis
  /** Until when the rate limit of the server allows no further call. */
  limitedUntilMs: Millis
  /** Set while the server's node does not respond. */
  isUnresponsive: boolean
  /** Until when the server's node counts as shutting down. */
  leavingUntilMs: Millis
}
