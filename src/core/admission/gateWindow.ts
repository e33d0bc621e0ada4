import type { Millis } from '../../clock/clock.js'
import { LEVEL_WORST } from '../coreTypes.js'
import type { AdmissionDb } from './admissionDb.js'

/** Work that the queue may hold, as time of all slots: more only adds waiting. */
const QUEUE_DEPTH_MS = 30
const QUEUE_MIN_COUNT = 4
/** Keeps slightly more than the capacity coming, so that the gate itself makes the final choice. */
const CUT_SLACK_RATIO = 1.1
/** Part of the counts by level that is kept from window to window. */
const HISTORY_RATIO = 0.7
/** Windows without a refusal after which the gate is no longer saturated. */
const CALM_WINDOWS = 2
const SHED_LIMIT_RATIO = 0.9
/** After a refusal the limit rests this long, then grows by a doubling step, and is whole again within 1 s. */
const SHED_HOLD_MS = 400
const GROWTH_FIRST_RATIO = 0.02

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
  window.overloadRefusalsCount = window.shedsCount = 0
}

/** Lowers the limit after a refusal by the backend server, at most once in a window. */
export function noteShed (db: AdmissionDb): void {
  db.window.shedsCount += 1
  if (db.window.shedsCount > 1) return
  const servable = Math.min(db.limit, db.inFlight.size)
  db.limit = Math.max(minLimit(db), servable * SHED_LIMIT_RATIO)
  db.holdUntilMs = db.nowMs + SHED_HOLD_MS
  db.growthRatio = GROWTH_FIRST_RATIO
}

function minLimit (db: AdmissionDb): number {
  return Math.min(db.capacity.slotsCount, Math.max(1, db.settings.minLimitCount))
}

/**
 * Latency does not lower the limit: a slow service further down raises it too,
 * and fewer calls in flight then only cost goodput (docs/POLICY.md).
 */
function adaptLimit (db: AdmissionDb, windowsCount: number): void {
  const { slotsCount } = db.capacity
  for (let count = 0; count < windowsCount && db.nowMs >= db.holdUntilMs && db.limit < slotsCount; count++) {
    db.limit = Math.min(slotsCount, db.limit + slotsCount * db.growthRatio)
    db.growthRatio *= 2
  }
}

/**
 * The cut is the level up to which the offered calls fill what was started. The
 * counts reach back over about three windows: with a few slots one window has
 * too few calls. The single worst level started would be set by chance arrivals
 * in a short gap of the queue and let most of an overload through.
 */
function closeCut (db: AdmissionDb, windowsCount: number): void {
  const { window } = db
  const refused = windowsCount === 1 && window.overloadRefusalsCount > 0
  window.calmCount = refused ? 0 : window.calmCount + windowsCount
  window.saturated = window.calmCount < CALM_WINDOWS
  window.cutLevel = window.saturated ? cutOf(db) : LEVEL_WORST
  const keptRatio = window.saturated ? HISTORY_RATIO : 0
  window.startsCount *= keptRatio
  for (let level = 0; level <= LEVEL_WORST; level++) {
    window.offeredByLevel[level] = (window.offeredByLevel[level] ?? 0) * keptRatio
  }
}

function cutOf ({ window }: AdmissionDb): number {
  let room = window.startsCount * CUT_SLACK_RATIO
  let cut = LEVEL_WORST
  for (let level = 0; level <= LEVEL_WORST; level++) {
    const offered = window.offeredByLevel[level] ?? 0
    room -= offered
    if (room < 0) return cut === LEVEL_WORST ? level : cut
    if (offered > 0) cut = level
  }
  return LEVEL_WORST
}
