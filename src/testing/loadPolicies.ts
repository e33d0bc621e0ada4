import type { Millis } from '../clock/clock.js'
import type { RandomSource } from '../core/coreTypes.js'
import type { ListedServer } from '../core/discovery/discoveryTypes.js'
import { getOrCreateView, type PlacementDb } from '../core/placement/placementDb.js'
import { placementDefinition as placement, type PlacementRequest } from '../core/placement/placementDefinition.js'

/** Policies that the model compares. */
export enum LoadPolicy {
  /** Least cost of a sample of eight, as for services whose servers state no pace. */
  LeastCost = 'least cost (today)',
  /** Less loaded of two random servers. */
  TwoChoices = 'two choices',
  /** Fewest open calls of the node itself. */
  LocalShortest = 'local shortest queue',
  /** In proportion to free slots, reports tending to the mean with age; neither pace nor sample. */
  FreeShare = 'free share',
  /** The policy for services whose servers state a pace. */
  Even = 'even load (new)'
}

export type Chooser = (
  db: PlacementDb, request: PlacementRequest, nowMs: Millis, random: RandomSource
) => ListedServer | undefined

function untried ({ servers, triedServerIds }: PlacementRequest): ListedServer[] {
  return servers.filter(({ serverId }) => !triedServerIds.includes(serverId))
}

const chooseOfTwo: Chooser = (db, request, nowMs, random) => {
  const servers = untried(request)
  const pair = Array.from({ length: 2 }, () => servers[Math.floor(random() * servers.length)]!)
  return placement.chooseServer(db, { servers: pair, triedServerIds: [] }, nowMs, random)
}

const chooseLocalShortest: Chooser = (db, request, _nowMs, random) => {
  let best: ListedServer | undefined
  let leastCost = Infinity
  for (const server of untried(request)) {
    const isAway = server.dataCentre !== db.settings.ownDataCentre
    const cost = getOrCreateView(db, server).outstandingCount + random() + (isAway ? 1 : 0)
    if (cost < leastCost) [best, leastCost] = [server, cost]
  }
  return best
}

const chooseByFreeShare: Chooser = (db, request, nowMs, random) => {
  const servers = untried(request)
  const views = servers.map(server => getOrCreateView(db, server))
  const loadOf = ({ report }: typeof views[number]): number => {
    return report === null ? 0.5 : (report.runningCount + report.queuedCount) / report.limitCount
  }
  const mean = views.reduce((sum, view) => sum + loadOf(view), 0) / views.length
  const weights = views.map((view, at) => {
    const server = servers[at]!
    const expected = mean + (loadOf(view) - mean) * Math.exp((view.reportedAtMs - nowMs) / 140)
    const free = Math.max(0.02, 1 - expected - view.sentSinceReportCount / server.slotsCount)
    return free * (server.dataCentre === db.settings.ownDataCentre ? 1 : 0.1)
  })
  let left = random() * weights.reduce((sum, one) => sum + one, 0)
  return servers.find((_, at) => (left -= weights[at]!) < 0) ?? servers.at(-1)
}

/** How each policy chooses. Without a stated pace the placement module itself chooses by least cost. */
export const choosers: Readonly<Record<LoadPolicy, Chooser>> = {
  [LoadPolicy.LeastCost]: placement.chooseServer,
  [LoadPolicy.TwoChoices]: chooseOfTwo,
  [LoadPolicy.LocalShortest]: chooseLocalShortest,
  [LoadPolicy.FreeShare]: chooseByFreeShare,
  [LoadPolicy.Even]: placement.chooseServer
}
