import type { Millis } from '../../clock/clock.js'
import { createSlidingCount, type SlidingCount } from '../slidingCount.js'

/** Window of the counts of sent requests. */
export const LIMIT_WINDOW_MS: Millis = 4_000

/** State of the rate limit of this node's backend server. */
export interface RateLimitDb {
  /** Requests a second that the backend server takes from all nodes together, or null while it names no limit. */
  limitPerS: number | null
  /** When the limit was last named, in an answer or by a peer. */
  namedAtMs: Millis
  /** Whether the backend server has answered this process; until then peers may know of a limit. */
  hasAnswered: boolean
  /** Requests that may start at once (token bucket). */
  tokens: number
  refilledAtMs: Millis
  readonly sent: SlidingCount
  readonly repeated: SlidingCount
}

export function createRateLimitDb (): RateLimitDb {
  return {
    limitPerS: null,
    namedAtMs: -Infinity,
    hasAnswered: false,
    tokens: 0,
    refilledAtMs: -Infinity,
    sent: createSlidingCount(LIMIT_WINDOW_MS),
    repeated: createSlidingCount(LIMIT_WINDOW_MS)
  }
}

/** Resets the state to that of a node whose backend server has not answered yet, as after its replacement. */
export function clearRateLimitDb (db: RateLimitDb): void {
  db.limitPerS = null
  db.namedAtMs = -Infinity
  db.hasAnswered = false
  db.tokens = 0
  db.refilledAtMs = -Infinity
  for (const count of [db.sent, db.repeated]) {
    count.slices.fill(0)
    count.total = 0
  }
}
