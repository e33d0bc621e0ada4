import type { Millis } from '../../clock/clock.js'
import { LEVEL_WORST, type RandomSource } from '../coreTypes.js'
import type { AdmissionDb, ChainCut } from './admissionDb.js'

/** Weight of one stricter answer: backend servers of one service report slightly different cuts. */
const LEARN_RATIO = 1 / 4
/** Weight of one laxer answer. Servers that are not saturated report the worst level, far above any cut. */
const RELAX_RATIO = 1 / 32
/** Part of the refused root requests that is let through to see whether capacity has returned. */
const PROBE_RATIO = 0.01

/** Cut that applies now: it relaxes evenly until it expires. */
function cutNow (db: AdmissionDb, cut: ChainCut, nowMs: Millis): number {
  const ageRatio = Math.min(1, Math.max(0, nowMs - cut.learnedAtMs) / db.settings.chainCutTtlMs)
  return cut.level + (LEVEL_WORST - cut.level) * ageRatio
}

/**
 * Learns the strictest cut level that an answer carried.
 *
 * @example
 * learnCut(db, 'delivery-booking', 'book', 70, nowMs)
 */
export function learnCut (
  db: AdmissionDb, serviceName: string, routeName: string, cutLevel: number, nowMs: Millis
): void {
  const cut = db.chainCuts.get(serviceName)?.get(routeName)
  if (cut === undefined) {
    if (cutLevel >= LEVEL_WORST) return
    const routes = db.chainCuts.get(serviceName) ?? new Map<string, ChainCut>()
    db.chainCuts.set(serviceName, routes.set(routeName, {
      level: LEVEL_WORST + (cutLevel - LEVEL_WORST) * LEARN_RATIO, learnedAtMs: nowMs
    }))
    return
  }
  const level = cutNow(db, cut, nowMs)
  cut.level = level + (cutLevel - level) * (cutLevel < level ? LEARN_RATIO : RELAX_RATIO)
  cut.learnedAtMs = nowMs
}

/**
 * Whether a root request may enter the chain behind a service and route.
 *
 * @example
 * passesChain(db, 'delivery-booking', 'book', 12, nowMs, random)
 */
export function passesChain (
  db: AdmissionDb, serviceName: string, routeName: string, level: number, nowMs: Millis, random: RandomSource
): boolean {
  if (!db.settings.chainAdmission) return true
  const cut = db.chainCuts.get(serviceName)?.get(routeName)
  if (cut === undefined || level <= cutNow(db, cut, nowMs)) return true
  return random() < PROBE_RATIO
}

/** Drops cuts that have expired. */
export function dropExpiredCuts (db: AdmissionDb, nowMs: Millis): void {
  for (const [serviceName, routes] of db.chainCuts) {
    for (const [routeName, cut] of routes) {
      if (nowMs - cut.learnedAtMs >= db.settings.chainCutTtlMs) routes.delete(routeName)
    }
    if (routes.size === 0) db.chainCuts.delete(serviceName)
  }
}
