import type { StreamReport } from '../src/standins/callerReport.js'
import type { LoadPhase } from '../src/standins/loadPlan.js'
import { auditRuns, logLines } from './audit.js'
import { startDeployment, untilReady, type Deployment } from './deployment.js'
import { DEPLOYMENT_SPECS } from './deploymentSpecs.js'
import { mergeWindows, phaseStartMs, runLoad, sumCounts, type LoadResult } from './loadRun.js'
import { recoveryMs } from './recovery.js'

const CALM_FACTOR = 0.6
const OVERLOAD_FACTOR = 3

const PHASES: readonly LoadPhase[] = [
  { name: 'calm', duration_ms: 3000, factor: CALM_FACTOR, stream_factors: {} },
  { name: 'overload', duration_ms: 4000, factor: OVERLOAD_FACTOR, stream_factors: {} },
  { name: 'calm_again', duration_ms: 4000, factor: CALM_FACTOR, stream_factors: {} }
]

function say (text: string): void {
  process.stdout.write(`${text}\n`)
}

function latencyRange (result: LoadResult, stream: string, pick: (report: StreamReport) => number): string {
  const values = result.reports.flatMap(report => report.streams)
    .filter(one => one.stream === stream && one.phase === 'overload' && one.whole_count > 0).map(pick)
  return values.length === 0 ? '-' : Math.max(...values).toFixed(0)
}

function tableLine (result: LoadResult, stream: string): string[] {
  const counts = sumCounts(result, one => one.stream === stream)
  const calm = { fromMs: phaseStartMs(result, 0), untilMs: phaseStartMs(result, 1) }
  const recovery = recoveryMs(mergeWindows(result, stream), phaseStartMs(result, 2), calm)
  return [
    stream, ...[
      counts.offered_count, counts.whole_count, counts.refused_count, counts.unknown_count,
      counts.failed_count, counts.no_answer_count, counts.wrong_count
    ].map(String),
    latencyRange(result, stream, one => one.p50_ms), latencyRange(result, stream, one => one.p99_ms),
    recovery === null ? 'not seen' : String(recovery)
  ]
}

function printTable (deployment: Deployment, result: LoadResult): void {
  const head = [
    deployment.spec.name, 'offered', 'whole', 'refused', 'unknown', 'failed', 'no answer', 'wrong',
    'p50 ms', 'p99 ms', 'normal after ms'
  ]
  const lines = [head, ...deployment.streams.map(stream => tableLine(result, stream.name))]
  const widths = head.map((_, column) => Math.max(...lines.map(line => line[column]?.length ?? 0)))
  say('')
  for (const line of lines) {
    say(line.map((cell, column) => column === 0 ? cell.padEnd(widths[0] ?? 0) : cell.padStart(widths[column] ?? 0)).join('  '))
  }
}

/** How often each reason ended a root request, most often first. */
function reasonsOf (result: LoadResult): string {
  const sums = new Map<string, number>()
  for (const { reasons } of result.reports.flatMap(report => report.streams)) {
    for (const [reason, count] of Object.entries(reasons)) sums.set(reason, (sums.get(reason) ?? 0) + count)
  }
  return [...sums].sort((a, b) => b[1] - a[1]).map(([reason, count]) => `${reason} ${count}`).join(', ')
}

/** Faults of a run; none when each call got a whole answer of its own or an honest refusal. */
async function faultsOf (deployment: Deployment, result: LoadResult): Promise<string[]> {
  const counts = sumCounts(result, () => true)
  const notRunKeys = result.reports.flatMap(report => report.not_run_keys)
  const audit = auditRuns(await logLines(deployment.backendProcesses, 'event=run_started'), notRunKeys)
  say(`keyed runs ${audit.runsCount}, duplicate runs ${audit.duplicateRuns.length}, ` +
    `false reports of not run ${audit.falseNotRun.length}`)
  say(`reasons: ${reasonsOf(result)}`)
  const checks: ReadonlyArray<readonly [string, number]> = [
    ['wrong or partial answers', counts.wrong_count],
    ['calls without an answer', counts.no_answer_count],
    ['calls with an unknown outcome', counts.unknown_count],
    ['duplicate runs', audit.duplicateRuns.length],
    ['false reports of not run', audit.falseNotRun.length]
  ]
  return checks.filter(([, count]) => count > 0).map(([name, count]) => `${deployment.spec.name}: ${count} ${name}`)
}

function progressOf (line: string): string {
  return line.replace(/^.*event=caller_second /, '').replace(/ (failed|wrong)_count=0/g, '')
}

async function runDemo (deployment: Deployment): Promise<string[]> {
  const { name } = deployment.spec
  say(`${name}: ${deployment.vms.length} VMs, waiting until all nodes serve`)
  await untilReady(deployment)
  say(`${name}: calm at ${CALM_FACTOR}x, overload at ${OVERLOAD_FACTOR}x, calm again`)
  const result = await runLoad(deployment, {
    phases: PHASES, onSecond: line => { say(`  ${name} ${progressOf(line)}`) }
  })
  printTable(deployment, result)
  return await faultsOf(deployment, result)
}

async function main (): Promise<void> {
  const deployments = await Promise.all(Object.values(DEPLOYMENT_SPECS)
    .map(async spec => await startDeployment(spec, { control: true })))
  const faults: string[] = []
  for (const deployment of deployments) {
    faults.push(...await runDemo(deployment))
    await deployment.group.stop()
  }
  for (const fault of faults) say(`fault: ${fault}`)
  say(faults.length === 0 ? 'demo: ok' : 'demo: failed')
  process.exitCode = faults.length === 0 ? 0 : 1
}

await main().catch(error => {
  process.stderr.write(`${String(error)}\ndemo: failed\n`)
  process.exit(1)
})
