import type { Millis } from '../../clock/clock.js'

export enum ServerState {
  Ready = 'ready',
  Draining = 'draining'
}

/** A backend server as it describes itself to the platform. */
export interface ListedServer {
  readonly serverId: string
  readonly serviceName: string
  readonly dataCentre: string
  readonly softwareVersion: string
  readonly slotsCount: number
  readonly ip: string
  readonly port: number
  readonly state: ServerState
  /** How much longer it runs slower than usual after its start, as of its last heartbeat. */
  readonly warmingMs: Millis
  /** Unix time of its start, which tells two incarnations with one id apart; 0 when it gives none. */
  readonly startedAtWallMs: Millis
  /** Revision of the platform's store at which the entry changed last. */
  readonly revision: number
}

export type ListedChange =
  | { readonly kind: 'written', readonly server: ListedServer }
  | { readonly kind: 'removed', readonly serverId: string, readonly revision: number }

/** A copy of the list, as nodes hand it to each other. */
export interface ListSnapshot {
  readonly revision: number
  readonly servers: readonly ListedServer[]
}

/** What a change of the list means for routing. */
export type ListEvent =
  | { readonly kind: 'joined', readonly server: ListedServer }
  | { readonly kind: 'draining', readonly server: ListedServer }
  | { readonly kind: 'replaced', readonly server: ListedServer }
  | { readonly kind: 'left', readonly server: ListedServer, readonly revision: number }
