import { catalogueValue, vmListValue } from '../../testing/documentSamples.js'
import { documentsDefinition as documents } from './documentsDefinition.js'
import type { DocumentsDb } from './documentsDb.js'
import type { ReaderView } from './documentsTypes.js'

const SERVICES = Array.from({ length: 40 }, (_, index) => `service-${index}`)
const DATA_CENTRES = Array.from({ length: 31 }, (_, index) => `dc-${index}`)
const VM_IDS = ['vm-a', 'vm-b', 'vm-c', 'vm-d', 'vm-e']
/** (40 documents + 31 VM lists + catalogue) × 31 data centres ÷ 1,600 calls/s. */
const PERIOD_MS = 72 * 31 * 1000 / 1600
/** Documents, VM lists and the catalogue. */
const KEYS_COUNT = SERVICES.length + DATA_CENTRES.length + 1

/** A node and its state. */
interface Reader { readonly vmId: string, readonly db: DocumentsDb }

function createReaders (): Reader[] {
  return VM_IDS.map(vmId => {
    const db = documents.createDb(documents.defaults)
    documents.offerValue(db, catalogueValue(1, SERVICES, DATA_CENTRES), 0)
    documents.offerValue(db, vmListValue('dc-3', 1, VM_IDS), 0)
    return { vmId, db }
  })
}

function viewOf (vmId: string, liveVmIds: readonly string[] = VM_IDS): ReaderView {
  return { ownVmId: vmId, ownDataCentre: 'dc-3', dataCentres: DATA_CENTRES, liveVmIds }
}

/**
 * Simulates the readers of a data centre and returns the ids of the nodes that read each key. `isAnswered` tells
 * whether the platform answers a node; `live` are the nodes that the readers consider alive.
 */
function runReaders (
  nodes: readonly Reader[], fromMs: number, untilMs: number, isAnswered: (vmId: string) => boolean, live = nodes
): Map<string, string[]> {
  const reads = new Map<string, string[]>()
  for (let nowMs = fromMs; nowMs < untilMs; nowMs += 50) {
    for (const node of nodes) {
      for (const { key } of documents.duePolls(node.db, viewOf(node.vmId, live.map(entry => entry.vmId)), nowMs)) {
        reads.set(key, [...reads.get(key) ?? [], node.vmId])
        documents.recordPollResult(node.db, key, isAnswered(node.vmId), nowMs)
        if (!isAnswered(node.vmId)) continue
        const otherReaderIds = documents.otherReadersOf(node.db, key)
        for (const other of nodes) {
          if (otherReaderIds.includes(other.vmId)) documents.recordReadByPeer(other.db, key, nowMs)
        }
      }
    }
  }
  return reads
}

