import type { Millis } from '../../clock/clock.js'
import type { Violation } from '../coreTypes.js'
import type { Peer, EndpointState, RoutingDb, ServiceGroup } from './routingDb.js'
import type { RoutingSettings } from './routingTypes.js'

/**
 * Time constant of the exponential decay of refusals. A recovered node gets its
 * full share of the calls again within a second.
 */
const REFUSED_DECAY_MS = 500
/**
 * Time constant at which the latency of a node returns to the service's average
 * without new observations. A node that was ten times slower is tried again
 * after about 1 s.
 */
const LATENCY_DECAY_MS = 300
/** Cap on a node's latency relative to the service's average; a larger one would delay its return beyond 1 s. */
const LATENCY_MAX_RATIO = 10
/** Keeps the cost of a node that refuses every call finite, at 50 times that of one that refuses none. */
const REFUSED_FLOOR_RATIO = 0.02
/** Added to every latency, so that differences below it have little effect on the cost. */
const LATENCY_FLOOR_MS = 1
/**
 * A probe call without a result for this long no longer blocks the next probe.
 * A longer time would delay the return of a node whose probe call was lost.
 */
const PROBE_RESULT_TIMEOUT_MS = 800
/**
 * An ejection is stale this long after its time is over if no probe has ended
 * it. Nodes in data centres that get no calls are never probed, and their
 * ejections must not use up the limit of ejected nodes for ever.
 */
const EJECTION_STALE_AFTER_MS = 2000
/** Failures of an endpoint are ignored once its last event or connect is older than this. */
const ENDPOINT_EVIDENCE_MAX_AGE_MS = 10_000
/** After a failure at the endpoint, a connection idle for this long is probed or replaced before use. */
const IDLE_PROBE_AFTER_FAILURE_MS = 1000

/** Exponentially weighted ratio of refused and failed calls of a node, decayed to `nowMs`. */
export function decayedRefusedRatio (peer: Peer, nowMs: Millis): number {
  if (peer.refusedRatio === 0) return 0
  return peer.refusedRatio * Math.exp((peer.refusedRatioUpdatedAtMs - nowMs) / REFUSED_DECAY_MS)
}

/** Smoothed latency of a node, which returns to the service's average without new observations. */
export function estimatedLatencyMs (peer: Peer, group: ServiceGroup, nowMs: Millis): Millis {
  if (peer.latencyMs < 0) return group.latencyMs
  const weight = Math.exp((peer.latencyUpdatedAtMs - nowMs) / LATENCY_DECAY_MS)
  const cappedMs = Math.min(peer.latencyMs, LATENCY_MAX_RATIO * (group.latencyMs + LATENCY_FLOOR_MS))
  return group.latencyMs + (cappedMs - group.latencyMs) * weight
}

/** Expected cost of one more call to a node: outstanding calls times latency, divided by the ratio of calls served. */
export function expectedCost (peer: Peer, group: ServiceGroup, nowMs: Millis): number {
  const costPerCall = LATENCY_FLOOR_MS + Math.max(0, estimatedLatencyMs(peer, group, nowMs))
  return (peer.outstandingCount + 1) * costPerCall / (1 + REFUSED_FLOOR_RATIO - decayedRefusedRatio(peer, nowMs))
}

export function isDraining (peer: Peer, nowMs: Millis): boolean {
  return nowMs < peer.drainingUntilMs
}

/** Whether an ejected node may get its next probe call. */
export function isProbeDue (peer: Peer, nowMs: Millis): boolean {
  return peer.ejectedUntilMs !== null && nowMs >= peer.ejectedUntilMs &&
    nowMs >= peer.probeChosenAtMs + PROBE_RESULT_TIMEOUT_MS
}

/** Whether a node is still ejected long after its ejection time was over, because no probe reached it. */
export function isEjectionStale (peer: Peer, nowMs: Millis): boolean {
  return peer.ejectedUntilMs !== null && nowMs > peer.ejectedUntilMs + EJECTION_STALE_AFTER_MS
}

/** How many nodes of a service may be ejected at once. */
export function ejectedMaxCount (group: ServiceGroup, settings: RoutingSettings): number {
  return Math.floor(group.peers.length * settings.maxEjectedRatio)
}

/** How long the next ejection of a node lasts. */
export function ejectionDurationMs (ejectionsCount: number, settings: RoutingSettings): Millis {
  return Math.min(settings.ejectMaxMs, settings.ejectBaseMs * 2 ** Math.min(ejectionsCount, 30))
}

/**
 * Whether an endpoint neither accepts connections nor answers on new ones.
 * Timeouts on existing connections alone are no evidence, since only those
 * connections may be broken: a new connection has to fail as well.
 */
export function isEndpointUnreachable (endpoint: EndpointState | undefined, nowMs: Millis): boolean {
  if (endpoint === undefined || nowMs - endpoint.lastUsedAtMs > ENDPOINT_EVIDENCE_MAX_AGE_MS) return false
  return endpoint.connectFailuresCount >= 2 ||
    (endpoint.isOpenedSinceAnswer && endpoint.isProbeTimedOut && endpoint.failuresCount >= 2)
}

/** Whether a connection that has received nothing for `silentMs` may be broken. */
export function isIdleConnectionSuspect (
  endpoint: EndpointState | undefined, silentMs: Millis, settings: RoutingSettings
): boolean {
  if (silentMs >= settings.idleProbeAfterMs) return true
  return endpoint !== undefined && endpoint.failuresCount > 0 && silentMs >= IDLE_PROBE_AFTER_FAILURE_MS
}

/** Violated invariants of the routing state. */
export function routingViolations (db: RoutingDb): Violation[] {
  const violations: Violation[] = []
  if (db.unmatchedResultsCount > 0) {
    violations.push({ property: 'resultsMatchSends', detail: `${db.unmatchedResultsCount} results without a matching send` })
  }
  if (db.drainingChoicesCount > 0) {
    violations.push({ property: 'drainStopsWork', detail: `${db.drainingChoicesCount} calls routed to a draining node` })
  }
  for (const [serviceName, group] of db.groups) {
    const ejected = group.peers.filter(peer => peer.ejectedUntilMs !== null)
    const detail = `${serviceName}: ${ejected.length} of ${group.peers.length} nodes`
    if (ejected.length > ejectedMaxCount(group, db.settings)) violations.push({ property: 'ejectedShareBound', detail })
    if (ejected.length !== group.ejected.size || ejected.some(peer => !group.ejected.has(peer))) {
      violations.push({ property: 'ejectedSetMatches', detail })
    }
  }
  for (const peer of db.peers.values()) {
    if (peer.outstandingCount < 0) violations.push({ property: 'outstandingNotNegative', detail: peer.target.nodeId })
  }
  return violations
}
