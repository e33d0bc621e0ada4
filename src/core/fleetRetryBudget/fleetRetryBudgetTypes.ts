import type { Millis } from '../../clock/clock.js'

/** Fleet-wide retry budget of a service: bounds the arrivals beyond the first of each request. */
export interface FleetRetryBudgetSettings {
  /** Extra arrivals allowed per request. */
  readonly budgetRatio: number
  /** Further extra arrivals allowed in each window, over the whole fleet. */
  readonly slackCount: number
  /** Length of the sliding window over which the budget holds. */
  readonly windowMs: Millis
}
