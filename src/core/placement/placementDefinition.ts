import type { Millis } from '../../clock/clock.js'
import { assertNever } from '../../errors/errors.js'
import type { RandomSource } from '../coreTypes.js'
import type { ListedServer } from '../discovery/discoveryTypes.js'
import { isReady } from '../discovery/discoveryDetector.js'
import { clearPlacementDb, createPlacementDb, viewOf, type PlacementDb } from './placementDb.js'
import { declinesWork, isEjected, utilization } from './placementDetector.js'
import { SendOutcome, type LoadReport, type ServerView } from './placementTypes.js'

/** Servers compared for one call; more would cost time in proportion to the fleet. */
const COMPARED_MAX_COUNT = 8
/** Random part of a server's cost, so that nodes with the same view do not all choose the same server. */
const JITTER_RATIO = 0.08
/** Weight of one outcome in the moving share of refusals by a server. */
const SHED_WEIGHT_RATIO = 0.05
/** Failures in a row after which a server is left alone for a while. */
const FAILURES_TO_EJECT_COUNT = 3
const EJECT_FIRST_MS: Millis = 200
const EJECT_MAX_MS: Millis = 2_000
/** Cost that ranks ejected servers behind all others; they are used when nothing else is left. */
const EJECTED_COST = 100

export interface PlacementQuestion {
  readonly servers: readonly ListedServer[]
  /** Servers that have had this call already. */
  readonly triedServerIds: readonly string[]
}

function costOf (db: PlacementDb, server: ListedServer, nowMs: Millis, random: RandomSource): number {
  const view = viewOf(db, server)
  let cost = utilization(server, view, nowMs) + view.shedRatio + random() * JITTER_RATIO
  if (server.dataCentre !== db.settings.ownDataCentre) cost += db.settings.remotePenaltyRatio
  if (isEjected(view, nowMs)) cost += EJECTED_COST
  return cost
}

function candidatesOf (
  db: PlacementDb, question: PlacementQuestion, nowMs: Millis
): ListedServer[] {
  return question.servers.filter(server => isReady(server) && !question.triedServerIds.includes(server.serverId) &&
    !declinesWork(viewOf(db, server), nowMs) && !viewOf(db, server).isLeaving)
}

/** A bounded random part of the candidates, those of the own data centre first. */
function sample (db: PlacementDb, candidates: ListedServer[], random: RandomSource): ListedServer[] {
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
 * Chooses the server with the lowest cost: its load, with a penalty for another
 * data centre and for refusals and failures seen first-hand.
 *
 * @example
 * choose(db, { servers, triedServerIds: [] }, 0, Math.random)?.serverId
 */
function choose (
  db: PlacementDb, question: PlacementQuestion, nowMs: Millis, random: RandomSource
): ListedServer | undefined {
  let best: ListedServer | undefined
  let bestCost = Infinity
  for (const server of sample(db, candidatesOf(db, question, nowMs), random)) {
    const cost = costOf(db, server, nowMs, random)
    if (cost < bestCost) {
      best = server
      bestCost = cost
    }
  }
  return best
}

/** Notes that a call went to a server. */
function sent (db: PlacementDb, server: ListedServer): void {
  const view = viewOf(db, server)
  view.outstandingCount += 1
  view.sentSinceReportCount += 1
}

/** Takes a load report of a server's node. */
function report (db: PlacementDb, server: ListedServer, load: LoadReport, nowMs: Millis): void {
  const view = viewOf(db, server)
  view.report = load
  view.reportedAtMs = nowMs
  view.sentSinceReportCount = 0
}

function fail (view: ServerView, nowMs: Millis): void {
  view.failuresInRowCount += 1
  const stepsCount = view.failuresInRowCount - FAILURES_TO_EJECT_COUNT
  if (stepsCount < 0) return
  view.ejectedUntilMs = nowMs + Math.min(EJECT_MAX_MS, EJECT_FIRST_MS * 2 ** stepsCount)
}

/** Notes how a call at a server ended. */
function ended (db: PlacementDb, server: ListedServer, outcome: SendOutcome, nowMs: Millis): void {
  const view = viewOf(db, server)
  view.outstandingCount = Math.max(0, view.outstandingCount - 1)
  switch (outcome) {
    case SendOutcome.Served:
    case SendOutcome.Failed:
      view.failuresInRowCount = 0
      view.ejectedUntilMs = -Infinity
      view.shedRatio *= 1 - SHED_WEIGHT_RATIO
      return
    case SendOutcome.Shed:
      view.shedRatio += (1 - view.shedRatio) * SHED_WEIGHT_RATIO
      return
    case SendOutcome.Lost:
      fail(view, nowMs)
      return
    case SendOutcome.Refused:
    case SendOutcome.Cancelled:
      return
    default:
      assertNever(outcome)
  }
}

/** Marks a server whose node is silent, or clears the mark. */
function setSilent (db: PlacementDb, server: ListedServer, isSilent: boolean): void {
  viewOf(db, server).isSilent = isSilent
}

/** Marks a server whose node stops, or clears the mark when its next process is up. */
function setLeaving (db: PlacementDb, server: ListedServer, isLeaving: boolean): void {
  viewOf(db, server).isLeaving = isLeaving
}

/** Notes that a server has just started and works slower for a while. */
function warming (db: PlacementDb, server: ListedServer, nowMs: Millis): void {
  viewOf(db, server).warmUntilMs = nowMs + server.warmingMs
}

/** Forgets a server that left, or whose id stands for a new incarnation. */
function forget (db: PlacementDb, serverId: string): void {
  db.views.delete(serverId)
}

/** The placement family: which backend server a call goes to. */
export const placementDefinition = {
  createDb: createPlacementDb,
  clear: clearPlacementDb,
  choose,
  sent,
  report,
  ended,
  setSilent,
  setLeaving,
  warming,
  forget,
  viewOf
}
