import type { Millis } from '../../clock/clock.js'
import { assertNever } from '../../errors/errors.js'
import { Reason } from '../coreTypes.js'
import { timesOf, type AdmissionDb, type QueuedCall, type RouteTimes } from './admissionDb.js'
import { closedReason, fullReason, lateReason, worseWaits } from './admissionDetector.js'
import { ReleaseKind, type BackendCapacity, type GateCall, type GateEvent, type GateReading } from './admissionTypes.js'
import { enqueue, takeBest, takeById, takeWhere, takeWorst } from './gateQueue.js'
import { advance, limitCount, noteShed, sizeQueue } from './gateWindow.js'
import { learnServed, learnUnanswered } from './serviceTimes.js'

/** Looking through a full queue at each call would cost more than all other work of the gate. */
const LATE_CHECK_MS = 5

function refuse (db: AdmissionDb, callId: string, reason: Reason): GateEvent {
  db.totals.refusedCount += 1
  return { kind: 'refuse', callId, reason }
}

function refuseFull (db: AdmissionDb, entry: QueuedCall): GateEvent {
  if (worseWaits(db, entry)) db.totals.refusedBeforeWorseCount += 1
  db.window.overloadRefusalsCount += 1
  return refuse(db, entry.call.callId, fullReason(entry.call.level))
}

function start (db: AdmissionDb, callId: string, times: RouteTimes): GateEvent {
  db.inFlight.set(callId, times)
  db.totals.startedCount += 1
  db.window.startsCount += 1
  return { kind: 'start', callId }
}

/** Fills free slots from the queue; each call's deadline is checked right before it starts. */
function fillSlots (db: AdmissionDb, nowMs: Millis, events: GateEvent[]): void {
  while (db.queue.length > 0 && db.inFlight.size < limitCount(db)) {
    const entry = takeBest(db)
    if (entry === undefined) return
    const late = lateReason(db, entry.call.deadlineAtMs, entry.times, nowMs)
    events.push(late === undefined
      ? start(db, entry.call.callId, entry.times)
      : refuse(db, entry.call.callId, late))
  }
}

function dropLate (db: AdmissionDb, nowMs: Millis, events: GateEvent[]): void {
  db.lateCheckedAtMs = nowMs
  const reasonOf = (entry: QueuedCall): Reason | undefined =>
    lateReason(db, entry.call.deadlineAtMs, entry.times, nowMs)
  for (const entry of takeWhere(db, queued => reasonOf(queued) !== undefined)) {
    events.push(refuse(db, entry.call.callId, reasonOf(entry) ?? Reason.DeadlinePassed))
  }
}

/** Brings the queue back to its bound: calls that are too late go first, then the worst. */
function trimQueue (db: AdmissionDb, nowMs: Millis, events: GateEvent[]): void {
  if (db.queue.length <= db.queueCapacityCount) return
  if (nowMs - db.lateCheckedAtMs >= LATE_CHECK_MS) dropLate(db, nowMs, events)
  while (db.queue.length > db.queueCapacityCount) {
    const worst = takeWorst(db)
    if (worst === undefined) return
    events.push(refuseFull(db, worst))
  }
}

/**
 * Asks for a slot for a call.
 *
 * @example
 * offer(db, call, nowMs) // [{ kind: 'start', callId: call.callId }]
 */
export function offer (db: AdmissionDb, call: GateCall, nowMs: Millis): GateEvent[] {
  advance(db, nowMs)
  if (db.queuedIds.has(call.callId) || db.inFlight.has(call.callId)) {
    db.totals.offeredTwiceCount += 1
    return []
  }
  db.totals.offeredCount += 1
  const times = timesOf(db, call.routeName)
  const closed = closedReason(db) ?? lateReason(db, call.deadlineAtMs, times, nowMs)
  const events: GateEvent[] = []
  if (closed === undefined) {
    db.window.offeredByLevel[call.level] = (db.window.offeredByLevel[call.level] ?? 0) + 1
    db.sequence += 1
    enqueue(db, { call, sequence: db.sequence, times })
  } else {
    events.push(refuse(db, call.callId, closed))
  }
  /* Also after a refusal: the limit may have grown with the time. */
  fillSlots(db, nowMs, events)
  trimQueue(db, nowMs, events)
  if (db.queuedIds.has(call.callId)) events.push({ kind: 'queued', callId: call.callId })
  return events
}

