import type { Millis } from '../../clock/clock.js'
import type { CoreModule, RandomSource, Reason } from '../coreTypes.js'

/** A call that requests a slot (concurrency unit) of the node's own backend server. */
export interface GateCall {
  readonly callId: string
  readonly callerName: string
  /** Admission level in 0..255; 0 has the highest priority. */
  readonly level: number
  readonly arrivedAtMs: Millis
  /** Monotonic time after which the caller no longer uses the answer. */
  readonly deadlineAtMs: Millis
  /** Key under which service times are estimated, such as the route. */
  readonly routeName: string
}

/** A decision on one call: run it now, keep it in the queue, or refuse it. */
export type GateEvent =
  | { readonly kind: 'start', readonly callId: string }
  | { readonly kind: 'queued', readonly callId: string }
  | { readonly kind: 'refuse', readonly callId: string, readonly reason: Reason }

/** How a dispatched call ended at the backend server. */
export enum ReleaseKind {
  Done = 'done',
  /** The backend server rejected the call because it was overloaded. */
  Shed = 'shed',
  Failed = 'failed',
  Cancelled = 'cancelled'
}

/** Capacity of the backend server, from its service document and its own reports. */
export interface BackendCapacity {
  readonly slotsCount: number
  readonly acceptsWork: boolean
  readonly draining: boolean
}

/** Snapshot of the gate for operators and peers. */
export interface GateReading {
  readonly inFlightCount: number
  readonly queuedCount: number
  readonly limitCount: number
  /** Load-shedding threshold: the lowest-priority level still admitted; 255 when not saturated. */
  readonly cutLevel: number
  readonly saturated: boolean
}

export interface AdmissionSettings {
  /** Upper bound of the queue capacity. */
  readonly queueCapacityCount: number
  /** Length of the window after which limit, cut level (load-shedding threshold) and queue capacity are updated. */
  readonly windowMs: Millis
  /** Lowers the concurrency limit when the backend server rejects calls; otherwise it equals the slots. */
  readonly adaptiveLimit: boolean
  /** Lower bound of the adaptive limit. */
  readonly minLimitCount: number
  /** Within a level, the newest call starts first (LIFO) instead of the oldest. */
  readonly newestFirst: boolean
  /** Refuses calls whose remaining time is below the estimated service time. */
  readonly refuseByDeadline: boolean
  /** Refuses root requests above the cut level that downstream services reported. */
  readonly chainAdmission: boolean
  /** Time after which a reported cut level has no effect. */
  readonly cutLevelTtlMs: Millis
  /** Orders the queue by level; otherwise calls start in order of arrival. */
  readonly priorities: boolean
}

/**
 * Concurrency limit and priority queue in front of a backend server, and the
 * load-shedding thresholds ("cut levels") reported by downstream services.
 * Functions that may start or refuse calls return their decisions as events.
 */
export interface AdmissionModule<Db> extends CoreModule<Db, AdmissionSettings> {
  /** Requests a slot. The result also contains queued calls that were evicted. */
  offerCall (db: Db, call: GateCall, nowMs: Millis): GateEvent[]
  /** Frees the slot of a dispatched call. `servedMs` is the time that the backend server spent on it. */
  releaseSlot (db: Db, callId: string, kind: ReleaseKind, servedMs: Millis, nowMs: Millis): GateEvent[]
  /** Removes a queued call whose caller disconnected; a dispatched call keeps its slot until it is released. */
  cancelQueuedCall (db: Db, callId: string, nowMs: Millis): GateEvent[]
  /** Refuses queued calls that cannot finish before their deadline and starts others in free slots. */
  processQueue (db: Db, nowMs: Millis): GateEvent[]
  setCapacity (db: Db, capacity: BackendCapacity, nowMs: Millis): GateEvent[]
  getGateReading (db: Db, nowMs: Millis): GateReading
  /** Estimated service time of a route in milliseconds, 0 without samples. */
  expectedServiceMs (db: Db, routeName: string): Millis
  /** Updates the cut level of a service and route from the strictest one that an answer reported. */
  recordCutLevel (db: Db, serviceName: string, routeName: string, cutLevel: number, nowMs: Millis): void
  /** Whether a root request of this level passes the cut level that a service and route reported. */
  admitsRootRequest (
    db: Db, serviceName: string, routeName: string, level: number, nowMs: Millis, random: RandomSource
  ): boolean
}
