import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { ManualClock, type Millis } from '../src/clock/clock.js'
import { routingDefinition as routing } from '../src/core/routing/routingDefinition.js'
import { PeerResult, type NodeTarget } from '../src/core/routing/routingTypes.js'

// Simulates load-balancing policies with one node that takes ten times as long and one
// that reports itself ready but refuses every call at once. Refused calls are not
// resent, and the load is 83% of the capacity of the other nodes.

const NODES_COUNT = 10
const SLOTS_COUNT = 20
const CALLS_COUNT = 40_000
const CALLS_PER_MS = 12
const SERVICE_MS = 10
const SLOW_FACTOR = 10
const SLOW_ID = 'vm0'
const ALWAYS_REFUSING_ID = 'vm1'

enum Policy {
  Random = 'random',
  LeastOutstanding = 'least outstanding',
  ChoiceOfTwo = 'choice of two'
}

interface CallCompletion {
  readonly atMs: Millis
  readonly nodeId: string
  readonly result: PeerResult
  readonly tookMs: Millis
}

interface Row {
  policy: Policy
  seed: number
  answeredRatio: number
  refusedByLiarRatio: number
  refusedBySlowRatio: number
  meanMs: number
  p99Ms: number
}

const targets: readonly NodeTarget[] = Array.from({ length: NODES_COUNT }, (_, n) => ({
  nodeId: `vm${n}`, address: `10.0.0.${n}:1`, serviceName: 'stock', dataCentre: 'tartu'
}))
const request = { serviceName: 'stock', ownDataCentre: 'tartu', triedNodeIds: [] }

/** Calls arrive at an even rate; a node has a fixed number of slots and refuses calls when they are taken. */
class RoutingSimulation {
  readonly #policy: Policy
  readonly #random: () => number
  readonly #clock = new ManualClock()
  readonly #db = routing.createDb({ ...routing.defaults })
  readonly #outstanding = new Map(targets.map(target => [target.nodeId, 0]))
  /** Completions of the calls in flight, by the step in which they happen. */
  readonly #completionsByStep = new Map<number, CallCompletion[]>()
  readonly #latencies: Millis[] = []
  readonly #refused = new Map<string, number>()

  constructor (policy: Policy, seed: number) {
    const generator = xoroshiro128plus(seed)
    this.#random = () => uniformFloat64(generator)
    this.#policy = policy
    routing.setTargets(this.#db, targets, 0)
  }

  simulate (seed: number): Row {
    const steps = Math.ceil(CALLS_COUNT / CALLS_PER_MS) + SERVICE_MS * SLOW_FACTOR * 4
    for (let step = 0; step < steps; step++) {
      for (const ending of this.#completionsByStep.get(step) ?? []) this.#completeCall(ending)
      if (step * CALLS_PER_MS < CALLS_COUNT) for (let n = 0; n < CALLS_PER_MS; n++) this.#sendCall(step)
      this.#clock.advanceMs(1)
    }
    const sorted = this.#latencies.sort((a, b) => a - b)
    return {
      policy: this.#policy,
      seed,
      answeredRatio: sorted.length / CALLS_COUNT,
      refusedByLiarRatio: (this.#refused.get(ALWAYS_REFUSING_ID) ?? 0) / CALLS_COUNT,
      refusedBySlowRatio: (this.#refused.get(SLOW_ID) ?? 0) / CALLS_COUNT,
      meanMs: sorted.reduce((sum, each) => sum + each, 0) / sorted.length,
      p99Ms: sorted[Math.floor(sorted.length * 0.99)] ?? NaN
    }
  }

  #sendCall (step: number): void {
    const nodeId = this.#chooseNode()
    routing.recordSend(this.#db, nodeId, step)
    const busyCount = this.#outstanding.get(nodeId) ?? 0
    this.#outstanding.set(nodeId, busyCount + 1)
    const isRefused = nodeId === ALWAYS_REFUSING_ID || busyCount >= SLOTS_COUNT
    const meanMs = SERVICE_MS * (nodeId === SLOW_ID ? SLOW_FACTOR : 1)
    const tookMs = isRefused ? 1 : 1 + Math.ceil(meanMs * (0.5 + this.#random()))
    const result = isRefused ? PeerResult.RefusedOverload : PeerResult.Answered
    const completion = { atMs: step + tookMs, nodeId, result, tookMs }
    const completionsOfStep = this.#completionsByStep.get(completion.atMs)
    if (completionsOfStep === undefined) this.#completionsByStep.set(completion.atMs, [completion])
    else completionsOfStep.push(completion)
  }

  #completeCall ({ nodeId, result, tookMs, atMs }: CallCompletion): void {
    this.#outstanding.set(nodeId, (this.#outstanding.get(nodeId) ?? 0) - 1)
    routing.recordResult(this.#db, nodeId, result, tookMs, atMs)
    if (result === PeerResult.Answered) this.#latencies.push(tookMs)
    else this.#refused.set(nodeId, (this.#refused.get(nodeId) ?? 0) + 1)
  }

  #chooseNode (): string {
    if (this.#policy === Policy.ChoiceOfTwo) {
      const choice = routing.chooseNode(this.#db, request, this.#clock.monotonicMs(), this.#random)
      return choice.kind === 'target' ? choice.target.nodeId : targets[0]!.nodeId
    }
    const offset = Math.floor(this.#random() * NODES_COUNT)
    let best = targets[offset]!.nodeId
    if (this.#policy === Policy.Random) return best
    for (let n = 1; n < NODES_COUNT; n++) {
      const nodeId = targets[(offset + n) % NODES_COUNT]!.nodeId
      if (this.#outstanding.get(nodeId)! < this.#outstanding.get(best)!) best = nodeId
    }
    return best
  }
}

/** Measures the mean time in us to choose one of 200 nodes and to record the send and the result. */
function measureChoiceUs (): number {
  const db = routing.createDb(routing.defaults)
  routing.setTargets(db, Array.from({ length: 200 }, (_, n) => ({
    nodeId: `vm${n}`, address: `10.0.1.${n}:1`, serviceName: 'stock', dataCentre: n % 2 === 0 ? 'tartu' : 'parnu'
  })), 0)
  const generator = xoroshiro128plus(1)
  const random = (): number => uniformFloat64(generator)
  const measure = (count: number): number => {
    const startMs = performance.now()
    for (let n = 0; n < count; n++) {
      const choice = routing.chooseNode(db, request, n / 10, random)
      if (choice.kind !== 'target') continue
      routing.recordSend(db, choice.target.nodeId, n / 10)
      routing.recordResult(db, choice.target.nodeId, PeerResult.Answered, 5, n / 10)
    }
    return (performance.now() - startMs) * 1000 / count
  }
  measure(50_000)
  return measure(200_000)
}

const rows = Object.values(Policy).flatMap(policy => [1, 2, 3].map(seed =>
  new RoutingSimulation(policy, seed).simulate(seed)))
console.table(rows.map(row => Object.fromEntries(Object.entries(row).map(([name, value]) => (
  [name, typeof value === 'number' ? Number(value.toFixed(4)) : value]
)))))
console.log(`one choice among 200 nodes, with recording its send and result: ${measureChoiceUs().toFixed(2)} us`)
