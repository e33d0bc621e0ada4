import type { Millis } from '../../clock/clock.js'
import { Outcome, type RandomSource } from '../coreTypes.js'
import { getAccount, type BudgetAccount, type RetryDb } from './retryDb.js'
import { mayRetry } from './retryDetector.js'
import type { BudgetGrant, RetryDecision, RetryQuestion } from './retryTypes.js'

// Root ids come from callers. The prefix keeps them apart from call ids, so that a
// caller cannot name an account that a node opened for somebody else's call.
const ROOT_PREFIX = 'root/'

// 390 calls/s per node over 120 s need 47,000 accounts; the rest is room for surges.
const ACCOUNTS_CAPACITY_COUNT = 100_000

// An unknown outcome often means a broken or overloaded peer; spreading the
// retries keeps those of many calls from arriving at once.
const UNKNOWN_JITTER_MS = 25

function wholeCount (count: number): number {
  return Number.isFinite(count) && count > 0 ? Math.floor(count) : 0
}

function open (
  accounts: Map<string, BudgetAccount>, accountId: string, budgetCount: number, expiresMs: Millis
): BudgetGrant {
  const known = accounts.get(accountId)
  if (known !== undefined) return { accountId, budgetCount: known.leftCount }
  const openedCount = wholeCount(budgetCount)
  if (accounts.size >= ACCOUNTS_CAPACITY_COUNT) return { accountId, budgetCount: 0 }
  accounts.set(accountId, { openedCount, leftCount: openedCount, lentCount: 0, spentCount: 0, expiresMs })
  return { accountId, budgetCount: openedCount }
}

function renewRoot (db: RetryDb, accountId: string, account: BudgetAccount, nowMs: Millis): void {
  account.expiresMs = nowMs + db.settings.accountTtlMs
  db.accounts.delete(accountId)
  db.accounts.set(accountId, account)
}

/**
 * Opens the account of a root request, or returns the one that is open for the
 * same root id. An account lives `accountTtlMs` after its last use.
 *
 * @example
 * openRoot(db, 'r1', 2, 0) // { accountId: 'root/r1', budgetCount: 2 }
 */
export function openRoot (db: RetryDb, rootId: string, budgetCount: number, nowMs: Millis): BudgetGrant {
  const accountId = ROOT_PREFIX + rootId
  const known = db.accounts.get(accountId)
  if (known !== undefined) renewRoot(db, accountId, known, nowMs)
  return open(db.accounts, accountId, budgetCount, nowMs + db.settings.accountTtlMs)
}

/**
 * Opens the account of a received call with the loan that came with it. A call
 * id that is already open keeps its account; the second loan is lost.
 *
 * @example
 * openCall(db, 'c1', 1, 0) // { accountId: 'c1', budgetCount: 1 }
 */
export function openCall (db: RetryDb, callId: string, loanCount: number, nowMs: Millis): BudgetGrant {
  return open(db.callAccounts, callId, loanCount, nowMs + db.settings.accountTtlMs)
}

/** Account by its id, or undefined when this node does not hold it: then the budget is 0. */
export function accountOf (db: RetryDb, accountId: string): BudgetGrant | undefined {
  const account = getAccount(db, accountId)
  return account === undefined ? undefined : { accountId, budgetCount: account.leftCount }
}

/**
 * Takes half of an account's budget, rounded down, to send along with a call.
 *
 * @example
 * lend(db, openRoot(db, 'r1', 2, 0).accountId, 0) // 1
 */
export function lend (db: RetryDb, accountId: string, nowMs: Millis): number {
  if (!db.settings.lendDownChain) return 0
  const account = getAccount(db, accountId)
  if (account === undefined) return 0
  const loanCount = Math.floor(account.leftCount / 2)
  account.leftCount -= loanCount
  account.lentCount += loanCount
  if (loanCount > 0 && db.accounts.has(accountId)) renewRoot(db, accountId, account, nowMs)
  return loanCount
}

/**
 * Puts back what an answer returned, never more than was lent with that call.
 * A lost answer is settled with `returnedCount` 0.
 *
 * @example
 * returnLoan(db, 'c1', 1, 1, 5)
 */
export function returnLoan (
  db: RetryDb, accountId: string, lentCount: number, returnedCount: number, _nowMs: Millis
): void {
  const account = getAccount(db, accountId)
  if (account === undefined) return
  const settledCount = Math.min(wholeCount(lentCount), account.lentCount)
  const backCount = Math.min(wholeCount(returnedCount), settledCount)
  account.lentCount -= settledCount
  account.leftCount += backCount
  account.spentCount += settledCount - backCount
}

/**
 * Decides on another attempt after a failed one; a `retry` has taken one from the account.
 *
 * @example
 * decide(db, question, 0, Math.random) // { kind: 'give_up' } without an account
 */
export function decide (db: RetryDb, question: RetryQuestion, _nowMs: Millis, random: RandomSource): RetryDecision {
  const account = getAccount(db, question.accountId)
  if (account === undefined || account.leftCount < 1 || !mayRetry(question)) return { kind: 'give_up' }
  account.leftCount -= 1
  account.spentCount += 1
  if (question.outcome !== Outcome.Unknown) return { kind: 'retry', delayMs: 0 }
  const spareMs = question.remainingMs - question.expectedMs
  return { kind: 'retry', delayMs: Math.floor(random() * Math.min(UNKNOWN_JITTER_MS, spareMs)) }
}

/**
 * Closes a call's account and returns what is left, to go back with the answer.
 * The account of a root request stays open for resends, and 0 is returned.
 *
 * @example
 * openCall(db, 'c1', 1, 0)
 * close(db, 'c1', 5) // 1
 */
export function close (db: RetryDb, accountId: string, _nowMs: Millis): number {
  const account = db.callAccounts.get(accountId)
  if (account === undefined) return 0
  db.callAccounts.delete(accountId)
  return account.leftCount
}

/** Drops accounts past their time. */
export function expireAccounts (db: RetryDb, nowMs: Millis): void {
  for (const accounts of [db.accounts, db.callAccounts]) {
    for (const [accountId, account] of accounts) {
      if (account.expiresMs > nowMs) break
      accounts.delete(accountId)
    }
  }
}
