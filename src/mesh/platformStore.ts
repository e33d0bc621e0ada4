import type { Either } from 'purify-ts'
import type { Millis } from '../clock/clock.js'
import type { Configuration } from '../core/configuration/configurationTypes.js'
import type { ListedChange, ListedServer } from '../core/discovery/discoveryTypes.js'

/** Why a read of the platform's store brought nothing. */
export enum StoreFailureKind {
  /** No answer, or one that says that nothing was done. */
  Unavailable = 'unavailable',
  /** The store turns this VM away for now. */
  TurnedAway = 'turned_away',
  /** The changes asked for are no longer kept; the whole has to be read. */
  HistoryGone = 'history_gone',
  /** The answer is not what the store's interface describes. */
  Malformed = 'malformed'
}

export interface StoreFailure {
  readonly kind: StoreFailureKind
  readonly detail: string
}

/** A value that lies in the store and is refused, with the reason. */
export interface RefusedValue {
  readonly key: string
  /** Server whose entry it is, or empty. */
  readonly serverId: string
  readonly revision: number
  readonly reason: string
}

/** Everything published, as of one revision. */
export interface PublishedState {
  readonly revision: number
  readonly servers: readonly ListedServer[]
  readonly configuration: Configuration | null
  /** The configuration as it lies in the store, to be handed to other nodes. */
  readonly configurationText: string
  readonly refused: readonly RefusedValue[]
}

/** What changed since a revision. */
export interface PublishedChanges {
  readonly afterRevision: number
  readonly revision: number
  readonly changes: readonly ListedChange[]
  readonly configuration: Configuration | null
  readonly configurationText: string
  readonly refused: readonly RefusedValue[]
}

/** The platform's store, which can only be read. */
export interface PlatformStore {
  readAll (timeoutMs: Millis): Promise<Either<StoreFailure, PublishedState>>
  /** Changes after a revision; waits up to `waitMs` for the first one. */
  readChanges (
    afterRevision: number, waitMs: Millis, timeoutMs: Millis
  ): Promise<Either<StoreFailure, PublishedChanges>>
  /** Reads a configuration that another node handed over. */
  decodeConfiguration (text: string): Either<string, Configuration>
}
