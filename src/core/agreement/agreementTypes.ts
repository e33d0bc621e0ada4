import type { Millis } from '../../clock/clock.js'
import type { CoreModule, Importance, Tenant } from '../coreTypes.js'

/** One caller's promise at a service, as published in the service's document. */
export interface PromiseTerms {
  readonly callerName: string
  readonly serviceName: string
  readonly promisedCallsPerS: number
}

/** What determines this node's part of each promise. */
export interface ShareBasis {
  readonly documentVersion: number
  readonly listRevision: number
  /** Weight of this node's data centre in the service's document, 0..1. */
  readonly dataCentreWeight: number
  /** Live nodes of the service in this data centre, this node included. */
  readonly liveNodesCount: number
  /** Whether the list was confirmed recently; without it no share grows. */
  readonly confirmed: boolean
}

export interface AgreementSettings {
  /** How long a larger share waits before it applies. */
  readonly shareGrowthDelayMs: Millis
  /** Depth of a token bucket in milliseconds of its rate. */
  readonly burstMs: Millis
  /** Part of the bucket kept for Vital calls, 0..1. */
  readonly vitalReserveRatio: number
}

/** Reading of one token bucket for operators. */
export interface ShareReading {
  readonly callerName: string
  readonly serviceName: string
  readonly promisedCallsPerS: number
  readonly shareCallsPerS: number
  readonly tokensCount: number
}

/** Promises of the node's own service, enforced at the executing node. */
export interface AgreementModule<Db> extends CoreModule<Db, AgreementSettings> {
  /** Replaces the terms of a service. A smaller share applies at once, a larger one after the growth delay. */
  setPromises (db: Db, serviceName: string, terms: readonly PromiseTerms[], basis: ShareBasis, nowMs: Millis): void
  /** Takes a token; true when the call is within the caller's promise. */
  take (db: Db, tenant: Tenant, importance: Importance, nowMs: Millis): boolean
  /** Returns the token of a call that was within its promise and was refused. */
  giveBack (db: Db, tenant: Tenant, nowMs: Millis): void
  shares (db: Db, nowMs: Millis): ShareReading[]
}
