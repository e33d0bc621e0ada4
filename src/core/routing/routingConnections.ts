import type { Millis } from '../../clock/clock.js'
import { assertNever } from '../../errors/errors.js'
import { getOrCreateEndpoint, type EndpointState, type RoutingDb } from './routingDb.js'
import { isIdleConnectionSuspect } from './routingDetector.js'
import { ConnectionEvent, type ConnectionAdvice, type RoutingSettings } from './routingTypes.js'

/** Endpoints without events or connects for this long are removed. */
const ENDPOINT_RETENTION_MS = 60_000

/** Capacity of the token bucket for connects: the largest burst after an idle period. */
function connectBucketSize (settings: RoutingSettings): number {
  return Math.max(1, settings.connectsPerS / 4)
}

/**
 * Records an event of a connection to an endpoint.
 *
 * @example
 * recordConnectionEvent(db, '10.0.0.1:9000', ConnectionEvent.OpenFailed, 20)
 */
export function recordConnectionEvent (db: RoutingDb, address: string, event: ConnectionEvent, nowMs: Millis): void {
  const endpoint = getOrCreateEndpoint(db, address, connectBucketSize(db.settings), nowMs)
  endpoint.lastUsedAtMs = nowMs
  switch (event) {
    case ConnectionEvent.Opened:
      endpoint.isOpenedSinceAnswer = true
      endpoint.connectFailuresCount = 0
      return
    case ConnectionEvent.OpenFailed:
      endpoint.connectFailuresCount++
      return
    case ConnectionEvent.Answered:
    case ConnectionEvent.ProbeAnswered:
      resetFailures(endpoint)
      return
    case ConnectionEvent.TimedOut:
    case ConnectionEvent.Reset:
      endpoint.failuresCount++
      return
    case ConnectionEvent.ProbeTimedOut:
      endpoint.failuresCount++
      endpoint.isProbeTimedOut = true
      return
    default:
      assertNever(event)
  }
}

/** Clears the failures of an endpoint after an answer. */
function resetFailures (endpoint: EndpointState): void {
  endpoint.connectFailuresCount = 0
  endpoint.failuresCount = 0
  endpoint.isOpenedSinceAnswer = false
  endpoint.isProbeTimedOut = false
}

/**
 * Whether to keep, probe or replace an idle connection. A new connection costs
 * 1 ms and a probe 6 ms, so after recent failures a long-idle connection is
 * replaced without a probe.
 */
export function adviseConnection (db: RoutingDb, address: string, silentMs: Millis): ConnectionAdvice {
  const endpoint = db.endpoints.get(address)
  if (!isIdleConnectionSuspect(endpoint, silentMs, db.settings)) return { kind: 'keep' }
  const hasFailures = endpoint !== undefined && endpoint.failuresCount > 0
  const isIdleLong = silentMs >= db.settings.idleProbeAfterMs
  return hasFailures && isIdleLong ? { kind: 'replace' } : { kind: 'probe_before_use' }
}

/** Takes a token for a new connection to an endpoint; false if the token bucket is empty. */
export function mayConnect (db: RoutingDb, address: string, nowMs: Millis): boolean {
  const bucketSize = connectBucketSize(db.settings)
  const endpoint = getOrCreateEndpoint(db, address, bucketSize, nowMs)
  const refilledTokens = endpoint.connectTokens +
    (nowMs - endpoint.connectTokensUpdatedAtMs) * db.settings.connectsPerS / 1000
  endpoint.connectTokens = Math.min(bucketSize, refilledTokens)
  endpoint.connectTokensUpdatedAtMs = nowMs
  endpoint.lastUsedAtMs = nowMs
  if (endpoint.connectTokens < 1) return false
  endpoint.connectTokens--
  return true
}

export function removeUnusedEndpoints (db: RoutingDb, nowMs: Millis): void {
  for (const [address, endpoint] of db.endpoints) {
    if (nowMs - endpoint.lastUsedAtMs > ENDPOINT_RETENTION_MS) db.endpoints.delete(address)
  }
}
