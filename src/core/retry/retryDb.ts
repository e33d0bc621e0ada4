import type { Millis } from '../../clock/clock.js'
import type { Fingerprint, RetrySettings } from './retryTypes.js'

/** Retry budget of one root request or one received call. */
export interface BudgetAccount {
  /** Budget at opening: always the sum of `leftCount`, `lentCount` and `spentCount`. */
  readonly openedCount: number
  leftCount: number
  /** Reserved for calls that were sent and whose answers have not arrived. */
  lentCount: number
  /** Spent on retries by this node, or reserved for downstream calls and not returned. */
  spentCount: number
  expiresMs: Millis
}

/** A call that was dispatched to the backend server. */
export interface RunningCall {
  readonly fingerprint: Fingerprint
}

/** A fingerprint that was running when the backend server crashed. */
export interface Suspect {
  crashesCount: number
  expiresMs: Millis
}

export interface QuarantineEntry {
  readonly fingerprint: Fingerprint
  readonly untilMs: Millis
}

/** State of the retry module. Accounts are kept in order of expiry, so that expiry stops at the first live one. */
export interface RetryDb {
  readonly settings: RetrySettings
  readonly rootAccounts: Map<string, BudgetAccount>
  readonly callAccounts: Map<string, BudgetAccount>
  readonly running: Map<string, RunningCall>
  readonly suspects: Map<string, Suspect>
  readonly quarantine: Map<string, QuarantineEntry>
  /** A running call that was the only one on the backend server from its dispatch until now. */
  soleCallId: string | undefined
}

export const RETRY_DEFAULTS: RetrySettings = {
  budgetPerRootCount: 2,
  accountTtlMs: 120_000,
  lendDownChain: true,
  quarantineMs: 60_000,
  crashesToQuarantineCount: 2,
  crashesToForceQuarantineCount: 3,
  suspectTtlMs: 300_000
}

/** Creates an empty state. */
export function createRetryDb (settings: RetrySettings): RetryDb {
  return {
    settings,
    rootAccounts: new Map(),
    callAccounts: new Map(),
    running: new Map(),
    suspects: new Map(),
    quarantine: new Map(),
    soleCallId: undefined
  }
}

/** Resets the state. */
export function clearRetryDb (db: RetryDb): void {
  db.rootAccounts.clear()
  db.callAccounts.clear()
  db.running.clear()
  db.suspects.clear()
  db.quarantine.clear()
  db.soleCallId = undefined
}

/** Finds the account of a call or root request by its account id. */
export function getAccount (db: RetryDb, accountId: string): BudgetAccount | undefined {
  return db.callAccounts.get(accountId) ?? db.rootAccounts.get(accountId)
}

/** Key of a fingerprint in the `quarantine` and `suspects` maps. */
export function fingerprintKey (fingerprint: Fingerprint): string {
  return `${fingerprint.serviceName}|${fingerprint.routeName}|${fingerprint.bodyHash}`
}
