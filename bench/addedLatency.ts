import { writeFileSync } from 'node:fs'
import { join } from 'node:path'
import { build, type Histogram } from 'hdr-histogram-js'
import { Importance } from '../src/core/coreTypes.js'
import { sampleExponential, seededRandom } from '../src/standins/randomNumbers.js'
import { Sender, SendResult, type SendSpec } from '../src/standins/sendCall.js'
import { findFreePorts } from '../demos/ports.js'
import { ProcessGroup } from '../demos/processGroup.js'

const SERVICE = 'probe'
const CALLS_PER_S = 400
const WARM_UP_MS = 3000
const READY_TIMEOUT_MS = 30_000
const US_PER_MS = 1000

/** Latency percentiles of a node and of a plain HTTP relay, each minus that of a direct call. */
export interface AddedLatency {
  readonly added_p50_ms: number
  readonly added_p99_ms: number
  readonly relay_added_p50_ms: number
  readonly relay_added_p99_ms: number
}

const DOCUMENT = {
  service: SERVICE,
  team: 'bench',
  version: 1,
  backend: { slots_count: 100, connections_count: 1000 },
  capacity_calls_per_s: 10_000,
  data_centres: [{ name: 'tallinn', weight_ratio: 1 }],
  retry_budget_count: 2,
  resend_window_ms: 120_000,
  routes: [
    {
      name: 'look-up',
      method: 'GET',
      path_prefix: '/probe',
      importance: 'normal',
      idempotent: true,
      deadline_ms: 5000,
      callees: []
    }
  ],
  callers: [{ name: 'prober', promised_calls_per_s: 5000, max_importance: 'normal' }],
  default_caller: { promised_calls_per_s: 1, max_importance: 'normal' }
}

const BACKEND = {
  service: SERVICE,
  slots_count: 100,
  connections_count: 1000,
  routes: [{ method: 'GET', path_prefix: '/probe', service_time_ms: 0, service_time_kind: 'fixed' }]
}

const PROBE_SPEC: Omit<SendSpec, 'rootId'> = {
  stream: {
    name: SERVICE,
    caller: 'prober',
    service: SERVICE,
    method: 'GET',
    path: '/probe',
    importance: Importance.Normal,
    keyed: false,
    rate_per_s: CALLS_PER_S,
    deadline_ms: 5000
  },
  key: undefined,
  attempt: 1,
  timeoutMs: 5000
}

/** Starts a backend server, and a plain relay and a node in front of it; returns the call address of each. */
async function startTargets (group: ProcessGroup): Promise<string[]> {
  const addresses = (await findFreePorts(6)).map(port => `127.0.0.1:${port}`)
  const [backend = '', relay = '', node = '', control = '', operator = '', platform = ''] = addresses
  const vm = {
    vm_id: 'probe-1',
    service: SERVICE,
    data_centre: 'tallinn',
    call_address: node,
    control_address: control,
    state: 'live'
  }
  const valuesFile = join(group.directory, 'values.json')
  writeFileSync(valuesFile, JSON.stringify({
    catalogue: JSON.stringify({ services: [SERVICE], data_centres: ['tallinn'] }),
    [`documents/${SERVICE}`]: JSON.stringify(DOCUMENT),
    'vms/tallinn': JSON.stringify({ vms: [vm] })
  }))
  group.start('config-service', '../src/standins/configServiceMain.js', [
    '--address', platform, '--values-file', valuesFile
  ])
  group.start('backend', '../src/standins/backendServerMain.js', [
    '--address', backend, '--config', JSON.stringify(BACKEND)
  ])
  group.start('relay', '../src/standins/relayMain.js', ['--mode', 'http', '--address', relay, '--target', backend])
  group.start('node', '../src/cli/nodeMain.js', [
    '--node-id', vm.vm_id, '--service', SERVICE, '--data-centre', 'tallinn', '--call-address', node,
    '--control-address', control, '--operator-address', operator, '--backend-address', backend,
    '--platform-address', platform, '--peers', '', '--control', 'on'
  ])
  return [backend, relay, node]
}

async function sendProbe (sender: Sender, targetIndex: number, number: number): Promise<SendResult> {
  const spec = { ...PROBE_SPEC, rootId: `probe-${number}` }
  return await new Promise(resolve => { sender.send(targetIndex, spec, end => { resolve(end.result) }) })
}

/** Waits until a call to each target succeeds. */
async function waitUntilTargetsServe (sender: Sender): Promise<void> {
  const timeoutAtMs = performance.now() + READY_TIMEOUT_MS
  for (let targetIndex = 0; targetIndex < sender.targetsCount;) {
    if (await sendProbe(sender, targetIndex, 0) === SendResult.Whole) {
      targetIndex += 1
      continue
    }
    if (performance.now() > timeoutAtMs) throw new Error(`target ${targetIndex} of the latency bench is not ready`)
    await new Promise(resolve => setTimeout(resolve, 100))
  }
}

function newHistogram (): Histogram {
  return build({ lowestDiscernibleValue: 1, highestTrackableValue: 10_000_000, numberOfSignificantValueDigits: 3 })
}

/** Sends calls to the targets in turn, with exponentially distributed pauses, and records their latencies in us. */
async function measureLatencies (sender: Sender, durationMs: number): Promise<Histogram[]> {
  const histograms = Array.from({ length: sender.targetsCount }, newHistogram)
  const random = seededRandom(1)
  const endAtMs = performance.now() + durationMs
  const open = new Set<Promise<void>>()
  let nextAtMs = performance.now()
  for (let number = 1; nextAtMs < endAtMs; number += 1) {
    nextAtMs += sampleExponential(random, 1000 / CALLS_PER_S)
    while (performance.now() < nextAtMs) await new Promise(resolve => setTimeout(resolve, 1))
    const targetIndex = number % sender.targetsCount
    const sentAtMs = performance.now()
    const call = sendProbe(sender, targetIndex, number).then(result => {
      if (result !== SendResult.Whole) throw new Error(`call ${number} to target ${targetIndex} ended as ${result}`)
      histograms[targetIndex]?.recordValue(Math.round((performance.now() - sentAtMs) * US_PER_MS))
    }).finally(() => { open.delete(call) })
    open.add(call)
  }
  await Promise.all(open)
  return histograms
}

function percentileDifferenceMs (
  measured: Histogram | undefined, baseline: Histogram | undefined, percentile: number
): number {
  const valueOf = (one: Histogram | undefined): number => one?.getValueAtPercentile(percentile) ?? Number.NaN
  return (valueOf(measured) - valueOf(baseline)) / US_PER_MS
}

/**
 * Measures the latency that a node and a plain relay add to a direct call. The
 * calls to the three alternate within one run, so that other load on the machine
 * affects all of them alike.
 *
 * @example
 * (await measureAddedLatency(10_000)).added_p99_ms
 */
export async function measureAddedLatency (durationMs: number): Promise<AddedLatency> {
  const group = new ProcessGroup()
  const sender = new Sender(await startTargets(group), 8)
  try {
    await waitUntilTargetsServe(sender)
    await measureLatencies(sender, WARM_UP_MS)
    const [direct, relay, node] = await measureLatencies(sender, durationMs)
    return {
      added_p50_ms: percentileDifferenceMs(node, direct, 50),
      added_p99_ms: percentileDifferenceMs(node, direct, 99),
      relay_added_p50_ms: percentileDifferenceMs(relay, direct, 50),
      relay_added_p99_ms: percentileDifferenceMs(relay, direct, 99)
    }
  } finally {
    await sender.close()
    await group.stop()
  }
}
