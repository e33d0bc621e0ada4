import type { Millis } from '../../clock/clock.js'
import { SoakCalls, type SoakCounts } from './soakCalls.js'
import { SETTLE_MS, SoakFleet, type SoakFaults } from './soakFleet.js'
import { SoakWorld } from './soakWorld.js'

const LONGEST_CALL_MS = 20_000

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
  /** Number of small tasks to run. */
  readonly steps: number
  readonly faults?: SoakFaults
  /** When callers begin; later than the resend window, keys without a creation time run as well. */
  readonly callsFromMs?: Millis
}

export interface SoakResult extends SoakCounts {
  readonly stepsCount: number
  readonly simulatedMs: Millis
  /** List revisions under which some node held a lease. */
  readonly leasedRevisionsCount: number
  /** Keys that came more than 20 s before the end, longer than any call waits, and never ran. */
  readonly neverRunCount: number
  readonly violations: readonly string[]
}

/**
 * Runs nodes, voters, callers and faults as small tasks on a manual clock and
 * reports broken properties: a key that ran twice, a false `not_run`, and leases
 * of different list revisions that overlap. Stops at the first violation.
 *
 * @example
 * runIdempotencySoak({ seed: 1, steps: 20_000 }).violations // []
 */
export function runIdempotencySoak (options: SoakOptions): SoakResult {
  const world = new SoakWorld(options.seed)
  const fleet = new SoakFleet(world, options.faults ?? ALL_FAULTS)
  const calls = new SoakCalls(fleet, options.callsFromMs ?? SETTLE_MS)
  let stepsCount = 0
  while (stepsCount < options.steps && fleet.violations.length === 0 && world.step()) stepsCount++
  return {
    ...calls.counts,
    stepsCount,
    simulatedMs: world.nowMs,
    leasedRevisionsCount: fleet.ranges.size,
    neverRunCount: calls.neverRunCount(world.nowMs - LONGEST_CALL_MS),
    violations: fleet.violations
  }
}
