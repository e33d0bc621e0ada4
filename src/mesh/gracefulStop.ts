import type { Clock, Millis } from '../clock/clock.js'

/** Least time for which a stopping node accepts requests: callers leave after two failed checks, one second apart. */
const ACCEPTING_MIN_MS: Millis = 2_300
/** A stopping node that received no request for this long has no callers left. */
const CALLERS_IDLE_MS: Millis = 400
/** Share of the grace period after which a stopping node accepts no connections, even if requests still arrive. */
const ACCEPTING_MAX_RATIO = 0.75
/** After this time or share of the grace period it accepts only requests whose time limit ends within it. */
const ACCEPTING_ALL_MAX_MS: Millis = 3_000
const ACCEPTING_ALL_RATIO = 0.5
/** Time at the end of the grace period for closing connections, before the process is killed. */
const CLOSING_MARGIN_MS: Millis = 300
/** Time before that in which the last answers of servers are passed on. */
const ANSWERING_MARGIN_MS: Millis = 250

export enum StopPhase {
  Accepting = 'accepting',
  /** Accepts no more connections and waits for its open requests. */
  Closing = 'closing',
  Ended = 'ended'
}

/**
 * Course of a graceful stop, from the signal to the end of the process.
 *
 * @example
 * const stop = new GracefulStop(clock, 6_000)
 * stop.begin()
 * stop.mayAccept(1_200) // true
 */
export class GracefulStop {
  readonly #clock: Clock
  readonly #graceMs: Millis
  #beganAtMs: Millis | null = null

  constructor (clock: Clock, graceMs: Millis) {
    this.#clock = clock
    this.#graceMs = graceMs
  }

  /** Returns whether the stop begins now, and had not begun before. */
  begin (): boolean {
    if (this.isStopping) return false
    this.#beganAtMs = this.#clock.monotonicMs()
    return true
  }

  get isStopping (): boolean {
    return this.#beganAtMs !== null
  }

  get elapsedMs (): Millis {
    return this.#beganAtMs === null ? 0 : this.#clock.monotonicMs() - this.#beganAtMs
  }

  /**
   * Whether a request may be accepted that can take up to `timeoutMs`. One that is still running when the process ends
   * gets no answer although it may have run. Refused before it is passed on, it is certain not to have run.
   */
  mayAccept (timeoutMs: Millis): boolean {
    const { elapsedMs } = this
    if (elapsedMs < Math.min(ACCEPTING_ALL_MAX_MS, this.#graceMs * ACCEPTING_ALL_RATIO)) return true
    return this.#clock.monotonicMs() + timeoutMs < this.answerByMs
  }

  /**
   * When servers have to answer requests that are sent to them from now on, by the monotonic clock; infinite before the
   * stop. A server that is still at work when the process ends would be cut off.
   */
  get answerByMs (): Millis {
    if (this.#beganAtMs === null) return Infinity
    return this.#beganAtMs + this.#graceMs - CLOSING_MARGIN_MS - ANSWERING_MARGIN_MS
  }

  /** `lastReceivedAtMs` is when the last request arrived. */
  phase (isBusy: boolean, lastReceivedAtMs: Millis): StopPhase {
    const { elapsedMs } = this
    const hasCallers = this.#clock.monotonicMs() - lastReceivedAtMs < CALLERS_IDLE_MS
    if (elapsedMs < ACCEPTING_MIN_MS) return StopPhase.Accepting
    if (hasCallers && elapsedMs < this.#graceMs * ACCEPTING_MAX_RATIO) return StopPhase.Accepting
    return isBusy && elapsedMs < this.#graceMs - CLOSING_MARGIN_MS ? StopPhase.Closing : StopPhase.Ended
  }
}
