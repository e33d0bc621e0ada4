import type { Either } from 'purify-ts'
import type { Millis } from '../../clock/clock.js'
import { hash32 } from '../hash.js'
import { KEYS_MAX_COUNT, storeHeldValue, recordSeenRevision, type DocumentsDb, type HeldValue } from './documentsDb.js'
import { isConflict, isNewer, isNewerThanHeld } from './documentsDetector.js'
import {
  DOCUMENT_KEY_PREFIX, parseCatalogue, parseServiceDocument, parseVmList, VM_LIST_KEY_PREFIX
} from './documentsParse.js'
import type {
  Catalogue, DocumentFault, DocumentInForce, OfferResult, ValueSummary, PublishedValue, RejectedEdit, ServiceDocument
} from './documentsTypes.js'

const KEY_PATTERN = /^(?:catalogue|(?:documents|vms)\/[a-z0-9][a-z0-9._-]{0,62})$/

function recordRejection (db: DocumentsDb, value: PublishedValue, faults: DocumentFault[]): OfferResult {
  const known = db.rejectedEdits.get(value.key)
  if (known === undefined || value.revision >= known.revision) {
    db.rejectedEdits.set(value.key, { key: value.key, revision: value.revision, faults })
  }
  return { kind: 'rejected', faults }
}

function summaryOf (value: PublishedValue, version: number): ValueSummary {
  return { key: value.key, version, revision: value.revision, hash: hash32(value.text) }
}

/** Result for an offered value that is not newer than the held one; null when it is newer. Records conflicts. */
function resultUnlessNewer (db: DocumentsDb, held: HeldValue, offered: ValueSummary): OfferResult | null {
  if (isConflict(offered, held.summary)) db.conflictingKeys.add(offered.key)
  if (isNewer(offered, held.summary)) return null
  if (offered.version === held.summary.version && offered.revision === held.summary.revision) return { kind: 'known' }
  return { kind: 'older', inForceVersion: held.summary.version, offeredVersion: offered.version }
}

function putInForce (db: DocumentsDb, held: HeldValue): void {
  const { key } = held.value
  const before = db.heldValues.get(key)
  if (before !== undefined && before.summary.version !== held.summary.version) db.conflictingKeys.delete(key)
  storeHeldValue(db, held)
  const edit = db.rejectedEdits.get(key)
  if (edit !== undefined && !isNewerThanHeld(edit, held.value.revision)) db.rejectedEdits.delete(key)
}

function offerDocument (
  db: DocumentsDb, value: PublishedValue, document: ServiceDocument, nowMs: Millis
): OfferResult {
  const summary = summaryOf(value, document.version)
  const held = db.heldValues.get(value.key)
  const notNewer = held === undefined ? null : resultUnlessNewer(db, held, summary)
  if (notNewer !== null) return notNewer
  const inForce: DocumentInForce = {
    document, revision: value.revision, sinceMs: nowMs, text: value.text, hash: summary.hash
  }
  putInForce(db, { value, summary, inForce })
  return { kind: 'accepted', inForce, conflict: db.conflictingKeys.has(value.key) }
}

function refusalReasonOf (db: DocumentsDb, value: PublishedValue): string | null {
  if (!KEY_PATTERN.test(value.key)) return 'unknown key; allowed is catalogue, documents/<service>, vms/<data centre>'
  if (!Number.isSafeInteger(value.revision) || value.revision < 0) return 'the revision is not a whole number'
  const isKnown = db.heldValues.has(value.key) || db.rejectedEdits.has(value.key)
  return !isKnown && db.heldValues.size + db.rejectedEdits.size >= KEYS_MAX_COUNT ? `more than ${KEYS_MAX_COUNT} keys` : null
}

/** Validates and stores a value from the platform or a peer; see `DocumentsModule`. */
export function offerValue (db: DocumentsDb, value: PublishedValue, nowMs: Millis): OfferResult {
  const refusal = refusalReasonOf(db, value)
  if (refusal !== null) return { kind: 'rejected', faults: [{ path: '(key)', line: null, reason: refusal }] }
  const held = db.heldValues.get(value.key)
  if (held?.value.revision === value.revision && held.value.text === value.text) return { kind: 'known' }
  recordSeenRevision(db, value.key, value.revision)
  if (value.key.startsWith(DOCUMENT_KEY_PREFIX)) {
    return parseServiceDocument(value).caseOf({
      Left: faults => recordRejection(db, value, faults),
      Right: document => offerDocument(db, value, document, nowMs)
    })
  }
  const notNewer = held === undefined ? null : resultUnlessNewer(db, held, summaryOf(value, 0))
  if (notNewer !== null) return notNewer
  const checked: Either<DocumentFault[], Catalogue | null> = value.key.startsWith(VM_LIST_KEY_PREFIX)
    ? parseVmList(value).map(() => null)
    : parseCatalogue(value)
  return checked.caseOf({
    Left: faults => recordRejection(db, value, faults),
    Right: catalogue => {
      if (catalogue !== null) db.catalogue = catalogue
      putInForce(db, { value, summary: summaryOf(value, 0), inForce: null })
      return { kind: 'stored', value }
    }
  })
}

/** Rejected edits that are newer than the value in force. */
export function pendingRejections (db: DocumentsDb): RejectedEdit[] {
  return [...db.rejectedEdits.values()]
    .filter(edit => isNewerThanHeld(edit, db.heldValues.get(edit.key)?.value.revision ?? -1))
}

/** Summaries of values that are newer at a peer. An edit that this node has rejected is not pulled again. */
export function newerSummaries (db: DocumentsDb, summaries: readonly ValueSummary[]): ValueSummary[] {
  return summaries.filter(summary => {
    if (!KEY_PATTERN.test(summary.key) || db.rejectedEdits.get(summary.key)?.revision === summary.revision) return false
    const held = db.heldValues.get(summary.key)
    return held === undefined || isNewer(summary, held.summary)
  })
}
