import type { Millis } from '../clock/clock.js'
import type { ModelPlan, ModelResult, ModelRoute, RouteResult } from './policyTypes.js'

const WINDOW_MS: Millis = 2_000
/** Excluded at the end of a run: requests sent that late may not complete before the run ends. */
const TAIL_MS: Millis = 2_000
/** Fraction of the goodput before the disturbances at which the fleet counts as recovered. */
const RECOVERED_RATIO = 0.95

interface Window {
  offeredWeight: number
  servedInTimeWeight: number
}

/** Computes the goodput, wasted work and recovery time of a model run. */
export class PolicyScore {
  readonly #plan: ModelPlan
  readonly #routes: Record<string, RouteResult> = {}
  readonly #windows: Window[]
  #workMs = 0
  #wastedMs = 0

  constructor (plan: ModelPlan) {
    this.#plan = plan
    this.#windows = Array.from(
      { length: Math.ceil(plan.durationMs / WINDOW_MS) }, () => ({ offeredWeight: 0, servedInTimeWeight: 0 })
    )
    for (const route of plan.routes) {
      if (route.goodputWeight > 0) this.#routes[route.name] = { offered: 0, inTime: 0, late: 0, refused: 0, failed: 0 }
    }
  }

  recordOffered (route: ModelRoute, atMs: Millis): void {
    this.#routes[route.name]!.offered += 1
    this.#windowAt(atMs).offeredWeight += route.goodputWeight
  }

  recordServed (route: ModelRoute, firstSentAtMs: Millis, nowMs: Millis): void {
    const isInTime = nowMs - firstSentAtMs <= route.objectiveMs
    this.#routes[route.name]![isInTime ? 'inTime' : 'late'] += 1
    if (isInTime) this.#windowAt(firstSentAtMs).servedInTimeWeight += route.goodputWeight
  }

  recordLost (route: ModelRoute, kind: 'refused' | 'failed'): void {
    this.#routes[route.name]![kind] += 1
  }

  recordWork (workMs: Millis, isUseful: boolean): void {
    this.#workMs += workMs
    if (!isUseful) this.#wastedMs += workMs
  }

  createResult (): ModelResult {
    const windows = this.#windows.slice(0, Math.floor((this.#plan.durationMs - TAIL_MS) / WINDOW_MS))
    const ratios = windows.map(({ offeredWeight, servedInTimeWeight }) =>
      offeredWeight === 0 ? 1 : servedInTimeWeight / offeredWeight)
    const offeredWeight = windows.reduce((sum, window) => sum + window.offeredWeight, 0)
    const servedInTimeWeight = windows.reduce((sum, window) => sum + window.servedInTimeWeight, 0)
    return {
      goodputRatio: servedInTimeWeight / offeredWeight,
      worstGoodputRatio: Math.min(...ratios.slice(1)),
      routes: this.#routes,
      wastedRatio: this.#workMs === 0 ? 0 : this.#wastedMs / this.#workMs,
      recoveryMs: this.#recoveryMs(ratios)
    }
  }

  #windowAt (atMs: Millis): Window {
    return this.#windows[Math.min(this.#windows.length - 1, Math.floor(atMs / WINDOW_MS))]!
  }

  #recoveryMs (ratios: readonly number[]): Millis | null {
    const { disturbances } = this.#plan
    if (disturbances.length === 0) return null
    const firstMs = Math.min(...disturbances.map(disturbance => disturbance.fromMs))
    const endMs = Math.max(...disturbances.map(disturbance => disturbance.toMs))
    const baselineRatios = ratios.slice(1, Math.max(2, Math.floor(firstMs / WINDOW_MS)))
    const baselineRatio = baselineRatios.reduce((sum, ratio) => sum + ratio, 0) / baselineRatios.length
    const recoveredIndex = ratios.findIndex((ratio, index) =>
      index * WINDOW_MS >= endMs && ratio >= baselineRatio * RECOVERED_RATIO)
    return recoveredIndex < 0 ? null : recoveredIndex * WINDOW_MS - endMs
  }
}
