interface Waiting {
  start (): void
}

/**
 * Slots of a backend server. Calls beyond the slots wait in order of arrival.
 *
 * @example
 * const slots = new SlotQueue(2, 10)
 * const give = slots.take(() => run())
 */
export class SlotQueue {
  readonly slotsCount: number
  readonly #queueCount: number
  readonly #waiting = new Set<Waiting>()
  #usedCount = 0

  constructor (slotsCount: number, queueCount: number) {
    this.slotsCount = slotsCount
    this.#queueCount = queueCount
  }

  get usedCount (): number {
    return this.#usedCount
  }

  get waitingCount (): number {
    return this.#waiting.size
  }

  /**
   * Calls `start` once a slot is free; each start needs one `release`. Returns a
   * function that leaves the queue, or undefined when the queue is full.
   */
  take (start: () => void): (() => void) | undefined {
    if (this.#usedCount < this.slotsCount) {
      this.#usedCount += 1
      start()
      return () => {}
    }
    if (this.#waiting.size >= this.#queueCount) return undefined
    const entry = { start }
    this.#waiting.add(entry)
    return () => { this.#waiting.delete(entry) }
  }

  /** Frees a slot, which goes to the call that has waited longest. */
  release (): void {
    const [next] = this.#waiting
    if (next === undefined) {
      this.#usedCount -= 1
      return
    }
    this.#waiting.delete(next)
    next.start()
  }
}
