import type { Millis } from '../../clock/clock.js'
import type {
  IdempotencySettings, KeyLabel, LabelLease, LeaseBase, LeaseVote, RememberedAnswer, VoterView
} from './idempotencyTypes.js'

export type GrantedVote = Extract<LeaseVote, { kind: 'lease_granted' }>

export enum KeyState {
  Accepted = 'accepted',
  Running = 'running',
  Done = 'done',
  Unknown = 'unknown',
  Refused = 'refused'
}

export interface KeyRecord {
  readonly labelMs: KeyLabel
  state: KeyState
  callId: string
  attempt: number
  answer: RememberedAnswer | null
  expiresMs: Millis
}

/** What this node promised as a voter. */
export interface VoterState {
  highestRevision: number
  /** Greatest label granted under any revision below the highest. */
  grantedOldMs: Millis
  grantedCurrentMs: Millis
  /** Labels below this one may have been granted before a restart. */
  floorLabelMs: Millis
  settled: boolean
  base: LeaseBase | undefined
  /** Voters of granted revisions above the base, by revision. */
  readonly pending: Map<number, readonly string[]>
}

/** The lease request under way and the votes for it. */
export interface LeaseRound {
  readonly requestId: number
  readonly sentMs: Millis
  readonly sentWallMs: Millis
  readonly votes: Map<string, GrantedVote>
  /** Whether its votes were enough for a lease. */
  gaveLease: boolean
}

/** What this node knows as a holder of leases. */
export interface HolderState {
  view: VoterView | undefined
  base: LeaseBase | undefined
  readonly pending: Map<number, readonly string[]>
  round: LeaseRound | undefined
  nextRequestId: number
  confirmedMs: Millis
  /** Base revision that each voter last reported. */
  readonly voterBases: Map<string, number>
  /** Ranges held, oldest first, each valid for the revision it was granted under. */
  leases: LabelLease[]
}

export interface IdempotencyDb {
  readonly settings: IdempotencySettings
  nodeId: string
  startMs: Millis
  maxWallMs: Millis
  /** Labels below this one may have run here before the start. */
  startLabelMs: Millis
  /** Labels below this one may have run without a record here, or with one that was dropped. */
  memoryFromMs: Millis
  voter: VoterState
  holder: HolderState
  readonly records: Map<string, KeyRecord>
  /** Keys to look at for expiry, by second. */
  readonly expiry: Map<number, string[]>
  expiredSecond: number
  answerBytes: number
}

export const IDEMPOTENCY_DEFAULTS: IdempotencySettings = {
  resendWindowMs: 120_000,
  futureLabelMs: 2_000,
  leaseAheadMs: 10_000,
  // A voter of a data centre of 190 nodes has to spend less than 20 KB/s on their requests; see docs/CAPACITY.md.
  // The longest label accepted is 2 s ahead, so a lease of 10 s outlasts the renewal and one lost round.
  leaseRenewMs: 5_000,
  leaseRetryMs: 2_000,
  clockSkewMs: 2_000,
  votersCount: 9,
  refusalMemoryMs: 125_000,
  answerMemoryBytes: 8_388_608,
  keysCapacityCount: 50_000
}

function emptyVoter (): VoterState {
  return {
    highestRevision: -1,
    grantedOldMs: -Infinity,
    grantedCurrentMs: -Infinity,
    floorLabelMs: Infinity,
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
    confirmedMs: 0,
    voterBases: new Map(),
    leases: []
  }
}

/** Makes an empty state; it votes and runs nothing before `start`. */
export function createIdempotencyDb (settings: IdempotencySettings): IdempotencyDb {
  return {
    settings,
    nodeId: '',
    startMs: 0,
    maxWallMs: 0,
    startLabelMs: Infinity,
    memoryFromMs: Infinity,
    voter: emptyVoter(),
    holder: emptyHolder(),
    records: new Map(),
    expiry: new Map(),
    expiredSecond: -1,
    answerBytes: 0
  }
}

/** Empties the state, as a restart does. */
export function clearIdempotencyDb (db: IdempotencyDb): void {
  db.nodeId = ''
  db.startMs = 0
  db.maxWallMs = 0
  db.startLabelMs = Infinity
  db.memoryFromMs = Infinity
  db.voter = emptyVoter()
  db.holder = emptyHolder()
  db.records.clear()
  db.expiry.clear()
  db.expiredSecond = -1
  db.answerBytes = 0
}

/** Tells who this node is and when its memory began. */
export function startIdempotency (db: IdempotencyDb, nodeId: string, nowMs: Millis, wallMs: Millis): void {
  const { leaseAheadMs, clockSkewMs, futureLabelMs } = db.settings
  db.nodeId = nodeId
  db.startMs = nowMs
  db.maxWallMs = wallMs
  // An earlier run of this node accepted labels up to futureLabelMs ahead of its clock.
  db.startLabelMs = wallMs + futureLabelMs + clockSkewMs
  db.memoryFromMs = db.startLabelMs
  db.voter.floorLabelMs = wallMs + leaseAheadMs + clockSkewMs
  db.holder.confirmedMs = nowMs
  // The start time keeps the ids apart from those of an earlier run, whose votes may still arrive.
  db.holder.nextRequestId = wallMs * 1_000
}
