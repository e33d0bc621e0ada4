import type { Millis } from '../clock/clock.js'

/** Importance of a root request, set at the node where it enters; all its sub-calls carry it. */
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
  /** The backend server answered and the complete answer was forwarded. */
  Done = 'done',
  /** The call did not run on any backend server and will not run. */
  NotRun = 'not_run',
  /** The call may have run. */
  Unknown = 'unknown',
  /** The caller disconnected before the answer. */
  Cancelled = 'cancelled'
}

/** Why a call was not run or its outcome is unknown. */
export enum Reason {
  None = 'none',
  /** The caller exceeds its promised call rate and the backend server is saturated. */
  AbovePromise = 'above_promise',
  /** This node's share of the caller's promised rate is used up; another node may have some left. */
  ShareUsed = 'share_used',
  /** The backend server is saturated, and calls with a worse admission level are already refused. */
  Overload = 'overload',
  /** A service further down the call chain is saturated; the entry node refuses the call. */
  ChainOverload = 'chain_overload',
  DeadlinePassed = 'deadline_passed',
  DeadlineTooShort = 'deadline_too_short',
  CallerCancelled = 'caller_cancelled',
  /** The parent call has ended, so nobody needs the result of this sub-call. */
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
  /** The answer has a status that HTTP does not define. */
  AnswerMalformed = 'answer_malformed',
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
  TooManyConnections = 'too_many_connections',
  /** What peers make the process hold has reached its limit. */
  MemoryFull = 'memory_full'
}

/** A broken invariant, found by a module's own check. */
export interface Violation {
  readonly property: string
  readonly detail: string
}

/** Random number generator that is passed to the core; returns numbers in [0, 1). */
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
 * Interface of a core module: each module has its own folder and exports
 * its definition. `createDb` creates the module's in-memory state, `clear` resets
 * it, `tick` drops expired entries, and `violations` checks the module's invariants.
 */
export interface CoreModule<Db, Settings> {
  readonly id: ModuleId
  readonly defaults: Settings
  createDb (settings: Settings): Db
  clear (db: Db): void
  tick (db: Db, nowMs: Millis): void
  violations (db: Db, nowMs: Millis): Violation[]
}

/** A caller and the service that has promised it a call rate. */
export interface Tenant {
  readonly callerName: string
  readonly serviceName: string
}

const LEVELS_PER_TIER_COUNT = 32
const IMPORTANCE_TIERS_COUNT = 4

/** The best admission level of calls above their caller's promise. */
export const FIRST_LEVEL_ABOVE_PROMISE = LEVELS_PER_TIER_COUNT * IMPORTANCE_TIERS_COUNT

/** The worst admission level; as the load-shedding threshold (cut level) it means that no call is refused. */
export const WORST_LEVEL = FIRST_LEVEL_ABOVE_PROMISE * 2 - 1

/** Inputs of an admission level. */
export interface LevelParts {
  readonly withinPromise: boolean
  readonly importance: Importance
  readonly rootHash: number
}

/**
 * Admission level in 0..255, lower is better: calls within the promise come
 * before calls above it, then by importance, then by a hash of the root request's
 * id, so that all services shed the calls of the same root requests.
 *
 * @example
 * admissionLevel({ withinPromise: true, importance: Importance.Vital, rootHash: 5 }) // 5
 */
export function admissionLevel (parts: LevelParts): number {
  const tier = (parts.withinPromise ? 0 : IMPORTANCE_TIERS_COUNT) + importanceRank(parts.importance)
  return tier * LEVELS_PER_TIER_COUNT + parts.rootHash % LEVELS_PER_TIER_COUNT
}

/** Whether a level belongs to a call above its caller's promise. */
export function isAbovePromise (level: number): boolean {
  return level >= FIRST_LEVEL_ABOVE_PROMISE
}

/** Importance that is encoded in a level. */
export function importanceOfLevel (level: number): Importance {
  return IMPORTANCE_ORDER[Math.floor(level / LEVELS_PER_TIER_COUNT) % IMPORTANCE_TIERS_COUNT] ?? Importance.Low
}
