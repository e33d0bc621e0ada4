import fc from 'fast-check'
import { membershipDefinition as membership } from './membershipDefinition.js'
import { Evidence, VmState, type VmEntry, type VmList } from './membershipTypes.js'

const TTL_MS = membership.defaults.markTtlMs
const CONFIRMED_MS = membership.defaults.confirmedForMs

function entry (vmId: string, state = VmState.Live, port = 1, serviceName = 'invoicing'): VmEntry {
  return { vmId, serviceName, dataCentre: 'tartu', callAddress: `10.0.0.1:${port}`, controlAddress: '10.0.0.1:2', state }
}

function listOf (revision: number, ...entries: VmEntry[]): VmList {
  return { dataCentre: 'tartu', revision, entries }
}

const liveIds = (db: ReturnType<typeof membership.createDb>, nowMs: number): string[] => (
  membership.liveEntries(db, 'invoicing', nowMs).map(each => each.vmId)
)

describe('membership', () => {
  test('an older or equal list does not replace the one held', () => {
    const db = membership.createDb(membership.defaults)
    const taken = [5, 4, 5, 6].map(revision => membership.offerList(db, listOf(revision), 0))
    expect(taken).toEqual([true, false, false, true])
    expect(membership.listOf(db, 'tartu')?.revision).toBe(6)
  })

  test('a list counts as confirmed only for a while and only for its own revision', () => {
    const db = membership.createDb(membership.defaults)
    membership.offerList(db, listOf(5), 0)
    membership.confirmList(db, 'tartu', 4, 1000)
    expect(membership.isConfirmed(db, 'tartu', CONFIRMED_MS)).toBe(true)
    expect(membership.isConfirmed(db, 'tartu', CONFIRMED_MS + 1)).toBe(false)
    membership.confirmList(db, 'tartu', 5, 1000)
    expect(membership.isConfirmed(db, 'tartu', CONFIRMED_MS + 1)).toBe(true)
    expect(membership.isConfirmed(db, 'parnu', 0)).toBe(false)
  })

  test('a VM that says it is leaving gets no work although a newer list shows it as live', () => {
    const db = membership.createDb(membership.defaults)
    membership.offerList(db, listOf(1, entry('a'), entry('b')), 0)
    membership.markLeaving(db, 'a', Evidence.Peer, 0)
    membership.offerList(db, listOf(2, entry('a'), entry('b')), 10)
    expect([liveIds(db, 10), membership.isLeaving(db, 'a', 10)]).toEqual([['b'], true])
    expect(membership.readings(db, 10).map(each => [each.effectiveState, each.evidence])).toEqual([
      [VmState.Leaving, Evidence.Peer], [VmState.Live, Evidence.List]
    ])
  })

  test('a mark that is not renewed expires, so that a wrong mark does not last', () => {
    const db = membership.createDb(membership.defaults)
    membership.offerList(db, listOf(1, entry('a')), 0)
    membership.markLeaving(db, 'a', Evidence.Connection, 0)
    expect([liveIds(db, TTL_MS), liveIds(db, TTL_MS + 1)]).toEqual([[], ['a']])
  })

  test.each([
    ['came back after it was gone', [listOf(2), listOf(3, entry('a'))]],
    ['has other addresses', [listOf(2, entry('a', VmState.Live, 9))]]
  ])('a new VM under the id of a marked one gets work: it %s', (_name, lists) => {
    const db = membership.createDb(membership.defaults)
    membership.offerList(db, listOf(1, entry('a')), 0)
    membership.markLeaving(db, 'a', Evidence.Peer, 0)
    for (const list of lists) membership.offerList(db, list, 1)
    expect(liveIds(db, 1)).toEqual(['a'])
  })

  test('a mark heard before the first list stays in force', () => {
    const db = membership.createDb(membership.defaults)
    membership.markLeaving(db, 'a', Evidence.Peer, 0)
    membership.offerList(db, listOf(1, entry('a')), 0)
    expect(liveIds(db, 0)).toEqual([])
    membership.clearMark(db, 'a', 0)
    expect(liveIds(db, 0)).toEqual(['a'])
  })

  test('lists, marks and clock jumps in any order keep lists moving forward and marked VMs without work', () => {
    const ids = ['a', 'b', 'c']
    const steps = fc.oneof(
      fc.record({ kind: fc.constant('list' as const), revision: fc.nat(20), states: fc.array(fc.nat(2), { minLength: 3, maxLength: 3 }) }),
      fc.record({ kind: fc.constant('mark' as const), id: fc.constantFrom(...ids) }),
      fc.record({ kind: fc.constant('wait' as const), ms: fc.oneof(fc.nat(TTL_MS), fc.nat(86_400_000)) })
    )
    fc.assert(fc.property(fc.array(steps, { maxLength: 60 }), all => {
      const db = membership.createDb(membership.defaults)
      const marks = new Map<string, number>()
      let shown: Set<string> | undefined
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
          expect(membership.offerList(db, listOf(step.revision, ...entries), nowMs)).toBe(step.revision > revision)
          if (step.revision > revision) {
            for (const { vmId } of entries) if (shown?.has(vmId) === false) marks.delete(vmId)
            shown = new Set(entries.map(each => each.vmId))
            revision = step.revision
          }
        }
        membership.tick(db, nowMs)
        expect(membership.violations(db, nowMs)).toEqual([])
        expect(membership.listOf(db, 'tartu')?.revision ?? -1).toBe(revision)
        const held = membership.entriesOf(db, 'tartu')
        expect(liveIds(db, nowMs)).toEqual(held.filter(({ vmId, state }) => (
          state === VmState.Live && nowMs - (marks.get(vmId) ?? -Infinity) > TTL_MS
        )).map(each => each.vmId))
      }
    }), { seed: 5900, numRuns: 300 })
  })
})
