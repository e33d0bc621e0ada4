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

/** Brings a fleet to where a step is reached soon; returns a function that ends the load it added. */
export function prepareStep (fleet: SoakFleet, step: FaultStep): () => void {
  switch (step) {
    case FaultStep.Queue: return overload(fleet)
    case FaultStep.ResendWaiting: return crashBackends(fleet)
    case FaultStep.Drain: return drainUnderLoad(fleet)
    case FaultStep.Start:
      restartNode(fleet)
      return () => {}
    case FaultStep.DocumentSpread:
      fleet.publishDocument(fleet.world.pick(['booking', 'schedule', 'invoicing']))
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

/** A call on an idempotent route waits before its resend after a lost connection. */
function crashBackends (fleet: SoakFleet): () => void {
  return fleet.world.every(CRASH_PERIOD_MS, () => {
    const busy = nodesOf(fleet, 'schedule').find(node => fleet.backendOf(node.entry.vmId).runningCount > 0)
    if (busy !== undefined) fleet.backendOf(busy.entry.vmId).crash()
  })
}

function nodesOf (fleet: SoakFleet, serviceName: string): SoakNode[] {
  return fleet.nodes.filter(node => node.isAlive && node.entry.serviceName === serviceName)
}

/** Slow servers keep calls in flight while the drain goes on. */
function drainUnderLoad (fleet: SoakFleet): () => void {
  const endLoad = overload(fleet)
  fleet.world.after(DRAIN_AFTER_MS, () => startDrain(fleet))
  return endLoad
}

/** Starts a drain at a node with calls in flight, by a stop of the node or by its backend server. */
function startDrain (fleet: SoakFleet): void {
  const busy = fleet.nodes.find(node => node.db.calls.size > 0)
  if (busy === undefined) {
    fleet.world.after(1, () => startDrain(fleet))
  } else if (fleet.world.chance(0.5)) {
    busy.isStopping = true
    busy.emit({ kind: 'stop_requested' })
  } else {
    fleet.backendOf(busy.entry.vmId).setStatus(BackendStatus.Draining)
  }
}

function restartNode (fleet: SoakFleet): void {
  const node = fleet.world.pick(fleet.nodes)
  node.kill()
  fleet.startNode(node.entry)
}
