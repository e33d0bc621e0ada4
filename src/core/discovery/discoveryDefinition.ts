import type { Millis } from '../../clock/clock.js'
import {
  beginEra, clearDiscoveryDb, createDiscoveryDb, isOfKnownService, rebuildIndexes, recordRecentChanges,
  recordRemoval, restartRecentChanges, revisionOf, type DiscoveryDb, type DiscoverySettings
} from './discoveryDb.js'
import {
  affectsRouting, beginsEra, hasChanged, hasComparableCounts, isFirstReadAfterOutage, isOtherIncarnation,
  isReportedBefore
} from './discoveryDetector.js'
import {
  ListSource, ServerState, type ListedChange, type ListedServer, type ListEvent, type ListSnapshot
} from './discoveryTypes.js'

export const discoveryDefaults: DiscoverySettings = { heartbeatPeriodMs: 1_500 }

const NO_SERVERS: readonly ListedServer[] = []
/**
 * How long servers whose entries lapsed during an outage of the store are still
 * used. A running server writes its entry again within this time of the store's
 * return.
 */
const LAPSE_GRACE_MS: Millis = 2_300
/** Heartbeats after whose loss the store removes an entry. */
const HEARTBEATS_LOST_COUNT = 3
const HELD_BACK_MARGIN_MS: Millis = 1_500

function toListEvent (db: DiscoveryDb, before: ListedServer | undefined, after: ListedServer): ListEvent {
  const wasUsed = before !== undefined && isOfKnownService(db, before)
  if (!wasUsed && !isOfKnownService(db, after)) return { kind: 'unknown_written', server: after }
  if (before === undefined) return { kind: 'joined', server: after }
  if (isOtherIncarnation(before, after)) return { kind: 'replaced', server: after }
  if (after.state === ServerState.Draining) return { kind: 'draining', server: after }
  return { kind: 'joined', server: after }
}

