import { VmState } from '../core/membership/membershipTypes.js'
import { BackendStatus } from '../core/nodeCore/nodeCoreTypes.js'
import { assertNever } from '../errors/errors.js'
import { DATA_CENTRES } from './soakFleet.js'
import type { SoakFleet } from './soakFleet.js'
import type { SoakNode } from './soakNode.js'
import { PlatformMode } from './soakPlatform.js'
import { Fault } from './soakTypes.js'

const SERVICES = ['booking', 'schedule', 'invoicing'] as const
/** A run keeps this many live nodes at least, so that there is something to check. */
const LIVE_NODES_MIN_COUNT = 5
const SURGE_FACTOR = 8

function liveNode (fleet: SoakFleet): SoakNode | undefined {
  const live = fleet.nodes.filter(node => node.isAlive && !node.isStopping)
  return live.length < LIVE_NODES_MIN_COUNT ? undefined : fleet.world.pick(live)
}

/** Brings one fault into a run, at a given node or a random one; most faults end by themselves. */
export function applyFault (fleet: SoakFleet, fault: Fault, node = liveNode(fleet)): void {
  if (node === undefined) return
  const { world, network } = fleet
  const lastsMs = world.between(200, 12_000)
  switch (fault) {
    case Fault.KillNode: return killNode(fleet, node)
    case Fault.KillBackend: return fleet.backendOf(node.entry.vmId).crash()
    case Fault.PauseNode: return node.pause(world.between(100, 5_000))
    case Fault.PauseNodeLong: return node.pause(world.between(60_000, 90_000))
    case Fault.PauseBackend: return fleet.backendOf(node.entry.vmId).pause(world.between(100, 3_000))
    case Fault.CutNodes: return cut(fleet, node.place.placeId, world.pick(fleet.nodes).place.placeId, lastsMs)
    case Fault.CutDataCentres: return cut(fleet, world.pick(DATA_CENTRES), world.pick(DATA_CENTRES), lastsMs)
    case Fault.CutPlatform: return cut(fleet, world.pick(DATA_CENTRES), 'platform', lastsMs)
    case Fault.SilentConnections:
      network.silent.add(node.place.placeId)
      return world.after(lastsMs, () => network.silent.delete(node.place.placeId))
    case Fault.PlatformDown: return platformMode(fleet, PlatformMode.Down, lastsMs)
    case Fault.PlatformStale: return platformMode(fleet, PlatformMode.Stale, lastsMs)
    case Fault.PlatformOlder: return platformMode(fleet, PlatformMode.Older, lastsMs)
    case Fault.ListLate:
      fleet.listLagMs = world.between(3_000, 15_000)
      return world.after(lastsMs, () => { fleet.listLagMs = 1_500 })
    case Fault.ListWrong: return dropFromList(fleet, node, lastsMs)
    case Fault.LyingHealth: return lieAboutHealth(fleet, node, lastsMs)
    case Fault.RacingEdits: return raceEdits(fleet)
    case Fault.InvalidEdit: return fleet.platform.publish(`documents/${world.pick(SERVICES)}`, 'service: 7\nversion: x\n')
    case Fault.Edit: return fleet.publishDocument(world.pick(SERVICES))
    case Fault.CrashingRequest: return world.pick(fleet.callers).sendCrashing()
    case Fault.SlowService: return slowService(fleet, lastsMs)
    case Fault.Surge: return surge(fleet, lastsMs)
    case Fault.ColdStart: return coldStart(fleet, node, lastsMs)
    case Fault.StopNode: return stopNode(node)
    case Fault.DrainBackend: return drainBackend(fleet, node, lastsMs)
    case Fault.VmLeaves: return leaveVm(fleet, node)
    default: return assertNever(fault)
  }
}

function cut (fleet: SoakFleet, a: string, b: string, lastsMs: number): void {
  if (a === b) return
  fleet.network.cut(a, b)
  fleet.checks.unheard(fleet.world.nowMs + lastsMs)
  fleet.world.after(lastsMs, () => fleet.network.heal(a, b))
}

