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

// Measures the latency and CPU time that one hop adds. Direct calls, calls through a
// plain relay and calls through a node alternate in short blocks of one run, so that
// other load on the machine affects all three alike. The relay and the node run in
// processes of their own and share one backend server.

const BLOCK_MS = 200
const CONNECTIONS_COUNT = 4
const WARM_UP_ROUNDS_COUNT = 1
const US_PER_MS = 1_000
const CLOCK_TICK_US = 10_000
const ANSWER_TIMEOUT_MS = 5_000
const SERVICE = 'depot-stock'
const DATA_CENTRE = 'tallinn'

const { settings } = settingsOrExit({
  program: 'latency',
  describe: 'Measures the latency and CPU time that a node adds, compared with a plain relay',
  specs: {
    roundsCount: countSetting('Number of measured rounds', '5'),
    roundMs: countSetting('Length of a round in ms, shared by the three targets', '6000'),
    callsPerS: countSetting('Calls per second that are sent to the target of the current block', '600'),
    nodeFlags: {
      describe: 'Node.js flags for the node process, separated by commas',
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

function scriptPath (path: string): string {
  return fileURLToPath(new URL(path, import.meta.url))
}

/** Starts a stand-in program and returns its process id and the address that it logs. */
async function startStandIn (script: string, args: readonly string[]): Promise<{ pid: number, address: string }> {
  const child = spawn(process.execPath, [scriptPath(`../src/standins/${script}`), ...args], { stdio: ['ignore', 'pipe', 'inherit'] })
  children.push(child)
  for await (const line of createInterface({ input: child.stdout })) {
    const address = / address=(\S+)/.exec(line)?.[1]
    if (address !== undefined) return { pid: child.pid!, address }
  }
  throw new Error(`${script} exited without logging its address`)
}

async function findFreeAddress (): Promise<string> {
  const server = createServer().listen(0, '127.0.0.1')
  await once(server, 'listening')
  const { port } = server.address() as AddressInfo
  server.close()
  await once(server, 'close')
  return `127.0.0.1:${port}`
}

/** Publishes a service document and a VM list with the node, and starts the node. */
async function startNode (backendAddress: string): Promise<{ pid: number, address: string }> {
  const [address, controlAddress, operatorAddress] = [
    await findFreeAddress(), await findFreeAddress(), await findFreeAddress()
  ]
  const vms = [{
    vm_id: 'vm-1', service: SERVICE, data_centre: DATA_CENTRE, call_address: address, control_address: controlAddress, state: 'live'
  }]
  const platform = await startConfigService({
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
  // Call records are discarded, because reading them would load the process that measures.
  const child = spawn(process.execPath, [...flags, scriptPath('../src/cli/nodeMain.js'), ...args], {
    stdio: ['ignore', 'ignore', 'inherit']
  })
  children.push(child)
  await waitUntilServing(address)
  return { pid: child.pid!, address }
}

/** Starts a configuration service, publishes the values and returns its address. */
async function startConfigService (values: Record<string, string>): Promise<string> {
  const child = spawn(process.execPath, [scriptPath('../src/standins/configServiceMain.js')], { stdio: ['ignore', 'pipe', 'inherit'] })
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
  throw new Error('the configuration service exited without logging its addresses')
}

async function waitUntilServing (address: string): Promise<void> {
  const headers = { 'ragwortspur-caller': 'bench', 'ragwortspur-service': SERVICE }
  for (;;) {
    const status = await fetch(`http://${address}/stock`, { headers }).then(answer => answer.status).catch(() => 0)
    if (status === 200) return
    await new Promise(resolve => { setTimeout(resolve, 50) })
  }
}

/** CPU time that a process has used, in microseconds. */
function cpuUsOf (pid: number): number {
  const fields = readFileSync(`/proc/${pid}/stat`, 'utf8').replace(/^.*\) /, '').split(' ')
  return (Number(fields[11]) + Number(fields[12])) * CLOCK_TICK_US
}

/** An address to call (backend server, relay or node) and the measurements of its current round. */
class BenchTarget {
  readonly name: string
  readonly #pid: number
  readonly #pool: Pool
  #latenciesUs: Histogram = build({ numberOfSignificantValueDigits: 3 })
  #cpuUs = 0
  failedCount = 0

  constructor (name: string, { pid, address }: { pid: number, address: string }) {
    this.name = name
    this.#pid = pid
    this.#pool = new Pool(`http://${address}`, { connections: CONNECTIONS_COUNT, pipelining: 1 })
  }

  startRound (): void {
    this.#latenciesUs = build({ numberOfSignificantValueDigits: 3 })
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
      this.#latenciesUs.recordValue(Math.round((performance.now() - startedMs) * US_PER_MS))
    } catch {
      this.failedCount += 1
    }
  }

  endRound (): { p50Ms: number, p99Ms: number, cpuUsPerCall: number } {
    return {
      p50Ms: this.#latenciesUs.getValueAtPercentile(50) / US_PER_MS,
      p99Ms: this.#latenciesUs.getValueAtPercentile(99) / US_PER_MS,
      cpuUsPerCall: (cpuUsOf(this.#pid) - this.#cpuUs) / Math.max(1, this.#latenciesUs.totalCount)
    }
  }

  async close (): Promise<void> {
    await this.#pool.destroy()
  }
}

/** Sends calls to one target at an even rate without waiting for answers, then waits for all answers. */
async function runBlock (target: BenchTarget): Promise<void> {
  const startedMs = performance.now()
  const calls: Array<Promise<void>> = []
  const dueCount = Math.round(BLOCK_MS * settings.callsPerS / 1000)
  while (calls.length < dueCount) {
    const elapsedMs = performance.now() - startedMs
    while (calls.length < Math.min(dueCount, elapsedMs * settings.callsPerS / 1000)) calls.push(target.send())
    await new Promise(resolve => { setTimeout(resolve, 1) })
  }
  await Promise.all(calls)
}

/** Latency and CPU time of the relay and the node in one round, compared with each other. */
interface RoundComparison {
  readonly relayAddedP99Ms: number
  readonly nodeAddedP99Ms: number
  readonly p99Ratio: number
  readonly p50Ratio: number
  readonly cpuRatio: number
}

/** Sends one block to each target in turn until the round ends, rotating the first target. */
async function runRound (targets: readonly BenchTarget[], label: string): Promise<RoundComparison> {
  for (const target of targets) target.startRound()
  const endAtMs = performance.now() + settings.roundMs
  for (let first = 0; performance.now() < endAtMs; first++) {
    for (let offset = 0; offset < targets.length; offset++) await runBlock(targets[(first + offset) % targets.length]!)
  }
  const [direct, relay, node] = targets.map(target => target.endRound()) as
    [TargetRoundResult, TargetRoundResult, TargetRoundResult]
  const text = targets.map((target, at) => `${target.name} ${formatTargetResult([direct, relay, node][at]!)}`).join(' | ')
  console.log(`${label}: ${text} | load ${loadavg()[0]!.toFixed(1)}`)
  return {
    relayAddedP99Ms: relay.p99Ms - direct.p99Ms,
    nodeAddedP99Ms: node.p99Ms - direct.p99Ms,
    p99Ratio: (node.p99Ms - direct.p99Ms) / (relay.p99Ms - direct.p99Ms),
    p50Ratio: (node.p50Ms - direct.p50Ms) / (relay.p50Ms - direct.p50Ms),
    cpuRatio: node.cpuUsPerCall / relay.cpuUsPerCall
  }
}

type TargetRoundResult = ReturnType<BenchTarget['endRound']>

function formatTargetResult ({ p50Ms, p99Ms, cpuUsPerCall }: TargetRoundResult): string {
  return `p50 ${p50Ms.toFixed(3)} p99 ${p99Ms.toFixed(3)} ms, cpu ${cpuUsPerCall.toFixed(0)} us/call`
}

function printRange (name: string, values: readonly number[]): void {
  const sorted = [...values].sort((a, b) => a - b)
  const middle = sorted[Math.floor(sorted.length / 2)]!
  console.log(`${name}: min ${sorted[0]!.toFixed(3)} median ${middle.toFixed(3)} max ${sorted.at(-1)!.toFixed(3)}`)
}

async function main (): Promise<void> {
  const backend = await startStandIn('backendServerMain.js', ['--config', BACKEND_CONFIG])
  const relay = await startStandIn('relayMain.js', ['--mode', 'http', '--target', backend.address])
  const targets = [
    new BenchTarget('direct', backend), new BenchTarget('relay', relay),
    new BenchTarget('node', await startNode(backend.address))
  ]
  for (let round = 0; round < WARM_UP_ROUNDS_COUNT; round++) await runRound(targets, 'warm-up')
  const results: RoundComparison[] = []
  for (let round = 1; round <= settings.roundsCount; round++) results.push(await runRound(targets, `round ${round}`))
  printRange('added p99 of the relay in ms', results.map(result => result.relayAddedP99Ms))
  printRange('added p99 of the node in ms', results.map(result => result.nodeAddedP99Ms))
  printRange('added p99, node to relay', results.map(result => result.p99Ratio))
  printRange('added p50, node to relay', results.map(result => result.p50Ratio))
  printRange('CPU time, node to relay', results.map(result => result.cpuRatio))
  console.log(`failed calls: ${targets.map(target => `${target.name} ${target.failedCount}`).join(', ')}`)
  await Promise.all(targets.map(async target => await target.close()))
}

try {
  await main()
} finally {
  await Promise.all(children.map(async child => {
    child.kill('SIGTERM')
    await once(child, 'exit')
  }))
}
