import type { Millis } from '../../clock/clock.js'
import {
  clearDiscoveryDb, createDiscoveryDb, rebuildIndexes, recordRecentChanges, recordRemoval, restartRecentChanges,
  revisionOf, type DiscoveryDb
} from './discoveryDb.js'
import { isOtherIncarnation, affectsRouting, isFirstReadAfterOutage } from './discoveryDetector.js'
import {
  ServerState, type ListedChange, type ListedServer, type ListEvent, type ListSnapshot
} from './discoveryTypes.js'

const NO_SERVERS: readonly ListedServer[] = []
/**
 * How long servers whose entries lapsed during an outage of the store are still
 * used. A running server writes its entry again within this time of the store's
 * return.
 */
const LAPSE_GRACE_MS: Millis = 2_300

function toListEvent (before: ListedServer | undefined, after: ListedServer): ListEvent {
  if (before === undefined) return { kind: 'joined', server: after }
  if (isOtherIncarnation(before, after)) return { kind: 'replaced', server: after }
  if (after.state === ServerState.Draining) return { kind: 'draining', server: after }
  return { kind: 'joined', server: after }
}

/** One update of the list: the state, the events so far and when the data left the store. */
interface ListUpdate {
  readonly db: DiscoveryDb
  readonly events: ListEvent[]
  readonly readAtMs: Millis
  readonly isAfterOutage: boolean
}

function beginUpdate (db: DiscoveryDb, readAtMs: Millis): ListUpdate {
  return { db, events: [], readAtMs, isAfterOutage: isFirstReadAfterOutage(db, readAtMs) }
}

/** Stores an entry, unless it is older than the known one or than its removal. */
function writeEntry ({ db, events }: ListUpdate, server: ListedServer): void {
  const before = db.servers.get(server.serverId)
  const removedAtRevision = db.removedAtRevision.get(server.serverId) ?? -1
  if (removedAtRevision >= server.revision || (before !== undefined && before.revision > server.revision)) return
  db.lapsedKeptUntilMs.delete(server.serverId)
  db.servers.set(server.serverId, server)
  if (!affectsRouting(before, server)) return
  events.push(toListEvent(before, server))
}

/** Removes an entry. After an outage it may only have lapsed, so its server is kept for `LAPSE_GRACE_MS`. */
function removeEntry ({ db, events, readAtMs, isAfterOutage }: ListUpdate, serverId: string, revision: number): void {
  const before = db.servers.get(serverId)
  if (before === undefined) {
    recordRemoval(db, serverId, revision)
    return
  }
  if (before.revision > revision) return
  const keptUntilMs = db.lapsedKeptUntilMs.get(serverId)
  if (keptUntilMs !== undefined && readAtMs < keptUntilMs) return
  if (isAfterOutage && keptUntilMs === undefined) {
    db.lapsedKeptUntilMs.set(serverId, readAtMs + LAPSE_GRACE_MS)
    return
  }
  db.lapsedKeptUntilMs.delete(serverId)
  db.servers.delete(serverId)
  recordRemoval(db, serverId, revision)
  events.push({ kind: 'left', server: before, revision })
}

function finishUpdate ({ db, events, readAtMs }: ListUpdate, revision: number): ListEvent[] {
  db.revision = Math.max(db.revision, revision)
  db.newestReadAtMs = Math.max(db.newestReadAtMs, readAtMs)
  if (events.length > 0) rebuildIndexes(db)
  return events
}

/**
 * Applies a full copy of the list, from the store or from a peer. A copy older
 * than the known revision has no effect. The entries of servers in `keptIds`
 * could not be decoded, so what is already known of them is kept.
 *
 * @example
 * applySnapshot(db, { revision: 411, servers }, 0) // [{ kind: 'joined', ... }, ...]
 */
