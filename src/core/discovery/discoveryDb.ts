import type { Millis } from '../../clock/clock.js'
import type { ListedServer } from './discoveryTypes.js'

export interface DiscoveryDb {
  readonly servers: Map<string, ListedServer>
  byService: Map<string, ListedServer[]>
  /** Revision of the store up to which the list is known; -1 before the first read. */
  revision: number
  /** Revision of the last change that matters to routing; heartbeats alone do not. */
  routingRevision: number
  /** When the newest word on the list left the store, by this node's clock. */
  freshAtMs: Millis
}

/** Makes an empty list. */
export function createDiscoveryDb (): DiscoveryDb {
  return { servers: new Map(), byService: new Map(), revision: -1, routingRevision: -1, freshAtMs: -Infinity }
}

/** Empties the state. */
export function clearDiscoveryDb (db: DiscoveryDb): void {
  db.servers.clear()
  db.byService = new Map()
  db.revision = -1
  db.routingRevision = -1
  db.freshAtMs = -Infinity
}

/** Rebuilds the index by service after a change that matters to routing. */
export function indexServers (db: DiscoveryDb): void {
  const byService = new Map<string, ListedServer[]>()
  for (const server of db.servers.values()) {
    const servers = byService.get(server.serviceName)
    if (servers === undefined) byService.set(server.serviceName, [server])
    else servers.push(server)
  }
  db.byService = byService
}
