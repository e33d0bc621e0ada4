import type { FleetRetryBudgetSettings } from '../core/fleetRetryBudget/fleetRetryBudgetTypes.js'

/** Retry budget that the modelled deployments of the users specify. */
export const FLEET_RETRY_BUDGET_MODEL_SETTINGS: FleetRetryBudgetSettings = {
  budgetRatio: 0.2, slackCount: 50, windowMs: 10_000
}
