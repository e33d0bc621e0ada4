import type { Millis } from '../../clock/clock.js'
import type { RandomSource } from '../coreTypes.js'
import type { Peer, RoutingDb, ServiceGroup } from './routingDb.js'
import { costOf, isDraining, isProbeDue, refusedRatio } from './routingDetector.js'
import type { RouteChoice, RouteRequest } from './routingTypes.js'

/** Random draws before the nodes are gone through in order. */
const DRAWS_COUNT = 6
/** After this many tries in the own data centre a call goes to another one, where the caller may have share left. */
const OWN_TRIES_COUNT = 2
/**
 * Costs closer together than this count as equal. Otherwise, of three idle
 * nodes, the one with the slightest mark against it would never be chosen.
 */
const EQUAL_COST_RATIO = 0.8

/** What one choice needs to know about the call. */
interface Search {
  readonly db: RoutingDb
  readonly group: ServiceGroup
  readonly request: RouteRequest
  readonly nowMs: Millis
  readonly random: RandomSource
}

const NO_PEERS: readonly Peer[] = []

/**
 * Chooses a node for a call: the cheaper of two random ones, from the own data
 * centre as long as it takes the call, else from the others. An ejected node
 * whose time is over gets a single call as a probe.
 *
 * @example
 * choose(db, { serviceName: 'invoicing', ownDataCentre: 'tartu', triedNodeIds: [] }, 0, Math.random)
 */
export function choose (
  db: RoutingDb, request: RouteRequest, nowMs: Millis, random: RandomSource
): RouteChoice {
  const group = db.groups.get(request.serviceName)
  if (group === undefined) return { kind: 'none' }
  const search = { db, group, request, nowMs, random }
  const own = group.byDataCentre.get(request.ownDataCentre) ?? NO_PEERS
  const isOwnFirst = own.length > 0 && triedCount(own, request.triedNodeIds) < OWN_TRIES_COUNT
  const probe = dueProbe(search, isOwnFirst)
  if (probe !== undefined) return chosen(search, probe, true)
  const peer = isOwnFirst ? chooseOwnFirst(search, own) : chooseOtherFirst(search, own)
  if (peer !== undefined) return chosen(search, peer, false)
  const lastResort = dueProbe(search, false)
  return lastResort === undefined ? { kind: 'none' } : chosen(search, lastResort, true)
}

function chooseOwnFirst (search: Search, own: readonly Peer[]): Peer | undefined {
  const peer = pickTwo(search, own, false)
  if (peer === undefined) return pickTwo(search, search.group.peers, true)
  // Calls move in proportion to the refusals, so that entry nodes do not all swing over at once.
  const ownRefused = refusedRatio(peer, search.nowMs)
  if (ownRefused === 0 || search.random() >= ownRefused) return peer
  const other = pickTwo(search, search.group.peers, true)
  return other !== undefined && refusedRatio(other, search.nowMs) < ownRefused ? other : peer
}

function chooseOtherFirst (search: Search, own: readonly Peer[]): Peer | undefined {
  return pickTwo(search, search.group.peers, true) ?? pickTwo(search, own, false)
}

function pickTwo (search: Search, peers: readonly Peer[], isOtherOnly: boolean): Peer | undefined {
  const first = pickOne(search, peers, isOtherOnly, undefined)
  if (first === undefined || !search.db.settings.choiceOfTwo) return first
  const second = pickOne(search, peers, isOtherOnly, first)
  if (second === undefined) return first
  const { group, nowMs } = search
  return costOf(second, group, nowMs) < EQUAL_COST_RATIO * costOf(first, group, nowMs) ? second : first
}

/** A random node that may get the call. */
function pickOne (
  search: Search, peers: readonly Peer[], isOtherOnly: boolean, except: Peer | undefined
): Peer | undefined {
  const count = peers.length
  if (count === 0) return undefined
  let at = 0
  for (let draw = 0; draw < DRAWS_COUNT; draw++) {
    at = Math.floor(search.random() * count)
    const peer = peers[at]!
    if (peer !== except && mayTake(search, peer, isOtherOnly)) return peer
  }
  for (let step = 1; step <= count; step++) {
    const peer = peers[(at + step) % count]!
    if (peer !== except && mayTake(search, peer, isOtherOnly)) return peer
  }
  return undefined
}

function mayTake (search: Search, peer: Peer, isOtherOnly: boolean): boolean {
  const { request, nowMs } = search
  return peer.ejectedUntilMs === null && !isDraining(peer, nowMs) &&
    !(isOtherOnly && peer.target.dataCentre === request.ownDataCentre) &&
    !request.triedNodeIds.includes(peer.target.nodeId)
}

/** An ejected node that is due for a probe call and may get this one. */
function dueProbe (search: Search, isOwnOnly: boolean): Peer | undefined {
  const { group, request, nowMs } = search
  if (group.ejected.size === 0) return undefined
  for (const peer of group.ejected) {
    if (!isProbeDue(peer, nowMs) || isDraining(peer, nowMs)) continue
    if (isOwnOnly && peer.target.dataCentre !== request.ownDataCentre) continue
    if (!request.triedNodeIds.includes(peer.target.nodeId)) return peer
  }
  return undefined
}

function triedCount (peers: readonly Peer[], triedNodeIds: readonly string[]): number {
  if (triedNodeIds.length === 0) return 0
  return peers.reduce((count, peer) => count + Number(triedNodeIds.includes(peer.target.nodeId)), 0)
}

function chosen (search: Search, peer: Peer, isProbe: boolean): RouteChoice {
  if (isProbe) peer.probeSentMs = search.nowMs
  if (isDraining(peer, search.nowMs)) search.db.drainingChoicesCount++
  return { kind: 'target', target: peer.target, isProbe }
}
