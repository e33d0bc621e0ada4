import type { Millis } from '../../clock/clock.js'
import type { Violation } from '../coreTypes.js'
import { families } from '../registry.js'
import type { NodeCoreDb } from './nodeCoreDb.js'

/** How long past its deadline a call may still be open before it counts as lost, while the process runs. */
const OVERDUE_AFTER_MS: Millis = 60_000

/** Broken invariants of the node and its families since the last check. */
export function findViolations (db: NodeCoreDb, nowMs: Millis): Violation[] {
  const found = db.found.splice(0)
  for (const family of families) found.push(...family.violations(db.family, nowMs))
  // Results of calls that ended during a pause are handled after it, so the check waits for them.
  if (nowMs < db.settlingUntilMs) return found
  for (const state of db.calls.values()) {
    if (nowMs - state.deadlineAtMs > OVERDUE_AFTER_MS) {
      found.push({ property: 'eachCallEnds', detail: `call ${state.call.callId} in ${state.chartState}` })
    }
  }
  return found
}
