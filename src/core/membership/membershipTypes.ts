import type { Millis } from '../../clock/clock.js'
import type { CoreModule } from '../coreTypes.js'

/** State of a VM in a published list: only live VMs get new calls. */
export enum VmState {
  Live = 'live',
  Leaving = 'leaving'
}

/** One entry of a published VM list. */
export interface VmEntry {
  readonly vmId: string
  readonly serviceName: string
  readonly dataCentre: string
  /** `ip:port` of the node's call port (TCP). */
  readonly callAddress: string
  /** `ip:port` of the node's control port (UDP). */
  readonly controlAddress: string
  readonly state: VmState
}

/** The published VM list of one data centre. */
export interface VmList {
  readonly dataCentre: string
  readonly revision: number
  readonly entries: readonly VmEntry[]
}

/** Source of the latest information on a VM's state. */
export enum Evidence {
  List = 'list',
  Peer = 'peer',
  Connection = 'connection'
}

export interface MembershipSettings {
  /** How long a leaving mark holds unless it is renewed. */
  readonly markTtlMs: Millis
  /** How long a list counts as confirmed after it was last known to be the newest one. */
  readonly confirmationTtlMs: Millis
}

/** Status of one VM, shown to operators. */
export interface VmReading extends VmEntry {
  readonly effectiveState: VmState
  readonly evidence: Evidence
}

/** Combines the published VM lists with reports from peers and connections that a VM is leaving. */
export interface MembershipModule<Db> extends CoreModule<Db, MembershipSettings> {
  /** Accepts a published list if it is newer than the current one of its data centre; true if accepted. */
  acceptListIfNewer (db: Db, list: VmList, nowMs: Millis): boolean
  /** Records that the accepted list, if it has this revision, is still the newest published one. */
  confirmList (db: Db, dataCentre: string, revision: number, nowMs: Millis): void
  /** Whether the list of a data centre was confirmed recently. */
  isConfirmed (db: Db, dataCentre: string, nowMs: Millis): boolean
  listOf (db: Db, dataCentre: string): VmList | undefined
  lists (db: Db): readonly VmList[]
  /** Marks a VM as leaving, as reported by the VM itself or by a connection to it. */
  markLeaving (db: Db, vmId: string, evidence: Evidence, nowMs: Millis): void
  /** Removes a mark, for example when a backend server is ready again. */
  clearMark (db: Db, vmId: string, nowMs: Millis): void
  /** Whether a VM is leaving, by its list entry or by a mark, and may get no new calls. */
  isLeaving (db: Db, vmId: string, nowMs: Millis): boolean
  /** Like `isLeaving`, but for an entry that the caller already has. */
  isEntryLeaving (db: Db, entry: VmEntry, nowMs: Millis): boolean
  /** Entries of a service that may get new calls. */
  liveEntries (db: Db, serviceName: string, nowMs: Millis): VmEntry[]
  /** Entries of a data centre, including VMs that are leaving. */
  entriesOf (db: Db, dataCentre: string): readonly VmEntry[]
  entryOf (db: Db, vmId: string): VmEntry | undefined
  vmReadings (db: Db, nowMs: Millis): VmReading[]
}
