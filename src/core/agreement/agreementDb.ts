import type { Millis } from '../../clock/clock.js'
import type { AgreementSettings } from './agreementTypes.js'

/** A larger share that applies from a later time on. */
export interface ShareIncrease {
  shareCallsPerS: number
  readonly atMs: Millis
}

/** Token bucket of one caller at one service; its rate is this node's share of the promised rate. */
export interface TokenBucket {
  readonly callerName: string
  promisedCallsPerS: number
  shareCallsPerS: number
  /** Larger shares that do not apply yet, in ascending order of time and share. */
  pendingIncreases: ShareIncrease[]
  tokensCount: number
  /** Time up to which tokens have been added. */
  refilledAtMs: Millis
}

/** Token buckets of one service, by caller name. */
export interface ServiceShares {
  /** Whether the VM list is confirmed to be the newest one; otherwise no share grows. */
  isListConfirmed: boolean
  readonly buckets: Map<string, TokenBucket>
}

/** State of the agreement module, by service name. */
export interface AgreementDb {
  readonly settings: AgreementSettings
  readonly services: Map<string, ServiceShares>
}

/**
 * Creates a state without promises.
 *
 * @example
 * const db = createAgreementDb(agreementDefaults)
 */
export function createAgreementDb (settings: AgreementSettings): AgreementDb {
  return { settings, services: new Map() }
}

/** Drops all promises. */
export function clearAgreementDb (db: AgreementDb): void {
  db.services.clear()
}

/** Token bucket of a caller at a service. */
export function bucketOf (db: AgreementDb, serviceName: string, callerName: string): TokenBucket | undefined {
  return db.services.get(serviceName)?.buckets.get(callerName)
}

/** Creates the bucket of a new caller. Its share starts at zero and grows after the growth delay. */
export function createEmptyBucket (callerName: string, nowMs: Millis): TokenBucket {
  return {
    callerName, promisedCallsPerS: 0, shareCallsPerS: 0, pendingIncreases: [], tokensCount: 0, refilledAtMs: nowMs
  }
}
