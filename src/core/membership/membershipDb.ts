import type { Millis } from '../../clock/clock.js'
import type { Evidence, MembershipSettings, VmEntry, VmList } from './membershipTypes.js'

/** The list of one data centre, with its entries by VM and by service. */
export interface HeldList {
  readonly list: VmList
  readonly byVmId: ReadonlyMap<string, VmEntry>
  readonly byService: ReadonlyMap<string, readonly VmEntry[]>
  confirmedAtMs: Millis
}

/** The latest word that a VM is leaving, other than the list's. */
export interface LeavingMark {
  readonly evidence: Evidence
  readonly atMs: Millis
}

/** State of the membership family: one list per data centre and the leaving marks. */
export interface MembershipDb {
  readonly settings: MembershipSettings
  readonly held: Map<string, HeldList>
  readonly marks: Map<string, LeavingMark>
  /** Greatest revision accepted per data centre; kept apart from `held` to check that lists never go back. */
  readonly greatestRevisions: Map<string, number>
  /** One copy of each service and data centre name; parsed lists carry a copy per entry. */
  readonly names: Map<string, string>
}

export function createMembershipDb (settings: MembershipSettings): MembershipDb {
  return { settings, held: new Map(), marks: new Map(), greatestRevisions: new Map(), names: new Map() }
}

export function clearMembershipDb (db: MembershipDb): void {
  for (const map of [db.held, db.marks, db.greatestRevisions, db.names]) map.clear()
}

/**
 * Puts a list in the place of the one held for its data centre.
 *
 * @example
 * holdList(db, { dataCentre: 'tartu', revision: 3, entries: [] }, 0)
 */
export function holdList (db: MembershipDb, list: VmList, nowMs: Millis): void {
  const entries = list.entries.map(entry => shareNames(db, entry))
  const byVmId = new Map<string, VmEntry>()
  const byService = new Map<string, VmEntry[]>()
  for (const entry of entries) {
    if (byVmId.has(entry.vmId)) continue
    byVmId.set(entry.vmId, entry)
    const same = byService.get(entry.serviceName)
    if (same === undefined) byService.set(entry.serviceName, [entry])
    else same.push(entry)
  }
  db.held.set(list.dataCentre, { list: { ...list, entries }, byVmId, byService, confirmedAtMs: nowMs })
  const greatest = db.greatestRevisions.get(list.dataCentre) ?? -Infinity
  db.greatestRevisions.set(list.dataCentre, Math.max(greatest, list.revision))
}

/** The entry of a VM in whichever list shows it; the data centres are few, the VMs many. */
export function findEntry (db: MembershipDb, vmId: string): VmEntry | undefined {
  for (const held of db.held.values()) {
    const entry = held.byVmId.get(vmId)
    if (entry !== undefined) return entry
  }
  return undefined
}

export function setMark (db: MembershipDb, vmId: string, mark: LeavingMark): void {
  db.marks.set(vmId, mark)
}

function shareNames (db: MembershipDb, entry: VmEntry): VmEntry {
  const { vmId, callAddress, controlAddress, state } = entry
  const serviceName = shareName(db, entry.serviceName)
  return { vmId, serviceName, dataCentre: shareName(db, entry.dataCentre), callAddress, controlAddress, state }
}

function shareName (db: MembershipDb, name: string): string {
  const known = db.names.get(name)
  if (known !== undefined) return known
  db.names.set(name, name)
  return name
}
