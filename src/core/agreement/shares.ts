import type { Millis } from '../../clock/clock.js'
import type { Importance, Tenant } from '../coreTypes.js'
import { bucketOf, emptyBucket, type AgreementDb, type Bucket, type ServiceShares } from './agreementDb.js'
import { burstCount, hasToken } from './agreementDetector.js'
import type { AgreementSettings, PromiseTerms, ShareBasis, ShareReading } from './agreementTypes.js'

function shareOf (promisedCallsPerS: number, basis: ShareBasis): number {
  const weight = Math.min(1, Math.max(0, basis.dataCentreWeight))
  return promisedCallsPerS * weight / Math.max(1, basis.liveNodesCount)
}

/** Adds the tokens of the time since the last call and applies growth that is due. */
function settle (bucket: Bucket, confirmed: boolean, settings: AgreementSettings, nowMs: Millis): void {
  if (confirmed) applyGrowth(bucket, settings, nowMs)
  fill(bucket, settings, nowMs)
}

function applyGrowth (bucket: Bucket, settings: AgreementSettings, nowMs: Millis): void {
  while (bucket.growth.length > 0) {
    const step = bucket.growth[0]
    if (step === undefined || step.atMs > nowMs) return
    fill(bucket, settings, step.atMs)
    bucket.shareCallsPerS = step.shareCallsPerS
    bucket.growth.shift()
  }
}

function fill (bucket: Bucket, settings: AgreementSettings, atMs: Millis): void {
  if (atMs <= bucket.filledAtMs) return
  const added = bucket.shareCallsPerS * (atMs - bucket.filledAtMs) / 1000
  bucket.tokensCount = Math.min(burstCount(bucket.shareCallsPerS, settings), bucket.tokensCount + added)
  bucket.filledAtMs = atMs
}

/** Sets the share a bucket should have: less at once, more after the growth delay. */
function retarget (bucket: Bucket, target: number, settings: AgreementSettings, nowMs: Millis): void {
  if (target <= bucket.shareCallsPerS) {
    bucket.growth = []
    bucket.shareCallsPerS = target
    bucket.tokensCount = Math.min(bucket.tokensCount, burstCount(target, settings))
    return
  }
  /* A step that waits already keeps its time, or frequent list changes would hold growth back for good. */
  const reached = bucket.growth.findIndex(step => step.shareCallsPerS >= target)
  if (reached >= 0) bucket.growth.length = reached + 1
  for (const step of bucket.growth) step.shareCallsPerS = Math.min(step.shareCallsPerS, target)
  const last = bucket.growth.at(-1)
  if (last === undefined || last.shareCallsPerS < target) {
    bucket.growth.push({ shareCallsPerS: target, atMs: nowMs + settings.shareGrowthDelayMs })
  }
}

function serviceOf (db: AgreementDb, serviceName: string): ServiceShares {
  let service = db.services.get(serviceName)
  if (service === undefined) {
    service = { confirmed: false, buckets: new Map() }
    db.services.set(serviceName, service)
  }
  return service
}

/** Restarts the wait for growth: while unconfirmed, others may have moved to an unknown list. */
function restartGrowth (service: ServiceShares, settings: AgreementSettings, nowMs: Millis): void {
  for (const bucket of service.buckets.values()) {
    const target = bucket.growth.at(-1)?.shareCallsPerS
    bucket.growth = target === undefined
      ? []
      : [{ shareCallsPerS: target, atMs: nowMs + settings.shareGrowthDelayMs }]
  }
}

/**
 * Replaces the terms of a service. A smaller share applies at once, a larger
 * one (also the first of a new caller or a new node) after the growth delay and
 * only while the list is confirmed.
 *
 * @example
 * setPromises(db, 'invoicing', [{ callerName: 'clerks', serviceName: 'invoicing', promisedCallsPerS: 40 }], basis, 0)
 */
export function setPromises (
  db: AgreementDb, serviceName: string, terms: readonly PromiseTerms[], basis: ShareBasis, nowMs: Millis
): void {
  const service = serviceOf(db, serviceName)
  for (const bucket of service.buckets.values()) settle(bucket, service.confirmed, db.settings, nowMs)
  if (basis.confirmed && !service.confirmed) restartGrowth(service, db.settings, nowMs)
  service.confirmed = basis.confirmed
  const named = new Set(terms.map(one => one.callerName))
  for (const callerName of service.buckets.keys()) {
    if (!named.has(callerName)) service.buckets.delete(callerName)
  }
  for (const { callerName, promisedCallsPerS } of terms) {
    const bucket = service.buckets.get(callerName) ?? emptyBucket(callerName, nowMs)
    service.buckets.set(callerName, bucket)
    bucket.promisedCallsPerS = promisedCallsPerS
    retarget(bucket, shareOf(promisedCallsPerS, basis), db.settings, nowMs)
    settle(bucket, service.confirmed, db.settings, nowMs)
  }
}

/**
 * Takes a token; false for a call above the promise or a caller without one.
 *
 * @example
 * take(db, { callerName: 'clerks', serviceName: 'invoicing' }, Importance.Vital, nowMs)
 */
export function take (db: AgreementDb, tenant: Tenant, importance: Importance, nowMs: Millis): boolean {
  const service = db.services.get(tenant.serviceName)
  const bucket = service?.buckets.get(tenant.callerName)
  if (service === undefined || bucket === undefined) return false
  settle(bucket, service.confirmed, db.settings, nowMs)
  if (!hasToken(bucket, importance, db.settings)) return false
  bucket.tokensCount = Math.max(0, bucket.tokensCount - 1)
  return true
}

/**
 * Returns the token of a call that was within its promise and was refused.
 *
 * @example
 * giveBack(db, { callerName: 'clerks', serviceName: 'invoicing' }, nowMs)
 */
export function giveBack (db: AgreementDb, tenant: Tenant, nowMs: Millis): void {
  const bucket = bucketOf(db, tenant.serviceName, tenant.callerName)
  if (bucket === undefined) return
  fill(bucket, db.settings, nowMs)
  bucket.tokensCount = Math.min(burstCount(bucket.shareCallsPerS, db.settings), bucket.tokensCount + 1)
}

/** Applies what is due in all buckets. */
export function settleAll (db: AgreementDb, nowMs: Millis): void {
  for (const { buckets, confirmed } of db.services.values()) {
    for (const bucket of buckets.values()) settle(bucket, confirmed, db.settings, nowMs)
  }
}

/** Readings of all buckets for operators. */
export function shares (db: AgreementDb, nowMs: Millis): ShareReading[] {
  settleAll(db, nowMs)
  return [...db.services].flatMap(([serviceName, { buckets }]) => [...buckets.values()].map(bucket => ({
    callerName: bucket.callerName,
    serviceName,
    promisedCallsPerS: bucket.promisedCallsPerS,
    shareCallsPerS: bucket.shareCallsPerS,
    tokensCount: bucket.tokensCount
  })))
}