function toRemovalEvent (db: DiscoveryDb, server: ListedServer, revision: number): ListEvent {
  return { kind: isOfKnownService(db, server) ? 'left' : 'unknown_removed', server, revision }
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

/**
 * Whether an entry is older than the known one. The server's own counts decide between entries of one incarnation,
 * since revisions are given out again in each era. They also decide between incarnations if the entry may be from the
 * copy of the present era and the known one from before.
 */
function isOlderEntry (db: DiscoveryDb, server: ListedServer, before: ListedServer): boolean {
  const mayBeFromCopy = server.revision <= db.copyRevision && before.revision <= db.copyRevision
  if (mayBeFromCopy || hasComparableCounts(server, before)) return isReportedBefore(server, before)
  return before.revision > server.revision
}

/**
 * How long an entry does not count that was removed before the store came back from a copy that still contains it.
 * Within this time the store removes it again if its server is gone.
 */
function heldBackMs (db: DiscoveryDb): Millis {
  return db.settings.heartbeatPeriodMs * HEARTBEATS_LOST_COUNT + HELD_BACK_MARGIN_MS
}

/**
 * Whether an entry that is not known has been removed. One that was removed in an earlier era and may be from the copy
 * is held back: its server may be gone, or may only have been silent for a while.
 */
function isRemoved ({ db, readAtMs }: ListUpdate, server: ListedServer): boolean {
  const removal = db.removals.get(server.serverId)
  if (removal === undefined || server.revision > removal.revision) return false
  if (removal.revision !== db.copyRevision) return true
  const untilMs = db.heldBack.get(server.serverId)?.untilMs ?? db.eraReadAtMs + heldBackMs(db)
  if (isReportedBefore(removal, server) || readAtMs >= untilMs) return false
  db.heldBack.set(server.serverId, { server, untilMs })
  return true
}

/** Holds entries back for longer by the time of an outage, in which the store could not remove any. */
function extendHeldBack (db: DiscoveryDb, outageMs: Millis): void {
  for (const [serverId, { server, untilMs }] of db.heldBack) {
    db.heldBack.set(serverId, { server, untilMs: untilMs + outageMs })
  }
}

/** Stores an entry, unless it is older than the known one or than its removal. */
function writeEntry (update: ListUpdate, server: ListedServer): void {
  const { db, events } = update
  const before = db.servers.get(server.serverId)
  if (before === undefined ? isRemoved(update, server) : isOlderEntry(db, server, before)) return
  db.lapsedKeptUntilMs.delete(server.serverId)
  db.heldBack.delete(server.serverId)
  db.servers.set(server.serverId, server)
  if (!hasChanged(before, server)) return
  events.push(toListEvent(db, before, server))
}

/** Removes an entry. After an outage it may only have lapsed, so its server is kept for `LAPSE_GRACE_MS`. */
function removeEntry ({ db, events, readAtMs, isAfterOutage }: ListUpdate, serverId: string, revision: number): void {
  const before = db.servers.get(serverId)
  db.heldBack.delete(serverId)
  if (before === undefined) {
    recordRemoval(db, serverId, revision, undefined)
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
  recordRemoval(db, serverId, revision, before)
  events.push(toRemovalEvent(db, before, revision))
}

function finishUpdate ({ db, events, readAtMs }: ListUpdate, revision: number): ListEvent[] {
  db.revision = Math.max(db.revision, revision)
  db.newestReadAtMs = Math.max(db.newestReadAtMs, readAtMs)
  if (events.some(affectsRouting)) rebuildIndexes(db)
  return events
}

/** Whether a full copy of the list is at least as recent as the known one. */
function isCurrent (db: DiscoveryDb, { era, revision }: ListSnapshot, source: ListSource, readAtMs: Millis): boolean {
  return beginsEra(db, era, source, readAtMs) || (era === db.era && revision >= db.revision)
}

/**
 * Applies a full copy of the list, from the store or from a peer. A copy that is older than the known list has no
 * effect. The entries of servers in `keptIds` could not be decoded, so what is already known of them is kept.
 *
 * In the first copy of an era, entries may be older than what is known and others missing, until their servers write
 * them again. Older entries have no effect, and missing ones are kept as after an outage of the store.
 *
 * @example
 * applySnapshot(db, { era: 1, revision: 411, servers }, ListSource.Store, 0) // [{ kind: 'joined', ... }, ...]
 */
function applySnapshot (
  db: DiscoveryDb, snapshot: ListSnapshot, source: ListSource, readAtMs: Millis, keptIds: readonly string[] = []
): ListEvent[] {
  if (!isCurrent(db, snapshot, source, readAtMs)) return []
  const isNextEra = db.era >= 0 && db.era !== snapshot.era
  const update = { ...beginUpdate(db, readAtMs), isAfterOutage: isNextEra || isFirstReadAfterOutage(db, readAtMs) }
  if (db.era !== snapshot.era) beginEra(db, snapshot.era, snapshot.revision, readAtMs)
  else if (update.isAfterOutage) extendHeldBack(db, readAtMs - db.newestReadAtMs)
  const listedIds = new Set([...snapshot.servers.map(server => server.serverId), ...keptIds])
  for (const server of snapshot.servers) writeEntry(update, server)
  for (const serverId of [...db.servers.keys()]) {
    if (!listedIds.has(serverId)) removeEntry(update, serverId, snapshot.revision)
  }
  for (const serverId of db.heldBack.keys()) if (!listedIds.has(serverId)) db.heldBack.delete(serverId)
  const events = finishUpdate(update, snapshot.revision)
  restartRecentChanges(db, db.revision)
  return events
}

/** The change of an entry that an event describes. */
function toListedChange (event: ListEvent): ListedChange {
  switch (event.kind) {
    case 'left':
    case 'unknown_removed': return { kind: 'removed', serverId: event.server.serverId, revision: event.revision }
    case 'joined':
    case 'draining':
    case 'replaced':
    case 'unknown_written': return { kind: 'written', server: event.server }
  }
}

/** The changes from after `afterRevision` up to `revision`, from a watch of the store or from a peer that read them. */
export interface ListChanges {
  readonly era: number
  readonly afterRevision: number
  readonly revision: number
  readonly changes: readonly ListedChange[]
}

/** Whether no revisions are missing between the known list and the changes; otherwise a full copy is needed. */
function hasNoRevisionGap (db: DiscoveryDb, { era, afterRevision }: ListChanges): boolean {
  return db.era === era && db.revision >= afterRevision
}

/** Whether a peer's changes are from an era that this node has left. */
function isOutdated (db: DiscoveryDb, { era }: ListChanges, readAtMs: Millis): boolean {
  return era !== db.era && !beginsEra(db, era, ListSource.Peer, readAtMs)
}

/** Applies changes to the list. Changes after a gap in the revisions have no effect. */
function applyChanges (db: DiscoveryDb, list: ListChanges, readAtMs: Millis): ListEvent[] {
  const update = beginUpdate(db, readAtMs)
  if (!hasNoRevisionGap(db, list)) return update.events
  if (update.isAfterOutage) extendHeldBack(db, readAtMs - db.newestReadAtMs)
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
function changesAfter (db: DiscoveryDb, era: number, afterRevision: number): readonly ListedChange[] | null {
  if (db.revision < 0 || era !== db.era || afterRevision < db.changesAfterRevision) return null
  return db.recentChanges.filter(change => revisionOf(change) > afterRevision)
}

/**
 * Removes servers whose entries lapsed and were not written again in time, and adds those that were held back and are
 * still listed by a later read.
 */
function expireGraces (db: DiscoveryDb, nowMs: Millis): ListEvent[] {
  const events: ListEvent[] = []
  for (const [serverId, { server, untilMs }] of db.heldBack) {
    if (untilMs > db.newestReadAtMs) continue
    db.heldBack.delete(serverId)
    db.servers.set(serverId, server)
    events.push(toListEvent(db, undefined, server))
  }
  for (const [serverId, keptUntilMs] of db.lapsedKeptUntilMs) {
    if (keptUntilMs > nowMs) continue
    const server = db.servers.get(serverId)
    db.lapsedKeptUntilMs.delete(serverId)
    if (server === undefined) continue
    db.servers.delete(serverId)
    recordRemoval(db, serverId, db.revision, server)
    events.push(toRemovalEvent(db, server, db.revision))
  }
  if (events.some(affectsRouting)) rebuildIndexes(db)
  recordRecentChanges(db, events.map(toListedChange))
  return events
}

/**
 * Sets the services that the configuration names. Entries of a service that is now named are used at once, those of one
 * that no longer is are kept, but not used.
 *
 * @example
 * setKnownServices(db, new Set(['depot'])) // [{ kind: 'joined', ... }]
 */
function setKnownServices (db: DiscoveryDb, knownServices: ReadonlySet<string>): ListEvent[] {
  const before = db.byAddress
  db.knownServices = knownServices
  rebuildIndexes(db)
  const after = db.byAddress
  const events: ListEvent[] = []
  // Heartbeats replace entries without a rebuild, so entries are compared by their ids.
  for (const [address, server] of before) {
    if (after.get(address)?.serverId !== server.serverId) events.push({ kind: 'left', server, revision: server.revision })
  }
  for (const [address, server] of after) {
    if (before.get(address)?.serverId !== server.serverId) events.push({ kind: 'joined', server })
  }
  return events
}

/** The latest incarnation of a known service at each address: the servers to use, each with its node. */
function usedServers (db: DiscoveryDb): Iterable<ListedServer> {
  return db.byAddress.values()
}

function usedServersCount (db: DiscoveryDb): number {
  return db.byAddress.size
}

/** Servers of a service, including draining ones. */
function serversOf (db: DiscoveryDb, serviceName: string): readonly ListedServer[] {
  return db.byService.get(serviceName) ?? NO_SERVERS
}

/** The latest incarnation of a known service at an address, or undefined. */
function serverAt (db: DiscoveryDb, ip: string, port: number): ListedServer | undefined {
  return db.byAddress.get(`${ip}:${port}`)
}

/** A copy of the list for peers as the store has it: without lapsed servers, with those that are held back here. */
function currentSnapshot (db: DiscoveryDb): ListSnapshot {
  const servers = [...db.servers.values()].filter(({ serverId }) => !db.lapsedKeptUntilMs.has(serverId))
  for (const { server } of db.heldBack.values()) servers.push(server)
  return { era: db.era, revision: db.revision, servers }
}

/** Discovery: the platform's list of backend servers as known at this node. */
export const discoveryDefinition = {
  defaults: discoveryDefaults,
  createDb: createDiscoveryDb,
  clear: clearDiscoveryDb,
  applySnapshot,
  hasNoRevisionGap,
  isOutdated,
  applyChanges,
  toListedChange,
  changesAfter,
  expireGraces,
  setKnownServices,
  affectsRouting,
  usedServers,
  usedServersCount,
  serversOf,
  serverAt,
  currentSnapshot
}
