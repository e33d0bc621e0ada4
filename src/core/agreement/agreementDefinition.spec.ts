import { Importance } from '../coreTypes.js'
import type { AgreementDb } from './agreementDb.js'
import { agreementDefinition as agreement } from './agreementDefinition.js'
import type { ShareBasis } from './agreementTypes.js'

const tenant = { callerName: 'clerks', serviceName: 'invoicing' }
const basis: ShareBasis = {
  documentVersion: 1, listRevision: 1, dataCentreWeight: 0.5, liveNodesCount: 2, isListConfirmed: true
}
const GROWTH_DELAY_MS = agreement.defaults.shareGrowthDelayMs

function setPromise (db: AgreementDb, promisedCallsPerS: number, change: Partial<ShareBasis>, nowMs: number): void {
  agreement.setPromises(db, 'invoicing', [{ ...tenant, promisedCallsPerS }], { ...basis, ...change }, nowMs)
}

function shareAt (db: AgreementDb, nowMs: number): number | undefined {
  return agreement.shareReadings(db, nowMs)[0]?.shareCallsPerS
}

function createDbWithGrownShare (): AgreementDb {
  const db = agreement.createDb(agreement.defaults)
  setPromise(db, 400, {}, 0)
  agreement.tick(db, GROWTH_DELAY_MS)
  return db
}

describe('agreement', () => {
  test('a new node gets its share after the growth delay, because other nodes may still use their larger shares', () => {
    const db = agreement.createDb(agreement.defaults)
    setPromise(db, 400, {}, 0)
    expect([shareAt(db, GROWTH_DELAY_MS - 1), shareAt(db, GROWTH_DELAY_MS)]).toEqual([0, 100])
  })

  test('a smaller share applies at once and a larger one later, so the sum never exceeds the promise', () => {
    const db = createDbWithGrownShare()
    setPromise(db, 400, { liveNodesCount: 4 }, 11_000)
    expect(shareAt(db, 11_000)).toBe(50)
    setPromise(db, 400, { liveNodesCount: 1 }, 12_000)
    expect([shareAt(db, 21_999), shareAt(db, 22_000)]).toEqual([50, 200])
  })

  test('a share does not grow while the VM list is unconfirmed, and the growth delay restarts afterwards', () => {
    const db = createDbWithGrownShare()
    setPromise(db, 800, { isListConfirmed: false }, 11_000)
    expect(shareAt(db, 60_000)).toBe(100)
    setPromise(db, 800, {}, 60_000)
    expect([shareAt(db, 69_999), shareAt(db, 70_000)]).toEqual([100, 200])
  })

  test('repeated list changes do not delay an increase that is already pending', () => {
    const db = createDbWithGrownShare()
    setPromise(db, 800, {}, 11_000)
    setPromise(db, 1600, {}, 20_000)
    for (let nowMs = 20_100; nowMs < 20_900; nowMs += 100) setPromise(db, 1600, {}, nowMs)
    expect([shareAt(db, 21_000), shareAt(db, 30_000)]).toEqual([200, 400])
  })

  test('calls of other importance leave the reserve of tokens to vital calls', () => {
    const db = createDbWithGrownShare()
    const takeAll = (importance: Importance): number => {
      let taken = 0
      while (agreement.takeToken(db, tenant, importance, 20_000)) taken++
      return taken
    }
    expect([takeAll(Importance.Normal), takeAll(Importance.Vital)]).toEqual([16, 4])
  })

  test('a share below one call per burst still lets single calls of any importance through', () => {
    const db = agreement.createDb(agreement.defaults)
    setPromise(db, 1, {}, 0)
    agreement.tick(db, GROWTH_DELAY_MS)
    expect(agreement.takeToken(db, tenant, Importance.Low, GROWTH_DELAY_MS + 4000)).toBe(true)
    expect(agreement.takeToken(db, tenant, Importance.Vital, GROWTH_DELAY_MS + 4001)).toBe(false)
  })

  test('a saturating caller gets its share within 2% over 10 s, also after a pause of a minute', () => {
    const db = createDbWithGrownShare()
    agreement.tick(db, 80_000)
    let taken = 0
    for (let nowMs = 80_000; nowMs < 90_000; nowMs += 2) {
      if (agreement.takeToken(db, tenant, Importance.Vital, nowMs)) taken++
    }
    expect(Math.abs(taken / 1000 - 1)).toBeLessThanOrEqual(0.0201)
  })

  test('a returned token can be used again, and returned tokens do not exceed the capacity of the bucket', () => {
    const db = createDbWithGrownShare()
    while (agreement.takeToken(db, tenant, Importance.Vital, 20_000));
    agreement.returnToken(db, tenant, 20_000)
    expect(agreement.takeToken(db, tenant, Importance.Vital, 20_000)).toBe(true)
    for (let i = 0; i < 50; i++) agreement.returnToken(db, tenant, 20_000)
    expect(agreement.violations(db, 20_000)).toEqual([])
  })

  test('a caller without a promise, such as one whose promise was removed, gets no token', () => {
    const db = createDbWithGrownShare()
    agreement.setPromises(db, 'invoicing', [], basis, 20_000)
    expect(agreement.takeToken(db, tenant, Importance.Vital, 20_001)).toBe(false)
  })
})
