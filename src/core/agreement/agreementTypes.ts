import type { Millis } from '../../clock/clock.js'
import type { CoreModule, Importance, Tenant } from '../coreTypes.js'

/** Call rate that a service promises to one caller, as published in the service's document. */
export interface RatePromise {
  readonly callerName: string
  readonly serviceName: string
  readonly promisedCallsPerS: number
}

/** Inputs from which this node's share of each promised rate is computed. */
export interface ShareBasis {
  readonly documentVersion: number
  readonly listRevision: number
  /** Weight of this node's data centre in the service's document, 0..1. */
  readonly dataCentreWeight: number
  /** Live nodes of the service in this data centre, this node included. */
  readonly liveNodesCount: number
  /** Whether the VM list was recently confirmed to be the newest one; otherwise no share grows. */
  readonly isListConfirmed: boolean
}

export interface AgreementSettings {
  /** Delay before a larger share applies, so that other nodes have reduced theirs by then. */
  readonly shareGrowthDelayMs: Millis
  /** Capacity of a token bucket, as the time in which its rate fills it. */
  readonly burstMs: Millis
  /** Part of the bucket's capacity reserved for `vital` calls, 0..1. */
  readonly vitalReserveRatio: number
}

/** State of one token bucket, as shown to operators. */
export interface ShareReading {
  readonly callerName: string
  readonly serviceName: string
  readonly promisedCallsPerS: number
  readonly shareCallsPerS: number
  readonly tokensCount: number
}

/** Call rates that the node's service promises to its callers, enforced at the executing node. */
export interface AgreementModule<Db> extends CoreModule<Db, AgreementSettings> {
  /** Replaces the promises of a service. A smaller share applies at once, a larger one after the growth delay. */
  setPromises (db: Db, serviceName: string, promises: readonly RatePromise[], basis: ShareBasis, nowMs: Millis): void
  /** Takes a token; false when the call is above the promised rate or the caller has no promise. */
  takeToken (db: Db, tenant: Tenant, importance: Importance, nowMs: Millis): boolean
  /** Returns the token of a call that had one and was not dispatched. */
  returnToken (db: Db, tenant: Tenant, nowMs: Millis): void
  /** State of all token buckets, for operators. */
  shareReadings (db: Db, nowMs: Millis): ShareReading[]
}
