import type { Millis } from '../../clock/clock.js'

/** Parts of the memory that peers make the process hold. */
export enum MemoryShare {
  /** Connections of callers, and the heads of their requests. */
  Connections = 'connections',
  /** Bodies of callers' requests, until the requests are answered. */
  Requests = 'requests',
  /** Calls that other nodes send to the own backend server. */
  PeerCalls = 'peer_calls',
  /** Answers of the own backend server, until a caller or another node takes them. */
  ServerAnswers = 'server_answers',
  /** Answers on their way to callers of this node. */
  CallerAnswers = 'caller_answers'
}

/** While others wait for memory, a peer that has made no progress for this long loses what is held for it. */
export const STALLED_MIN_MS: Millis = 500

/** A part of the program that holds bytes for peers. */
export interface MemoryHolder {
  readonly share: MemoryShare
  /** Bytes that are held now, and those that were reserved and have not arrived yet. */
  readonly heldBytes: number
  /** Gives up what is least worth keeping. Returns false if there is nothing that may be given up. */
  shed (): boolean
  /** Gives up something of which a peer took or sent nothing for `STALLED_MIN_MS`. Returns false without any. */
  shedStalled (): boolean
}

/** Limits on what is held, in bytes. */
export interface MemoryLimits {
  /** Limit on requests and calls, and another one of the same size on answers together with connections. */
  readonly sideBytes: number
  /** Limit on what callers make the heap hold with connections and heads. */
  readonly connectionsBytes: number
}

/** Bytes that are to be held as soon as there is room for them. */
export interface MemoryReservation {
  readonly share: MemoryShare
  readonly bytes: number
  /** Whether it may use the part of the answers' side that is kept for other shares. By default it may not. */
  readonly isPreferred?: () => boolean
  /** Called once there is room. From then on, the holder counts the bytes. */
  readonly onGranted: () => void
}
