import type { Millis } from '../../clock/clock.js'
import { isAbovePromise, Reason, type Violation } from '../coreTypes.js'
import type { AdmissionDb, QueuedCall, RouteTimes } from './admissionDb.js'
import { expectedMs } from './serviceTimes.js'

/** Why no call can be dispatched at all, or undefined when the backend server takes work. */
export function closedReason (db: AdmissionDb): Reason | undefined {
  if (db.capacity.draining) return Reason.Draining
  return db.capacity.acceptsWork && db.capacity.slotsCount >= 1 ? undefined : Reason.BackendDown
}

/**
 * Why a call can no longer finish in time. A call whose deadline has passed is
 * refused whatever the settings: it would run for nobody after a pause.
 *
 * @example
 * lateReason(db, call.deadlineAtMs, times, nowMs) // Reason.DeadlinePassed
 */
export function lateReason (
  db: AdmissionDb, deadlineAtMs: Millis, times: RouteTimes, nowMs: Millis
): Reason | undefined {
  const remainingMs = deadlineAtMs - nowMs
  if (remainingMs <= 0) return Reason.DeadlinePassed
  if (db.settings.refuseByDeadline && remainingMs < expectedMs(times, nowMs)) return Reason.DeadlineTooShort
  return undefined
}

/** Reason for a call that is refused because the gate is full. */
export function fullReason (level: number): Reason {
  return isAbovePromise(level) ? Reason.AbovePromise : Reason.Overload
}

/** Whether a worse call than the refused one still waits. */
export function worseWaits (db: AdmissionDb, refused: QueuedCall): boolean {
  const worst = db.queue[0]
  return db.settings.priorities && worst !== undefined && worst.call.level > refused.call.level
}

/** Invariants of the gate; the cost does not grow with the calls in flight. */
export function admissionViolations (db: AdmissionDb): Violation[] {
  const { totals, queue, inFlight, capacity } = db
  const found: Violation[] = []
  const check = (holds: boolean, property: string, detail: string): void => {
    if (!holds) found.push({ property, detail })
  }
  const ceiling = Math.max(capacity.slotsCount, db.inFlightCeilingCount)
  check(inFlight.size <= ceiling, 'admission.slots', `${inFlight.size} in flight, ${ceiling} allowed`)
  check(queue.length <= Math.max(db.settings.queueCapacityCount, 0), 'admission.queueBound', `${queue.length} queued`)
  check(queue.length === db.queuedIds.size, 'admission.queueIndex', `${queue.length} queued, ${db.queuedIds.size} ids`)
  check(totals.refusedBeforeWorseCount === 0, 'admission.worstFirst',
    `${totals.refusedBeforeWorseCount} refused while a worse call waited`)
  check(totals.offeredTwiceCount === 0, 'admission.offeredOnce', `${totals.offeredTwiceCount} offered twice`)
  const decided = totals.startedCount + totals.refusedCount + totals.cancelledCount
  check(totals.offeredCount === decided + queue.length, 'admission.decidedOnce',
    `${totals.offeredCount} offered, ${decided} decided, ${queue.length} queued`)
  return found
}
