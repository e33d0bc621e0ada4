import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { assertNever } from '../errors/errors.js'
import { runCell } from './faultMatrix.js'
import type { CellOptions, CellRun } from './faultMatrix.js'
import { Fault, FaultStep } from './soakTypes.js'

/** A cell of the fault table: faults injected at a step, run with one or more seeds. */
export interface FaultCell {
  readonly step: FaultStep
  readonly faults: readonly Fault[]
  readonly seeds: readonly number[]
}

export interface CellReport extends FaultCell {
  readonly runs: readonly CellRun[]
}

/**
 * Creates a cell for each fault at each step.
 *
 * @example
 * createSingleFaultCells([1, 2]).length // number of faults times number of steps
 */
export function createSingleFaultCells (seeds: readonly number[]): FaultCell[] {
  return Object.values(Fault).flatMap(fault =>
    Object.values(FaultStep).map(step => ({ step, faults: [fault], seeds })))
}

/**
 * Draws cells of two different faults at the same time from a seeded generator; each cell runs with its own seed.
 *
 * @example
 * drawFaultPairCells(1, 20) // 20 cells, the same for the same seed
 */
export function drawFaultPairCells (seed: number, count: number): FaultCell[] {
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

/** Formats the result of a cell: any failed seed makes it `fail`; a seed that did not run does not count as a pass. */
export function cellText ({ runs }: CellReport): string {
  const failedCount = runs.filter(run => run.kind === 'fail').length
  const notRunCount = runs.filter(run => run.kind === 'not_run').length
  if (failedCount > 0) return `fail ${failedCount}/${runs.length}`
  if (notRunCount === runs.length) return 'not run'
  return notRunCount === 0 ? 'pass' : `pass ${runs.length - notRunCount}/${runs.length}`
}

/** Lists the seeds of a cell that failed or did not run, each with its first violation or the reason. */
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

/** Formats a Markdown table with a row per fault and a column per step. */
export function tableText (reports: readonly CellReport[]): string {
  const steps = Object.values(FaultStep)
  const rows = Object.values(Fault).map(fault => [fault, ...steps.map(step => {
    const report = reports.find(candidate => candidate.step === step && candidate.faults[0] === fault)
    return report === undefined ? 'not run' : cellText(report)
  })])
  return [['fault', ...steps], steps.map(() => '---').concat('---'), ...rows]
    .map(cells => `| ${cells.join(' | ')} |`).join('\n')
}
