import type { StreamReport } from '../src/standins/callerReport.js'
import type { LoadPhase } from '../src/standins/loadPlan.js'
import { auditRuns, readMatchingLogLines } from './audit.js'
import { startDeployment, waitUntilDeploymentReady, type Deployment } from './deployment.js'
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

function printLine (text: string): void {
  process.stdout.write(`${text}\n`)
}

function formatMaxLatency (
  result: LoadResult, stream: string, selectLatencyMs: (report: StreamReport) => number
): string {
  const values = result.reports.flatMap(report => report.streams)
    .filter(report => report.stream === stream && report.phase === 'overload' && report.whole_count > 0)
    .map(selectLatencyMs)
  return values.length === 0 ? '-' : Math.max(...values).toFixed(0)
}

function buildTableRow (result: LoadResult, stream: string): string[] {
  const counts = sumCounts(result, report => report.stream === stream)
  const calm = { fromMs: phaseStartMs(result, 0), untilMs: phaseStartMs(result, 1) }
  const recovery = recoveryMs(mergeWindows(result, stream), phaseStartMs(result, 2), calm)
  return [
    stream, ...[
      counts.offered_count, counts.whole_count, counts.refused_count, counts.unknown_count,
      counts.failed_count, counts.no_answer_count, counts.wrong_count
    ].map(String),
    formatMaxLatency(result, stream, report => report.p50_ms),
    formatMaxLatency(result, stream, report => report.p99_ms),
    recovery === null ? 'not seen' : String(recovery)
  ]
}

function printTable (deployment: Deployment, result: LoadResult): void {
  const headings = [
    deployment.spec.name, 'offered', 'whole', 'refused', 'unknown', 'failed', 'no answer', 'wrong',
    'p50 ms', 'p99 ms', 'normal after ms'
  ]
  const rows = [headings, ...deployment.streams.map(stream => buildTableRow(result, stream.name))]
  const widths = headings.map((_, column) => Math.max(...rows.map(row => row[column]?.length ?? 0)))
  printLine('')
  for (const row of rows) {
    printLine(row.map((cell, column) => column === 0 ? cell.padEnd(widths[0] ?? 0) : cell.padStart(widths[column] ?? 0)).join('  '))
  }
}

/** Lists the reasons that ended root requests with their counts, the most frequent first. */
function formatReasonCounts (result: LoadResult): string {
  const counts = new Map<string, number>()
  for (const { reasons } of result.reports.flatMap(report => report.streams)) {
    for (const [reason, count] of Object.entries(reasons)) counts.set(reason, (counts.get(reason) ?? 0) + count)
  }
  return [...counts].sort((a, b) => b[1] - a[1]).map(([reason, count]) => `${reason} ${count}`).join(', ')
}

/**
 * Checks the result of a run and describes each fault. There is none if each call got a correct, whole answer or was
 * refused without having run.
 */
async function findFaults (deployment: Deployment, result: LoadResult): Promise<string[]> {
  const counts = sumCounts(result, () => true)
  const notRunKeys = result.reports.flatMap(report => report.not_run_keys)
  const audit = auditRuns(await readMatchingLogLines(deployment.backendProcesses, 'event=run_started'), notRunKeys)
  printLine(`keyed runs ${audit.runsCount}, duplicate runs ${audit.duplicateRuns.length}, ` +
    `false reports of not run ${audit.falseNotRun.length}`)
  printLine(`reasons: ${formatReasonCounts(result)}`)
  const checks: ReadonlyArray<readonly [string, number]> = [
    ['wrong or partial answers', counts.wrong_count],
    ['calls without an answer', counts.no_answer_count],
    ['calls with an unknown outcome', counts.unknown_count],
    ['duplicate runs', audit.duplicateRuns.length],
    ['false reports of not run', audit.falseNotRun.length]
  ]
  return checks.filter(([, count]) => count > 0).map(([name, count]) => `${deployment.spec.name}: ${count} ${name}`)
}

function formatProgress (line: string): string {
  return line.replace(/^.*event=caller_second /, '').replace(/ (failed|wrong)_count=0/g, '')
}

async function runDemo (deployment: Deployment): Promise<string[]> {
  const { name } = deployment.spec
  printLine(`${name}: ${deployment.vms.length} VMs, waiting until all nodes are ready`)
  await waitUntilDeploymentReady(deployment)
  printLine(`${name}: calm at ${CALM_FACTOR}x, overload at ${OVERLOAD_FACTOR}x, calm again`)
  const result = await runLoad(deployment, {
    phases: PHASES, onSecond: line => { printLine(`  ${name} ${formatProgress(line)}`) }
  })
  printTable(deployment, result)
  return await findFaults(deployment, result)
}

async function main (): Promise<void> {
  const deployments = await Promise.all(Object.values(DEPLOYMENT_SPECS)
    .map(async spec => await startDeployment(spec, { control: true })))
  const faults: string[] = []
  for (const deployment of deployments) {
    faults.push(...await runDemo(deployment))
    await deployment.group.stop()
  }
  for (const fault of faults) printLine(`fault: ${fault}`)
  printLine(faults.length === 0 ? 'demo: ok' : 'demo: failed')
  process.exitCode = faults.length === 0 ? 0 : 1
}

await main().catch(error => {
  process.stderr.write(`${String(error)}\ndemo: failed\n`)
  process.exit(1)
})
