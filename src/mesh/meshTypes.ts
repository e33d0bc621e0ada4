import type { Millis } from '../clock/clock.js'
import type { ServiceUsage } from '../core/chainAdmission/chainAdmissionTypes.js'
import type { LoadReport } from '../core/placement/placementTypes.js'

/** The request from outside on whose behalf a call is made. */
export interface Lineage {
  readonly rootId: string
  readonly rootRoute: string
  /** Importance of the root request; it holds for everything done for it. */
  readonly rootRank: number
  /** 0 for the root request itself. */
  readonly depth: number
  /** Whether the call is, or was made for, one that may have run before. */
  readonly isRepeat: boolean
}

/** A call on its way from the node that took it to the node that runs it. */
export interface PlacedCall {
  readonly serviceName: string
  /** Backend server that is meant to run it. */
  readonly serverId: string
  /** Id that the caller gave this request. */
  readonly requestId: string
  readonly method: string
  readonly target: string
  /** Header lines of the request without those that the executing node adds. */
  readonly headerText: string
  readonly body: Uint8Array
  /** Time left, by the sender's clock. */
  readonly remainingMs: Millis
  /** Longest time the call may wait for a slot. */
  readonly waitMaxMs: Millis
  /** Order among waiting calls: the lowest goes first. */
  readonly rank: number
  readonly isIdempotent: boolean
  readonly lineage: Lineage
}

/** What the node that had a call says beside its result. */
export interface ResultReport {
  readonly load: LoadReport
  /** What the call and those below it used. */
  readonly usage: readonly ServiceUsage[]
}

/** Why a call was refused before a byte of it reached a backend server. */
export enum RefusalReason {
  NoConfiguration = 'no_configuration',
  NoServer = 'no_server',
  NoRoom = 'no_room',
  ChainOverload = 'chain_overload',
  WrongService = 'wrong_service',
  NotAccepting = 'not_accepting',
  DeadlinePassed = 'deadline_passed',
  CrashSuspect = 'crash_suspect',
  ConnectFailed = 'connect_failed',
  BackendShed = 'backend_shed',
  MemoryFull = 'memory_full'
}

/** Why it is unknown whether a call ran. */
export enum LossReason {
  ConnectionLost = 'connection_lost',
  MalformedAnswer = 'malformed_answer',
  PeerLost = 'peer_lost',
  TimedOut = 'timed_out'
}

/** What became of a call at the node that was to run it. */
export type PlacedResult =
  | {
    readonly kind: 'answered'
    readonly statusCode: number
    readonly statusText: string
    readonly headerText: string
    readonly body: Uint8Array
    /** False for an answer that ended with its connection, which does not tell whether it is whole. */
    readonly hasLength: boolean
    /** From the dispatch to the whole answer. */
    readonly servedMs: Millis
  }
  /** Not run. `reachedBackend` tells whether the backend server itself refused it. */
  | { readonly kind: 'not_run', readonly reason: RefusalReason, readonly reachedBackend: boolean }
  | { readonly kind: 'unknown', readonly reason: LossReason }

export interface PlacedListener {
  /** `report` is null when the node that had the call could not be asked. */
  onResult (result: PlacedResult, report: ResultReport | null): void
  /** The node that has the call gives no sign of life; the call may still be answered. */
  onSilent (): void
}

/** A call in the hands of a node. */
export interface PlacedHandle {
  /** The caller left or the time is up; no result follows. */
  cancel (): void
}
