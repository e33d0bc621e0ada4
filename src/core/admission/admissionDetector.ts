import type { Millis } from '../../clock/clock.js'
import { isAbovePromise, Reason, type Violation } from '../coreTypes.js'
import type { AdmissionDb, QueuedCall, ServiceTimeEstimate } from './admissionDb.js'
import { estimateServiceMs } from './serviceTimes.js'

/** Why no call can be dispatched, or undefined when the backend server accepts work. */
export function unavailableReason (db: AdmissionDb): Reason | undefined {
  if (db.capacity.draining) return Reason.Draining
  return db.capacity.acceptsWork && db.capacity.slotsCount >= 1 ? undefined : Reason.BackendDown
}

/**
 * Why a call cannot finish before its deadline, or undefined if it can. A call
 * whose deadline has passed is refused regardless of the settings: after a pause
 * of the process, stale calls would otherwise run although nobody waits for them.
 *
 * @example
 * deadlineReason(db, call.deadlineAtMs, estimate, nowMs) // Reason.DeadlinePassed
 */
export function deadlineReason (
  db: AdmissionDb, deadlineAtMs: Millis, estimate: ServiceTimeEstimate, nowMs: Millis
): Reason | undefined {
  const remainingMs = deadlineAtMs - nowMs
  if (remainingMs <= 0) return Reason.DeadlinePassed
  if (db.settings.refuseByDeadline && remainingMs < estimateServiceMs(estimate, nowMs)) return Reason.DeadlineTooShort
  return undefined
}

/** Reason reported for a call that is refused because slots and queue are full. */
export function overloadReason (level: number): Reason {
  return isAbovePromise(level) ? Reason.AbovePromise : Reason.Overload
}

/** Whether a call of lower priority than the refused one is still queued. */
export function hasLowerPriorityQueued (db: AdmissionDb, refused: QueuedCall): boolean {
  const lowestPriority = db.queue[0]
  return db.settings.priorities && lowestPriority !== undefined && lowestPriority.call.level > refused.call.level
}

/** Checks the invariants of the gate in constant time, independent of the calls in flight. */
export function admissionViolations (db: AdmissionDb): Violation[] {
  const { totals, queue, inFlight, capacity } = db
  const found: Violation[] = []
  const check = (holds: boolean, property: string, detail: string): void => {
    if (!holds) found.push({ property, detail })
  }
  const ceiling = Math.max(capacity.slotsCount, db.inFlightCeilingCount)
  check(inFlight.size <= ceiling, 'admission.slots', `${inFlight.size} in flight, ${ceiling} allowed`)
  check(queue.length <= Math.max(db.settings.queueCapacityCount, 0), 'admission.queueBound', `${queue.length} queued`)
  check(queue.length === db.queuedById.size, 'admission.queueIndex', `${queue.length} queued, ${db.queuedById.size} ids`)
  check(totals.priorityInversionsCount === 0, 'admission.worstFirst',
    `${totals.priorityInversionsCount} refused while a lower-priority call was queued`)
  check(totals.offeredTwiceCount === 0, 'admission.offeredOnce', `${totals.offeredTwiceCount} offered twice`)
  const decided = totals.startedCount + totals.refusedCount + totals.cancelledCount
  check(totals.offeredCount === decided + queue.length, 'admission.decidedOnce',
    `${totals.offeredCount} offered, ${decided} decided, ${queue.length} queued`)
  return found
}
