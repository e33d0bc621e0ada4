import type { Millis } from '../../clock/clock.js'
import { WORST_LEVEL } from '../coreTypes.js'
import type { AdmissionDb } from './admissionDb.js'

/** Target length of the queue, as the time in which all slots together serve it; a longer queue only adds latency. */
const QUEUE_TARGET_DELAY_MS = 30
const QUEUE_MIN_COUNT = 4
/**
 * Calls up to the cut level (load-shedding threshold) add up to slightly more than the capacity, so that the gate
 * stays fully used when callers apply the cut level.
 */
const CUT_HEADROOM_RATIO = 1.1
/** Fraction of the per-level counts that is carried over to the next window. */
const COUNTS_KEPT_RATIO = 0.7
/** Consecutive windows without a refusal for overload after which the gate is no longer saturated. */
const UNSATURATED_AFTER_WINDOWS_COUNT = 2
/** Factor of the multiplicative decrease after a rejection by the backend server. */
const LIMIT_DECREASE_RATIO = 0.9
/** Pause after a decrease. The limit then grows in steps that double, and is fully restored within 1 s. */
const GROWTH_PAUSE_MS = 400
const GROWTH_INITIAL_RATIO = 0.02

/** Current concurrency limit. */
export function limitCount (db: AdmissionDb): number {
  const { slotsCount, acceptsWork, draining } = db.capacity
  if (!acceptsWork || draining) return 0
  return db.settings.adaptiveLimit ? Math.min(slotsCount, Math.floor(db.limit)) : slotsCount
}

/** Recomputes the queue capacity from the slots and the average service time. */
export function updateQueueCapacity (db: AdmissionDb): void {
  const serviceMs = db.allRoutesEstimate.movingAverageMs
  const { slotsCount } = db.capacity
  const wanted = serviceMs > 0 ? Math.ceil(slotsCount * QUEUE_TARGET_DELAY_MS / serviceMs) : slotsCount
  db.queueCapacityCount = Math.min(db.settings.queueCapacityCount, Math.max(QUEUE_MIN_COUNT, wanted))
}

/**
 * Advances the gate's clock and completes the windows that have ended: the
 * concurrency limit, the cut level and the queue capacity are updated.
 *
 * @example
 * advanceWindow(db, nowMs)
 */
export function advanceWindow (db: AdmissionDb, nowMs: Millis): void {
  if (nowMs > db.nowMs) db.nowMs = nowMs
  const { window, settings } = db
  const windowsCount = Math.floor((db.nowMs - window.startedAtMs) / settings.windowMs)
  if (windowsCount < 1) return
  growLimit(db, windowsCount)
  updateCutLevel(db, windowsCount)
  updateQueueCapacity(db)
  window.startedAtMs += windowsCount * settings.windowMs
  window.overloadRefusalsCount = window.shedsCount = 0
}

/** Lowers the concurrency limit after the backend server rejected a call, at most once per window. */
export function recordBackendShed (db: AdmissionDb): void {
  db.window.shedsCount += 1
  if (db.window.shedsCount > 1) return
  const sustainedCount = Math.min(db.limit, db.inFlight.size)
  db.limit = Math.max(minLimit(db), sustainedCount * LIMIT_DECREASE_RATIO)
  db.growthPausedUntilMs = db.nowMs + GROWTH_PAUSE_MS
  db.growthRatio = GROWTH_INITIAL_RATIO
}

function minLimit (db: AdmissionDb): number {
  return Math.min(db.capacity.slotsCount, Math.max(1, db.settings.minLimitCount))
}

/**
 * Grows the limit back to the slots. Latency does not lower the limit: a slow
 * downstream service raises latency too, and a lower limit would then only
 * reduce goodput (docs/POLICY.md).
 */
function growLimit (db: AdmissionDb, windowsCount: number): void {
  const { slotsCount } = db.capacity
  for (let count = 0; count < windowsCount && db.nowMs >= db.growthPausedUntilMs && db.limit < slotsCount; count++) {
    db.limit = Math.min(slotsCount, db.limit + slotsCount * db.growthRatio)
    db.growthRatio *= 2
  }
}

/**
 * Updates saturation and the cut level. The cut level is the level up to which
 * the offered calls add up to the started ones. The decayed counts cover about
 * three windows, because with few slots a single window has too few calls. The
 * lowest-priority level that was started is not used instead: a chance arrival
 * while the queue was briefly empty would set it and admit most of an overload.
 */
function updateCutLevel (db: AdmissionDb, windowsCount: number): void {
  const { window } = db
  const refused = windowsCount === 1 && window.overloadRefusalsCount > 0
  window.windowsWithoutOverloadCount = refused ? 0 : window.windowsWithoutOverloadCount + windowsCount
  window.saturated = window.windowsWithoutOverloadCount < UNSATURATED_AFTER_WINDOWS_COUNT
  window.cutLevel = window.saturated ? computeCutLevel(db) : WORST_LEVEL
  const keptRatio = window.saturated ? COUNTS_KEPT_RATIO : 0
  window.startsCount *= keptRatio
  for (let level = 0; level <= WORST_LEVEL; level++) {
    window.offeredByLevel[level] = (window.offeredByLevel[level] ?? 0) * keptRatio
  }
}

function computeCutLevel ({ window }: AdmissionDb): number {
  let remaining = window.startsCount * CUT_HEADROOM_RATIO
  let cut = WORST_LEVEL
  for (let level = 0; level <= WORST_LEVEL; level++) {
    const offered = window.offeredByLevel[level] ?? 0
    remaining -= offered
    if (remaining < 0) return cut === WORST_LEVEL ? level : cut
    if (offered > 0) cut = level
  }
  return WORST_LEVEL
}
