import type { Millis } from '../../clock/clock.js'
import { ModuleId } from '../coreTypes.js'
import { assertNever } from '../../errors/errors.js'
import { choose } from './routingChoice.js'
import { adviseConnection, connectionSeen, dropOldPlaces, mayConnect } from './routingConnections.js'
import {
  clearRoutingDb, createRoutingDb, peerSentTo, replaceTargets, type Peer, type RoutingDb, type ServiceGroup
} from './routingDb.js'
import {
  ejectedMaxCount, ejectionMs, isDraining, isEjectionStale, isPlaceDown, latencyOf, refusedRatio, routingViolations
} from './routingDetector.js'
import { PeerResult, type NodeTarget, type PeerReading, type RoutingModule } from './routingTypes.js'

/** Weight of one result in a node's smoothed refusals. */
const REFUSED_WEIGHT_RATIO = 0.3
/** Weight of one result in a node's smoothed latency. */
const LATENCY_WEIGHT_RATIO = 0.2
/** Weight of one result in the service's smoothed latency, which averages over many nodes. */
const GROUP_LATENCY_WEIGHT_RATIO = 0.05
/** A node that was not ejected for this long starts again with the shortest ejection. */
const EJECTIONS_FORGOTTEN_MS = 10_000

function setTargets (db: RoutingDb, targets: readonly NodeTarget[], nowMs: Millis): void {
  replaceTargets(db, targets, nowMs)
  for (const group of db.groups.values()) holdEjectionBound(db, group)
}

/** Brings nodes back, those whose time ends first before others, until the bound holds for a smaller service. */
function holdEjectionBound (db: RoutingDb, group: ServiceGroup): void {
  const excessCount = group.ejected.size - ejectedMaxCount(group, db.settings)
  if (excessCount <= 0) return
  const byEnd = [...group.ejected].sort((a, b) => (a.ejectedUntilMs ?? 0) - (b.ejectedUntilMs ?? 0))
  for (const peer of byEnd.slice(0, excessCount)) bringBack(group, peer)
}

function bringBack (group: ServiceGroup, peer: Peer): void {
  peer.ejectedUntilMs = null
  peer.probeSentMs = -Infinity
  peer.failuresCount = 0
  // What failed calls showed says nothing about the node now.
  peer.latencyMs = -1
  peer.refusedRatio = 0
  group.ejected.delete(peer)
}

function sent (db: RoutingDb, nodeId: string, nowMs: Millis): void {
  peerSentTo(db, nodeId, nowMs).outstandingCount++
}

function finished (
  db: RoutingDb, nodeId: string, result: PeerResult, latencyMs: Millis, nowMs: Millis
): void {
  const peer = db.peers.get(nodeId)
  if (peer === undefined) return
  if (peer.outstandingCount > 0) peer.outstandingCount--
  else db.unmatchedResultsCount++
  if (!peer.isListed) {
    if (peer.outstandingCount === 0) db.peers.delete(nodeId)
    return
  }
  const group = db.groups.get(peer.target.serviceName)
  if (group !== undefined) noteResult(db, group, peer, result, latencyMs, nowMs)
}

function noteResult (
  db: RoutingDb, group: ServiceGroup, peer: Peer, result: PeerResult, latencyMs: Millis, nowMs: Millis
): void {
  switch (result) {
    case PeerResult.Cancelled:
      peer.probeSentMs = -Infinity
      return
    case PeerResult.RefusedDraining:
      peer.drainUntilMs = nowMs + db.settings.drainMarkTtlMs
      noteResponse(group, peer, nowMs)
      return
    case PeerResult.Answered:
      noteResponse(group, peer, nowMs)
      noteServed(peer, true, nowMs)
      noteGroupLatency(group, latencyMs)
      noteLatency(group, peer, latencyMs, nowMs)
      return
    case PeerResult.RefusedOverload:
      noteResponse(group, peer, nowMs)
      noteServed(peer, false, nowMs)
      return
    case PeerResult.RefusedShare:
      // A used-up share concerns one caller only, so it does not count against the node.
      noteResponse(group, peer, nowMs)
      return
    case PeerResult.TimedOut:
      noteLatency(group, peer, latencyMs, nowMs)
      // A node that responded to another call since then is there; only a connection went silent.
      if (nowMs - latencyMs >= peer.respondedAtMs) noteFailure(db, group, peer, nowMs)
      return
    case PeerResult.RefusedBackendDown:
    case PeerResult.ConnectFailed:
    case PeerResult.ConnectionLost:
      noteFailure(db, group, peer, nowMs)
      return
    default:
      assertNever(result)
  }
}

/** A response of any kind shows that the node is there. */
function noteResponse (group: ServiceGroup, peer: Peer, nowMs: Millis): void {
  peer.failuresCount = 0
  peer.respondedAtMs = nowMs
  if (peer.ejectedUntilMs !== null) bringBack(group, peer)
}

