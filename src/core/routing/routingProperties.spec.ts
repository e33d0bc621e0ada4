import fc from 'fast-check'
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import type { RoutingDb } from './routingDb.js'
import { routingDefinition as routing } from './routingDefinition.js'
import { PeerResult, type NodeTarget } from './routingTypes.js'

const PROPERTY_RUNS = { seed: 31, numRuns: 300 }
const DRAIN_MARK_TTL_MS = routing.defaults.drainMarkTtlMs
const ALL_TARGETS: readonly NodeTarget[] = Array.from({ length: 9 }, (_, n) => ({
  nodeId: `vm${n}`,
  address: `10.0.0.${n}:1`,
  serviceName: n < 7 ? 'stock' : 'invoicing',
  dataCentre: ['tartu', 'tallinn', 'parnu'][n % 3]!
}))

const nodeIds = fc.constantFrom(...ALL_TARGETS.map(target => target.nodeId))
const routingSteps = fc.oneof(
  { weight: 8, arbitrary: fc.record({ kind: fc.constant('call' as const), service: fc.constantFrom('stock', 'invoicing'), tried: fc.array(nodeIds, { maxLength: 3 }) }) },
  { weight: 8, arbitrary: fc.record({ kind: fc.constant('result' as const), at: fc.nat(50), result: fc.constantFrom(...Object.values(PeerResult)) }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('failures' as const), id: nodeIds }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('drain' as const), id: nodeIds }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('ready' as const), id: nodeIds }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('list' as const), listed: fc.subarray([...ALL_TARGETS]) }) },
  { weight: 3, arbitrary: fc.record({ kind: fc.constant('wait' as const), ms: fc.oneof(fc.nat(50), fc.nat(2000), fc.nat(86_400_000)) }) }
)
type RoutingStep = typeof routingSteps extends fc.Arbitrary<infer Step> ? Step : never

/** Runs random steps against the routing module and checks its choices against a simple model. */
class RoutingModel {
  readonly db: RoutingDb = routing.createDb(routing.defaults)
  readonly random: () => number
  readonly drainedAtMs = new Map<string, number>()
  readonly outstandingCalls: Array<{ id: string, sentMs: number }> = []
  listedTargets: readonly NodeTarget[] = ALL_TARGETS
  nowMs = 0

  constructor (seed: number) {
    const generator = xoroshiro128plus(seed)
    this.random = () => uniformFloat64(generator)
    routing.setTargets(this.db, ALL_TARGETS, 0)
  }

  runStep (step: RoutingStep): void {
    if (step.kind === 'wait') this.nowMs += step.ms
    else if (step.kind === 'call') this.startCall(step.service, step.tried)
    else if (step.kind === 'drain') this.markDraining(step.id)
    else if (step.kind === 'failures') this.failThreeCalls(step.id)
    else if (step.kind === 'list') this.setTargets(step.listed)
    else if (step.kind === 'result') this.finishCall(step.at, step.result)
    else {
      routing.clearDraining(this.db, step.id)
      this.drainedAtMs.delete(step.id)
    }
    routing.tick(this.db, this.nowMs)
  }

  startCall (serviceName: string, triedNodeIds: readonly string[]): string {
    const request = { serviceName, ownDataCentre: 'tartu', triedNodeIds }
    const choice = routing.chooseNode(this.db, request, this.nowMs, this.random)
    const eligibleTargets = this.listedTargets.filter(target => target.serviceName === serviceName &&
      !triedNodeIds.includes(target.nodeId) && !this.isDrained(target.nodeId))
    if (choice.kind === 'none') {
      const ejected = routing.peerReadings(this.db, this.nowMs).filter(each => each.ejectedUntilMs !== null)
      expect(eligibleTargets.filter(target => !ejected.some(each => each.nodeId === target.nodeId))).toEqual([])
      return 'none'
    }
    // Not a jest matcher, which would take most of the test's time here.
    if (!eligibleTargets.includes(choice.target)) throw new Error(`${choice.target.nodeId} may not get the call`)
    const id = choice.target.nodeId
    routing.recordSend(this.db, id, this.nowMs)
    this.outstandingCalls.push({ id, sentMs: this.nowMs })
    return id
  }

