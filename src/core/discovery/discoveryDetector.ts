import type { Millis } from '../../clock/clock.js'
import type { DiscoveryDb } from './discoveryDb.js'
import { ServerState, type ListedServer } from './discoveryTypes.js'

/** Without list updates for this long, the store was unavailable or unreachable; normal updates come far more often. */
const OUTAGE_AFTER_MS: Millis = 2_500

/**
 * Whether a read at `readAtMs` is the first update after an outage. An entry that
 * it no longer contains may only have lapsed: its heartbeats could not be written
 * while the store was unavailable.
 */
export function isFirstReadAfterOutage (db: DiscoveryDb, readAtMs: Millis): boolean {
  return db.newestReadAtMs > -Infinity && readAtMs - db.newestReadAtMs >= OUTAGE_AFTER_MS
}

/** Whether two entries with the same id describe different incarnations of a backend server. */
export function isOtherIncarnation (before: ListedServer, after: ListedServer): boolean {
  return before.startedAtWallMs !== after.startedAtWallMs || before.ip !== after.ip || before.port !== after.port ||
    before.serviceName !== after.serviceName
}

/** Whether a change of an entry affects routing; a heartbeat alone does not. */
export function affectsRouting (before: ListedServer | undefined, after: ListedServer): boolean {
  return before === undefined || before.state !== after.state || before.slotsCount !== after.slotsCount ||
    isOtherIncarnation(before, after)
}

export function isReady (server: ListedServer): boolean {
  return server.state === ServerState.Ready
}