function noteServed (peer: Peer, isServed: boolean, nowMs: Millis): void {
  const before = refusedRatio(peer, nowMs)
  const after = before + ((isServed ? 0 : 1) - before) * REFUSED_WEIGHT_RATIO
  peer.refusedRatio = after < 0.001 ? 0 : after
  peer.refusedAtMs = nowMs
}

/** Takes a latency into the average of the service; that of a timeout says nothing about the other nodes. */
function noteGroupLatency (group: ServiceGroup, latencyMs: Millis): void {
  if (group.latencyMs === 0) group.latencyMs = latencyMs
  else group.latencyMs += (latencyMs - group.latencyMs) * GROUP_LATENCY_WEIGHT_RATIO
}

function noteLatency (group: ServiceGroup, peer: Peer, latencyMs: Millis, nowMs: Millis): void {
  const before = latencyOf(peer, group, nowMs)
  peer.latencyMs = before + (latencyMs - before) * LATENCY_WEIGHT_RATIO
  peer.latencyAtMs = nowMs
}

function noteFailure (db: RoutingDb, group: ServiceGroup, peer: Peer, nowMs: Millis): void {
  peer.failuresCount++
  noteServed(peer, false, nowMs)
  if (peer.ejectedUntilMs !== null) {
    // Calls sent before the ejection also end here; only a failed probe prolongs it.
    if (peer.probeSentMs !== -Infinity) eject(db, group, peer, peer.probeSentMs)
  } else if (peer.failuresCount >= db.settings.failuresToEjectCount && hasEjectionRoom(db, group, nowMs)) {
    eject(db, group, peer, nowMs)
  }
}

function hasEjectionRoom (db: RoutingDb, group: ServiceGroup, nowMs: Millis): boolean {
  const maxCount = ejectedMaxCount(group, db.settings)
  if (group.ejected.size >= maxCount) {
    for (const peer of group.ejected) if (isEjectionStale(peer, nowMs)) bringBack(group, peer)
  }
  return group.ejected.size < maxCount
}

function eject (db: RoutingDb, group: ServiceGroup, peer: Peer, fromMs: Millis): void {
  if (fromMs - peer.ejectedAtMs > EJECTIONS_FORGOTTEN_MS) peer.ejectionsCount = 0
  peer.ejectedUntilMs = fromMs + ejectionMs(peer.ejectionsCount, db.settings)
  peer.ejectedAtMs = fromMs
  peer.ejectionsCount++
  peer.probeSentMs = -Infinity
  group.ejected.add(peer)
}

function markDraining (db: RoutingDb, nodeId: string, nowMs: Millis): void {
  const peer = db.peers.get(nodeId)
  if (peer !== undefined) peer.drainUntilMs = nowMs + db.settings.drainMarkTtlMs
}

function clearDraining (db: RoutingDb, nodeId: string): void {
  const peer = db.peers.get(nodeId)
  if (peer !== undefined) peer.drainUntilMs = -Infinity
}

function readings (db: RoutingDb, nowMs: Millis): PeerReading[] {
  return [...db.peers.values()].filter(peer => peer.isListed).map(peer => ({
    nodeId: peer.target.nodeId,
    serviceName: peer.target.serviceName,
    outstandingCount: peer.outstandingCount,
    latencyMs: Math.max(0, peer.latencyMs),
    ejectedUntilMs: peer.ejectedUntilMs,
    draining: isDraining(peer, nowMs)
  }))
}

/**
 * Choice of nodes and care of connections, from the node's own observations.
 *
 * @example
 * const db = routingDefinition.createDb(routingDefinition.defaults)
 * routingDefinition.setTargets(db, targets, 0)
 * routingDefinition.choose(db, { serviceName: 'invoicing', ownDataCentre: 'tartu', triedNodeIds: [] }, 0, random)
 */
export const routingDefinition: RoutingModule<RoutingDb> = {
  id: ModuleId.Routing,
  defaults: {
    choiceOfTwo: true,
    ejectBaseMs: 100,
    // With a longer time a node that is well again would stay unused for more than a second.
    ejectMaxMs: 800,
    maxEjectedRatio: 0.5,
    failuresToEjectCount: 3,
    idleProbeAfterMs: 5000,
    connectsPerS: 200,
    drainMarkTtlMs: 30_000
  },
  createDb: createRoutingDb,
  clear: clearRoutingDb,
  tick: dropOldPlaces,
  violations: routingViolations,
  setTargets,
  choose,
  sent,
  finished,
  markDraining,
  clearDraining,
  targetOf: (db, nodeId) => db.peers.get(nodeId)?.target,
  connectionSeen,
  adviseConnection,
  mayConnect,
  isDown: (db, place, nowMs) => isPlaceDown(db.places.get(place), nowMs),
  readings
}
