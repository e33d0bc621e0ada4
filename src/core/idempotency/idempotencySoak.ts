import type { Millis } from '../../clock/clock.js'
import { SoakCalls, type SoakCounts } from './soakCalls.js'
import { STARTUP_MS, SoakFleet, type SoakFaults } from './soakFleet.js'
import { SoakSimulator } from './soakSimulator.js'

const MAX_CALL_MS = 20_000

export const ALL_FAULTS: SoakFaults = {
  pauses: true,
  restarts: true,
  partitions: true,
  listChanges: true,
  staleLists: true,
  lostMessages: true,
  slowMessages: true,
  evictions: true
}

export const NO_FAULTS: SoakFaults = {
  pauses: false,
  restarts: false,
  partitions: false,
  listChanges: false,
  staleLists: false,
  lostMessages: false,
  slowMessages: false,
  evictions: false
}

export interface SoakOptions {
  readonly seed: number
  /** Number of simulator tasks to run. */
  readonly steps: number
  readonly faults?: SoakFaults
  /** When callers start. If this is later than the resend window, keys without a timestamp can run as well. */
  readonly callsFromMs?: Millis
}

export interface SoakResult extends SoakCounts {
  readonly stepsCount: number
  readonly simulatedMs: Millis
  /** List revisions under which some node held a lease. */
  readonly leasedRevisionsCount: number
  /** Keys that were created more than 20 s before the end, which is longer than any call waits, and never ran. */
  readonly neverRunCount: number
  readonly violations: readonly string[]
}

/**
 * Simulates nodes, voters, callers and faults on a manual clock and reports broken
 * properties: a key that ran twice, a wrong `not_run`, and overlapping leases of
 * different list revisions. Stops at the first violation.
 *
 * @example
 * runIdempotencySoak({ seed: 1, steps: 20_000 }).violations // []
 */
export function runIdempotencySoak (options: SoakOptions): SoakResult {
  const simulator = new SoakSimulator(options.seed)
  const fleet = new SoakFleet(simulator, options.faults ?? ALL_FAULTS)
  const calls = new SoakCalls(fleet, options.callsFromMs ?? STARTUP_MS)
  let stepsCount = 0
  while (stepsCount < options.steps && fleet.violations.length === 0 && simulator.runNextTask()) stepsCount++
  return {
    ...calls.counts,
    stepsCount,
    simulatedMs: simulator.nowMs,
    leasedRevisionsCount: fleet.ranges.size,
    neverRunCount: calls.neverRunCount(simulator.nowMs - MAX_CALL_MS),
    violations: fleet.violations
  }
}
