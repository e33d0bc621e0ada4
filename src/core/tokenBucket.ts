import type { Millis } from '../clock/clock.js'

/** Level of a token bucket at a time; its rate and capacity are held by its owner. */
export interface TokenLevel {
  readonly tokensCount: number
  /** Time up to which tokens have been added. */
  readonly refilledAtMs: Millis
}

/**
 * Tokens in a bucket at a later time, not necessarily a whole number; below zero for a bucket in debt.
 *
 * @example
 * tokensAfterRefill({ tokensCount: 2, refilledAtMs: 0 }, 10, 5, 100) // 3
 */
export function tokensAfterRefill (level: TokenLevel, ratePerS: number, capacityCount: number, nowMs: Millis): number {
  const addedCount = Math.max(0, nowMs - level.refilledAtMs) * ratePerS / 1000
  return Math.min(capacityCount, level.tokensCount + addedCount)
}
