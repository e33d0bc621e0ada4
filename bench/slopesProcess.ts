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
import { leaseRequestParams } from '../src/node/leaseMessages.js'
import { encodeMessage } from '../src/node/peerMessages.js'
import { BackendServer } from '../src/standins/backendServer.js'
import { ServiceTimeKind } from '../src/standins/backendTypes.js'
import { ConfigService, createConfigServer } from '../src/standins/configService.js'
import { listenOn } from '../src/standins/httpTools.js'
import { printSlope, spreadOf, type Point, type Spread } from './slopesFit.js'
import { DESIGN_SIZE, OWN_DATA_CENTRE, OWN_NODE, OWN_SERVICE, valuesOf, type FleetSize } from './slopesValues.js'

const REPEATS_COUNT = 3
const PAIRS_COUNT = 3
const WINDOW_MS = 1_000
const SEND_STEP_MS = 5
const WARM_UP_MS = 3_000
const SETTLE_MS = 1_000
const NODE_MAIN = new URL('../src/cli/nodeMain.js', import.meta.url)
// With fewer nodes in its data centre, the reads of the platform would hide what is measured.
const SMALL: FleetSize = { peersCount: 620, servicesCount: 4, documentsCount: 4, callersCount: 4, dataCentresCount: 31 }

async function freePort (): Promise<number> {
  const server = createServer()
  await listenOn(server, '127.0.0.1:0')
  const { port } = server.address() as AddressInfo
  server.close()
  await once(server, 'close')
  return port
}

interface Memory {
  readonly residentMb: number
  /** Resident memory that is not a file shared between processes, such as the text of the binary. */
  readonly privateMb: number
}

interface Load {
  readonly cpuUsPerS: number
  readonly latencyP50Ms: number
  readonly latencyP99Ms: number
}

/** A peer that announces all values and lets the node pull them, as the nodes of a running fleet do. */
class ValuesPeer {
  readonly #socket = createSocket('udp4')
  readonly #marks: ValueSummary[]
  readonly server: Server
  servedCount = 0

  constructor (values: readonly PublishedValue[]) {
    const db = documentsDefinition.createDb(documentsDefinition.defaults)
    for (const value of values) documentsDefinition.offer(db, value, 0)
    this.#marks = documentsDefinition.summariesOfKeys(db, values.map(value => value.key))
    this.server = createServer((request, response) => {
      const { pathname } = new URL(request.url ?? '', 'http://peer')
      const value = documentsDefinition.valueOf(db, decodeURIComponent(pathname.slice('/ragwortspur/values/'.length)))
      this.servedCount += 1
      response.end(JSON.stringify({ key: value?.key, revision: value?.revision, value: value?.text }))
    })
  }

  announce (controlPort: number): void {
    const { port } = this.server.address() as AddressInfo
    for (const text of encodeMessage({ kind: 'marks', marks: this.#marks, callPort: port })) {
      this.#socket.send(text, controlPort, '127.0.0.1')
    }
  }

  close (): void {
    this.#socket.close()
  }
}

/** One node process with a backend server and a configuration service inside this process. */
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
      onRun: () => {}
    })
    const values = valuesOf(size)
    const peer = new ValuesPeer(values)
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
    await node.#untilLearned(peer)
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

  /** Processor time of all threads since the start, in microseconds. */
  cpuUs (): number {
    const folder = `/proc/${this.#child.pid}/task`
    return readdirSync(folder).reduce((sum, thread) => {
      return sum + Number(readFileSync(`${folder}/${thread}/schedstat`, 'utf8').split(' ')[0]) / 1_000
    }, 0)
  }

  memory (): Memory {
    const text = readFileSync(`/proc/${this.#child.pid}/status`, 'utf8')
    const megabytes = (field: string): number => Number(new RegExp(`${field}:\\s+(\\d+)`).exec(text)?.[1]) / 1024
    return { residentMb: megabytes('VmRSS'), privateMb: megabytes('RssAnon') }
  }

  /** Sends calls at an even rate for one window. */
  async load (callsPerS: number, durationMs = WINDOW_MS): Promise<Load> {
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
    const at = (part: number): number => latencies[Math.floor(part * (latencies.length - 1))] ?? 0
    return { cpuUsPerS, latencyP50Ms: at(0.5), latencyP99Ms: at(0.99) }
  }

  /** Waits until the node serves and pulls nothing more. */
  async #untilLearned (peer: ValuesPeer): Promise<void> {
    for (let attempt = 0, before = 0; attempt < 60; attempt += 1) {
      peer.announce(this.controlPort)
      await sleep(300)
      const isServing = await this.#call().then(() => true, () => false)
      if (isServing && peer.servedCount === before) return peer.close()
      before = peer.servedCount
    }
    throw new Error('the node does not serve')
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

async function repeated<T> (read: () => Promise<T>, timesCount = REPEATS_COUNT): Promise<T[]> {
  const readings: T[] = []
  for (let at = 0; at < timesCount; at += 1) readings.push(await read())
  return readings
}

