import type { Millis } from '../../clock/clock.js'
import type { Violation } from '../coreTypes.js'
import type { Peer, Place, RoutingDb, ServiceGroup } from './routingDb.js'
import type { RoutingSettings } from './routingTypes.js'

/**
 * Refusals lose their weight within this time, so that a node that is well
 * again gets its full part of the calls within a second.
 */
const REFUSED_DECAY_MS = 500
/**
 * A latency that is not observed again returns to the service's average at
 * this pace. A node that was ten times slower is tried again after about 1 s.
 */
const LATENCY_DECAY_MS = 300
/** A node counts as at most this much slower than the average; more would put off its return beyond 1 s. */
const LATENCY_MAX_RATIO = 10
/** Keeps the cost of a node that refuses every call finite: 50 times that of one that refuses none. */
const REFUSED_FLOOR_RATIO = 0.02
/** Latencies closer together than this are not told apart. */
const LATENCY_FLOOR_MS = 1
/**
 * A probe call without a result for this long no longer keeps the next one
 * back. A longer time would put off the return of a node that lost the probe.
 */
const PROBE_HOLD_MS = 800
/** Nodes of data centres that get no calls are not probed; their ejection must not use up the bound for ever. */
const UNPROBED_MS = 2000
/** What a place showed longer ago than this says nothing about it any more. */
const PLACE_EVIDENCE_MS = 10_000
/** After a timeout at the place, silence of this length makes a connection suspect. */
const SILENT_AFTER_TIMEOUT_MS = 1000

/** Share of refused and failed calls of a node, weighted towards the latest ones. */
export function refusedRatio (peer: Peer, nowMs: Millis): number {
  if (peer.refusedRatio === 0) return 0
  return peer.refusedRatio * Math.exp((peer.refusedAtMs - nowMs) / REFUSED_DECAY_MS)
}

/** Smoothed latency of a node; the service's average as far as the node was not heard from. */
export function latencyOf (peer: Peer, group: ServiceGroup, nowMs: Millis): Millis {
  if (peer.latencyMs < 0) return group.latencyMs
  const weight = Math.exp((peer.latencyAtMs - nowMs) / LATENCY_DECAY_MS)
  const cappedMs = Math.min(peer.latencyMs, LATENCY_MAX_RATIO * (group.latencyMs + LATENCY_FLOOR_MS))
  return group.latencyMs + (cappedMs - group.latencyMs) * weight
}

/** Expected cost of one more call to a node. */
export function costOf (peer: Peer, group: ServiceGroup, nowMs: Millis): number {
  const perCall = LATENCY_FLOOR_MS + Math.max(0, latencyOf(peer, group, nowMs))
  return (peer.outstandingCount + 1) * perCall / (1 + REFUSED_FLOOR_RATIO - refusedRatio(peer, nowMs))
}

export function isDraining (peer: Peer, nowMs: Millis): boolean {
  return nowMs < peer.drainUntilMs
}

/** Whether an ejected node may get its next probe call. */
export function isProbeDue (peer: Peer, nowMs: Millis): boolean {
  return peer.ejectedUntilMs !== null && nowMs >= peer.ejectedUntilMs && nowMs >= peer.probeSentMs + PROBE_HOLD_MS
}

/** Whether an ejected node could have been probed for so long that its ejection no longer rests on anything. */
export function isEjectionStale (peer: Peer, nowMs: Millis): boolean {
  return peer.ejectedUntilMs !== null && nowMs > peer.ejectedUntilMs + UNPROBED_MS
}

/** How many nodes of a service may be ejected at once. */
export function ejectedMaxCount (group: ServiceGroup, settings: RoutingSettings): number {
  return Math.floor(group.peers.length * settings.maxEjectedRatio)
}

/** How long the next ejection of a node lasts. */
export function ejectionMs (ejectionsCount: number, settings: RoutingSettings): Millis {
  return Math.min(settings.ejectMaxMs, settings.ejectBaseMs * 2 ** Math.min(ejectionsCount, 30))
}

/**
 * Whether a place neither accepts connections nor answers on new ones. Old
 * connections that went silent say nothing: a new one has to be tried first.
 */
export function isPlaceDown (place: Place | undefined, nowMs: Millis): boolean {
  if (place === undefined || nowMs - place.seenAtMs > PLACE_EVIDENCE_MS) return false
  return place.openFailuresCount >= 2 || (place.isOpened && place.isProbeLost && place.failuresCount >= 2)
}

/** Whether silence of this length makes a connection of the place suspect. */
export function isSuspectSilence (place: Place | undefined, silentMs: Millis, settings: RoutingSettings): boolean {
  if (silentMs >= settings.idleProbeAfterMs) return true
  return place !== undefined && place.failuresCount > 0 && silentMs >= SILENT_AFTER_TIMEOUT_MS
}

/** Broken invariants of the family. */
export function routingViolations (db: RoutingDb): Violation[] {
  const found: Violation[] = []
  if (db.unmatchedResultsCount > 0) {
    found.push({ property: 'resultsMatchSends', detail: `${db.unmatchedResultsCount} results without a send` })
  }
  if (db.drainingChoicesCount > 0) {
    found.push({ property: 'drainStopsWork', detail: `${db.drainingChoicesCount} choices of a draining node` })
  }
  for (const [serviceName, group] of db.groups) {
    const ejected = group.peers.filter(peer => peer.ejectedUntilMs !== null)
    const detail = `${serviceName}: ${ejected.length} of ${group.peers.length} nodes`
    if (ejected.length > ejectedMaxCount(group, db.settings)) found.push({ property: 'ejectedShareBound', detail })
    if (ejected.length !== group.ejected.size || ejected.some(peer => !group.ejected.has(peer))) {
      found.push({ property: 'ejectedSetMatches', detail })
    }
  }
  for (const peer of db.peers.values()) {
    if (peer.outstandingCount < 0) found.push({ property: 'outstandingNotNegative', detail: peer.target.nodeId })
  }
  return found
}
