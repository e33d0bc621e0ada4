import type { Millis } from '../../clock/clock.js'
import type { CoreModule, Importance } from '../coreTypes.js'

/** One route of a service. */
export interface RouteTerms {
  readonly name: string
  readonly method: string
  readonly pathPrefix: string
  readonly importance: Importance
  readonly idempotent: boolean
  readonly deadlineMs: Millis
  readonly callees: readonly string[]
}

/** One caller's terms at a service. */
export interface CallerTerms {
  readonly name: string
  readonly promisedCallsPerS: number
  readonly maxImportance: Importance
}

/** A service's document after validation. */
export interface ServiceDocument {
  readonly serviceName: string
  readonly team: string
  readonly version: number
  readonly backendSlotsCount: number
  readonly backendConnectionsCount: number
  /** Calls a second that the service as a whole can take. */
  readonly capacityCallsPerS: number
  readonly dataCentreWeights: Readonly<Record<string, number>>
  readonly retryBudgetCount: number
  readonly resendWindowMs: Millis
  readonly routes: readonly RouteTerms[]
  readonly callers: readonly CallerTerms[]
  readonly defaultCaller: Omit<CallerTerms, 'name'>
}

/** A published value with the platform's revision. */
export interface PublishedValue {
  readonly key: string
  readonly revision: number
  readonly text: string
}

/** A document in force. */
export interface DocumentInForce {
  readonly document: ServiceDocument
  readonly revision: number
  readonly sinceMs: Millis
  readonly text: string
  readonly hash: number
}

/** A fault in a document: where it is and what is allowed. */
export interface DocumentFault {
  readonly path: string
  readonly line: number | null
  readonly reason: string
}

/** The published catalogue. */
export interface Catalogue {
  readonly serviceNames: readonly string[]
  readonly dataCentres: readonly string[]
}

export type OfferResult =
  | { readonly kind: 'accepted', readonly inForce: DocumentInForce, readonly conflict: boolean }
  /** A newer VM list or catalogue. */
  | { readonly kind: 'stored', readonly value: PublishedValue }
  | { readonly kind: 'known' }
  | { readonly kind: 'older', readonly inForceVersion: number, readonly offeredVersion: number }
  | { readonly kind: 'rejected', readonly faults: readonly DocumentFault[] }

/** State of one published value at a node, as exchanged between peers. */
export interface PublishedMark {
  /** `documents/<service>`, `vms/<dataCentre>` or `catalogue`. */
  readonly key: string
  /** The document's own version; 0 for other values. */
  readonly version: number
  readonly revision: number
  readonly hash: number
}

/** Who polls the platform, as one node sees it. */
export interface ReaderView {
  readonly ownVmId: string
  readonly ownDataCentre: string
  readonly dataCentres: readonly string[]
  /** Nodes of the own data centre that are thought alive, this one included. */
  readonly liveVmIds: readonly string[]
}

/** A conditional read of the platform that is due. */
export interface PollRequest {
  readonly key: string
  readonly afterRevision: number
}

/** Word that a VM list was the newest published one some time ago. */
export interface Confirmation {
  readonly key: string
  readonly revision: number
  readonly ageMs: Millis
}

/** What to send to peers. */
export type SpreadMessage =
  | { readonly kind: 'marks', readonly marks: readonly PublishedMark[] }
  /** `buckets` are the digests of each bucket of keys; only sent to a peer whose digest differs. */
  | {
    readonly kind: 'digest'
    readonly digest: number
    readonly count: number
    readonly buckets?: readonly number[]
    readonly confirmed?: readonly Confirmation[]
  }
  /** Asks for the marks of keys and of whole buckets. */
  | { readonly kind: 'want', readonly keys: readonly string[], readonly buckets?: readonly number[] }
  /** A reader of the platform tells the next nodes by rank which keys it has just read. */
  | { readonly kind: 'read', readonly keys: readonly string[] }

export interface DocumentsSettings {
  readonly platformCallsPerS: number
  readonly minPollMs: Millis
  readonly digestPeriodMs: Millis
  readonly notifyFanoutCount: number
  readonly ownListPollMs: Millis
}

/** An edit that was not put in force. */
export interface RejectedEdit {
  readonly key: string
  readonly revision: number
  readonly faults: readonly DocumentFault[]
}

/** Documents in force, the other published values, and their spread. */
export interface DocumentsModule<Db> extends CoreModule<Db, DocumentsSettings> {
  /** Takes a value from the platform or a peer. Each value is checked against the schema of its kind. */
  offer (db: Db, value: PublishedValue, nowMs: Millis): OfferResult
  documentOf (db: Db, serviceName: string): DocumentInForce | undefined
  documents (db: Db): readonly DocumentInForce[]
  /** The newest text held for a key, to be handed to a peer that asks. */
  valueOf (db: Db, key: string): PublishedValue | undefined
  marks (db: Db): PublishedMark[]
  digest (db: Db): number
  /** Digest of each bucket of keys, so that peers exchange only the marks of buckets that differ. */
  bucketDigests (db: Db): readonly number[]
  marksOfKeys (db: Db, keys: readonly string[]): PublishedMark[]
  marksOfBuckets (db: Db, buckets: readonly number[]): PublishedMark[]
  /** Keys whose version in force was published with different texts. */
  conflicts (db: Db): string[]
  catalogue (db: Db): Catalogue | undefined
  /** Rejected edits that are newer than what is in force, for operators. */
  rejected (db: Db): RejectedEdit[]
  /** Conditional reads that this node should send now. */
  duePolls (db: Db, view: ReaderView, nowMs: Millis): PollRequest[]
  /** Notes that the platform answered, with or without news, or failed. */
  pollAnswered (db: Db, key: string, answered: boolean, nowMs: Millis): void
  /** Nodes to tell after a successful read of a key, so that they do not take over. */
  watchersOf (db: Db, key: string): readonly string[]
  /** Notes that another node of the data centre has read a key. */
  readerHeard (db: Db, key: string, nowMs: Millis): void
  /** VM lists held that the platform confirmed within `maxAgeMs`, by this node's reads or a peer's word. */
  confirmations (db: Db, maxAgeMs: Millis, nowMs: Millis): Confirmation[]
  /** Takes a peer's word; true when the list held is confirmed later than was known. */
  noteConfirmed (db: Db, confirmation: Confirmation, nowMs: Millis): boolean
  /** Marks that a peer holds and this node lacks, so that they are pulled. */
  missing (db: Db, marks: readonly PublishedMark[]): PublishedMark[]
  /** Route of a request, or undefined. The longest matching prefix wins. */
  matchRoute (document: ServiceDocument, method: string, path: string): RouteTerms | undefined
  termsOf (document: ServiceDocument, callerName: string): CallerTerms
}