function applySnapshot (
  db: DiscoveryDb, snapshot: ListSnapshot, readAtMs: Millis, keptIds: readonly string[] = []
): ListEvent[] {
  const update = beginUpdate(db, readAtMs)
  if (snapshot.revision < db.revision) return update.events
  const listedIds = new Set([...snapshot.servers.map(server => server.serverId), ...keptIds])
  for (const server of snapshot.servers) writeEntry(update, server)
  for (const serverId of [...db.servers.keys()]) {
    if (!listedIds.has(serverId)) removeEntry(update, serverId, snapshot.revision)
  }
  const events = finishUpdate(update, snapshot.revision)
  restartRecentChanges(db, db.revision)
  return events
}

/** The change of an entry that an event describes. */
function toListedChange (event: ListEvent): ListedChange {
  return event.kind === 'left'
    ? { kind: 'removed', serverId: event.server.serverId, revision: event.revision }
    : { kind: 'written', server: event.server }
}

/** The changes from after `afterRevision` up to `revision`, from a watch of the store or from a peer that read them. */
export interface ListChanges {
  readonly afterRevision: number
  readonly revision: number
  readonly changes: readonly ListedChange[]
}

/** Whether no revisions are missing between the known list and the changes; otherwise a full copy is needed. */
function hasNoRevisionGap (db: DiscoveryDb, { afterRevision }: ListChanges): boolean {
  return db.revision >= afterRevision
}

/** Applies changes to the list. Changes after a gap in the revisions have no effect. */
function applyChanges (db: DiscoveryDb, list: ListChanges, readAtMs: Millis): ListEvent[] {
  const update = beginUpdate(db, readAtMs)
  if (!hasNoRevisionGap(db, list)) return update.events
  const { changes, revision } = list
  for (const change of changes) {
    if (change.kind === 'written') writeEntry(update, change.server)
    else removeEntry(update, change.serverId, change.revision)
  }
  const events = finishUpdate(update, revision)
  recordRecentChanges(db, events.map(toListedChange))
  return events
}

/** The changes after a revision, or null if some of them are no longer known. */
function changesAfter (db: DiscoveryDb, afterRevision: number): readonly ListedChange[] | null {
  if (db.revision < 0 || afterRevision < db.changesAfterRevision) return null
  return db.recentChanges.filter(change => revisionOf(change) > afterRevision)
}

/** Removes servers whose entries lapsed and were not written again in time. */
function removeLapsedServers (db: DiscoveryDb, nowMs: Millis): ListEvent[] {
  const events: ListEvent[] = []
  for (const [serverId, keptUntilMs] of db.lapsedKeptUntilMs) {
    if (keptUntilMs > nowMs) continue
    const server = db.servers.get(serverId)
    db.lapsedKeptUntilMs.delete(serverId)
    if (server === undefined) continue
    db.servers.delete(serverId)
    events.push({ kind: 'left', server, revision: db.revision })
  }
  if (events.length > 0) rebuildIndexes(db)
  recordRecentChanges(db, events.map(toListedChange))
  return events
}

/** Servers of a service, including draining ones. */
function serversOf (db: DiscoveryDb, serviceName: string): readonly ListedServer[] {
  return db.byService.get(serviceName) ?? NO_SERVERS
}

/** The latest incarnation listed at an address, or undefined. */
function serverAt (db: DiscoveryDb, ip: string, port: number): ListedServer | undefined {
  return db.byAddress.get(`${ip}:${port}`)
}

/** A copy of the list for peers, without lapsed servers. */
function currentSnapshot (db: DiscoveryDb): ListSnapshot {
  const servers = [...db.servers.values()].filter(({ serverId }) => !db.lapsedKeptUntilMs.has(serverId))
  return { revision: db.revision, servers }
}

/** Discovery: the platform's list of backend servers as known at this node. */
export const discoveryDefinition = {
  createDb: createDiscoveryDb,
  clear: clearDiscoveryDb,
  applySnapshot,
  hasNoRevisionGap,
  applyChanges,
  toListedChange,
  changesAfter,
  removeLapsedServers,
  serversOf,
  serverAt,
  currentSnapshot
}
