import type { Millis } from '../../clock/clock.js'
import { Outcome, Reason, type Violation } from '../coreTypes.js'
import { assertNever } from '../../errors/errors.js'
import type { BudgetAccount, RetryDb } from './retryDb.js'
import type { RetryQuestion } from './retryTypes.js'

const LOCAL_REASONS: ReadonlySet<Reason> = new Set([
  Reason.Draining, Reason.ConnectFailed, Reason.ShareUsed, Reason.BackendDown
])

/**
 * Whether a refusal says something about one node only, so that another node may accept the call.
 *
 * @example
 * isLocalReason(Reason.Draining) // true
 */
export function isLocalReason (reason: Reason): boolean {
  return LOCAL_REASONS.has(reason)
}

/**
 * Whether a failed attempt may be followed by another one, budget aside. A
 * non-idempotent call has one owner node and a resend with the same attempt
 * number is refused there, so only a failed connect is worth another attempt.
 *
 * @example
 * mayRetry({ ...question, outcome: Outcome.Unknown, idempotent: false }) // false
 */
export function mayRetry (question: RetryQuestion): boolean {
  if (!(question.remainingMs > question.expectedMs)) return false
  switch (question.outcome) {
    case Outcome.NotRun:
      return question.idempotent ? isLocalReason(question.reason) : question.reason === Reason.ConnectFailed
    case Outcome.Unknown:
      return question.idempotent
    case Outcome.Done:
    case Outcome.Cancelled:
      return false
    default:
      return assertNever(question.outcome)
  }
}

/** Whether what is left, lent and spent adds up to what an account was opened with. */
export function isConserved (account: BudgetAccount): boolean {
  const { leftCount, lentCount, spentCount } = account
  return leftCount >= 0 && lentCount >= 0 && spentCount >= 0 &&
    leftCount + lentCount + spentCount === account.openedCount
}

/** Broken invariants of the retry family. */
export function retryViolations (db: RetryDb, nowMs: Millis): Violation[] {
  const found: Violation[] = []
  for (const accounts of [db.accounts, db.callAccounts]) {
    for (const [accountId, account] of accounts) {
      if (!isConserved(account)) {
        found.push({ property: 'retryBound', detail: `account ${accountId}: ${JSON.stringify(account)}` })
      }
    }
  }
  for (const [key, entry] of db.quarantine) {
    if (entry.untilMs > nowMs + db.settings.quarantineMs) {
      found.push({ property: 'quarantineBound', detail: `${key} until ${entry.untilMs} at ${nowMs}` })
    }
  }
  return found
}