  finishCall (at: number, result: PeerResult): void {
    const [call] = this.outstandingCalls.splice(at % Math.max(1, this.outstandingCalls.length), 1)
    if (call === undefined) return
    routing.recordResult(this.db, call.id, result, this.nowMs - call.sentMs, this.nowMs)
    const isListed = this.listedTargets.some(target => target.nodeId === call.id)
    if (result === PeerResult.RefusedDraining && isListed) this.drainedAtMs.set(call.id, this.nowMs)
  }

  failThreeCalls (id: string): void {
    for (let n = 0; n < 3; n++) {
      routing.recordSend(this.db, id, this.nowMs)
      if (this.db.peers.has(id)) routing.recordResult(this.db, id, PeerResult.ConnectFailed, 0, this.nowMs)
    }
  }

  markDraining (id: string): void {
    routing.markDraining(this.db, id, this.nowMs)
    if (this.listedTargets.some(target => target.nodeId === id)) this.drainedAtMs.set(id, this.nowMs)
  }

  setTargets (listed: readonly NodeTarget[]): void {
    for (const { nodeId } of listed) {
      if (!this.listedTargets.some(target => target.nodeId === nodeId)) this.drainedAtMs.delete(nodeId)
    }
    this.listedTargets = listed
    routing.setTargets(this.db, listed, this.nowMs)
  }

  isDrained (id: string): boolean {
    return this.nowMs < (this.drainedAtMs.get(id) ?? -Infinity) + DRAIN_MARK_TTL_MS
  }
}

describe('routing over random sequences of results, drain marks, lists and clock jumps', () => {
  test('no draining, already tried or unlisted node gets a call, and an eligible node is always found', () => {
    fc.assert(fc.property(fc.integer(), fc.array(routingSteps, { maxLength: 120 }), (seed, all) => {
      const model = new RoutingModel(seed)
      for (const step of all) model.runStep(step)
    }), PROPERTY_RUNS)
  })

  test('at most half of the nodes of a service are ejected, and the counts of outstanding calls are exact', () => {
    fc.assert(fc.property(fc.integer(), fc.array(routingSteps, { maxLength: 120 }), (seed, all) => {
      const model = new RoutingModel(seed)
      for (const step of all) {
        model.runStep(step)
        expect(routing.violations(model.db, model.nowMs)).toEqual([])
        const readings = routing.peerReadings(model.db, model.nowMs)
        for (const service of ['stock', 'invoicing']) {
          const serviceReadings = readings.filter(each => each.serviceName === service)
          expect(serviceReadings.filter(each => each.ejectedUntilMs !== null).length * 2)
            .toBeLessThanOrEqual(serviceReadings.length)
        }
        for (const reading of readings) {
          expect(reading.outstandingCount)
            .toBe(model.outstandingCalls.filter(call => call.id === reading.nodeId).length)
        }
      }
    }), PROPERTY_RUNS)
  })

  test('after any history all nodes of the local data centre get calls again within a second', () => {
    fc.assert(fc.property(fc.integer(), fc.array(routingSteps, { maxLength: 80 }), (seed, all) => {
      const model = new RoutingModel(seed)
      for (const step of all) model.runStep(step)
      model.setTargets(ALL_TARGETS)
      for (const { nodeId } of ALL_TARGETS) model.runStep({ kind: 'ready', id: nodeId })
      // Calls sent before the recovery time out during it and must not delay it.
      const old = model.outstandingCalls.splice(0)
      const counts = new Map<string, number>()
      const startMs = model.nowMs
      for (let n = 0; n < 600; n++) {
        model.nowMs = startMs + n * 2.5
        const id = model.startCall('stock', [])
        if (n >= 2) model.finishCall(0, PeerResult.Answered)
        const late = old.shift()
        if (late !== undefined) {
          routing.recordResult(model.db, late.id, PeerResult.TimedOut, model.nowMs - late.sentMs, model.nowMs)
        }
        if (n >= 400) counts.set(id, (counts.get(id) ?? 0) + 1)
      }
      for (const id of ['vm0', 'vm3', 'vm6']) expect(counts.get(id) ?? 0).toBeGreaterThan(30)
    }), PROPERTY_RUNS)
  })
})
