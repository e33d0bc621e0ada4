import fc from 'fast-check'
import { membershipDefinition as membership } from './membershipDefinition.js'
import { Evidence, VmState, type VmEntry, type VmList } from './membershipTypes.js'

const MARK_TTL_MS = membership.defaults.markTtlMs
const CONFIRMATION_TTL_MS = membership.defaults.confirmationTtlMs

function entry (vmId: string, state = VmState.Live, port = 1, serviceName = 'invoicing'): VmEntry {
  return { vmId, serviceName, dataCentre: 'tartu', callAddress: `10.0.0.1:${port}`, controlAddress: '10.0.0.1:2', state }
}

function listOf (revision: number, ...entries: VmEntry[]): VmList {
  return { dataCentre: 'tartu', revision, entries }
}

const liveVmIds = (db: ReturnType<typeof membership.createDb>, nowMs: number): string[] => (
  membership.liveEntries(db, 'invoicing', nowMs).map(each => each.vmId)
)

describe('membership', () => {
  test('an older or equal list does not replace the current one', () => {
    const db = membership.createDb(membership.defaults)
    const accepted = [5, 4, 5, 6].map(revision => membership.acceptListIfNewer(db, listOf(revision), 0))
    expect(accepted).toEqual([true, false, false, true])
    expect(membership.listOf(db, 'tartu')?.revision).toBe(6)
  })

  test('a confirmation expires and applies only to the revision that it names', () => {
    const db = membership.createDb(membership.defaults)
    membership.acceptListIfNewer(db, listOf(5), 0)
    membership.confirmList(db, 'tartu', 4, 1000)
    expect(membership.isConfirmed(db, 'tartu', CONFIRMATION_TTL_MS)).toBe(true)
    expect(membership.isConfirmed(db, 'tartu', CONFIRMATION_TTL_MS + 1)).toBe(false)
    membership.confirmList(db, 'tartu', 5, 1000)
    expect(membership.isConfirmed(db, 'tartu', CONFIRMATION_TTL_MS + 1)).toBe(true)
    expect(membership.isConfirmed(db, 'parnu', 0)).toBe(false)
  })

  test('a VM that reports it is leaving gets no calls although a newer list shows it as live', () => {
    const db = membership.createDb(membership.defaults)
    membership.acceptListIfNewer(db, listOf(1, entry('a'), entry('b')), 0)
    membership.markLeaving(db, 'a', Evidence.Peer, 0)
    membership.acceptListIfNewer(db, listOf(2, entry('a'), entry('b')), 10)
    expect([liveVmIds(db, 10), membership.isLeaving(db, 'a', 10)]).toEqual([['b'], true])
    expect(membership.vmReadings(db, 10).map(each => [each.effectiveState, each.evidence])).toEqual([
      [VmState.Leaving, Evidence.Peer], [VmState.Live, Evidence.List]
    ])
  })

  test('a mark that is not renewed expires, so that a wrong mark has no lasting effect', () => {
    const db = membership.createDb(membership.defaults)
    membership.acceptListIfNewer(db, listOf(1, entry('a')), 0)
    membership.markLeaving(db, 'a', Evidence.Connection, 0)
    expect([liveVmIds(db, MARK_TTL_MS), liveVmIds(db, MARK_TTL_MS + 1)]).toEqual([[], ['a']])
  })

  test.each([
    ['was missing from a list in between', [listOf(2), listOf(3, entry('a'))]],
    ['has other addresses', [listOf(2, entry('a', VmState.Live, 9))]]
  ])('a new VM with the id of a marked one gets calls: it %s', (_name, lists) => {
    const db = membership.createDb(membership.defaults)
    membership.acceptListIfNewer(db, listOf(1, entry('a')), 0)
    membership.markLeaving(db, 'a', Evidence.Peer, 0)
    for (const list of lists) membership.acceptListIfNewer(db, list, 1)
    expect(liveVmIds(db, 1)).toEqual(['a'])
  })

  test('a mark received before the first list still holds', () => {
    const db = membership.createDb(membership.defaults)
    membership.markLeaving(db, 'a', Evidence.Peer, 0)
    membership.acceptListIfNewer(db, listOf(1, entry('a')), 0)
    expect(liveVmIds(db, 0)).toEqual([])
    membership.clearMark(db, 'a', 0)
    expect(liveVmIds(db, 0)).toEqual(['a'])
  })

  test('revisions never decrease and marked VMs get no calls, for any order of lists, marks and clock jumps', () => {
    const ids = ['a', 'b', 'c']
    const steps = fc.oneof(
      fc.record({ kind: fc.constant('list' as const), revision: fc.nat(20), states: fc.array(fc.nat(2), { minLength: 3, maxLength: 3 }) }),
      fc.record({ kind: fc.constant('mark' as const), id: fc.constantFrom(...ids) }),
      fc.record({ kind: fc.constant('wait' as const), ms: fc.oneof(fc.nat(MARK_TTL_MS), fc.nat(86_400_000)) })
    )
    fc.assert(fc.property(fc.array(steps, { maxLength: 60 }), all => {
      const db = membership.createDb(membership.defaults)
      const marks = new Map<string, number>()
      let listedIds: Set<string> | undefined
      let revision = -1
      let nowMs = 0
      for (const step of all) {
        if (step.kind === 'wait') nowMs += step.ms
        else if (step.kind === 'mark') {
          membership.markLeaving(db, step.id, Evidence.Peer, nowMs)
          marks.set(step.id, nowMs)
        } else {
          const entries = ids.flatMap((id, at) => step.states[at] === 0
            ? []
            : [entry(id, step.states[at] === 1 ? VmState.Live : VmState.Leaving)])
          expect(membership.acceptListIfNewer(db, listOf(step.revision, ...entries), nowMs))
            .toBe(step.revision > revision)
          if (step.revision > revision) {
            for (const { vmId } of entries) if (listedIds?.has(vmId) === false) marks.delete(vmId)
            listedIds = new Set(entries.map(each => each.vmId))
            revision = step.revision
          }
        }
        membership.tick(db, nowMs)
        expect(membership.violations(db, nowMs)).toEqual([])
        expect(membership.listOf(db, 'tartu')?.revision ?? -1).toBe(revision)
        const listedEntries = membership.entriesOf(db, 'tartu')
        expect(liveVmIds(db, nowMs)).toEqual(listedEntries.filter(({ vmId, state }) => (
          state === VmState.Live && nowMs - (marks.get(vmId) ?? -Infinity) > MARK_TTL_MS
        )).map(each => each.vmId))
      }
    }), { seed: 5900, numRuns: 300 })
  })
})
