import type { Millis } from '../../clock/clock.js'
import { Outcome, Reason, type Violation } from '../coreTypes.js'
import { assertNever } from '../../errors/errors.js'
import type { BudgetAccount, RetryDb } from './retryDb.js'
import type { FailedAttempt } from './retryTypes.js'

/** Refusal reasons that concern one node only. */
const NODE_LOCAL_REASONS: ReadonlySet<Reason> = new Set([
  Reason.Draining, Reason.ConnectFailed, Reason.ShareUsed, Reason.BackendDown
])

/**
 * Whether the reason of a refusal concerns one node only, so that another node may accept the call.
 *
 * @example
 * isNodeLocalReason(Reason.Draining) // true
 */
export function isNodeLocalReason (reason: Reason): boolean {
  return NODE_LOCAL_REASONS.has(reason)
}

/**
 * Whether a failed attempt may be retried if the budget allows it. A non-idempotent
 * call has one owner node, which refuses a second send with the same attempt number,
 * so a retry is useful only after a failed connect.
 *
 * @example
 * mayRetry({ ...attempt, outcome: Outcome.Unknown, idempotent: false }) // false
 */
export function mayRetry (attempt: FailedAttempt): boolean {
  if (!(attempt.remainingMs > attempt.expectedMs)) return false
  switch (attempt.outcome) {
    case Outcome.NotRun:
      return attempt.idempotent ? isNodeLocalReason(attempt.reason) : attempt.reason === Reason.ConnectFailed
    case Outcome.Unknown:
      return attempt.idempotent
    case Outcome.Done:
    case Outcome.Cancelled:
      return false
    default:
      return assertNever(attempt.outcome)
  }
}

/** Whether the remaining, reserved and spent budget of an account adds up to the opened budget. */
export function isBudgetConserved (account: BudgetAccount): boolean {
  const { leftCount, lentCount, spentCount } = account
  return leftCount >= 0 && lentCount >= 0 && spentCount >= 0 &&
    leftCount + lentCount + spentCount === account.openedCount
}

/** Checks the invariants of the retry module. */
export function retryViolations (db: RetryDb, nowMs: Millis): Violation[] {
  const found: Violation[] = []
  for (const accounts of [db.rootAccounts, db.callAccounts]) {
    for (const [accountId, account] of accounts) {
      if (!isBudgetConserved(account)) {
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
