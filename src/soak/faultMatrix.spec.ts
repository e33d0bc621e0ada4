import { runCell } from './faultMatrix.js'
import type { CellRun } from './faultMatrix.js'
import { cellDetails, cellsOf, cellText, pairsOf, runFaultCell, tableText } from './faultTable.js'
import { Fault, FaultStep } from './soakTypes.js'

const violated = { kind: 'fail', violations: ['atMostOnce: k ran twice'] } as const
const unreached = { kind: 'not_run', reason: 'step not reached' } as const

function reportWith (...runs: CellRun[]): ReturnType<typeof runFaultCell> {
  const results = [...runs]
  const seeds = runs.map((_, at) => at + 1)
  return runFaultCell({ step: FaultStep.Queue, faults: [Fault.KillNode], seeds }, async () => results.shift()!)
}

describe('faults at steps', () => {
  test.each(Object.values(FaultStep))('the step "%s" is reached, and a killed node breaks no property there', async step => {
    expect(await runCell({ step, faults: [Fault.KillNode], seed: 1 })).toEqual({ kind: 'pass' })
  })

  test('two faults strike at the same moment without a broken property', async () => {
    const faults = [Fault.PauseNode, Fault.KillBackend]
    expect(await runCell({ step: FaultStep.BeforeDispatch, faults, seed: 2 })).toEqual({ kind: 'pass' })
  })
})

describe('fault table', () => {
  test('one failed seed makes the cell fail, and the detail names the seed', async () => {
    const report = await reportWith({ kind: 'pass' }, violated, unreached)
    expect(cellText(report)).toBe('fail 1/3')
    expect(cellDetails(report)).toEqual([
      'kill_node at queue, seed 2: fail: atMostOnce: k ran twice', 'kill_node at queue, seed 3: not run: step not reached'
    ])
  })

  test('a cell that did not run is not shown as passed', async () => {
    expect(cellText(await reportWith(unreached, unreached))).toBe('not run')
    expect(cellText(await reportWith({ kind: 'pass' }, unreached))).toBe('pass 1/2')
  })

  test('each fault has a row and each step a column, also without a report', () => {
    const lines = tableText([]).split('\n')
    expect(lines).toHaveLength(Object.values(Fault).length + 2)
    for (const line of lines.slice(2)) expect(line.split('not run')).toHaveLength(Object.values(FaultStep).length + 1)
    expect(cellsOf([1])).toHaveLength(Object.values(Fault).length * Object.values(FaultStep).length)
  })

  test('pairs are drawn by seed, so that a failed pair can be run again', () => {
    expect(pairsOf(1, 5)).toEqual(pairsOf(1, 5))
    for (const { faults: [first, second] } of pairsOf(1, 50)) expect(first).not.toBe(second)
  })
})