/**
 * Frees the slot of a dispatched call and starts the next one. An id that is
 * not in flight is ignored.
 *
 * @example
 * release(db, 'call-1', ReleaseKind.Done, 12, nowMs)
 */
export function release (
  db: AdmissionDb, callId: string, kind: ReleaseKind, servedMs: Millis, nowMs: Millis
): GateEvent[] {
  advance(db, nowMs)
  const times = db.inFlight.get(callId)
  if (times !== undefined) {
    learnRelease(db, times, kind, servedMs)
    db.inFlight.delete(callId)
    db.inFlightCeilingCount = Math.max(db.capacity.slotsCount, Math.min(db.inFlightCeilingCount, db.inFlight.size))
  }
  const events: GateEvent[] = []
  fillSlots(db, nowMs, events)
  return events
}

function learnRelease (db: AdmissionDb, times: RouteTimes, kind: ReleaseKind, servedMs: Millis): void {
  switch (kind) {
    case ReleaseKind.Done:
      learnServed(times, servedMs, db.nowMs)
      learnServed(db.allRoutes, servedMs, db.nowMs)
      return
    case ReleaseKind.Shed:
      noteShed(db)
      return
    case ReleaseKind.Failed:
    case ReleaseKind.Cancelled:
      learnUnanswered(times, servedMs, db.nowMs)
      return
    default:
      assertNever(kind)
  }
}

/**
 * Removes a queued call whose caller has gone. The event tells that the call
 * was still queued and did not run; a dispatched call yields no event.
 *
 * @example
 * cancel(db, 'call-1', nowMs) // [{ kind: 'refuse', callId: 'call-1', reason: Reason.CallerCancelled }]
 */
export function cancel (db: AdmissionDb, callId: string, nowMs: Millis): GateEvent[] {
  advance(db, nowMs)
  const events: GateEvent[] = []
  if (takeById(db, callId) !== undefined) {
    db.totals.cancelledCount += 1
    events.push({ kind: 'refuse', callId, reason: Reason.CallerCancelled })
  }
  fillSlots(db, nowMs, events)
  return events
}

/**
 * Refuses queued calls that can no longer finish in time and starts others.
 *
 * @example
 * setInterval(() => apply(poll(db, clock.monotonicMs())), 10)
 */
export function poll (db: AdmissionDb, nowMs: Millis): GateEvent[] {
  advance(db, nowMs)
  const events: GateEvent[] = []
  if (db.queue.length > 0) dropLate(db, nowMs, events)
  fillSlots(db, nowMs, events)
  return events
}

/**
 * Takes a new capacity. Queued calls are refused when no more work is taken,
 * because they may still run elsewhere.
 *
 * @example
 * setCapacity(db, { slotsCount: 40, acceptsWork: true, draining: false }, nowMs)
 */
export function setCapacity (db: AdmissionDb, capacity: BackendCapacity, nowMs: Millis): GateEvent[] {
  advance(db, nowMs)
  const whole = db.limit >= db.capacity.slotsCount
  db.capacity = { ...capacity, slotsCount: Math.max(0, Math.floor(capacity.slotsCount)) }
  const { slotsCount } = db.capacity
  db.limit = whole ? slotsCount : Math.min(db.limit, slotsCount)
  db.inFlightCeilingCount = Math.max(slotsCount, db.inFlight.size)
  sizeQueue(db)
  const events: GateEvent[] = []
  const closed = closedReason(db)
  if (closed !== undefined) {
    for (const entry of takeWhere(db, () => true)) events.push(refuse(db, entry.call.callId, closed))
  }
  fillSlots(db, nowMs, events)
  trimQueue(db, nowMs, events)
  return events
}

/** Reading for operators, peers and the `cut-level` header. */
export function reading (db: AdmissionDb, nowMs: Millis): GateReading {
  advance(db, nowMs)
  return {
    inFlightCount: db.inFlight.size,
    queuedCount: db.queue.length,
    limitCount: limitCount(db),
    cutLevel: db.window.cutLevel,
    saturated: db.window.saturated
  }
}
