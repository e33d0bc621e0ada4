import { SoakFleet } from './soakFleet.js'
import type { SoakNode } from './soakNode.js'
import { runSoak } from './soakRun.js'

describe('fleet on a manual clock', () => {
  test('without faults each request is answered, so leases, lists and documents spread by themselves', async () => {
    const report = await runSoak({ seed: 1, steps: 120_000, faults: [] })
    expect(report.violations).toEqual([])
    // Before the first leases, keyed requests are refused; afterwards nearly all are done.
    expect(report.doneCount / report.rootsCount).toBeGreaterThan(0.7)
  })

  // Seed 2 runs longer below.
  test.each([1, 3, 4, 5, 6])('seed %i with all faults breaks no property', async seed => {
    expect((await runSoak({ seed, steps: 60_000 })).violations).toEqual([])
  })

  // Seed 1035: a call was sent to a draining owner that became a target again before the call ended.
  // Seed 2: an unnumbered resend was reported as not run by a new owner after the first send had run.
  test.each([[1035, 100_000], [2, 260_000]])('seed %i, which failed once, breaks no property in %i steps', async (seed, steps) => {
    expect((await runSoak({ seed, steps })).violations).toEqual([])
  })

  // Seed 3002 ended with calls open at a node that had been paused for 61 s; the check took them for lost.
  test('calls of a paused node are not taken for lost, and end after it resumes', () => {
    const fleet = new SoakFleet(3002)
    const runTo = (untilMs: number): void => { while (fleet.world.nowMs < untilMs) fleet.world.step() }
    runTo(17_000)
    const isBusy = (node: SoakNode): boolean => node.db.calls.size > 0
    while (!fleet.nodes.some(isBusy)) fleet.world.step()
    const busy = fleet.nodes.find(isBusy)!
    const openCallIds = [...busy.db.calls.keys()]
    for (const caller of fleet.callers) caller.isQuiet = true
    busy.pause(63_000)
    runTo(79_900)
    busy.checkInvariants()
    expect([fleet.checks.violations, busy.db.calls.size]).toEqual([[], openCallIds.length])
    runTo(83_000)
    busy.checkInvariants()
    expect([fleet.checks.violations, openCallIds.filter(id => busy.db.calls.has(id))]).toEqual([[], []])
  })

  test('the same seed gives the same run, so that a failing seed can be looked into', async () => {
    const [first, second] = [await runSoak({ seed: 9, steps: 20_000 }), await runSoak({ seed: 9, steps: 20_000 })]
    expect(second).toEqual(first)
  })
})
