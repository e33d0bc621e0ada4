import type { Millis } from '../../clock/clock.js'
import { assertNever } from '../../errors/errors.js'
import { Outcome, Reason } from '../coreTypes.js'
import { KeyState, type IdempotencyDb, type KeyRecord } from './idempotencyDb.js'
import {
  Coverage, coverageOf, isAcceptedSend, isExpired, isFromFuture, isHistoryComplete
} from './idempotencyDetector.js'
import type { KeyDecision, KeyTimestamp, KeySend, StoredAnswer } from './idempotencyTypes.js'
import { keyTimestampOf } from './keyTimestamp.js'
import { keyText } from './keyOwner.js'

// One answer may take at most 1/64 of the memory for answers.
const MIN_ANSWERS_COUNT = 64

const RUN_DECISION: KeyDecision = { kind: 'run' }
const UNKNOWN_HISTORY = refuseUnknown(Reason.KeyUnknownHistory)

function refuseNotRun (reason: Reason): KeyDecision {
  return { kind: 'refuse', outcome: Outcome.NotRun, reason }
}

function refuseUnknown (reason: Reason): KeyDecision {
  return { kind: 'refuse', outcome: Outcome.Unknown, reason }
}

/**
 * Refuses a send of a key that has no record here. The outcome is `not_run` only
 * for the caller's first send: a resend may follow a send that ran elsewhere or
 * that can still arrive.
 */
function refuseUnrecorded (send: KeySend, reason: Reason): KeyDecision {
  return send.attempt === 1 ? refuseNotRun(reason) : UNKNOWN_HISTORY
}

function scheduleExpiry (db: IdempotencyDb, recordKey: string, record: KeyRecord): void {
  const second = Math.max(Math.ceil(record.expiresMs / 1_000), db.lastExpiredSecond + 1)
  const due = db.keysByExpirySecond.get(second)
  if (due === undefined) db.keysByExpirySecond.set(second, [recordKey])
  else due.push(recordKey)
}

function windowEndMs (db: IdempotencyDb, timestampMs: KeyTimestamp, nowMs: Millis): Millis {
  const { resendWindowMs, clockSkewMs } = db.settings
  const aheadMs = timestampMs === null ? 2 * clockSkewMs : timestampMs - db.maxWallMs
  return nowMs + resendWindowMs + aheadMs
}

function recordAccepted (
  db: IdempotencyDb, send: KeySend, recordKey: string, timestampMs: KeyTimestamp, nowMs: Millis
): KeyDecision {
  const expiresMs = windowEndMs(db, timestampMs, nowMs)
  const { callId, attempt } = send
  const record: KeyRecord = { timestampMs, state: KeyState.Accepted, callId, attempt, answer: null, expiresMs }
  db.records.set(recordKey, record)
  scheduleExpiry(db, recordKey, record)
  return RUN_DECISION
}

function uncoveredReason (coverage: Coverage, send: KeySend): Reason {
  return coverage === Coverage.OtherOwner || !send.isOwner ? Reason.NotOwner : Reason.LeaseNotHeld
}

function decideNew (db: IdempotencyDb, send: KeySend, timestampMs: KeyTimestamp, wallMs: Millis): KeyDecision {
  if (isExpired(db, timestampMs)) return refuseUnknown(Reason.KeyExpired)
  if (isFromFuture(db, timestampMs, wallMs)) return refuseUnrecorded(send, Reason.KeyFromFuture)
  const coverage = coverageOf(db, send, timestampMs)
  if (coverage !== Coverage.Held) return refuseUnrecorded(send, uncoveredReason(coverage, send))
  if (!isHistoryComplete(db, timestampMs)) return UNKNOWN_HISTORY
  if (db.records.size >= db.settings.keysCapacityCount) return refuseUnrecorded(send, Reason.Overload)
  return RUN_DECISION
}

function decideRefused (db: IdempotencyDb, record: KeyRecord, send: KeySend): KeyDecision {
  if (!(send.attempt > record.attempt)) return refuseNotRun(Reason.AlreadyRefused)
  if (isExpired(db, record.timestampMs)) return refuseUnknown(Reason.KeyExpired)
  if (coverageOf(db, send, record.timestampMs) === Coverage.Held) return RUN_DECISION
  record.attempt = send.attempt
  return refuseNotRun(Reason.LeaseNotHeld)
}

function decideRecorded (db: IdempotencyDb, record: KeyRecord, send: KeySend): KeyDecision {
  switch (record.state) {
    case KeyState.Accepted:
    case KeyState.Running:
      return refuseUnknown(Reason.StillRunning)
    case KeyState.Done:
      return record.answer === null ? UNKNOWN_HISTORY : { kind: 'answer', answer: record.answer }
    case KeyState.Unknown:
      return UNKNOWN_HISTORY
    case KeyState.Refused:
      return decideRefused(db, record, send)
    default:
      return assertNever(record.state)
  }
}

/**
 * Decides on a send and, for `run`, records the key as accepted.
 *
 * @example
 * const decision = admitSend(db, send, nowMs, wallMs)
 * if (decision.kind === 'run') enqueue(send)
 */
export function admitSend (db: IdempotencyDb, send: KeySend, nowMs: Millis, wallMs: Millis): KeyDecision {
  db.maxWallMs = Math.max(db.maxWallMs, wallMs)
  const recordKey = keyText(send.key)
  const record = db.records.get(recordKey)
  if (record !== undefined) {
    const decision = decideRecorded(db, record, send)
    if (decision.kind === 'run') recordResend(db, record, send, recordKey, nowMs)
    return decision
  }
  const timestampMs = keyTimestampOf(send.key.idempotencyKey)
  const decision = decideNew(db, send, timestampMs, wallMs)
  return decision.kind === 'run' ? recordAccepted(db, send, recordKey, timestampMs, nowMs) : decision
}

