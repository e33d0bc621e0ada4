import type { Millis } from '../../clock/clock.js'
import { assertNever } from '../../errors/errors.js'
import type { RandomSource } from '../coreTypes.js'
import type { ListedServer } from '../discovery/discoveryTypes.js'
import { isReady } from '../discovery/discoveryDetector.js'
import { chooseEvenly, isPaced, recordServiceLoad, type ServerFilter } from './evenLoad.js'
import {
  clearPlacementDb, createPlacementDb, getOrCreateView, isDeparting, limitOf, markDeparting, setLimit, type PlacementDb
} from './placementDb.js'
import { declinesWork, expectedUtilizationRatio, isEjected, mayBeAbout } from './placementDetector.js'
import { SendOutcome, type LoadReport, type ServerChoice, type ServerSignals, type ServerView } from './placementTypes.js'

/** Most servers compared for one call, so that the cost of a choice does not grow with the number of servers. */
const COMPARED_MAX_COUNT = 8
/** Largest random addition to a server's cost; keeps nodes with equal views from all choosing the same server. */
const COST_JITTER_RATIO = 0.08
/** Weight of one outcome in the moving average of a server's rejections. */
const SHED_WEIGHT_RATIO = 0.05
/** Consecutive failures after which a server is ejected; each further one doubles the duration up to the maximum. */
const FAILURES_TO_EJECT_COUNT = 3
const EJECT_FIRST_MS: Millis = 200
const EJECT_MAX_MS: Millis = 2_000
/** Longest time for which a node counts as shutting down; the platform kills a process sooner. */
const LEAVING_MAX_MS: Millis = 20_000
/** Cost that ranks servers whose rate limit allows no further call behind the others. */
const LIMITED_COST = 10
/** Cost that ranks ejected servers behind all others; they are chosen only if no other server is left. */
const EJECTED_COST = 100

/** Servers to choose from for one call. */
export interface PlacementRequest {
  readonly servers: readonly ListedServer[]
  /** Servers that this call was already sent to. */
  readonly triedServerIds: readonly string[]
}

function computeCost (db: PlacementDb, server: ListedServer, nowMs: Millis, random: RandomSource): number {
  const view = getOrCreateView(db, server)
  let cost = expectedUtilizationRatio(server, view, nowMs) + view.shedRatio + random() * COST_JITTER_RATIO
  if (server.dataCentre !== db.settings.ownDataCentre) cost += db.settings.remotePenaltyRatio
  if (nowMs < view.limitedUntilMs) cost += LIMITED_COST
  if (isEjected(view, nowMs)) cost += EJECTED_COST
  return cost
}

function isUsable (
  db: PlacementDb, { triedServerIds }: PlacementRequest, server: ListedServer, view: ServerView, nowMs: Millis
): boolean {
  return isReady(server) && !triedServerIds.includes(server.serverId) && !declinesWork(view, nowMs) &&
    nowMs >= view.leavingUntilMs && !isDeparting(db, server)
}

function selectCandidates (
  db: PlacementDb, request: PlacementRequest, nowMs: Millis
): ListedServer[] {
  return request.servers.filter(server => isUsable(db, request, server, getOrCreateView(db, server), nowMs))
}

/** A random sample of at most `COMPARED_MAX_COUNT` candidates, most of them from this node's data centre. */
function sampleCandidates (db: PlacementDb, candidates: ListedServer[], random: RandomSource): ListedServer[] {
  if (candidates.length <= COMPARED_MAX_COUNT) return candidates
  const own = candidates.filter(server => server.dataCentre === db.settings.ownDataCentre)
  const other = candidates.filter(server => server.dataCentre !== db.settings.ownDataCentre)
  const chosen: ListedServer[] = []
  for (const [pool, count] of [[own, COMPARED_MAX_COUNT - 2], [other, COMPARED_MAX_COUNT]] as const) {
    while (pool.length > 0 && chosen.length < count) {
      chosen.push(...pool.splice(Math.floor(random() * pool.length), 1))
    }
  }
  return chosen
}

/**
 * Chooses a server for a call. Servers of services that state a pace are chosen in proportion to expected free
 * capacity (see docs/design/evenLoad.md); if the sample has none that is usable, and for all other services, the one
 * of least cost is chosen.
 *
 * @example
 * choose(db, { servers, triedServerIds: [] }, 0, Math.random)?.awayReason
 */
function choose (
  db: PlacementDb, request: PlacementRequest, nowMs: Millis, random: RandomSource
): ServerChoice | undefined {
  const service = db.services.size === 0 ? undefined : db.services.get(request.servers[0]?.serviceName ?? '')
  if (isPaced(service, nowMs)) {
    const accepts: ServerFilter = (server, view) => isUsable(db, request, server, view, nowMs)
    const choice = chooseEvenly(db, service, request.servers, accepts, nowMs, random)
    if (choice !== undefined) return choice
  }
  const server = chooseLeastCost(db, request, nowMs, random)
  return server === undefined ? undefined : { server, awayReason: null }
}

/** The server of the choice, without its reason. */
function chooseServer (
  db: PlacementDb, request: PlacementRequest, nowMs: Millis, random: RandomSource
): ListedServer | undefined {
  return choose(db, request, nowMs, random)?.server
}

