import { retryDefinition as retry } from './retryDefinition.js'

const fingerprint = (bodyHash: number) => ({ serviceName: 'invoicing', routeName: 'issue', bodyHash })

describe('crash quarantine', () => {
  test('a request that crashes the backend server twice is quarantined, and is a suspect afterwards that one crash quarantines again', () => {
    const db = retry.createDb(retry.defaults)
    retry.recordDispatch(db, 'c1', fingerprint(1), 0)
    expect(retry.recordCrash(db, 10)).toEqual([])
    expect(retry.checkQuarantine(db, fingerprint(1), 20).kind).toBe('run_alone')
    retry.recordDispatch(db, 'c2', fingerprint(1), 20)
    expect(retry.recordCrash(db, 30)).toEqual([fingerprint(1)])
    expect(retry.checkQuarantine(db, fingerprint(1), 40)).toEqual({ kind: 'refuse', untilMs: 60_030 })
    retry.tick(db, 60_030)
    expect(retry.checkQuarantine(db, fingerprint(1), 60_030).kind).toBe('run_alone')
    retry.recordDispatch(db, 'c3', fingerprint(1), 60_040)
    expect(retry.recordCrash(db, 60_050)).toEqual([fingerprint(1)])
  })

  test('of two suspects running in the same two crashes none is quarantined; one that returns after it ran alone is cleared, the other is quarantined at its next crash', () => {
    const db = retry.createDb(retry.defaults)
    for (const crashMs of [10, 20]) {
      retry.recordDispatch(db, 'a', fingerprint(1), crashMs)
      retry.recordDispatch(db, 'b', fingerprint(2), crashMs)
      expect(retry.recordCrash(db, crashMs)).toEqual([])
    }
    retry.recordDispatch(db, 'a', fingerprint(1), 30)
    retry.recordReturn(db, 'a', 40)
    expect(retry.checkQuarantine(db, fingerprint(1), 40).kind).toBe('clear')
    retry.recordDispatch(db, 'b', fingerprint(2), 50)
    expect(retry.recordCrash(db, 60)).toEqual([fingerprint(2)])
  })

  test('a suspect that returned while another call ran stays a suspect, since either of them may cause the next crash', () => {
    const db = retry.createDb(retry.defaults)
    retry.recordDispatch(db, 'a', fingerprint(1), 0)
    retry.recordCrash(db, 1)
    retry.recordDispatch(db, 'a', fingerprint(1), 2)
    retry.recordDispatch(db, 'b', fingerprint(2), 3)
    retry.recordReturn(db, 'a', 4)
    expect(retry.checkQuarantine(db, fingerprint(1), 5).kind).toBe('run_alone')
  })

  test('a quarantine after a hint from a peer lasts at most as long as one after a crash of the backend server of this node', () => {
    const db = retry.createDb(retry.defaults)
    retry.addQuarantineHint(db, fingerprint(1), 1e9, 0)
    expect(retry.listQuarantined(db, 1)).toEqual([{ fingerprint: fingerprint(1), untilMs: 60_000 }])
    expect(retry.violations(db, 0)).toEqual([])
    expect(retry.checkQuarantine(db, fingerprint(1), 60_000).kind).toBe('clear')
  })
})
