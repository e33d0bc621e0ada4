import type { Millis } from '../../clock/clock.js'
import { ModuleId } from '../coreTypes.js'
import { accountOf, close, decide, expireAccounts, lend, openCall, openRoot, returnLoan } from './retryBudget.js'
import { clearRetryDb, createRetryDb, RETRY_DEFAULTS, type RetryDb } from './retryDb.js'
import { retryViolations } from './retryDetector.js'
import {
  crashed, dispatched, expireQuarantine, learnQuarantine, quarantined, returned, verdict
} from './retryQuarantine.js'
import type { RetryModule } from './retryTypes.js'

/**
 * The retry family. Invariants: `retryBound` (what is left, lent and spent adds
 * up to the opened budget) and `quarantineBound` (no quarantine outlasts its time).
 *
 * @example
 * const db = retryDefinition.createDb(retryDefinition.defaults)
 * retryDefinition.openRoot(db, 'r1', 2, 0)
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
  openRoot,
  openCall,
  accountOf,
  lend,
  returnLoan,
  decide,
  close,
  verdict,
  dispatched,
  returned,
  crashed,
  learnQuarantine,
  quarantined
}
