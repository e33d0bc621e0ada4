import type { ListedServer } from '../discovery/discoveryTypes.js'
import type { PlacementSettings, ServerView } from './placementTypes.js'

export interface PlacementDb {
  readonly settings: PlacementSettings
  readonly views: Map<string, ServerView>
}

export function createPlacementDb (settings: PlacementSettings): PlacementDb {
  return { settings, views: new Map() }
}

/** Removes all views. */
export function clearPlacementDb (db: PlacementDb): void {
  db.views.clear()
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
      isUnresponsive: false,
      leavingUntilMs: -Infinity
    }
    db.views.set(server.serverId, view)
  }
  return view
}
