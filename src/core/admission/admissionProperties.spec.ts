import { deepEqual, ok } from 'node:assert/strict'
import fc from 'fast-check'
import { Reason } from '../coreTypes.js'
import { admissionDefinition as gate } from './admissionDefinition.js'
import { ReleaseKind, type AdmissionSettings, type GateCall, type GateEvent } from './admissionTypes.js'

const RUNS = { seed: 20_261_204, numRuns: 300 }
const ROUTE = { callerName: 'clerks', level: 0, arrivedAtMs: 0, routeName: 'book' }
const OVERLOAD_REASONS = [Reason.Overload, Reason.AbovePromise]

const usually = (usual: boolean): fc.Arbitrary<boolean> => fc.nat(7).map(pick => pick === 0 ? !usual : usual)

const stepArbitrary = fc.oneof(
  { weight: 12, arbitrary: fc.record({ kind: fc.constant('offer' as const), level: fc.nat(255), remainingMs: fc.integer({ min: -5, max: 400 }) }) },
  { weight: 5, arbitrary: fc.record({ kind: fc.constant('release' as const), pick: fc.nat(), how: fc.constantFrom(...Object.values(ReleaseKind)) }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('cancel' as const), pick: fc.nat() }) },
  { weight: 3, arbitrary: fc.record({ kind: fc.constant('wait' as const), stepMs: fc.constantFrom(1, 7, 40, 150, 1200, 70_000) }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('poll' as const) }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('capacity' as const), slotsCount: fc.nat(6), acceptsWork: usually(true), draining: usually(false) }) }
)
type Step = typeof stepArbitrary extends fc.Arbitrary<infer T> ? T : never

/** Checks each decision of the gate against its own record of calls, without access to the gate's state. */
class GateChecker {
  readonly db
  nowMs = 0
  slotsCount = 3
  acceptsWork = true
  offeredCount = 0
  readonly waiting = new Map<string, GateCall>()
  readonly running = new Map<string, number>()
  readonly decided = new Set<string>()

  constructor (settings: Partial<AdmissionSettings>) {
    this.db = gate.createDb({ ...gate.defaults, queueCapacityCount: 6, ...settings })
    this.checkEvents(gate.setCapacity(this.db, { slotsCount: 3, acceptsWork: true, draining: false }, 0))
  }

  applyStep (one: Step): void {
    const pickFrom = (ids: Iterable<string>, pick: number): string => {
      const all = [...ids]
      return all[pick % Math.max(1, all.length)] ?? 'nobody'
    }
    switch (one.kind) {
      case 'offer': return this.offerCall(one.level, one.remainingMs)
      case 'release': {
        const callId = pickFrom(this.running.keys(), one.pick)
        const servedMs = this.nowMs - (this.running.get(callId) ?? 0)
        this.running.delete(callId)
        return this.checkEvents(gate.releaseSlot(this.db, callId, one.how, servedMs, this.nowMs))
      }
      case 'cancel': return this.checkEvents(gate.cancelQueuedCall(this.db, pickFrom(this.waiting.keys(), one.pick), this.nowMs))
      case 'wait':
        this.nowMs += one.stepMs
        return
      case 'poll': return this.checkEvents(gate.processQueue(this.db, this.nowMs))
      case 'capacity':
        this.slotsCount = one.slotsCount
        this.acceptsWork = one.acceptsWork && !one.draining && one.slotsCount > 0
        this.checkEvents(gate.setCapacity(this.db, one, this.nowMs))
    }
  }

  offerCall (level: number, remainingMs: number): void {
    const call = { callId: `c${this.offeredCount++}`, callerName: 'clerks', level, arrivedAtMs: this.nowMs, deadlineAtMs: this.nowMs + remainingMs, routeName: 'book' }
    this.waiting.set(call.callId, call)
    const events = gate.offerCall(this.db, call, this.nowMs)
    ok(events.filter(event => event.callId === call.callId).length === 1, `${call.callId} did not get exactly one event`)
    this.checkEvents(events)
  }

