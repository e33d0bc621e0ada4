import type { Millis } from '../../clock/clock.js'
import { WORST_LEVEL } from '../coreTypes.js'
import type { AdmissionSettings, BackendCapacity, GateCall } from './admissionTypes.js'

/** Service-time estimate of one route. */
export interface ServiceTimeEstimate {
  samplesCount: number
  /** Exponential moving average over about the last 16 answers. */
  movingAverageMs: Millis
  /** Long-term minimum: follows `movingAverageMs` down quickly and up slowly. */
  baselineMs: Millis
  lastSampleAtMs: Millis
}

/** A queued call with its arrival number and its route's service-time estimate. */
export interface QueuedCall {
  readonly call: GateCall
  readonly sequence: number
  readonly estimate: ServiceTimeEstimate
}

/**
 * Counts of the current time window, and the saturation and the load-shedding threshold
 * (`cutLevel`) computed from completed windows.
 */
export interface GateWindow {
  startedAtMs: Millis
  startsCount: number
  overloadRefusalsCount: number
  shedsCount: number
  /** Calls offered per level, exponentially decayed from window to window. */
  readonly offeredByLevel: Float64Array
  /** Consecutive windows without a refusal for overload. */
  windowsWithoutOverloadCount: number
  cutLevel: number
  saturated: boolean
}

/** Totals since the start, used by the invariant checks. */
export interface GateTotals {
  offeredCount: number
  startedCount: number
  refusedCount: number
  cancelledCount: number
  /** Calls refused for overload while a lower-priority call stayed in the queue. */
  priorityInversionsCount: number
  /** Calls that were offered a second time while queued or in flight. */
  offeredTwiceCount: number
}

/** Smoothed load-shedding threshold (cut level) that a downstream service reported for a route. */
export interface DownstreamCutLevel {
  level: number
  learnedAtMs: Millis
}

/** State of the admission module. */
export interface AdmissionDb {
  readonly settings: AdmissionSettings
  nowMs: Millis
  capacity: BackendCapacity
  /** Concurrency limit; fractional while it grows back. */
  limit: number
  /** The concurrency limit does not grow before this time. */
  growthPausedUntilMs: Millis
  /** Fraction of the slots by which the limit grows in the next window. */
  growthRatio: number
  /** Most calls that may be in flight: the slots, or more while calls from before a capacity decrease still run. */
  inFlightCeilingCount: number
  sequence: number
  queueCapacityCount: number
  /** When the queue was last searched for calls that cannot finish before their deadline. */
  deadlinesCheckedAtMs: Millis
  /** Sorted from the lowest to the highest priority, so that the next call is popped from the end. */
  readonly queue: QueuedCall[]
  readonly queuedById: Map<string, QueuedCall>
  /** Dispatched calls by call id, with the estimate that their service time updates. */
  readonly inFlight: Map<string, ServiceTimeEstimate>
  readonly estimatesByRoute: Map<string, ServiceTimeEstimate>
  readonly allRoutesEstimate: ServiceTimeEstimate
  readonly window: GateWindow
  readonly totals: GateTotals
  /** By service name, then by route name. */
  readonly downstreamCutLevels: Map<string, Map<string, DownstreamCutLevel>>
}

function emptyEstimate (): ServiceTimeEstimate {
  return { samplesCount: 0, movingAverageMs: 0, baselineMs: 0, lastSampleAtMs: 0 }
}

function emptyWindow (): GateWindow {
  return {
    startedAtMs: 0,
    startsCount: 0,
    overloadRefusalsCount: 0,
    shedsCount: 0,
    offeredByLevel: new Float64Array(WORST_LEVEL + 1),
    windowsWithoutOverloadCount: Number.MAX_SAFE_INTEGER,
    cutLevel: WORST_LEVEL,
    saturated: false
  }
}

function emptyTotals (): GateTotals {
  return {
    offeredCount: 0,
    startedCount: 0,
    refusedCount: 0,
    cancelledCount: 0,
    priorityInversionsCount: 0,
    offeredTwiceCount: 0
  }
}

/**
 * Creates the state with no capacity; calls are refused until `setCapacity`.
 *
 * @example
 * const db = createAdmissionDb(admissionDefaults)
 */
export function createAdmissionDb (settings: AdmissionSettings): AdmissionDb {
  return {
    settings,
    nowMs: 0,
    capacity: { slotsCount: 0, acceptsWork: false, draining: false },
    limit: 0,
    growthPausedUntilMs: 0,
    growthRatio: 0,
    inFlightCeilingCount: 0,
    sequence: 0,
    queueCapacityCount: 0,
    deadlinesCheckedAtMs: 0,
    queue: [],
    queuedById: new Map(),
    inFlight: new Map(),
    estimatesByRoute: new Map(),
    allRoutesEstimate: emptyEstimate(),
    window: emptyWindow(),
    totals: emptyTotals(),
    downstreamCutLevels: new Map()
  }
}

/** Resets the state; capacity has to be set again. */
export function clearAdmissionDb (db: AdmissionDb): void {
  const fresh = createAdmissionDb(db.settings)
  db.queue.length = 0
  for (const map of [db.queuedById, db.inFlight, db.estimatesByRoute, db.downstreamCutLevels]) map.clear()
  Object.assign(db.allRoutesEstimate, fresh.allRoutesEstimate)
  Object.assign(db.totals, fresh.totals)
  db.window.offeredByLevel.fill(0)
  Object.assign(db.window, { ...fresh.window, offeredByLevel: db.window.offeredByLevel })
  const { capacity, limit, growthPausedUntilMs, growthRatio, inFlightCeilingCount, queueCapacityCount } = fresh
  Object.assign(db, { capacity, limit, growthPausedUntilMs, growthRatio, inFlightCeilingCount, queueCapacityCount })
  db.sequence = db.nowMs = db.deadlinesCheckedAtMs = 0
}

/** Service-time estimate of a route, created on first use. */
export function getOrCreateEstimate (db: AdmissionDb, routeName: string): ServiceTimeEstimate {
  let estimate = db.estimatesByRoute.get(routeName)
  if (estimate === undefined) {
    estimate = emptyEstimate()
    db.estimatesByRoute.set(routeName, estimate)
  }
  return estimate
}
