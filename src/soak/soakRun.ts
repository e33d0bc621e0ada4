import { applyFault } from './soakFaults.js'
import { SoakFleet } from './soakFleet.js'
import { Fault } from './soakTypes.js'
import type { SoakOptions, SoakReport } from './soakTypes.js'

const MEAN_FAULT_PERIOD_MS = 1_500
/** The nodes receive documents, VM lists and leases before the first fault. */
const FIRST_FAULT_AFTER_MS = 20_000
/** The run yields after this many steps so that the promises of gossip pulls settle; more steps would delay them. */
const STEPS_PER_TURN_COUNT = 8

/**
 * Runs the core of a whole fleet on a simulated clock with seeded faults and
 * checks the invariants. The run is deterministic for the same options.
 *
 * @example
 * const report = await runSoak({ seed: 1, steps: 100_000 })
 * report.violations // []
 */
export async function runSoak (options: SoakOptions): Promise<SoakReport> {
  const fleet = new SoakFleet(options.seed)
  const faultsCount: Record<string, number> = {}
  scheduleFaults(fleet, options, faultsCount)
  while (fleet.simulation.stepsCount < options.steps && fleet.simulation.step()) {
    if (fleet.simulation.stepsCount % STEPS_PER_TURN_COUNT === 0) await Promise.resolve()
    if (fleet.checks.violations.length > 0) break
  }
  for (const node of fleet.nodes) node.checkInvariants()
  return createReport(fleet, options, faultsCount)
}

function scheduleFaults (fleet: SoakFleet, options: SoakOptions, faultsCount: Record<string, number>): void {
  const faults = options.faults ?? Object.values(Fault)
  const meanPeriodMs = options.meanFaultPeriodMs ?? MEAN_FAULT_PERIOD_MS
  if (faults.length === 0) return
  const injectNext = (): void => {
    const fault = fleet.simulation.pickRandom(faults)
    faultsCount[fault] = (faultsCount[fault] ?? 0) + 1
    applyFault(fleet, fault)
    fleet.simulation.schedule(-Math.log(1 - fleet.simulation.random()) * meanPeriodMs, injectNext)
  }
  fleet.simulation.schedule(FIRST_FAULT_AFTER_MS, injectNext)
}

function createReport (fleet: SoakFleet, options: SoakOptions, faultsCount: Record<string, number>): SoakReport {
  const sum = (pick: (caller: SoakFleet['callers'][number]) => number): number =>
    fleet.callers.reduce((total, caller) => total + pick(caller), 0)
  return {
    seed: options.seed,
    stepsCount: fleet.simulation.stepsCount,
    simulatedMs: Math.round(fleet.simulation.nowMs),
    rootsCount: sum(caller => caller.rootsCount),
    doneCount: sum(caller => caller.outcomes.done),
    notRunCount: sum(caller => caller.outcomes.notRun),
    unknownCount: sum(caller => caller.outcomes.unknown),
    backendRunsCount: fleet.checks.backendRunsCount,
    maxRetriesPerRoot: fleet.checks.maxRetriesPerRoot,
    faultsCount,
    violations: fleet.checks.violations
  }
}
