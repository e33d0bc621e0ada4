import type { Millis } from '../../clock/clock.js'
import { hash32 } from '../hash.js'
import type { ListedServer } from './discoveryTypes.js'

/**
 * Period of the first reader. It is well below the time limits for draining and
 * configuration changes, and not shorter because each read of the store is billed.
 */
export const READ_PERIOD_MS: Millis = 500
/**
 * How long a watch of the store waits at a node that knows no other node. No peer
 * expects updates from it. When a whole fleet starts at once, every node is in this
 * state, so a long wait limits the reads.
 */
const SINGLE_NODE_WAIT_MS: Millis = 2_000
/** Each further reader waits this much longer for updates before it takes over and reads the store. */
const TAKEOVER_STEP_MS: Millis = 250
/** Readers of a data centre that follow each other in short steps; each further one waits a long step more. */
const TAKEOVER_SHORT_STEPS_COUNT = 3
/** The store may be unavailable for everyone, so a whole data centre must not read it at once. */
const TAKEOVER_LONG_STEP_MS: Millis = 1_000

/** Address and data centre of a node, which determine when it reads. */
export interface ReaderLocation {
  readonly ip: string
  readonly dataCentre: string
}

/**
 * Order in which nodes become readers, by a hash of their address. It is the
 * same at all nodes with the same list and independent of data centres.
 */
function isEarlierReader (left: string, right: string): boolean {
  const leftHash = hash32(left)
  const rightHash = hash32(right)
  return leftHash === rightHash ? left < right : leftHash < rightHash
}

/**
 * How old the list may become before this node reads the store itself. One node
 * of the fleet reads continuously and sends updates to the others. When these
 * stop, the nodes of each data centre take over in a fixed order.
 *
 * @example
 * readAfterMs(own, servers) // 0 at the first reader, 750 at the first of another data centre
 */
export function readAfterMs (own: ReaderLocation, servers: Iterable<ListedServer>): Millis {
  let isFirstReader = true
  let earlierReadersCount = 0
  for (const { ip, dataCentre } of servers) {
    if (ip === own.ip || !isEarlierReader(ip, own.ip)) continue
    isFirstReader = false
    if (dataCentre === own.dataCentre) earlierReadersCount += 1
  }
  if (isFirstReader) return 0
  const shortStepsCount = Math.min(TAKEOVER_SHORT_STEPS_COUNT, earlierReadersCount) + 1
  const longStepsCount = Math.max(0, earlierReadersCount - TAKEOVER_SHORT_STEPS_COUNT)
  return READ_PERIOD_MS + TAKEOVER_STEP_MS * shortStepsCount + TAKEOVER_LONG_STEP_MS * longStepsCount
}

/**
 * How long a watch of the store may wait for a change. Its answer also tells the
 * other nodes that nothing has changed, so it must arrive before they take over.
 *
 * @example
 * watchWaitMs(0, 13) // 500: the list is fresh
 * watchWaitMs(750, 13) // 0: the other nodes already expect an update
 */
export function watchWaitMs (listAgeMs: Millis, serversCount: number): Millis {
  if (serversCount <= 1) return SINGLE_NODE_WAIT_MS
  return Math.max(0, Math.min(READ_PERIOD_MS, Math.round(READ_PERIOD_MS - listAgeMs)))
}
