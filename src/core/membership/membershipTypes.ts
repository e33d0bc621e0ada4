import type { Millis } from '../../clock/clock.js'
import type { CoreModule } from '../coreTypes.js'

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

/** Where the latest word about a VM came from. */
export enum Evidence {
  List = 'list',
  Peer = 'peer',
  Connection = 'connection'
}

export interface MembershipSettings {
  /** How long a drain or failure mark of a peer outlives the last word about it. */
  readonly markTtlMs: Millis
  /** How long a list counts as confirmed after the last word about it. */
  readonly confirmedForMs: Millis
}

/** Reading of one VM for operators. */
export interface VmReading extends VmEntry {
  readonly effectiveState: VmState
  readonly evidence: Evidence
}

/** VM lists merged with what peers and connections show. */
export interface MembershipModule<Db> extends CoreModule<Db, MembershipSettings> {
  /** Takes a published list; true when it is newer than the one held. Revisions never go back. */
  offerList (db: Db, list: VmList, nowMs: Millis): boolean
  /** Notes that the list held is still the newest published one. */
  confirmList (db: Db, dataCentre: string, revision: number, nowMs: Millis): void
  isConfirmed (db: Db, dataCentre: string, nowMs: Millis): boolean
  listOf (db: Db, dataCentre: string): VmList | undefined
  lists (db: Db): readonly VmList[]
  /** Marks a VM as leaving on the word of the VM itself or of a connection to it. */
  markLeaving (db: Db, vmId: string, evidence: Evidence, nowMs: Millis): void
  /** Withdraws a mark, for example when a backend server is ready again. */
  clearMark (db: Db, vmId: string, nowMs: Millis): void
  isLeaving (db: Db, vmId: string, nowMs: Millis): boolean
  /** The same for an entry at hand, without looking for it in the lists. */
  isEntryLeaving (db: Db, entry: VmEntry, nowMs: Millis): boolean
  /** Entries of a service that may get new work. */
  liveEntries (db: Db, serviceName: string, nowMs: Millis): VmEntry[]
  /** Entries of a data centre, leaving ones included. */
  entriesOf (db: Db, dataCentre: string): readonly VmEntry[]
  entryOf (db: Db, vmId: string): VmEntry | undefined
  readings (db: Db, nowMs: Millis): VmReading[]
}
