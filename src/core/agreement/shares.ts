import type { Millis } from '../../clock/clock.js'
import type { Importance, Tenant } from '../coreTypes.js'
import { tokensAfterRefill } from '../tokenBucket.js'
import { bucketOf, createEmptyBucket, type AgreementDb, type TokenBucket, type ServiceShares } from './agreementDb.js'
import { bucketCapacityCount, hasToken } from './agreementDetector.js'
import type { AgreementSettings, RatePromise, ShareBasis, ShareReading } from './agreementTypes.js'

/** Share of a promised rate: the data centre's weight, split evenly among the live nodes. */
function shareOf (promisedCallsPerS: number, basis: ShareBasis): number {
  const weight = Math.min(1, Math.max(0, basis.dataCentreWeight))
  return promisedCallsPerS * weight / Math.max(1, basis.liveNodesCount)
}

/** Applies increases of the share that are due and adds the tokens for the time since the last refill. */
function refreshBucket (
  bucket: TokenBucket, isListConfirmed: boolean, settings: AgreementSettings, nowMs: Millis
): void {
  if (isListConfirmed) applyDueIncreases(bucket, settings, nowMs)
  refillTokens(bucket, settings, nowMs)
}

function applyDueIncreases (bucket: TokenBucket, settings: AgreementSettings, nowMs: Millis): void {
  while (bucket.pendingIncreases.length > 0) {
    const increase = bucket.pendingIncreases[0]
    if (increase === undefined || increase.atMs > nowMs) return
    refillTokens(bucket, settings, increase.atMs)
    bucket.shareCallsPerS = increase.shareCallsPerS
    bucket.pendingIncreases.shift()
  }
}

function refillTokens (bucket: TokenBucket, settings: AgreementSettings, atMs: Millis): void {
  if (atMs <= bucket.refilledAtMs) return
  const capacityCount = bucketCapacityCount(bucket.shareCallsPerS, settings)
  bucket.tokensCount = tokensAfterRefill(bucket, bucket.shareCallsPerS, capacityCount, atMs)
  bucket.refilledAtMs = atMs
}

/** Sets the share of a bucket: a smaller one applies at once, a larger one after the growth delay. */
function setTargetShare (
  bucket: TokenBucket, targetCallsPerS: number, settings: AgreementSettings, nowMs: Millis
): void {
  if (targetCallsPerS <= bucket.shareCallsPerS) {
    bucket.pendingIncreases = []
    bucket.shareCallsPerS = targetCallsPerS
    bucket.tokensCount = Math.min(bucket.tokensCount, bucketCapacityCount(targetCallsPerS, settings))
    return
  }
  // A pending increase keeps its time. Otherwise frequent list changes would delay the growth forever.
  const reachedIndex = bucket.pendingIncreases.findIndex(step => step.shareCallsPerS >= targetCallsPerS)
  if (reachedIndex >= 0) bucket.pendingIncreases.length = reachedIndex + 1
  for (const step of bucket.pendingIncreases) step.shareCallsPerS = Math.min(step.shareCallsPerS, targetCallsPerS)
  const lastIncrease = bucket.pendingIncreases.at(-1)
  if (lastIncrease === undefined || lastIncrease.shareCallsPerS < targetCallsPerS) {
    bucket.pendingIncreases.push({ shareCallsPerS: targetCallsPerS, atMs: nowMs + settings.shareGrowthDelayMs })
  }
}

function getOrCreateService (db: AgreementDb, serviceName: string): ServiceShares {
  let service = db.services.get(serviceName)
  if (service === undefined) {
    service = { isListConfirmed: false, buckets: new Map() }
    db.services.set(serviceName, service)
  }
  return service
}

/**
 * Restarts the growth delay of all buckets. While this node's VM list was unconfirmed, other nodes may have
 * computed their shares from a newer list, and this node does not know since when.
 */
