import type { Millis } from '../../clock/clock.js'
import type { ListedChange, ListedServer } from './discoveryTypes.js'

/** What is known of a server whose entry was removed. */
export interface Removal {
  readonly revision: number
  /** Start time and sequence of its last entry, 0 and -1 if none was known. */
  readonly startedAtWallMs: Millis
  readonly sequence: number
}

export interface DiscoverySettings {
  /** Interval at which backend servers renew their entries in the store. */
  readonly heartbeatPeriodMs: Millis
}

/** State of the discovery module: the server list as known at this node, with indexes. */
export interface DiscoveryDb {
  readonly settings: DiscoverySettings
  /** All entries in the store, including those of unknown services. */
  readonly servers: Map<string, ListedServer>
  /** Services that the configuration in force names, or null before the first one. Entries of others name no server. */
  knownServices: ReadonlySet<string> | null
  byService: Map<string, ListedServer[]>
  /** Latest incarnation of a known service at each `ip:port`. */
  byAddress: Map<string, ListedServer>
  /** Era of the store that the revisions are from; -1 before the first read. */
  era: number
  /** When the first list of this era left the store, by this node's monotonic clock. */
  eraReadAtMs: Millis
  /**
   * Entries up to this revision may be from the copy with which the present era began, and older than what was known
   * before; -1 if nothing was known.
   */
  copyRevision: number
  /** Revision of the store up to which all changes that affect routing are known; -1 before the first read. */
  revision: number
  /** When the newest information on the list left the store, by this node's monotonic clock. */
  newestReadAtMs: Millis
  /** The latest changes, which are complete from `changesAfterRevision` on. */
  readonly recentChanges: ListedChange[]
  changesAfterRevision: number
  /** Removed entries, so that an older copy does not restore them. */
  readonly removals: Map<string, Removal>
  /** Servers whose entries lapsed during an outage of the store, with the time until which they are still used. */
  readonly lapsedKeptUntilMs: Map<string, Millis>
  /** Entries in the copy of the present era that had been removed before it, with the time from which they count. */
  readonly heldBack: Map<string, HeldBackEntry>
}

/** An entry that does not count yet. */
export interface HeldBackEntry {
  readonly server: ListedServer
  readonly untilMs: Millis
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

/** Records that an entry was removed, and drops the oldest record beyond the maximum. */
export function recordRemoval (
  db: DiscoveryDb, serverId: string, revision: number, server: ListedServer | undefined
): void {
  const last = server ?? db.removals.get(serverId)
  db.removals.set(serverId, {
    revision, startedAtWallMs: last?.startedAtWallMs ?? 0, sequence: last?.sequence ?? -1
  })
  if (db.removals.size <= REMOVALS_MAX_COUNT) return
  db.removals.delete(db.removals.keys().next().value!)
}

/**
 * Begins a new era: revisions start again from those of the copy, so what is known from before gets the revision of
 * the copy. Any entry that is written later has a higher one.
 */
export function beginEra (db: DiscoveryDb, era: number, copyRevision: number, readAtMs: Millis): void {
  const isFirst = db.era < 0
  db.era = era
  db.eraReadAtMs = readAtMs
  db.copyRevision = isFirst ? -1 : copyRevision
  db.revision = -1
  db.heldBack.clear()
  for (const [serverId, server] of db.servers) db.servers.set(serverId, { ...server, revision: copyRevision })
  for (const [serverId, removal] of db.removals) db.removals.set(serverId, { ...removal, revision: copyRevision })
  rebuildIndexes(db)
}

/** Creates the state of a node that has not read the list yet. */
export function createDiscoveryDb (settings: DiscoverySettings): DiscoveryDb {
  return {
    settings,
    servers: new Map(),
    knownServices: null,
    byService: new Map(),
    byAddress: new Map(),
    era: -1,
    eraReadAtMs: -Infinity,
    copyRevision: -1,
    revision: -1,
    newestReadAtMs: -Infinity,
    recentChanges: [],
    changesAfterRevision: -1,
    removals: new Map(),
    lapsedKeptUntilMs: new Map(),
    heldBack: new Map()
  }
}

/** Resets the state to that of a node that has not read the list yet. */
export function clearDiscoveryDb (db: DiscoveryDb): void {
  db.servers.clear()
  db.knownServices = null
  db.byService = new Map()
  db.byAddress = new Map()
  db.era = -1
  db.eraReadAtMs = -Infinity
  db.copyRevision = -1
  db.revision = -1
  db.newestReadAtMs = -Infinity
  db.recentChanges.length = 0
  db.changesAfterRevision = -1
  db.removals.clear()
  db.lapsedKeptUntilMs.clear()
  db.heldBack.clear()
}

/**
 * Whether `candidate` describes a later incarnation than `other` at the same address.
 * The entry of a crashed server stays until it expires, even after its successor
 * has started. Start times decide, then revisions. A server always states its start
 * time, so an entry without one (0) never replaces one that has it.
 */
function isLaterIncarnation (candidate: ListedServer, other: ListedServer): boolean {
  if (candidate.startedAtWallMs !== other.startedAtWallMs) return candidate.startedAtWallMs > other.startedAtWallMs
  return candidate.revision > other.revision
}

/**
 * Whether an entry is of a service that the configuration names. Other writers use the same keys, and their entries
 * must not take the place of a server at the same address.
 */
export function isOfKnownService (db: DiscoveryDb, { serviceName }: ListedServer): boolean {
  return db.knownServices === null || db.knownServices.has(serviceName)
}

/**
 * Rebuilds the indexes after a change that affects routing. They contain the latest incarnation of a known service at
 * each address.
 */
export function rebuildIndexes (db: DiscoveryDb): void {
  const byService = new Map<string, ListedServer[]>()
  const byAddress = new Map<string, ListedServer>()
  for (const server of db.servers.values()) {
    if (!isOfKnownService(db, server)) continue
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
