import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { assertNever } from '../errors/errors.js'
import { runCell } from './faultMatrix.js'
import type { CellOptions, CellRun } from './faultMatrix.js'
import { Fault, FaultStep } from './soakTypes.js'

/** A cell of the table: faults that strike at a step, run with several seeds. */
export interface FaultCell {
  readonly step: FaultStep
  readonly faults: readonly Fault[]
  readonly seeds: readonly number[]
}

export interface CellReport extends FaultCell {
  readonly runs: readonly CellRun[]
}

/**
 * Cells of each fault at each step.
 *
 * @example
 * cellsOf([1, 2]).length // number of faults times number of steps
 */
export function cellsOf (seeds: readonly number[]): FaultCell[] {
  return Object.values(Fault).flatMap(fault =>
    Object.values(FaultStep).map(step => ({ step, faults: [fault], seeds })))
}

/**
 * Cells of two faults at once, drawn by seed; each is run with its own seed.
 *
 * @example
 * pairsOf(1, 20) // 20 cells, the same for the same seed
 */
export function pairsOf (seed: number, count: number): FaultCell[] {
  const generator = xoroshiro128plus(seed)
  const pick = <T>(items: readonly T[]): T => items[Math.floor(uniformFloat64(generator) * items.length)]!
  return Array.from({ length: count }, (_, at) => {
    const first = pick(Object.values(Fault))
    const second = pick(Object.values(Fault).filter(fault => fault !== first))
    return { step: pick(Object.values(FaultStep)), faults: [first, second], seeds: [seed + at] }
  })
}

/**
 * Runs a cell with each of its seeds.
 *
 * @example
 * await runFaultCell({ step: FaultStep.Queue, faults: [Fault.KillNode], seeds: [1, 2] })
 */
export async function runFaultCell (
  cell: FaultCell, run: (options: CellOptions) => Promise<CellRun> = runCell
): Promise<CellReport> {
  const runs: CellRun[] = []
  for (const seed of cell.seeds) runs.push(await run({ step: cell.step, faults: cell.faults, seed }))
  return { ...cell, runs }
}

/** Text of a cell: a failed seed counts before the others, and each seed that did not run is counted. */
export function cellText ({ runs }: CellReport): string {
  const failedCount = runs.filter(run => run.kind === 'fail').length
  const notRunCount = runs.filter(run => run.kind === 'not_run').length
  if (failedCount > 0) return `fail ${failedCount}/${runs.length}`
  if (notRunCount === runs.length) return 'not run'
  return notRunCount === 0 ? 'pass' : `pass ${runs.length - notRunCount}/${runs.length}`
}

/** Seeds of a cell that failed or did not run, each with what was seen. */
export function cellDetails (report: CellReport): string[] {
  const name = `${report.faults.join(' + ')} at ${report.step}`
  return report.runs.flatMap((run, at) => runDetails(`${name}, seed ${report.seeds[at]}`, run))
}

function runDetails (name: string, run: CellRun): string[] {
  switch (run.kind) {
    case 'pass': return []
    case 'fail': return [`${name}: fail: ${run.violations[0]}`]
    case 'not_run': return [`${name}: not run: ${run.reason}`]
    default: return assertNever(run)
  }
}

/** The table with a row per fault and a column per step. */
export function tableText (reports: readonly CellReport[]): string {
  const steps = Object.values(FaultStep)
  const rows = Object.values(Fault).map(fault => [fault, ...steps.map(step => {
    const report = reports.find(one => one.step === step && one.faults[0] === fault)
    return report === undefined ? 'not run' : cellText(report)
  })])
  return [['fault', ...steps], steps.map(() => '---').concat('---'), ...rows]
    .map(cells => `| ${cells.join(' | ')} |`).join('\n')
}
