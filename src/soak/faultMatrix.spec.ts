import { runCell } from './faultMatrix.js'
import type { CellRun } from './faultMatrix.js'
import { cellDetails, createSingleFaultCells, cellText, drawFaultPairCells, runFaultCell, tableText } from './faultTable.js'
import { Fault, FaultStep } from './soakTypes.js'

const failedRun = { kind: 'fail', violations: ['atMostOnce: k ran twice'] } as const
const unreachedRun = { kind: 'not_run', reason: 'step not reached' } as const

function reportWith (...runs: CellRun[]): ReturnType<typeof runFaultCell> {
  const results = [...runs]
  const seeds = runs.map((_, at) => at + 1)
  return runFaultCell({ step: FaultStep.Queue, faults: [Fault.KillNode], seeds }, async () => results.shift()!)
}

describe('faults injected at steps', () => {
  test.each(Object.values(FaultStep))('a node killed at the step "%s" violates no invariant', async step => {
    expect(await runCell({ step, faults: [Fault.KillNode], seed: 1 })).toEqual({ kind: 'pass' })
  })

  test('two faults injected at the same time violate no invariant', async () => {
    const faults = [Fault.PauseNode, Fault.KillBackend]
    expect(await runCell({ step: FaultStep.BeforeDispatch, faults, seed: 2 })).toEqual({ kind: 'pass' })
  })
})

describe('fault table', () => {
  test('one failed seed makes the cell fail, and the details name the seed', async () => {
    const report = await reportWith({ kind: 'pass' }, failedRun, unreachedRun)
    expect(cellText(report)).toBe('fail 1/3')
    expect(cellDetails(report)).toEqual([
      'kill_node at queue, seed 2: fail: atMostOnce: k ran twice', 'kill_node at queue, seed 3: not run: step not reached'
    ])
  })

  test('a seed that did not run is not shown as passed', async () => {
    expect(cellText(await reportWith(unreachedRun, unreachedRun))).toBe('not run')
    expect(cellText(await reportWith({ kind: 'pass' }, unreachedRun))).toBe('pass 1/2')
  })

  test('the table has a row for each fault and a column for each step, even without reports', () => {
    const lines = tableText([]).split('\n')
    expect(lines).toHaveLength(Object.values(Fault).length + 2)
    for (const line of lines.slice(2)) expect(line.split('not run')).toHaveLength(Object.values(FaultStep).length + 1)
    expect(createSingleFaultCells([1])).toHaveLength(Object.values(Fault).length * Object.values(FaultStep).length)
  })

  test('the same seed draws the same pairs, so that a failed pair can be reproduced', () => {
    expect(drawFaultPairCells(1, 5)).toEqual(drawFaultPairCells(1, 5))
    for (const { faults: [first, second] } of drawFaultPairCells(1, 50)) expect(first).not.toBe(second)
  })
})
