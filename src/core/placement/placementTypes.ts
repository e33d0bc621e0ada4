import type { Millis } from '../../clock/clock.js'

/** Load of a backend server, reported by its own node with each answer. */
export interface LoadReport {
  readonly runningCount: number
  readonly queuedCount: number
  /** Concurrency limit: calls that may run at once. */
  readonly limitCount: number
  /** False while the backend server or its node accepts no new work. */
  readonly acceptsWork: boolean
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
}

/** What this node itself observed of one backend server. */
export interface ServerView {
  readonly serverId: string
  report: LoadReport | null
  reportedAtMs: Millis
  /** Calls sent by this node that the last load report does not include yet. */
  sentSinceReportCount: number
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
