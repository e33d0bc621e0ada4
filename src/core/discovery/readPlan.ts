import type { Millis } from '../../clock/clock.js'
import { hash32 } from '../hash.js'
import type { ListedServer } from './discoveryTypes.js'

/** How often the first reader reads; well below the bounds on draining and configuration, and each read is charged. */
export const READ_PERIOD_MS: Millis = 500
/** Wait of a node that knows no other one: nobody depends on its news. A fleet that starts consists of such nodes. */
const ALONE_WAIT_MS: Millis = 2_000
/** A reader that has been silent for this long beyond its period is followed by the next one. */
const TAKE_OVER_STEP_MS: Millis = 250
/** Ranks beyond this all wait equally long, so that the last node of a large data centre is not far behind. */
const STEPS_MAX_COUNT = 4

export interface ReaderPlace {
  readonly ip: string
  readonly dataCentre: string
}

/** Order of the nodes as readers: the same at all nodes with the same list, and without regard to data centres. */
function precedes (left: string, right: string): boolean {
  const leftHash = hash32(left)
  const rightHash = hash32(right)
  return leftHash === rightHash ? left < right : leftHash < rightHash
}

/**
 * How old the list may become before this node reads the store itself. One node
 * of the fleet reads without a pause and tells the others; the nodes of each data
 * centre follow it in a fixed order when they hear nothing.
 *
 * @example
 * readAfterMs(place, servers) // 0 at the first reader, 750 at the first of another data centre
 */
export function readAfterMs (own: ReaderPlace, servers: Iterable<ListedServer>): Millis {
  let isFirst = true
  let precedingCount = 0
  for (const { ip, dataCentre } of servers) {
    if (ip === own.ip || !precedes(ip, own.ip)) continue
    isFirst = false
    if (dataCentre === own.dataCentre) precedingCount += 1
  }
  return isFirst ? 0 : READ_PERIOD_MS + TAKE_OVER_STEP_MS * Math.min(STEPS_MAX_COUNT, 1 + precedingCount)
}

/**
 * How long a read may wait for a change. The answer also tells the others that
 * nothing has changed, so it must not come later than they expect news.
 *
 * @example
 * watchWaitMs(0, 13) // 500: the list is fresh
 * watchWaitMs(750, 13) // 0: the others wait for news already
 */
export function watchWaitMs (listAgeMs: Millis, serversCount: number): Millis {
  if (serversCount <= 1) return ALONE_WAIT_MS
  return Math.max(0, Math.min(READ_PERIOD_MS, Math.round(READ_PERIOD_MS - listAgeMs)))
}
