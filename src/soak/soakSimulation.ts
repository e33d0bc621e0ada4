import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import type { Millis } from '../clock/clock.js'
import type { RandomSource } from '../core/coreTypes.js'

/** Unix time at which each run starts. */
export const START_WALL_MS = 1_750_000_000_000

interface Timer {
  readonly atMs: Millis
  readonly run: () => void
}

/** Discrete-event simulation of one run: the clock, the seeded random source and the timer queue. */
export class SoakSimulation {
  readonly random: RandomSource
  readonly #timers: Timer[] = []
  #nowMs: Millis = 0
  #stepsCount = 0

  constructor (seed: number) {
    const generator = xoroshiro128plus(seed)
    this.random = () => uniformFloat64(generator)
  }

  get nowMs (): Millis {
    return this.#nowMs
  }

  get stepsCount (): number {
    return this.#stepsCount
  }

  /** Runs a function after a delay; functions due at the same time run in the order in which they were added. */
  schedule (delayMs: Millis, run: () => void): void {
    const timer = { atMs: this.#nowMs + Math.max(0, delayMs), run }
    let low = 0
    let high = this.#timers.length
    // The timers are sorted in descending order, so that the next one due is popped off the end.
    while (low < high) {
      const middle = (low + high) >>> 1
      if (this.#timers[middle]!.atMs <= timer.atMs) high = middle
      else low = middle + 1
    }
    this.#timers.splice(low, 0, timer)
  }

  /** Calls a function periodically, first after a random part of the period, until the returned function is called. */
  scheduleEvery (periodMs: Millis, run: () => void): () => void {
    let active = true
    const next = (): void => {
      if (!active) return
      run()
      this.schedule(periodMs, next)
    }
    this.schedule(this.random() * periodMs, next)
    return () => { active = false }
  }

  /** Runs the next timer; returns false if none is left. */
  step (): boolean {
    const timer = this.#timers.pop()
    if (timer === undefined) return false
    this.#nowMs = timer.atMs
    this.#stepsCount += 1
    timer.run()
    return true
  }

  randomBool (ratio: number): boolean {
    return this.random() < ratio
  }

  randomBetween (low: number, high: number): number {
    return low + this.random() * (high - low)
  }

  pickRandom<T> (items: readonly T[]): T {
    const item = items[Math.floor(this.random() * items.length)]
    if (item === undefined) throw new RangeError('cannot pick from an empty list')
    return item
  }
}
