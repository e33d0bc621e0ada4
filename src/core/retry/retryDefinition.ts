import type { Millis } from '../../clock/clock.js'
import { ModuleId } from '../coreTypes.js'
import {
  closeCallAccount, decideRetry, expireAccounts, findBudget, reserveBudget, openCallAccount, openRootAccount,
  settleReservation
} from './retryBudget.js'
import { clearRetryDb, createRetryDb, RETRY_DEFAULTS, type RetryDb } from './retryDb.js'
import { retryViolations } from './retryDetector.js'
import {
  addQuarantineHint, checkQuarantine, expireQuarantine, listQuarantined, recordCrash, recordDispatch, recordReturn
} from './retryQuarantine.js'
import type { RetryModule } from './retryTypes.js'

/**
 * The retry module: retry budgets and the quarantine of requests that crash the
 * backend server. Invariants: `retryBound` (remaining, reserved and spent budget add up
 * to the opened budget) and `quarantineBound` (no quarantine exceeds `quarantineMs`).
 *
 * @example
 * const db = retryDefinition.createDb(retryDefinition.defaults)
 * retryDefinition.openRootAccount(db, 'r1', 2, 0)
 */
export const retryDefinition: RetryModule<RetryDb> = {
  id: ModuleId.Retry,
  defaults: RETRY_DEFAULTS,
  createDb: createRetryDb,
  clear: clearRetryDb,
  tick (db: RetryDb, nowMs: Millis): void {
    expireAccounts(db, nowMs)
    expireQuarantine(db, nowMs)
  },
  violations: retryViolations,
  openRootAccount,
  openCallAccount,
  findBudget,
  reserveBudget,
  settleReservation,
  decideRetry,
  closeCallAccount,
  checkQuarantine,
  recordDispatch,
  recordReturn,
  recordCrash,
  addQuarantineHint,
  listQuarantined
}