function restartGrowthDelay (service: ServiceShares, settings: AgreementSettings, nowMs: Millis): void {
  for (const bucket of service.buckets.values()) {
    const targetCallsPerS = bucket.pendingIncreases.at(-1)?.shareCallsPerS
    bucket.pendingIncreases = targetCallsPerS === undefined
      ? []
      : [{ shareCallsPerS: targetCallsPerS, atMs: nowMs + settings.shareGrowthDelayMs }]
  }
}

/**
 * Replaces the promises of a service. A smaller share applies at once. A larger one, also the
 * first share of a new caller or node, applies after the growth delay and only while the VM list is
 * confirmed, so that the shares of all nodes together do not exceed the promised rate.
 *
 * @example
 * setPromises(db, 'invoicing', [{ callerName: 'clerks', serviceName: 'invoicing', promisedCallsPerS: 40 }], basis, 0)
 */
export function setPromises (
  db: AgreementDb, serviceName: string, promises: readonly RatePromise[], basis: ShareBasis, nowMs: Millis
): void {
  const service = getOrCreateService(db, serviceName)
  for (const bucket of service.buckets.values()) refreshBucket(bucket, service.isListConfirmed, db.settings, nowMs)
  if (basis.isListConfirmed && !service.isListConfirmed) restartGrowthDelay(service, db.settings, nowMs)
  service.isListConfirmed = basis.isListConfirmed
  const callerNames = new Set(promises.map(promise => promise.callerName))
  for (const callerName of service.buckets.keys()) {
    if (!callerNames.has(callerName)) service.buckets.delete(callerName)
  }
  for (const { callerName, promisedCallsPerS } of promises) {
    const bucket = service.buckets.get(callerName) ?? createEmptyBucket(callerName, nowMs)
    service.buckets.set(callerName, bucket)
    bucket.promisedCallsPerS = promisedCallsPerS
    setTargetShare(bucket, shareOf(promisedCallsPerS, basis), db.settings, nowMs)
    refreshBucket(bucket, service.isListConfirmed, db.settings, nowMs)
  }
}

/**
 * Takes a token; returns false if the call is above the promised rate or the caller has no promise.
 *
 * @example
 * takeToken(db, { callerName: 'clerks', serviceName: 'invoicing' }, Importance.Vital, nowMs)
 */
export function takeToken (db: AgreementDb, tenant: Tenant, importance: Importance, nowMs: Millis): boolean {
  const service = db.services.get(tenant.serviceName)
  const bucket = service?.buckets.get(tenant.callerName)
  if (service === undefined || bucket === undefined) return false
  refreshBucket(bucket, service.isListConfirmed, db.settings, nowMs)
  if (!hasToken(bucket, importance, db.settings)) return false
  bucket.tokensCount = Math.max(0, bucket.tokensCount - 1)
  return true
}

/**
 * Returns the token of a call that had one and was not dispatched.
 *
 * @example
 * returnToken(db, { callerName: 'clerks', serviceName: 'invoicing' }, nowMs)
 */
export function returnToken (db: AgreementDb, tenant: Tenant, nowMs: Millis): void {
  const bucket = bucketOf(db, tenant.serviceName, tenant.callerName)
  if (bucket === undefined) return
  refillTokens(bucket, db.settings, nowMs)
  bucket.tokensCount = Math.min(bucketCapacityCount(bucket.shareCallsPerS, db.settings), bucket.tokensCount + 1)
}

/** Applies due increases of shares and adds tokens in all buckets. */
export function refreshAllBuckets (db: AgreementDb, nowMs: Millis): void {
  for (const { buckets, isListConfirmed } of db.services.values()) {
    for (const bucket of buckets.values()) refreshBucket(bucket, isListConfirmed, db.settings, nowMs)
  }
}

/** State of all token buckets, for operators. */
export function shareReadings (db: AgreementDb, nowMs: Millis): ShareReading[] {
  refreshAllBuckets(db, nowMs)
  return [...db.services].flatMap(([serviceName, { buckets }]) => [...buckets.values()].map(bucket => ({
    callerName: bucket.callerName,
    serviceName,
    promisedCallsPerS: bucket.promisedCallsPerS,
    shareCallsPerS: bucket.shareCallsPerS,
    tokensCount: bucket.tokensCount
  })))
}
