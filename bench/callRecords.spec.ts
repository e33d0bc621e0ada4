import { importantRefusedBeforeLookups, maxRetriesPerRoot, parseCallRecord, type BenchRecord } from './callRecords.js'

function recordOf (changes: Readonly<Record<string, string>>): BenchRecord {
  const fields = {
    node: 'vm-1',
    role: 'executor',
    service: 'depot-stock',
    importance: 'normal',
    within_promise: 'true',
    outcome: 'done',
    reason: 'none',
    root: 'r1',
    retries_count: '0',
    arrived_at_wall_ms: '1000',
    queued_ms: '0',
    total_ms: '50',
    ...changes
  }
  const line = Object.entries(fields).map(([name, value]) => `${name}=${value}`).join(' ')
  const record = parseCallRecord(`event=call_record ${line}`)
  if (record === undefined) throw new Error(line)
  return record
}

const refusedBooking = recordOf({ importance: 'vital', outcome: 'not_run', reason: 'overload', total_ms: '20' })

test('retries are summed over all nodes that handled a root request', () => {
  const records = [
    recordOf({ retries_count: '1' }), recordOf({ retries_count: '1', node: 'vm-2' }), recordOf({ root: 'r2' })
  ]
  expect(maxRetriesPerRoot(records)).toBe(2)
})

test.each([
  ['a lookup that was queued during the refusal and completed', { arrived_at_wall_ms: '1010', queued_ms: '100' }, 1],
  ['a lookup that arrived after the refusal', { arrived_at_wall_ms: '1040', queued_ms: '100' }, 0],
  ['a lookup that left the queue before the refusal', { arrived_at_wall_ms: '900', queued_ms: '100' }, 0],
  ['a lookup at another node', { arrived_at_wall_ms: '1010', queued_ms: '100', node: 'vm-2' }, 0]
])('priority inversions of a refused booking with %s', (_name, changes, count) => {
  expect(importantRefusedBeforeLookups([recordOf(changes), refusedBooking])).toBe(count)
})

test('a booking above its promise may be refused before a lookup within its promise', () => {
  const above = recordOf({
    importance: 'vital', within_promise: 'false', outcome: 'not_run', reason: 'above_promise', total_ms: '20'
  })
  expect(importantRefusedBeforeLookups([recordOf({ arrived_at_wall_ms: '1010', queued_ms: '100' }), above])).toBe(0)
})
