import type { Millis } from '../../clock/clock.js'
import type { Importance, Outcome, Reason } from '../coreTypes.js'
import type {
  CallerTerms, Confirmation, OfferResult, PublishedValue, RouteTerms, ServiceDocument
} from '../documents/documentsTypes.js'
import type { KeySend, LeaseRequest, LeaseVote } from '../idempotency/idempotencyTypes.js'
import type { Fingerprint } from '../retry/retryTypes.js'

/** Who sent a call to this node. */
export type CallSource =
  | { readonly kind: 'caller' }
  /** The node's own backend server, on behalf of a call that it serves. */
  | { readonly kind: 'backend_server', readonly parentCallId: string }
  /** Another node, which has chosen this one to execute the call. */
  | {
    readonly kind: 'peer'
    readonly nodeId: string
    readonly importance: Importance
    readonly level: number
    readonly retryLoanCount: number
    /** Whether the call is the root request itself and no sub-call. */
    readonly isRoot: boolean
  }

/** A call as the shell read it. */
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
  /** Number of the caller's own send, or null when the caller does not count them. */
  readonly attempt: number | null
  /** Importance that the caller asked for, or null. */
  readonly askedImportance: Importance | null
  readonly bodyHash: number
}

/** An answer with a whole body. */
export interface Answer {
  readonly status: number
  readonly headers: Readonly<Record<string, string>>
  /** Values of `set-cookie`, the one header that cannot be joined into a single line. */
  readonly setCookies?: readonly string[]
  readonly body: Uint8Array
}

/** How one send to a backend server or peer ended. */
export type SendResult =
  | ({ readonly kind: 'answered', readonly tookMs: Millis } & Answer)
  | {
    readonly kind: 'failed'
    readonly reason: Reason
    readonly bytesSent: boolean
    /** The node's own bounds held the send back, which says nothing about the other side. */
    readonly poolBusy?: boolean
    readonly tookMs: Millis
  }

/** Why a call is known not to have run. Without a proof no call is reported as not run. */
export type NotRunProof =
  /** The node that would have run the call refused it and will not dispatch it. */
  | { readonly kind: 'refused_by_executor', readonly nodeId: string }
  /** No byte of the call was handed over by any send. */
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

/** Time readings handed to the core with each event. */
export interface Time {
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
  | { readonly kind: 'confirmation_received', readonly confirmation: Confirmation }
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
  /** Ends a call whose caller has gone. */
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

/** What the core keeps about a call between its arrival and its end. */
export interface CallState {
  readonly call: IncomingCall
  readonly document: ServiceDocument
  readonly route: RouteTerms
  readonly terms: CallerTerms
  readonly importance: Importance
  /** Level before this node's own promise check. */
  readonly baseLevel: number
  readonly arrivedAtMs: Millis
  readonly arrivedAtWallMs: Millis
  readonly deadlineAtMs: Millis
  readonly accountId: string
  readonly isRoot: boolean
  readonly fingerprint: Fingerprint
  chartState: string
  level: number
  withinPromise: boolean
  /** Whether a token of the agreement is held for this call. */
  holdsToken: boolean
  keySend: KeySend | null
  /** Whether the key's owner here has accepted the call, so that its refusal is the owner's word. */
  keyAccepted: boolean
  executesHere: boolean
  forwardedTo: string
  sentAtMs: Millis
  servedMs: Millis
  queuedMs: Millis
  lentCount: number
  retriesCount: number
  triedNodeIds: string[]
  /** Whether an earlier send of this call may have run. */
  mayHaveRun: boolean
  /** Strictest cut level met by sub-calls of this call. */
  cutLevelBelow: number
}

export interface NodeCoreSettings {
  readonly nodeId: string
  readonly incarnation: string
  readonly serviceName: string
  readonly dataCentre: string
  /** Off: calls pass without admission, agreement, leases or quarantine, as the baseline for measurements. */
  readonly controlEnabled: boolean
}

/** Outcome of a call as the records name it. */
export function outcomeOf (end: CallEnd): Outcome {
  return end.kind as Outcome
}
