/** A point in time or a duration, in milliseconds. */
export type Millis = number

/**
 * Source of time. `monotonicMs` never goes back and is used for durations and
 * deadlines; `wallMs` is Unix time, used in call records and in the timestamps of
 * idempotency keys.
 */
export interface Clock {
  monotonicMs (): Millis
  wallMs (): Millis
}

/** Clock of the operating system. */
export const systemClock: Clock = {
  monotonicMs: () => performance.now(),
  wallMs: () => Date.now()
}

/**
 * Clock for tests and simulations that moves only when `advanceMs` is called.
 *
 * @example
 * const clock = new ManualClock(0)
 * clock.advanceMs(250)
 * clock.monotonicMs() // 250
 */
export class ManualClock implements Clock {
  readonly #wallOffsetMs: Millis
  #nowMs: Millis

  constructor (startMs: Millis = 0, wallOffsetMs: Millis = 1_700_000_000_000) {
    this.#nowMs = startMs
    this.#wallOffsetMs = wallOffsetMs
  }

  monotonicMs (): Millis {
    return this.#nowMs
  }

  wallMs (): Millis {
    return this.#nowMs + this.#wallOffsetMs
  }

  /** Moves the clock forward. Throws a RangeError for a negative step. */
  advanceMs (stepMs: Millis): void {
    if (stepMs < 0) throw new RangeError(`cannot move the clock back by ${-stepMs} ms`)
    this.#nowMs += stepMs
  }
}
