import { spawn, type ChildProcess } from 'node:child_process'
import { once } from 'node:events'
import { readFileSync } from 'node:fs'
import { createServer, type AddressInfo } from 'node:net'
import { loadavg } from 'node:os'
import { createInterface } from 'node:readline'
import { fileURLToPath } from 'node:url'
import { build, type Histogram } from 'hdr-histogram-js'
import { Pool } from 'undici'
import { z } from 'zod'
import { settingsOrExit } from '../src/settings/settings.js'
import { countSetting } from '../src/standins/httpTools.js'

// Added latency and processor time of one hop: the direct call, a bare relay and a
// node take turns in short blocks of one run, so that other load on the machine
// meets all three alike. Each way has its own process; the backend server is shared.

const BLOCK_MS = 200
const CONNECTIONS_COUNT = 4
const WARM_UP_ROUNDS_COUNT = 1
const STEPS_PER_MS = 1_000
const CLOCK_TICK_US = 10_000
const ANSWER_TIMEOUT_MS = 5_000
const SERVICE = 'depot-stock'
const DATA_CENTRE = 'tallinn'

const { settings } = settingsOrExit({
  program: 'latency',
  describe: 'Added latency of a node compared with a bare relay',
  specs: {
    roundsCount: countSetting('Rounds that are measured', '5'),
    roundMs: countSetting('Length of a round in ms, all three ways together', '6000'),
    callsPerS: countSetting('Calls per second', '600'),
    nodeFlags: {
      describe: 'Flags of Node.js for the node, separated by commas',
      schema: z.string(),
      default: '',
      allowed: 'such as --cpu-prof, or empty'
    }
  }
})

const DOCUMENT = JSON.stringify({
  service: SERVICE,
  team: 'stock',
  version: 1,
  backend: { slots_count: 100, connections_count: 200 },
  capacity_calls_per_s: 5000,
  data_centres: [{ name: DATA_CENTRE, weight_ratio: 1 }],
  retry_budget_count: 2,
  routes: [
    { name: 'read', method: 'GET', path_prefix: '/stock', importance: 'high', idempotent: true, deadline_ms: 2000 }
  ],
  callers: [{ name: 'bench', promised_calls_per_s: 5000, max_importance: 'high' }],
  default_caller: { promised_calls_per_s: 1, max_importance: 'normal' }
})

const BACKEND_CONFIG = JSON.stringify({
  service: SERVICE,
  slots_count: 100,
  connections_count: 200,
  routes: [{ method: 'GET', path_prefix: '/stock', service_time_ms: 0, service_time_kind: 'fixed' }]
})

const children: ChildProcess[] = []

function scriptAt (path: string): string {
  return fileURLToPath(new URL(path, import.meta.url))
}

/** Starts a stand-in and returns its process with the address that it logs. */
async function startStandIn (script: string, args: readonly string[]): Promise<{ pid: number, address: string }> {
  const child = spawn(process.execPath, [scriptAt(`../src/standins/${script}`), ...args], { stdio: ['ignore', 'pipe', 'inherit'] })
  children.push(child)
  for await (const line of createInterface({ input: child.stdout })) {
    const address = / address=(\S+)/.exec(line)?.[1]
    if (address !== undefined) return { pid: child.pid!, address }
  }
  throw new Error(`${script} did not start`)
}

async function freeAddress (): Promise<string> {
  const server = createServer().listen(0, '127.0.0.1')
  await once(server, 'listening')
  const { port } = server.address() as AddressInfo
  server.close()
  await once(server, 'close')
  return `127.0.0.1:${port}`
}

