import type { Millis } from '../../clock/clock.js'
import type { Importance, Outcome, Reason } from '../coreTypes.js'
import type {
  CallerPolicy, ListConfirmation, OfferResult, PublishedValue, RouteConfig, ServiceDocument
} from '../documents/documentsTypes.js'
import type { KeySend, LeaseRequest, LeaseVote } from '../idempotency/idempotencyTypes.js'
import type { Fingerprint } from '../retry/retryTypes.js'

/** Origin of a call that this node received. */
export type CallSource =
  | { readonly kind: 'caller' }
  /** A sub-call of this node's backend server, made while it serves the parent call. */
  | { readonly kind: 'backend_server', readonly parentCallId: string }
  /** A call that another node forwarded to this one for execution. */
  | {
    readonly kind: 'peer'
    readonly nodeId: string
    readonly importance: Importance
    readonly level: number
    /** Retry budget that the peer reserved for this call. */
    readonly grantedRetriesCount: number
    /** Whether the call is the root request itself instead of a sub-call. */
    readonly isRoot: boolean
  }

/** A call as the shell read it from the network. */
export interface IncomingCall {
  readonly callId: string
  readonly source: CallSource
  readonly callerName: string
  readonly serviceName: string
  readonly method: string
  /** Path below the service name, with a leading slash. */
  readonly path: string
  readonly rootId: string
  readonly parentId: string
  readonly deadlineMs: Millis | null
  readonly idempotencyKey: string | null
  /** Attempt number of the caller, from 1; null when the caller does not number its attempts. */
  readonly attempt: number | null
  /** Importance that the caller requested, or null. */
  readonly requestedImportance: Importance | null
  readonly bodyHash: number
}

/** An answer with its complete body. */
export interface Answer {
  readonly status: number
  readonly headers: Readonly<Record<string, string>>
  /** Values of `set-cookie`, the one header that cannot be joined into a single line. */
  readonly setCookies?: readonly string[]
  readonly body: Uint8Array
}

/** Result of one send to a backend server or peer. */
export type SendResult =
  | ({ readonly kind: 'answered', readonly tookMs: Millis } & Answer)
  | {
    readonly kind: 'failed'
    readonly reason: Reason
    readonly bytesSent: boolean
    /** The node's own connection limits prevented the send, so the failure says nothing about the receiver. */
    readonly poolBusy?: boolean
    readonly tookMs: Millis
  }

/** Why a call is known not to have run. A call without such a proof is never reported as `not_run`. */
export type NotRunProof =
  /** The executing node refused the call and will not dispatch it. */
  | { readonly kind: 'refused_by_executor', readonly nodeId: string }
  /** No attempt sent any byte of the call. */
  | { readonly kind: 'no_byte_sent' }

/** How a call ended at this node. */
export type CallEnd =
  | { readonly kind: 'done', readonly answer: Answer }
  | { readonly kind: 'not_run', readonly proof: NotRunProof, readonly reason: Reason, readonly limitedBy: string }
  | { readonly kind: 'unknown', readonly reason: Reason }
  | { readonly kind: 'cancelled' }

export enum BackendStatus {
  Ready = 'ready',
  Warming = 'warming',
  Draining = 'draining',
  Down = 'down'
}

/** Clock readings passed to the core with each event: monotonic time and wall-clock time. */
export interface ClockReadings {
  readonly nowMs: Millis
  readonly wallMs: Millis
}

