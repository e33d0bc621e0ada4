import type { Millis } from '../../clock/clock.js'
import { ModuleId } from '../coreTypes.js'
import { assertNever } from '../../errors/errors.js'
import { chooseNode } from './routingChoice.js'
import { adviseConnection, recordConnectionEvent, removeUnusedEndpoints, mayConnect } from './routingConnections.js'
import {
  clearRoutingDb, createRoutingDb, getPeerOrCreateUnlisted, replaceTargets, type Peer, type RoutingDb, type ServiceGroup
} from './routingDb.js'
import {
  ejectedMaxCount, ejectionDurationMs, isDraining, isEjectionStale, isEndpointUnreachable, estimatedLatencyMs,
  decayedRefusedRatio, routingViolations
} from './routingDetector.js'
import { PeerResult, type NodeTarget, type PeerReading, type RoutingModule } from './routingTypes.js'

/** Weight of one result in a node's moving average of refusals. */
const REFUSED_WEIGHT_RATIO = 0.3
/** Weight of one result in a node's moving average of latency. */
const LATENCY_WEIGHT_RATIO = 0.2
/** Weight of one result in the service's moving average of latency, which gets the results of many nodes. */
const SERVICE_LATENCY_WEIGHT_RATIO = 0.05
/** The ejection backoff of a node starts again at its base when its last ejection is older than this. */
const EJECTION_BACKOFF_RESET_MS = 10_000

function setTargets (db: RoutingDb, targets: readonly NodeTarget[], nowMs: Millis): void {
  replaceTargets(db, targets, nowMs)
  for (const group of db.groups.values()) enforceEjectionLimit(db, group)
}

/** Ends the ejections that expire first until the limit holds again, for a service that has become smaller. */
function enforceEjectionLimit (db: RoutingDb, group: ServiceGroup): void {
  const excessCount = group.ejected.size - ejectedMaxCount(group, db.settings)
  if (excessCount <= 0) return
  const byEjectionEnd = [...group.ejected].sort((a, b) => (a.ejectedUntilMs ?? 0) - (b.ejectedUntilMs ?? 0))
  for (const peer of byEjectionEnd.slice(0, excessCount)) endEjection(group, peer)
}

function endEjection (group: ServiceGroup, peer: Peer): void {
  peer.ejectedUntilMs = null
  peer.probeChosenAtMs = -Infinity
  peer.consecutiveFailuresCount = 0
  // Averages that include the failed calls no longer describe the node.
  peer.latencyMs = -1
  peer.refusedRatio = 0
  group.ejected.delete(peer)
}

function recordSend (db: RoutingDb, nodeId: string, nowMs: Millis): void {
  getPeerOrCreateUnlisted(db, nodeId, nowMs).outstandingCount++
}

function recordResult (
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
  if (group !== undefined) applyResult(db, group, peer, result, latencyMs, nowMs)
}

function applyResult (
  db: RoutingDb, group: ServiceGroup, peer: Peer, result: PeerResult, latencyMs: Millis, nowMs: Millis
): void {
  switch (result) {
    case PeerResult.Cancelled:
      peer.probeChosenAtMs = -Infinity
      return
    case PeerResult.RefusedDraining:
      peer.drainingUntilMs = nowMs + db.settings.drainMarkTtlMs
      recordResponse(group, peer, nowMs)
      return
    case PeerResult.Answered:
      recordResponse(group, peer, nowMs)
      updateRefusedRatio(peer, true, nowMs)
      updateServiceLatency(group, latencyMs)
      updatePeerLatency(group, peer, latencyMs, nowMs)
      return
    case PeerResult.RefusedOverload:
      recordResponse(group, peer, nowMs)
      updateRefusedRatio(peer, false, nowMs)
      return
    case PeerResult.RefusedShare:
      // The caller has used up its share at the node; this says nothing about the node's load.
      recordResponse(group, peer, nowMs)
      return
    case PeerResult.TimedOut:
      updatePeerLatency(group, peer, latencyMs, nowMs)
      // If the node has responded to another call since this one was sent, only a connection is broken.
      if (nowMs - latencyMs >= peer.lastResponseAtMs) recordFailure(db, group, peer, nowMs)
      return
    case PeerResult.RefusedBackendDown:
    case PeerResult.ConnectFailed:
    case PeerResult.ConnectionLost:
      recordFailure(db, group, peer, nowMs)
      return
    default:
      assertNever(result)
  }
}

/** Any response, also a refusal, shows that the node is reachable, and ends its ejection. */
function recordResponse (group: ServiceGroup, peer: Peer, nowMs: Millis): void {
  peer.consecutiveFailuresCount = 0
  peer.lastResponseAtMs = nowMs
  if (peer.ejectedUntilMs !== null) endEjection(group, peer)
}

