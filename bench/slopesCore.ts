import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { ManualClock } from '../src/clock/clock.js'
import type { NodeCoreDb } from '../src/core/nodeCore/nodeCoreDb.js'
import { nodeCoreDefinition } from '../src/core/nodeCore/nodeCoreDefinition.js'
import { BackendStatus, type IncomingCall, type NodeCommand, type NodeEvent } from '../src/core/nodeCore/nodeCoreTypes.js'
import { printSlope, sampleStats, type Point, type SampleStats } from './slopesFit.js'
import {
  DESIGN_SIZE, OWN_DATA_CENTRE, OWN_NODE, OWN_SERVICE, serviceName, valuesOf, vmListOf, type FleetSize
} from './slopesValues.js'

const REPEATS_COUNT = 3
const CALLS_COUNT = 3_000
const WALL_START_MS = 1_800_000_000_000
/** Intervals at which the node process sends ticks to the core and reads from the platform, in ms. */
const TICK_MS = 20
const POLL_MS = 100

/** A node core on a manual clock, with a fleet of a given size and a ready backend server. */
export class SimulatedNodeCore {
  readonly clock = new ManualClock()
  readonly db: NodeCoreDb
  #callsCount = 0

  constructor (size: FleetSize, controlEnabled = true) {
    const generator = xoroshiro128plus(1)
    this.db = nodeCoreDefinition.createDb({
      nodeId: OWN_NODE, incarnation: 'a1', serviceName: OWN_SERVICE, dataCentre: OWN_DATA_CENTRE, controlEnabled
    }, {}, () => uniformFloat64(generator), this.#time())
    for (const value of valuesOf(size)) this.handle({ kind: 'value_received', value })
    this.handle({ kind: 'backend_seen', status: BackendStatus.Ready })
    // Read schedules are built in small steps and shares grow only after 10 s, so the core runs for 20 s first.
    this.runIdle(20_000)
  }

  #time (): { nowMs: number, wallMs: number } {
    return { nowMs: this.clock.monotonicMs(), wallMs: WALL_START_MS + this.clock.monotonicMs() }
  }