/** The process dies; on some VMs a new one starts in its place with empty memory, others are replaced. */
function killNode (fleet: SoakFleet, node: SoakNode): void {
  if (fleet.world.chance(0.5)) {
    fleet.loseVm(node)
    return
  }
  node.kill()
  fleet.world.after(fleet.world.between(50, 2_000), () => {
    if (fleet.nodes.includes(node)) fleet.startNode(node.entry)
  })
}

function platformMode (fleet: SoakFleet, mode: PlatformMode, lastsMs: number): void {
  fleet.platform.setMode(mode)
  fleet.checks.unheard(fleet.world.nowMs + lastsMs)
  fleet.world.after(lastsMs, () => fleet.platform.setMode(PlatformMode.Up))
}

function dropFromList (fleet: SoakFleet, node: SoakNode, lastsMs: number): void {
  fleet.setListed(node.entry.vmId, null)
  fleet.world.after(lastsMs, () => {
    if (node.isAlive && !node.isStopping) fleet.setListed(node.entry.vmId, VmState.Live)
  })
}

function lieAboutHealth (fleet: SoakFleet, node: SoakNode, lastsMs: number): void {
  const backend = fleet.backendOf(node.entry.vmId)
  backend.reportedStatus = fleet.world.pick([BackendStatus.Warming, BackendStatus.Ready])
  fleet.world.after(lastsMs, () => {
    backend.reportedStatus = null
    if (backend.status !== BackendStatus.Down) backend.setStatus(backend.status)
  })
}

/** Two operators publish the same version with different contents. */
function raceEdits (fleet: SoakFleet): void {
  const serviceName = fleet.world.pick(SERVICES)
  const version = fleet.nextVersion(serviceName)
  fleet.publishDocument(serviceName, version)
  fleet.world.after(fleet.world.between(0, 2_000), () => fleet.publishDocument(serviceName, version))
}

function slowService (fleet: SoakFleet, lastsMs: number): void {
  const serviceName = fleet.world.pick(SERVICES)
  for (const node of fleet.nodes) {
    if (node.entry.serviceName !== serviceName) continue
    const backend = fleet.backendOf(node.entry.vmId)
    backend.slowFactor = 10
    fleet.world.after(lastsMs, () => { backend.slowFactor = 1 })
  }
}

function surge (fleet: SoakFleet, lastsMs: number): void {
  for (const caller of fleet.callers) {
    caller.meanPeriodMs /= SURGE_FACTOR
    fleet.world.after(Math.min(lastsMs, 3_000), () => { caller.meanPeriodMs *= SURGE_FACTOR })
  }
}

function coldStart (fleet: SoakFleet, node: SoakNode, lastsMs: number): void {
  const backend = fleet.backendOf(node.entry.vmId)
  backend.slowFactor = 4
  backend.setStatus(BackendStatus.Warming)
  fleet.world.after(lastsMs, () => {
    backend.slowFactor = 1
    if (backend.status === BackendStatus.Warming) backend.setStatus(BackendStatus.Ready)
  })
}

function stopNode (node: SoakNode): void {
  node.isStopping = true
  node.emit({ kind: 'stop_requested' })
}

function drainBackend (fleet: SoakFleet, node: SoakNode, lastsMs: number): void {
  const { vmId } = node.entry
  const backend = fleet.backendOf(vmId)
  backend.setStatus(BackendStatus.Draining)
  fleet.world.after(lastsMs, () => {
    if (backend.status !== BackendStatus.Draining) return
    backend.setStatus(BackendStatus.Ready)
  })
}

/** The platform announces that a VM leaves and takes it away later. */
function leaveVm (fleet: SoakFleet, node: SoakNode): void {
  node.isStopping = true
  fleet.setListed(node.entry.vmId, VmState.Leaving)
  fleet.world.after(15_000, () => {
    if (node.isAlive) node.emit({ kind: 'stop_requested' })
  })
}