function updateRefusedRatio (peer: Peer, isServed: boolean, nowMs: Millis): void {
  const before = decayedRefusedRatio(peer, nowMs)
  const after = before + ((isServed ? 0 : 1) - before) * REFUSED_WEIGHT_RATIO
  peer.refusedRatio = after < 0.001 ? 0 : after
  peer.refusedRatioUpdatedAtMs = nowMs
}

/** Adds an answer's latency to the average of the service. Timeouts are left out: they concern one node only. */
function updateServiceLatency (group: ServiceGroup, latencyMs: Millis): void {
  if (group.latencyMs === 0) group.latencyMs = latencyMs
  else group.latencyMs += (latencyMs - group.latencyMs) * SERVICE_LATENCY_WEIGHT_RATIO
}

function updatePeerLatency (group: ServiceGroup, peer: Peer, latencyMs: Millis, nowMs: Millis): void {
  const before = estimatedLatencyMs(peer, group, nowMs)
  peer.latencyMs = before + (latencyMs - before) * LATENCY_WEIGHT_RATIO
  peer.latencyUpdatedAtMs = nowMs
}

function recordFailure (db: RoutingDb, group: ServiceGroup, peer: Peer, nowMs: Millis): void {
  peer.consecutiveFailuresCount++
  updateRefusedRatio(peer, false, nowMs)
  if (peer.ejectedUntilMs !== null) {
    // Failures of calls sent before the ejection also get here; only a failed probe prolongs it.
    if (peer.probeChosenAtMs !== -Infinity) eject(db, group, peer, peer.probeChosenAtMs)
  } else if (
    peer.consecutiveFailuresCount >= db.settings.failuresToEjectCount && allowsAnotherEjection(db, group, nowMs)
  ) {
    eject(db, group, peer, nowMs)
  }
}

/** Whether one more node may be ejected. At the limit, ends stale ejections first. */
function allowsAnotherEjection (db: RoutingDb, group: ServiceGroup, nowMs: Millis): boolean {
  const maxCount = ejectedMaxCount(group, db.settings)
  if (group.ejected.size >= maxCount) {
    for (const peer of group.ejected) if (isEjectionStale(peer, nowMs)) endEjection(group, peer)
  }
  return group.ejected.size < maxCount
}

/** Ejects a node with exponential backoff, or prolongs its ejection. */
function eject (db: RoutingDb, group: ServiceGroup, peer: Peer, startMs: Millis): void {
  if (startMs - peer.lastEjectedAtMs > EJECTION_BACKOFF_RESET_MS) peer.ejectionsCount = 0
  peer.ejectedUntilMs = startMs + ejectionDurationMs(peer.ejectionsCount, db.settings)
  peer.lastEjectedAtMs = startMs
  peer.ejectionsCount++
  peer.probeChosenAtMs = -Infinity
  group.ejected.add(peer)
}

function markDraining (db: RoutingDb, nodeId: string, nowMs: Millis): void {
  const peer = db.peers.get(nodeId)
  if (peer !== undefined) peer.drainingUntilMs = nowMs + db.settings.drainMarkTtlMs
}

function clearDraining (db: RoutingDb, nodeId: string): void {
  const peer = db.peers.get(nodeId)
  if (peer !== undefined) peer.drainingUntilMs = -Infinity
}

function peerReadings (db: RoutingDb, nowMs: Millis): PeerReading[] {
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
 * Routing: chooses the node for a call and watches the health of connections,
 * based on this node's own observations only.
 *
 * @example
 * const db = routingDefinition.createDb(routingDefinition.defaults)
 * routingDefinition.setTargets(db, targets, 0)
 * routingDefinition.chooseNode(db, { serviceName: 'invoicing', ownDataCentre: 'tartu', triedNodeIds: [] }, 0, random)
 */
export const routingDefinition: RoutingModule<RoutingDb> = {
  id: ModuleId.Routing,
  defaults: {
    choiceOfTwo: true,
    ejectBaseMs: 100,
    // With a longer ejection a recovered node would stay unused for more than a second.
    ejectMaxMs: 800,
    maxEjectedRatio: 0.5,
    failuresToEjectCount: 3,
    idleProbeAfterMs: 5000,
    connectsPerS: 200,
    drainMarkTtlMs: 30_000
  },
  createDb: createRoutingDb,
  clear: clearRoutingDb,
  tick: removeUnusedEndpoints,
  violations: routingViolations,
  setTargets,
  chooseNode,
  recordSend,
  recordResult,
  markDraining,
  clearDraining,
  targetOf: (db, nodeId) => db.peers.get(nodeId)?.target,
  recordConnectionEvent,
  adviseConnection,
  mayConnect,
  isUnreachable: (db, address, nowMs) => isEndpointUnreachable(db.endpoints.get(address), nowMs),
  peerReadings
}
