import type { SecondSendsSettings } from '../core/secondSends/secondSendsTypes.js'

/** Bound on second sends that the users' deployments state. */
export const SECOND_SENDS_MODEL_SETTINGS: SecondSendsSettings = { budgetRatio: 0.2, slackCount: 50, windowMs: 10_000 }
