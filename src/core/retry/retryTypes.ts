import type { Millis } from '../../clock/clock.js'
import type { CoreModule, Outcome, RandomSource, Reason } from '../coreTypes.js'

/** How much retry budget a call may draw on. */
export interface BudgetGrant {
  readonly accountId: string
  readonly budgetCount: number
}

/** Asked after each failed attempt of a call. */
export interface RetryQuestion {
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

/** Identifies requests that may be one and the same under new ids. */
export interface Fingerprint {
  readonly serviceName: string
  readonly routeName: string
  readonly bodyHash: number
}

export type QuarantineVerdict =
  | { readonly kind: 'clear' }
  | { readonly kind: 'run_alone' }
  | { readonly kind: 'refuse', readonly untilMs: Millis }

export interface RetrySettings {
  readonly budgetPerRootCount: number
  readonly accountTtlMs: Millis
  readonly lendDownChain: boolean
  readonly quarantineMs: Millis
  /** Crashes after which a request is quarantined if it is the only one with so many. */
  readonly crashesToQuarantineCount: number
  /** Crashes after which a request is quarantined in any case. */
  readonly crashesToConvictCount: number
  readonly suspectTtlMs: Millis
}

/** Retry budgets per root request and the quarantine of requests that crash backend servers. */
export interface RetryModule<Db> extends CoreModule<Db, RetrySettings> {
  /** Opens the account of a root request, or returns the one that is open for the same root id. */
  openRoot (db: Db, rootId: string, budgetCount: number, nowMs: Millis): BudgetGrant
  /** Opens the account of a received call with the budget that came with it. */
  openCall (db: Db, callId: string, loanCount: number, nowMs: Millis): BudgetGrant
  /** Account of a parent call, or undefined when this node does not hold it: then the budget is 0. */
  accountOf (db: Db, accountId: string): BudgetGrant | undefined
  /** Takes part of an account's budget to send along with a call. */
  lend (db: Db, accountId: string, nowMs: Millis): number
  /** Puts back what an answer returned, never more than was lent with that call. */
  returnLoan (db: Db, accountId: string, lentCount: number, returnedCount: number, nowMs: Millis): void
  /** Decides on another attempt; a `retry` has taken one from the account. */
  decide (db: Db, question: RetryQuestion, nowMs: Millis, random: RandomSource): RetryDecision
  /** Closes a call's account and returns what is left, to go back with the answer. */
  close (db: Db, accountId: string, nowMs: Millis): number

  verdict (db: Db, fingerprint: Fingerprint, nowMs: Millis): QuarantineVerdict
  dispatched (db: Db, callId: string, fingerprint: Fingerprint, nowMs: Millis): void
  returned (db: Db, callId: string, nowMs: Millis): void
  /** The backend server died with these calls running; returns fingerprints newly in quarantine. */
  crashed (db: Db, nowMs: Millis): Fingerprint[]
  /** Takes a peer's hint; it expires and is not passed on. */
  learnQuarantine (db: Db, fingerprint: Fingerprint, forMs: Millis, nowMs: Millis): void
  quarantined (db: Db, nowMs: Millis): Array<{ readonly fingerprint: Fingerprint, readonly untilMs: Millis }>
}
