import type { Violation } from '../coreTypes.js'
import { ModuleId } from '../coreTypes.js'
import { bucketOf, clear, createDb, summaryDigest, type DocumentsDb } from './documentsDb.js'
import { newerSummaries, offerValue, pendingRejections } from './documentsOffer.js'
import { confirmations, duePolls, recordConfirmation, recordPollResult, recordReadByPeer, otherReadersOf } from './documentsPolls.js'
import { matchRoute, callerPolicyOf } from './documentsRoutes.js'
import type { DocumentsModule } from './documentsTypes.js'

/** Checks that the digest matches the held values and that the index by service shows the documents in force. */
function violations (db: DocumentsDb): Violation[] {
  const found: Violation[] = []
  let digest = 0
  for (const [key, held] of db.heldValues) {
    digest = (digest ^ summaryDigest(held.summary)) >>> 0
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

/** Holds the published values of a node, plans reads of the platform and compares values with peers. */
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
  offerValue,
  documentOf: (db, serviceName) => db.documents.get(serviceName),
  documents: db => [...db.documents.values()],
  valueOf: (db, key) => db.heldValues.get(key)?.value,
  summaries: db => [...db.heldValues.values()].map(held => held.summary),
  digest: db => db.digest,
  bucketDigests: db => db.bucketDigests,
  summariesOfKeys: (db, keys) => keys.flatMap(key => db.heldValues.get(key)?.summary ?? []),
  summariesOfBuckets: (db, buckets) => [...db.heldValues.values()]
    .map(held => held.summary).filter(summary => buckets.includes(bucketOf(summary.key))),
  conflictingKeys: db => [...db.conflictingKeys],
  catalogue: db => db.catalogue,
  pendingRejections,
  duePolls,
  recordPollResult,
  otherReadersOf,
  recordReadByPeer,
  confirmations,
  recordConfirmation,
  newerSummaries,
  matchRoute,
  callerPolicyOf
}
