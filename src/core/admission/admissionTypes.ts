import type { Millis } from '../../clock/clock.js'
import type { CoreModule, RandomSource, Reason } from '../coreTypes.js'

/** A call that asks for a slot of the node's own backend server. */
export interface GateCall {
  readonly callId: string
  readonly callerName: string
  /** Admission level, 0 is best. */
  readonly level: number
  readonly arrivedAtMs: Millis
  /** Monotonic time after which an answer is of no use. */
  readonly deadlineAtMs: Millis
  /** Key under which service times are learned, such as the route. */
  readonly routeName: string
}

export type GateEvent =
  | { readonly kind: 'start', readonly callId: string }
  | { readonly kind: 'queued', readonly callId: string }
  | { readonly kind: 'refuse', readonly callId: string, readonly reason: Reason }

/** How a dispatched call left the backend server. */
export enum ReleaseKind {
  Done = 'done',
  /** The backend server refused the call itself. */
  Shed = 'shed',
  Failed = 'failed',
  Cancelled = 'cancelled'
}

/** What the backend server can take, from its document and its own reports. */
export interface BackendCapacity {
  readonly slotsCount: number
  readonly acceptsWork: boolean
  readonly draining: boolean
}

/** Reading of the gate for operators and peers. */
export interface GateReading {
  readonly inFlightCount: number
  readonly queuedCount: number
  readonly limitCount: number
  /** Worst level still admitted; 255 when not saturated. */
  readonly cutLevel: number
  readonly saturated: boolean
}

export interface AdmissionSettings {
  readonly queueCapacityCount: number
  readonly windowMs: Millis
  readonly adaptiveLimit: boolean
  readonly minLimitCount: number
  readonly newestFirst: boolean
  readonly refuseByDeadline: boolean
  readonly chainAdmission: boolean
  readonly chainCutTtlMs: Millis
  readonly priorities: boolean
}

/**
 * The gate in front of a backend server and the levels learned from services
 * below. Each function that may start or refuse calls returns what it decided.
 */
export interface AdmissionModule<Db> extends CoreModule<Db, AdmissionSettings> {
  /** Asks for a slot. The result also names queued calls that were evicted. */
  offer (db: Db, call: GateCall, nowMs: Millis): GateEvent[]
  /** Frees the slot of a dispatched call. `servedMs` is the backend server's time. */
  release (db: Db, callId: string, kind: ReleaseKind, servedMs: Millis, nowMs: Millis): GateEvent[]
  /** Removes a queued call whose caller has gone; a dispatched call keeps its slot until `release`. */
  cancel (db: Db, callId: string, nowMs: Millis): GateEvent[]
  /** Refuses queued calls that can no longer finish in time and starts others. */
  poll (db: Db, nowMs: Millis): GateEvent[]
  setCapacity (db: Db, capacity: BackendCapacity, nowMs: Millis): GateEvent[]
  reading (db: Db, nowMs: Millis): GateReading
  /** Expected service time of a route in milliseconds, 0 when nothing is known. */
  expectedServiceMs (db: Db, routeName: string): Millis
  /** Takes the strictest cut level that an answer of a service and route carried. */
  learnCut (db: Db, serviceName: string, routeName: string, cutLevel: number, nowMs: Millis): void
  /** Whether a root request of this level may enter the chain behind a service and route. */
  passesChain (
    db: Db, serviceName: string, routeName: string, level: number, nowMs: Millis, random: RandomSource
  ): boolean
}
