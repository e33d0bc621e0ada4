import { fork, type ChildProcess } from 'node:child_process'
import { createSocket } from 'node:dgram'
import { once } from 'node:events'
import { readdirSync, readFileSync } from 'node:fs'
import { Agent, createServer, get, type Server } from 'node:http'
import { connect, type AddressInfo, type Socket } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { createJSONRPCRequest } from 'json-rpc-2.0'
import { documentsDefinition } from '../src/core/documents/documentsDefinition.js'
import type { ValueSummary, PublishedValue } from '../src/core/documents/documentsTypes.js'
import { encodeLeaseRequest } from '../src/node/leaseMessages.js'
import { encodeMessage } from '../src/node/peerMessages.js'
import { BackendServer } from '../src/standins/backendServer.js'
import { ServiceTimeKind } from '../src/standins/backendTypes.js'
import { ConfigService, createConfigServer } from '../src/standins/configService.js'
import { listenOn } from '../src/standins/httpTools.js'
import { printSlope, sampleStats, type Point, type SampleStats } from './slopesFit.js'
import { DESIGN_SIZE, OWN_DATA_CENTRE, OWN_NODE, OWN_SERVICE, valuesOf, type FleetSize } from './slopesValues.js'

const REPEATS_COUNT = 3
const PAIRS_COUNT = 3
const MEASUREMENT_WINDOW_MS = 1_000
const SEND_STEP_MS = 5
const WARM_UP_MS = 3_000
const SETTLE_MS = 1_000
const NODE_MAIN = new URL('../src/cli/nodeMain.js', import.meta.url)
// The fewer nodes a data centre has, the more of the platform reads each of them does. With fewer
// peers than these, the cost of the reads would hide what is measured.
const SMALL_SIZE: FleetSize = {
  peersCount: 620, servicesCount: 4, documentsCount: 4, callersCount: 4, dataCentresCount: 31
}

async function freePort (): Promise<number> {
  const server = createServer()
  await listenOn(server, '127.0.0.1:0')
  const { port } = server.address() as AddressInfo
  server.close()
  await once(server, 'close')
  return port
}

interface MemoryReading {
  readonly residentMb: number
  /** Anonymous resident memory, without mapped files that processes share, such as the code of the binary. */
  readonly privateMb: number
}

interface LoadReading {
  readonly cpuUsPerS: number
  readonly latencyP50Ms: number
  readonly latencyP99Ms: number
}

/** A peer that announces all published values by gossip and serves them, as the nodes of a running fleet do. */
class PublishingPeer {
  readonly #socket = createSocket('udp4')
  readonly #summaries: ValueSummary[]
  readonly server: Server
  servedCount = 0

  constructor (values: readonly PublishedValue[]) {
    const db = documentsDefinition.createDb(documentsDefinition.defaults)
    for (const value of values) documentsDefinition.offerValue(db, value, 0)
    this.#summaries = documentsDefinition.summariesOfKeys(db, values.map(value => value.key))
    this.server = createServer((request, response) => {
      const { pathname } = new URL(request.url ?? '', 'http://peer')
      const value = documentsDefinition.valueOf(db, decodeURIComponent(pathname.slice('/ragwortspur/values/'.length)))
      this.servedCount += 1
      response.end(JSON.stringify({ key: value?.key, revision: value?.revision, value: value?.text }))
    })
  }

