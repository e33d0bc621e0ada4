import type { Millis } from '../../clock/clock.js'
import { ModuleId } from '../coreTypes.js'
import {
  clearMembershipDb, createMembershipDb, findEntry, holdList, setMark, type MembershipDb
} from './membershipDb.js'
import {
  isEntryLeaving, isMarkExpired, isNewer, isNewVm, markInForce, membershipViolations
} from './membershipDetector.js'
import {
  Evidence, VmState, type MembershipModule, type VmEntry, type VmList, type VmReading
} from './membershipTypes.js'

/** Marks for VMs that no list shows are dropped above this count; the design size has 5,900 VMs. */
const MARKS_MAX_COUNT = 10_000

/**
 * Takes a list if it is newer than the one held. A VM that the previous list
 * did not show, or showed at other addresses, is a new process, so a leaving
 * mark of its predecessor is withdrawn. The first list of a data centre
 * withdraws nothing: what it shows may have been leaving all along.
 */
function offerList (db: MembershipDb, list: VmList, nowMs: Millis): boolean {
  const before = db.held.get(list.dataCentre)
  if (!isNewer(before, list)) return false
  if (before !== undefined) {
    for (const entry of list.entries) {
      if (isNewVm(before.byVmId.get(entry.vmId), entry)) db.marks.delete(entry.vmId)
    }
  }
  holdList(db, list, nowMs)
  return true
}

function confirmList (db: MembershipDb, dataCentre: string, revision: number, nowMs: Millis): void {
  const held = db.held.get(dataCentre)
  if (held?.list.revision === revision) held.confirmedAtMs = Math.max(held.confirmedAtMs, nowMs)
}

function isConfirmed (db: MembershipDb, dataCentre: string, nowMs: Millis): boolean {
  const held = db.held.get(dataCentre)
  return held !== undefined && nowMs - held.confirmedAtMs <= db.settings.confirmedForMs
}

function markLeaving (db: MembershipDb, vmId: string, evidence: Evidence, nowMs: Millis): void {
  const isKnown = db.marks.has(vmId) || findEntry(db, vmId) !== undefined
  if (isKnown || db.marks.size < MARKS_MAX_COUNT) setMark(db, vmId, { evidence, atMs: nowMs })
}

function isLeaving (db: MembershipDb, vmId: string, nowMs: Millis): boolean {
  return markInForce(db, vmId, nowMs) !== undefined || findEntry(db, vmId)?.state === VmState.Leaving
}

function liveEntries (db: MembershipDb, serviceName: string, nowMs: Millis): VmEntry[] {
  const live: VmEntry[] = []
  for (const held of db.held.values()) {
    for (const entry of held.byService.get(serviceName) ?? []) {
      if (!isEntryLeaving(db, entry, nowMs)) live.push(entry)
    }
  }
  return live
}

function readingOf (db: MembershipDb, entry: VmEntry, nowMs: Millis): VmReading {
  const mark = markInForce(db, entry.vmId, nowMs)
  return {
    ...entry,
    effectiveState: mark === undefined ? entry.state : VmState.Leaving,
    evidence: mark?.evidence ?? Evidence.List
  }
}

function dropExpired (db: MembershipDb, nowMs: Millis): void {
  for (const [vmId, mark] of db.marks) {
    if (isMarkExpired(mark, db.settings.markTtlMs, nowMs)) db.marks.delete(vmId)
  }
}

/**
 * VM lists merged with what peers and connections show. Own evidence that a VM
 * is leaving goes before a list that lags, and expires unless it is renewed.
 *
 * @example
 * const db = membershipDefinition.createDb(membershipDefinition.defaults)
 * membershipDefinition.offerList(db, { dataCentre: 'tartu', revision: 1, entries: [] }, 0) // true
 */
export const membershipDefinition: MembershipModule<MembershipDb> = {
  id: ModuleId.Membership,
  // A draining node repeats its mark with each answer and notice. Each list is read once a second.
  defaults: { markTtlMs: 30_000, confirmedForMs: 5000 },
  createDb: createMembershipDb,
  clear: clearMembershipDb,
  tick: dropExpired,
  violations: membershipViolations,
  offerList,
  confirmList,
  isConfirmed,
  listOf: (db, dataCentre) => db.held.get(dataCentre)?.list,
  lists: db => [...db.held.values()].map(held => held.list),
  markLeaving,
  clearMark: (db, vmId) => { db.marks.delete(vmId) },
  isLeaving,
  isEntryLeaving,
  liveEntries,
  entriesOf: (db, dataCentre) => db.held.get(dataCentre)?.list.entries ?? [],
  entryOf: findEntry,
  readings: (db, nowMs) => [...db.held.values()].flatMap(held => (
    held.list.entries.map(entry => readingOf(db, entry, nowMs))
  ))
}