function recordResend (db: IdempotencyDb, record: KeyRecord, send: KeySend, recordKey: string, nowMs: Millis): void {
  record.state = KeyState.Accepted
  record.callId = send.callId
  record.attempt = send.attempt
  record.expiresMs = windowEndMs(db, record.timestampMs, nowMs)
  scheduleExpiry(db, recordKey, record)
}

/**
 * Checks again immediately before dispatch with a fresh clock reading and, for
 * `run`, records the key as running. A call whose record was refused, replaced or
 * dropped in the meantime must not be dispatched.
 *
 * @example
 * if (beforeDispatch(db, send, clock.monotonicMs(), clock.wallMs()).kind === 'run') dispatch(send)
 */
export function beforeDispatch (db: IdempotencyDb, send: KeySend, nowMs: Millis, wallMs: Millis): KeyDecision {
  db.maxWallMs = Math.max(db.maxWallMs, wallMs)
  const record = db.records.get(keyText(send.key))
  if (!isAcceptedSend(record, send)) return UNKNOWN_HISTORY
  const expired = isExpired(db, record.timestampMs)
  if (expired || coverageOf(db, send, record.timestampMs) !== Coverage.Held) {
    recordRefusal(db, send, nowMs)
    return refuseNotRun(expired ? Reason.DeadlinePassed : Reason.LeaseNotHeld)
  }
  record.state = KeyState.Running
  return RUN_DECISION
}

function recordDone (db: IdempotencyDb, record: KeyRecord, answer: StoredAnswer | null): void {
  record.state = KeyState.Done
  if (answer === null) return
  const { storedAnswersMaxBytes } = db.settings
  const sizeBytes = answerSizeBytes(answer)
  if (
    sizeBytes * MIN_ANSWERS_COUNT > storedAnswersMaxBytes || db.storedAnswersBytes + sizeBytes > storedAnswersMaxBytes
  ) return
  record.answer = answer
  db.storedAnswersBytes += sizeBytes
}

function answerSizeBytes (answer: StoredAnswer): number {
  let sizeBytes = answer.body.byteLength
  for (const [name, value] of Object.entries(answer.headers)) sizeBytes += name.length + value.length
  for (const value of answer.setCookies ?? []) sizeBytes += value.length
  return sizeBytes
}

/** Records the outcome of a dispatched call; `not_run` means that the backend server refused it. */
export function recordResult (
  db: IdempotencyDb, send: KeySend, outcome: Outcome, answer: StoredAnswer | null, nowMs: Millis
): void {
  const record = db.records.get(keyText(send.key))
  if (record?.state !== KeyState.Running || record.callId !== send.callId) return
  switch (outcome) {
    case Outcome.Done: return recordDone(db, record, answer)
    case Outcome.NotRun: return markRefused(db, send, record, nowMs)
    case Outcome.Unknown:
    case Outcome.Cancelled:
      record.state = KeyState.Unknown
      return
    default:
      assertNever(outcome)
  }
}

function markRefused (db: IdempotencyDb, send: KeySend, record: KeyRecord, nowMs: Millis): void {
  record.state = KeyState.Refused
  const refusalEndMs = nowMs + db.settings.refusalRetentionMs
  if (refusalEndMs >= record.expiresMs) return
  record.expiresMs = refusalEndMs
  scheduleExpiry(db, keyText(send.key), record)
}

/** Records that an accepted call was refused before dispatch. */
export function recordRefusal (db: IdempotencyDb, send: KeySend, nowMs: Millis): void {
  const record = db.records.get(keyText(send.key))
  if (isAcceptedSend(record, send)) markRefused(db, send, record, nowMs)
}

function dropRecord (db: IdempotencyDb, recordKey: string, record: KeyRecord): void {
  db.records.delete(recordKey)
  if (record.answer !== null) db.storedAnswersBytes -= answerSizeBytes(record.answer)
  // Records expire by the monotonic clock and keys are admitted by the wall clock, so a key whose record was dropped
  // could still look admissible. It must not run as a new key, except after a refusal, which did not run.
  if (record.timestampMs !== null && record.state !== KeyState.Refused) {
    db.recordsCompleteFromMs = Math.max(db.recordsCompleteFromMs, record.timestampMs + 1)
  }
}

function expireOrReschedule (db: IdempotencyDb, recordKey: string, nowMs: Millis): void {
  const record = db.records.get(recordKey)
  if (record === undefined) return
  const inFlight = record.state === KeyState.Accepted || record.state === KeyState.Running
  if (record.timestampMs === null && inFlight) record.expiresMs = windowEndMs(db, null, nowMs)
  if (record.expiresMs > nowMs) scheduleExpiry(db, recordKey, record)
  else dropRecord(db, recordKey, record)
}

/** Drops records whose expiry time has passed and leases on timestamps before the resend window. */
export function expireKeys (db: IdempotencyDb, nowMs: Millis): void {
  const lastSecond = Math.floor(nowMs / 1_000)
  if (db.lastExpiredSecond < 0) db.lastExpiredSecond = Math.min(lastSecond, Math.floor(db.startMs / 1_000)) - 1
  while (db.lastExpiredSecond < lastSecond) {
    const second = ++db.lastExpiredSecond
    const due = db.keysByExpirySecond.get(second)
    db.keysByExpirySecond.delete(second)
    for (const recordKey of due ?? []) expireOrReschedule(db, recordKey, nowMs)
  }
  const oldestMs = db.maxWallMs - db.settings.resendWindowMs - 4 * db.settings.clockSkewMs
  const { leases } = db.holder
  while (leases[0] !== undefined && leases[0].untilLabelMs < oldestMs) leases.shift()
}
