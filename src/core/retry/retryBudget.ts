import type { Millis } from '../../clock/clock.js'
import { Outcome, type RandomSource } from '../coreTypes.js'
import { getAccount, type BudgetAccount, type RetryDb } from './retryDb.js'
import { mayRetry } from './retryDetector.js'
import type { AvailableBudget, FailedAttempt, RetryDecision } from './retryTypes.js'

// Root ids come from callers. The prefix separates them from call ids, so that a
// caller cannot use the account that a node opened for another caller's call.
const ROOT_PREFIX = 'root/'

// 390 calls/s per node over 120 s need 47,000 accounts; the rest is headroom for load peaks.
const ACCOUNTS_CAPACITY_COUNT = 100_000

// An unknown outcome often means a broken or overloaded peer; random jitter keeps
// the retries of many calls from arriving at once.
const UNKNOWN_JITTER_MS = 25

function toNonNegativeInteger (count: number): number {
  return Number.isFinite(count) && count > 0 ? Math.floor(count) : 0
}

function openAccount (
  accounts: Map<string, BudgetAccount>, accountId: string, budgetCount: number, expiresMs: Millis
): AvailableBudget {
  const known = accounts.get(accountId)
  if (known !== undefined) return { accountId, budgetCount: known.leftCount }
  const openedCount = toNonNegativeInteger(budgetCount)
  if (accounts.size >= ACCOUNTS_CAPACITY_COUNT) return { accountId, budgetCount: 0 }
  accounts.set(accountId, { openedCount, leftCount: openedCount, lentCount: 0, spentCount: 0, expiresMs })
  return { accountId, budgetCount: openedCount }
}

/** Extends the expiry and moves the account to the end of the map, which is ordered by expiry. */
function renewRootAccount (db: RetryDb, accountId: string, account: BudgetAccount, nowMs: Millis): void {
  account.expiresMs = nowMs + db.settings.accountTtlMs
  db.rootAccounts.delete(accountId)
  db.rootAccounts.set(accountId, account)
}

/**
 * Opens the budget account of a root request, or returns the one already open for
 * the same root id. An account expires `accountTtlMs` after its last use.
 *
 * @example
 * openRootAccount(db, 'r1', 2, 0) // { accountId: 'root/r1', budgetCount: 2 }
 */
export function openRootAccount (db: RetryDb, rootId: string, budgetCount: number, nowMs: Millis): AvailableBudget {
  const accountId = ROOT_PREFIX + rootId
  const known = db.rootAccounts.get(accountId)
  if (known !== undefined) renewRootAccount(db, accountId, known, nowMs)
  return openAccount(db.rootAccounts, accountId, budgetCount, nowMs + db.settings.accountTtlMs)
}

/**
 * Opens the budget account of a received call with the budget that its sender reserved
 * for it. If the call id already has an account, that one is kept and the budget of the
 * second receipt is lost.
 *
 * @example
 * openCallAccount(db, 'c1', 1, 0) // { accountId: 'c1', budgetCount: 1 }
 */
export function openCallAccount (db: RetryDb, callId: string, reservedCount: number, nowMs: Millis): AvailableBudget {
  return openAccount(db.callAccounts, callId, reservedCount, nowMs + db.settings.accountTtlMs)
}

/** Budget of an account, or undefined if this node does not hold the account; the budget is then 0. */
export function findBudget (db: RetryDb, accountId: string): AvailableBudget | undefined {
  const account = getAccount(db, accountId)
  return account === undefined ? undefined : { accountId, budgetCount: account.leftCount }
}

/**
 * Reserves half of an account's budget, rounded down, for a call that is about to be
 * sent. The budget travels with the call (header `ragwortspur-retry-loan`): the receiving
 * node may spend it on retries of downstream calls and returns the rest with its answer.
 *
 * @example
 * lendBudget(db, openRootAccount(db, 'r1', 2, 0).accountId, 0) // 1
 */
export function reserveBudget (db: RetryDb, accountId: string, nowMs: Millis): number {
  if (!db.settings.lendDownChain) return 0
  const account = getAccount(db, accountId)
  if (account === undefined) return 0
  const reservedCount = Math.floor(account.leftCount / 2)
  account.leftCount -= reservedCount
  account.lentCount += reservedCount
  if (reservedCount > 0 && db.rootAccounts.has(accountId)) renewRootAccount(db, accountId, account, nowMs)
  return reservedCount
}

/**
 * Settles the reservation of a call when it ends: credits the unused budget that the
 * answer returned, at most what was reserved; the rest counts as spent. `returnedCount`
 * is 0 for a lost answer.
 *
 * @example
 * settleLoan(db, 'c1', 1, 1, 5)
 */
export function settleReservation (
  db: RetryDb, accountId: string, reservedCount: number, returnedCount: number, _nowMs: Millis
): void {
  const account = getAccount(db, accountId)
  if (account === undefined) return
  const settledCount = Math.min(toNonNegativeInteger(reservedCount), account.lentCount)
  const creditedCount = Math.min(toNonNegativeInteger(returnedCount), settledCount)
  account.lentCount -= settledCount
  account.leftCount += creditedCount
  account.spentCount += settledCount - creditedCount
}

/**
 * Decides whether to retry after a failed attempt; each `retry` is deducted from the account.
 *
 * @example
 * decideRetry(db, attempt, 0, Math.random) // { kind: 'give_up' } without an account
 */
export function decideRetry (db: RetryDb, attempt: FailedAttempt, _nowMs: Millis, random: RandomSource): RetryDecision {
  const account = getAccount(db, attempt.accountId)
  if (account === undefined || account.leftCount < 1 || !mayRetry(attempt)) return { kind: 'give_up' }
  account.leftCount -= 1
  account.spentCount += 1
  if (attempt.outcome !== Outcome.Unknown) return { kind: 'retry', delayMs: 0 }
  const spareMs = attempt.remainingMs - attempt.expectedMs
  return { kind: 'retry', delayMs: Math.floor(random() * Math.min(UNKNOWN_JITTER_MS, spareMs)) }
}

/**
 * Closes a call's account and returns its remaining budget, to be sent back with
 * the answer. The account of a root request stays open for resends; 0 is returned.
 *
 * @example
 * openCallAccount(db, 'c1', 1, 0)
 * closeCallAccount(db, 'c1', 5) // 1
 */
export function closeCallAccount (db: RetryDb, accountId: string, _nowMs: Millis): number {
  const account = db.callAccounts.get(accountId)
  if (account === undefined) return 0
  db.callAccounts.delete(accountId)
  return account.leftCount
}

/** Deletes expired accounts. */
export function expireAccounts (db: RetryDb, nowMs: Millis): void {
  for (const accounts of [db.rootAccounts, db.callAccounts]) {
    for (const [accountId, account] of accounts) {
      if (account.expiresMs > nowMs) break
      accounts.delete(accountId)
    }
  }
}
