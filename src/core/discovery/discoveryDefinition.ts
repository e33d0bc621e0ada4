import type { Millis } from '../../clock/clock.js'
import { clearDiscoveryDb, createDiscoveryDb, indexServers, type DiscoveryDb } from './discoveryDb.js'
import { isOtherIncarnation, mattersToRouting } from './discoveryDetector.js'
import { ServerState, type ListedChange, type ListedServer, type ListEvent, type ListSnapshot } from './discoveryTypes.js'

const NO_SERVERS: readonly ListedServer[] = []

function eventOf (before: ListedServer | undefined, after: ListedServer): ListEvent {
  if (before === undefined) return { kind: 'joined', server: after }
  if (isOtherIncarnation(before, after)) return { kind: 'replaced', server: after }
  if (after.state === ServerState.Draining) return { kind: 'draining', server: after }
  return { kind: 'joined', server: after }
}

function write (db: DiscoveryDb, server: ListedServer, events: ListEvent[]): void {
  const before = db.servers.get(server.serverId)
  if (before !== undefined && before.revision >= server.revision) return
  db.servers.set(server.serverId, server)
  if (!mattersToRouting(before, server)) return
  db.routingRevision = Math.max(db.routingRevision, server.revision)
  events.push(eventOf(before, server))
}

function remove (db: DiscoveryDb, serverId: string, revision: number, events: ListEvent[]): void {
  const before = db.servers.get(serverId)
  if (before === undefined || before.revision > revision) return
  db.servers.delete(serverId)
  db.routingRevision = Math.max(db.routingRevision, revision)
  events.push({ kind: 'left', server: before })
}

function finish (db: DiscoveryDb, revision: number, readAtMs: Millis, events: ListEvent[]): ListEvent[] {
  db.revision = Math.max(db.revision, revision)
  db.freshAtMs = Math.max(db.freshAtMs, readAtMs)
  indexServers(db)
  return events
}

/**
 * Takes a whole copy of the list, from the store or from a peer. An older copy
 * than the one that is known changes nothing.
 *
 * @example
 * takeSnapshot(db, { revision: 411, servers }, 0) // [{ kind: 'joined', ... }, ...]
 */
function takeSnapshot (db: DiscoveryDb, snapshot: ListSnapshot, readAtMs: Millis): ListEvent[] {
  const events: ListEvent[] = []
  if (snapshot.revision < db.revision) return events
  const listed = new Set(snapshot.servers.map(server => server.serverId))
  for (const server of snapshot.servers) write(db, server, events)
  for (const serverId of [...db.servers.keys()]) {
    if (!listed.has(serverId)) remove(db, serverId, snapshot.revision, events)
  }
  return finish(db, snapshot.revision, readAtMs, events)
}

/** Takes the changes up to a revision that a watch of the store reports. */
function takeChanges (
  db: DiscoveryDb, changes: readonly ListedChange[], revision: number, readAtMs: Millis
): ListEvent[] {
  const events: ListEvent[] = []
  for (const change of changes) {
    if (change.kind === 'written') write(db, change.server, events)
    else remove(db, change.serverId, change.revision, events)
  }
  return finish(db, revision, readAtMs, events)
}

/** Servers of a service, draining ones included. */
function serversOf (db: DiscoveryDb, serviceName: string): readonly ListedServer[] {
  return db.byService.get(serviceName) ?? NO_SERVERS
}

function snapshot (db: DiscoveryDb): ListSnapshot {
  return { revision: db.revision, servers: [...db.servers.values()] }
}

/** The discovery family: the platform's list of backend servers as this node knows it. */
export const discoveryDefinition = {
  createDb: createDiscoveryDb,
  clear: clearDiscoveryDb,
  takeSnapshot,
  takeChanges,
  serversOf,
  snapshot
}
