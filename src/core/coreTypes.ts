import type { Millis } from '../clock/clock.js'

/** Importance of a root request, fixed where it enters. */
export enum Importance {
  Vital = 'vital',
  High = 'high',
  Normal = 'normal',
  Low = 'low'
}

/** Importance values from the most to the least important; the index is the rank. */
export const IMPORTANCE_ORDER: readonly Importance[] = [
  Importance.Vital, Importance.High, Importance.Normal, Importance.Low
]

/** Rank of an importance: 0 is the most important. */
export function importanceRank (importance: Importance): number {
  return IMPORTANCE_ORDER.indexOf(importance)
}

/** How a call ended. */
export enum Outcome {
  /** The backend server answered and the whole answer was passed on. */
  Done = 'done',
  /** The call did not run on any backend server and will not run. */
  NotRun = 'not_run',
  /** The call may have run. */
  Unknown = 'unknown',
  /** The caller went away before the answer. */
  Cancelled = 'cancelled'
}

/** Why a call was not run or its outcome is unknown. */
export enum Reason {
  None = 'none',
  /** The caller is above its promise and the backend server is saturated. */
  AbovePromise = 'above_promise',
  /** This node's share of the caller's promise is used up; another node may have some left. */
  ShareUsed = 'share_used',
  /** The backend server is saturated and worse calls were already refused. */
  Overload = 'overload',
  /** A service further down the chain is saturated; refused at the entry. */
  ChainOverload = 'chain_overload',
  DeadlinePassed = 'deadline_passed',
  DeadlineTooShort = 'deadline_too_short',
  CallerCancelled = 'caller_cancelled',
  /** The call on whose behalf this one was made has ended, so its result is of no use. */
  ParentEnded = 'parent_ended',
  Draining = 'draining',
  BackendDown = 'backend_down',
  BackendShed = 'backend_shed',
  NoNode = 'no_node',
  ConnectFailed = 'connect_failed',
  ConnectionLost = 'connection_lost',
  AnswerTimeout = 'answer_timeout',
  AnswerTruncated = 'answer_truncated',
  AnswerCrossed = 'answer_crossed',
  Quarantined = 'quarantined',
  NotOwner = 'not_owner',
  LeaseNotHeld = 'lease_not_held',
  KeyMissing = 'idempotency_key_missing',
  KeyExpired = 'idempotency_key_expired',
  KeyFromFuture = 'idempotency_key_from_future',
  KeyUnknownHistory = 'idempotency_key_unknown_history',
  StillRunning = 'still_running',
  AlreadyRefused = 'already_refused',
  UnknownService = 'unknown_service',
  UnknownRoute = 'unknown_route',
  CallerMissing = 'caller_missing',
  HeadTooLarge = 'head_too_large',
  BodyTooLarge = 'body_too_large',
  MalformedCall = 'malformed_call',
  SlowSender = 'slow_sender',
  ImportanceNotAllowed = 'importance_not_allowed',
  TooManyConnections = 'too_many_connections'
}

/** A broken invariant, found by a family's own check. */
export interface Violation {
  readonly property: string
  readonly detail: string
}

/** Source of randomness handed to the core: a number in [0, 1). */
export type RandomSource = () => number

export enum ModuleId {
  Admission = 'admission',
  Agreement = 'agreement',
  Routing = 'routing',
  Membership = 'membership',
  Retry = 'retry',
  Idempotency = 'idempotency',
  Documents = 'documents',
  Ledger = 'ledger'
}

/**
 * What each family folder exports as its definition. `createDb` makes the
 * family's state, `clear` empties it, `tick` drops what has expired, and
 * `violations` checks the family's invariants.
 */
export interface CoreModule<Db, Settings> {
  readonly id: ModuleId
  readonly defaults: Settings
  createDb (settings: Settings): Db
  clear (db: Db): void
  tick (db: Db, nowMs: Millis): void
  violations (db: Db, nowMs: Millis): Violation[]
}

/** Identity of one caller-to-service promise. */
export interface Tenant {
  readonly callerName: string
  readonly serviceName: string
}

const LEVEL_BUCKETS = 32
const TIERS_PER_STANDING = 4

/** The best admission level of calls above their caller's promise. */
export const FIRST_LEVEL_ABOVE_PROMISE = LEVEL_BUCKETS * TIERS_PER_STANDING

/** The worst admission level; as a cut it means that nothing is refused. */
export const LEVEL_WORST = FIRST_LEVEL_ABOVE_PROMISE * 2 - 1

/** How a level is made up. */
export interface LevelParts {
  readonly withinPromise: boolean
  readonly importance: Importance
  readonly rootHash: number
}

/**
 * Admission level in 0..255, lower is better: calls within the promise come
 * before calls above it, then by importance, then by a hash of the root id, so
 * that all services shed the same root requests.
 *
 * @example
 * admissionLevel({ withinPromise: true, importance: Importance.Vital, rootHash: 5 }) // 5
 */
export function admissionLevel (parts: LevelParts): number {
  const tier = (parts.withinPromise ? 0 : TIERS_PER_STANDING) + importanceRank(parts.importance)
  return tier * LEVEL_BUCKETS + parts.rootHash % LEVEL_BUCKETS
}

/** Whether a level belongs to a call above its caller's promise. */
export function isAbovePromise (level: number): boolean {
  return level >= FIRST_LEVEL_ABOVE_PROMISE
}

/** Importance that a level carries. */
export function importanceOfLevel (level: number): Importance {
  return IMPORTANCE_ORDER[Math.floor(level / LEVEL_BUCKETS) % TIERS_PER_STANDING] ?? Importance.Low
}