/** The two nodes are loaded in turn, so that other load on the machine meets both alike. */
async function measureCalls (): Promise<void> {
  const off = await MeasuredNode.start(SMALL, 'off')
  const on = await MeasuredNode.start(SMALL, 'on')
  const points: Record<'off' | 'on' | 'difference', Point[]> = { off: [], on: [], difference: [] }
  const memory: Point[] = []
  await Promise.all([off.load(800, WARM_UP_MS), on.load(800, WARM_UP_MS)])
  for (const x of [100, 200, 400, 800]) {
    const pairs = await repeated(async () => ({
      off: (await off.load(x)).cpuUsPerS, on: (await on.load(x)).cpuUsPerS
    }), PAIRS_COUNT)
    points.off.push({ x, y: spreadOf(pairs.map(pair => pair.off)) })
    points.on.push({ x, y: spreadOf(pairs.map(pair => pair.on)) })
    points.difference.push({ x, y: spreadOf(pairs.map(pair => pair.on - pair.off)) })
    memory.push({ x, y: spreadOf([on.memory().residentMb]) })
  }
  printSlope('process time, control off, one hop', 'us/s', 'call/s', points.off)
  printSlope('process time, control on, one hop', 'us/s', 'call/s', points.on)
  printSlope('process time of decisions, on less off', 'us/s', 'call/s', points.difference)
  printSlope('resident memory, control on', 'MB', 'call/s', memory)
  await Promise.all([off.stop(), on.stop()])
}

async function openConnections (port: number, count: number): Promise<Socket[]> {
  const sockets = Array.from({ length: count }, () => connect(port, '127.0.0.1'))
  await Promise.all(sockets.map(async socket => {
    if (socket.connecting) await once(socket, 'connect')
    // A connection that has carried a call keeps its parser.
    socket.write('GET /ragwortspur/ping HTTP/1.1\r\nhost: node\r\n\r\n')
    await once(socket, 'data')
  }))
  return sockets
}

async function measureConnections (): Promise<void> {
  const node = await MeasuredNode.start(SMALL, 'on')
  const memory: Point[] = []
  const time: Point[] = []
  const sockets: Socket[] = []
  for (const x of [0, 250, 500, 1_000, 2_000]) {
    sockets.push(...await openConnections(node.callPort, x - sockets.length))
    const readings = await repeated(async () => ({ ...await node.load(0, 800), ...node.memory() }))
    memory.push({ x, y: spreadOf(readings.map(one => one.residentMb)) })
    time.push({ x, y: spreadOf(readings.map(one => one.cpuUsPerS)) })
  }
  printSlope('resident memory against open connections', 'MB', 'connection', memory)
  printSlope('process time against open connections', 'us/s', 'connection', time)
  for (const socket of sockets) socket.destroy()
  await node.stop()
}

/** Sends lease requests as the nodes of a data centre do, and waits for the window to pass. */
async function sendLeaseRequests (node: MeasuredNode, perS: number, durationMs = WINDOW_MS): Promise<number> {
  const socket = createSocket('udp4')
  const before = node.cpuUs()
  const startMs = performance.now()
  for (let sentCount = 0; performance.now() < startMs + durationMs;) {
    for (; sentCount < (performance.now() - startMs) * perS / 1_000; sentCount += 1) {
      const request = leaseRequestParams({
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

async function measureLeaseTime (): Promise<void> {
  const node = await MeasuredNode.start(SMALL, 'on')
  const points: Point[] = []
  await sendLeaseRequests(node, 180, WARM_UP_MS)
  for (const x of [0, 40, 95, 180]) points.push({ x, y: spreadOf(await repeated(() => sendLeaseRequests(node, x))) })
  printSlope('process time against lease requests of others', 'us/s', 'request/s', points)
  await node.stop()
}

async function measureIdle (): Promise<void> {
  const sizes = [SMALL, ...[1_860, 3_720, 5_900].map(peersCount => ({ ...DESIGN_SIZE, peersCount }))]
  const time: Point[] = []
  const resident: Point[] = []
  const unshared: Point[] = []
  for (const size of sizes) {
    const node = await MeasuredNode.start(size, 'on')
    const readings = await repeated(async () => ({ ...await node.load(0), ...node.memory() }))
    const at = (pick: (one: Load & Memory) => number): Point => {
      return { x: size.peersCount, y: spreadOf(readings.map(pick)) }
    }
    time.push(at(one => one.cpuUsPerS))
    resident.push(at(one => one.residentMb))
    unshared.push(at(one => one.privateMb))
    await node.stop()
  }
  printSlope('idle process time', 'us/s', 'peer', time)
  printSlope('idle resident memory', 'MB', 'peer', resident)
  printSlope('idle resident memory without shared files', 'MB', 'peer', unshared)
}

/** Measures real node processes. */
export async function measureProcess (): Promise<void> {
  await measureIdle()
  await measureCalls()
  await measureConnections()
  await measureLeaseTime()
}

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

/** Compares start options at the design size and 400 calls a second. */
export async function measureFlags (): Promise<void> {
  for (const { flags, env } of FLAG_SETS) {
    const node = await MeasuredNode.start(DESIGN_SIZE, 'on', flags, env)
    const idle = node.memory()
    await node.load(400, 4_000)
    const loads = await repeated(() => node.load(400, 2_000))
    const text = ({ min, median, max }: Spread): string => {
      return `${median.toFixed(2)} [${min.toFixed(2)} ${max.toFixed(2)}]`
    }
    const options = [...flags, ...Object.entries(env ?? {}).map(one => one.join('='))].join(' ')
    const memory = node.memory()
    process.stdout.write(`${options || '(none)'}\n` +
      `  idle ${idle.residentMb.toFixed(1)} MB, loaded ${memory.residentMb.toFixed(1)} MB, ` +
      `without shared files ${memory.privateMb.toFixed(1)} MB, ` +
      `p50 ${text(spreadOf(loads.map(one => one.latencyP50Ms)))} ms, ` +
      `p99 ${text(spreadOf(loads.map(one => one.latencyP99Ms)))} ms, ` +
      `time per call ${text(spreadOf(loads.map(one => one.cpuUsPerS / 400)))} us\n`)
    await node.stop()
  }
}
