import type { Millis } from '../../clock/clock.js'

/** How an answer of the backend server changed the limit in force. */
export enum LimitChange {
  Named = 'named',
  Changed = 'changed',
  Lifted = 'lifted',
  None = 'none'
}

/** What an answer says of the limit. */
export interface LimitAnswer {
  /** Requests a second that the backend server takes from all nodes together, or null when it names no limit. */
  readonly limitPerS: number | null
  /** When the request was sent. */
  readonly sentAtMs: Millis
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
