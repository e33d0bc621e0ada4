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

export type OfferResult =
  | { readonly kind: 'accepted', readonly inForce: DocumentInForce, readonly conflict: boolean }
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

/** What to send to peers. */
export type SpreadMessage =
  | { readonly kind: 'marks', readonly marks: readonly PublishedMark[] }
  | { readonly kind: 'digest', readonly digest: number, readonly count: number }
  | { readonly kind: 'want', readonly keys: readonly string[] }

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
  /** Takes a value from the platform or a peer. Only `documents/…` values are checked against the schema here. */
  offer (db: Db, value: PublishedValue, nowMs: Millis): OfferResult
  documentOf (db: Db, serviceName: string): DocumentInForce | undefined
  documents (db: Db): readonly DocumentInForce[]
  /** The newest text held for a key, to be handed to a peer that asks. */
  valueOf (db: Db, key: string): PublishedValue | undefined
  marks (db: Db): PublishedMark[]
  digest (db: Db): number
  /** Rejected edits that are newer than what is in force, for operators. */
  rejected (db: Db): RejectedEdit[]
  /** Conditional reads that this node should send now. */
  duePolls (db: Db, view: ReaderView, nowMs: Millis): PollRequest[]
  /** Notes that the platform answered, with or without news, or failed. */
  pollAnswered (db: Db, key: string, answered: boolean, nowMs: Millis): void
  /** Marks that a peer holds and this node lacks, so that they are pulled. */
  missing (db: Db, marks: readonly PublishedMark[]): PublishedMark[]
  /** Route of a request, or undefined. The longest matching prefix wins. */
  matchRoute (document: ServiceDocument, method: string, path: string): RouteTerms | undefined
  termsOf (document: ServiceDocument, callerName: string): CallerTerms
}
