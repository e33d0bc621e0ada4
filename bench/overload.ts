import type { LoadPhase } from '../src/standins/loadPlan.js'
import { auditRuns, logLines } from '../demos/audit.js'
import { postControl, type Deployment } from '../demos/deployment.js'
import { completedPerS, mergeWindows, phaseStartMs, runLoad, sumCounts, type LoadResult } from '../demos/loadRun.js'
import { recoveryMs } from '../demos/recovery.js'
import { importantRefusedBeforeLookups, maxRetriesPerRoot, parseRecord, type BenchRecord } from './callRecords.js'

const CALM_FACTOR = 0.6
const SLOW_LOAD_FACTOR = 0.8
const SLOW_FACTOR = 5
/** Callers at ten times the load; one process sends some 3,000 calls a second. */
const CALLERS_COUNT = 3
/** The first part of a phase, in which calls of the phase before end, is left out of its goodput. */
const SETTLE_MS = 1000
/** Time in which the nodes write out their last records. */
const FLUSH_MS = 300

/** Lengths of the phases. */
export interface BenchTimes {
  readonly rampMs: number
  /** Multiples of the promised rates at which the capacity is sought. */
  readonly rampFactors: readonly number[]
  readonly calmMs: number
  readonly overloadMs: number
  readonly afterMs: number
}

export interface OverloadResult {
  readonly capacityPerS: number
  readonly goodputRatioAt2x: number
  readonly goodputRatioAt10x: number
  readonly vitalRatioAt10x: number
  readonly recoveryAfter2xMs: number | null
  readonly recoveryAfter10xMs: number | null
  readonly callerCpuPercent: number
  readonly results: readonly LoadResult[]
}

function phase (name: string, durationMs: number, factor: number): LoadPhase {
  return { name, duration_ms: durationMs, factor, stream_factors: {} }
}

function settledGoodputPerS (result: LoadResult, phaseIndex: number): number {
  const startMs = phaseStartMs(result, phaseIndex)
  const endMs = phaseStartMs(result, phaseIndex + 1)
  return completedPerS(result, startMs + SETTLE_MS, endMs)
}

/**
 * Goodput around the promised rates, which are 1x, then at 2x and 10x, and the
 * recovery after both. The capacity is the highest goodput of the first phases
 * unless one was measured before.
 *
 * @example
 * (await measureOverload(deployment, times)).goodputRatioAt10x
 */
export async function measureOverload (
  deployment: Deployment, times: BenchTimes, knownCapacityPerS?: number
): Promise<OverloadResult> {
  const ramp = knownCapacityPerS === undefined ? times.rampFactors : []
  const phases = [
    phase('calm', times.calmMs, CALM_FACTOR), ...ramp.map(factor => phase(`at_${factor}x`, times.rampMs, factor)),
    phase('calm_2', times.calmMs, CALM_FACTOR), phase('at_2x', times.overloadMs, 2),
    phase('after_2x', times.calmMs, CALM_FACTOR), phase('at_10x', times.overloadMs, 10),
    phase('after_10x', times.afterMs, CALM_FACTOR)
  ]
  const result = await runLoad(deployment, { phases, callersCount: CALLERS_COUNT })
  const at = (name: string): number => phases.findIndex(one => one.name === name)
  const rampGoodputs = ramp.map(factor => settledGoodputPerS(result, at(`at_${factor}x`)))
  const capacityPerS = knownCapacityPerS ?? Math.max(...rampGoodputs)
  return {
    capacityPerS,
    goodputRatioAt2x: settledGoodputPerS(result, at('at_2x')) / capacityPerS,
    goodputRatioAt10x: settledGoodputPerS(result, at('at_10x')) / capacityPerS,
    vitalRatioAt10x: vitalRatio(deployment, result, 'at_10x'),
    recoveryAfter2xMs: recoveredIn(result, at('after_2x')),
    recoveryAfter10xMs: recoveredIn(result, at('after_10x')),
    callerCpuPercent: Math.max(...result.reports.map(report => report.cpu_percent)),
    results: [result]
  }
}

