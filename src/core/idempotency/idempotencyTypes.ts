import type { Millis } from '../../clock/clock.js'
import type { CoreModule, Outcome, Reason } from '../coreTypes.js'

/** Identity of a request that must not run twice. */
export interface RequestKey {
  readonly callerName: string
  readonly serviceName: string
  readonly idempotencyKey: string
}

/** Creation time that an idempotency key carries, in Unix milliseconds; null when the key carries none. */
export type KeyTimestamp = Millis | null

/**
 * Lease on a range of key timestamps: under `listRevision` the node may run the
 * keys that it owns with a timestamp in [fromLabelMs, untilLabelMs). In the names
 * of fields, a label is a key timestamp.
 */
export interface KeyLease {
  readonly listRevision: number
  readonly fromLabelMs: Millis
  readonly untilLabelMs: Millis
}

/** The voters of one revision of a data centre's VM list. */
export interface VoterConfig {
  readonly listRevision: number
  readonly voterIds: readonly string[]
}

/** A revision under which a lease was granted; no lower revision can get a lease any more. */
export interface LeaseBase extends VoterConfig {
  /** Leases of lower revisions cover only timestamps below this one. */
  readonly fromLabelMs: Millis
}

/** A node's request for a lease, sent to each voter of its data centre. */
export interface LeaseRequest {
  readonly kind: 'lease_request'
  readonly requestId: number
  readonly dataCentre: string
  readonly nodeId: string
  readonly listRevision: number
  readonly untilLabelMs: Millis
  /** Revision of the newest base known to the node, or -1. */
  readonly baseRevision: number
  /** That base; left out when the voter last reported the same one. */
  readonly base?: LeaseBase
  /** Voters of `listRevision`; left out when that revision is the base. */
  readonly voterIds?: readonly string[]
}

/** A voter's answer to a lease request. */
export type LeaseVote =
  | {
    readonly kind: 'lease_granted'
    readonly requestId: number
    readonly voterId: string
    readonly listRevision: number
    readonly fromLabelMs: Millis
    readonly untilLabelMs: Millis
    /** False while the voter may have lost grants that it made before a restart. */
    readonly settled: boolean
    readonly baseRevision: number
    /** The voter's base, when it is newer than the node's. */
    readonly base?: LeaseBase
    /** Granted revisions between the base and the requested one; a majority of their voters has to agree, too. */
    readonly pending?: readonly VoterConfig[]
  }
  | {
    readonly kind: 'lease_refused'
    readonly requestId: number
    readonly voterId: string
    readonly highestRevision: number
  }

/** Answer of a finished request, kept for resends when it is small enough. */
export interface StoredAnswer {
  readonly status: number
  readonly headers: Readonly<Record<string, string>>
  readonly setCookies?: readonly string[]
  readonly body: Uint8Array
}

/** The owner's decision on one send of a key: run it, return the stored answer, or refuse it. */
export type KeyDecision =
  | { readonly kind: 'run' }
  | { readonly kind: 'answer', readonly answer: StoredAnswer }
  | { readonly kind: 'refuse', readonly outcome: Outcome.NotRun | Outcome.Unknown, readonly reason: Reason }

/** One send of a request with an idempotency key, as it reaches the owner. */
export interface KeySend {
  readonly key: RequestKey
  readonly callId: string
  /** Number of the caller's send of this key, from 1. */
  readonly attempt: number
  readonly isOwner: boolean
  /** Those of the last few known list revisions under which this node owns the key. */
  readonly ownerRevisions: readonly number[]
}

export interface IdempotencySettings {
  /** How long after a key's timestamp a caller may resend the request. */
  readonly resendWindowMs: Millis
  /** How far a key's timestamp may lie ahead of the node's wall clock. */
  readonly futureToleranceMs: Millis
  /** How far a lease reaches beyond the wall clock at the time of the request. */
  readonly leaseLengthMs: Millis
  /** Time until the next round of lease requests after a round that gave a lease. */
  readonly leaseRenewMs: Millis
  /** How long the votes of a round count, and time until the next round after a round without a lease. */
  readonly leaseRetryMs: Millis
  /** Assumed bound on the clock skew of nodes and callers. */
  readonly clockSkewMs: Millis
  readonly votersCount: number
  /** How long the record of a refused send is kept. */
  readonly refusalRetentionMs: Millis
  readonly storedAnswersMaxBytes: number
  readonly keysCapacityCount: number
}

/** The voters of a data centre under one list revision. */
export interface VoterView {
  readonly dataCentre: string
  readonly listRevision: number
  readonly voterIds: readonly string[]
}

/** Candidates for the owner of a key in one data centre. */
export interface OwnerCandidate {
  readonly dataCentre: string
  readonly weight: number
  /** Nodes of the service in that data centre under the newest list. */
  readonly nodeIds: readonly string[]
}

/** The node that runs a key. */
export interface KeyOwner {
  readonly dataCentre: string
  /** Undefined when the data centre lists no node of the service. */
  readonly nodeId: string | undefined
}

/**
 * Runs each idempotency key at most once: chooses the owner of a key, leases ranges of
 * key timestamps to the nodes and records the keys that each node has accepted.
 */
export interface IdempotencyModule<Db> extends CoreModule<Db, IdempotencySettings> {
  /** Timestamp of the UUIDv7 or ULID at the start of a key, or null. */
  keyTimestampOf (idempotencyKey: string): KeyTimestamp
  /** Owner of a key. Its data centre depends on the weights only, not on which nodes are reachable. */
  ownerOf (key: RequestKey, candidates: readonly OwnerCandidate[]): KeyOwner
  /** Sets the id of this node and the start time, before which it has no records. */
  start (db: Db, nodeId: string, nowMs: Millis, wallMs: Millis): void
  /** Sets the voters of the node's own data centre; revisions that are not newer are ignored. */
  setVoters (db: Db, view: VoterView, nowMs: Millis, wallMs: Millis): void
  /** Lease requests that are due, each with the voter to send it to. */
  leaseRequests (
    db: Db, nowMs: Millis, wallMs: Millis
  ): Array<{ readonly voterId: string, readonly request: LeaseRequest }>
  onLeaseRequest (db: Db, request: LeaseRequest, nowMs: Millis, wallMs: Millis): LeaseVote
  onLeaseVote (db: Db, vote: LeaseVote, nowMs: Millis, wallMs: Millis): void
  /** Newest lease, or null. */
  newestLease (db: Db): KeyLease | null
  /** Whether this node's vote may count for some list revision, so that the node has to stay settled. */
  isVoter (db: Db): boolean
  /** Decides on a send and, for `run`, records the key as accepted. */
  admitSend (db: Db, send: KeySend, nowMs: Millis, wallMs: Millis): KeyDecision
  /** Checks again immediately before dispatch and, for `run`, records the key as running. */
  beforeDispatch (db: Db, send: KeySend, nowMs: Millis, wallMs: Millis): KeyDecision
  /** Records the outcome of a dispatched call and, if small enough, its answer. */
  recordResult (db: Db, send: KeySend, outcome: Outcome, answer: StoredAnswer | null, nowMs: Millis): void
  /** Records that an accepted call was refused before dispatch. */
  recordRefusal (db: Db, send: KeySend, nowMs: Millis): void
}
