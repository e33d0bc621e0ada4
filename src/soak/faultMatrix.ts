import type { Millis } from '../clock/clock.js'
import { prepareStep } from './faultSetup.js'
import { applyFault } from './soakFaults.js'
import { SoakFleet } from './soakFleet.js'
import type { SoakNode } from './soakNode.js'
import { Fault } from './soakTypes.js'
import type { FaultStep } from './soakTypes.js'

/** Leases of all three data centres are held by then. */
const WARM_UP_MS: Millis = 17_000
const LOAD_BEFORE_MS: Millis = 300
const STEP_REACHED_WITHIN_MS: Millis = 4_000
/** Longer than the drain bound, a restart of a backend server and the settling after a pause. */
const LOAD_AFTER_MS: Millis = 5_000
const LONG_PAUSE_MS: Millis = 90_000
const MEAN_CALL_PERIOD_MS: Millis = 40
/** The fault strikes at one of the first times that the step is reached. */
const SKIPS_MAX_COUNT = 6
/** Promises of pulls are settled between steps, as in the soak. */
const STEPS_PER_TURN_COUNT = 8

export interface CellOptions {
  readonly step: FaultStep
  /** Faults that strike at the same moment, in this order. */
  readonly faults: readonly Fault[]
  readonly seed: number
}

export type CellRun =
  | { readonly kind: 'pass' }
  | { readonly kind: 'fail', readonly violations: readonly string[] }
  | { readonly kind: 'not_run', readonly reason: string }

interface Strike {
  node: SoakNode | null
}

/**
 * Runs a small fleet in which faults strike at the moment that a step is reached,
 * and checks all properties until some seconds later.
 *
 * @example
 * await runCell({ step: FaultStep.Queue, faults: [Fault.KillNode], seed: 1 }) // { kind: 'pass' }
 */
export async function runCell ({ step, faults, seed }: CellOptions): Promise<CellRun> {
  const fleet = new SoakFleet(seed)
  setLoad(fleet, false)
  await runUntil(fleet, WARM_UP_MS)
  for (const caller of fleet.callers) caller.meanPeriodMs = MEAN_CALL_PERIOD_MS
  setLoad(fleet, true)
  await runUntil(fleet, fleet.world.nowMs + LOAD_BEFORE_MS)
  const strike = await strikeAt(fleet, step, faults)
  if (strike.node !== null) {
    await runUntil(fleet, fleet.world.nowMs + LOAD_AFTER_MS)
    if (faults.includes(Fault.PauseNodeLong)) await runPastLongPause(fleet)
  }
  for (const node of fleet.nodes) node.checkInvariants()
  const { violations } = fleet.checks
  if (violations.length > 0) return { kind: 'fail', violations }
  if (strike.node === null) return { kind: 'not_run', reason: `step not reached within ${STEP_REACHED_WITHIN_MS} ms` }
  return { kind: 'pass' }
}

function setLoad (fleet: SoakFleet, isOn: boolean): void {
  for (const caller of fleet.callers) caller.isQuiet = !isOn
}

async function strikeAt (fleet: SoakFleet, step: FaultStep, faults: readonly Fault[]): Promise<Strike> {
  const strike: Strike = { node: null }
  const endPreparation = prepareStep(fleet, step)
  let skipsCount = Math.floor(fleet.world.random() * SKIPS_MAX_COUNT)
  fleet.onStep = (reached, node) => {
    if (reached !== step || strike.node !== null || skipsCount-- > 0) return
    strike.node = node
    fleet.onStep = null
    for (const fault of faults) applyFault(fleet, fault, node)
  }
  const untilMs = fleet.world.nowMs + STEP_REACHED_WITHIN_MS
  await runUntil(fleet, untilMs, () => strike.node !== null)
  fleet.onStep = null
  endPreparation()
  return strike
}

/** Most of a long pause passes without load; calls then meet the node that resumes. */
async function runPastLongPause (fleet: SoakFleet): Promise<void> {
  setLoad(fleet, false)
  await runUntil(fleet, fleet.world.nowMs + LONG_PAUSE_MS, () => !fleet.nodes.some(node => node.isPaused))
  setLoad(fleet, true)
  await runUntil(fleet, fleet.world.nowMs + LOAD_AFTER_MS)
}

async function runUntil (fleet: SoakFleet, untilMs: Millis, isOver = () => false): Promise<void> {
  const { world, checks } = fleet
  while (world.nowMs < untilMs && checks.violations.length === 0 && !isOver() && world.step()) {
    if (world.stepsCount % STEPS_PER_TURN_COUNT === 0) await Promise.resolve()
  }
}
