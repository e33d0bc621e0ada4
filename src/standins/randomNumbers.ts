import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import type { RandomSource } from '../core/coreTypes.js'

/**
 * Seeded pseudorandom source of numbers in [0, 1).
 *
 * @example
 * const random = seededRandom(7)
 * random() // the same first number for the same seed
 */
export function seededRandom (seed: number): RandomSource {
  const generator = xoroshiro128plus(seed)
  return () => (generator.next() >>> 0) / 0x1_0000_0000
}

/**
 * Draws a sample from an exponential distribution.
 *
 * @example
 * exponential(() => 0.5, 10) // 6.93
 */
export function sampleExponential (random: RandomSource, mean: number): number {
  return -Math.log(1 - random()) * mean
}

/** Picks a member with equal probability. The list must not be empty. */
export function pickRandomMember<T> (random: RandomSource, members: readonly T[]): T {
  return members[Math.floor(random() * members.length)] as T
}
