import type { Millis } from '../../clock/clock.js'
import type { ListedChange, ListedServer } from './discoveryTypes.js'

/** State of the discovery module: the server list as known at this node, with indexes. */
export interface DiscoveryDb {
  readonly servers: Map<string, ListedServer>
  byService: Map<string, ListedServer[]>
  /** Latest incarnation at each `ip:port`. */
  byAddress: Map<string, ListedServer>
  /** Revision of the store up to which all changes that affect routing are known; -1 before the first read. */
  revision: number
  /** When the newest information on the list left the store, by this node's monotonic clock. */
  newestReadAtMs: Millis
  /** The latest changes, which are complete from `changesAfterRevision` on. */
  readonly recentChanges: ListedChange[]
  changesAfterRevision: number
  /** Revision at which each entry was removed, so that an older copy from a peer does not restore it. */
  readonly removedAtRevision: Map<string, number>
  /** Servers whose entries lapsed during an outage of the store, with the time until which they are still used. */
  readonly lapsedKeptUntilMs: Map<string, Millis>
}

/** Largest number of removals kept; a peer's copy of the list lags behind by far fewer. */
const REMOVALS_MAX_COUNT = 5_000

/** Largest number of changes kept for nodes that lag behind. */
const RECENT_CHANGES_MAX_COUNT = 200

/** Keeps changes for nodes that lag behind, and drops the oldest ones beyond the maximum. */
export function recordRecentChanges (db: DiscoveryDb, changes: readonly ListedChange[]): void {
  db.recentChanges.push(...changes)
  const surplus = db.recentChanges.length - RECENT_CHANGES_MAX_COUNT
  if (surplus <= 0) return
  for (const change of db.recentChanges.splice(0, surplus)) {
    db.changesAfterRevision = Math.max(db.changesAfterRevision, revisionOf(change))
  }
}

/** Forgets the changes, because some were missed before this revision. */
export function restartRecentChanges (db: DiscoveryDb, revision: number): void {
  db.recentChanges.length = 0
  db.changesAfterRevision = revision
}

export function revisionOf (change: ListedChange): number {
  return change.kind === 'written' ? change.server.revision : change.revision
}

/** Records the revision at which an entry was removed, and drops the oldest record beyond the maximum. */
export function recordRemoval (db: DiscoveryDb, serverId: string, revision: number): void {
  db.removedAtRevision.set(serverId, revision)
  if (db.removedAtRevision.size <= REMOVALS_MAX_COUNT) return
  db.removedAtRevision.delete(db.removedAtRevision.keys().next().value!)
}

/** Creates the state of a node that has not read the list yet. */
export function createDiscoveryDb (): DiscoveryDb {
  return {
    servers: new Map(),
    byService: new Map(),
    byAddress: new Map(),
    revision: -1,
    newestReadAtMs: -Infinity,
    recentChanges: [],
    changesAfterRevision: -1,
    removedAtRevision: new Map(),
    lapsedKeptUntilMs: new Map()
  }
}

/** Resets the state to that of a node that has not read the list yet. */
export function clearDiscoveryDb (db: DiscoveryDb): void {
  db.servers.clear()
  db.byService = new Map()
  db.byAddress = new Map()
  db.revision = -1
  db.newestReadAtMs = -Infinity
  db.recentChanges.length = 0
  db.changesAfterRevision = -1
  db.removedAtRevision.clear()
  db.lapsedKeptUntilMs.clear()
}

/**
 * Whether `candidate` describes a later incarnation than `other` at the same address.
 * The entry of a crashed server stays until it expires, even after its successor
 * has started. Start times decide if both entries have one, else revisions.
 */
function isLaterIncarnation (candidate: ListedServer, other: ListedServer): boolean {
  if (
    candidate.startedAtWallMs > 0 && other.startedAtWallMs > 0 && candidate.startedAtWallMs !== other.startedAtWallMs
  ) {
    return candidate.startedAtWallMs > other.startedAtWallMs
  }
  return candidate.revision > other.revision
}

/** Rebuilds the indexes after a change that affects routing. They contain the latest incarnation at each address. */
export function rebuildIndexes (db: DiscoveryDb): void {
  const byService = new Map<string, ListedServer[]>()
  const byAddress = new Map<string, ListedServer>()
  for (const server of db.servers.values()) {
    const address = `${server.ip}:${server.port}`
    const other = byAddress.get(address)
    if (other === undefined || isLaterIncarnation(server, other)) byAddress.set(address, server)
  }
  for (const server of byAddress.values()) {
    const servers = byService.get(server.serviceName)
    if (servers === undefined) byService.set(server.serviceName, [server])
    else servers.push(server)
  }
  db.byService = byService
  db.byAddress = byAddress
}
