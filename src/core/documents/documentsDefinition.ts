import type { Violation } from '../coreTypes.js'
import { ModuleId } from '../coreTypes.js'
import { bucketOf, clear, createDb, markDigest, type DocumentsDb } from './documentsDb.js'
import { missing, offer, rejected } from './documentsOffer.js'
import { confirmations, duePolls, noteConfirmed, pollAnswered, readerHeard, watchersOf } from './documentsPolls.js'
import { matchRoute, termsOf } from './documentsRoutes.js'
import type { DocumentsModule } from './documentsTypes.js'

/** Invariants: the digest is that of the values held, and each index shows the document in force. */
function violations (db: DocumentsDb): Violation[] {
  const found: Violation[] = []
  let digest = 0
  for (const [key, held] of db.held) {
    digest = (digest ^ markDigest(held.mark)) >>> 0
    if (held.inForce !== null && db.documents.get(held.inForce.document.serviceName) !== held.inForce) {
      found.push({ property: 'documentsMoveForward', detail: `${key} in force differs from its index` })
    }
    if (held.value.revision > (db.seenRevisions.get(key) ?? -1)) {
      found.push({ property: 'documentsMoveForward', detail: `${key} holds a revision that was never offered` })
    }
  }
  if (digest !== db.digest) found.push({ property: 'documentsMoveForward', detail: 'the digest is out of date' })
  return found
}

/** Documents in force, the other published values, and their spread. */
export const documentsDefinition: DocumentsModule<DocumentsDb> = {
  id: ModuleId.Documents,
  defaults: {
    platformCallsPerS: 1_600,
    minPollMs: 500,
    digestPeriodMs: 1_000,
    notifyFanoutCount: 4,
    ownListPollMs: 1_000
  },
  createDb,
  clear,
  tick: () => {},
  violations,
  offer,
  documentOf: (db, serviceName) => db.documents.get(serviceName),
  documents: db => [...db.documents.values()],
  valueOf: (db, key) => db.held.get(key)?.value,
  marks: db => [...db.held.values()].map(held => held.mark),
  digest: db => db.digest,
  bucketDigests: db => db.buckets,
  marksOfKeys: (db, keys) => keys.flatMap(key => db.held.get(key)?.mark ?? []),
  marksOfBuckets: (db, buckets) => [...db.held.values()]
    .map(held => held.mark).filter(mark => buckets.includes(bucketOf(mark.key))),
  conflicts: db => [...db.conflicts],
  catalogue: db => db.catalogue,
  rejected,
  duePolls,
  pollAnswered,
  watchersOf,
  readerHeard,
  confirmations,
  noteConfirmed,
  missing,
  matchRoute,
  termsOf
}
