import type { Millis } from '../../clock/clock.js'
import { ModuleId } from '../coreTypes.js'
import {
  clearMembershipDb, createMembershipDb, findEntry, storeList, setMark, type MembershipDb
} from './membershipDb.js'
import {
  isEntryLeaving, isMarkExpired, isNewerList, isNewIncarnation, activeMark, membershipViolations
} from './membershipDetector.js'
import {
  Evidence, VmState, type MembershipModule, type VmEntry, type VmList, type VmReading
} from './membershipTypes.js'

/** At this count of marks, marks for unlisted VMs are no longer accepted. The system is designed for 5,900 VMs. */
const MARKS_MAX_COUNT = 10_000

/**
 * Accepts a list if it is newer than the current one. A VM that the previous
 * list did not contain, or listed with other addresses, is a new process, so the
 * leaving mark of the old one is removed. The first list of a data centre
 * removes no marks, since its VMs may have been leaving before it arrived.
 */
function acceptListIfNewer (db: MembershipDb, list: VmList, nowMs: Millis): boolean {
  const previous = db.acceptedLists.get(list.dataCentre)
  if (!isNewerList(previous, list)) return false
  if (previous !== undefined) {
    for (const entry of list.entries) {
      if (isNewIncarnation(previous.byVmId.get(entry.vmId), entry)) db.marks.delete(entry.vmId)
    }
  }
  storeList(db, list, nowMs)
  return true
}

function confirmList (db: MembershipDb, dataCentre: string, revision: number, nowMs: Millis): void {
  const accepted = db.acceptedLists.get(dataCentre)
  if (accepted?.list.revision === revision) accepted.confirmedAtMs = Math.max(accepted.confirmedAtMs, nowMs)
}

function isConfirmed (db: MembershipDb, dataCentre: string, nowMs: Millis): boolean {
  const accepted = db.acceptedLists.get(dataCentre)
  return accepted !== undefined && nowMs - accepted.confirmedAtMs <= db.settings.confirmationTtlMs
}

function markLeaving (db: MembershipDb, vmId: string, evidence: Evidence, nowMs: Millis): void {
  const isKnown = db.marks.has(vmId) || findEntry(db, vmId) !== undefined
  if (isKnown || db.marks.size < MARKS_MAX_COUNT) setMark(db, vmId, { evidence, atMs: nowMs })
}

function isLeaving (db: MembershipDb, vmId: string, nowMs: Millis): boolean {
  return activeMark(db, vmId, nowMs) !== undefined || findEntry(db, vmId)?.state === VmState.Leaving
}

function liveEntries (db: MembershipDb, serviceName: string, nowMs: Millis): VmEntry[] {
  const live: VmEntry[] = []
  for (const accepted of db.acceptedLists.values()) {
    for (const entry of accepted.byService.get(serviceName) ?? []) {
      if (!isEntryLeaving(db, entry, nowMs)) live.push(entry)
    }
  }
  return live
}

function readingOf (db: MembershipDb, entry: VmEntry, nowMs: Millis): VmReading {
  const mark = activeMark(db, entry.vmId, nowMs)
  return {
    ...entry,
    effectiveState: mark === undefined ? entry.state : VmState.Leaving,
    evidence: mark?.evidence ?? Evidence.List
  }
}

function removeExpiredMarks (db: MembershipDb, nowMs: Millis): void {
  for (const [vmId, mark] of db.marks) {
    if (isMarkExpired(mark, db.settings.markTtlMs, nowMs)) db.marks.delete(vmId)
  }
}

/**
 * Membership: combines the published VM lists with reports from peers and
 * connections. A report that a VM is leaving takes precedence over a list, which
 * may lag behind, and expires unless it is renewed.
 *
 * @example
 * const db = membershipDefinition.createDb(membershipDefinition.defaults)
 * membershipDefinition.acceptListIfNewer(db, { dataCentre: 'tartu', revision: 1, entries: [] }, 0) // true
 */
export const membershipDefinition: MembershipModule<MembershipDb> = {
  id: ModuleId.Membership,
  // A draining node renews its mark with each answer and notice. Each list is read once a second.
  defaults: { markTtlMs: 30_000, confirmationTtlMs: 5000 },
  createDb: createMembershipDb,
  clear: clearMembershipDb,
  tick: removeExpiredMarks,
  violations: membershipViolations,
  acceptListIfNewer,
  confirmList,
  isConfirmed,
  listOf: (db, dataCentre) => db.acceptedLists.get(dataCentre)?.list,
  lists: db => [...db.acceptedLists.values()].map(accepted => accepted.list),
  markLeaving,
  clearMark: (db, vmId) => { db.marks.delete(vmId) },
  isLeaving,
  isEntryLeaving,
  liveEntries,
  entriesOf: (db, dataCentre) => db.acceptedLists.get(dataCentre)?.list.entries ?? [],
  entryOf: findEntry,
  vmReadings: (db, nowMs) => [...db.acceptedLists.values()].flatMap(accepted => (
    accepted.list.entries.map(entry => readingOf(db, entry, nowMs))
  ))
}
