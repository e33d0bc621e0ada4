import type { Millis } from '../../clock/clock.js'
import type { Violation } from '../coreTypes.js'
import { coreModules } from '../registry.js'
import type { NodeCoreDb } from './nodeCoreDb.js'

/** How long after its deadline an open call is reported as a violation. */
const OVERDUE_AFTER_MS: Millis = 60_000

/** Returns the invariant violations of the node and of all core modules since the last check. */
export function findViolations (db: NodeCoreDb, nowMs: Millis): Violation[] {
  const violations = db.pendingViolations.splice(0)
  for (const coreModule of coreModules) violations.push(...coreModule.violations(db.modules, nowMs))
  // After a pause the results of calls that ended meanwhile are still to be handled, so overdue calls are not checked.
  if (nowMs < db.resyncUntilMs) return violations
  for (const state of db.calls.values()) {
    if (nowMs - state.deadlineAtMs > OVERDUE_AFTER_MS) {
      violations.push({ property: 'eachCallEnds', detail: `call ${state.call.callId} is overdue in state ${state.chartState}` })
    }
  }
  return violations
}
