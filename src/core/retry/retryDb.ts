import type { Millis } from '../../clock/clock.js'
import type { Fingerprint, RetrySettings } from './retryTypes.js'

/** Retry budget held for one root request or one received call. */
export interface BudgetAccount {
  readonly openedCount: number
  leftCount: number
  /** Lent with calls whose answers have not arrived. */
  lentCount: number
  /** Spent on retries made here, or lost further down the chain. */
  spentCount: number
  expiresMs: Millis
}

export interface RunningCall {
  readonly fingerprint: Fingerprint
}

/** A fingerprint that was running when the backend server died. */
export interface Suspect {
  crashesCount: number
  expiresMs: Millis
}

export interface QuarantineEntry {
  readonly fingerprint: Fingerprint
  readonly untilMs: Millis
}

/** Accounts are kept in order of expiry, so that dropping them costs nothing per live account. */
export interface RetryDb {
  readonly settings: RetrySettings
  readonly accounts: Map<string, BudgetAccount>
  readonly callAccounts: Map<string, BudgetAccount>
  readonly running: Map<string, RunningCall>
  readonly suspects: Map<string, Suspect>
  readonly quarantine: Map<string, QuarantineEntry>
  /** The call that has been the only one on the backend server since its dispatch. */
  soleCallId: string | undefined
}

export const RETRY_DEFAULTS: RetrySettings = {
  budgetPerRootCount: 2,
  accountTtlMs: 120_000,
  lendDownChain: true,
  quarantineMs: 60_000,
  crashesToQuarantineCount: 2,
  crashesToConvictCount: 3,
  suspectTtlMs: 300_000
}

/** Makes an empty state for the given settings. */
export function createRetryDb (settings: RetrySettings): RetryDb {
  return {
    settings,
    accounts: new Map(),
    callAccounts: new Map(),
    running: new Map(),
    suspects: new Map(),
    quarantine: new Map(),
    soleCallId: undefined
  }
}

/** Empties the state. */
export function clearRetryDb (db: RetryDb): void {
  db.accounts.clear()
  db.callAccounts.clear()
  db.running.clear()
  db.suspects.clear()
  db.quarantine.clear()
  db.soleCallId = undefined
}

/** Finds an account of a root request or of a call by its account id. */
export function getAccount (db: RetryDb, accountId: string): BudgetAccount | undefined {
  return db.callAccounts.get(accountId) ?? db.accounts.get(accountId)
}

/** Key of a fingerprint in the quarantine maps. */
export function fingerprintKey (fingerprint: Fingerprint): string {
  return `${fingerprint.serviceName}|${fingerprint.routeName}|${fingerprint.bodyHash}`
}
