import fc from 'fast-check'
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import type { RoutingDb } from './routingDb.js'
import { routingDefinition as routing } from './routingDefinition.js'
import { PeerResult, type NodeTarget } from './routingTypes.js'

const RUNS = { seed: 31, numRuns: 300 }
const TTL_MS = routing.defaults.drainMarkTtlMs
const ALL: readonly NodeTarget[] = Array.from({ length: 9 }, (_, n) => ({
  nodeId: `vm${n}`,
  address: `10.0.0.${n}:1`,
  serviceName: n < 7 ? 'stock' : 'invoicing',
  dataCentre: ['tartu', 'tallinn', 'parnu'][n % 3]!
}))

const nodes = fc.constantFrom(...ALL.map(target => target.nodeId))
const steps = fc.oneof(
  { weight: 8, arbitrary: fc.record({ kind: fc.constant('call' as const), service: fc.constantFrom('stock', 'invoicing'), tried: fc.array(nodes, { maxLength: 3 }) }) },
  { weight: 8, arbitrary: fc.record({ kind: fc.constant('result' as const), at: fc.nat(50), result: fc.constantFrom(...Object.values(PeerResult)) }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('failures' as const), id: nodes }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('drain' as const), id: nodes }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('ready' as const), id: nodes }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('list' as const), listed: fc.subarray([...ALL]) }) },
  { weight: 3, arbitrary: fc.record({ kind: fc.constant('wait' as const), ms: fc.oneof(fc.nat(50), fc.nat(2000), fc.nat(86_400_000)) }) }
)
type RoutingStep = typeof steps extends fc.Arbitrary<infer Step> ? Step : never

/** Drives the family and keeps its own simple account of what it may do. */
class Driver {
  readonly db: RoutingDb = routing.createDb(routing.defaults)
  readonly random: () => number
  readonly drained = new Map<string, number>()
  readonly calls: Array<{ id: string, sentMs: number }> = []
  listed: readonly NodeTarget[] = ALL
  nowMs = 0

  constructor (seed: number) {
    const generator = xoroshiro128plus(seed)
    this.random = () => uniformFloat64(generator)
    routing.setTargets(this.db, ALL, 0)
  }

  take (step: RoutingStep): void {
    if (step.kind === 'wait') this.nowMs += step.ms
    else if (step.kind === 'call') this.call(step.service, step.tried)
    else if (step.kind === 'drain') this.drain(step.id)
    else if (step.kind === 'failures') this.failures(step.id)
    else if (step.kind === 'list') this.list(step.listed)
    else if (step.kind === 'result') this.finish(step.at, step.result)
    else {
      routing.clearDraining(this.db, step.id)
      this.drained.delete(step.id)
    }
    routing.tick(this.db, this.nowMs)
  }

  call (serviceName: string, triedNodeIds: readonly string[]): string {
    const request = { serviceName, ownDataCentre: 'tartu', triedNodeIds }
    const choice = routing.choose(this.db, request, this.nowMs, this.random)
    const takers = this.listed.filter(target => target.serviceName === serviceName &&
      !triedNodeIds.includes(target.nodeId) && !this.isDrained(target.nodeId))
    if (choice.kind === 'none') {
      const ejected = routing.readings(this.db, this.nowMs).filter(each => each.ejectedUntilMs !== null)
      expect(takers.filter(target => !ejected.some(each => each.nodeId === target.nodeId))).toEqual([])
      return 'none'
    }
    // A plain check: the matcher takes most of the test's time here.
    if (!takers.includes(choice.target)) throw new Error(`${choice.target.nodeId} may not get the call`)
    const id = choice.target.nodeId
    routing.sent(this.db, id, this.nowMs)
    this.calls.push({ id, sentMs: this.nowMs })
    return id
  }

  finish (at: number, result: PeerResult): void {
    const [call] = this.calls.splice(at % Math.max(1, this.calls.length), 1)
    if (call === undefined) return
    routing.finished(this.db, call.id, result, this.nowMs - call.sentMs, this.nowMs)
    const isListed = this.listed.some(target => target.nodeId === call.id)
    if (result === PeerResult.RefusedDraining && isListed) this.drained.set(call.id, this.nowMs)
  }

  failures (id: string): void {
    for (let n = 0; n < 3; n++) {
      routing.sent(this.db, id, this.nowMs)
      if (this.db.peers.has(id)) routing.finished(this.db, id, PeerResult.ConnectFailed, 0, this.nowMs)
    }
  }

  drain (id: string): void {
    routing.markDraining(this.db, id, this.nowMs)
    if (this.listed.some(target => target.nodeId === id)) this.drained.set(id, this.nowMs)
  }

  list (listed: readonly NodeTarget[]): void {
    for (const { nodeId } of listed) {
      if (!this.listed.some(target => target.nodeId === nodeId)) this.drained.delete(nodeId)
    }
    this.listed = listed
    routing.setTargets(this.db, listed, this.nowMs)
  }

  isDrained (id: string): boolean {
    return this.nowMs < (this.drained.get(id) ?? -Infinity) + TTL_MS
  }
}

describe('routing over random sequences of results, marks, lists and clock jumps', () => {
  test('no leaving, tried or unlisted node gets a call, and a node that may take it is found', () => {
    fc.assert(fc.property(fc.integer(), fc.array(steps, { maxLength: 120 }), (seed, all) => {
      const driver = new Driver(seed)
      for (const step of all) driver.take(step)
    }), RUNS)
  })

  test('never more than half of a service is ejected, and the count of calls is exact', () => {
    fc.assert(fc.property(fc.integer(), fc.array(steps, { maxLength: 120 }), (seed, all) => {
      const driver = new Driver(seed)
      for (const step of all) {
        driver.take(step)
        expect(routing.violations(driver.db, driver.nowMs)).toEqual([])
        const readings = routing.readings(driver.db, driver.nowMs)
        for (const service of ['stock', 'invoicing']) {
          const own = readings.filter(each => each.serviceName === service)
          expect(own.filter(each => each.ejectedUntilMs !== null).length * 2).toBeLessThanOrEqual(own.length)
        }
        for (const reading of readings) {
          expect(reading.outstandingCount).toBe(driver.calls.filter(call => call.id === reading.nodeId).length)
        }
      }
    }), RUNS)
  })

  test('after any history all nodes of the own data centre carry calls again within a second', () => {
    fc.assert(fc.property(fc.integer(), fc.array(steps, { maxLength: 80 }), (seed, all) => {
      const driver = new Driver(seed)
      for (const step of all) driver.take(step)
      driver.list(ALL)
      for (const { nodeId } of ALL) driver.take({ kind: 'ready', id: nodeId })
      // Calls from before the recovery end within it; they say nothing about the nodes any more.
      const old = driver.calls.splice(0)
      const counts = new Map<string, number>()
      const startMs = driver.nowMs
      for (let n = 0; n < 600; n++) {
        driver.nowMs = startMs + n * 2.5
        const id = driver.call('stock', [])
        if (n >= 2) driver.finish(0, PeerResult.Answered)
        const late = old.shift()
        if (late !== undefined) {
          routing.finished(driver.db, late.id, PeerResult.TimedOut, driver.nowMs - late.sentMs, driver.nowMs)
        }
        if (n >= 400) counts.set(id, (counts.get(id) ?? 0) + 1)
      }
      for (const id of ['vm0', 'vm3', 'vm6']) expect(counts.get(id) ?? 0).toBeGreaterThan(30)
    }), RUNS)
  })
})
