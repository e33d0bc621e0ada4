import { Importance, WORST_LEVEL, admissionLevel } from '../coreTypes.js'
import type { AdmissionDb } from './admissionDb.js'
import { admissionDefinition as gate } from './admissionDefinition.js'
import { ReleaseKind, type AdmissionSettings, type GateCall, type GateEvent } from './admissionTypes.js'

function createGate (slotsCount: number, change: Partial<AdmissionSettings> = {}): AdmissionDb {
  const db = gate.createDb({ ...gate.defaults, ...change })
  gate.setCapacity(db, { slotsCount, acceptsWork: true, draining: false }, 0)
  return db
}

function createCall (callId: string, change: Partial<GateCall> = {}): GateCall {
  return { callId, callerName: 'clerks', level: 0, arrivedAtMs: 0, deadlineAtMs: 1e6, routeName: 'book', ...change }
}

function offerAll (db: AdmissionDb, calls: GateCall[], nowMs = 0): GateEvent[] {
  return calls.flatMap(one => gate.offerCall(db, one, nowMs))
}

function formatEvents (events: GateEvent[]): string[] {
  return events.map(event => `${event.kind} ${event.callId}${event.kind === 'refuse' ? ` ${event.reason}` : ''}`)
}

function releaseAllInOrder (db: AdmissionDb, firstId: string): string[] {
  const order: string[] = []
  let id: string | undefined = firstId
  while (id !== undefined) {
    id = gate.releaseSlot(db, id, ReleaseKind.Done, 1, 1).find(event => event.kind === 'start')?.callId
    if (id !== undefined) order.push(id)
  }
  return order
}

const levelAbovePromise = admissionLevel({ withinPromise: false, importance: Importance.Vital, rootHash: 0 })

