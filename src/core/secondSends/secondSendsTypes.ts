import type { Millis } from '../../clock/clock.js'

/** Fleet-wide bound on arrivals at a service beyond the first of each request. */
export interface SecondSendsSettings {
  /** Extra arrivals allowed for each request. */
  readonly budgetRatio: number
  /** Extra arrivals allowed over the whole fleet in each window besides. */
  readonly slackCount: number
  readonly windowMs: Millis
}
