import type { Millis } from '../../clock/clock.js'
import { fingerprintKey, type QuarantineEntry, type RetryDb } from './retryDb.js'
import type { Fingerprint, QuarantineVerdict } from './retryTypes.js'

// Hints come from peers; the bound keeps a faulty peer from filling the memory.
const QUARANTINE_CAPACITY_COUNT = 1_000

const CLEAR: QuarantineVerdict = { kind: 'clear' }
const RUN_ALONE: QuarantineVerdict = { kind: 'run_alone' }

/**
 * Whether a request may run, must run with no other call on the backend server,
 * or is refused.
 *
 * @example
 * verdict(db, { serviceName: 'invoicing', routeName: 'issue', bodyHash: 7 }, 0).kind // 'clear'
 */
export function verdict (db: RetryDb, fingerprint: Fingerprint, nowMs: Millis): QuarantineVerdict {
  if (db.quarantine.size === 0 && db.suspects.size === 0) return CLEAR
  const key = fingerprintKey(fingerprint)
  const entry = db.quarantine.get(key)
  if (entry !== undefined && entry.untilMs > nowMs) return { kind: 'refuse', untilMs: entry.untilMs }
  const suspect = db.suspects.get(key)
  return suspect !== undefined && suspect.expiresMs > nowMs ? RUN_ALONE : CLEAR
}

/** Notes that a call was handed to the backend server. */
export function dispatched (db: RetryDb, callId: string, fingerprint: Fingerprint, _nowMs: Millis): void {
  db.soleCallId = db.running.size === 0 ? callId : undefined
  db.running.set(callId, { fingerprint })
}

/** Notes that a call ended without a crash; a suspect that ran alone is cleared by it. */
export function returned (db: RetryDb, callId: string, _nowMs: Millis): void {
  const call = db.running.get(callId)
  if (call === undefined) return
  db.running.delete(callId)
  if (db.soleCallId !== callId) return
  db.soleCallId = undefined
  if (db.suspects.size > 0) db.suspects.delete(fingerprintKey(call.fingerprint))
}

function accuse (db: RetryDb, key: string, nowMs: Millis): number {
  const known = db.suspects.get(key)
  const crashesCount = known !== undefined && known.expiresMs > nowMs ? known.crashesCount + 1 : 1
  db.suspects.set(key, { crashesCount, expiresMs: nowMs + db.settings.suspectTtlMs })
  return crashesCount
}

function quarantine (db: RetryDb, key: string, fingerprint: Fingerprint, nowMs: Millis): void {
  const untilMs = nowMs + db.settings.quarantineMs
  db.quarantine.set(key, { fingerprint, untilMs })
  // After the quarantine the request runs alone first, and one more crash quarantines it again.
  db.suspects.set(key, {
    crashesCount: db.settings.crashesToQuarantineCount - 1,
    expiresMs: untilMs + db.settings.suspectTtlMs
  })
}

/**
 * Takes a crash of the backend server: everything in flight becomes suspect, and
 * a fingerprint that was in enough crashes is quarantined. When several reach
 * that count together, none is: each runs alone next, which tells them apart.
 * One more crash convicts each of them, so that no request crashes a fourth server.
 *
 * @example
 * dispatched(db, 'c1', fingerprint, 0)
 * crashed(db, 10) // [] after the first crash, [fingerprint] after the second
 */
export function crashed (db: RetryDb, nowMs: Millis): Fingerprint[] {
  const inFlight = new Map<string, Fingerprint>()
  for (const call of db.running.values()) inFlight.set(fingerprintKey(call.fingerprint), call.fingerprint)
  db.running.clear()
  db.soleCallId = undefined
  const reached: Array<[string, Fingerprint]> = []
  const convicted: Array<[string, Fingerprint]> = []
  for (const [key, fingerprint] of inFlight) {
    const crashesCount = accuse(db, key, nowMs)
    if (crashesCount >= db.settings.crashesToQuarantineCount) reached.push([key, fingerprint])
    if (crashesCount >= db.settings.crashesToConvictCount) convicted.push([key, fingerprint])
  }
  const chosen = reached.length === 1 ? reached : convicted
  for (const [key, fingerprint] of chosen) quarantine(db, key, fingerprint, nowMs)
  return chosen.map(([, fingerprint]) => fingerprint)
}

/** Takes a peer's hint for at most `quarantineMs`; it expires and is not passed on. */
export function learnQuarantine (db: RetryDb, fingerprint: Fingerprint, forMs: Millis, nowMs: Millis): void {
  if (!(forMs > 0)) return
  const key = fingerprintKey(fingerprint)
  const untilMs = nowMs + Math.min(forMs, db.settings.quarantineMs)
  const known = db.quarantine.get(key)
  if (known !== undefined && known.untilMs >= untilMs) return
  if (known === undefined && db.quarantine.size >= QUARANTINE_CAPACITY_COUNT) return
  db.quarantine.set(key, { fingerprint, untilMs })
}

/** Fingerprints in quarantine, own and learned. */
export function quarantined (db: RetryDb, nowMs: Millis): QuarantineEntry[] {
  return [...db.quarantine.values()].filter(entry => entry.untilMs > nowMs)
}

/** Drops quarantine entries and suspects past their time. */
export function expireQuarantine (db: RetryDb, nowMs: Millis): void {
  for (const [key, entry] of db.quarantine) if (entry.untilMs <= nowMs) db.quarantine.delete(key)
  for (const [key, suspect] of db.suspects) if (suspect.expiresMs <= nowMs) db.suspects.delete(key)
}