/** Publishes the document and a list with the node, and starts the node on them. */
async function startNode (backendAddress: string): Promise<{ pid: number, address: string }> {
  const [address, controlAddress, operatorAddress] = [await freeAddress(), await freeAddress(), await freeAddress()]
  const vms = [{
    vm_id: 'vm-1', service: SERVICE, data_centre: DATA_CENTRE, call_address: address, control_address: controlAddress, state: 'live'
  }]
  const platform = await startPlatform({
    catalogue: JSON.stringify({ services: [SERVICE], data_centres: [DATA_CENTRE] }),
    [`documents/${SERVICE}`]: DOCUMENT,
    [`vms/${DATA_CENTRE}`]: JSON.stringify({ vms })
  })
  const args = [
    '--node-id', 'vm-1', '--service', SERVICE, '--data-centre', DATA_CENTRE, '--call-address', address,
    '--control-address', controlAddress, '--operator-address', operatorAddress,
    '--backend-address', backendAddress, '--platform-address', platform
  ]
  const flags = settings.nodeFlags.split(',').filter(flag => flag !== '')
  // Records go to the null device, so that reading them does not load this process.
  const child = spawn(process.execPath, [...flags, scriptAt('../src/cli/nodeMain.js'), ...args], {
    stdio: ['ignore', 'ignore', 'inherit']
  })
  children.push(child)
  await untilAnswered(address)
  return { pid: child.pid!, address }
}

async function startPlatform (values: Record<string, string>): Promise<string> {
  const child = spawn(process.execPath, [scriptAt('../src/standins/configServiceMain.js')], { stdio: ['ignore', 'pipe', 'inherit'] })
  children.push(child)
  for await (const line of createInterface({ input: child.stdout })) {
    const match = / address=(\S+) .*control_address=(\S+)/.exec(line)
    if (match === null) continue
    for (const [key, value] of Object.entries(values)) {
      const body = JSON.stringify({ publish: { key, value } })
      await fetch(`http://${match[2]}/`, { method: 'POST', body })
    }
    return match[1]!
  }
  throw new Error('the configuration service did not start')
}

async function untilAnswered (address: string): Promise<void> {
  const headers = { 'ragwortspur-caller': 'bench', 'ragwortspur-service': SERVICE }
  for (;;) {
    const status = await fetch(`http://${address}/stock`, { headers }).then(answer => answer.status).catch(() => 0)
    if (status === 200) return
    await new Promise(resolve => { setTimeout(resolve, 50) })
  }
}

/** Processor time that a process has used, in microseconds. */
function cpuUsOf (pid: number): number {
  const fields = readFileSync(`/proc/${pid}/stat`, 'utf8').replace(/^.*\) /, '').split(' ')
  return (Number(fields[11]) + Number(fields[12])) * CLOCK_TICK_US
}

/** One way to the backend server, with what its calls of the present round took. */
class Way {
  readonly name: string
  readonly #pid: number
  readonly #pool: Pool
  #steps: Histogram = build({ numberOfSignificantValueDigits: 3 })
  #cpuUs = 0
  failedCount = 0

  constructor (name: string, { pid, address }: { pid: number, address: string }) {
    this.name = name
    this.#pid = pid
    this.#pool = new Pool(`http://${address}`, { connections: CONNECTIONS_COUNT, pipelining: 1 })
  }

  startRound (): void {
    this.#steps = build({ numberOfSignificantValueDigits: 3 })
    this.#cpuUs = cpuUsOf(this.#pid)
  }

