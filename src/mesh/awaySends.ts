import type { Clock, Millis } from '../clock/clock.js'
import type { PlacementDb } from '../core/placement/placementDb.js'
import type { AwayReason } from '../core/placement/placementTypes.js'
import type { NodeLog } from './nodeLog.js'
import type { NodeMetrics } from './nodeMetrics.js'

/** Interval between two log lines, each on the service with the most sends. */
const LOG_INTERVAL_MS: Millis = 5_000

export interface AwaySendsOptions {
  readonly clock: Clock
  readonly log: NodeLog
  readonly metrics: NodeMetrics
  readonly placement: PlacementDb
}

/** Counts and logs the calls that this node sends to other data centres, with the reason. */
export class AwaySends {
  readonly #options: AwaySendsOptions
  readonly #counts = new Map<string, number>()
  #loggedAtMs: Millis = -Infinity

  constructor (options: AwaySendsOptions) {
    this.#options = options
  }

  record (serviceName: string, reason: AwayReason): void {
    const { clock, metrics } = this.#options
    metrics.incrementCounter('away_sends', { reason, service: serviceName })
    this.#counts.set(serviceName, (this.#counts.get(serviceName) ?? 0) + 1)
    const nowMs = clock.monotonicMs()
    if (nowMs - this.#loggedAtMs < LOG_INTERVAL_MS) return
    this.#loggedAtMs = nowMs
    this.#logBusiest(reason)
    this.#counts.clear()
  }

  #logBusiest (reason: AwayReason): void {
    const { log, placement } = this.#options
    const [serviceName, count] = [...this.#counts].reduce((most, one) => one[1] > most[1] ? one : most)
    const service = placement.services.get(serviceName)
    log.event('sends_to_other_data_centre', {
      service: serviceName,
      last_reason: reason,
      count,
      home_utilization: service?.home.utilizationRatio.toFixed(2),
      away_utilization: service?.away.utilizationRatio.toFixed(2),
      home_pace: service?.home.paceRatio.toFixed(2),
      away_pace: service?.away.paceRatio.toFixed(2)
    })
  }
}
