import type { Millis } from '../../clock/clock.js'
import { fingerprintKey, type QuarantineEntry, type RetryDb } from './retryDb.js'
import type { Fingerprint, QuarantineDecision } from './retryTypes.js'

// Peers send quarantine hints; the bound keeps a faulty peer from exhausting the memory.
const QUARANTINE_CAPACITY_COUNT = 1_000

const CLEAR: QuarantineDecision = { kind: 'clear' }
const RUN_ALONE: QuarantineDecision = { kind: 'run_alone' }

/**
 * Whether a request may run, should run alone on the backend server, or is refused.
 *
 * @example
 * checkQuarantine(db, { serviceName: 'invoicing', routeName: 'issue', bodyHash: 7 }, 0).kind // 'clear'
 */
export function checkQuarantine (db: RetryDb, fingerprint: Fingerprint, nowMs: Millis): QuarantineDecision {
  if (db.quarantine.size === 0 && db.suspects.size === 0) return CLEAR
  const key = fingerprintKey(fingerprint)
  const entry = db.quarantine.get(key)
  if (entry !== undefined && entry.untilMs > nowMs) return { kind: 'refuse', untilMs: entry.untilMs }
  const suspect = db.suspects.get(key)
  return suspect !== undefined && suspect.expiresMs > nowMs ? RUN_ALONE : CLEAR
}

/** Records that a call was sent to the backend server. */
export function recordDispatch (db: RetryDb, callId: string, fingerprint: Fingerprint, _nowMs: Millis): void {
  db.soleCallId = db.running.size === 0 ? callId : undefined
  db.running.set(callId, { fingerprint })
}

/** Records that a call ended without a crash. A request that ran alone is then no longer a suspect. */
export function recordReturn (db: RetryDb, callId: string, _nowMs: Millis): void {
  const call = db.running.get(callId)
  if (call === undefined) return
  db.running.delete(callId)
  if (db.soleCallId !== callId) return
  db.soleCallId = undefined
  if (db.suspects.size > 0) db.suspects.delete(fingerprintKey(call.fingerprint))
}

/** Increments the crash count of a suspect, which starts again at 1 after `suspectTtlMs` without a crash. */
function countCrash (db: RetryDb, key: string, nowMs: Millis): number {
  const known = db.suspects.get(key)
  const crashesCount = known !== undefined && known.expiresMs > nowMs ? known.crashesCount + 1 : 1
  db.suspects.set(key, { crashesCount, expiresMs: nowMs + db.settings.suspectTtlMs })
  return crashesCount
}

function quarantineFingerprint (db: RetryDb, key: string, fingerprint: Fingerprint, nowMs: Millis): void {
  const untilMs = nowMs + db.settings.quarantineMs
  db.quarantine.set(key, { fingerprint, untilMs })
  // After the quarantine the request is still a suspect, one crash short of the next quarantine.
  db.suspects.set(key, {
    crashesCount: db.settings.crashesToQuarantineCount - 1,
    expiresMs: untilMs + db.settings.suspectTtlMs
  })
}

/**
 * Records a crash of the backend server. Every fingerprint in flight becomes a
 * suspect, and the one that reaches `crashesToQuarantineCount` is quarantined. If
 * several have reached it in the same crash, those are not quarantined yet, because any
 * of them may be the cause; a suspect that runs alone is then cleared or identified. At
 * `crashesToForceQuarantineCount` each is quarantined in any case: with the defaults of
 * 2 and 3, a request is quarantined after its third crash at the latest.
 *
 * @example
 * recordDispatch(db, 'c1', fingerprint, 0)
 * recordCrash(db, 10) // [] after the first crash, [fingerprint] after the second
 */
export function recordCrash (db: RetryDb, nowMs: Millis): Fingerprint[] {
  const inFlight = new Map<string, Fingerprint>()
  for (const call of db.running.values()) inFlight.set(fingerprintKey(call.fingerprint), call.fingerprint)
  db.running.clear()
  db.soleCallId = undefined
  const atThreshold: Array<[string, Fingerprint]> = []
  const atForcedThreshold: Array<[string, Fingerprint]> = []
  for (const [key, fingerprint] of inFlight) {
    const crashesCount = countCrash(db, key, nowMs)
    if (crashesCount >= db.settings.crashesToQuarantineCount) atThreshold.push([key, fingerprint])
    if (crashesCount >= db.settings.crashesToForceQuarantineCount) atForcedThreshold.push([key, fingerprint])
  }
  const quarantinedNow = atThreshold.length === 1 ? atThreshold : atForcedThreshold
  for (const [key, fingerprint] of quarantinedNow) quarantineFingerprint(db, key, fingerprint, nowMs)
  return quarantinedNow.map(([, fingerprint]) => fingerprint)
}

/** Quarantines a fingerprint that a peer reported, for at most `quarantineMs`; not forwarded to other peers. */
export function addQuarantineHint (db: RetryDb, fingerprint: Fingerprint, forMs: Millis, nowMs: Millis): void {
  if (!(forMs > 0)) return
  const key = fingerprintKey(fingerprint)
  const untilMs = nowMs + Math.min(forMs, db.settings.quarantineMs)
  const known = db.quarantine.get(key)
  if (known !== undefined && known.untilMs >= untilMs) return
  if (known === undefined && db.quarantine.size >= QUARANTINE_CAPACITY_COUNT) return
  db.quarantine.set(key, { fingerprint, untilMs })
}

/** Fingerprints in quarantine, after crashes of this node's backend server or hints from peers. */
export function listQuarantined (db: RetryDb, nowMs: Millis): QuarantineEntry[] {
  return [...db.quarantine.values()].filter(entry => entry.untilMs > nowMs)
}

/** Deletes expired quarantine entries and suspects. */
export function expireQuarantine (db: RetryDb, nowMs: Millis): void {
  for (const [key, entry] of db.quarantine) if (entry.untilMs <= nowMs) db.quarantine.delete(key)
  for (const [key, suspect] of db.suspects) if (suspect.expiresMs <= nowMs) db.suspects.delete(key)
}
