import type { Millis } from '../../clock/clock.js'
import { LEVEL_WORST } from '../coreTypes.js'
import type { AdmissionDb } from './admissionDb.js'

/** Work that the queue may hold, as time of all slots: more only adds waiting. */
const QUEUE_DEPTH_MS = 30
const QUEUE_MIN_COUNT = 4
/** Keeps slightly more than the capacity coming, so that the gate itself makes the final choice. */
const CUT_SLACK_RATIO = 1.1
const SHED_LIMIT_RATIO = 0.9
/** With the growth below, a limit cut to its minimum is whole again within 0.9 s. */
const SHED_HOLD_MS = 400
const GROWTH_RATIO_PER_WINDOW = 0.2
const SLOW_RATIO = 3
const SLOW_LIMIT_RATIO = 0.9
/** A slow service further down also raises the latency here, and fewer calls in flight do not cure that. */
const SLOW_MIN_RATIO = 0.5
const SLOW_MIN_SAMPLES = 8

/** Limit of calls in flight that applies now. */
export function limitCount (db: AdmissionDb): number {
  const { slotsCount, acceptsWork, draining } = db.capacity
  if (!acceptsWork || draining) return 0
  return db.settings.adaptiveLimit ? Math.min(slotsCount, Math.floor(db.limit)) : slotsCount
}

/** Recomputes the bound of the queue from the slots and the recent service time. */
export function sizeQueue (db: AdmissionDb): void {
  const serviceMs = db.allRoutes.recentMs
  const { slotsCount } = db.capacity
  const wanted = serviceMs > 0 ? Math.ceil(slotsCount * QUEUE_DEPTH_MS / serviceMs) : slotsCount
  db.queueCapacityCount = Math.min(db.settings.queueCapacityCount, Math.max(QUEUE_MIN_COUNT, wanted))
}

/**
 * Moves the gate's time forward and closes windows that have ended.
 *
 * @example
 * advance(db, nowMs)
 */
export function advance (db: AdmissionDb, nowMs: Millis): void {
  if (nowMs > db.nowMs) db.nowMs = nowMs
  const { window, settings } = db
  const windowsCount = Math.floor((db.nowMs - window.startedAtMs) / settings.windowMs)
  if (windowsCount < 1) return
  adaptLimit(db, windowsCount)
  closeCut(db, windowsCount)
  sizeQueue(db)
  window.startedAtMs += windowsCount * settings.windowMs
  window.startsCount = window.overloadRefusalsCount = window.shedsCount = 0
  window.servedMs = window.baselineMs = window.samplesCount = 0
  window.offeredByLevel.fill(0)
}

/** Lowers the limit after a refusal by the backend server, at most once in a window. */
export function noteShed (db: AdmissionDb): void {
  db.window.shedsCount += 1
  if (db.window.shedsCount > 1) return
  const servable = Math.min(db.limit, db.inFlight.size)
  db.limit = Math.max(minLimit(db), servable * SHED_LIMIT_RATIO)
  db.holdUntilMs = db.nowMs + SHED_HOLD_MS
}

function minLimit (db: AdmissionDb): number {
  return Math.min(db.capacity.slotsCount, Math.max(1, db.settings.minLimitCount))
}

function adaptLimit (db: AdmissionDb, windowsCount: number): void {
  const { window, capacity: { slotsCount } } = db
  const slow = window.samplesCount >= SLOW_MIN_SAMPLES && window.servedMs > SLOW_RATIO * window.baselineMs
  if (slow) {
    const floor = Math.max(minLimit(db), slotsCount * SLOW_MIN_RATIO)
    if (db.limit > floor) db.limit = Math.max(floor, db.limit * SLOW_LIMIT_RATIO)
  } else if (db.nowMs >= db.holdUntilMs) {
    db.limit = Math.min(slotsCount, db.limit + slotsCount * GROWTH_RATIO_PER_WINDOW * windowsCount)
  }
}

/**
 * The cut is the level up to which the offered calls fill what was started.
 * The single worst level started would be set by chance arrivals in a short
 * gap of the queue and let most of an overload through.
 */
function closeCut (db: AdmissionDb, windowsCount: number): void {
  const { window } = db
  window.saturated = windowsCount === 1 && window.overloadRefusalsCount > 0
  window.cutLevel = LEVEL_WORST
  if (!window.saturated) return
  let room = window.startsCount * CUT_SLACK_RATIO
  let cut = -1
  for (let level = 0; level <= LEVEL_WORST; level++) {
    const offered = window.offeredByLevel[level] ?? 0
    room -= offered
    if (room < 0 && cut >= 0) break
    if (offered > 0) cut = level
    if (room < 0) break
  }
  if (room < 0) window.cutLevel = Math.max(0, cut)
}
