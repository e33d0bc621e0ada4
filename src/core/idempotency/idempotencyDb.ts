import type { Millis } from '../../clock/clock.js'
import type {
  IdempotencySettings, KeyTimestamp, KeyLease, LeaseBase, LeaseVote, StoredAnswer, VoterView
} from './idempotencyTypes.js'

export type GrantedVote = Extract<LeaseVote, { kind: 'lease_granted' }>

/** State of the last send of a key that this node accepted. */
export enum KeyState {
  Accepted = 'accepted',
  Running = 'running',
  Done = 'done',
  Unknown = 'unknown',
  Refused = 'refused'
}

/** What this node knows of a key that it accepted. */
export interface KeyRecord {
  readonly timestampMs: KeyTimestamp
  state: KeyState
  callId: string
  attempt: number
  answer: StoredAnswer | null
  expiresMs: Millis
}

/** State of this node as a voter: the leases that it has granted. */
export interface VoterState {
  highestRevision: number
  /** Greatest timestamp granted under any revision below the highest. */
  maxGrantedOlderMs: Millis
  /** Greatest timestamp granted under the highest revision. */
  maxGrantedCurrentMs: Millis
  /** Lower bound of grants after a start; timestamps below may have been granted before it. */
  minTimestampMs: Millis
  /** False while this node may have lost grants that it made before a restart. */
  settled: boolean
  base: LeaseBase | undefined
  /** Voters of the granted revisions above the base, by revision. */
  readonly pending: Map<number, readonly string[]>
}

/** The current round of lease requests and the votes received for it. */
export interface LeaseRound {
  readonly requestId: number
  readonly sentMs: Millis
  readonly sentWallMs: Millis
  readonly votes: Map<string, GrantedVote>
  /** Whether the votes were enough for a lease. */
  grantedLease: boolean
}

/** State of this node as a holder of leases. */
export interface HolderState {
  view: VoterView | undefined
  base: LeaseBase | undefined
  readonly pending: Map<number, readonly string[]>
  round: LeaseRound | undefined
  nextRequestId: number
  /** When the last lease was granted, or the start time. */
  lastLeaseAtMs: Millis
  /** Base revision that each voter last reported. */
  readonly voterBases: Map<string, number>
  /** Leases held, oldest first; each is valid only for the revision that it was granted under. */
  leases: KeyLease[]
}

export interface IdempotencyDb {
  readonly settings: IdempotencySettings
  nodeId: string
  startMs: Millis
  /** Greatest wall clock reading so far; the clock may step back. */
  maxWallMs: Millis
  /** Keys with a timestamp below this one may have run here before the start. */
  startTimestampMs: Millis
  /** Keys with a timestamp below this one may have run before the start, or their record was dropped. */
  recordsCompleteFromMs: Millis
  voter: VoterState
  holder: HolderState
  readonly records: Map<string, KeyRecord>
  /** Keys to check for expiry, by the second in which the check is due. */
  readonly keysByExpirySecond: Map<number, string[]>
  lastExpiredSecond: number
  storedAnswersBytes: number
}

export const IDEMPOTENCY_DEFAULTS: IdempotencySettings = {
  resendWindowMs: 120_000,
  futureToleranceMs: 2_000,
  leaseLengthMs: 10_000,
  // With renewals every 5 s, a voter in a data centre of 190 nodes spends less than 20 KB/s on lease requests; see
  // docs/CAPACITY.md. Accepted timestamps lie at most 2 s ahead, so a lease of 10 s outlasts the renewal and one lost
  // round.
  leaseRenewMs: 5_000,
  leaseRetryMs: 2_000,
  clockSkewMs: 2_000,
  votersCount: 9,
  refusalRetentionMs: 125_000,
  storedAnswersMaxBytes: 8_388_608,
  keysCapacityCount: 50_000
}

function emptyVoter (): VoterState {
  return {
    highestRevision: -1,
    maxGrantedOlderMs: -Infinity,
    maxGrantedCurrentMs: -Infinity,
    minTimestampMs: Infinity,
    settled: false,
    base: undefined,
    pending: new Map()
  }
}

function emptyHolder (): HolderState {
  return {
    view: undefined,
    base: undefined,
    pending: new Map(),
    round: undefined,
    nextRequestId: 0,
    lastLeaseAtMs: 0,
    voterBases: new Map(),
    leases: []
  }
}

/** Creates an empty state. Before `start`, the node grants no leases and runs no keys. */
export function createIdempotencyDb (settings: IdempotencySettings): IdempotencyDb {
  return {
    settings,
    nodeId: '',
    startMs: 0,
    maxWallMs: 0,
    startTimestampMs: Infinity,
    recordsCompleteFromMs: Infinity,
    voter: emptyVoter(),
    holder: emptyHolder(),
    records: new Map(),
    keysByExpirySecond: new Map(),
    lastExpiredSecond: -1,
    storedAnswersBytes: 0
  }
}

/** Resets the state, as a restart does. */
export function clearIdempotencyDb (db: IdempotencyDb): void {
  db.nodeId = ''
  db.startMs = 0
  db.maxWallMs = 0
  db.startTimestampMs = Infinity
  db.recordsCompleteFromMs = Infinity
  db.voter = emptyVoter()
  db.holder = emptyHolder()
  db.records.clear()
  db.keysByExpirySecond.clear()
  db.lastExpiredSecond = -1
  db.storedAnswersBytes = 0
}

/** Sets the id of this node and the start time, before which it has no records. */
export function startIdempotency (db: IdempotencyDb, nodeId: string, nowMs: Millis, wallMs: Millis): void {
  const { leaseLengthMs, clockSkewMs, futureToleranceMs } = db.settings
  db.nodeId = nodeId
  db.startMs = nowMs
  db.maxWallMs = wallMs
  // Before a restart, this node accepted timestamps up to futureToleranceMs ahead of its clock.
  db.startTimestampMs = wallMs + futureToleranceMs + clockSkewMs
  db.recordsCompleteFromMs = db.startTimestampMs
  db.voter.minTimestampMs = wallMs + leaseLengthMs + clockSkewMs
  db.holder.lastLeaseAtMs = nowMs
  // Derived from the start time so that votes for requests sent before a restart are not counted.
  db.holder.nextRequestId = wallMs * 1_000
}