  /** Sends the summaries of all values to the control port of a node. */
  announce (controlPort: number): void {
    const { port } = this.server.address() as AddressInfo
    for (const text of encodeMessage({ kind: 'marks', marks: this.#summaries, callPort: port })) {
      this.#socket.send(text, controlPort, '127.0.0.1')
    }
  }

  close (): void {
    this.#socket.close()
  }
}

/** A node process, with its backend server and configuration service in the process that measures. */
class MeasuredNode {
  readonly #child: ChildProcess
  readonly #servers: readonly Server[]
  readonly #agent = new Agent({ keepAlive: true, maxSockets: 64 })
  readonly callPort: number
  readonly controlPort: number

  private constructor (child: ChildProcess, servers: readonly Server[], callPort: number, controlPort: number) {
    this.#child = child
    this.#servers = servers
    this.callPort = callPort
    this.controlPort = controlPort
  }

  static async start (
    size: FleetSize, control: 'on' | 'off', nodeFlags: readonly string[] = [], env: Readonly<Record<string, string>> = {}
  ): Promise<MeasuredNode> {
    const backend = new BackendServer({
      config: {
        service: OWN_SERVICE,
        slots_count: 75,
        connections_count: 2_000,
        queue_count: 1_000,
        cold_start_ms: 0,
        cold_factor: 3,
        seed: 1,
        routes: [{ method: 'GET', path_prefix: '/', service_time_ms: 2, service_time_kind: ServiceTimeKind.Fixed, sub_calls: [] }]
      },
      nodeAddress: undefined,
      onRunEvent: () => {}
    })
    const values = valuesOf(size)
    const peer = new PublishingPeer(values)
    await listenOn(peer.server, '127.0.0.1:0')
    const config = new ConfigService()
    const configServer = createConfigServer(config)
    const [callPort, controlPort, operatorPort] = [await freePort(), await freePort(), await freePort()]
    for (const { key, text } of values) config.publish(key, text)
    const flags = {
      'node-id': OWN_NODE,
      service: OWN_SERVICE,
      'data-centre': OWN_DATA_CENTRE,
      'call-address': `127.0.0.1:${callPort}`,
      'control-address': `127.0.0.1:${controlPort}`,
      'operator-address': `127.0.0.1:${operatorPort}`,
      'backend-address': await listenOn(backend.server, '127.0.0.1:0'),
      'platform-address': await listenOn(configServer, '127.0.0.1:0'),
      control
    }
    const child = fork(NODE_MAIN, Object.entries(flags).flatMap(([name, value]) => [`--${name}`, value]), {
      execArgv: [...nodeFlags], env: { ...process.env, ...env }, stdio: ['ignore', 'ignore', 'inherit', 'ipc']
    })
    const node = new MeasuredNode(child, [backend.server, configServer, peer.server], callPort, controlPort)
    await node.#waitUntilSynced(peer)
    await sleep(SETTLE_MS)
    return node
  }

  async stop (): Promise<void> {
    this.#agent.destroy()
    this.#child.kill('SIGTERM')
    await once(this.#child, 'exit')
    for (const server of this.#servers) {
      server.closeAllConnections()
      server.close()
    }
  }

  /** CPU time of all threads of the node since its start, in microseconds. */
  cpuUs (): number {
    const folder = `/proc/${this.#child.pid}/task`
    return readdirSync(folder).reduce((sum, thread) => {
      return sum + Number(readFileSync(`${folder}/${thread}/schedstat`, 'utf8').split(' ')[0]) / 1_000
    }, 0)
  }

  memory (): MemoryReading {
    const text = readFileSync(`/proc/${this.#child.pid}/status`, 'utf8')
    const megabytes = (field: string): number => Number(new RegExp(`${field}:\\s+(\\d+)`).exec(text)?.[1]) / 1024
    return { residentMb: megabytes('VmRSS'), privateMb: megabytes('RssAnon') }
  }

  /** Sends calls at an even rate and measures CPU time and latency. */
  async runLoad (callsPerS: number, durationMs = MEASUREMENT_WINDOW_MS): Promise<LoadReading> {
    const latencies: number[] = []
    const calls: Array<Promise<void>> = []
    const startMs = performance.now()
    const cpuBefore = this.cpuUs()
    for (let sentCount = 0, nowMs = startMs; nowMs < startMs + durationMs; nowMs = performance.now()) {
      for (const dueCount = (nowMs - startMs) * callsPerS / 1_000; sentCount < dueCount; sentCount += 1) {
        calls.push(this.#call().then(tookMs => { latencies.push(tookMs) }))
      }
      await sleep(SEND_STEP_MS)
    }
    await Promise.all(calls)
    const cpuUsPerS = (this.cpuUs() - cpuBefore) / (performance.now() - startMs) * 1_000
    latencies.sort((a, b) => a - b)
    const latencyAt = (part: number): number => latencies[Math.floor(part * (latencies.length - 1))] ?? 0
    return { cpuUsPerS, latencyP50Ms: latencyAt(0.5), latencyP99Ms: latencyAt(0.99) }
  }

  /** Waits until the node answers calls and has pulled all announced values. */
  async #waitUntilSynced (peer: PublishingPeer): Promise<void> {
    for (let attempt = 0, servedBefore = 0; attempt < 60; attempt += 1) {
      peer.announce(this.controlPort)
      await sleep(300)
      const isServing = await this.#call().then(() => true, () => false)
      if (isServing && peer.servedCount === servedBefore) return peer.close()
      servedBefore = peer.servedCount
    }
    throw new Error('the node did not answer calls or was still pulling values after 60 attempts')
  }

  #call (): Promise<number> {
    const startMs = performance.now()
    return new Promise((resolve, reject) => {
      const headers = { 'ragwortspur-caller': 'caller-1', 'ragwortspur-service': OWN_SERVICE, 'ragwortspur-attempt': '1' }
      get({ host: '127.0.0.1', port: this.callPort, path: '/items/7', headers, agent: this.#agent }, response => {
        response.resume()
        response.once('end', () => {
          if (response.statusCode === 200) resolve(performance.now() - startMs)
          else reject(new Error(`status ${response.statusCode}`))
        })
      }).once('error', reject)
    })
  }
}

async function repeat<T> (read: () => Promise<T>, timesCount = REPEATS_COUNT): Promise<T[]> {
  const readings: T[] = []
  for (let at = 0; at < timesCount; at += 1) readings.push(await read())
  return readings
}

/**
 * Measures CPU time against the call rate, with overload control on and off. The two
 * nodes are loaded in turn, so that other load on the machine affects both alike.
 */
async function measureCalls (): Promise<void> {
  const off = await MeasuredNode.start(SMALL_SIZE, 'off')
  const on = await MeasuredNode.start(SMALL_SIZE, 'on')
  const points: Record<'off' | 'on' | 'difference', Point[]> = { off: [], on: [], difference: [] }
  const memory: Point[] = []
  await Promise.all([off.runLoad(800, WARM_UP_MS), on.runLoad(800, WARM_UP_MS)])
  for (const x of [100, 200, 400, 800]) {
    const pairs = await repeat(async () => ({
      off: (await off.runLoad(x)).cpuUsPerS, on: (await on.runLoad(x)).cpuUsPerS
    }), PAIRS_COUNT)
    points.off.push({ x, y: sampleStats(pairs.map(pair => pair.off)) })
    points.on.push({ x, y: sampleStats(pairs.map(pair => pair.on)) })
    points.difference.push({ x, y: sampleStats(pairs.map(pair => pair.on - pair.off)) })
    memory.push({ x, y: sampleStats([on.memory().residentMb]) })
  }
  printSlope('CPU time, control off, one hop', 'us/s', 'call/s', points.off)
  printSlope('CPU time, control on, one hop', 'us/s', 'call/s', points.on)
  printSlope('CPU time of overload control (on minus off), one hop', 'us/s', 'call/s', points.difference)
  printSlope('resident memory, control on', 'MB', 'call/s', memory)
  await Promise.all([off.stop(), on.stop()])
}

async function openConnections (port: number, count: number): Promise<Socket[]> {
  const sockets = Array.from({ length: count }, () => connect(port, '127.0.0.1'))
  await Promise.all(sockets.map(async socket => {
    if (socket.connecting) await once(socket, 'connect')
    // Each connection carries one request, because the HTTP parser stays allocated afterwards.
    socket.write('GET /ragwortspur/ping HTTP/1.1\r\nhost: node\r\n\r\n')
    await once(socket, 'data')
  }))
  return sockets
}

async function measureConnections (): Promise<void> {
  const node = await MeasuredNode.start(SMALL_SIZE, 'on')
  const memory: Point[] = []
  const cpuTime: Point[] = []
  const sockets: Socket[] = []
  for (const x of [0, 250, 500, 1_000, 2_000]) {
    sockets.push(...await openConnections(node.callPort, x - sockets.length))
    const readings = await repeat(async () => ({ ...await node.runLoad(0, 800), ...node.memory() }))
    memory.push({ x, y: sampleStats(readings.map(one => one.residentMb)) })
    cpuTime.push({ x, y: sampleStats(readings.map(one => one.cpuUsPerS)) })
  }
  printSlope('resident memory against open connections', 'MB', 'connection', memory)
  printSlope('CPU time against open connections', 'us/s', 'connection', cpuTime)
  for (const socket of sockets) socket.destroy()
  await node.stop()
}

/**
 * Sends lease requests at an even rate, as the other nodes of a data centre do, and
 * returns the CPU time of the node in microseconds per second.
 */
async function sendLeaseRequests (
  node: MeasuredNode, perS: number, durationMs = MEASUREMENT_WINDOW_MS
): Promise<number> {
  const socket = createSocket('udp4')
  const before = node.cpuUs()
  const startMs = performance.now()
  for (let sentCount = 0; performance.now() < startMs + durationMs;) {
    for (; sentCount < (performance.now() - startMs) * perS / 1_000; sentCount += 1) {
      const request = encodeLeaseRequest({
        kind: 'lease_request',
        requestId: sentCount,
        dataCentre: OWN_DATA_CENTRE,
        nodeId: 'vm-00031',
        listRevision: 1,
        untilLabelMs: Date.now() + 10_000,
        baseRevision: 1
      })
      const text = JSON.stringify(createJSONRPCRequest(`a1-${sentCount}`, 'lease_request', request))
      socket.send(text, node.controlPort, '127.0.0.1')
    }
    await sleep(SEND_STEP_MS)
  }
  socket.close()
  return (node.cpuUs() - before) / (performance.now() - startMs) * 1_000
}

async function measureLeaseCpu (): Promise<void> {
  const node = await MeasuredNode.start(SMALL_SIZE, 'on')
  const points: Point[] = []
  await sendLeaseRequests(node, 180, WARM_UP_MS)
  for (const x of [0, 40, 95, 180]) points.push({ x, y: sampleStats(await repeat(() => sendLeaseRequests(node, x))) })
  printSlope('CPU time against lease requests of other nodes', 'us/s', 'request/s', points)
  await node.stop()
}

async function measureIdle (): Promise<void> {
  const sizes = [SMALL_SIZE, ...[1_860, 3_720, 5_900].map(peersCount => ({ ...DESIGN_SIZE, peersCount }))]
  const cpuTime: Point[] = []
  const resident: Point[] = []
  const privateMemory: Point[] = []
  for (const size of sizes) {
    const node = await MeasuredNode.start(size, 'on')
    const readings = await repeat(async () => ({ ...await node.runLoad(0), ...node.memory() }))
    const at = (pick: (one: LoadReading & MemoryReading) => number): Point => {
      return { x: size.peersCount, y: sampleStats(readings.map(pick)) }
    }
    cpuTime.push(at(one => one.cpuUsPerS))
    resident.push(at(one => one.residentMb))
    privateMemory.push(at(one => one.privateMb))
    await node.stop()
  }
  printSlope('idle CPU time', 'us/s', 'peer', cpuTime)
  printSlope('idle resident memory', 'MB', 'peer', resident)
  printSlope('idle resident memory without shared files', 'MB', 'peer', privateMemory)
}

/**
 * Measures the CPU time and memory of real node processes against the numbers of
 * peers, calls, connections and lease requests.
 */
export async function measureProcess (): Promise<void> {
  await measureIdle()
  await measureCalls()
  await measureConnections()
  await measureLeaseCpu()
}

/** Node.js flags and environment variables of a node process. */
interface FlagSet {
  readonly flags: readonly string[]
  readonly env?: Readonly<Record<string, string>>
}

const FLAG_SETS: readonly FlagSet[] = [
  { flags: [] },
  { flags: ['--max-semi-space-size=1'] },
  { flags: ['--max-semi-space-size=4'] },
  { flags: ['--max-old-space-size=48'] },
  { flags: ['--optimize-for-size'] },
  { flags: ['--single-threaded'] },
  { flags: ['--v8-pool-size=1'], env: { UV_THREADPOOL_SIZE: '1' } },
  {
    flags: ['--max-semi-space-size=1', '--max-old-space-size=64', '--v8-pool-size=1'],
    env: { UV_THREADPOOL_SIZE: '1' }
  }
]

/** Compares Node.js start options at the design size and 400 calls per second. */
export async function measureFlags (): Promise<void> {
  for (const { flags, env } of FLAG_SETS) {
    const node = await MeasuredNode.start(DESIGN_SIZE, 'on', flags, env)
    const idle = node.memory()
    await node.runLoad(400, 4_000)
    const loads = await repeat(() => node.runLoad(400, 2_000))
    const text = ({ min, median, max }: SampleStats): string => {
      return `${median.toFixed(2)} [${min.toFixed(2)} ${max.toFixed(2)}]`
    }
    const options = [...flags, ...Object.entries(env ?? {}).map(one => one.join('='))].join(' ')
    const memory = node.memory()
    process.stdout.write(`${options || '(none)'}\n` +
      `  idle ${idle.residentMb.toFixed(1)} MB, loaded ${memory.residentMb.toFixed(1)} MB, ` +
      `without shared files ${memory.privateMb.toFixed(1)} MB, ` +
      `p50 ${text(sampleStats(loads.map(one => one.latencyP50Ms)))} ms, ` +
      `p99 ${text(sampleStats(loads.map(one => one.latencyP99Ms)))} ms, ` +
      `CPU time per call ${text(sampleStats(loads.map(one => one.cpuUsPerS / 400)))} us\n`)
    await node.stop()
  }
}