/** Vital root requests of a phase that ended whole, as a part of those promised for its length. */
function vitalRatio (deployment: Deployment, result: LoadResult, phaseName: string): number {
  const { whole_count: wholeCount } = sumCounts(result, one => one.phase === phaseName && one.importance === 'vital')
  const durationMs = result.phases.find(one => one.name === phaseName)?.duration_ms ?? 0
  const promisedPerS = deployment.streams.filter(stream => stream.importance === 'vital')
    .reduce((sum, stream) => sum + stream.rate_per_s, 0)
  return wholeCount / (promisedPerS * durationMs / 1000)
}

/** Recovery within a calm phase after an overload, compared with the calm phase at the start. */
function recoveredIn (result: LoadResult, phaseIndex: number): number | null {
  const endMs = phaseStartMs(result, phaseIndex + 1)
  const calm = { fromMs: phaseStartMs(result, 0), untilMs: phaseStartMs(result, 1) }
  const windows = mergeWindows(result).filter(one => one.at_ms < endMs)
  return recoveryMs(windows, phaseStartMs(result, phaseIndex), calm)
}

async function slowDeepService (deployment: Deployment, factor: number): Promise<void> {
  const deep = deployment.vms.filter(vm => vm.service === deployment.spec.deepService)
  await Promise.all(deep.map(async vm => await postControl(vm.backendControlAddress, { slow_factor: factor })))
}

/** Recovery after the service at the end of the chains was slow for a while. */
export async function measureSlowDeepService (
  deployment: Deployment, times: BenchTimes
): Promise<{ recoveryMs: number | null, result: LoadResult }> {
  const phases = [
    phase('calm', times.calmMs, SLOW_LOAD_FACTOR), phase('slow', times.overloadMs, SLOW_LOAD_FACTOR),
    phase('after_slow', times.calmMs, SLOW_LOAD_FACTOR)
  ]
  const timers: NodeJS.Timeout[] = []
  const startedAtMs = Date.now()
  const running = runLoad(deployment, { phases, seed: 3, callersCount: CALLERS_COUNT })
  let slowEndMs = Infinity
  // The load starts a moment after this call, so the slow time lies inside its phase.
  timers.push(setTimeout(() => { slowDeepService(deployment, SLOW_FACTOR).catch(reportFault) }, times.calmMs + 1000))
  timers.push(setTimeout(() => {
    slowEndMs = Date.now()
    slowDeepService(deployment, 1).catch(reportFault)
  }, times.calmMs + times.overloadMs))
  try {
    const result = await running
    const calm = { fromMs: startedAtMs, untilMs: phaseStartMs(result, 1) }
    return { recoveryMs: recoveryMs(mergeWindows(result), slowEndMs, calm), result }
  } finally {
    timers.forEach(clearTimeout)
  }
}

function reportFault (error: unknown): void {
  process.stderr.write(`test control failed: ${String(error)}\n`)
}

export interface HarmCounts {
  readonly max_retries_per_root: number
  readonly important_refused_before_lookups: number
  readonly duplicate_runs: number
  readonly false_not_run: number
  readonly wrong_or_partial_answers: number
}

/** Counts harm over all runs of a deployment, from the logs of its processes and the reports of its callers. */
export async function countHarm (deployment: Deployment, results: readonly LoadResult[]): Promise<HarmCounts> {
  await new Promise(resolve => setTimeout(resolve, FLUSH_MS))
  const notRunKeys = results.flatMap(result => result.reports.flatMap(report => report.not_run_keys))
  const audit = auditRuns(await logLines(deployment.backendProcesses, 'event=run_started'), notRunKeys)
  const records = (await logLines(deployment.nodeProcesses, 'event=call_record')).map(parseRecord)
    .filter((record): record is BenchRecord => record !== undefined)
  return {
    max_retries_per_root: maxRetriesPerRoot(records),
    important_refused_before_lookups: importantRefusedBeforeLookups(records),
    duplicate_runs: audit.duplicateRuns.length,
    false_not_run: audit.falseNotRun.length,
    wrong_or_partial_answers: results.reduce((sum, result) => sum + sumCounts(result, () => true).wrong_count, 0)
  }
}
