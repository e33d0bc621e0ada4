interface WaitingCall {
  start (): void
}

/**
 * Slots of a backend server, with a bounded FIFO queue of calls that wait for one.
 *
 * @example
 * const slots = new SlotQueue(2, 10)
 * const cancelWait = slots.acquire(() => run())
 */
export class SlotQueue {
  readonly slotsCount: number
  readonly #maxWaitingCount: number
  readonly #waitingCalls = new Set<WaitingCall>()
  #usedCount = 0

  constructor (slotsCount: number, maxWaitingCount: number) {
    this.slotsCount = slotsCount
    this.#maxWaitingCount = maxWaitingCount
  }

  get usedCount (): number {
    return this.#usedCount
  }

  get waitingCount (): number {
    return this.#waitingCalls.size
  }

  /**
   * Calls `start` once a slot is free; each started call must `release` its slot.
   * Returns a function that cancels the wait, or undefined when the queue is full.
   */
  acquire (start: () => void): (() => void) | undefined {
    if (this.#usedCount < this.slotsCount) {
      this.#usedCount += 1
      start()
      return () => {}
    }
    if (this.#waitingCalls.size >= this.#maxWaitingCount) return undefined
    const waitingCall = { start }
    this.#waitingCalls.add(waitingCall)
    return () => { this.#waitingCalls.delete(waitingCall) }
  }

  /** Frees a slot and gives it to the call that has waited longest. */
  release (): void {
    const [next] = this.#waitingCalls
    if (next === undefined) {
      this.#usedCount -= 1
      return
    }
    this.#waitingCalls.delete(next)
    next.start()
  }
}
