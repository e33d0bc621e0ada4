import type { Millis } from '../clock/clock.js'

interface ScheduledEvent {
  readonly atMs: Millis
  readonly sequence: number
  readonly run: () => void
}

/** Event queue of a discrete-event simulation: a binary heap by time; ties run in the order of scheduling. */
export class EventQueue {
  readonly #heap: ScheduledEvent[] = []
  #nextSequence = 0
  nowMs: Millis = 0

  scheduleAt (atMs: Millis, run: () => void): void {
    const heap = this.#heap
    heap.push({ atMs, sequence: this.#nextSequence++, run })
    let child = heap.length - 1
    while (child > 0) {
      const parent = (child - 1) >> 1
      if (!this.#precedes(child, parent)) break
      this.#swap(child, parent)
      child = parent
    }
  }

  scheduleIn (delayMs: Millis, run: () => void): void {
    this.scheduleAt(this.nowMs + delayMs, run)
  }

  /** Runs all events due up to `endMs` and advances the simulated time to it. */
  runUntil (endMs: Millis): void {
    for (let next = this.#heap[0]; next !== undefined && next.atMs <= endMs; next = this.#heap[0]) {
      this.#pop()
      this.nowMs = next.atMs
      next.run()
    }
    this.nowMs = endMs
  }

  #pop (): void {
    const heap = this.#heap
    const last = heap.pop()!
    if (heap.length === 0) return
    heap[0] = last
    let parent = 0
    for (;;) {
      let least = parent
      for (const child of [2 * parent + 1, 2 * parent + 2]) {
        if (child < heap.length && this.#precedes(child, least)) least = child
      }
      if (least === parent) return
      this.#swap(parent, least)
      parent = least
    }
  }

  #precedes (left: number, right: number): boolean {
    const a = this.#heap[left]!
    const b = this.#heap[right]!
    return a.atMs === b.atMs ? a.sequence < b.sequence : a.atMs < b.atMs
  }

  #swap (left: number, right: number): void {
    const heap = this.#heap
    const entry = heap[left]!
    heap[left] = heap[right]!
    heap[right] = entry
  }
}
