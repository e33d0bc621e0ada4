import type { Millis } from '../../clock/clock.js'
import type { DiscoveryDb } from './discoveryDb.js'
import { ListSource, ServerState, type ListedServer, type ListEvent } from './discoveryTypes.js'

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

/**
 * Whether a list is from another era than the known one, and more recent. The era rises each time the store comes back
 * from a copy. A lower one counts only if this node has just read it from the store itself; what a peer sends was read
 * before. After that, a peer with the higher era is outdated as well.
 */
export function beginsEra (db: DiscoveryDb, era: number, source: ListSource, readAtMs: Millis): boolean {
  if (era === db.era) return false
  if (db.era < 0) return true
  switch (source) {
    case ListSource.Store: return era > db.era || readAtMs > db.eraReadAtMs
    case ListSource.Peer: return era > db.era && readAtMs >= db.eraReadAtMs
  }
}

type ReportCount = Pick<ListedServer, 'startedAtWallMs' | 'sequence'>

/** Whether two entries are of one incarnation of a server and differ in its own counts. */
export function hasComparableCounts (entry: ReportCount, other: ReportCount): boolean {
  return entry.startedAtWallMs !== 0 && entry.startedAtWallMs === other.startedAtWallMs &&
    entry.sequence !== other.sequence
}

/** Whether an entry was written before another one of the same server, as far as its own counts tell. */
export function isReportedBefore (entry: ReportCount, other: ReportCount): boolean {
  if (entry.startedAtWallMs === 0 || other.startedAtWallMs === 0) return false
  if (entry.startedAtWallMs !== other.startedAtWallMs) return entry.startedAtWallMs < other.startedAtWallMs
  return entry.sequence < other.sequence
}

/** Whether two entries with the same id describe different incarnations of a backend server. */
export function isOtherIncarnation (before: ListedServer, after: ListedServer): boolean {
  return before.startedAtWallMs !== after.startedAtWallMs || before.ip !== after.ip || before.port !== after.port ||
    before.serviceName !== after.serviceName
}

/** Whether an entry has changed by more than a heartbeat. */
export function hasChanged (before: ListedServer | undefined, after: ListedServer): boolean {
  return before === undefined || before.state !== after.state || before.slotsCount !== after.slotsCount ||
    isOtherIncarnation(before, after)
}

/** Whether an event changes which servers are used. */
export function affectsRouting ({ kind }: ListEvent): boolean {
  switch (kind) {
    case 'joined':
    case 'draining':
    case 'replaced':
    case 'left': return true
    case 'unknown_written':
    case 'unknown_removed': return false
  }
}

export function isReady (server: ListedServer): boolean {
  return server.state === ServerState.Ready
}
