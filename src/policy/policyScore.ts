import type { Millis } from '../clock/clock.js'
import type { ModelPlan, ModelResult, ModelRoute, RouteResult } from './policyTypes.js'

const WINDOW_MS: Millis = 2_000
/** Requests near the end of a run have no time to come back. */
const TAIL_MS: Millis = 2_000
/** Part of what was served before the troubles that counts as recovered. */
const RECOVERED_RATIO = 0.95

interface Window {
  owed: number
  earned: number
}

/** Counts what a run of the model earned. */
export class PolicyScore {
  readonly #plan: ModelPlan
  readonly #routes: Record<string, RouteResult> = {}
  readonly #windows: Window[]
  #workMs = 0
  #wastedMs = 0

  constructor (plan: ModelPlan) {
    this.#plan = plan
    this.#windows = Array.from({ length: Math.ceil(plan.lengthMs / WINDOW_MS) }, () => ({ owed: 0, earned: 0 }))
    for (const route of plan.routes) {
      if (route.worth > 0) this.#routes[route.name] = { asked: 0, inTime: 0, late: 0, refused: 0, failed: 0 }
    }
  }

  asked (route: ModelRoute, atMs: Millis): void {
    this.#routes[route.name]!.asked += 1
    this.#windowAt(atMs).owed += route.worth
  }

  served (route: ModelRoute, firstAtMs: Millis, nowMs: Millis): void {
    const isInTime = nowMs - firstAtMs <= route.objectiveMs
    this.#routes[route.name]![isInTime ? 'inTime' : 'late'] += 1
    if (isInTime) this.#windowAt(firstAtMs).earned += route.worth
  }

  lost (route: ModelRoute, kind: 'refused' | 'failed'): void {
    this.#routes[route.name]![kind] += 1
  }

  worked (workMs: Millis, isUseful: boolean): void {
    this.#workMs += workMs
    if (!isUseful) this.#wastedMs += workMs
  }

  result (): ModelResult {
    const windows = this.#windows.slice(0, Math.floor((this.#plan.lengthMs - TAIL_MS) / WINDOW_MS))
    const ratios = windows.map(({ owed, earned }) => owed === 0 ? 1 : earned / owed)
    const owed = windows.reduce((sum, window) => sum + window.owed, 0)
    const earned = windows.reduce((sum, window) => sum + window.earned, 0)
    return {
      worthRatio: earned / owed,
      worstRatio: Math.min(...ratios.slice(1)),
      routes: this.#routes,
      wastedRatio: this.#workMs === 0 ? 0 : this.#wastedMs / this.#workMs,
      recoveryMs: this.#recoveryMs(ratios)
    }
  }

  #windowAt (atMs: Millis): Window {
    return this.#windows[Math.min(this.#windows.length - 1, Math.floor(atMs / WINDOW_MS))]!
  }

  #recoveryMs (ratios: readonly number[]): Millis | null {
    const { troubles } = this.#plan
    if (troubles.length === 0) return null
    const firstMs = Math.min(...troubles.map(trouble => trouble.fromMs))
    const endMs = Math.max(...troubles.map(trouble => trouble.toMs))
    const before = ratios.slice(1, Math.max(2, Math.floor(firstMs / WINDOW_MS)))
    const usual = before.reduce((sum, ratio) => sum + ratio, 0) / before.length
    const at = ratios.findIndex((ratio, index) => index * WINDOW_MS >= endMs && ratio >= usual * RECOVERED_RATIO)
    return at < 0 ? null : at * WINDOW_MS - endMs
  }
}
