import type { Millis } from '../clock/clock.js'

/** Rate of events as an exponentially weighted average, which costs one addition per update. */
export interface DecayingRate {
  ratePerS: number
  updatedAtMs: Millis
}

export function createDecayingRate (nowMs: Millis): DecayingRate {
  return { ratePerS: 0, updatedAtMs: nowMs }
}

/** The rate at a time, without events since the last update. */
export function rateAt (rate: DecayingRate, timeConstantMs: Millis, nowMs: Millis): number {
  return rate.ratePerS * Math.exp(-Math.max(0, nowMs - rate.updatedAtMs) / timeConstantMs)
}

/**
 * Adds events to the rate.
 *
 * @example
 * addToRate(rate, 3, 500, nowMs)
 */
export function addToRate (rate: DecayingRate, eventsCount: number, timeConstantMs: Millis, nowMs: Millis): void {
  rate.ratePerS = rateAt(rate, timeConstantMs, nowMs) + eventsCount * 1000 / timeConstantMs
  rate.updatedAtMs = nowMs
}
