import type { Millis } from '../../clock/clock.js'
import type { CoreModule, Outcome, Reason } from '../coreTypes.js'

/** Identity of a request that may not be repeated. */
export interface RequestKey {
  readonly callerName: string
  readonly serviceName: string
  readonly idempotencyKey: string
}

/** Birth time of a key in Unix milliseconds, or null when the key carries none. */
export type KeyLabel = Millis | null

/** Range of labels [fromLabelMs, untilLabelMs) that a node may run. */
export interface LabelLease {
  readonly listRevision: number
  readonly fromLabelMs: Millis
  readonly untilLabelMs: Millis
}

/** The voters that stand behind one revision of a data centre's list. */
export interface VoterConfig {
  readonly listRevision: number
  readonly voterIds: readonly string[]
}

/** A revision for which a lease was held; no lower revision can get another lease. */
export interface LeaseBase extends VoterConfig {
  /** Every label that a lower revision may run lies below this one. */
  readonly fromLabelMs: Millis
}

/** A node's question to a voter of its data centre. */
export interface LeaseRequest {
  readonly kind: 'lease_request'
  readonly requestId: number
  readonly dataCentre: string
  readonly nodeId: string
  readonly listRevision: number
  readonly untilLabelMs: Millis
  /** Revision of the newest base that the node knows, or -1. */
  readonly baseRevision: number
  /** That base, when the voter may not know it. */
  readonly base?: LeaseBase
  /** Voters of `listRevision`, left out when that revision is the base. */
  readonly voterIds?: readonly string[]
}

/** A voter's answer. */
export type LeaseVote =
  | {
    readonly kind: 'lease_granted'
    readonly requestId: number
    readonly voterId: string
    readonly listRevision: number
    readonly fromLabelMs: Millis
    readonly untilLabelMs: Millis
    /** False while the voter may have forgotten grants that it made before a restart. */
    readonly settled: boolean
    readonly baseRevision: number
    /** The voter's base, when it is newer than the node's. */
    readonly base?: LeaseBase
    /** Older revisions above the base that the voter granted; their voters have to be asked, too. */
    readonly pending?: readonly VoterConfig[]
  }
  | {
    readonly kind: 'lease_refused'
    readonly requestId: number
    readonly voterId: string
    readonly highestRevision: number
  }

/** The remembered answer of a request, when small enough. */
export interface RememberedAnswer {
  readonly status: number
  readonly headers: Readonly<Record<string, string>>
  readonly setCookies?: readonly string[]
  readonly body: Uint8Array
}

/** What the owner says about a send of a key, before and right before dispatch. */
export type KeyDecision =
  | { readonly kind: 'run' }
  | { readonly kind: 'answer', readonly answer: RememberedAnswer }
  | { readonly kind: 'refuse', readonly outcome: Outcome.NotRun | Outcome.Unknown, readonly reason: Reason }

export interface KeySend {
  readonly key: RequestKey
  readonly callId: string
  /** Number of the caller's own send, from 1. */
  readonly attempt: number
  readonly isOwner: boolean
  /** List revisions under which this node is the owner of the key, of the last few it has seen. */
  readonly ownerRevisions: readonly number[]
}

export interface IdempotencySettings {
  readonly resendWindowMs: Millis
  readonly futureLabelMs: Millis
  readonly leaseAheadMs: Millis
  /** Time between the rounds of votes while each gives a lease. */
  readonly leaseRenewMs: Millis
  /** How long the votes of a round count, and when a round without a lease is repeated. */
  readonly leaseRetryMs: Millis
  readonly clockSkewMs: Millis
  readonly votersCount: number
  readonly refusalMemoryMs: Millis
  readonly answerMemoryBytes: number
  readonly keysCapacityCount: number
}

/** The voters of a data centre under one list revision. */
export interface VoterView {
  readonly dataCentre: string
  readonly listRevision: number
  readonly voterIds: readonly string[]
}

/** Candidates for the owner of a key in one data centre. */
export interface OwnerCandidates {
  readonly dataCentre: string
  readonly weight: number
  /** Nodes of the service in that data centre under the newest list. */
  readonly nodeIds: readonly string[]
}

export interface KeyOwner {
  readonly dataCentre: string
  /** Undefined when the data centre lists no node of the service. */
  readonly nodeId: string | undefined
}

/** Which node may run a key, and what it remembers of it. */
export interface IdempotencyModule<Db> extends CoreModule<Db, IdempotencySettings> {
  /** Birth time in a UUIDv7 or ULID at the start of a key, or null. */
  labelOf (idempotencyKey: string): KeyLabel
  /** Owner of a key. The data centre depends on the weights only, not on who is reachable. */
  ownerOf (key: RequestKey, candidates: readonly OwnerCandidates[]): KeyOwner
  /** Tells who this node is and when its memory began. */
  start (db: Db, nodeId: string, nowMs: Millis, wallMs: Millis): void
  /** Takes the voters of the node's own data centre; older revisions are ignored. */
  setVoters (db: Db, view: VoterView, nowMs: Millis, wallMs: Millis): void
  /** Lease requests that are due, each with the voter it goes to. */
  leaseRequests (
    db: Db, nowMs: Millis, wallMs: Millis
  ): Array<{ readonly voterId: string, readonly request: LeaseRequest }>
  onLeaseRequest (db: Db, request: LeaseRequest, nowMs: Millis, wallMs: Millis): LeaseVote
  onLeaseVote (db: Db, vote: LeaseVote, nowMs: Millis, wallMs: Millis): void
  lease (db: Db): LabelLease | null
  /** Whether this node's votes may count for some list, so that it has to stay settled. */
  isVoter (db: Db): boolean
  /** Checks a send and, for `run`, remembers the key as accepted. */
  admit (db: Db, send: KeySend, nowMs: Millis, wallMs: Millis): KeyDecision
  /** Checks again right before dispatch and, for `run`, remembers the key as running. */
  beforeDispatch (db: Db, send: KeySend, nowMs: Millis, wallMs: Millis): KeyDecision
  /** The dispatched call ended. */
  finish (db: Db, send: KeySend, outcome: Outcome, answer: RememberedAnswer | null, nowMs: Millis): void
  /** The accepted call was refused before dispatch. */
  refused (db: Db, send: KeySend, nowMs: Millis): void
}
