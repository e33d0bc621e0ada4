import type { Millis } from '../../clock/clock.js'

/** How an answer of the backend server changed the limit in force. */
export enum LimitChange {
  Named = 'named',
  Changed = 'changed',
  Lifted = 'lifted',
  None = 'none'
}

/** Requests sent to the backend server lately, beside the limit that it names. */
export interface LimitReport {
  readonly limitPerS: number
  /** Requests sent in the last `windowMs`. */
  readonly sentCount: number
  /** Those of them that were retries, or sub-calls of retried calls. */
  readonly repeatedCount: number
  readonly windowMs: Millis
}
