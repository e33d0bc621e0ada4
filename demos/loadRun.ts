import { spawn } from 'node:child_process'
import { writeFileSync } from 'node:fs'
import { join } from 'node:path'
import { createInterface } from 'node:readline'
import { fileURLToPath } from 'node:url'
import { emptyCounts } from '../src/standins/callerReport.js'
import type { CallerReport, StreamReport, WindowCounts } from '../src/standins/callerReport.js'
import type { LoadPhase } from '../src/standins/loadPlan.js'
import type { Deployment } from './deployment.js'

/** Delay before the load begins, in which the caller processes start up. */
const START_DELAY_MS = 800
const CALLERS_COUNT = 2

export interface LoadOptions {
  readonly phases: readonly LoadPhase[]
  readonly callersCount?: number
  readonly resendsCount?: number
  readonly seed?: number
  /** Called with the log line that each caller prints once a second. */
  readonly onSecond?: (line: string) => void
}

/** Result of one load run: its phases and the report of each caller process. */
export interface LoadResult {
  readonly startedAtMs: number
  readonly phases: readonly LoadPhase[]
  readonly reports: readonly CallerReport[]
}

let runsCount = 0

async function runCaller (planPath: string, onSecond: (line: string) => void): Promise<CallerReport> {
  const program = fileURLToPath(new URL('../src/standins/callerMain.js', import.meta.url))
  const child = spawn(process.execPath, [program, '--plan', planPath], { stdio: ['ignore', 'pipe', 'inherit'] })
  const killCaller = (): void => { child.kill('SIGKILL') }
  process.on('exit', killCaller)
  let lastLine = ''
  for await (const line of createInterface({ input: child.stdout })) {
    lastLine = line
    if (line.includes('event=caller_second')) onSecond(line)
  }
  process.removeListener('exit', killCaller)
  if (!lastLine.startsWith('{')) throw new Error(`caller process exited without a report; last line of output: ${lastLine}`)
  return JSON.parse(lastLine) as CallerReport
}

/**
 * Runs a load against a deployment. The rate of each stream is divided equally
 * between the caller processes.
 *
 * @example
 * await runLoad(deployment, { phases: [{ name: 'calm', duration_ms: 1000, factor: 1, stream_factors: {} }] })
 */
export async function runLoad (deployment: Deployment, options: LoadOptions): Promise<LoadResult> {
  const { phases, callersCount = CALLERS_COUNT, resendsCount = 2, seed = 1, onSecond = () => {} } = options
  const startedAtMs = Date.now() + START_DELAY_MS
  const runNumber = ++runsCount
  const reports = await Promise.all(Array.from({ length: callersCount }, async (_, index) => {
    const planPath = join(deployment.group.directory, `plan-${runNumber}-${index}.json`)
    writeFileSync(planPath, JSON.stringify({
      seed: seed * 1000 + index,
      start_at_ms: startedAtMs,
      targets: deployment.vms.map(vm => vm.callAddress),
      resends_count: resendsCount,
      streams: deployment.streams.map(stream => ({ ...stream, rate_per_s: stream.rate_per_s / callersCount })),
      phases
    }))
    return await runCaller(planPath, onSecond)
  }))
  deployment.group.checkRunning()
  return { startedAtMs, phases, reports }
}

/** Counts of a stream that can be summed over streams and callers. */
export type SummedCounts = Pick<StreamReport,
  'offered_count' | 'sends_count' | 'whole_count' | 'refused_count' | 'unknown_count' | 'failed_count' |
  'no_answer_count' | 'wrong_count'>

/**
 * Sums the counts of all streams for which `isCounted` returns true.
 *
 * @example
 * sumCounts(result, stream => stream.phase === 'calm').whole_count
 */
export function sumCounts (result: LoadResult, isCounted: (stream: StreamReport) => boolean): SummedCounts {
  const sum = emptyCounts()
  for (const stream of result.reports.flatMap(report => report.streams).filter(isCounted)) {
    for (const name of Object.keys(sum) as Array<keyof typeof sum>) sum[name] += stream[name]
  }
  return sum
}

/** Sums the time windows of all callers by start time, for one stream or for all of them; sorted by time. */
export function mergeWindows (result: LoadResult, stream?: string): WindowCounts[] {
  const merged = new Map<number, WindowCounts>()
  for (const window of result.reports.flatMap(report => report.windows)) {
    if (stream !== undefined && window.stream !== stream) continue
    const sum = merged.get(window.at_ms) ??
      { stream: stream ?? '', at_ms: window.at_ms, offered_count: 0, whole_count: 0, completed_count: 0 }
    sum.offered_count += window.offered_count
    sum.whole_count += window.whole_count
    sum.completed_count += window.completed_count
    merged.set(window.at_ms, sum)
  }
  return [...merged.values()].sort((a, b) => a.at_ms - b.at_ms)
}

/** Unix time in milliseconds at which a phase begins. */
export function phaseStartMs (result: LoadResult, phaseIndex: number): number {
  return result.phases.slice(0, phaseIndex).reduce((sum, phase) => sum + phase.duration_ms, result.startedAtMs)
}

/** Rate of root requests that completed with a whole answer, over the windows that start in the given period. */
export function completedPerS (result: LoadResult, fromMs: number, untilMs: number): number {
  const count = mergeWindows(result).filter(window => window.at_ms >= fromMs && window.at_ms < untilMs)
    .reduce((sum, window) => sum + window.completed_count, 0)
  return count / (untilMs - fromMs) * 1000
}
