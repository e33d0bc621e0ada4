import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator'
import { ManualClock, type Millis } from '../../clock/clock.js'

interface Task {
  readonly dueMs: Millis
  readonly order: number
  readonly run: () => void
}

function isBefore (a: Task, b: Task): boolean {
  return a.dueMs < b.dueMs || (a.dueMs === b.dueMs && a.order < b.order)
}

/** Discrete-event simulator with a manual clock and seeded random numbers; the same seed gives the same run. */
export class SoakSimulator {
  readonly clock = new ManualClock()
  readonly #heap: Task[] = []
  readonly #generator: RandomGenerator
  #nextOrder = 0

  constructor (seed: number) {
    this.#generator = xoroshiro128plus(seed)
  }

  get nowMs (): Millis {
    return this.clock.monotonicMs()
  }

  /** Random number in [0, 1). */
  random (): number {
    return uniformFloat64(this.#generator)
  }

  /** True with a probability of `ratio`. */
  randomBool (ratio: number): boolean {
    return this.random() < ratio
  }

  /** Random whole number from `min` up to and including `max`. */
  randomInt (min: number, max: number): number {
    return min + Math.floor(this.random() * (max - min + 1))
  }

  /** Random item of a non-empty list. */
  randomItem<T> (items: readonly T[]): T {
    const item = items[this.randomInt(0, items.length - 1)]
    if (item === undefined) throw new RangeError('cannot pick from an empty list')
    return item
  }

  /** Schedules a task to run after a delay. */
  schedule (delayMs: Millis, run: () => void): void {
    const task = { dueMs: this.nowMs + delayMs, order: this.#nextOrder++, run }
    let index = this.#heap.push(task) - 1
    while (index > 0) {
      const parent = (index - 1) >> 1
      if (!isBefore(task, this.#heap[parent]!)) break
      this.#heap[index] = this.#heap[parent]!
      index = parent
    }
    this.#heap[index] = task
  }

  /** Runs the next task; false when none is left. */
  runNextTask (): boolean {
    const task = this.#popTask()
    if (task === undefined) return false
    this.clock.advanceMs(task.dueMs - this.nowMs)
    task.run()
    return true
  }

  #popTask (): Task | undefined {
    const first = this.#heap[0]
    const last = this.#heap.pop()
    if (first === undefined || last === undefined || this.#heap.length === 0) return first
    let index = 0
    for (;;) {
      let child = 2 * index + 1
      if (child >= this.#heap.length) break
      if (child + 1 < this.#heap.length && isBefore(this.#heap[child + 1]!, this.#heap[child]!)) child++
      if (!isBefore(this.#heap[child]!, last)) break
      this.#heap[index] = this.#heap[child]!
      index = child
    }
    this.#heap[index] = last
    return first
  }
}
