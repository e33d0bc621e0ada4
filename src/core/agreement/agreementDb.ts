import type { Millis } from '../../clock/clock.js'
import type { AgreementSettings } from './agreementTypes.js'

/** A larger share that waits for its time. */
export interface GrowthStep {
  shareCallsPerS: number
  readonly atMs: Millis
}

/** Token bucket of one caller at one service. */
export interface Bucket {
  readonly callerName: string
  promisedCallsPerS: number
  shareCallsPerS: number
  /** Waiting growth, smaller and earlier steps first. */
  growth: GrowthStep[]
  tokensCount: number
  filledAtMs: Millis
}

/** Promises of one service. */
export interface ServiceShares {
  /** Whether the VM list is confirmed; without it no share grows. */
  confirmed: boolean
  readonly buckets: Map<string, Bucket>
}

/** State of the agreement family. */
export interface AgreementDb {
  readonly settings: AgreementSettings
  readonly services: Map<string, ServiceShares>
}

/**
 * Makes a state without promises.
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

/** Bucket of a caller at a service. */
export function bucketOf (db: AgreementDb, serviceName: string, callerName: string): Bucket | undefined {
  return db.services.get(serviceName)?.buckets.get(callerName)
}

/** Bucket of a new caller; its share has to grow like any other. */
export function emptyBucket (callerName: string, nowMs: Millis): Bucket {
  return { callerName, promisedCallsPerS: 0, shareCallsPerS: 0, growth: [], tokensCount: 0, filledAtMs: nowMs }
}
