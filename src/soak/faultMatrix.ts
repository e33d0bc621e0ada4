import type { Millis } from '../clock/clock.js'
import { prepareStep } from './faultSetup.js'
import { applyFault } from './soakFaults.js'
import { SoakFleet } from './soakFleet.js'
import type { SoakNode } from './soakNode.js'
import { Fault } from './soakTypes.js'
import type { FaultStep } from './soakTypes.js'

/** By this time the leases of all three data centres are held. */
const WARM_UP_MS: Millis = 17_000
const LOAD_BEFORE_MS: Millis = 300
const STEP_REACHED_WITHIN_MS: Millis = 4_000
/** Longer than the drain bound, the restart of a backend server and the recovery after a pause. */
const LOAD_AFTER_MS: Millis = 5_000
const LONG_PAUSE_MS: Millis = 90_000
const MEAN_CALL_PERIOD_MS: Millis = 40
/** A random number of occurrences of the step, lower than this, is skipped before the faults are injected. */
const SKIPS_MAX_COUNT = 6
/** The run yields after this many steps so that the promises of gossip pulls settle, as in the soak. */
const STEPS_PER_TURN_COUNT = 8

export interface CellOptions {
  readonly step: FaultStep
  /** Faults injected at the same simulated time, in this order. */
  readonly faults: readonly Fault[]
  readonly seed: number
}

export type CellRun =
  | { readonly kind: 'pass' }
  | { readonly kind: 'fail', readonly violations: readonly string[] }
  | { readonly kind: 'not_run', readonly reason: string }

interface Injection {
  node: SoakNode | null
}

/**
 * Runs a small fleet, injects the faults when a node reaches the step, and checks
 * all invariants until some seconds later.
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
  await runUntil(fleet, fleet.simulation.nowMs + LOAD_BEFORE_MS)
  const injection = await injectAt(fleet, step, faults)
  if (injection.node !== null) {
    await runUntil(fleet, fleet.simulation.nowMs + LOAD_AFTER_MS)
    if (faults.includes(Fault.PauseNodeLong)) await runPastLongPause(fleet)
  }
  for (const node of fleet.nodes) node.checkInvariants()
  const { violations } = fleet.checks
  if (violations.length > 0) return { kind: 'fail', violations }
  if (injection.node === null) return { kind: 'not_run', reason: `step not reached within ${STEP_REACHED_WITHIN_MS} ms` }
  return { kind: 'pass' }
}

function setLoad (fleet: SoakFleet, isOn: boolean): void {
  for (const caller of fleet.callers) caller.isIdle = !isOn
}

async function injectAt (fleet: SoakFleet, step: FaultStep, faults: readonly Fault[]): Promise<Injection> {
  const injection: Injection = { node: null }
  const endPreparation = prepareStep(fleet, step)
  let skipsCount = Math.floor(fleet.simulation.random() * SKIPS_MAX_COUNT)
  fleet.onFaultStep = (reached, node) => {
    if (reached !== step || injection.node !== null || skipsCount-- > 0) return
    injection.node = node
    fleet.onFaultStep = null
    for (const fault of faults) applyFault(fleet, fault, node)
  }
  const untilMs = fleet.simulation.nowMs + STEP_REACHED_WITHIN_MS
  await runUntil(fleet, untilMs, () => injection.node !== null)
  fleet.onFaultStep = null
  endPreparation()
  return injection
}

/** Lets most of a long pause pass without load, then sends calls to the resumed node. */
async function runPastLongPause (fleet: SoakFleet): Promise<void> {
  setLoad(fleet, false)
  await runUntil(fleet, fleet.simulation.nowMs + LONG_PAUSE_MS, () => !fleet.nodes.some(node => node.isPaused))
  setLoad(fleet, true)
  await runUntil(fleet, fleet.simulation.nowMs + LOAD_AFTER_MS)
}

async function runUntil (fleet: SoakFleet, untilMs: Millis, isOver = () => false): Promise<void> {
  const { simulation, checks } = fleet
  while (simulation.nowMs < untilMs && checks.violations.length === 0 && !isOver() && simulation.step()) {
    if (simulation.stepsCount % STEPS_PER_TURN_COUNT === 0) await Promise.resolve()
  }
}
