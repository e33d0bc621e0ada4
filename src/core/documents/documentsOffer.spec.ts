import { BOOKING_TEXT, catalogueValue, documentValue, vmListValue } from '../../testing/documentSamples.js'
import { documentsDefinition as documents } from './documentsDefinition.js'
import type { DocumentsDb } from './documentsDb.js'
import type { PublishedValue } from './documentsTypes.js'

const SERVICE = 'delivery-booking'
const INVALID = BOOKING_TEXT.replace('version: 7', 'version: 9').replace('team: booking', 'teem: booking')

function offerAll (db: DocumentsDb, values: readonly PublishedValue[]): string[] {
  const kinds = values.map(value => documents.offerValue(db, value, 0).kind)
  expect(documents.violations(db, 0)).toEqual([])
  return kinds
}

function inForceVersionAndRevision (db: DocumentsDb): number[] {
  const held = documents.documentOf(db, SERVICE)
  return [held?.document.version ?? 0, held?.revision ?? 0]
}

describe('documents in force', () => {
  let db = documents.createDb(documents.defaults)
  beforeEach(() => { db = documents.createDb(documents.defaults) })

  test('neither an older version nor an older revision replaces the document in force', () => {
    const offered = [documentValue(7, 10), documentValue(6, 99), documentValue(7, 9), documentValue(8, 11)]
    expect(offerAll(db, offered)).toEqual(['accepted', 'older', 'older', 'accepted'])
    expect(inForceVersionAndRevision(db)).toEqual([8, 11])
  })

  test('two edits with the same version give the same result in both orders, and the conflict is reported', () => {
    const first = documentValue(7, 10)
    const second = { ...first, revision: 11, text: first.text.replace('team: booking', 'team: other') }
    const mirrored = documents.createDb(documents.defaults)
    expect(offerAll(db, [first, second])).toEqual(['accepted', 'accepted'])
    expect(offerAll(mirrored, [second, first])).toEqual(['accepted', 'older'])
    expect(documents.digest(db)).toBe(documents.digest(mirrored))
    expect([documents.conflictingKeys(db), documents.conflictingKeys(mirrored)]).toEqual([[first.key], [first.key]])
    offerAll(db, [documentValue(8, 12)])
    expect(documents.conflictingKeys(db)).toEqual([])
  })

  test('the same text under a later revision is not a conflict', () => {
    expect(offerAll(db, [documentValue(7, 10), documentValue(7, 11), documentValue(7, 11)]))
      .toEqual(['accepted', 'accepted', 'known'])
    expect(documents.conflictingKeys(db)).toEqual([])
  })

  test('an invalid edit changes nothing and is reported until a later edit is in force', () => {
    offerAll(db, [documentValue(7, 10)])
    const before = documents.digest(db)
    expect(offerAll(db, [{ key: `documents/${SERVICE}`, revision: 11, text: INVALID }])).toEqual(['rejected'])
    expect([inForceVersionAndRevision(db), documents.digest(db)]).toEqual([[7, 10], before])
    expect(documents.pendingRejections(db)).toMatchSnapshot()
    offerAll(db, [documentValue(10, 12)])
    expect(documents.pendingRejections(db)).toEqual([])
  })

  test('a rejected edit is not pulled from a peer again, but a later one is', () => {
    offerAll(db, [{ key: `documents/${SERVICE}`, revision: 11, text: INVALID }])
    const summary = { key: `documents/${SERVICE}`, version: 9, revision: 11, hash: 1 }
    expect(documents.newerSummaries(db, [summary, { ...summary, revision: 12 }]))
      .toEqual([{ ...summary, revision: 12 }])
  })

  test('VM lists and the catalogue are ordered by revision and validated', () => {
    const offered = [vmListValue('tartu', 5, ['a']), vmListValue('tartu', 4, ['b']), { ...vmListValue('tartu', 6, []), text: '{}' }]
    expect(offerAll(db, offered)).toEqual(['stored', 'older', 'rejected'])
    expect(documents.valueOf(db, 'vms/tartu')?.revision).toBe(5)
    expect(offerAll(db, [catalogueValue(1, ['x'], ['tartu'])])).toEqual(['stored'])
    expect(documents.catalogue(db)).toEqual({ serviceNames: ['x'], dataCentres: ['tartu'] })
  })

  test('malformed keys, invalid revisions and keys beyond the capacity are refused', () => {
    const invalid = [{ key: 'documents/../x', revision: 1, text: '' }, { ...documentValue(7, 1), revision: 1.5 }]
    expect(offerAll(db, invalid)).toEqual(['rejected', 'rejected'])
    for (let index = 0; index < 2_100; index += 1) documents.offerValue(db, vmListValue(`dc-${index}`, 1, []), 0)
    expect(documents.summaries(db).length).toBe(2_000)
  })

  test('bucket digests identify exactly the values that differ', () => {
    const other = documents.createDb(documents.defaults)
    for (const service of ['a', 'b', 'c', 'd']) {
      offerAll(db, [documentValue(7, 1, service)])
      offerAll(other, [documentValue(service === 'c' ? 8 : 7, 1, service)])
    }
    const differing = documents.bucketDigests(db)
      .flatMap((digest, bucket) => digest === documents.bucketDigests(other)[bucket] ? [] : [bucket])
    expect(differing.length).toBe(1)
    expect(documents.newerSummaries(db, documents.summariesOfBuckets(other, differing)).map(summary => summary.key)).toEqual(['documents/c'])
    documents.clear(db)
    expect([documents.digest(db), documents.summaries(db)]).toEqual([0, []])
  })
})
