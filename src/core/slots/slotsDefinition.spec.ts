import { rateLimitDefinition } from '../rateLimit/rateLimitDefinition.js'
import type { SlotsDb } from './slotsDb.js'
import { slotsDefinition as slots } from './slotsDefinition.js'
import type { WaitingCall } from './slotsTypes.js'

interface TestSlots {
  readonly db: SlotsDb
  readonly log: string[]
  readonly offer: (name: string, rank: number, startByMs?: number) => WaitingCall
}

function createSlots (slotsCount: number): TestSlots {
  const db = slots.createDb({ usedSlotsRatio: 1, queueRatio: 1, rankDelayMs: 0.2 })
  const log: string[] = []
  slots.setSlotsCount(db, slotsCount, 0)
  return {
    db,
    log,
    offer: (name, rank, startByMs = 1_000) => {
      const waiting: WaitingCall = {
        call: { rank, arrivedAtMs: 0, startByMs },
        start: () => log.push(`start ${name}`),
        refuse: reason => log.push(`refuse ${name} ${reason}`)
      }
      slots.requestSlot(db, waiting, 0)
      return waiting
    }
  }
}

describe('slots', () => {
  test('calls of running requests start before new requests, in order of arrival within a rank', () => {
    const { db, log, offer } = createSlots(3)
    for (const name of ['a', 'b', 'c']) offer(name, 100)
    offer('new', 100)
    offer('sub', 0)
    offer('sub-2', 0)
    for (let at = 0; at < 3; at++) slots.releaseSlot(db, 1, 1)
    expect(log).toEqual(['start a', 'start b', 'start c', 'start sub', 'start sub-2', 'start new'])
  })

  test('a full queue evicts its last call for one of a lower rank', () => {
    const { log, offer } = createSlots(1)
    offer('a', 100)
    offer('waits', 100)
    offer('sub', 0)
    expect(log).toEqual(['start a', 'refuse waits displaced'])
  })

  test('a call that is not started by its startByMs is refused', () => {
    const { db, log, offer } = createSlots(1)
    offer('a', 100)
    offer('late', 100, 50)
    slots.releaseSlot(db, 60, 60)
    expect(log).toEqual(['start a', 'refuse late wait_too_long'])
  })

  test('a removed call leaves the queue and none of its callbacks is called', () => {
    const { db, log, offer } = createSlots(1)
    offer('a', 100)
    const waiting = offer('gone', 100)
    expect(slots.removeWaitingCall(db, waiting)).toBe(true)
    slots.releaseSlot(db, 1, 1)
    expect(log).toEqual(['start a'])
  })

  test('a server that stops accepting work refuses queued and new calls at once', () => {
    const { db, log, offer } = createSlots(1)
    offer('a', 100)
    offer('waits', 100)
    slots.setAcceptsWork(db, false)
    offer('late', 100)
    expect(log).toEqual(['start a', 'refuse waits not_accepting', 'refuse late not_accepting'])
  })

  test('calls start at the rate that the server allows, although slots are free', () => {
    const { db, log, offer } = createSlots(10)
    rateLimitDefinition.recordAnswer(db.rateLimit, { limitPerS: 10, sentAtMs: 0 }, 0)
    for (const name of ['a', 'b', 'c', 'd']) offer(name, 100)
    expect(slots.isRateLimited(db, 0)).toBe(true)
    slots.startWaitingCalls(db, 100)
    slots.startWaitingCalls(db, 150)
    slots.startWaitingCalls(db, 200)
    expect(log).toEqual(['refuse d queue_full', 'start a', 'start b'])
  })

  test('the reported capacity is what runs at once at the rate that the server allows', () => {
    const { db } = createSlots(10)
    rateLimitDefinition.recordAnswer(db.rateLimit, { limitPerS: 20, sentAtMs: 0 }, 0)
    slots.releaseSlot(db, 120, 0)
    expect(slots.getLoadReport(db).limitCount).toBe(3)
  })

  test('some slots stay unused by default, because servers slow down when they are nearly full', () => {
    const db = slots.createDb(slots.defaults)
    slots.setSlotsCount(db, 46, 0)
    expect(slots.getLoadReport(db).limitCount).toBe(43)
  })
})
