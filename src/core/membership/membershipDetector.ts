import type { Millis } from '../../clock/clock.js'
import type { Violation } from '../coreTypes.js'
import { findEntry, type HeldList, type LeavingMark, type MembershipDb } from './membershipDb.js'
import { VmState, type VmEntry, type VmList } from './membershipTypes.js'

/** Whether a list is newer than the one held. */
export function isNewer (held: HeldList | undefined, list: VmList): boolean {
  return held === undefined || list.revision > held.list.revision
}

export function isMarkExpired (mark: LeavingMark, ttlMs: Millis, nowMs: Millis): boolean {
  return nowMs - mark.atMs > ttlMs
}

/** Whether a list shows another process under a VM's id: it was gone, or it has new addresses. */
export function isNewVm (before: VmEntry | undefined, after: VmEntry): boolean {
  return before === undefined || before.callAddress !== after.callAddress ||
    before.controlAddress !== after.controlAddress
}

/** The mark of a VM that still counts. */
export function markInForce (db: MembershipDb, vmId: string, nowMs: Millis): LeavingMark | undefined {
  const mark = db.marks.get(vmId)
  return mark !== undefined && !isMarkExpired(mark, db.settings.markTtlMs, nowMs) ? mark : undefined
}

/** Whether an entry may not get new work. */
export function isEntryLeaving (db: MembershipDb, entry: VmEntry, nowMs: Millis): boolean {
  return entry.state === VmState.Leaving || markInForce(db, entry.vmId, nowMs) !== undefined
}

/** Lists that went back, and marks that count although they expired. */
export function membershipViolations (db: MembershipDb, nowMs: Millis): Violation[] {
  const found: Violation[] = []
  for (const [dataCentre, greatest] of db.greatestRevisions) {
    const revision = db.held.get(dataCentre)?.list.revision
    if (revision !== greatest) {
      found.push({ property: 'listsMoveForward', detail: `${dataCentre} holds ${revision} after ${greatest}` })
    }
  }
  for (const [vmId, mark] of db.marks) {
    if (mark.atMs > nowMs) found.push({ property: 'marksExpire', detail: `mark of ${vmId} is from the future` })
    const entry = findEntry(db, vmId)
    if (entry !== undefined && !isMarkExpired(mark, db.settings.markTtlMs, nowMs) &&
      !isEntryLeaving(db, entry, nowMs)) {
      found.push({ property: 'drainStopsWork', detail: `${vmId} gets work in spite of its mark` })
    }
  }
  return found
}
