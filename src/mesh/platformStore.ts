import type { Either } from 'purify-ts'
import type { Millis } from '../clock/clock.js'
import type { Configuration } from '../core/configuration/configurationTypes.js'
import type { ListedChange, ListedServer } from '../core/discovery/discoveryTypes.js'

/** Why a read of the platform's store failed. */
export enum StoreFailureKind {
  /** No answer, or an error status. */
  Unavailable = 'unavailable',
  /** The store rate-limits this VM. */
  RateLimited = 'turned_away',
  /** The store no longer has the requested changes, so everything has to be read again. */
  HistoryGone = 'history_gone',
  /** The answer was too long or broke off, so the same read may fail in the same way again. */
  Incomplete = 'incomplete',
  /** The answer does not conform to the store's interface. */
  Malformed = 'malformed'
}

export interface StoreFailure {
  readonly kind: StoreFailureKind
  readonly detail: string
}

/** A stored value that could not be decoded, with the reason. */
export interface RefusedValue {
  readonly key: string
  /** Id of the server whose entry it is, or empty. */
  readonly serverId: string
  readonly revision: number
  readonly reason: string
}

/** A configuration as read from the store. */
export interface PublishedConfiguration {
  readonly configuration: Configuration
  /** The configuration as stored, to be sent to other nodes. */
  readonly text: string
}

/** All server entries and the configuration as of one revision. */
export interface PublishedState {
  /** Counts how often the store has come back from a copy of its data; 0 if it does not say. */
  readonly era: number
  readonly revision: number
  readonly servers: readonly ListedServer[]
  readonly configuration: Configuration | null
  /** The configuration as stored, to be sent to other nodes. */
  readonly configurationText: string
  readonly refused: readonly RefusedValue[]
}

/** Changes between two revisions of the store. */
export interface PublishedChanges {
  readonly era: number
  readonly afterRevision: number
  readonly revision: number
  readonly changes: readonly ListedChange[]
  readonly configuration: Configuration | null
  readonly configurationText: string
  readonly refused: readonly RefusedValue[]
}

/** Read-only access to the platform's key-value store. */
export interface PlatformStore {
  /**
   * Reads everything. A read that `mayBeStale` is charged much less, but its result may be some seconds old; it is
   * complete as of its revision. `timeoutMs` is the longest time without a part of an answer. If there is much to
   * read, `onConfiguration` is called before the servers have been read, since a configuration has to be in force soon.
   */
  readAll (
    timeoutMs: Millis, mayBeStale: boolean, onConfiguration: (published: PublishedConfiguration) => void
  ): Promise<Either<StoreFailure, PublishedState>>
  /**
   * Reads the changes after a revision; the store waits up to `waitMs` for the first one (long poll). `timeoutMs` is
   * the longest time without a part of the answer.
   */
  readChanges (
    afterRevision: number, waitMs: Millis, timeoutMs: Millis
  ): Promise<Either<StoreFailure, PublishedChanges>>
  /** Decodes a configuration received from another node. */
  decodeConfiguration (text: string): Either<string, Configuration>
}
