import type { Millis } from '../../clock/clock.js'
import type { CoreModule, Outcome, RandomSource, Reason } from '../coreTypes.js'

/** Id of a retry budget account and the budget that is left in it. */
export interface AvailableBudget {
  readonly accountId: string
  readonly budgetCount: number
}

/** A failed attempt of a call, for which a retry is considered. */
export interface FailedAttempt {
  readonly accountId: string
  readonly outcome: Outcome
  readonly reason: Reason
  readonly idempotent: boolean
  readonly remainingMs: Millis
  readonly expectedMs: Millis
}

export type RetryDecision =
  | { readonly kind: 'retry', readonly delayMs: Millis }
  | { readonly kind: 'give_up' }

/** Identifies requests with equal content, so that a resend under a new id is recognised. */
export interface Fingerprint {
  readonly serviceName: string
  readonly routeName: string
  readonly bodyHash: number
}

export type QuarantineDecision =
  | { readonly kind: 'clear' }
  /** The request is a suspect: it should run while no other call runs on the backend server. */
  | { readonly kind: 'run_alone' }
  | { readonly kind: 'refuse', readonly untilMs: Millis }

export interface RetrySettings {
  readonly budgetPerRootCount: number
  readonly accountTtlMs: Millis
  /** Whether half of the remaining budget is reserved for each forwarded call, for retries of its downstream calls. */
  readonly lendDownChain: boolean
  readonly quarantineMs: Millis
  /** Crashes after which a request is quarantined if no other request running at the last of them has as many. */
  readonly crashesToQuarantineCount: number
  /** Crashes after which a request is quarantined regardless of the others. */
  readonly crashesToForceQuarantineCount: number
  /** How long after its last crash, or after its quarantine, a request stays a suspect that should run alone. */
  readonly suspectTtlMs: Millis
}

/** Retry budgets per root request and the quarantine of requests that crash backend servers. */
export interface RetryModule<Db> extends CoreModule<Db, RetrySettings> {
  /** Opens the budget account of a root request, or returns the one already open for the same root id. */
  openRootAccount (db: Db, rootId: string, budgetCount: number, nowMs: Millis): AvailableBudget
  /** Opens the budget account of a received call with the budget that its sender reserved for it. */
  openCallAccount (db: Db, callId: string, reservedCount: number, nowMs: Millis): AvailableBudget
  /** Budget of an account, or undefined if this node does not hold the account; the budget is then 0. */
  findBudget (db: Db, accountId: string): AvailableBudget | undefined
  /** Reserves half of an account's budget, rounded down, for a call that is about to be sent. */
  reserveBudget (db: Db, accountId: string, nowMs: Millis): number
  /** Settles a reservation: credits the unused budget that the answer returned, at most what was reserved. */
  settleReservation (db: Db, accountId: string, reservedCount: number, returnedCount: number, nowMs: Millis): void
  /** Decides whether to retry; each `retry` is deducted from the account. */
  decideRetry (db: Db, attempt: FailedAttempt, nowMs: Millis, random: RandomSource): RetryDecision
  /** Closes a call's account and returns its remaining budget, to be sent back with the answer. */
  closeCallAccount (db: Db, accountId: string, nowMs: Millis): number

  /** Whether a request may run, should run alone on the backend server, or is refused. */
  checkQuarantine (db: Db, fingerprint: Fingerprint, nowMs: Millis): QuarantineDecision
  /** Records that a call was sent to the backend server. */
  recordDispatch (db: Db, callId: string, fingerprint: Fingerprint, nowMs: Millis): void
  /** Records that a call ended without a crash of the backend server. */
  recordReturn (db: Db, callId: string, nowMs: Millis): void
  /** Records a crash of the backend server while the dispatched calls ran; returns newly quarantined fingerprints. */
  recordCrash (db: Db, nowMs: Millis): Fingerprint[]
  /** Quarantines a fingerprint that a peer reported; the entry expires and is not forwarded to other peers. */
  addQuarantineHint (db: Db, fingerprint: Fingerprint, forMs: Millis, nowMs: Millis): void
  /** Fingerprints in quarantine, after crashes of this node's backend server or hints from peers. */
  listQuarantined (db: Db, nowMs: Millis): Array<{ readonly fingerprint: Fingerprint, readonly untilMs: Millis }>
}
