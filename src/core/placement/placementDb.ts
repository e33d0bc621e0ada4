import type { Incarnation, ListedServer } from '../discovery/discoveryTypes.js'
import type { PlacementSettings, ServerView, ServiceLoad } from './placementTypes.js'

export interface PlacementDb {
  readonly settings: PlacementSettings
  readonly views: Map<string, ServerView>
  /** Services whose servers state a pace, by name. */
  readonly services: Map<string, ServiceLoad>
  /**
   * Limits that servers name, by incarnation. They outlive the list entry, which may be missing for a while, since a
   * node that has just started learns the limit of its server from the calls of its peers.
   */
  readonly limitsPerS: Map<string, number>
  /** Incarnations of servers that said that they leave. An older copy of the list may contain them again as ready. */
  readonly departing: Set<string>
}

/** Number of servers of which signals are remembered. */
const SIGNALS_MAX_COUNT = 5_000

function incarnationKey ({ serverId, startedAtWallMs }: Incarnation): string {
  return `${serverId}@${startedAtWallMs}`
}

/** Remembers the limit of a server, or that it has none. */
export function setLimit (db: PlacementDb, server: Incarnation, limitPerS: number | null): void {
  const key = incarnationKey(server)
  db.limitsPerS.delete(key)
  if (limitPerS === null) return
  db.limitsPerS.set(key, limitPerS)
  if (db.limitsPerS.size > SIGNALS_MAX_COUNT) db.limitsPerS.delete(db.limitsPerS.keys().next().value!)
}

/** Marks a server that leaves. The mark holds for its incarnation, whatever the list says later. */
export function markDeparting (db: PlacementDb, server: Incarnation): void {
  db.departing.add(incarnationKey(server))
  if (db.departing.size > SIGNALS_MAX_COUNT) db.departing.delete(db.departing.values().next().value!)
}

export function isDeparting (db: PlacementDb, server: ListedServer): boolean {
  return db.departing.size > 0 && db.departing.has(incarnationKey(server))
}

/** Requests a second that a server takes from all nodes together, or null if it has named no limit. */
export function limitOf (db: PlacementDb, server: ListedServer): number | null {
  return db.limitsPerS.size === 0 ? null : db.limitsPerS.get(incarnationKey(server)) ?? null
}

export function createPlacementDb (settings: PlacementSettings): PlacementDb {
  return { settings, views: new Map(), services: new Map(), limitsPerS: new Map(), departing: new Set() }
}

/** Removes all views and signals. */
export function clearPlacementDb (db: PlacementDb): void {
  db.views.clear()
  db.services.clear()
  db.limitsPerS.clear()
  db.departing.clear()
}

/** Observations of a server, created on first use. */
export function getOrCreateView (db: PlacementDb, server: ListedServer): ServerView {
  let view = db.views.get(server.serverId)
  if (view === undefined) {
    view = {
      serverId: server.serverId,
      report: null,
      reportedAtMs: -Infinity,
      sentSinceReportCount: 0,
      slotMs: 0,
      outstandingCount: 0,
      consecutiveFailuresCount: 0,
      ejectedUntilMs: -Infinity,
      shedRatio: 0,
      warmUntilMs: -Infinity,
      limitedUntilMs: -Infinity,
      isUnresponsive: false,
      leavingUntilMs: -Infinity
    }
    db.views.set(server.serverId, view)
  }
  return view
}