  async send (): Promise<void> {
    const startedMs = performance.now()
    try {
      const { statusCode, body } = await this.#pool.request({
        method: 'GET',
        path: '/stock/lamp-oil',
        headers: { 'ragwortspur-caller': 'bench', 'ragwortspur-service': SERVICE, 'ragwortspur-root': `r${startedMs}` },
        headersTimeout: ANSWER_TIMEOUT_MS
      })
      await body.arrayBuffer()
      if (statusCode !== 200) this.failedCount += 1
      this.#steps.recordValue(Math.round((performance.now() - startedMs) * STEPS_PER_MS))
    } catch {
      this.failedCount += 1
    }
  }

  endRound (): { p50Ms: number, p99Ms: number, cpuUsPerCall: number } {
    return {
      p50Ms: this.#steps.getValueAtPercentile(50) / STEPS_PER_MS,
      p99Ms: this.#steps.getValueAtPercentile(99) / STEPS_PER_MS,
      cpuUsPerCall: (cpuUsOf(this.#pid) - this.#cpuUs) / Math.max(1, this.#steps.totalCount)
    }
  }

  async close (): Promise<void> {
    await this.#pool.destroy()
  }
}

/** Sends calls of one way at an even rate, without waiting for answers, and then waits for all. */
async function runBlock (way: Way): Promise<void> {
  const startedMs = performance.now()
  const sent: Array<Promise<void>> = []
  const dueCount = Math.round(BLOCK_MS * settings.callsPerS / 1000)
  while (sent.length < dueCount) {
    const elapsedMs = performance.now() - startedMs
    while (sent.length < Math.min(dueCount, elapsedMs * settings.callsPerS / 1000)) sent.push(way.send())
    await new Promise(resolve => { setTimeout(resolve, 1) })
  }
  await Promise.all(sent)
}

interface RoundResult {
  readonly relayAddedP99Ms: number
  readonly nodeAddedP99Ms: number
  readonly p99Ratio: number
  readonly p50Ratio: number
  readonly cpuRatio: number
}

async function runRound (ways: readonly Way[], label: string): Promise<RoundResult> {
  for (const way of ways) way.startRound()
  const endsMs = performance.now() + settings.roundMs
  for (let first = 0; performance.now() < endsMs; first++) {
    for (let step = 0; step < ways.length; step++) await runBlock(ways[(first + step) % ways.length]!)
  }
  const [direct, relay, node] = ways.map(way => way.endRound()) as [RoundEnd, RoundEnd, RoundEnd]
  const text = ways.map((way, at) => `${way.name} ${show([direct, relay, node][at]!)}`).join(' | ')
  console.log(`${label}: ${text} | load ${loadavg()[0]!.toFixed(1)}`)
  return {
    relayAddedP99Ms: relay.p99Ms - direct.p99Ms,
    nodeAddedP99Ms: node.p99Ms - direct.p99Ms,
    p99Ratio: (node.p99Ms - direct.p99Ms) / (relay.p99Ms - direct.p99Ms),
    p50Ratio: (node.p50Ms - direct.p50Ms) / (relay.p50Ms - direct.p50Ms),
    cpuRatio: node.cpuUsPerCall / relay.cpuUsPerCall
  }
}

type RoundEnd = ReturnType<Way['endRound']>

function show ({ p50Ms, p99Ms, cpuUsPerCall }: RoundEnd): string {
  return `p50 ${p50Ms.toFixed(3)} p99 ${p99Ms.toFixed(3)} ms, cpu ${cpuUsPerCall.toFixed(0)} us/call`
}

function printSpread (name: string, values: readonly number[]): void {
  const sorted = [...values].sort((a, b) => a - b)
  const middle = sorted[Math.floor(sorted.length / 2)]!
  console.log(`${name}: min ${sorted[0]!.toFixed(3)} median ${middle.toFixed(3)} max ${sorted.at(-1)!.toFixed(3)}`)
}

async function main (): Promise<void> {
  const backend = await startStandIn('backendServerMain.js', ['--config', BACKEND_CONFIG])
  const relay = await startStandIn('relayMain.js', ['--mode', 'http', '--target', backend.address])
  const ways = [
    new Way('direct', backend), new Way('relay', relay), new Way('node', await startNode(backend.address))
  ]
  for (let round = 0; round < WARM_UP_ROUNDS_COUNT; round++) await runRound(ways, 'warm-up')
  const results: RoundResult[] = []
  for (let round = 1; round <= settings.roundsCount; round++) results.push(await runRound(ways, `round ${round}`))
  printSpread('added p99 of the relay in ms', results.map(result => result.relayAddedP99Ms))
  printSpread('added p99 of the node in ms', results.map(result => result.nodeAddedP99Ms))
  printSpread('added p99, node to relay', results.map(result => result.p99Ratio))
  printSpread('added p50, node to relay', results.map(result => result.p50Ratio))
  printSpread('processor time, node to relay', results.map(result => result.cpuRatio))
  console.log(`failed calls: ${ways.map(way => `${way.name} ${way.failedCount}`).join(', ')}`)
  await Promise.all(ways.map(async way => await way.close()))
}

try {
  await main()
} finally {
  await Promise.all(children.map(async child => {
    child.kill('SIGTERM')
    await once(child, 'exit')
  }))
}
