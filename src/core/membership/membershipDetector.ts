import type { Millis } from '../../clock/clock.js'
import type { Violation } from '../coreTypes.js'
import { findEntry, type AcceptedList, type LeavingMark, type MembershipDb } from './membershipDb.js'
import { VmState, type VmEntry, type VmList } from './membershipTypes.js'

/** Whether a list is newer than the accepted one. */
export function isNewerList (accepted: AcceptedList | undefined, list: VmList): boolean {
  return accepted === undefined || list.revision > accepted.list.revision
}

export function isMarkExpired (mark: LeavingMark, ttlMs: Millis, nowMs: Millis): boolean {
  return nowMs - mark.atMs > ttlMs
}

/** Whether an entry is a new process with a known VM id: the previous list had no such VM, or other addresses. */
export function isNewIncarnation (before: VmEntry | undefined, after: VmEntry): boolean {
  return before === undefined || before.callAddress !== after.callAddress ||
    before.controlAddress !== after.controlAddress
}

/** The unexpired leaving mark of a VM, if any. */
export function activeMark (db: MembershipDb, vmId: string, nowMs: Millis): LeavingMark | undefined {
  const mark = db.marks.get(vmId)
  return mark !== undefined && !isMarkExpired(mark, db.settings.markTtlMs, nowMs) ? mark : undefined
}

/** Whether a VM is leaving, by its entry or by a mark, and may get no new calls. */
export function isEntryLeaving (db: MembershipDb, entry: VmEntry, nowMs: Millis): boolean {
  return entry.state === VmState.Leaving || activeMark(db, entry.vmId, nowMs) !== undefined
}

/** Violated invariants: list revisions never decrease, marks are not dated in the future, marked VMs get no calls. */
export function membershipViolations (db: MembershipDb, nowMs: Millis): Violation[] {
  const violations: Violation[] = []
  for (const [dataCentre, greatestRevision] of db.greatestRevisions) {
    const revision = db.acceptedLists.get(dataCentre)?.list.revision
    if (revision !== greatestRevision) {
      violations.push({ property: 'listsMoveForward', detail: `${dataCentre} has revision ${revision} after ${greatestRevision}` })
    }
  }
  for (const [vmId, mark] of db.marks) {
    if (mark.atMs > nowMs) violations.push({ property: 'marksExpire', detail: `mark of ${vmId} is dated in the future` })
    const entry = findEntry(db, vmId)
    if (entry !== undefined && !isMarkExpired(mark, db.settings.markTtlMs, nowMs) &&
      !isEntryLeaving(db, entry, nowMs)) {
      violations.push({ property: 'drainStopsWork', detail: `${vmId} gets calls despite its leaving mark` })
    }
  }
  return violations
}
