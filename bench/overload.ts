import type { LoadPhase } from '../src/standins/loadPlan.js'
import { auditRuns, readMatchingLogLines } from '../demos/audit.js'
import { postControl, type Deployment } from '../demos/deployment.js'
import { completedPerS, mergeWindows, phaseStartMs, runLoad, sumCounts, type LoadResult } from '../demos/loadRun.js'
import { recoveryMs } from '../demos/recovery.js'
import { importantRefusedBeforeLookups, maxRetriesPerRoot, parseCallRecord, type BenchRecord } from './callRecords.js'

const NORMAL_LOAD_FACTOR = 0.6
const SLOWDOWN_LOAD_FACTOR = 0.8
const SLOWDOWN_FACTOR = 5
/** Enough caller processes for ten times the promised load; one process sends about 3,000 calls per second. */
const CALLER_PROCESSES_COUNT = 3
/** Start of a phase that its goodput leaves out, because calls of the previous phase still complete in it. */
const SETTLE_MS = 1000
/** Time for the nodes to write their last call records. */
const LOG_FLUSH_MS = 300

/** Durations of the load phases. */
export interface BenchDurations {
  readonly rampMs: number
  /** Multiples of the promised rates that are tried to find the capacity. */
  readonly rampFactors: readonly number[]
  /** Duration of each phase at normal load between the overloads. */
  readonly calmMs: number
  readonly overloadMs: number
  /** Duration of the phase at normal load after the 10x overload. */
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

function loadPhase (name: string, durationMs: number, factor: number): LoadPhase {
  return { name, duration_ms: durationMs, factor, stream_factors: {} }
}

/** Goodput of a phase in completed root requests per second, without the start of the phase. */
function settledGoodputPerS (result: LoadResult, phaseIndex: number): number {
  const startMs = phaseStartMs(result, phaseIndex)
  const endMs = phaseStartMs(result, phaseIndex + 1)
  return completedPerS(result, startMs + SETTLE_MS, endMs)
}

/**
 * Measures goodput at about the promised rates (1x), then at 2x and 10x, and the
 * recovery time after each of the two overloads. The capacity is the highest
 * goodput of the ramp phases, unless a known capacity is given.
 *
 * @example
 * (await measureOverload(deployment, times)).goodputRatioAt10x
 */
export async function measureOverload (
  deployment: Deployment, durations: BenchDurations, knownCapacityPerS?: number
): Promise<OverloadResult> {
  const ramp = knownCapacityPerS === undefined ? durations.rampFactors : []
  const phases = [
    loadPhase('calm', durations.calmMs, NORMAL_LOAD_FACTOR),
    ...ramp.map(factor => loadPhase(`at_${factor}x`, durations.rampMs, factor)),
    loadPhase('calm_2', durations.calmMs, NORMAL_LOAD_FACTOR), loadPhase('at_2x', durations.overloadMs, 2),
    loadPhase('after_2x', durations.calmMs, NORMAL_LOAD_FACTOR), loadPhase('at_10x', durations.overloadMs, 10),
    loadPhase('after_10x', durations.afterMs, NORMAL_LOAD_FACTOR)
  ]
  const result = await runLoad(deployment, { phases, callersCount: CALLER_PROCESSES_COUNT })
  const phaseIndexOf = (name: string): number => phases.findIndex(one => one.name === name)
  const rampGoodputs = ramp.map(factor => settledGoodputPerS(result, phaseIndexOf(`at_${factor}x`)))
  const capacityPerS = knownCapacityPerS ?? Math.max(...rampGoodputs)
  return {
    capacityPerS,
    goodputRatioAt2x: settledGoodputPerS(result, phaseIndexOf('at_2x')) / capacityPerS,
    goodputRatioAt10x: settledGoodputPerS(result, phaseIndexOf('at_10x')) / capacityPerS,
    vitalRatioAt10x: vitalCompletedRatio(deployment, result, 'at_10x'),
    recoveryAfter2xMs: recoveryInPhaseMs(result, phaseIndexOf('after_2x')),
    recoveryAfter10xMs: recoveryInPhaseMs(result, phaseIndexOf('after_10x')),
    callerCpuPercent: Math.max(...result.reports.map(report => report.cpu_percent)),
    results: [result]
  }
}

/** Vital root requests of a phase with complete answers, divided by the number promised for its duration. */
function vitalCompletedRatio (deployment: Deployment, result: LoadResult, phaseName: string): number {
  const { whole_count: wholeCount } = sumCounts(result, one => one.phase === phaseName && one.importance === 'vital')
  const durationMs = result.phases.find(one => one.name === phaseName)?.duration_ms ?? 0
  const promisedPerS = deployment.streams.filter(stream => stream.importance === 'vital')
    .reduce((sum, stream) => sum + stream.rate_per_s, 0)
  return wholeCount / (promisedPerS * durationMs / 1000)
}

/**
 * Recovery time in a phase at normal load after an overload, compared with the phase
 * at normal load at the start; null if recovery was not seen.
 */
function recoveryInPhaseMs (result: LoadResult, phaseIndex: number): number | null {
  const endMs = phaseStartMs(result, phaseIndex + 1)
  const calm = { fromMs: phaseStartMs(result, 0), untilMs: phaseStartMs(result, 1) }
  const windows = mergeWindows(result).filter(one => one.at_ms < endMs)
  return recoveryMs(windows, phaseStartMs(result, phaseIndex), calm)
}

/** Makes the backend servers of the service at the end of the call chains slower by a factor. */
async function setDeepServiceSlowdown (deployment: Deployment, factor: number): Promise<void> {
  const deepVms = deployment.vms.filter(vm => vm.service === deployment.spec.lastServiceInChain)
  await Promise.all(deepVms.map(async vm => await postControl(vm.backendControlAddress, { slow_factor: factor })))
}

/** Measures the recovery time after the service at the end of the call chains was slow for a while. */
export async function measureSlowDeepService (
  deployment: Deployment, durations: BenchDurations
): Promise<{ recoveryMs: number | null, result: LoadResult }> {
  const phases = [
    loadPhase('calm', durations.calmMs, SLOWDOWN_LOAD_FACTOR),
    loadPhase('slow', durations.overloadMs, SLOWDOWN_LOAD_FACTOR),
    loadPhase('after_slow', durations.calmMs, SLOWDOWN_LOAD_FACTOR)
  ]
  const timers: NodeJS.Timeout[] = []
  const startedAtMs = Date.now()
  const running = runLoad(deployment, { phases, seed: 3, callersCount: CALLER_PROCESSES_COUNT })
  let slowEndMs = Infinity
  // The load starts a little after this call. The delay of 1 s keeps the slowdown inside its phase.
  timers.push(setTimeout(() => {
    setDeepServiceSlowdown(deployment, SLOWDOWN_FACTOR).catch(logControlError)
  }, durations.calmMs + 1000))
  timers.push(setTimeout(() => {
    slowEndMs = Date.now()
    setDeepServiceSlowdown(deployment, 1).catch(logControlError)
  }, durations.calmMs + durations.overloadMs))
  try {
    const result = await running
    const calm = { fromMs: startedAtMs, untilMs: phaseStartMs(result, 1) }
    return { recoveryMs: recoveryMs(mergeWindows(result), slowEndMs, calm), result }
  } finally {
    timers.forEach(clearTimeout)
  }
}

function logControlError (error: unknown): void {
  process.stderr.write(`could not change the service time of the backend servers: ${String(error)}\n`)
}

/** Counts of violated guarantees, and the greatest number of retries for one root request. */
export interface ViolationCounts {
  readonly max_retries_per_root: number
  readonly important_refused_before_lookups: number
  readonly duplicate_runs: number
  readonly false_not_run: number
  readonly wrong_or_partial_answers: number
}

/**
 * Counts violated guarantees over all load runs of a deployment, from the logs of its
 * processes and the reports of its callers.
 */
export async function countViolations (
  deployment: Deployment, results: readonly LoadResult[]
): Promise<ViolationCounts> {
  await new Promise(resolve => setTimeout(resolve, LOG_FLUSH_MS))
  const notRunKeys = results.flatMap(result => result.reports.flatMap(report => report.not_run_keys))
  const audit = auditRuns(await readMatchingLogLines(deployment.backendProcesses, 'event=run_started'), notRunKeys)
  const records = (await readMatchingLogLines(deployment.nodeProcesses, 'event=call_record')).map(parseCallRecord)
    .filter((record): record is BenchRecord => record !== undefined)
  return {
    max_retries_per_root: maxRetriesPerRoot(records),
    important_refused_before_lookups: importantRefusedBeforeLookups(records),
    duplicate_runs: audit.duplicateRuns.length,
    false_not_run: audit.falseNotRun.length,
    wrong_or_partial_answers: results.reduce((sum, result) => sum + sumCounts(result, () => true).wrong_count, 0)
  }
}