export type NodeEvent =
  | { readonly kind: 'call_received', readonly call: IncomingCall }
  | { readonly kind: 'backend_result', readonly callId: string, readonly result: SendResult }
  | { readonly kind: 'peer_result', readonly callId: string, readonly result: SendResult }
  | { readonly kind: 'retry_due', readonly callId: string }
  | { readonly kind: 'caller_gone', readonly callId: string }
  | { readonly kind: 'backend_seen', readonly status: BackendStatus }
  | { readonly kind: 'backend_crashed' }
  | { readonly kind: 'value_received', readonly value: PublishedValue }
  | { readonly kind: 'poll_answered', readonly key: string, readonly answered: boolean }
  | { readonly kind: 'confirmation_received', readonly confirmation: ListConfirmation }
  | { readonly kind: 'lease_request_received', readonly request: LeaseRequest }
  | { readonly kind: 'lease_vote_received', readonly vote: LeaseVote }
  | { readonly kind: 'peer_draining', readonly nodeId: string, readonly isDraining: boolean }
  | { readonly kind: 'quarantine_hint_received', readonly fingerprint: Fingerprint, readonly forMs: Millis }
  | { readonly kind: 'stop_requested' }
  | { readonly kind: 'tick' }

export type NodeCommand =
  | { readonly kind: 'dispatch', readonly callId: string, readonly timeoutMs: Millis }
  | {
    readonly kind: 'forward'
    readonly callId: string
    readonly address: string
    readonly headers: Readonly<Record<string, string>>
    readonly timeoutMs: Millis
  }
  | { readonly kind: 'answer', readonly callId: string, readonly answer: Answer }
  /** Ends a call whose caller has disconnected; no answer is sent. */
  | { readonly kind: 'drop', readonly callId: string }
  | { readonly kind: 'abort_send', readonly callId: string }
  | { readonly kind: 'retry_later', readonly callId: string, readonly delayMs: Millis }
  | { readonly kind: 'record', readonly line: string }
  | { readonly kind: 'value_offered', readonly key: string, readonly result: OfferResult }
  | { readonly kind: 'lease_request', readonly address: string, readonly request: LeaseRequest }
  | { readonly kind: 'lease_vote', readonly vote: LeaseVote }
  | { readonly kind: 'quarantine_hint', readonly fingerprint: Fingerprint }
  | { readonly kind: 'draining_notice', readonly isDraining: boolean }
  | { readonly kind: 'log', readonly event: string, readonly fields: Readonly<Record<string, string | number>> }
  | { readonly kind: 'stopped' }

/** State of an open call, from its arrival to its end. */
export interface CallState {
  readonly call: IncomingCall
  readonly document: ServiceDocument
  readonly route: RouteConfig
  readonly callerPolicy: CallerPolicy
  readonly importance: Importance
  /** Admission level (lower is better) before this node checks the caller's promised rate. */
  readonly baseLevel: number
  readonly arrivedAtMs: Millis
  readonly arrivedAtWallMs: Millis
  readonly deadlineAtMs: Millis
  /** Id of the budget account from which the call's retries are deducted. */
  readonly accountId: string
  readonly isRoot: boolean
  readonly fingerprint: Fingerprint
  chartState: string
  level: number
  withinPromise: boolean
  /** Whether the call holds a token of the caller's token bucket. */
  holdsToken: boolean
  keySend: KeySend | null
  /** Whether this node, as the key's owner, has accepted the call, so that no other attempt of it can have run. */
  isKeyAccepted: boolean
  executesLocally: boolean
  forwardedTo: string
  sentAtMs: Millis
  servedMs: Millis
  queuedMs: Millis
  /** Retry budget reserved for the peer that the call was forwarded to; its answer returns the unused part. */
  reservedRetriesCount: number
  retriesCount: number
  triedNodeIds: string[]
  /** Whether an earlier attempt of this call may have run. */
  mayHaveRun: boolean
  /** Strictest cut level (load-shedding threshold) in the answers to this call and its sub-calls. */
  downstreamCutLevel: number
}

export interface NodeCoreSettings {
  readonly nodeId: string
  readonly incarnation: string
  readonly serviceName: string
  readonly dataCentre: string
  /** False turns off admission control, promised rates, leases and quarantine, as a baseline for measurements. */
  readonly controlEnabled: boolean
}

/** Outcome of a call as written in call records. */
export function outcomeOf (end: CallEnd): Outcome {
  return end.kind as Outcome
}
