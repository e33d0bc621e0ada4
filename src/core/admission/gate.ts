import type { Millis } from '../../clock/clock.js'
import { assertNever } from '../../errors/errors.js'
import { Reason } from '../coreTypes.js'
import { getOrCreateEstimate, type AdmissionDb, type QueuedCall, type ServiceTimeEstimate } from './admissionDb.js'
import { deadlineReason, hasLowerPriorityQueued, overloadReason, unavailableReason } from './admissionDetector.js'
import { ReleaseKind, type BackendCapacity, type GateCall, type GateEvent, type GateReading } from './admissionTypes.js'
import { dequeueHighestPriority, enqueue, evictLowestPriority, removeById, removeWhere } from './gateQueue.js'
import { advanceWindow, limitCount, recordBackendShed, updateQueueCapacity } from './gateWindow.js'
import { recordServiceTime, recordUnanswered } from './serviceTimes.js'

/**
 * Least time between two searches of a full queue for late calls. A search on every offer would cost more than all
 * other work of the gate.
 */
const DEADLINE_CHECK_INTERVAL_MS = 5

function refuseCall (db: AdmissionDb, callId: string, reason: Reason): GateEvent {
  db.totals.refusedCount += 1
  return { kind: 'refuse', callId, reason }
}

function refuseForOverload (db: AdmissionDb, entry: QueuedCall): GateEvent {
  if (hasLowerPriorityQueued(db, entry)) db.totals.priorityInversionsCount += 1
  db.window.overloadRefusalsCount += 1
  return refuseCall(db, entry.call.callId, overloadReason(entry.call.level))
}

function startCall (db: AdmissionDb, callId: string, estimate: ServiceTimeEstimate): GateEvent {
  db.inFlight.set(callId, estimate)
  db.totals.startedCount += 1
  db.window.startsCount += 1
  return { kind: 'start', callId }
}

/** Starts queued calls in free slots; each call's deadline is checked right before it starts. */
function startQueuedCalls (db: AdmissionDb, nowMs: Millis, events: GateEvent[]): void {
  while (db.queue.length > 0 && db.inFlight.size < limitCount(db)) {
    const entry = dequeueHighestPriority(db)
    if (entry === undefined) return
    const refusalReason = deadlineReason(db, entry.call.deadlineAtMs, entry.estimate, nowMs)
    events.push(refusalReason === undefined
      ? startCall(db, entry.call.callId, entry.estimate)
      : refuseCall(db, entry.call.callId, refusalReason))
  }
}

function refuseLateCalls (db: AdmissionDb, nowMs: Millis, events: GateEvent[]): void {
  db.deadlinesCheckedAtMs = nowMs
  const reasonOf = (entry: QueuedCall): Reason | undefined =>
    deadlineReason(db, entry.call.deadlineAtMs, entry.estimate, nowMs)
  for (const entry of removeWhere(db, queued => reasonOf(queued) !== undefined)) {
    events.push(refuseCall(db, entry.call.callId, reasonOf(entry) ?? Reason.DeadlinePassed))
  }
}

/** Evicts calls until the queue is within its bound: late calls first, then those of the lowest priority. */
function trimQueue (db: AdmissionDb, nowMs: Millis, events: GateEvent[]): void {
  if (db.queue.length <= db.queueCapacityCount) return
  if (nowMs - db.deadlinesCheckedAtMs >= DEADLINE_CHECK_INTERVAL_MS) refuseLateCalls(db, nowMs, events)
  while (db.queue.length > db.queueCapacityCount) {
    const evicted = evictLowestPriority(db)
    if (evicted === undefined) return
    events.push(refuseForOverload(db, evicted))
  }
}

/**
 * Requests a slot for a call: it is started, queued or refused. The events may
 * concern other calls too.
 *
 * @example
 * offerCall(db, call, nowMs) // [{ kind: 'start', callId: call.callId }]
 */
export function offerCall (db: AdmissionDb, call: GateCall, nowMs: Millis): GateEvent[] {
  advanceWindow(db, nowMs)
  if (db.queuedById.has(call.callId) || db.inFlight.has(call.callId)) {
    db.totals.offeredTwiceCount += 1
    return []
  }
  db.totals.offeredCount += 1
  const estimate = getOrCreateEstimate(db, call.routeName)
  const refusalReason = unavailableReason(db) ?? deadlineReason(db, call.deadlineAtMs, estimate, nowMs)
  const events: GateEvent[] = []
  if (refusalReason === undefined) {
    db.window.offeredByLevel[call.level] = (db.window.offeredByLevel[call.level] ?? 0) + 1
    db.sequence += 1
    enqueue(db, { call, sequence: db.sequence, estimate })
  } else {
    events.push(refuseCall(db, call.callId, refusalReason))
  }
  /* Also needed after a refusal: the limit may have grown since the last call. */
  startQueuedCalls(db, nowMs, events)
  trimQueue(db, nowMs, events)
  if (db.queuedById.has(call.callId)) events.push({ kind: 'queued', callId: call.callId })
  return events
}

