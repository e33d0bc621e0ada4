import { retryDefinition as retry } from './retryDefinition.js'

const print = (bodyHash: number) => ({ serviceName: 'invoicing', routeName: 'issue', bodyHash })

describe('crash quarantine', () => {
  test('a request that crashes the backend server twice is refused, then runs alone', () => {
    const db = retry.createDb(retry.defaults)
    retry.dispatched(db, 'c1', print(1), 0)
    expect(retry.crashed(db, 10)).toEqual([])
    expect(retry.verdict(db, print(1), 20).kind).toBe('run_alone')
    retry.dispatched(db, 'c2', print(1), 20)
    expect(retry.crashed(db, 30)).toEqual([print(1)])
    expect(retry.verdict(db, print(1), 40)).toEqual({ kind: 'refuse', untilMs: 60_030 })
    retry.tick(db, 60_030)
    expect(retry.verdict(db, print(1), 60_030).kind).toBe('run_alone')
    retry.dispatched(db, 'c3', print(1), 60_040)
    expect(retry.crashed(db, 60_050)).toEqual([print(1)])
  })

  test('suspects that crash together are not all quarantined; running alone tells them apart', () => {
    const db = retry.createDb(retry.defaults)
    for (const crashMs of [10, 20]) {
      retry.dispatched(db, 'a', print(1), crashMs)
      retry.dispatched(db, 'b', print(2), crashMs)
      expect(retry.crashed(db, crashMs)).toEqual([])
    }
    retry.dispatched(db, 'a', print(1), 30)
    retry.returned(db, 'a', 40)
    expect(retry.verdict(db, print(1), 40).kind).toBe('clear')
    retry.dispatched(db, 'b', print(2), 50)
    expect(retry.crashed(db, 60)).toEqual([print(2)])
  })

  test('a suspect that returned beside other calls is not cleared, since another may have crashed it', () => {
    const db = retry.createDb(retry.defaults)
    retry.dispatched(db, 'a', print(1), 0)
    retry.crashed(db, 1)
    retry.dispatched(db, 'a', print(1), 2)
    retry.dispatched(db, 'b', print(2), 3)
    retry.returned(db, 'a', 4)
    expect(retry.verdict(db, print(1), 5).kind).toBe('run_alone')
  })

  test('a hint expires and cannot quarantine for longer than this node would itself', () => {
    const db = retry.createDb(retry.defaults)
    retry.learnQuarantine(db, print(1), 1e9, 0)
    expect(retry.quarantined(db, 1)).toEqual([{ fingerprint: print(1), untilMs: 60_000 }])
    expect(retry.violations(db, 0)).toEqual([])
    expect(retry.verdict(db, print(1), 60_000).kind).toBe('clear')
  })
})
