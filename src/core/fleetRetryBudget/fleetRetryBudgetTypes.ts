import type { Millis } from '../../clock/clock.js'

/** Fleet-wide retry budget of a service: bounds how often its backend servers receive a request again. */
export interface FleetRetryBudgetSettings {
  /** Retries allowed per request. */
  readonly budgetRatio: number
  /** Further retries allowed in each window, over all nodes of the fleet together. */
  readonly slackCount: number
  /** Length of the sliding window over which the budget holds. */
  readonly windowMs: Millis
}
