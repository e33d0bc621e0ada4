import type { Millis } from '../../clock/clock.js'
import type { NodeTarget, RoutingSettings } from './routingTypes.js'

/** This node's own observations of another node. */
export interface Peer {
  target: NodeTarget
  /** False once the node is no longer a target; kept until its last call has finished. */
  isListed: boolean
  outstandingCount: number
  /** Smoothed latency as of `latencyUpdatedAtMs`; -1 without an observation. */
  latencyMs: Millis
  latencyUpdatedAtMs: Millis
  /** Exponentially weighted ratio of refused and failed calls in 0..1, as of `refusedRatioUpdatedAtMs`. */
  refusedRatio: number
  refusedRatioUpdatedAtMs: Millis
  /** Failed calls since the node's last response. */
  consecutiveFailuresCount: number
  lastResponseAtMs: Millis
  /** Recent ejections, which set the exponential backoff of the next one. */
  ejectionsCount: number
  lastEjectedAtMs: Millis
  /** From when a probe call may be sent to the ejected node; null if it is not ejected. */
  ejectedUntilMs: Millis | null
  /** When the node was chosen for the probe call in progress; -Infinity without one. */
  probeChosenAtMs: Millis
  /** When the latest drain mark expires; -Infinity without one. */
  drainingUntilMs: Millis
}

/** The listed nodes of one service. */
export interface ServiceGroup {
  readonly peers: Peer[]
  readonly byDataCentre: Map<string, Peer[]>
  readonly ejected: Set<Peer>
  /** Smoothed latency over all nodes, also assumed for a node without observations. */
  latencyMs: Millis
}

/** State of the connections to one `ip:port`. Failures count since its last answer. */
export interface EndpointState {
  lastUsedAtMs: Millis
  connectFailuresCount: number
  isOpenedSinceAnswer: boolean
  failuresCount: number
  isProbeTimedOut: boolean
  connectTokens: number
  connectTokensUpdatedAtMs: Millis
}

export interface RoutingDb {
  readonly settings: RoutingSettings
  readonly peers: Map<string, Peer>
  readonly groups: Map<string, ServiceGroup>
  readonly endpoints: Map<string, EndpointState>
  /** Results recorded without a matching send. */
  unmatchedResultsCount: number
  /** Choices that went to a draining node. */
  drainingChoicesCount: number
}

export function createRoutingDb (settings: RoutingSettings): RoutingDb {
  return {
    settings,
    peers: new Map(),
    groups: new Map(),
    endpoints: new Map(),
    unmatchedResultsCount: 0,
    drainingChoicesCount: 0
  }
}

export function clearRoutingDb (db: RoutingDb): void {
  for (const map of [db.peers, db.groups, db.endpoints]) map.clear()
  db.unmatchedResultsCount = 0
  db.drainingChoicesCount = 0
}

/**
 * Replaces the set of nodes that calls may be sent to. A node that was not
 * listed before, or is listed at another address, is a new process and starts
 * without observations. Outstanding calls to the previous process still count.
 */
export function replaceTargets (db: RoutingDb, targets: readonly NodeTarget[], nowMs: Millis): void {
  const listedPeers = new Set<Peer>()
  for (const target of targets) listedPeers.add(upsertListedPeer(db, target, nowMs))
  for (const [nodeId, peer] of db.peers) {
    if (listedPeers.has(peer)) continue
    peer.isListed = false
    resetObservations(peer, nowMs)
    if (peer.outstandingCount === 0) db.peers.delete(nodeId)
  }
  const latencies = new Map([...db.groups].map(([name, group]) => [name, group.latencyMs]))
  db.groups.clear()
  for (const peer of listedPeers) addToGroup(db, peer, latencies)
}

function upsertListedPeer (db: RoutingDb, target: NodeTarget, nowMs: Millis): Peer {
  const existing = db.peers.get(target.nodeId)
  if (existing === undefined) {
    const peer = createPeer(target, nowMs)
    db.peers.set(target.nodeId, peer)
    return peer
  }
  const isSameProcess = existing.isListed && existing.target.address === target.address
  if (!isSameProcess) resetObservations(existing, nowMs)
  existing.target = target
  existing.isListed = true
  return existing
}

/**
 * Gets the peer that a call is sent to, or creates an unlisted one. The owner of
 * an idempotency key still gets calls for it while it drains and is not listed.
 * These calls count, because the node may be listed again before they end.
 */
export function getPeerOrCreateUnlisted (db: RoutingDb, nodeId: string, nowMs: Millis): Peer {
  const existing = db.peers.get(nodeId)
  if (existing !== undefined) return existing
  const peer = { ...createPeer({ nodeId, address: '', serviceName: '', dataCentre: '' }, nowMs), isListed: false }
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
  const dataCentrePeers = group.byDataCentre.get(dataCentre)
  if (dataCentrePeers === undefined) group.byDataCentre.set(dataCentre, [peer])
  else dataCentrePeers.push(peer)
  if (peer.ejectedUntilMs !== null) group.ejected.add(peer)
}

function createPeer (target: NodeTarget, nowMs: Millis): Peer {
  return { target, isListed: true, outstandingCount: 0, ...initialObservations(nowMs) }
}

function resetObservations (peer: Peer, nowMs: Millis): void {
  Object.assign(peer, initialObservations(nowMs))
}

function initialObservations (nowMs: Millis): Omit<Peer, 'target' | 'isListed' | 'outstandingCount'> {
  return {
    latencyMs: -1,
    latencyUpdatedAtMs: nowMs,
    refusedRatio: 0,
    refusedRatioUpdatedAtMs: nowMs,
    consecutiveFailuresCount: 0,
    lastResponseAtMs: -Infinity,
    ejectionsCount: 0,
    lastEjectedAtMs: -Infinity,
    ejectedUntilMs: null,
    probeChosenAtMs: -Infinity,
    drainingUntilMs: -Infinity
  }
}

/** Gets the state of an endpoint, or creates it with `connectTokens` in its token bucket. */
export function getOrCreateEndpoint (
  db: RoutingDb, address: string, connectTokens: number, nowMs: Millis
): EndpointState {
  let endpoint = db.endpoints.get(address)
  if (endpoint === undefined) {
    endpoint = {
      lastUsedAtMs: nowMs,
      connectFailuresCount: 0,
      isOpenedSinceAnswer: false,
      failuresCount: 0,
      isProbeTimedOut: false,
      connectTokens,
      connectTokensUpdatedAtMs: nowMs
    }
    db.endpoints.set(address, endpoint)
  }
  return endpoint
}
