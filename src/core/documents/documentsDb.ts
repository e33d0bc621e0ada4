import type { Millis } from '../../clock/clock.js'
import { hash32 } from '../hash.js'
import type {
  Catalogue, DocumentInForce, DocumentsSettings, ValueSummary, PublishedValue, ReaderView, RejectedEdit
} from './documentsTypes.js'

/** Buckets of keys. With 431 keys, the summaries of one bucket fit into one datagram. */
export const BUCKETS_COUNT = 32

/** Bounds what faulty peers can make a node store; 400 services and 31 data centres need far fewer keys. */
export const KEYS_MAX_COUNT = 2_000

/** The newest valid value of a key, with its summary and, for a service, the parsed document. */
export interface HeldValue {
  readonly value: PublishedValue
  readonly summary: ValueSummary
  readonly inForce: DocumentInForce | null
}

/** When and as which reader candidate this node polls one key. */
export interface PollPlan {
  readonly key: string
  readonly rank: number
  readonly otherReaderIds: readonly string[]
  /** Time between two reads, as of the last call of `duePolls`. */
  periodMs: Millis
  /** Earliest time of the next read; null until `duePolls` first evaluates the plan. */
  nextReadAtMs: Millis | null
  /** When the read that is still unanswered was sent; null without one. */
  pendingSinceMs: Millis | null
  /** When another candidate last reported a read of the key, or when the plan was created. */
  otherReadAtMs: Millis
  failuresCount: number
}

export interface DocumentsDb {
  readonly settings: DocumentsSettings
  readonly heldValues: Map<string, HeldValue>
  /** Documents in force by service name, for the lookup of each call. */
  readonly documents: Map<string, DocumentInForce>
  readonly rejectedEdits: Map<string, RejectedEdit>
  readonly conflictingKeys: Set<string>
  /** Greatest revision seen of each key, including values that were rejected. */
  readonly seenRevisions: Map<string, number>
  /** When each VM list was last known to be the newest published one. */
  readonly confirmedAtMs: Map<string, Millis>
  readonly plans: Map<string, PollPlan>
  catalogue: Catalogue | undefined
  /** View from which the plans were derived. */
  plannedView: ReaderView | null
  plannedCatalogue: Catalogue | undefined
  plannedWithOwnList: boolean
  plannedKeys: readonly string[]
  planCursor: number
  /** Keys whose plan has not been updated to the current view yet. */
  keysToPlanCount: number
  bucketDigests: number[]
  digest: number
}

/** Creates the module's empty state. */
export function createDb (settings: DocumentsSettings): DocumentsDb {
  return {
    settings,
    heldValues: new Map(),
    documents: new Map(),
    rejectedEdits: new Map(),
    conflictingKeys: new Set(),
    seenRevisions: new Map(),
    confirmedAtMs: new Map(),
    plans: new Map(),
    catalogue: undefined,
    plannedView: null,
    plannedCatalogue: undefined,
    plannedWithOwnList: false,
    plannedKeys: [],
    planCursor: 0,
    keysToPlanCount: 0,
    bucketDigests: new Array<number>(BUCKETS_COUNT).fill(0),
    digest: 0
  }
}

/** Resets the state. */
export function clear (db: DocumentsDb): void {
  const maps = [
    db.heldValues, db.documents, db.rejectedEdits, db.conflictingKeys, db.seenRevisions, db.confirmedAtMs, db.plans
  ]
  for (const map of maps) map.clear()
  db.catalogue = undefined
  db.plannedView = null
  db.plannedCatalogue = undefined
  db.plannedKeys = []
  db.keysToPlanCount = 0
  db.bucketDigests.fill(0)
  db.digest = 0
}

/** Index of the bucket that a key belongs to. */
export function bucketOf (key: string): number {
  return hash32(key) % BUCKETS_COUNT
}

/** Digest of one summary; the digest of a set of summaries is the XOR of their digests. */
export function summaryDigest (summary: ValueSummary): number {
  return hash32(`${summary.key}|${summary.version}|${summary.revision}|${summary.hash}`)
}

function toggleDigest (db: DocumentsDb, summary: ValueSummary): void {
  const digest = summaryDigest(summary)
  const bucket = bucketOf(summary.key)
  db.bucketDigests[bucket] = ((db.bucketDigests[bucket] ?? 0) ^ digest) >>> 0
  db.digest = (db.digest ^ digest) >>> 0
}

/** Stores a value as the newest of its key and updates the digests. */
export function storeHeldValue (db: DocumentsDb, held: HeldValue): void {
  const before = db.heldValues.get(held.value.key)
  if (before !== undefined) toggleDigest(db, before.summary)
  toggleDigest(db, held.summary)
  db.heldValues.set(held.value.key, held)
  if (held.inForce !== null) db.documents.set(held.inForce.document.serviceName, held.inForce)
}

/** Raises the greatest seen revision of a key. */
export function recordSeenRevision (db: DocumentsDb, key: string, revision: number): void {
  if (revision > (db.seenRevisions.get(key) ?? -1)) db.seenRevisions.set(key, revision)
}
