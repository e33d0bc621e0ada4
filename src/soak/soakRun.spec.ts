import { SoakFleet } from './soakFleet.js'
import type { SoakNode } from './soakNode.js'
import { runSoak } from './soakRun.js'

describe('fleet on a simulated clock', () => {
  test('without faults most requests are done, which requires that leases, lists and documents reach all nodes', async () => {
    const report = await runSoak({ seed: 1, steps: 120_000, faults: [] })
    expect(report.violations).toEqual([])
    // Requests with an idempotency key are refused until the first leases are granted; then nearly all are done.
    expect(report.doneCount / report.rootsCount).toBeGreaterThan(0.7)
  })

  // Seed 2 is left out, because the next test runs it with more steps.
  test.each([1, 3, 4, 5, 6])('seed %i with all faults violates no invariant', async seed => {
    expect((await runSoak({ seed, steps: 60_000 })).violations).toEqual([])
  })

  // Seed 1035: a call was sent to a draining owner node, which became a target again before the call ended.
  // Seed 2: the first send had run, and a new owner node reported a resend without an attempt number as not run.
  test.each([[1035, 100_000], [2, 260_000]])('regression: seed %i violates no invariant in %i steps', async (seed, steps) => {
    expect((await runSoak({ seed, steps })).violations).toEqual([])
  })

  // Seed 3002 ended while a node that had been paused for 61 s had open calls; the check reported them as lost.
  test('open calls of a paused node are not reported as lost, and end after it resumes', () => {
    const fleet = new SoakFleet(3002)
    const runTo = (untilMs: number): void => { while (fleet.simulation.nowMs < untilMs) fleet.simulation.step() }
    runTo(17_000)
    const isBusy = (node: SoakNode): boolean => node.db.calls.size > 0
    while (!fleet.nodes.some(isBusy)) fleet.simulation.step()
    const busy = fleet.nodes.find(isBusy)!
    const openCallIds = [...busy.db.calls.keys()]
    for (const caller of fleet.callers) caller.isIdle = true
    busy.pause(63_000)
    runTo(79_900)
    busy.checkInvariants()
    expect([fleet.checks.violations, busy.db.calls.size]).toEqual([[], openCallIds.length])
    runTo(83_000)
    busy.checkInvariants()
    expect([fleet.checks.violations, openCallIds.filter(id => busy.db.calls.has(id))]).toEqual([[], []])
  })

  test('the same seed gives the same run, so that a failing seed can be reproduced', async () => {
    const [first, second] = [await runSoak({ seed: 9, steps: 20_000 }), await runSoak({ seed: 9, steps: 20_000 })]
    expect(second).toEqual(first)
  })
})
