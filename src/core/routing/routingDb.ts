import type { Millis } from '../../clock/clock.js'
import type { NodeTarget, RoutingSettings } from './routingTypes.js'

/** Own observations of one node. */
export interface Peer {
  target: NodeTarget
  /** False once the node is no longer a target; kept until its last call has finished. */
  isListed: boolean
  outstandingCount: number
  latencyMs: Millis
  latencyAtMs: Millis
  /** Recent share of refused and failed calls in 0..1 as of `refusedAtMs`; it decays with time. */
  refusedRatio: number
  refusedAtMs: Millis
  /** Failures since the node last responded. */
  failuresCount: number
  respondedAtMs: Millis
  ejectionsCount: number
  ejectedAtMs: Millis
  /** Until when no call goes to the node; null if it is not ejected. */
  ejectedUntilMs: Millis | null
  /** When the probe call under way was chosen; -Infinity without one. */
  probeSentMs: Millis
  drainUntilMs: Millis
}

/** The nodes of one service. */
export interface ServiceGroup {
  readonly peers: Peer[]
  readonly byDataCentre: Map<string, Peer[]>
  readonly ejected: Set<Peer>
  /** Smoothed latency over all nodes; what is assumed of a node not heard from. */
  latencyMs: Millis
}

/** What the connections to one place showed since it last answered. */
export interface Place {
  seenAtMs: Millis
  openFailuresCount: number
  isOpened: boolean
  failuresCount: number
  isProbeLost: boolean
  connectTokens: number
  tokensAtMs: Millis
}

export interface RoutingDb {
  readonly settings: RoutingSettings
  readonly peers: Map<string, Peer>
  readonly groups: Map<string, ServiceGroup>
  readonly places: Map<string, Place>
  /** Results reported without a send before them. */
  unmatchedResultsCount: number
  /** Choices that went to a draining node. */
  drainingChoicesCount: number
}

export function createRoutingDb (settings: RoutingSettings): RoutingDb {
  return {
    settings,
    peers: new Map(),
    groups: new Map(),
    places: new Map(),
    unmatchedResultsCount: 0,
    drainingChoicesCount: 0
  }
}

export function clearRoutingDb (db: RoutingDb): void {
  for (const map of [db.peers, db.groups, db.places]) map.clear()
  db.unmatchedResultsCount = 0
  db.drainingChoicesCount = 0
}

/**
 * Replaces the set of nodes. A node that was not listed, or is listed at
 * another address, is a new process and starts without observations; calls to
 * its predecessor that are still outstanding go on being counted.
 */
export function replaceTargets (db: RoutingDb, targets: readonly NodeTarget[], nowMs: Millis): void {
  const listed = new Set<Peer>()
  for (const target of targets) listed.add(listPeer(db, target, nowMs))
  for (const [nodeId, peer] of db.peers) {
    if (listed.has(peer)) continue
    peer.isListed = false
    forgetObservations(peer, nowMs)
    if (peer.outstandingCount === 0) db.peers.delete(nodeId)
  }
  const latencies = new Map([...db.groups].map(([name, group]) => [name, group.latencyMs]))
  db.groups.clear()
  for (const peer of listed) addToGroup(db, peer, latencies)
}

function listPeer (db: RoutingDb, target: NodeTarget, nowMs: Millis): Peer {
  const known = db.peers.get(target.nodeId)
  if (known === undefined) {
    const peer = newPeer(target, nowMs)
    db.peers.set(target.nodeId, peer)
    return peer
  }
  const isSame = known.isListed && known.target.address === target.address
  if (!isSame) forgetObservations(known, nowMs)
  known.target = target
  known.isListed = true
  return known
}

/**
 * The peer that a call is sent to. The owner of a key gets calls while it drains
 * and is no target; they are counted, since it may be a target again before they end.
 */
export function peerSentTo (db: RoutingDb, nodeId: string, nowMs: Millis): Peer {
  const known = db.peers.get(nodeId)
  if (known !== undefined) return known
  const peer = { ...newPeer({ nodeId, address: '', serviceName: '', dataCentre: '' }, nowMs), isListed: false }
  db.peers.set(nodeId, peer)
  return peer
}

function addToGroup (db: RoutingDb, peer: Peer, latencies: ReadonlyMap<string, Millis>): void {
  const { serviceName, dataCentre } = peer.target
  let group = db.groups.get(serviceName)
  if (group === undefined) {
    group = { peers: [], byDataCentre: new Map(), ejected: new Set(), latencyMs: latencies.get(serviceName) ?? 0 }
    db.groups.set(serviceName, group)
  }
  group.peers.push(peer)
  const same = group.byDataCentre.get(dataCentre)
  if (same === undefined) group.byDataCentre.set(dataCentre, [peer])
  else same.push(peer)
  if (peer.ejectedUntilMs !== null) group.ejected.add(peer)
}

function newPeer (target: NodeTarget, nowMs: Millis): Peer {
  return { target, isListed: true, outstandingCount: 0, ...emptyObservations(nowMs) }
}

function forgetObservations (peer: Peer, nowMs: Millis): void {
  Object.assign(peer, emptyObservations(nowMs))
}

function emptyObservations (nowMs: Millis): Omit<Peer, 'target' | 'isListed' | 'outstandingCount'> {
  return {
    latencyMs: -1,
    latencyAtMs: nowMs,
    refusedRatio: 0,
    refusedAtMs: nowMs,
    failuresCount: 0,
    respondedAtMs: -Infinity,
    ejectionsCount: 0,
    ejectedAtMs: -Infinity,
    ejectedUntilMs: null,
    probeSentMs: -Infinity,
    drainUntilMs: -Infinity
  }
}

/** The state of a place, made when it is first seen with `connectTokens` to spend. */
export function placeOf (db: RoutingDb, place: string, connectTokens: number, nowMs: Millis): Place {
  let known = db.places.get(place)
  if (known === undefined) {
    known = {
      seenAtMs: nowMs,
      openFailuresCount: 0,
      isOpened: false,
      failuresCount: 0,
      isProbeLost: false,
      connectTokens,
      tokensAtMs: nowMs
    }
    db.places.set(place, known)
  }
  return known
}
