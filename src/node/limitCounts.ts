import type { Clock, Millis } from '../clock/clock.js'
import { log } from '../log/log.js'

/** Limits on what peers make the process hold. */
export enum NodeLimit {
  /** Memory for bodies and answers (`--memory-mb`). */
  Memory = 'memory',
  /** Requests on one connection that wait for their answers. */
  PipelinedRequests = 'pipelined_requests',
  /** Connections to the operators' address. */
  OperatorConnections = 'operator_connections'
}

/** Least time between two log lines of the same limit. */
const LOG_PERIOD_MS: Millis = 1_000

/**
 * Counts how often limits are exceeded, and logs it at most once a second for each.
 *
 * @example
 * limits.record(NodeLimit.PipelinedRequests)
 */
export class LimitCounts {
  readonly #clock: Clock
  readonly #counts = new Map<NodeLimit, number>()
  readonly #loggedAtMs = new Map<NodeLimit, Millis>()

  constructor (clock: Clock) {
    this.#clock = clock
  }

  get counts (): ReadonlyMap<NodeLimit, number> {
    return this.#counts
  }

  record (limit: NodeLimit, fields: Record<string, unknown> = {}): void {
    const count = (this.#counts.get(limit) ?? 0) + 1
    this.#counts.set(limit, count)
    const nowMs = this.#clock.monotonicMs()
    if (nowMs - (this.#loggedAtMs.get(limit) ?? -Infinity) < LOG_PERIOD_MS) return
    this.#loggedAtMs.set(limit, nowMs)
    log.info({ event: 'limit_exceeded', limit, count, ...fields })
  }
}
