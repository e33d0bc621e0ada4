import { Importance, type Violation } from '../coreTypes.js'
import type { AgreementDb, Bucket } from './agreementDb.js'
import type { AgreementSettings } from './agreementTypes.js'

/** Rounding of repeated additions; a real error is at least one token or call per second. */
const ROUNDING = 1e-6

/** Tokens that a bucket holds at most; a share below one call per burst still allows one call. */
export function burstCount (shareCallsPerS: number, settings: AgreementSettings): number {
  return shareCallsPerS <= 0 ? 0 : Math.max(1, shareCallsPerS * settings.burstMs / 1000)
}

/** Tokens kept for Vital calls. A full bucket always has one token for any call. */
export function reserveCount (shareCallsPerS: number, settings: AgreementSettings): number {
  const burst = burstCount(shareCallsPerS, settings)
  return Math.max(0, Math.min(burst * settings.vitalReserveRatio, burst - 1))
}

/** Whether the bucket has a token for a call of this importance. */
export function hasToken (bucket: Bucket, importance: Importance, settings: AgreementSettings): boolean {
  const kept = importance === Importance.Vital ? 0 : reserveCount(bucket.shareCallsPerS, settings)
  return bucket.tokensCount >= 1 + kept - ROUNDING
}

/** Invariants: no share above its promise, tokens between zero and the burst. */
export function agreementViolations (db: AgreementDb): Violation[] {
  const found: Violation[] = []
  for (const [serviceName, { buckets }] of db.services) {
    for (const bucket of buckets.values()) {
      const { callerName, shareCallsPerS, promisedCallsPerS, tokensCount } = bucket
      const who = `${callerName} at ${serviceName}`
      if (shareCallsPerS > promisedCallsPerS + ROUNDING || shareCallsPerS < 0) {
        found.push({ property: 'agreement.share', detail: `${who}: ${shareCallsPerS} of ${promisedCallsPerS}` })
      }
      const burst = burstCount(shareCallsPerS, db.settings)
      if (tokensCount < -ROUNDING || tokensCount > burst + ROUNDING) {
        found.push({ property: 'agreement.tokens', detail: `${who}: ${tokensCount} of ${burst}` })
      }
    }
  }
  return found
}
