import { Importance, LEVEL_WORST, admissionLevel } from '../coreTypes.js'
import type { AdmissionDb } from './admissionDb.js'
import { admissionDefinition as gate } from './admissionDefinition.js'
import { ReleaseKind, type AdmissionSettings, type GateCall, type GateEvent } from './admissionTypes.js'

function open (slotsCount: number, change: Partial<AdmissionSettings> = {}): AdmissionDb {
  const db = gate.createDb({ ...gate.defaults, ...change })
  gate.setCapacity(db, { slotsCount, acceptsWork: true, draining: false }, 0)
  return db
}

function call (callId: string, change: Partial<GateCall> = {}): GateCall {
  return { callId, callerName: 'clerks', level: 0, arrivedAtMs: 0, deadlineAtMs: 1e6, routeName: 'book', ...change }
}

function offerAll (db: AdmissionDb, calls: GateCall[], nowMs = 0): GateEvent[] {
  return calls.flatMap(one => gate.offer(db, one, nowMs))
}

function show (events: GateEvent[]): string[] {
  return events.map(event => `${event.kind} ${event.callId}${event.kind === 'refuse' ? ` ${event.reason}` : ''}`)
}

function drainOrder (db: AdmissionDb, firstId: string): string[] {
  const order: string[] = []
  let id: string | undefined = firstId
  while (id !== undefined) {
    id = gate.release(db, id, ReleaseKind.Done, 1, 1).find(event => event.kind === 'start')?.callId
    if (id !== undefined) order.push(id)
  }
  return order
}

const above = admissionLevel({ withinPromise: false, importance: Importance.Vital, rootHash: 0 })

