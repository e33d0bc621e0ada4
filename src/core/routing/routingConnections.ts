import type { Millis } from '../../clock/clock.js'
import { assertNever } from '../../errors/errors.js'
import { placeOf, type Place, type RoutingDb } from './routingDb.js'
import { isSuspectSilence } from './routingDetector.js'
import { ConnectionEvent, type ConnectionAdvice, type RoutingSettings } from './routingTypes.js'

/** Places not seen for this long are dropped. */
const PLACE_KEPT_MS = 60_000

/** Connects that may be made at once after a quiet time. */
function connectBurst (settings: RoutingSettings): number {
  return Math.max(1, settings.connectsPerS / 4)
}

/**
 * Notes what a connection to a place showed.
 *
 * @example
 * connectionSeen(db, '10.0.0.1:9000', ConnectionEvent.OpenFailed, 20)
 */
export function connectionSeen (db: RoutingDb, name: string, event: ConnectionEvent, nowMs: Millis): void {
  const place = placeOf(db, name, connectBurst(db.settings), nowMs)
  place.seenAtMs = nowMs
  switch (event) {
    case ConnectionEvent.Opened:
      place.isOpened = true
      place.openFailuresCount = 0
      return
    case ConnectionEvent.OpenFailed:
      place.openFailuresCount++
      return
    case ConnectionEvent.Answered:
    case ConnectionEvent.ProbeAnswered:
      resetFailures(place)
      return
    case ConnectionEvent.TimedOut:
    case ConnectionEvent.Reset:
      place.failuresCount++
      return
    case ConnectionEvent.ProbeTimedOut:
      place.failuresCount++
      place.isProbeLost = true
      return
    default:
      assertNever(event)
  }
}

/** Starts the count of failures since the last answer. */
function resetFailures (place: Place): void {
  place.openFailuresCount = 0
  place.failuresCount = 0
  place.isOpened = false
  place.isProbeLost = false
}

/** A new connection costs 1 ms and a probe 6 ms, so long silence at a doubtful place replaces the connection. */
export function adviseConnection (db: RoutingDb, name: string, silentMs: Millis): ConnectionAdvice {
  const place = db.places.get(name)
  if (!isSuspectSilence(place, silentMs, db.settings)) return { kind: 'keep' }
  const isDoubtful = place !== undefined && place.failuresCount > 0
  const isLong = silentMs >= db.settings.idleProbeAfterMs
  return isDoubtful && isLong ? { kind: 'replace' } : { kind: 'probe_before_use' }
}

/** Whether a new connection to a place may be opened now. */
export function mayConnect (db: RoutingDb, name: string, nowMs: Millis): boolean {
  const burst = connectBurst(db.settings)
  const place = placeOf(db, name, burst, nowMs)
  const refilled = place.connectTokens + (nowMs - place.tokensAtMs) * db.settings.connectsPerS / 1000
  place.connectTokens = Math.min(burst, refilled)
  place.tokensAtMs = nowMs
  place.seenAtMs = nowMs
  if (place.connectTokens < 1) return false
  place.connectTokens--
  return true
}

export function dropOldPlaces (db: RoutingDb, nowMs: Millis): void {
  for (const [name, place] of db.places) {
    if (nowMs - place.seenAtMs > PLACE_KEPT_MS) db.places.delete(name)
  }
}
