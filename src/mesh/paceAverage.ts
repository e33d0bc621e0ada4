import type { Millis } from '../clock/clock.js'

/** Time constant of the average. Servers change their pace several times a second. */
const TIME_CONSTANT_MS: Millis = 200
/** Least weight of one statement, so that answers that arrive together count as well. */
const WEIGHT_MIN_RATIO = 0.05
/** A statement counts for this long, so that a server that stops to state its pace counts as one without. */
const LIFETIME_MS: Millis = 5_000

/**
 * Moving average of the pace that a backend server states.
 *
 * @example
 * pace.record(2, clock.monotonicMs())
 * pace.read(clock.monotonicMs()) // 2
 */
export class PaceAverage {
  #paceRatio = 1
  #statedAtMs: Millis = -Infinity

  /** Adds the pace of one answer; null if the answer states none. */
  record (paceRatio: number | null, nowMs: Millis): void {
    if (paceRatio === null) return
    const isFirst = nowMs - this.#statedAtMs > LIFETIME_MS
    const weight = Math.max(WEIGHT_MIN_RATIO, 1 - Math.exp((this.#statedAtMs - nowMs) / TIME_CONSTANT_MS))
    this.#paceRatio = isFirst ? paceRatio : this.#paceRatio + (paceRatio - this.#paceRatio) * weight
    this.#statedAtMs = nowMs
  }

  /** The average, or null if the server has stated no pace lately. */
  read (nowMs: Millis): number | null {
    return nowMs - this.#statedAtMs > LIFETIME_MS ? null : this.#paceRatio
  }

  clear (): void {
    this.#statedAtMs = -Infinity
  }
}
