import type { FleetRetryBudgetSettings } from '../core/fleetRetryBudget/fleetRetryBudgetTypes.js'

/** Bound on second sends that the users' deployments state. */
export const FLEET_RETRY_BUDGET_MODEL_SETTINGS: FleetRetryBudgetSettings = {
  budgetRatio: 0.2, slackCount: 50, windowMs: 10_000
}
