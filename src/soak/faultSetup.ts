import type { Millis } from '../clock/clock.js'
import { assertNever } from '../errors/errors.js'
import { BackendStatus } from '../core/nodeCore/nodeCoreTypes.js'
import type { SoakFleet } from './soakFleet.js'
import type { SoakNode } from './soakNode.js'
import { FaultStep } from './soakTypes.js'

const CRASH_PERIOD_MS: Millis = 100
const DRAIN_AFTER_MS: Millis = 100
const SLOW_FACTOR = 10
const SURGE_FACTOR = 8

/** Sets up the conditions under which a step occurs soon; returns a function that ends them. */
export function prepareStep (fleet: SoakFleet, step: FaultStep): () => void {
  switch (step) {
    case FaultStep.Queue: return overload(fleet)
    case FaultStep.ResendWaiting: return crashBackends(fleet)
    case FaultStep.Drain: return drainUnderLoad(fleet)
    case FaultStep.Start:
      restartNode(fleet)
      return () => {}
    case FaultStep.DocumentSpread:
      fleet.publishDocument(fleet.simulation.pickRandom(['booking', 'schedule', 'invoicing']))
      return () => {}
    case FaultStep.Accept:
    case FaultStep.BeforeDispatch:
    case FaultStep.Dispatched:
    case FaultStep.AnswerUnderWay:
    case FaultStep.AnsweredNotReported: return () => {}
    default: return assertNever(step)
  }
}

function overload (fleet: SoakFleet): () => void {
  for (const caller of fleet.callers) caller.meanPeriodMs /= SURGE_FACTOR
  for (const node of fleet.nodes) fleet.backendOf(node.entry.vmId).slowFactor = SLOW_FACTOR
  return () => {
    for (const caller of fleet.callers) caller.meanPeriodMs *= SURGE_FACTOR
    for (const node of fleet.nodes) fleet.backendOf(node.entry.vmId).slowFactor = 1
  }
}

/** Crashes busy backend servers: after a lost connection, a call on an idempotent route waits before its resend. */
function crashBackends (fleet: SoakFleet): () => void {
  return fleet.simulation.scheduleEvery(CRASH_PERIOD_MS, () => {
    const busy = aliveNodesOf(fleet, 'schedule').find(node => fleet.backendOf(node.entry.vmId).runningCount > 0)
    if (busy !== undefined) fleet.backendOf(busy.entry.vmId).crash()
  })
}

function aliveNodesOf (fleet: SoakFleet, serviceName: string): SoakNode[] {
  return fleet.nodes.filter(node => node.isAlive && node.entry.serviceName === serviceName)
}

/** Starts a drain under overload; slow servers keep calls in flight during the drain. */
function drainUnderLoad (fleet: SoakFleet): () => void {
  const endOverload = overload(fleet)
  fleet.simulation.schedule(DRAIN_AFTER_MS, () => startDrain(fleet))
  return endOverload
}

/** Drains a node with calls in flight: stops the node, or sets its backend server to draining. */
function startDrain (fleet: SoakFleet): void {
  const busy = fleet.nodes.find(node => node.db.calls.size > 0)
  if (busy === undefined) {
    fleet.simulation.schedule(1, () => startDrain(fleet))
  } else if (fleet.simulation.randomBool(0.5)) {
    busy.isStopping = true
    busy.emit({ kind: 'stop_requested' })
  } else {
    fleet.backendOf(busy.entry.vmId).setStatus(BackendStatus.Draining)
  }
}

function restartNode (fleet: SoakFleet): void {
  const node = fleet.simulation.pickRandom(fleet.nodes)
  node.kill()
  fleet.startNode(node.entry)
}
