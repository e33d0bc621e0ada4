import { Importance, Outcome, Reason } from '../coreTypes.js'
import { ledgerDefinition as ledger } from './ledgerDefinition.js'
import { RecordRole, type CallRecord } from './ledgerTypes.js'

const call: CallRecord = {
  role: RecordRole.Executor,
  callerName: 'dispatchers',
  serviceName: 'delivery-booking',
  routeName: 'book',
  importance: Importance.Vital,
  withinPromise: true,
  documentVersion: 7,
  outcome: Outcome.Done,
  reason: Reason.None,
  limitedBy: '',
  rootId: 'root-1',
  callId: 'call-1',
  parentId: '',
  attempt: 1,
  retriesCount: 0,
  arrivedAtWallMs: 1_700_000_000_000.25,
  queuedMs: 0.1234567,
  servedMs: 12,
  totalMs: 12.5
}

describe('ledger', () => {
  let db = ledger.createDb({ nodeId: 'vm-1', incarnation: 'b2' })
  beforeEach(() => { db = ledger.createDb({ nodeId: 'vm-1', incarnation: 'b2', tenantsCapacityCount: 2 }) })

  test('the line of a record names every field; values are quoted when they need it', () => {
    expect(ledger.recordCall(db, call)).toMatchSnapshot()
    expect(ledger.recordCall(db, {
      ...call, callId: 'x y', callerName: 'a="b"\nevent=call_record', rootId: 'r'.repeat(20_000), parentId: 'õ'
    })).toMatchSnapshot()
  })

  test('a line stays one line, whatever a caller sends', () => {
    const odd = ['\r\n', '\u0000', '"', '\\', '=', ' ', 'a'.repeat(16_000)].join('')
    const names = { callerName: odd, callId: odd, rootId: odd, parentId: odd, limitedBy: odd }
    const line = ledger.recordCall(db, { ...call, ...names })
    expect([line.split(/[\r\n]/).length, line.length < 2_000]).toEqual([1, true])
  })

  test('sequence numbers have no gaps and continue after clear', () => {
    const lines = ['a', 'b'].map(callId => ledger.recordCall(db, { ...call, callId }))
    ledger.clear(db)
    lines.push(ledger.recordCall(db, { ...call, callId: 'c' }))
    expect(lines.map(line => /seq=(\d+)/.exec(line)?.[1])).toEqual(['1', '2', '3'])
  })

  test('a record counts once: a second one of the same call and role is not counted and is reported', () => {
    ledger.recordCall(db, call)
    expect(ledger.violations(db, 0)).toEqual([])
    expect(ledger.recordCall(db, call)).toContain('event=call_record_repeated seq=2 ')
    expect(ledger.counts(db).map(counts => counts.doneCount)).toEqual([1])
    expect(ledger.violations(db, 0).length).toBe(1)
    expect(ledger.recordCall(db, { ...call, role: RecordRole.Entry })).toContain('event=call_record ')
  })

  test('counts are kept by caller, service, importance and role, latencies of done calls only', () => {
    for (let index = 1; index <= 100; index += 1) {
      ledger.recordCall(db, { ...call, callId: `done-${index}`, totalMs: index / 10 })
    }
    ledger.recordCall(db, { ...call, callId: 'u', outcome: Outcome.Unknown, totalMs: 60_000 })
    ledger.recordCall(db, { ...call, callId: 'n', outcome: Outcome.NotRun, importance: Importance.Low })
    ledger.recordCall(db, { ...call, callId: 'c', outcome: Outcome.Cancelled, role: RecordRole.Entry })
    expect({ counts: ledger.counts(db), latencies: ledger.latencies(db) }).toMatchSnapshot()
  })

  test('callers that keep sending new names get no more series than the tenant capacity allows', () => {
    for (let index = 0; index < 5_000; index += 1) {
      const callerName = index < 2_500 ? `caller-${index}` : '(other)'
      const names = { callerName, serviceName: `s-${index}`, callId: `${index}` }
      ledger.recordCall(db, { ...call, ...names, totalMs: Number.MAX_SAFE_INTEGER })
    }
    const counts = ledger.counts(db)
    expect(counts.map(count => [count.callerName, count.doneCount])).toEqual([['(other)', 4_998], ['caller-0', 1], ['caller-1', 1]])
    expect(ledger.violations(db, 0)).toEqual([])
  })
})