/**
 * Frees the slot of a dispatched call and starts queued calls. An unknown call
 * id frees nothing.
 *
 * @example
 * releaseSlot(db, 'call-1', ReleaseKind.Done, 12, nowMs)
 */
export function releaseSlot (
  db: AdmissionDb, callId: string, kind: ReleaseKind, servedMs: Millis, nowMs: Millis
): GateEvent[] {
  advanceWindow(db, nowMs)
  const estimate = db.inFlight.get(callId)
  if (estimate !== undefined) {
    recordRelease(db, estimate, kind, servedMs)
    db.inFlight.delete(callId)
    db.inFlightCeilingCount = Math.max(db.capacity.slotsCount, Math.min(db.inFlightCeilingCount, db.inFlight.size))
  }
  const events: GateEvent[] = []
  startQueuedCalls(db, nowMs, events)
  return events
}

function recordRelease (db: AdmissionDb, estimate: ServiceTimeEstimate, kind: ReleaseKind, servedMs: Millis): void {
  switch (kind) {
    case ReleaseKind.Done:
      recordServiceTime(estimate, servedMs, db.nowMs)
      recordServiceTime(db.allRoutesEstimate, servedMs, db.nowMs)
      return
    case ReleaseKind.Shed:
      recordBackendShed(db)
      return
    case ReleaseKind.Failed:
    case ReleaseKind.Cancelled:
      recordUnanswered(estimate, servedMs, db.nowMs)
      return
    default:
      assertNever(kind)
  }
}

/**
 * Removes a queued call whose caller disconnected. A `refuse` event confirms
 * that the call was still queued and did not run; a dispatched call has no event.
 *
 * @example
 * cancelQueuedCall(db, 'call-1', nowMs) // [{ kind: 'refuse', callId: 'call-1', reason: Reason.CallerCancelled }]
 */
export function cancelQueuedCall (db: AdmissionDb, callId: string, nowMs: Millis): GateEvent[] {
  advanceWindow(db, nowMs)
  const events: GateEvent[] = []
  if (removeById(db, callId) !== undefined) {
    db.totals.cancelledCount += 1
    events.push({ kind: 'refuse', callId, reason: Reason.CallerCancelled })
  }
  startQueuedCalls(db, nowMs, events)
  return events
}

/**
 * Refuses queued calls that cannot finish before their deadline and starts others in free slots.
 *
 * @example
 * setInterval(() => apply(processQueue(db, clock.monotonicMs())), 10)
 */
export function processQueue (db: AdmissionDb, nowMs: Millis): GateEvent[] {
  advanceWindow(db, nowMs)
  const events: GateEvent[] = []
  if (db.queue.length > 0) refuseLateCalls(db, nowMs, events)
  startQueuedCalls(db, nowMs, events)
  return events
}

/**
 * Sets the capacity of the backend server. When it stops accepting work, queued
 * calls are refused at once, so that they can still run on another server.
 *
 * @example
 * setCapacity(db, { slotsCount: 40, acceptsWork: true, draining: false }, nowMs)
 */
export function setCapacity (db: AdmissionDb, capacity: BackendCapacity, nowMs: Millis): GateEvent[] {
  advanceWindow(db, nowMs)
  const wasAtFullLimit = db.limit >= db.capacity.slotsCount
  db.capacity = { ...capacity, slotsCount: Math.max(0, Math.floor(capacity.slotsCount)) }
  const { slotsCount } = db.capacity
  db.limit = wasAtFullLimit ? slotsCount : Math.min(db.limit, slotsCount)
  db.inFlightCeilingCount = Math.max(slotsCount, db.inFlight.size)
  updateQueueCapacity(db)
  const events: GateEvent[] = []
  const refusalReason = unavailableReason(db)
  if (refusalReason !== undefined) {
    for (const entry of removeWhere(db, () => true)) events.push(refuseCall(db, entry.call.callId, refusalReason))
  }
  startQueuedCalls(db, nowMs, events)
  trimQueue(db, nowMs, events)
  return events
}

/** Snapshot for operators, peers and the header `ragwortspur-cut-level`, the load-shedding threshold. */
export function getGateReading (db: AdmissionDb, nowMs: Millis): GateReading {
  advanceWindow(db, nowMs)
  return {
    inFlightCount: db.inFlight.size,
    queuedCount: db.queue.length,
    limitCount: limitCount(db),
    cutLevel: db.window.cutLevel,
    saturated: db.window.saturated
  }
}
