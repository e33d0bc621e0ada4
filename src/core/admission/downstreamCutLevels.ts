import type { Millis } from '../../clock/clock.js'
import { WORST_LEVEL, type RandomSource } from '../coreTypes.js'
import type { AdmissionDb, DownstreamCutLevel } from './admissionDb.js'

/** Weight of a report below the estimate. Servers of one service report different levels, so they are averaged. */
const STRICTER_WEIGHT_RATIO = 1 / 4
/** Weight of a report above the estimate: small, because servers that are not saturated report 255. */
const LAXER_WEIGHT_RATIO = 1 / 32
/** Part of the refused root requests that is let through to see whether capacity has returned. */
const PROBE_RATIO = 0.01

/** Load-shedding threshold (cut level) at `nowMs`: rises linearly to 255 until the entry expires. */
function currentCutLevel (db: AdmissionDb, cut: DownstreamCutLevel, nowMs: Millis): number {
  const ageRatio = Math.min(1, Math.max(0, nowMs - cut.learnedAtMs) / db.settings.cutLevelTtlMs)
  return cut.level + (WORST_LEVEL - cut.level) * ageRatio
}

/**
 * Records the strictest cut level that an answer reported.
 * The levels of a service and route are averaged exponentially.
 *
 * @example
 * recordCutLevel(db, 'delivery-booking', 'book', 70, nowMs)
 */
export function recordCutLevel (
  db: AdmissionDb, serviceName: string, routeName: string, cutLevel: number, nowMs: Millis
): void {
  const cut = db.downstreamCutLevels.get(serviceName)?.get(routeName)
  if (cut === undefined) {
    if (cutLevel >= WORST_LEVEL) return
    const routes = db.downstreamCutLevels.get(serviceName) ?? new Map<string, DownstreamCutLevel>()
    db.downstreamCutLevels.set(serviceName, routes.set(routeName, {
      level: WORST_LEVEL + (cutLevel - WORST_LEVEL) * STRICTER_WEIGHT_RATIO, learnedAtMs: nowMs
    }))
    return
  }
  const level = currentCutLevel(db, cut, nowMs)
  cut.level = level + (cutLevel - level) * (cutLevel < level ? STRICTER_WEIGHT_RATIO : LAXER_WEIGHT_RATIO)
  cut.learnedAtMs = nowMs
}

/**
 * Whether a root request may enter the chain behind a service and route.
 * Above the cut level a small random part is admitted as probes.
 *
 * @example
 * admitsRootRequest(db, 'delivery-booking', 'book', 12, nowMs, random)
 */
export function admitsRootRequest (
  db: AdmissionDb, serviceName: string, routeName: string, level: number, nowMs: Millis, random: RandomSource
): boolean {
  if (!db.settings.chainAdmission) return true
  const cut = db.downstreamCutLevels.get(serviceName)?.get(routeName)
  if (cut === undefined || level <= currentCutLevel(db, cut, nowMs)) return true
  return random() < PROBE_RATIO
}

/** Deletes cut levels that no answer has updated for `cutLevelTtlMs`. */
export function deleteExpiredCutLevels (db: AdmissionDb, nowMs: Millis): void {
  for (const [serviceName, routes] of db.downstreamCutLevels) {
    for (const [routeName, cut] of routes) {
      if (nowMs - cut.learnedAtMs >= db.settings.cutLevelTtlMs) routes.delete(routeName)
    }
    if (routes.size === 0) db.downstreamCutLevels.delete(serviceName)
  }
}
