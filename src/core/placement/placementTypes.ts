import type { Millis } from '../../clock/clock.js'

/** What the node beside a backend server says of its load with each answer. */
export interface LoadReport {
  readonly runningCount: number
  readonly queuedCount: number
  /** Calls that may run at once. */
  readonly limitCount: number
  /** False while the backend server or its node takes no new work. */
  readonly acceptsWork: boolean
}

/** How a call at a server ended, as far as it says something about the server. */
export enum SendOutcome {
  /** An answer of the backend server that is no server error. */
  Served = 'served',
  /** The backend server answered with an error of its own. */
  Failed = 'failed',
  /** The backend server refused although its node had given it a free slot. */
  Shed = 'shed',
  /** Its node refused for lack of room. */
  Refused = 'refused',
  /** No answer. */
  Lost = 'lost',
  /** The caller left or the time was up. */
  Cancelled = 'cancelled'
}

export interface PlacementSettings {
  readonly ownDataCentre: string
  readonly ownIp: string
  /** Load above that of the own data centre that makes a server elsewhere the better choice. */
  readonly remotePenaltyRatio: number
}

/** First-hand observations of one backend server. */
export interface ServerView {
  readonly serverId: string
  report: LoadReport | null
  reportedAtMs: Millis
  sentSinceReportCount: number
  outstandingCount: number
  failuresInRowCount: number
  ejectedUntilMs: Millis
  shedRatio: number
  warmUntilMs: Millis
  /** Set while its node gives no sign of life. */
  isSilent: boolean
  /** Set while the process of its node stops. */
  isLeaving: boolean
}