  checkEvents (events: GateEvent[]): void {
    for (const event of events) {
      const call = this.waiting.get(event.callId)
      ok(!this.decided.has(event.callId), `${event.callId} was decided twice`)
      if (event.kind === 'queued' || call === undefined) continue
      this.decided.add(event.callId)
      this.waiting.delete(event.callId)
      if (event.kind === 'start') this.checkStart(call)
      else if (OVERLOAD_REASONS.includes(event.reason)) this.checkOverloadRefusal(call)
    }
    if (this.acceptsWork) this.checkNoIdleSlots()
    deepEqual(gate.violations(this.db, this.nowMs), [])
  }

  checkStart (call: GateCall): void {
    this.running.set(call.callId, this.nowMs)
    ok(this.acceptsWork, `${call.callId} started while the backend server accepts no work`)
    ok(this.running.size <= this.slotsCount, `${this.running.size} calls in ${this.slotsCount} slots`)
    ok(call.deadlineAtMs > this.nowMs, `${call.callId} started after its deadline`)
  }

  checkOverloadRefusal (refused: GateCall): void {
    const lowerPriority = [...this.waiting.values()].filter(call => call.level > refused.level)
    ok(lowerPriority.length === 0, `${refused.callId} was refused while ${lowerPriority[0]?.callId} of lower priority was queued`)
  }

  checkNoIdleSlots (): void {
    const { limitCount, queuedCount } = gate.getGateReading(this.db, this.nowMs)
    ok(queuedCount === this.waiting.size, `${queuedCount} of ${this.waiting.size} calls queued`)
    ok(queuedCount === 0 || this.running.size >= limitCount, `${queuedCount} calls are queued although a slot is free`)
  }
}

function runSteps (sequence: Step[], settings: Partial<AdmissionSettings> = {}): GateChecker {
  const checker = new GateChecker(settings)
  for (const one of sequence) checker.applyStep(one)
  return checker
}

const stepsArbitrary = fc.array(stepArbitrary, { minLength: 40, maxLength: 120, size: 'max' })

describe('admission properties', () => {
  test('limits, priority order, deadlines and one decision per call hold in random sequences with pauses and capacity changes', () => {
    fc.assert(fc.property(stepsArbitrary, sequence => { runSteps(sequence) }), RUNS)
  })

  test.each([
    { newestFirst: true }, { refuseByDeadline: false }, { adaptiveLimit: false }
  ])('the same properties hold with %j, which only affects goodput', settings => {
    fc.assert(fc.property(stepsArbitrary, sequence => { runSteps(sequence, settings) }), RUNS)
  })

  test('1 s after any sequence the concurrency limit is fully restored', () => {
    fc.assert(fc.property(stepsArbitrary, sequence => {
      const { db, running, nowMs } = runSteps(sequence)
      for (const callId of running.keys()) gate.releaseSlot(db, callId, ReleaseKind.Cancelled, 0, nowMs)
      gate.setCapacity(db, { slotsCount: 6, acceptsWork: true, draining: false }, nowMs)
      expect(gate.getGateReading(db, nowMs + 1000).limitCount).toBe(6)
    }), RUNS)
  })

  const counts = fc.integer({ min: 16, max: 100 })

  test('1 s after a tenfold service time a call with twice the usual time left is started', () => {
    fc.assert(fc.property(fc.integer({ min: 1, max: 60 }), counts, counts, (usualMs, usualCount, slowCount) => {
      const { db } = runSteps([])
      for (let i = 0; i < usualCount + slowCount; i++) {
        gate.offerCall(db, { ...ROUTE, callId: `c${i}`, deadlineAtMs: 1e6 }, 0)
        gate.releaseSlot(db, `c${i}`, ReleaseKind.Done, i < usualCount ? usualMs : 10 * usualMs, 0)
      }
      const last = { ...ROUTE, callId: 'last', deadlineAtMs: 1000 + 2 * usualMs }
      expect(gate.offerCall(db, last, 1000)).toEqual([{ kind: 'start', callId: 'last' }])
    }), RUNS)
  })
})