describe('admission gate', () => {
  test('calls beyond the slots wait and start best level first, oldest first inside a level', () => {
    const db = open(1)
    const ids = offerAll(db, [call('a'), call('b', { level: 9 }), call('c', { level: 3 }), call('d', { level: 3 })])
    expect(show(ids)).toEqual(['start a', 'queued b', 'queued c', 'queued d'])
    expect(drainOrder(db, 'a')).toEqual(['c', 'd', 'b'])
  })

  test.each([
    [{ newestFirst: true }, ['d', 'c', 'b']],
    [{ priorities: false }, ['b', 'c', 'd']]
  ])('the order with %j', (settings, order) => {
    const db = open(1, settings)
    offerAll(db, [call('a'), call('b', { level: 9 }), call('c', { level: 3 }), call('d', { level: 3 })])
    expect(drainOrder(db, 'a')).toEqual(order)
  })

  test('a full queue gives up its worst call, so none is refused while a worse one waits', () => {
    const db = open(1, { queueCapacityCount: 2 })
    offerAll(db, [call('a'), call('b', { level: above }), call('c', { level: 40 })])
    expect(show(gate.offer(db, call('d', { level: 5 }), 0))).toEqual(['refuse b above_promise', 'queued d'])
    expect(show(gate.offer(db, call('e', { level: 50 }), 0))).toEqual(['refuse e overload'])
    expect(gate.violations(db, 0)).toEqual([])
  })

  test('without priorities a full queue refuses the new call', () => {
    const db = open(1, { queueCapacityCount: 1, priorities: false })
    offerAll(db, [call('a'), call('b', { level: above })])
    expect(show(gate.offer(db, call('c'), 0))).toEqual(['refuse c overload'])
  })

  test('a call whose remaining time is below the learned service time is refused before it waits', () => {
    const db = open(1)
    gate.offer(db, call('a'), 0)
    gate.release(db, 'a', ReleaseKind.Done, 100, 100)
    expect(gate.expectedServiceMs(db, 'book')).toBe(100)
    expect(show(gate.offer(db, call('b', { deadlineAtMs: 199 }), 100))).toEqual(['refuse b deadline_too_short'])
    expect(show(gate.offer(db, call('c', { deadlineAtMs: 100 }), 100))).toEqual(['refuse c deadline_passed'])
    expect(show(gate.offer(db, call('d', { deadlineAtMs: 200 }), 100))).toEqual(['start d'])
  })

  test('after a pause of more than a minute no stale call is dispatched, whatever the settings', () => {
    const db = open(1, { refuseByDeadline: false })
    offerAll(db, [call('a'), call('b', { deadlineAtMs: 2000 })])
    expect(show(gate.release(db, 'a', ReleaseKind.Done, 70_000, 70_000))).toEqual(['refuse b deadline_passed'])
  })

  test('poll refuses calls that became too late while they waited', () => {
    const db = open(1)
    offerAll(db, [call('a'), call('b', { deadlineAtMs: 50 })])
    expect(show(gate.poll(db, 51))).toEqual(['refuse b deadline_passed'])
  })

  test('a cancelled call leaves the queue, a dispatched one keeps its slot until its release', () => {
    const db = open(1)
    offerAll(db, [call('a'), call('b')])
    expect(show(gate.cancel(db, 'b', 1))).toEqual(['refuse b caller_cancelled'])
    expect(gate.cancel(db, 'a', 1)).toEqual([])
    expect(gate.reading(db, 1).inFlightCount).toBe(1)
  })

  test('a draining backend server gets nothing new and its queue is refused at once', () => {
    const db = open(1)
    offerAll(db, [call('a'), call('b')])
    const draining = { slotsCount: 1, acceptsWork: true, draining: true }
    expect(show(gate.setCapacity(db, draining, 1))).toEqual(['refuse b draining'])
    expect(show(gate.offer(db, call('c'), 1))).toEqual(['refuse c draining'])
    expect(gate.release(db, 'a', ReleaseKind.Done, 1, 2)).toEqual([])
  })

  test('refusals by the backend server lower the limit, which is whole again within 1 s', () => {
    const db = open(10)
    for (let nowMs = 0; nowMs < 1000; nowMs += 100) {
      gate.offer(db, call(`a${nowMs}`), nowMs)
      gate.release(db, `a${nowMs}`, ReleaseKind.Shed, 0, nowMs)
    }
    expect(gate.reading(db, 999).limitCount).toBe(2)
    expect(gate.reading(db, 1900).limitCount).toBe(10)
  })

  test('a tenfold service time is forgotten within 1 s, also when it refused every call', () => {
    const db = open(1)
    for (let i = 0; i < 40; i++) {
      gate.offer(db, call(`n${i}`), i)
      gate.release(db, `n${i}`, ReleaseKind.Done, i < 20 ? 50 : 500, i)
    }
    expect(show(gate.offer(db, call('s', { deadlineAtMs: 239 }), 39))).toEqual(['refuse s deadline_too_short'])
    expect(show(gate.offer(db, call('t', { deadlineAtMs: 1139 }), 1039))).toEqual(['start t'])
  })

  test('a saturated window reports a cut that parts the calls the slots can take from the rest', () => {
    const db = open(2, { queueCapacityCount: 2 })
    for (let i = 0; i < 100; i++) {
      const started = gate.offer(db, call(`c${i}`, { level: i }), 0).some(event => event.kind === 'start')
      if (started) gate.release(db, `c${i}`, ReleaseKind.Done, 1, 0)
      if (i === 19) offerAll(db, [call('x', { level: 200 }), call('y', { level: 201 })])
    }
    const { cutLevel, saturated } = gate.reading(db, 100)
    expect([saturated, cutLevel > 20 && cutLevel < 30]).toEqual([true, true])
    expect(gate.reading(db, 300)).toMatchObject({ saturated: false, cutLevel: LEVEL_WORST })
  })
})

describe('chain cuts', () => {
  const passes = (db: AdmissionDb, level: number, nowMs: number, random = 0.5): boolean =>
    gate.passesChain(db, 'invoicing', 'book', level, nowMs, () => random)

  test('learned cuts refuse worse root requests, let a few probes through and expire', () => {
    const db = open(1, { chainCutTtlMs: 500 })
    for (let i = 0; i < 60; i++) gate.learnCut(db, 'invoicing', 'book', 60, 0)
    expect([passes(db, 60, 0), passes(db, 62, 0), passes(db, 62, 0, 0.001)]).toEqual([true, false, true])
    expect([passes(db, 200, 250), passes(db, 255, 500)]).toEqual([false, true])
  })

  test('a cut for one route leaves other routes alone, and the setting switches it off', () => {
    for (const chainAdmission of [true, false]) {
      const db = open(1, { chainAdmission })
      for (let i = 0; i < 60; i++) gate.learnCut(db, 'invoicing', 'book', 60, 0)
      expect(passes(db, 100, 0)).toBe(!chainAdmission)
      expect(gate.passesChain(db, 'invoicing', 'list', 100, 0, () => 0.5)).toBe(true)
    }
  })
})
