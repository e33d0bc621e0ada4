import type { Either } from 'purify-ts'
import type { Millis } from '../../clock/clock.js'
import { hash32 } from '../hash.js'
import { KEYS_MAX_COUNT, setHeld, setSeen, type DocumentsDb, type HeldValue } from './documentsDb.js'
import { isConflict, isNewer, isPendingRejection } from './documentsDetector.js'
import {
  DOCUMENT_KEY_PREFIX, parseCatalogue, parseServiceDocument, parseVmList, VM_LIST_KEY_PREFIX
} from './documentsParse.js'
import type {
  Catalogue, DocumentFault, DocumentInForce, OfferResult, PublishedMark, PublishedValue, RejectedEdit, ServiceDocument
} from './documentsTypes.js'

const KEY_PATTERN = /^(?:catalogue|(?:documents|vms)\/[a-z0-9][a-z0-9._-]{0,62})$/

function reject (db: DocumentsDb, value: PublishedValue, faults: DocumentFault[]): OfferResult {
  const known = db.rejected.get(value.key)
  if (known === undefined || value.revision >= known.revision) {
    db.rejected.set(value.key, { key: value.key, revision: value.revision, faults })
  }
  return { kind: 'rejected', faults }
}

function markOf (value: PublishedValue, version: number): PublishedMark {
  return { key: value.key, version, revision: value.revision, hash: hash32(value.text) }
}

/** Result for a value that is not newer than the one held, or null for a newer one. */
function notNewer (db: DocumentsDb, held: HeldValue, offered: PublishedMark): OfferResult | null {
  if (isConflict(offered, held.mark)) db.conflicts.add(offered.key)
  if (isNewer(offered, held.mark)) return null
  if (offered.version === held.mark.version && offered.revision === held.mark.revision) return { kind: 'known' }
  return { kind: 'older', inForceVersion: held.mark.version, offeredVersion: offered.version }
}

function settle (db: DocumentsDb, held: HeldValue): void {
  const { key } = held.value
  const before = db.held.get(key)
  if (before !== undefined && before.mark.version !== held.mark.version) db.conflicts.delete(key)
  setHeld(db, held)
  const edit = db.rejected.get(key)
  if (edit !== undefined && !isPendingRejection(edit, held.value.revision)) db.rejected.delete(key)
}

function offerDocument (
  db: DocumentsDb, value: PublishedValue, document: ServiceDocument, nowMs: Millis
): OfferResult {
  const mark = markOf(value, document.version)
  const held = db.held.get(value.key)
  const refusal = held === undefined ? null : notNewer(db, held, mark)
  if (refusal !== null) return refusal
  const inForce: DocumentInForce = {
    document, revision: value.revision, sinceMs: nowMs, text: value.text, hash: mark.hash
  }
  settle(db, { value, mark, inForce })
  return { kind: 'accepted', inForce, conflict: db.conflicts.has(value.key) }
}

function isUnacceptable (db: DocumentsDb, value: PublishedValue): string | null {
  if (!KEY_PATTERN.test(value.key)) return 'unknown key; allowed is catalogue, documents/<service>, vms/<data centre>'
  if (!Number.isSafeInteger(value.revision) || value.revision < 0) return 'the revision is not a whole number'
  const isKnown = db.held.has(value.key) || db.rejected.has(value.key)
  return !isKnown && db.held.size + db.rejected.size >= KEYS_MAX_COUNT ? `more than ${KEYS_MAX_COUNT} keys` : null
}

/** Takes a value from the platform or a peer; see `DocumentsModule.offer`. */
export function offer (db: DocumentsDb, value: PublishedValue, nowMs: Millis): OfferResult {
  const refusal = isUnacceptable(db, value)
  if (refusal !== null) return { kind: 'rejected', faults: [{ path: '(key)', line: null, reason: refusal }] }
  const held = db.held.get(value.key)
  if (held?.value.revision === value.revision && held.value.text === value.text) return { kind: 'known' }
  setSeen(db, value.key, value.revision)
  if (value.key.startsWith(DOCUMENT_KEY_PREFIX)) {
    return parseServiceDocument(value).caseOf({
      Left: faults => reject(db, value, faults),
      Right: document => offerDocument(db, value, document, nowMs)
    })
  }
  const older = held === undefined ? null : notNewer(db, held, markOf(value, 0))
  if (older !== null) return older
  const checked: Either<DocumentFault[], Catalogue | null> = value.key.startsWith(VM_LIST_KEY_PREFIX)
    ? parseVmList(value).map(() => null)
    : parseCatalogue(value)
  return checked.caseOf({
    Left: faults => reject(db, value, faults),
    Right: catalogue => {
      if (catalogue !== null) db.catalogue = catalogue
      settle(db, { value, mark: markOf(value, 0), inForce: null })
      return { kind: 'stored', value }
    }
  })
}

/** Rejected edits that came after what is in force. */
export function rejected (db: DocumentsDb): RejectedEdit[] {
  return [...db.rejected.values()]
    .filter(edit => isPendingRejection(edit, db.held.get(edit.key)?.value.revision ?? -1))
}

/** Marks that a peer holds and this node lacks. An edit that this node has rejected is not pulled again. */
export function missing (db: DocumentsDb, marks: readonly PublishedMark[]): PublishedMark[] {
  return marks.filter(mark => {
    if (!KEY_PATTERN.test(mark.key) || db.rejected.get(mark.key)?.revision === mark.revision) return false
    const held = db.held.get(mark.key)
    return held === undefined || isNewer(mark, held.mark)
  })
}
