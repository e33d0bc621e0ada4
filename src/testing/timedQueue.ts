import type { Millis } from '../clock/clock.js'

export interface TimedEvent {
  readonly atMs: Millis
  readonly run: () => void
}

/**
 * Events of a simulation in the order of their times: a binary heap.
 *
 * @example
 * queue.add(5, () => {})
 * queue.take()?.atMs // 5
 */
export class TimedQueue {
  readonly #heap: TimedEvent[] = []

  add (atMs: Millis, run: () => void): void {
    const heap = this.#heap
    const event = { atMs, run }
    let at = heap.length
    heap.push(event)
    while (at > 0) {
      const parent = (at - 1) >> 1
      if (heap[parent]!.atMs <= atMs) break
      heap[at] = heap[parent]!
      at = parent
    }
    heap[at] = event
  }

  /** Removes the earliest event, or returns undefined if there is none. */
  take (): TimedEvent | undefined {
    const heap = this.#heap
    const first = heap[0]
    const last = heap.pop()
    if (first === undefined || heap.length === 0) return first
    let at = 0
    for (;;) {
      let child = 2 * at + 1
      if (child >= heap.length) break
      if (child + 1 < heap.length && heap[child + 1]!.atMs < heap[child]!.atMs) child += 1
      if (heap[child]!.atMs >= last!.atMs) break
      heap[at] = heap[child]!
      at = child
    }
    heap[at] = last!
    return first
  }
}
