import type { SlotsDb } from './slotsDb.js'
import { slotsDefinition as family } from './slotsDefinition.js'
import type { Waiting } from './slotsTypes.js'

interface Opened {
  readonly db: SlotsDb
  readonly log: string[]
  readonly offer: (name: string, rank: number, startByMs?: number) => Waiting
}

function open (slotsCount: number): Opened {
  const db = family.createDb({ usedSlotsRatio: 1, queueRatio: 1, rankDelayMs: 0.2 })
  const log: string[] = []
  family.setSlots(db, slotsCount, 0)
  return {
    db,
    log,
    offer: (name, rank, startByMs = 1_000) => {
      const waiting: Waiting = {
        call: { rank, arrivedAtMs: 0, startByMs },
        start: () => log.push(`start ${name}`),
        refuse: reason => log.push(`refuse ${name} ${reason}`)
      }
      family.offer(db, waiting, 0)
      return waiting
    }
  }
}

describe('slots family', () => {
  test('calls of running requests start before new requests, the first come first within a rank', () => {
    const { db, log, offer } = open(3)
    for (const name of ['a', 'b', 'c']) offer(name, 100)
    offer('new', 100)
    offer('sub', 0)
    offer('sub-2', 0)
    for (let at = 0; at < 3; at++) family.release(db, 1, 1)
    expect(log).toEqual(['start a', 'start b', 'start c', 'start sub', 'start sub-2', 'start new'])
  })

  test('a full queue gives up its last call for a better one', () => {
    const { log, offer } = open(1)
    offer('a', 100)
    offer('waits', 100)
    offer('sub', 0)
    expect(log).toEqual(['start a', 'refuse waits displaced'])
  })

  test('a call that has waited too long is refused, not started', () => {
    const { db, log, offer } = open(1)
    offer('a', 100)
    offer('late', 100, 50)
    family.release(db, 60, 60)
    expect(log).toEqual(['start a', 'refuse late wait_too_long'])
  })

  test('a call whose caller left gives up its place and is not called back', () => {
    const { db, log, offer } = open(1)
    offer('a', 100)
    const waiting = offer('gone', 100)
    expect(family.withdraw(db, waiting)).toBe(true)
    family.release(db, 1, 1)
    expect(log).toEqual(['start a'])
  })

  test('a server that leaves takes no call, and those that wait are refused at once', () => {
    const { db, log, offer } = open(1)
    offer('a', 100)
    offer('waits', 100)
    family.setAccepting(db, false)
    offer('late', 100)
    expect(log).toEqual(['start a', 'refuse waits not_accepting', 'refuse late not_accepting'])
  })

  test('some slots stay unused, since servers slow down when they are nearly full', () => {
    const db = family.createDb(family.defaults)
    family.setSlots(db, 46, 0)
    expect(family.reading(db).limitCount).toBe(43)
  })
})
