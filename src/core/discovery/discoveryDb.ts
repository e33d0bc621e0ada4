import type { Millis } from '../../clock/clock.js'
import type { ListedServer } from './discoveryTypes.js'

export interface DiscoveryDb {
  readonly servers: Map<string, ListedServer>
  byService: Map<string, ListedServer[]>
  /** Latest server at each `ip:port`. */
  byAddress: Map<string, ListedServer>
  /** Revision of the store up to which every change that matters to routing is known; -1 before the first read. */
  revision: number
  /** When the newest word on the list left the store, by this node's clock. */
  freshAtMs: Millis
  /** Revision at which an entry was removed, so that an older copy from a peer does not bring it back. */
  readonly removedAtRevision: Map<string, number>
  /** Servers whose entries lapsed while the store could not be read, and until when they are still used. */
  readonly lapsedUntilMs: Map<string, Millis>
}

/** Removals remembered; far more than a peer's copy can be behind. */
const REMOVALS_MAX_COUNT = 5_000

/** Notes at which revision an entry was removed. */
export function noteRemoval (db: DiscoveryDb, serverId: string, revision: number): void {
  db.removedAtRevision.set(serverId, revision)
  if (db.removedAtRevision.size <= REMOVALS_MAX_COUNT) return
  db.removedAtRevision.delete(db.removedAtRevision.keys().next().value!)
}

/** Makes an empty list. */
export function createDiscoveryDb (): DiscoveryDb {
  return {
    servers: new Map(),
    byService: new Map(),
    byAddress: new Map(),
    revision: -1,
    freshAtMs: -Infinity,
    removedAtRevision: new Map(),
    lapsedUntilMs: new Map()
  }
}

/** Empties the state. */
export function clearDiscoveryDb (db: DiscoveryDb): void {
  db.servers.clear()
  db.byService = new Map()
  db.byAddress = new Map()
  db.revision = -1
  db.freshAtMs = -Infinity
  db.removedAtRevision.clear()
  db.lapsedUntilMs.clear()
}

/**
 * Whether an entry describes a later incarnation at the same address. The entry of
 * a server that crashed stays until it expires, also after the next one has started.
 */
function isLater (left: ListedServer, right: ListedServer): boolean {
  if (left.startedAtWallMs > 0 && right.startedAtWallMs > 0 && left.startedAtWallMs !== right.startedAtWallMs) {
    return left.startedAtWallMs > right.startedAtWallMs
  }
  return left.revision > right.revision
}

/** Rebuilds the indexes after a change that matters to routing. Of each address the latest entry counts. */
export function indexServers (db: DiscoveryDb): void {
  const byService = new Map<string, ListedServer[]>()
  const byAddress = new Map<string, ListedServer>()
  for (const server of db.servers.values()) {
    const address = `${server.ip}:${server.port}`
    const other = byAddress.get(address)
    if (other === undefined || isLater(server, other)) byAddress.set(address, server)
  }
  for (const server of byAddress.values()) {
    const servers = byService.get(server.serviceName)
    if (servers === undefined) byService.set(server.serviceName, [server])
    else servers.push(server)
  }
  db.byService = byService
  db.byAddress = byAddress
}
