import type { Millis } from '../../clock/clock.js'
import type { Evidence, MembershipSettings, VmEntry, VmList } from './membershipTypes.js'

/** The newest list of one data centre, with indexes of its entries by VM and by service. */
export interface AcceptedList {
  readonly list: VmList
  readonly byVmId: ReadonlyMap<string, VmEntry>
  readonly byService: ReadonlyMap<string, readonly VmEntry[]>
  /** When the list was last known to be the newest published one. */
  confirmedAtMs: Millis
}

/** The latest report, from a peer or a connection, that a VM is leaving. */
export interface LeavingMark {
  readonly evidence: Evidence
  readonly atMs: Millis
}

/** State of the membership module: one list per data centre and the leaving marks. */
export interface MembershipDb {
  readonly settings: MembershipSettings
  readonly acceptedLists: Map<string, AcceptedList>
  readonly marks: Map<string, LeavingMark>
  /** Greatest revision accepted per data centre; kept apart from `acceptedLists` to check that it never decreases. */
  readonly greatestRevisions: Map<string, number>
  /** Interned service and data centre names; a parsed list has a copy of them in each entry. */
  readonly internedNames: Map<string, string>
}

export function createMembershipDb (settings: MembershipSettings): MembershipDb {
  return {
    settings, acceptedLists: new Map(), marks: new Map(), greatestRevisions: new Map(), internedNames: new Map()
  }
}

export function clearMembershipDb (db: MembershipDb): void {
  for (const map of [db.acceptedLists, db.marks, db.greatestRevisions, db.internedNames]) map.clear()
}

/**
 * Stores a list in place of the previous one of its data centre. The indexes
 * contain the first of several entries with the same VM id.
 *
 * @example
 * storeList(db, { dataCentre: 'tartu', revision: 3, entries: [] }, 0)
 */
export function storeList (db: MembershipDb, list: VmList, nowMs: Millis): void {
  const entries = list.entries.map(entry => internNames(db, entry))
  const byVmId = new Map<string, VmEntry>()
  const byService = new Map<string, VmEntry[]>()
  for (const entry of entries) {
    if (byVmId.has(entry.vmId)) continue
    byVmId.set(entry.vmId, entry)
    const serviceEntries = byService.get(entry.serviceName)
    if (serviceEntries === undefined) byService.set(entry.serviceName, [entry])
    else serviceEntries.push(entry)
  }
  db.acceptedLists.set(list.dataCentre, { list: { ...list, entries }, byVmId, byService, confirmedAtMs: nowMs })
  const greatestRevision = db.greatestRevisions.get(list.dataCentre) ?? -Infinity
  db.greatestRevisions.set(list.dataCentre, Math.max(greatestRevision, list.revision))
}

/** Finds the entry of a VM by trying the index of each data centre in turn; there are only a few. */
export function findEntry (db: MembershipDb, vmId: string): VmEntry | undefined {
  for (const accepted of db.acceptedLists.values()) {
    const entry = accepted.byVmId.get(vmId)
    if (entry !== undefined) return entry
  }
  return undefined
}

export function setMark (db: MembershipDb, vmId: string, mark: LeavingMark): void {
  db.marks.set(vmId, mark)
}

function internNames (db: MembershipDb, entry: VmEntry): VmEntry {
  const { vmId, callAddress, controlAddress, state } = entry
  const serviceName = internName(db, entry.serviceName)
  return { vmId, serviceName, dataCentre: internName(db, entry.dataCentre), callAddress, controlAddress, state }
}

function internName (db: MembershipDb, name: string): string {
  const interned = db.internedNames.get(name)
  if (interned !== undefined) return interned
  db.internedNames.set(name, name)
  return name
}
