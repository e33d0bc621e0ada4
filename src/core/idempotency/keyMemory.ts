import type { Millis } from '../../clock/clock.js'
import { assertNever } from '../../errors/errors.js'
import { Outcome, Reason } from '../coreTypes.js'
import { KeyState, type IdempotencyDb, type KeyRecord } from './idempotencyDb.js'
import {
  Coverage, coverageOf, isAcceptedSend, isExpired, isFromFuture, isRemembered
} from './idempotencyDetector.js'
import type { KeyDecision, KeyLabel, KeySend, RememberedAnswer } from './idempotencyTypes.js'
import { labelOf } from './keyLabel.js'
import { keyText } from './keyOwner.js'

// One answer may take this part of the memory for answers.
const ANSWERS_AT_LEAST_COUNT = 64

const RUN: KeyDecision = { kind: 'run' }
const UNKNOWN_HISTORY = unknown(Reason.KeyUnknownHistory)

function notRun (reason: Reason): KeyDecision {
  return { kind: 'refuse', outcome: Outcome.NotRun, reason }
}

function unknown (reason: Reason): KeyDecision {
  return { kind: 'refuse', outcome: Outcome.Unknown, reason }
}

/**
 * Refusal without a record of the key. Only a caller's first send is known not
 * to have run elsewhere, and no earlier send of it can still arrive.
 */
function refuseUnrecorded (send: KeySend, reason: Reason): KeyDecision {
  return send.attempt === 1 ? notRun(reason) : UNKNOWN_HISTORY
}

function scheduleExpiry (db: IdempotencyDb, text: string, record: KeyRecord): void {
  const second = Math.max(Math.ceil(record.expiresMs / 1_000), db.expiredSecond + 1)
  const due = db.expiry.get(second)
  if (due === undefined) db.expiry.set(second, [text])
  else due.push(text)
}

function windowEndMs (db: IdempotencyDb, labelMs: KeyLabel, nowMs: Millis): Millis {
  const { resendWindowMs, clockSkewMs } = db.settings
  const aheadMs = labelMs === null ? 2 * clockSkewMs : labelMs - db.maxWallMs
  return nowMs + resendWindowMs + aheadMs
}

function accept (db: IdempotencyDb, send: KeySend, text: string, labelMs: KeyLabel, nowMs: Millis): KeyDecision {
  const expiresMs = windowEndMs(db, labelMs, nowMs)
  const { callId, attempt } = send
  const record: KeyRecord = { labelMs, state: KeyState.Accepted, callId, attempt, answer: null, expiresMs }
  db.records.set(text, record)
  scheduleExpiry(db, text, record)
  return RUN
}

function reasonOf (coverage: Coverage, send: KeySend): Reason {
  return coverage === Coverage.OtherOwner || !send.isOwner ? Reason.NotOwner : Reason.LeaseNotHeld
}

function decideNew (db: IdempotencyDb, send: KeySend, labelMs: KeyLabel, wallMs: Millis): KeyDecision {
  if (isExpired(db, labelMs)) return unknown(Reason.KeyExpired)
  if (isFromFuture(db, labelMs, wallMs)) return refuseUnrecorded(send, Reason.KeyFromFuture)
  const coverage = coverageOf(db, send, labelMs)
  if (coverage !== Coverage.Held) return refuseUnrecorded(send, reasonOf(coverage, send))
  if (!isRemembered(db, labelMs)) return UNKNOWN_HISTORY
  if (db.records.size >= db.settings.keysCapacityCount) return refuseUnrecorded(send, Reason.Overload)
  return RUN
}

function decideRefused (db: IdempotencyDb, record: KeyRecord, send: KeySend): KeyDecision {
  if (!(send.attempt > record.attempt)) return notRun(Reason.AlreadyRefused)
  if (isExpired(db, record.labelMs)) return unknown(Reason.KeyExpired)
  if (coverageOf(db, send, record.labelMs) === Coverage.Held) return RUN
  record.attempt = send.attempt
  return notRun(Reason.LeaseNotHeld)
}

