import { VmState } from '../core/membership/membershipTypes.js'
import { BackendStatus } from '../core/nodeCore/nodeCoreTypes.js'
import { assertNever } from '../errors/errors.js'
import { DATA_CENTRES } from './soakFleet.js'
import type { SoakFleet } from './soakFleet.js'
import type { SoakNode } from './soakNode.js'
import { PlatformMode } from './soakPlatform.js'
import { Fault } from './soakTypes.js'

const SERVICES = ['booking', 'schedule', 'invoicing'] as const
/** Faults without a given node are skipped while fewer nodes than this are live, so that checks still see traffic. */
const LIVE_NODES_MIN_COUNT = 5
const SURGE_FACTOR = 8

function pickLiveNode (fleet: SoakFleet): SoakNode | undefined {
  const live = fleet.nodes.filter(node => node.isAlive && !node.isStopping)
  return live.length < LIVE_NODES_MIN_COUNT ? undefined : fleet.simulation.pickRandom(live)
}

/** Injects one fault at the given node, or at a random live one. Most faults end after a random duration. */
export function applyFault (fleet: SoakFleet, fault: Fault, node = pickLiveNode(fleet)): void {
  if (node === undefined) return
  const { simulation, network } = fleet
  const durationMs = simulation.randomBetween(200, 12_000)
  switch (fault) {
    case Fault.KillNode: return killNode(fleet, node)
    case Fault.KillBackend: return fleet.backendOf(node.entry.vmId).crash()
    case Fault.PauseNode: return node.pause(simulation.randomBetween(100, 5_000))
    case Fault.PauseNodeLong: return node.pause(simulation.randomBetween(60_000, 90_000))
    case Fault.PauseBackend: return fleet.backendOf(node.entry.vmId).pause(simulation.randomBetween(100, 3_000))
    case Fault.CutNodes:
      return cutLinkTemporarily(
        fleet, node.endpoint.endpointId, simulation.pickRandom(fleet.nodes).endpoint.endpointId, durationMs)
    case Fault.CutDataCentres:
      return cutLinkTemporarily(
        fleet, simulation.pickRandom(DATA_CENTRES), simulation.pickRandom(DATA_CENTRES), durationMs)
    case Fault.CutPlatform: return cutLinkTemporarily(fleet, simulation.pickRandom(DATA_CENTRES), 'platform', durationMs)
    case Fault.SilentConnections:
      network.silentEndpointIds.add(node.endpoint.endpointId)
      return simulation.schedule(durationMs, () => network.silentEndpointIds.delete(node.endpoint.endpointId))
    case Fault.PlatformDown: return setPlatformModeTemporarily(fleet, PlatformMode.Down, durationMs)
    case Fault.PlatformStale: return setPlatformModeTemporarily(fleet, PlatformMode.Stale, durationMs)
    case Fault.PlatformOlder: return setPlatformModeTemporarily(fleet, PlatformMode.Older, durationMs)
    case Fault.ListLate:
      fleet.listLagMs = simulation.randomBetween(3_000, 15_000)
      return simulation.schedule(durationMs, () => { fleet.listLagMs = 1_500 })
    case Fault.ListWrong: return dropFromList(fleet, node, durationMs)
    case Fault.FalseHealthReport: return reportFalseHealth(fleet, node, durationMs)
    case Fault.RacingEdits: return publishConflictingEdits(fleet)
    case Fault.InvalidEdit: return fleet.platform.publish(`documents/${simulation.pickRandom(SERVICES)}`, 'service: 7\nversion: x\n')
    case Fault.Edit: return fleet.publishDocument(simulation.pickRandom(SERVICES))
    case Fault.CrashingRequest: return simulation.pickRandom(fleet.callers).sendCrashing()
    case Fault.SlowService: return slowDownService(fleet, durationMs)
    case Fault.Surge: return increaseLoad(fleet, durationMs)
    case Fault.ColdStart: return simulateColdStart(fleet, node, durationMs)
    case Fault.StopNode: return stopNode(node)
    case Fault.DrainBackend: return drainBackend(fleet, node, durationMs)
    case Fault.VmLeaves: return announceVmLeaving(fleet, node)
    default: return assertNever(fault)
  }
}

