import type { Millis } from '../../clock/clock.js'

/** State of a backend server as listed: a draining one gets no new requests. */
export enum ServerState {
  Ready = 'ready',
  Draining = 'draining'
}

/** A backend server as it describes itself in its entry in the platform's store. */
export interface ListedServer {
  readonly serverId: string
  readonly serviceName: string
  readonly dataCentre: string
  readonly softwareVersion: string
  readonly slotsCount: number
  readonly ip: string
  readonly port: number
  readonly state: ServerState
  /** How much longer it will run slower than usual after its start, as of its last heartbeat. */
  readonly warmingMs: Millis
  /** Unix time of its start, which distinguishes incarnations with the same id; 0 if unknown. */
  readonly startedAtWallMs: Millis
  /** Counts what the server has reported since its start; orders the entries of one incarnation. */
  readonly sequence: number
  /** Revision of the platform's store at which the entry was last written. */
  readonly revision: number
}

/** Identity of one start of a backend server. */
export type Incarnation = Pick<ListedServer, 'serverId' | 'startedAtWallMs'>

/** A change of one entry in the platform's store. */
export type ListedChange =
  | { readonly kind: 'written', readonly server: ListedServer }
  | { readonly kind: 'removed', readonly serverId: string, readonly revision: number }

/** Where a copy of the list is from. */
export enum ListSource {
  Store = 'store',
  Peer = 'peer'
}

/** A full copy of the server list at one revision of the store. */
export interface ListSnapshot {
  /** Counts how often the store has come back from a copy of its data. Revisions are comparable within an era only. */
  readonly era: number
  readonly revision: number
  readonly servers: readonly ListedServer[]
}

/** A change of an entry that is more than a heartbeat. */
export type ListEvent =
  | { readonly kind: 'joined', readonly server: ListedServer }
  | { readonly kind: 'draining', readonly server: ListedServer }
  | { readonly kind: 'replaced', readonly server: ListedServer }
  | { readonly kind: 'left', readonly server: ListedServer, readonly revision: number }
  /** An entry of an unknown service. It does not affect routing, but a later configuration may name the service. */
  | { readonly kind: 'unknown_written', readonly server: ListedServer }
  | { readonly kind: 'unknown_removed', readonly server: ListedServer, readonly revision: number }
