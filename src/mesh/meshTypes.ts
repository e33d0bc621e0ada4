import type { Millis } from '../clock/clock.js'
import type { ServiceUsage } from '../core/chainAdmission/chainAdmissionTypes.js'
import type { ArrivalReport } from '../core/fleetRetryBudget/fleetRetryBudgetTypes.js'
import type { MessageBody } from '../http/messageBody.js'
import type { LoadReport, ServerSignals } from '../core/placement/placementTypes.js'

/** Context of the root request, propagated to all calls made for it. */
export interface TraceContext {
  readonly rootId: string
  readonly rootRoute: string
  /** Importance rank of the root request; all calls made for it inherit it. */
  readonly rootImportanceRank: number
  /** 0 for the root request itself. */
  readonly depth: number
  /** Whether another backend server received the call before, or it was made by a call of which this is true. */
  readonly isRetry: boolean
}

/** A call as sent from the node that received the request to the node of the backend server that runs it. */
export interface DispatchedCall {
  readonly serviceName: string
  /** Backend server chosen to run the call. */
  readonly serverId: string
  /** Request id set by the caller. */
  readonly requestId: string
  readonly method: string
  readonly target: string
  /** Header lines of the request, without those that the executing node adds. */
  readonly headerText: string
  readonly body: MessageBody
  /** Time until the deadline when the call was sent. */
  readonly remainingMs: Millis
  /** Longest time for which the call may wait for a slot. */
  readonly queueWaitMaxMs: Millis
  /** Position among waiting calls: the lowest rank starts first. */
  readonly rank: number
  /** Whether the call may be executed more than once. */
  readonly mayRepeat: boolean
  /** Limit on the rate of the backend server that the sender knows from forwarded answers, or null. */
  readonly knownLimitPerS: number | null
  /** Workspace whose key the request had, or null for sub-calls and anonymous requests. */
  readonly workspaceName: string | null
  readonly traceContext: TraceContext
}

/** Load and usage that the executing node reports with each result. */
export interface ResultReport {
  readonly load: LoadReport
  /** Resources used by the call and its sub-calls, by service. */
  readonly usage: readonly ServiceUsage[]
  /** Calls that arrived at the backend server lately, or null while they are not known. */
  readonly arrivals: ArrivalReport | null
  readonly signals: ServerSignals
}

/** Why a call did not run. Except for `BackendShed` and `ServerReplaced`, no byte of it reached a backend server. */
export enum RefusalReason {
  NoConfiguration = 'no_configuration',
  UnknownKey = 'unknown_key',
  /** The configuration may be too old to accept a key, or to refuse one. */
  ConfigurationUnproven = 'configuration_unproven',
  AboveAllotment = 'above_allotment',
  NoServer = 'no_server',
  NoRoom = 'no_room',
  ChainOverload = 'chain_overload',
  /** A service in the chain refuses so many calls that the retry budget does not complete the chain. */
  ChainIncompletable = 'chain_incompletable',
  WrongService = 'wrong_service',
  NotAccepting = 'not_accepting',
  DeadlinePassed = 'deadline_passed',
  CrashSuspect = 'crash_suspect',
  ConnectFailed = 'connect_failed',
  BackendShed = 'backend_shed',
  /** The address has another backend server than the one that was chosen. */
  ServerReplaced = 'server_replaced',
  /** The backend server takes no more requests at the moment than it names as its limit. */
  ServerLimit = 'server_limit',
  MemoryFull = 'memory_full',
  /** The process ends before the request is certain to have an answer. */
  Stopping = 'stopping'
}

/** Why it is unknown whether a call ran. */
export enum UnknownOutcomeReason {
  ConnectionLost = 'connection_lost',
  MalformedAnswer = 'malformed_answer',
  /** The answer is longer than the memory of this node allows. */
  AnswerTooLong = 'answer_too_long',
  PeerLost = 'peer_lost',
  TimedOut = 'timed_out'
}

/** Outcome of a call at the executing node. */
export type DispatchResult =
  | {
    readonly kind: 'answered'
    readonly statusCode: number
    readonly statusText: string
    readonly headerText: string
    readonly body: MessageBody
    /** False for an answer delimited by the close of its connection, which may be incomplete. */
    readonly hasLength: boolean
    /** Time from writing the request until the complete answer was read. */
    readonly servedMs: Millis
  }
  /** The call did not run. `reachedBackend` tells whether the backend server itself refused it. */
  | { readonly kind: 'not_run', readonly reason: RefusalReason, readonly reachedBackend: boolean }
  | { readonly kind: 'unknown', readonly reason: UnknownOutcomeReason }

/** Callbacks for the progress of a dispatched call. */
export interface DispatchListener {
  /** `report` is null when the executing node could not be reached. */
  onResult (result: DispatchResult, report: ResultReport | null): void
  /** The executing node does not respond; a result may still follow. */
  onUnresponsive (): void
}

/** Handle of a dispatched call. */
export interface DispatchHandle {
  /** Cancels the call, because its caller left or its deadline passed; no result follows. */
  cancel (): void
}
