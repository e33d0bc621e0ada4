import type { Millis } from '../../clock/clock.js'
import type { CoreModule, Importance } from '../coreTypes.js'

/** One route of a service's document. */
export interface RouteConfig {
  readonly name: string
  readonly method: string
  readonly pathPrefix: string
  readonly importance: Importance
  readonly idempotent: boolean
  readonly deadlineMs: Millis
  readonly callees: readonly string[]
}

/** Call rate and importance that a service grants to one caller. */
export interface CallerPolicy {
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
  readonly routes: readonly RouteConfig[]
  readonly callers: readonly CallerPolicy[]
  readonly defaultCaller: Omit<CallerPolicy, 'name'>
}

/** A published value with the revision that the platform assigned to it. */
export interface PublishedValue {
  readonly key: string
  readonly revision: number
  readonly text: string
}

/** A document that this node applies. */
export interface DocumentInForce {
  readonly document: ServiceDocument
  readonly revision: number
  readonly sinceMs: Millis
  readonly text: string
  readonly hash: number
}

/** A validation error in a document: where it is and what is allowed. */
export interface DocumentFault {
  readonly path: string
  readonly line: number | null
  readonly reason: string
}

/** The published catalogue: all services that have documents, and all data centres. */
export interface Catalogue {
  readonly serviceNames: readonly string[]
  readonly dataCentres: readonly string[]
}

/** What became of a value that was offered to this node. */
export type OfferResult =
  | { readonly kind: 'accepted', readonly inForce: DocumentInForce, readonly conflict: boolean }
  /** A newer VM list or catalogue was stored. */
  | { readonly kind: 'stored', readonly value: PublishedValue }
  /** The node already holds this version and revision. */
  | { readonly kind: 'known' }
  | { readonly kind: 'older', readonly inForceVersion: number, readonly offeredVersion: number }
  | { readonly kind: 'rejected', readonly faults: readonly DocumentFault[] }

/** Version, revision and hash of one published value at a node; peers exchange these to compare what they hold. */
export interface ValueSummary {
  /** `documents/<service>`, `vms/<dataCentre>` or `catalogue`. */
  readonly key: string
  /** The document's own version; 0 for other values. */
  readonly version: number
  readonly revision: number
  readonly hash: number
}

/** Membership as one node sees it, from which it derives which nodes poll the platform for a key. */
export interface ReaderView {
  readonly ownVmId: string
  readonly ownDataCentre: string
  readonly dataCentres: readonly string[]
  /** Nodes of this node's data centre that are considered alive, this node included. */
  readonly liveVmIds: readonly string[]
}

/** A conditional read of the platform that is due. */
export interface PollRequest {
  readonly key: string
  readonly afterRevision: number
}

/** A peer's report that a VM list was the newest published one `ageMs` ago. */
export interface ListConfirmation {
  readonly key: string
  readonly revision: number
  readonly ageMs: Millis
}

/** Gossip messages that nodes exchange about published values. */
export type GossipMessage =
  /** Summaries of the values that the sender holds. */
  | { readonly kind: 'marks', readonly marks: readonly ValueSummary[] }
  /**
   * Digest of all held values. `buckets` has one digest for each bucket of keys
   * and is sent only to a peer whose digest differs.
   */
  | {
    readonly kind: 'digest'
    readonly digest: number
    readonly count: number
    readonly buckets?: readonly number[]
    readonly confirmed?: readonly ListConfirmation[]
  }
  /** Requests the summaries of single keys and of all keys of some buckets. */
  | { readonly kind: 'want', readonly keys: readonly string[], readonly buckets?: readonly number[] }
  /** Tells the other reader candidates of some keys that the sender has just read them from the platform. */
  | { readonly kind: 'read', readonly keys: readonly string[] }

export interface DocumentsSettings {
  /** Rate of reads of the platform that the fleet plans for; the platform itself takes about 2,000 reads/s. */
  readonly platformCallsPerS: number
  readonly minPollMs: Millis
  readonly digestPeriodMs: Millis
  readonly notifyFanoutCount: number
  readonly ownListPollMs: Millis
}

/** A published edit that failed validation. */
export interface RejectedEdit {
  readonly key: string
  readonly revision: number
  readonly faults: readonly DocumentFault[]
}

/** Holds the published values of a node, plans reads of the platform and compares values with peers. */
export interface DocumentsModule<Db> extends CoreModule<Db, DocumentsSettings> {
  /** Validates a value from the platform or a peer and stores it when it is newer than the held one. */
  offerValue (db: Db, value: PublishedValue, nowMs: Millis): OfferResult
  documentOf (db: Db, serviceName: string): DocumentInForce | undefined
  documents (db: Db): readonly DocumentInForce[]
  /** Newest valid value of a key, as it is served to peers. */
  valueOf (db: Db, key: string): PublishedValue | undefined
  summaries (db: Db): ValueSummary[]
  digest (db: Db): number
  /** Digest of each bucket of keys, so that peers exchange only the summaries of buckets that differ. */
  bucketDigests (db: Db): readonly number[]
  summariesOfKeys (db: Db, keys: readonly string[]): ValueSummary[]
  summariesOfBuckets (db: Db, buckets: readonly number[]): ValueSummary[]
  /** Keys of documents whose current version was published with different texts. */
  conflictingKeys (db: Db): string[]
  catalogue (db: Db): Catalogue | undefined
  /** Rejected edits that are newer than the value in force, for operators. */
  pendingRejections (db: Db): RejectedEdit[]
  /** Conditional reads that this node should send now. */
  duePolls (db: Db, view: ReaderView, nowMs: Millis): PollRequest[]
  /** Records whether the platform answered a read; an answer without a newer value counts as one, too. */
  recordPollResult (db: Db, key: string, answered: boolean, nowMs: Millis): void
  /** The other reader candidates of a key, to be notified of a successful read so that they do not take over. */
  otherReadersOf (db: Db, key: string): readonly string[]
  /** Records that another node of the data centre has read a key. */
  recordReadByPeer (db: Db, key: string, nowMs: Millis): void
  /** Held VM lists that were the newest published ones within `maxAgeMs`, by this node's reads or a peer's report. */
  confirmations (db: Db, maxAgeMs: Millis, nowMs: Millis): ListConfirmation[]
  /** Applies a peer's report; true when it confirms the held list at a later time than was known. */
  recordConfirmation (db: Db, confirmation: ListConfirmation, nowMs: Millis): boolean
  /** Summaries of values that are newer at a peer and should be pulled from it. */
  newerSummaries (db: Db, summaries: readonly ValueSummary[]): ValueSummary[]
  /** Route of a request, or undefined. The longest matching prefix wins. */
  matchRoute (document: ServiceDocument, method: string, path: string): RouteConfig | undefined
  /** Rate and importance granted to a caller; callers that the document does not list share `default_caller`. */
  callerPolicyOf (document: ServiceDocument, callerName: string): CallerPolicy
}
