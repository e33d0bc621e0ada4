import { z } from 'zod'
import { settingsOrExit } from '../settings/settings.js'
import { cellDetails, createSingleFaultCells, cellText, drawFaultPairCells, runFaultCell, tableText } from './faultTable.js'
import type { CellReport, FaultCell } from './faultTable.js'

const EXIT_CELL_FAILED = 1

const wholeNumber = z.coerce.number().int().min(1)

const { settings } = settingsOrExit({
  program: 'faults',
  describe: 'injects each fault at each step of a call, a node and a document, and checks the invariants',
  specs: {
    seed: { describe: 'First seed', schema: wholeNumber, default: '1', allowed: 'a whole number from 1' },
    seeds: { describe: 'Number of seeds for each cell', schema: wholeNumber, default: '2', allowed: 'a whole number from 1' },
    pairs: { describe: 'Number of pairs of faults', schema: wholeNumber, default: '40', allowed: 'a whole number from 1' }
  }
})

async function runAll (cells: readonly FaultCell[]): Promise<CellReport[]> {
  const reports: CellReport[] = []
  for (const cell of cells) reports.push(await runFaultCell(cell))
  return reports
}

const seeds = Array.from({ length: settings.seeds }, (_, at) => settings.seed + at)
const singles = await runAll(createSingleFaultCells(seeds))
process.stdout.write(`${tableText(singles)}\n\n| pair | step | seed | result |\n| --- | --- | --- | --- |\n`)
const pairs = await runAll(drawFaultPairCells(settings.seed, settings.pairs))
for (const pair of pairs) {
  process.stdout.write(`| ${pair.faults.join(' + ')} | ${pair.step} | ${pair.seeds[0]} | ${cellText(pair)} |\n`)
}
const all = [...singles, ...pairs]
for (const detail of all.flatMap(cellDetails)) process.stdout.write(`${detail}\n`)
const countOf = (kind: string): number => all.flatMap(report => report.runs).filter(run => run.kind === kind).length
process.stdout.write(`faults: ${singles.length} cells, ${pairs.length} pairs, ${countOf('pass')} runs pass, ` +
  `${countOf('fail')} fail, ${countOf('not_run')} not run\n`)
process.exitCode = countOf('fail') === 0 ? 0 : EXIT_CELL_FAILED