describe('poll plan', () => {
  test('each key has one reader per data centre, and the poll period keeps the fleet at the planned rate of reads', () => {
    const reads = runReaders(createReaders(), 0, 40 * PERIOD_MS, () => true)
    expect(reads.size).toBe(KEYS_COUNT)
    for (const [key, vmIds] of reads) {
      expect([key, new Set(vmIds).size]).toEqual([key, 1])
      const periods = key === 'vms/dc-3' ? 40 * PERIOD_MS / 1000 : 40
      expect(Math.abs(vmIds.length - periods)).toBeLessThanOrEqual(2)
    }
  })

  test('planning is incremental, and a view that keeps changing leaves no key without a plan', () => {
    const [node] = createReaders()
    let calls = 0
    for (let nowMs = 0; nowMs < 1_000; nowMs += 100) {
      documents.duePolls(node!.db, viewOf('vm-a', calls % 2 === 0 ? ['vm-a'] : ['vm-a', 'vm-b']), nowMs)
      calls += 1
      expect(node!.db.plans.size).toBeLessThanOrEqual(2 + 16 * calls)
    }
    expect(node!.db.plans.size).toBe(KEYS_COUNT)
  })

  test('the next node by rank takes over from a silent reader after two periods and stops on its return', () => {
    const nodes = createReaders()
    const before = runReaders(nodes, 0, 5 * PERIOD_MS, () => true)
    const reader = before.get('documents/service-1')![0]!
    const outageReads = runReaders(
      nodes.filter(node => node.vmId !== reader), 5 * PERIOD_MS, 10 * PERIOD_MS, () => true, nodes
    )
    expect(new Set(outageReads.get('documents/service-1')).size).toBe(1)
    expect(outageReads.get('documents/service-1')!.length).toBeGreaterThanOrEqual(2)
    runReaders(nodes, 10 * PERIOD_MS, 13 * PERIOD_MS, () => true)
    const after = runReaders(nodes, 13 * PERIOD_MS, 18 * PERIOD_MS, () => true)
    expect(new Set(after.get('documents/service-1'))).toEqual(new Set([reader]))
  })

  test('a reader that the platform does not answer is replaced by one that gets answers', () => {
    const nodes = createReaders()
    const reader = runReaders(nodes, 0, 2 * PERIOD_MS, () => true).get('documents/service-1')![0]!
    const reads = runReaders(nodes, 2 * PERIOD_MS, 12 * PERIOD_MS, vmId => vmId !== reader).get('documents/service-1')!
    expect(reads.filter(vmId => vmId !== reader).length).toBeGreaterThanOrEqual(7)
  })

  test('reads stay below the planned rate while the platform does not answer', () => {
    const reads = runReaders(createReaders(), 0, 40 * PERIOD_MS, () => false)
    const documentReads = [...reads].filter(([key]) => !key.startsWith('vms/')).flatMap(([, vmIds]) => vmIds)
    expect(documentReads.length * DATA_CENTRES.length / (40 * PERIOD_MS / 1000)).toBeLessThan(1_600)
  })

  test('without the VM list of its data centre a node reads only that list and the catalogue, so that a fleet start does not overload the platform', () => {
    const db = documents.createDb(documents.defaults)
    documents.offerValue(db, catalogueValue(1, SERVICES, DATA_CENTRES), 0)
    const keys = documents.duePolls(db, viewOf('vm-a', ['vm-a']), 10).map(poll => poll.key)
    expect(keys).toEqual(['vms/dc-3', 'catalogue'])
    expect(documents.duePolls(db, viewOf('vm-a', ['vm-a']), 5_000)).toEqual([])
    expect(documents.duePolls(db, viewOf('vm-a', ['vm-a']), 10_010).map(poll => poll.key)).toEqual(keys)
  })

  test('a list counts as confirmed by an answer or a peer, not by having been received', () => {
    const db = documents.createDb(documents.defaults)
    documents.offerValue(db, vmListValue('dc-3', 4, VM_IDS), 0)
    expect(documents.confirmations(db, 60_000, 0)).toEqual([])
    expect(documents.recordConfirmation(db, { key: 'vms/dc-3', revision: 3, ageMs: 0 }, 1_000)).toBe(false)
    expect(documents.recordConfirmation(db, { key: 'vms/dc-3', revision: 4, ageMs: 900 }, 1_000)).toBe(true)
    expect(documents.recordConfirmation(db, { key: 'vms/dc-3', revision: 4, ageMs: 2_000 }, 1_500)).toBe(false)
    expect(documents.confirmations(db, 60_000, 2_000)).toEqual([{ key: 'vms/dc-3', revision: 4, ageMs: 1_900 }])
    documents.recordPollResult(db, 'vms/dc-3', true, 3_000)
    expect(documents.confirmations(db, 60_000, 3_000)[0]?.ageMs).toBe(0)
  })

  test('an answer does not confirm a list when a newer one was seen and rejected', () => {
    const db = documents.createDb(documents.defaults)
    documents.offerValue(db, vmListValue('dc-3', 4, VM_IDS), 0)
    documents.offerValue(db, { key: 'vms/dc-3', revision: 5, text: '{}' }, 0)
    documents.recordPollResult(db, 'vms/dc-3', true, 3_000)
    expect(documents.confirmations(db, 60_000, 3_000)).toEqual([])
  })
})