/**
 * Chooses the server with the lowest cost: its expected utilization plus penalties
 * for another data centre and for rejections and failures observed by this node.
 *
 * @example
 * chooseLeastCost(db, { servers, triedServerIds: [] }, 0, Math.random)?.serverId
 */
function chooseLeastCost (
  db: PlacementDb, request: PlacementRequest, nowMs: Millis, random: RandomSource
): ListedServer | undefined {
  let best: ListedServer | undefined
  let bestCost = Infinity
  for (const server of sampleCandidates(db, selectCandidates(db, request, nowMs), random)) {
    const cost = computeCost(db, server, nowMs, random)
    if (cost < bestCost) {
      best = server
      bestCost = cost
    }
  }
  return best
}

/** Records that a call was sent to a server. */
function recordSend (db: PlacementDb, server: ListedServer): void {
  const view = getOrCreateView(db, server)
  view.outstandingCount += 1
  view.sentSinceReportCount += 1
}

/** Stores a load report of a server's node that came with a call which held its slot for `slotMs`. */
function recordLoadReport (
  db: PlacementDb, server: ListedServer, load: LoadReport, nowMs: Millis, slotMs: Millis = 0
): void {
  recordServiceLoad(db, server, load, slotMs, nowMs)
  const view = getOrCreateView(db, server)
  view.report = load
  view.reportedAtMs = nowMs
  view.sentSinceReportCount = 0
}

/**
 * Records what a server asks for, as its node reports it. A node that does not know says nothing of the server, so
 * what is known here stays.
 */
function recordSignals (db: PlacementDb, server: ListedServer, signals: ServerSignals, nowMs: Millis): void {
  switch (signals.kind) {
    case 'unknown': return
    case 'none':
      if (limitOf(db, server) === null) return
      setLimit(db, server, null)
      getOrCreateView(db, server).limitedUntilMs = -Infinity
      return
    case 'limited': {
      const isAboutServer = mayBeAbout(signals, server)
      setLimit(db, isAboutServer ? server : signals, signals.limitPerS)
      if (isAboutServer) getOrCreateView(db, server).limitedUntilMs = nowMs + signals.startDelayMs
      return
    }
    case 'departing':
      markDeparting(db, mayBeAbout(signals, server) ? server : signals)
      return
    default: assertNever(signals)
  }
}

function recordFailure (view: ServerView, nowMs: Millis): void {
  view.consecutiveFailuresCount += 1
  const stepsCount = view.consecutiveFailuresCount - FAILURES_TO_EJECT_COUNT
  if (stepsCount < 0) return
  view.ejectedUntilMs = nowMs + Math.min(EJECT_MAX_MS, EJECT_FIRST_MS * 2 ** stepsCount)
}

/** Records how a call to a server ended; ejects the server after too many consecutive failures. */
function recordOutcome (db: PlacementDb, server: ListedServer, outcome: SendOutcome, nowMs: Millis): void {
  const view = getOrCreateView(db, server)
  view.outstandingCount = Math.max(0, view.outstandingCount - 1)
  switch (outcome) {
    case SendOutcome.Served:
    case SendOutcome.Failed:
      view.consecutiveFailuresCount = 0
      view.ejectedUntilMs = -Infinity
      view.shedRatio *= 1 - SHED_WEIGHT_RATIO
      return
    case SendOutcome.Shed:
      view.shedRatio += (1 - view.shedRatio) * SHED_WEIGHT_RATIO
      return
    case SendOutcome.Lost:
      recordFailure(view, nowMs)
      return
    case SendOutcome.Refused:
    case SendOutcome.Cancelled:
      return
    default:
      assertNever(outcome)
  }
}

/** Sets or clears the mark of a server whose node does not respond. */
function setUnresponsive (db: PlacementDb, server: ListedServer, isUnresponsive: boolean): void {
  getOrCreateView(db, server).isUnresponsive = isUnresponsive
}

/** Marks a server whose node shuts down. The mark ends by itself, in case the node's new process is not noticed. */
function markLeaving (db: PlacementDb, server: ListedServer, nowMs: Millis): void {
  getOrCreateView(db, server).leavingUntilMs = nowMs + LEAVING_MAX_MS
}

function isMarkedLeaving (db: PlacementDb, server: ListedServer, nowMs: Millis): boolean {
  return nowMs < getOrCreateView(db, server).leavingUntilMs
}

/** Clears the mark of a server whose node has started again. */
function clearLeaving (db: PlacementDb, server: ListedServer): void {
  getOrCreateView(db, server).leavingUntilMs = -Infinity
}

/** Starts the warm-up of a server that has just started and is slower for a while. */
function markWarmingUp (db: PlacementDb, server: ListedServer, nowMs: Millis): void {
  getOrCreateView(db, server).warmUntilMs = nowMs + server.warmingMs
}

/** Deletes the observations of a server that left, or whose id now belongs to a new incarnation. */
function removeServer (db: PlacementDb, serverId: string): void {
  db.views.delete(serverId)
}

/** The placement module: load balancing of calls across backend servers. */
export const placementDefinition = {
  createDb: createPlacementDb,
  clear: clearPlacementDb,
  choose,
  chooseServer,
  recordSend,
  recordLoadReport,
  recordSignals,
  limitOf,
  recordOutcome,
  setUnresponsive,
  markLeaving,
  isMarkedLeaving,
  clearLeaving,
  markWarmingUp,
  removeServer,
  getOrCreateView
}
