import type { Millis } from '../clock/clock.js'

interface Entry {
  readonly atMs: Millis
  readonly order: number
  readonly run: () => void
}

/** Events in the order of their times, those of one time in the order in which they were added. */
export class EventQueue {
  readonly #heap: Entry[] = []
  #order = 0
  nowMs: Millis = 0

  at (atMs: Millis, run: () => void): void {
    const heap = this.#heap
    heap.push({ atMs, order: this.#order++, run })
    let child = heap.length - 1
    while (child > 0) {
      const parent = (child - 1) >> 1
      if (!this.#precedes(child, parent)) break
      this.#swap(child, parent)
      child = parent
    }
  }

  in (delayMs: Millis, run: () => void): void {
    this.at(this.nowMs + delayMs, run)
  }

  /** Runs all events up to a time. */
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
    return a.atMs === b.atMs ? a.order < b.order : a.atMs < b.atMs
  }

  #swap (left: number, right: number): void {
    const heap = this.#heap
    const entry = heap[left]!
    heap[left] = heap[right]!
    heap[right] = entry
  }
}
