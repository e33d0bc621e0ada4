import { Importance, type Violation } from '../coreTypes.js'
import type { AgreementDb, TokenBucket } from './agreementDb.js'
import type { AgreementSettings } from './agreementTypes.js'

/** Tolerance for rounding errors of repeated additions; a real error is at least one token or call per second. */
const ROUNDING_TOLERANCE = 1e-6

/** Capacity of a token bucket. It is at least 1, so that a share below one call per burst still allows single calls. */
export function bucketCapacityCount (shareCallsPerS: number, settings: AgreementSettings): number {
  return shareCallsPerS <= 0 ? 0 : Math.max(1, shareCallsPerS * settings.burstMs / 1000)
}

/** Tokens reserved for `vital` calls. A full bucket always has one token for a call of any importance. */
export function vitalReserveCount (shareCallsPerS: number, settings: AgreementSettings): number {
  const capacityCount = bucketCapacityCount(shareCallsPerS, settings)
  return Math.max(0, Math.min(capacityCount * settings.vitalReserveRatio, capacityCount - 1))
}

/** Whether the bucket has a token for a call of this importance. */
export function hasToken (bucket: TokenBucket, importance: Importance, settings: AgreementSettings): boolean {
  const reservedCount = importance === Importance.Vital ? 0 : vitalReserveCount(bucket.shareCallsPerS, settings)
  return bucket.tokensCount >= 1 + reservedCount - ROUNDING_TOLERANCE
}

/** Invariants: a share lies between zero and the promised rate, tokens between zero and the bucket's capacity. */
export function agreementViolations (db: AgreementDb): Violation[] {
  const violations: Violation[] = []
  for (const [serviceName, { buckets }] of db.services) {
    for (const bucket of buckets.values()) {
      const { callerName, shareCallsPerS, promisedCallsPerS, tokensCount } = bucket
      const tenantName = `${callerName} at ${serviceName}`
      if (shareCallsPerS > promisedCallsPerS + ROUNDING_TOLERANCE || shareCallsPerS < 0) {
        violations.push({ property: 'agreement.share', detail: `${tenantName}: share of ${shareCallsPerS} calls/s, promise of ${promisedCallsPerS} calls/s` })
      }
      const capacityCount = bucketCapacityCount(shareCallsPerS, db.settings)
      if (tokensCount < -ROUNDING_TOLERANCE || tokensCount > capacityCount + ROUNDING_TOLERANCE) {
        violations.push({ property: 'agreement.tokens', detail: `${tenantName}: ${tokensCount} tokens, capacity of ${capacityCount} tokens` })
      }
    }
  }
  return violations
}