describe('admission gate', () => {
  test('queued calls start in order of level, and in order of arrival within a level', () => {
    const db = createGate(1)
    const events = offerAll(db, [createCall('a'), createCall('b', { level: 9 }), createCall('c', { level: 3 }), createCall('d', { level: 3 })])
    expect(formatEvents(events)).toEqual(['start a', 'queued b', 'queued c', 'queued d'])
    expect(releaseAllInOrder(db, 'a')).toEqual(['c', 'd', 'b'])
  })

  test.each([
    [{ newestFirst: true }, ['d', 'c', 'b']],
    [{ priorities: false }, ['b', 'c', 'd']]
  ])('start order of queued calls with %j', (settings, order) => {
    const db = createGate(1, settings)
    offerAll(db, [createCall('a'), createCall('b', { level: 9 }), createCall('c', { level: 3 }), createCall('d', { level: 3 })])
    expect(releaseAllInOrder(db, 'a')).toEqual(order)
  })

  test('a full queue evicts its lowest-priority call, so no call is refused while one of lower priority is queued', () => {
    const db = createGate(1, { queueCapacityCount: 2 })
    offerAll(db, [createCall('a'), createCall('b', { level: levelAbovePromise }), createCall('c', { level: 40 })])
    expect(formatEvents(gate.offerCall(db, createCall('d', { level: 5 }), 0))).toEqual(['refuse b above_promise', 'queued d'])
    expect(formatEvents(gate.offerCall(db, createCall('e', { level: 50 }), 0))).toEqual(['refuse e overload'])
    expect(gate.violations(db, 0)).toEqual([])
  })

  test('without priorities a full queue refuses the new call', () => {
    const db = createGate(1, { queueCapacityCount: 1, priorities: false })
    offerAll(db, [createCall('a'), createCall('b', { level: levelAbovePromise })])
    expect(formatEvents(gate.offerCall(db, createCall('c'), 0))).toEqual(['refuse c overload'])
  })

  test('a call whose remaining time is below the estimated service time is refused at once', () => {
    const db = createGate(1)
    gate.offerCall(db, createCall('a'), 0)
    gate.releaseSlot(db, 'a', ReleaseKind.Done, 100, 100)
    expect(gate.expectedServiceMs(db, 'book')).toBe(100)
    expect(formatEvents(gate.offerCall(db, createCall('b', { deadlineAtMs: 199 }), 100))).toEqual(['refuse b deadline_too_short'])
    expect(formatEvents(gate.offerCall(db, createCall('c', { deadlineAtMs: 100 }), 100))).toEqual(['refuse c deadline_passed'])
    expect(formatEvents(gate.offerCall(db, createCall('d', { deadlineAtMs: 200 }), 100))).toEqual(['start d'])
  })

  test('after a pause of more than a minute no call past its deadline is started, even without refuseByDeadline', () => {
    const db = createGate(1, { refuseByDeadline: false })
    offerAll(db, [createCall('a'), createCall('b', { deadlineAtMs: 2000 })])
    expect(formatEvents(gate.releaseSlot(db, 'a', ReleaseKind.Done, 70_000, 70_000))).toEqual(['refuse b deadline_passed'])
  })

  test('polling refuses calls whose deadline passed while they were queued', () => {
    const db = createGate(1)
    offerAll(db, [createCall('a'), createCall('b', { deadlineAtMs: 50 })])
    expect(formatEvents(gate.processQueue(db, 51))).toEqual(['refuse b deadline_passed'])
  })

  test('a cancelled call is removed from the queue, a dispatched one keeps its slot until its release', () => {
    const db = createGate(1)
    offerAll(db, [createCall('a'), createCall('b')])
    expect(formatEvents(gate.cancelQueuedCall(db, 'b', 1))).toEqual(['refuse b caller_cancelled'])
    expect(gate.cancelQueuedCall(db, 'a', 1)).toEqual([])
    expect(gate.getGateReading(db, 1).inFlightCount).toBe(1)
  })

  test('when the backend server drains, queued calls are refused at once and no call starts', () => {
    const db = createGate(1)
    offerAll(db, [createCall('a'), createCall('b')])
    const draining = { slotsCount: 1, acceptsWork: true, draining: true }
    expect(formatEvents(gate.setCapacity(db, draining, 1))).toEqual(['refuse b draining'])
    expect(formatEvents(gate.offerCall(db, createCall('c'), 1))).toEqual(['refuse c draining'])
    expect(gate.releaseSlot(db, 'a', ReleaseKind.Done, 1, 2)).toEqual([])
  })

  test('rejections by the backend server lower the concurrency limit, which is fully restored within 1 s', () => {
    const db = createGate(10)
    for (let nowMs = 0; nowMs < 1000; nowMs += 100) {
      gate.offerCall(db, createCall(`a${nowMs}`), nowMs)
      gate.releaseSlot(db, `a${nowMs}`, ReleaseKind.Shed, 0, nowMs)
    }
    expect(gate.getGateReading(db, 999).limitCount).toBe(2)
    expect(gate.getGateReading(db, 1900).limitCount).toBe(10)
  })

  test('a tenfold service-time estimate decays within 1 s, even if it caused every call to be refused', () => {
    const db = createGate(1)
    for (let i = 0; i < 40; i++) {
      gate.offerCall(db, createCall(`n${i}`), i)
      gate.releaseSlot(db, `n${i}`, ReleaseKind.Done, i < 20 ? 50 : 500, i)
    }
    expect(formatEvents(gate.offerCall(db, createCall('s', { deadlineAtMs: 239 }), 39))).toEqual(['refuse s deadline_too_short'])
    expect(formatEvents(gate.offerCall(db, createCall('t', { deadlineAtMs: 1139 }), 1039))).toEqual(['start t'])
  })

  test('a saturated window reports a load-shedding threshold (cut level) that admits about as many calls as the slots can serve', () => {
    const db = createGate(2, { queueCapacityCount: 2 })
    for (let i = 0; i < 100; i++) {
      const started = gate.offerCall(db, createCall(`c${i}`, { level: i }), 0).some(event => event.kind === 'start')
      if (started) gate.releaseSlot(db, `c${i}`, ReleaseKind.Done, 1, 0)
      if (i === 19) offerAll(db, [createCall('x', { level: 200 }), createCall('y', { level: 201 })])
    }
    const { cutLevel, saturated } = gate.getGateReading(db, 100)
    expect([saturated, cutLevel > 20 && cutLevel < 30]).toEqual([true, true])
    expect(gate.getGateReading(db, 300)).toMatchObject({ saturated: false, cutLevel: WORST_LEVEL })
  })
})

describe('load-shedding thresholds (cut levels) of downstream services', () => {
  const passes = (db: AdmissionDb, level: number, nowMs: number, random = 0.5): boolean =>
    gate.admitsRootRequest(db, 'invoicing', 'book', level, nowMs, () => random)

  test('root requests above a reported cut level are refused except for a few probes, until it expires', () => {
    const db = createGate(1, { cutLevelTtlMs: 500 })
    for (let i = 0; i < 60; i++) gate.recordCutLevel(db, 'invoicing', 'book', 60, 0)
    expect([passes(db, 60, 0), passes(db, 62, 0), passes(db, 62, 0, 0.001)]).toEqual([true, false, true])
    expect([passes(db, 200, 250), passes(db, 255, 500)]).toEqual([false, true])
  })

  test('a cut level applies to its route only, and not at all without chainAdmission', () => {
    for (const chainAdmission of [true, false]) {
      const db = createGate(1, { chainAdmission })
      for (let i = 0; i < 60; i++) gate.recordCutLevel(db, 'invoicing', 'book', 60, 0)
      expect(passes(db, 100, 0)).toBe(!chainAdmission)
      expect(gate.admitsRootRequest(db, 'invoicing', 'list', 100, 0, () => 0.5)).toBe(true)
    }
  })
})
