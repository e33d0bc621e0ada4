import type { Millis } from '../../clock/clock.js'
import type { DiscoveryDb } from './discoveryDb.js'
import { ServerState, type ListedServer } from './discoveryTypes.js'

/** Without news for this long the store or the way to it was out of order; healthy reads come far more often. */
const OUTAGE_AFTER_MS: Millis = 2_500

/**
 * Whether a removal that a read at `readAtMs` shows may be a lapse: heartbeats
 * that could not be written because the store was away.
 */
export function mayBeLapse (db: DiscoveryDb, readAtMs: Millis): boolean {
  return db.freshAtMs > -Infinity && readAtMs - db.freshAtMs >= OUTAGE_AFTER_MS
}

/** Whether two entries of one id describe different incarnations of a backend server. */
export function isOtherIncarnation (before: ListedServer, after: ListedServer): boolean {
  return before.startedAtWallMs !== after.startedAtWallMs || before.ip !== after.ip || before.port !== after.port ||
    before.serviceName !== after.serviceName
}

/** Whether a change of an entry matters to routing; a heartbeat alone does not. */
export function mattersToRouting (before: ListedServer | undefined, after: ListedServer): boolean {
  return before === undefined || before.state !== after.state || before.slotsCount !== after.slotsCount ||
    isOtherIncarnation(before, after)
}

export function isReady (server: ListedServer): boolean {
  return server.state === ServerState.Ready
}
