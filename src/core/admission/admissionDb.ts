import type { Millis } from '../../clock/clock.js'
import { LEVEL_WORST } from '../coreTypes.js'
import type { AdmissionSettings, BackendCapacity, GateCall } from './admissionTypes.js'

/** Learned service times of one route. */
export interface RouteTimes {
  samplesCount: number
  /** Moving average over about the last 16 answers. */
  recentMs: Millis
  /** Long-term floor: follows `recentMs` down quickly and up slowly. */
  baselineMs: Millis
  lastSampleAtMs: Millis
}

/** A queued call with its arrival order and its route's service times. */
export interface QueuedCall {
  readonly call: GateCall
  readonly sequence: number
  readonly times: RouteTimes
}

/** Counts of the current window and what the last full one showed. */
export interface GateWindow {
  startedAtMs: Millis
  startsCount: number
  overloadRefusalsCount: number
  shedsCount: number
  /** Calls offered for each level; older windows count less. */
  readonly offeredByLevel: Float64Array
  /** Windows in a row without a refusal for overload. */
  calmCount: number
  cutLevel: number
  saturated: boolean
}

/** Totals since the start, which the invariant checks compare. */
export interface GateTotals {
  offeredCount: number
  startedCount: number
  refusedCount: number
  cancelledCount: number
  /** Calls refused for overload while a worse call stayed in the queue. */
  refusedBeforeWorseCount: number
  /** Calls that were offered again while queued or in flight. */
  offeredTwiceCount: number
}

/** Learned cut level of a service and route. */
export interface ChainCut {
  level: number
  learnedAtMs: Millis
}

/** State of the admission family. */
export interface AdmissionDb {
  readonly settings: AdmissionSettings
  nowMs: Millis
  capacity: BackendCapacity
  /** Limit of calls in flight; a fraction while it grows. */
  limit: number
  /** The limit does not grow before this time. */
  holdUntilMs: Millis
  /** Part of the slots by which the limit grows in the next window. */
  growthRatio: number
  /** Slots, or the calls in flight left over from before the slots shrank. */
  inFlightCeilingCount: number
  sequence: number
  queueCapacityCount: number
  /** When the queue was last searched for calls that can no longer finish. */
  lateCheckedAtMs: Millis
  /** From the worst call to the best, so that the next call is the last. */
  readonly queue: QueuedCall[]
  readonly queuedIds: Map<string, QueuedCall>
  readonly inFlight: Map<string, RouteTimes>
  readonly routes: Map<string, RouteTimes>
  readonly allRoutes: RouteTimes
  readonly window: GateWindow
  readonly totals: GateTotals
  readonly chainCuts: Map<string, Map<string, ChainCut>>
}

function emptyTimes (): RouteTimes {
  return { samplesCount: 0, recentMs: 0, baselineMs: 0, lastSampleAtMs: 0 }
}

function emptyWindow (): GateWindow {
  return {
    startedAtMs: 0,
    startsCount: 0,
    overloadRefusalsCount: 0,
    shedsCount: 0,
    offeredByLevel: new Float64Array(LEVEL_WORST + 1),
    calmCount: Number.MAX_SAFE_INTEGER,
    cutLevel: LEVEL_WORST,
    saturated: false
  }
}

function emptyTotals (): GateTotals {
  return {
    offeredCount: 0,
    startedCount: 0,
    refusedCount: 0,
    cancelledCount: 0,
    refusedBeforeWorseCount: 0,
    offeredTwiceCount: 0
  }
}

/**
 * Makes the state of a gate whose backend server is not known yet.
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
    holdUntilMs: 0,
    growthRatio: 0,
    inFlightCeilingCount: 0,
    sequence: 0,
    queueCapacityCount: 0,
    lateCheckedAtMs: 0,
    queue: [],
    queuedIds: new Map(),
    inFlight: new Map(),
    routes: new Map(),
    allRoutes: emptyTimes(),
    window: emptyWindow(),
    totals: emptyTotals(),
    chainCuts: new Map()
  }
}

/** Empties the state; capacity has to be set again. */
export function clearAdmissionDb (db: AdmissionDb): void {
  const fresh = createAdmissionDb(db.settings)
  db.queue.length = 0
  for (const map of [db.queuedIds, db.inFlight, db.routes, db.chainCuts]) map.clear()
  Object.assign(db.allRoutes, fresh.allRoutes)
  Object.assign(db.totals, fresh.totals)
  db.window.offeredByLevel.fill(0)
  Object.assign(db.window, { ...fresh.window, offeredByLevel: db.window.offeredByLevel })
  const { capacity, limit, holdUntilMs, growthRatio, inFlightCeilingCount, queueCapacityCount } = fresh
  Object.assign(db, { capacity, limit, holdUntilMs, growthRatio, inFlightCeilingCount, queueCapacityCount })
  db.sequence = db.nowMs = db.lateCheckedAtMs = 0
}

/** Service times of a route, made when the route is new. */
export function timesOf (db: AdmissionDb, routeName: string): RouteTimes {
  let times = db.routes.get(routeName)
  if (times === undefined) {
    times = emptyTimes()
    db.routes.set(routeName, times)
  }
  return times
}
