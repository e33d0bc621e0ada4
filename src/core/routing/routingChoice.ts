import type { Millis } from '../../clock/clock.js'
import type { RandomSource } from '../coreTypes.js'
import type { Peer, RoutingDb, ServiceGroup } from './routingDb.js'
import { expectedCost, isDraining, isProbeDue, decayedRefusedRatio } from './routingDetector.js'
import type { RouteChoice, RouteRequest } from './routingTypes.js'

/** Random draws for an eligible node before the search scans the nodes in order. */
const RANDOM_DRAWS_MAX_COUNT = 6
/**
 * Nodes tried in the local data centre before a call goes to another one. The
 * caller's share may be used up here and still be available elsewhere.
 */
const LOCAL_ATTEMPTS_MAX_COUNT = 2
/**
 * The second of two nodes is preferred only if its cost is below this ratio of
 * the first one's. With a strict comparison, the slightly most expensive of
 * three idle nodes would never be chosen.
 */
const EQUAL_COST_RATIO = 0.8

/** Inputs shared by the steps of one choice. */
interface ChoiceContext {
  readonly db: RoutingDb
  readonly group: ServiceGroup
  readonly request: RouteRequest
  readonly nowMs: Millis
  readonly random: RandomSource
}

const NO_PEERS: readonly Peer[] = []

/**
 * Chooses a node for a call with the power of two choices: the cheaper of two
 * random nodes. Nodes of the local data centre are preferred; the others follow
 * when none of them is eligible or when they refuse calls. An ejected node whose
 * ejection time is over gets a single call as a probe.
 *
 * @example
 * chooseNode(db, { serviceName: 'invoicing', ownDataCentre: 'tartu', triedNodeIds: [] }, 0, Math.random)
 */
export function chooseNode (
  db: RoutingDb, request: RouteRequest, nowMs: Millis, random: RandomSource
): RouteChoice {
  const group = db.groups.get(request.serviceName)
  if (group === undefined) return { kind: 'none' }
  const context = { db, group, request, nowMs, random }
  const localPeers = group.byDataCentre.get(request.ownDataCentre) ?? NO_PEERS
  const isLocalFirst = localPeers.length > 0 && countTried(localPeers, request.triedNodeIds) < LOCAL_ATTEMPTS_MAX_COUNT
  const probe = findPeerDueForProbe(context, isLocalFirst)
  if (probe !== undefined) return recordChoice(context, probe, true)
  const peer = isLocalFirst ? chooseLocalFirst(context, localPeers) : chooseRemoteFirst(context, localPeers)
  if (peer !== undefined) return recordChoice(context, peer, false)
  const lastResort = findPeerDueForProbe(context, false)
  return lastResort === undefined ? { kind: 'none' } : recordChoice(context, lastResort, true)
}

function chooseLocalFirst (context: ChoiceContext, localPeers: readonly Peer[]): Peer | undefined {
  const peer = pickCheaperOfTwo(context, localPeers, false)
  if (peer === undefined) return pickCheaperOfTwo(context, context.group.peers, true)
  // Calls move to other data centres in proportion to the refusals, so that entry nodes do not all switch at once.
  const localRefusedRatio = decayedRefusedRatio(peer, context.nowMs)
  if (localRefusedRatio === 0 || context.random() >= localRefusedRatio) return peer
  const remotePeer = pickCheaperOfTwo(context, context.group.peers, true)
  return remotePeer !== undefined && decayedRefusedRatio(remotePeer, context.nowMs) < localRefusedRatio
    ? remotePeer
    : peer
}

function chooseRemoteFirst (context: ChoiceContext, localPeers: readonly Peer[]): Peer | undefined {
  return pickCheaperOfTwo(context, context.group.peers, true) ?? pickCheaperOfTwo(context, localPeers, false)
}

function pickCheaperOfTwo (context: ChoiceContext, peers: readonly Peer[], isRemoteOnly: boolean): Peer | undefined {
  const first = pickRandomEligible(context, peers, isRemoteOnly, undefined)
  if (first === undefined || !context.db.settings.choiceOfTwo) return first
  const second = pickRandomEligible(context, peers, isRemoteOnly, first)
  if (second === undefined) return first
  const { group, nowMs } = context
  return expectedCost(second, group, nowMs) < EQUAL_COST_RATIO * expectedCost(first, group, nowMs) ? second : first
}

/** Picks a random eligible node, or undefined if there is none. */
function pickRandomEligible (
  context: ChoiceContext, peers: readonly Peer[], isRemoteOnly: boolean, excluded: Peer | undefined
): Peer | undefined {
  const count = peers.length
  if (count === 0) return undefined
  let index = 0
  for (let draw = 0; draw < RANDOM_DRAWS_MAX_COUNT; draw++) {
    index = Math.floor(context.random() * count)
    const peer = peers[index]!
    if (peer !== excluded && isEligible(context, peer, isRemoteOnly)) return peer
  }
  for (let step = 1; step <= count; step++) {
    const peer = peers[(index + step) % count]!
    if (peer !== excluded && isEligible(context, peer, isRemoteOnly)) return peer
  }
  return undefined
}

function isEligible (context: ChoiceContext, peer: Peer, isRemoteOnly: boolean): boolean {
  const { request, nowMs } = context
  return peer.ejectedUntilMs === null && !isDraining(peer, nowMs) &&
    !(isRemoteOnly && peer.target.dataCentre === request.ownDataCentre) &&
    !request.triedNodeIds.includes(peer.target.nodeId)
}

/** Finds an ejected node that is due for a probe and that this call may be sent to. */
function findPeerDueForProbe (context: ChoiceContext, isLocalOnly: boolean): Peer | undefined {
  const { group, request, nowMs } = context
  if (group.ejected.size === 0) return undefined
  for (const peer of group.ejected) {
    if (!isProbeDue(peer, nowMs) || isDraining(peer, nowMs)) continue
    if (isLocalOnly && peer.target.dataCentre !== request.ownDataCentre) continue
    if (!request.triedNodeIds.includes(peer.target.nodeId)) return peer
  }
  return undefined
}

function countTried (peers: readonly Peer[], triedNodeIds: readonly string[]): number {
  if (triedNodeIds.length === 0) return 0
  return peers.reduce((count, peer) => count + Number(triedNodeIds.includes(peer.target.nodeId)), 0)
}

function recordChoice (context: ChoiceContext, peer: Peer, isProbe: boolean): RouteChoice {
  if (isProbe) peer.probeChosenAtMs = context.nowMs
  if (isDraining(peer, context.nowMs)) context.db.drainingChoicesCount++
  return { kind: 'target', target: peer.target, isProbe }
}
