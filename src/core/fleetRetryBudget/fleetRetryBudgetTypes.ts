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

/** Calls that arrived at one backend server within the window of the budget, as its node counted them. */
export interface ArrivalReport {
  readonly firstCount: number
  /** Arrivals of calls that another server or this one received before, and of sub-calls of such calls. */
  readonly repeatedCount: number
}

/** Who asks for a retry. */
export interface RetryRequest {
  readonly serviceName: string
  /** Number of listed servers of the service. */
  readonly serversCount: number
  /** Importance rank of the root request; 0 is the most important. */
  readonly rootImportanceRank: number
  /**
   * Whether all servers of the service refuse calls with free slots, so that the nodes admit only the chains that are
   * first in the order.
   */
  readonly isServiceRefusing: boolean
  /** Id of the root request: all calls of one chain get the same place in the order of retries. */
  readonly rootId: string
}