  handle (event: NodeEvent): NodeCommand[] {
    return nodeCoreDefinition.handle(this.db, event, this.#time())
  }

  /** Runs the ticks and platform reads of an idle node. Each read is answered as unchanged. */
  runIdle (durationMs: number): void {
    for (let passedMs = 0; passedMs < durationMs; passedMs += TICK_MS) {
      this.clock.advanceMs(TICK_MS)
      this.handle({ kind: 'tick' })
      if (passedMs % POLL_MS === 0) this.answerDuePolls()
    }
  }

  answerDuePolls (): void {
    for (const { key } of nodeCoreDefinition.duePolls(this.db, this.clock.monotonicMs())) {
      this.handle({ kind: 'poll_answered', key, answered: true })
    }
  }

  /** Handles one call from its arrival to its call record. */
  runCall (toService: string): void {
    this.#callsCount += 1
    const callId = `call-${this.#callsCount}`
    const call: IncomingCall = {
      callId,
      source: { kind: 'caller' },
      callerName: 'caller-1',
      serviceName: toService,
      method: 'GET',
      path: '/items/7',
      rootId: callId,
      parentId: '',
      deadlineMs: 1_000,
      idempotencyKey: null,
      attempt: 1,
      requestedImportance: null,
      bodyHash: 0
    }
    if (this.#callsCount % 8 === 0) this.clock.advanceMs(TICK_MS)
    for (const command of this.handle({ kind: 'call_received', call })) this.#answerCommand(command)
  }

  #answerCommand (command: NodeCommand): void {
    if (command.kind !== 'dispatch' && command.kind !== 'forward') return
    const answered = { kind: 'answered', status: 200, body: new Uint8Array(0), tookMs: 2 } as const
    if (command.kind === 'dispatch') {
      const headers = { 'ragwortspur-call': command.callId }
      this.handle({ kind: 'backend_result', callId: command.callId, result: { ...answered, headers } })
      return
    }
    const headers = { 'ragwortspur-outcome': 'done', 'ragwortspur-call': command.callId }
    this.handle({ kind: 'peer_result', callId: command.callId, result: { ...answered, headers } })
  }
}

function collectGarbage (): void {
  if (global.gc === undefined) throw new Error('the heap cannot be measured: start Node.js with --expose-gc')
  global.gc()
  global.gc()
}

/** Mean CPU time of a function in microseconds per run. */
function cpuUs (runsCount: number, run: () => void): number {
  const before = process.cpuUsage()
  for (let index = 0; index < runsCount; index += 1) run()
  const used = process.cpuUsage(before)
  return (used.user + used.system) / runsCount
}

interface CoreReading {
  readonly heapKb: number
  readonly idleUsPerS: number
  readonly pollUs: number
  readonly listChangeUs: number
  readonly drainNoticeUs: number
  readonly executedCallUs: number
  readonly forwardedCallUs: number
}

function measureCoreOnce (size: FleetSize): CoreReading {
  collectGarbage()
  const before = process.memoryUsage().heapUsed
  const core = new SimulatedNodeCore(size)
  collectGarbage()
  const heapKb = (process.memoryUsage().heapUsed - before) / 1024
  let revision = 1
  let isDraining = false
  const otherService = serviceName(size.servicesCount - 1)
  return {
    heapKb,
    idleUsPerS: cpuUs(20, () => core.runIdle(1_000)),
    pollUs: cpuUs(200, () => core.answerDuePolls()),
    listChangeUs: cpuUs(5, () => {
      revision += 1
      core.handle({ kind: 'value_received', value: vmListOf(size, 1, revision) })
    }),
    drainNoticeUs: cpuUs(10, () => {
      isDraining = !isDraining
      core.handle({ kind: 'peer_draining', nodeId: 'vm-00002', isDraining })
    }),
    executedCallUs: cpuUs(CALLS_COUNT, () => core.runCall(OWN_SERVICE)),
    forwardedCallUs: cpuUs(CALLS_COUNT, () => core.runCall(otherService))
  }
}

const UNITS: Readonly<Record<keyof CoreReading, string>> = {
  heapKb: 'KB',
  idleUsPerS: 'us/s',
  pollUs: 'us',
  listChangeUs: 'us',
  drainNoticeUs: 'us',
  executedCallUs: 'us',
  forwardedCallUs: 'us'
}

function measureCoreRepeatedly (size: FleetSize): Record<keyof CoreReading, SampleStats> {
  const readings = Array.from({ length: REPEATS_COUNT }, () => measureCoreOnce(size))
  const fields = Object.keys(UNITS) as Array<keyof CoreReading>
  return Object.fromEntries(fields.map(field => [field, sampleStats(readings.map(one => one[field]))])) as
    Record<keyof CoreReading, SampleStats>
}

const SMALL_SIZE: FleetSize = { ...DESIGN_SIZE, peersCount: 620, documentsCount: 20, servicesCount: 20 }

const SIZE_AXES: ReadonlyArray<{
  readonly per: string, readonly sizes: ReadonlyArray<readonly [number, FleetSize]>
}> = [
  {
    per: 'peer',
    sizes: [620, 1_860, 3_720, 5_900].map(count => [count, { ...SMALL_SIZE, peersCount: count }] as const)
  },
  {
    per: 'service',
    sizes: [20, 100, 200, 400].map(count => [count, { ...SMALL_SIZE, servicesCount: count }] as const)
  },
  {
    per: 'document',
    sizes: [20, 100, 200, 400].map(count => [count, { ...SMALL_SIZE, documentsCount: count }] as const)
  },
  {
    per: 'caller with a promise',
    sizes: [10, 100, 400, 1_000].map(count => {
      return [count, { ...SMALL_SIZE, callersCount: count, documentsCount: 1, servicesCount: 1 }] as const
    })
  }
]

/** Runs calls until the code is compiled, so that the first point is not slower than the others. */
function warmUp (): void {
  const core = new SimulatedNodeCore(SMALL_SIZE)
  for (let index = 0; index < 2 * CALLS_COUNT; index += 1) {
    core.runCall(OWN_SERVICE)
    core.runCall(serviceName(1))
  }
}

/**
 * Measures the memory and CPU time of the core against the numbers of peers, services,
 * documents and callers that it holds.
 */
export function measureCore (): void {
  warmUp()
  for (const { per, sizes } of SIZE_AXES) {
    const measured = sizes.map(([x, size]) => ({ x, fields: measureCoreRepeatedly(size) }))
    for (const field of Object.keys(UNITS) as Array<keyof CoreReading>) {
      const points: Point[] = measured.map(({ x, fields }) => ({ x, y: fields[field] }))
      printSlope(`core ${field}`, UNITS[field], per, points)
    }
  }
  const atDesignSize = measureCoreRepeatedly(DESIGN_SIZE)
  for (const field of Object.keys(UNITS) as Array<keyof CoreReading>) {
    const { min, median, max } = atDesignSize[field]
    const text = `${median.toFixed(1)} [${min.toFixed(1)} ${max.toFixed(1)}] ${UNITS[field]}`
    process.stdout.write(`core at design size ${field}: ${text}\n`)
  }
}