function decideKnown (db: IdempotencyDb, record: KeyRecord, send: KeySend): KeyDecision {
  switch (record.state) {
    case KeyState.Accepted:
    case KeyState.Running:
      return unknown(Reason.StillRunning)
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
 * Checks a send and, for `run`, remembers the key as accepted.
 *
 * @example
 * const decision = admit(db, send, nowMs, wallMs)
 * if (decision.kind === 'run') enqueue(send)
 */
export function admit (db: IdempotencyDb, send: KeySend, nowMs: Millis, wallMs: Millis): KeyDecision {
  db.maxWallMs = Math.max(db.maxWallMs, wallMs)
  const text = keyText(send.key)
  const record = db.records.get(text)
  if (record !== undefined) {
    const decision = decideKnown(db, record, send)
    if (decision.kind === 'run') takeOver(db, record, send, text, nowMs)
    return decision
  }
  const labelMs = labelOf(send.key.idempotencyKey)
  const decision = decideNew(db, send, labelMs, wallMs)
  return decision.kind === 'run' ? accept(db, send, text, labelMs, nowMs) : decision
}

function takeOver (db: IdempotencyDb, record: KeyRecord, send: KeySend, text: string, nowMs: Millis): void {
  record.state = KeyState.Accepted
  record.callId = send.callId
  record.attempt = send.attempt
  record.expiresMs = windowEndMs(db, record.labelMs, nowMs)
  scheduleExpiry(db, text, record)
}

/**
 * Checks again right before dispatch with a fresh clock reading and, for `run`,
 * remembers the key as running. A call that was refused, replaced or forgotten
 * in the meantime must not be dispatched.
 *
 * @example
 * if (beforeDispatch(db, send, clock.monotonicMs(), clock.wallMs()).kind === 'run') dispatch(send)
 */
export function beforeDispatch (db: IdempotencyDb, send: KeySend, nowMs: Millis, wallMs: Millis): KeyDecision {
  db.maxWallMs = Math.max(db.maxWallMs, wallMs)
  const record = db.records.get(keyText(send.key))
  if (!isAcceptedSend(record, send)) return UNKNOWN_HISTORY
  const expired = isExpired(db, record.labelMs)
  if (expired || coverageOf(db, send, record.labelMs) !== Coverage.Held) {
    refused(db, send, nowMs)
    return notRun(expired ? Reason.DeadlinePassed : Reason.LeaseNotHeld)
  }
  record.state = KeyState.Running
  return RUN
}

function remember (db: IdempotencyDb, record: KeyRecord, answer: RememberedAnswer | null): void {
  record.state = KeyState.Done
  if (answer === null) return
  const { answerMemoryBytes } = db.settings
  const sizeBytes = answerSizeBytes(answer)
  if (sizeBytes * ANSWERS_AT_LEAST_COUNT > answerMemoryBytes || db.answerBytes + sizeBytes > answerMemoryBytes) return
  record.answer = answer
  db.answerBytes += sizeBytes
}

function answerSizeBytes (answer: RememberedAnswer): number {
  let sizeBytes = answer.body.byteLength
  for (const [name, value] of Object.entries(answer.headers)) sizeBytes += name.length + value.length
  for (const value of answer.setCookies ?? []) sizeBytes += value.length
  return sizeBytes
}

/** Notes that the dispatched call ended; `not_run` means that the backend server refused it. */
export function finish (
  db: IdempotencyDb, send: KeySend, outcome: Outcome, answer: RememberedAnswer | null, nowMs: Millis
): void {
  const record = db.records.get(keyText(send.key))
  if (record?.state !== KeyState.Running || record.callId !== send.callId) return
  switch (outcome) {
    case Outcome.Done: return remember(db, record, answer)
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
  const refusalEndMs = nowMs + db.settings.refusalMemoryMs
  if (refusalEndMs >= record.expiresMs) return
  record.expiresMs = refusalEndMs
  scheduleExpiry(db, keyText(send.key), record)
}

/** Notes that the accepted call was refused before dispatch. */
export function refused (db: IdempotencyDb, send: KeySend, nowMs: Millis): void {
  const record = db.records.get(keyText(send.key))
  if (isAcceptedSend(record, send)) markRefused(db, send, record, nowMs)
}

function forget (db: IdempotencyDb, text: string, record: KeyRecord): void {
  db.records.delete(text)
  if (record.answer !== null) db.answerBytes -= answerSizeBytes(record.answer)
  // The clocks that drop a record and that admit a label differ; whatever is
  // dropped must not be admitted again as a new key. A refusal did not run.
  if (record.labelMs !== null && record.state !== KeyState.Refused) {
    db.memoryFromMs = Math.max(db.memoryFromMs, record.labelMs + 1)
  }
}

function expireRecord (db: IdempotencyDb, text: string, nowMs: Millis): void {
  const record = db.records.get(text)
  if (record === undefined) return
  const inFlight = record.state === KeyState.Accepted || record.state === KeyState.Running
  if (record.labelMs === null && inFlight) record.expiresMs = windowEndMs(db, null, nowMs)
  if (record.expiresMs > nowMs) scheduleExpiry(db, text, record)
  else forget(db, text, record)
}

/** Drops records and leases whose labels are past the resend window. */
export function expireKeys (db: IdempotencyDb, nowMs: Millis): void {
  const lastSecond = Math.floor(nowMs / 1_000)
  if (db.expiredSecond < 0) db.expiredSecond = Math.min(lastSecond, Math.floor(db.startMs / 1_000)) - 1
  while (db.expiredSecond < lastSecond) {
    const second = ++db.expiredSecond
    const due = db.expiry.get(second)
    db.expiry.delete(second)
    for (const text of due ?? []) expireRecord(db, text, nowMs)
  }
  const oldestMs = db.maxWallMs - db.settings.resendWindowMs - 4 * db.settings.clockSkewMs
  const { leases } = db.holder
  while (leases[0] !== undefined && leases[0].untilLabelMs < oldestMs) leases.shift()
}
