import type { ListedServer } from '../discovery/discoveryTypes.js'
import type { PlacementSettings, ServerView } from './placementTypes.js'

export interface PlacementDb {
  readonly settings: PlacementSettings
  readonly views: Map<string, ServerView>
  /**
   * Limits that servers name, by incarnation. They outlive the list entry, which may be missing for a while, since a
   * node that has just started learns the limit of its server from the calls of its peers.
   */
  readonly limitsPerS: Map<string, number>
}

/** Number of servers whose limits are remembered. */
const LIMITS_MAX_COUNT = 5_000

function incarnationKey ({ serverId, startedAtWallMs }: Pick<ListedServer, 'serverId' | 'startedAtWallMs'>): string {
  return `${serverId}@${startedAtWallMs}`
}

/** Remembers the limit of a server, or that it has none. */
export function setLimit (
  db: PlacementDb, server: Pick<ListedServer, 'serverId' | 'startedAtWallMs'>, limitPerS: number | null
): void {
  const key = incarnationKey(server)
  db.limitsPerS.delete(key)
  if (limitPerS === null) return
  db.limitsPerS.set(key, limitPerS)
  if (db.limitsPerS.size > LIMITS_MAX_COUNT) db.limitsPerS.delete(db.limitsPerS.keys().next().value!)
}

/** Requests a second that a server takes from all nodes together, or null if it has named no limit. */
export function limitOf (db: PlacementDb, server: ListedServer): number | null {
  return db.limitsPerS.size === 0 ? null : db.limitsPerS.get(incarnationKey(server)) ?? null
}

export function createPlacementDb (settings: PlacementSettings): PlacementDb {
  return { settings, views: new Map(), limitsPerS: new Map() }
}

/** Removes all views and limits. */
export function clearPlacementDb (db: PlacementDb): void {
  db.views.clear()
  db.limitsPerS.clear()
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
