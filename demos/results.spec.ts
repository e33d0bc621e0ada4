import type { WindowCounts } from '../src/standins/callerReport.js'
import { auditRuns } from './audit.js'
import { recoveryMs } from './recovery.js'

function createWindows (wholeCounts: readonly number[]): WindowCounts[] {
  return wholeCounts.map((wholeCount, index) =>
    ({ stream: '', at_ms: index * 100, offered_count: 100, whole_count: wholeCount, completed_count: 0 }))
}

const baselinePeriod = { fromMs: 0, untilMs: 200 }

describe('recovery time', () => {
  test('is measured to the first of three consecutive windows with normal goodput', () => {
    expect(recoveryMs(createWindows([100, 100, 10, 10, 50, 96, 20, 97, 99, 100]), 400, baselinePeriod)).toBe(300)
  })

  test('is null if goodput is never normal for three consecutive windows', () => {
    expect(recoveryMs(createWindows([100, 100, 10, 10, 50, 96, 96, 20]), 400, baselinePeriod)).toBeNull()
  })
})

describe('run audit', () => {
  const lines = [
    'level=30 time=1 event=run_started service=invoicing root=r1 key=k1 call=c1 at_ms=1 state=started',
    'level=30 time=1 event=run_ended service=invoicing root=r1 key=k1 call=c1 at_ms=1 state=done',
    'level=30 time=1 event=run_started service=invoicing root=r2 key=k2 call=c2 at_ms=1 state=started',
    'level=30 time=1 event=run_started service=invoicing root=r2 key=k2 call=c3 at_ms=1 state=started',
    'level=30 time=1 event=run_started service=depot-stock root=r1 key=k1 call=c4 at_ms=1 state=started'
  ]

  test('reports a key that runs twice at one service', () => {
    expect(auditRuns(lines, []).duplicateRuns).toEqual(['invoicing k2'])
  })

  test('reports a key that ran although each send was reported as not run', () => {
    expect(auditRuns(lines, ['invoicing k1', 'invoicing k9']).falseNotRun).toEqual(['invoicing k1'])
  })
})
