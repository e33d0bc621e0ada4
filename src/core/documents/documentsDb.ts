import type { Millis } from '../../clock/clock.js'
import { hash32 } from '../hash.js'
import type {
  Catalogue, DocumentInForce, DocumentsSettings, PublishedMark, PublishedValue, ReaderView, RejectedEdit
} from './documentsTypes.js'

/** Buckets of keys. At 431 keys one bucket's marks fit into one datagram. */
export const BUCKETS_COUNT = 32

/** More keys than 400 services and 31 data centres need; bounds what wrong peers can make a node hold. */
export const KEYS_MAX_COUNT = 2_000

/** A published value that is in force, with its mark. */
export interface HeldValue {
  readonly value: PublishedValue
  readonly mark: PublishedMark
  readonly inForce: DocumentInForce | null
}

/** Poll plan of one key at this node. */
export interface PollPlan {
  readonly key: string
  readonly rank: number
  readonly watchers: readonly string[]
  /** Time between two reads, when the plan was last looked at. */
  periodMs: Millis
  /** Earliest time of the next read; null until the first look at the plan. */
  nextAtMs: Millis | null
  askedAtMs: Millis | null
  /** When another reader of the key was last heard, or when the plan began. */
  heardAtMs: Millis
  failuresCount: number
}

export interface DocumentsDb {
  readonly settings: DocumentsSettings
  readonly held: Map<string, HeldValue>
  /** Documents in force by service name, for the lookup of each call. */
  readonly documents: Map<string, DocumentInForce>
  readonly rejected: Map<string, RejectedEdit>
  readonly conflicts: Set<string>
  /** Greatest revision seen of each key, also of values that were not put in force. */
  readonly seenRevisions: Map<string, number>
  readonly confirmedAtMs: Map<string, Millis>
  readonly plans: Map<string, PollPlan>
  catalogue: Catalogue | undefined
  /** View and catalogue from which the plans were made. */
  plannedView: ReaderView | null
  plannedCatalogue: Catalogue | undefined
  plannedWithList: boolean
  plannedKeys: readonly string[]
  planCursor: number
  /** Keys whose plan is still that of an earlier view. */
  unplannedCount: number
  buckets: number[]
  digest: number
}

/** Makes the family's empty state. */
export function createDb (settings: DocumentsSettings): DocumentsDb {
  return {
    settings,
    held: new Map(),
    documents: new Map(),
    rejected: new Map(),
    conflicts: new Set(),
    seenRevisions: new Map(),
    confirmedAtMs: new Map(),
    plans: new Map(),
    catalogue: undefined,
    plannedView: null,
    plannedCatalogue: undefined,
    plannedWithList: false,
    plannedKeys: [],
    planCursor: 0,
    unplannedCount: 0,
    buckets: new Array<number>(BUCKETS_COUNT).fill(0),
    digest: 0
  }
}

/** Empties the state. */
export function clear (db: DocumentsDb): void {
  const maps = [db.held, db.documents, db.rejected, db.conflicts, db.seenRevisions, db.confirmedAtMs, db.plans]
  for (const map of maps) map.clear()
  db.catalogue = undefined
  db.plannedView = null
  db.plannedCatalogue = undefined
  db.plannedKeys = []
  db.unplannedCount = 0
  db.buckets.fill(0)
  db.digest = 0
}

/** Bucket of a key. */
export function bucketOf (key: string): number {
  return hash32(key) % BUCKETS_COUNT
}

/** Digest of one mark; the digest of a set of marks is the exclusive or of theirs. */
export function markDigest (mark: PublishedMark): number {
  return hash32(`${mark.key}|${mark.version}|${mark.revision}|${mark.hash}`)
}

function toggleDigest (db: DocumentsDb, mark: PublishedMark): void {
  const digest = markDigest(mark)
  const bucket = bucketOf(mark.key)
  db.buckets[bucket] = ((db.buckets[bucket] ?? 0) ^ digest) >>> 0
  db.digest = (db.digest ^ digest) >>> 0
}

/** Puts a value in force and keeps the digests up to date. */
export function setHeld (db: DocumentsDb, held: HeldValue): void {
  const before = db.held.get(held.value.key)
  if (before !== undefined) toggleDigest(db, before.mark)
  toggleDigest(db, held.mark)
  db.held.set(held.value.key, held)
  if (held.inForce !== null) db.documents.set(held.inForce.document.serviceName, held.inForce)
}

/** Notes that a revision of a key was seen. */
export function setSeen (db: DocumentsDb, key: string, revision: number): void {
  if (revision > (db.seenRevisions.get(key) ?? -1)) db.seenRevisions.set(key, revision)
}