function cutLinkTemporarily (fleet: SoakFleet, a: string, b: string, durationMs: number): void {
  if (a === b) return
  fleet.network.cutLink(a, b)
  fleet.checks.recordCommunicationLoss(fleet.simulation.nowMs + durationMs)
  fleet.simulation.schedule(durationMs, () => fleet.network.restoreLink(a, b))
}

/** Kills the node process. With equal probability it restarts with empty memory or its VM is lost and replaced. */
function killNode (fleet: SoakFleet, node: SoakNode): void {
  if (fleet.simulation.randomBool(0.5)) {
    fleet.replaceVm(node)
    return
  }
  node.kill()
  fleet.simulation.schedule(fleet.simulation.randomBetween(50, 2_000), () => {
    if (fleet.nodes.includes(node)) fleet.startNode(node.entry)
  })
}

function setPlatformModeTemporarily (fleet: SoakFleet, mode: PlatformMode, durationMs: number): void {
  fleet.platform.setMode(mode)
  fleet.checks.recordCommunicationLoss(fleet.simulation.nowMs + durationMs)
  fleet.simulation.schedule(durationMs, () => fleet.platform.setMode(PlatformMode.Up))
}

function dropFromList (fleet: SoakFleet, node: SoakNode, durationMs: number): void {
  fleet.setListed(node.entry.vmId, null)
  fleet.simulation.schedule(durationMs, () => {
    if (node.isAlive && !node.isStopping) fleet.setListed(node.entry.vmId, VmState.Live)
  })
}

function reportFalseHealth (fleet: SoakFleet, node: SoakNode, durationMs: number): void {
  const backend = fleet.backendOf(node.entry.vmId)
  backend.reportedStatus = fleet.simulation.pickRandom([BackendStatus.Warming, BackendStatus.Ready])
  fleet.simulation.schedule(durationMs, () => {
    backend.reportedStatus = null
    if (backend.status !== BackendStatus.Down) backend.setStatus(backend.status)
  })
}

/** Publishes the same document version twice, as two operators who edit at the same time would. */
function publishConflictingEdits (fleet: SoakFleet): void {
  const serviceName = fleet.simulation.pickRandom(SERVICES)
  const version = fleet.nextVersion(serviceName)
  fleet.publishDocument(serviceName, version)
  fleet.simulation.schedule(fleet.simulation.randomBetween(0, 2_000), () => fleet.publishDocument(serviceName, version))
}

function slowDownService (fleet: SoakFleet, durationMs: number): void {
  const serviceName = fleet.simulation.pickRandom(SERVICES)
  for (const node of fleet.nodes) {
    if (node.entry.serviceName !== serviceName) continue
    const backend = fleet.backendOf(node.entry.vmId)
    backend.slowFactor = 10
    fleet.simulation.schedule(durationMs, () => { backend.slowFactor = 1 })
  }
}

function increaseLoad (fleet: SoakFleet, durationMs: number): void {
  for (const caller of fleet.callers) {
    caller.meanPeriodMs /= SURGE_FACTOR
    fleet.simulation.schedule(Math.min(durationMs, 3_000), () => { caller.meanPeriodMs *= SURGE_FACTOR })
  }
}

function simulateColdStart (fleet: SoakFleet, node: SoakNode, durationMs: number): void {
  const backend = fleet.backendOf(node.entry.vmId)
  backend.slowFactor = 4
  backend.setStatus(BackendStatus.Warming)
  fleet.simulation.schedule(durationMs, () => {
    backend.slowFactor = 1
    if (backend.status === BackendStatus.Warming) backend.setStatus(BackendStatus.Ready)
  })
}

function stopNode (node: SoakNode): void {
  node.isStopping = true
  node.emit({ kind: 'stop_requested' })
}

function drainBackend (fleet: SoakFleet, node: SoakNode, durationMs: number): void {
  const { vmId } = node.entry
  const backend = fleet.backendOf(vmId)
  backend.setStatus(BackendStatus.Draining)
  fleet.simulation.schedule(durationMs, () => {
    if (backend.status !== BackendStatus.Draining) return
    backend.setStatus(BackendStatus.Ready)
  })
}

/** Lists a VM as leaving; its node is asked to stop 15 s later. */
function announceVmLeaving (fleet: SoakFleet, node: SoakNode): void {
  node.isStopping = true
  fleet.setListed(node.entry.vmId, VmState.Leaving)
  fleet.simulation.schedule(15_000, () => {
    if (node.isAlive) node.emit({ kind: 'stop_requested' })
  })
}
