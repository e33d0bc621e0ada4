import type { Millis } from '../clock/clock.js'
import type { VmEntry } from '../core/membership/membershipTypes.js'
import { VmState } from '../core/membership/membershipTypes.js'
import { BackendStatus } from '../core/nodeCore/nodeCoreTypes.js'
import { CALLEES, SoakBackend } from './soakBackend.js'
import { SoakCaller } from './soakCaller.js'
import { RETRY_BUDGET_COUNT, SoakChecks } from './soakChecks.js'
import { SoakNetwork } from './soakNetwork.js'
import { SoakNode } from './soakNode.js'
import { SoakPlatform } from './soakPlatform.js'
import type { FaultStep } from './soakTypes.js'
import { SoakSimulation } from './soakSimulation.js'

export const DATA_CENTRES = ['north', 'south', 'west'] as const
const SERVICES = Object.keys(CALLEES)
const SLOTS_COUNT = 6
const LIST_LAG_MS: Millis = 1_500
const VM_REPLACEMENT_DELAY_MS: Millis = 3_000
const CALLER_PERIOD_MS: Millis = 25

/** The simulated fleet of one run: platform, nodes with their backend servers, and callers. */
export class SoakFleet {
  readonly simulation: SoakSimulation
  readonly network: SoakNetwork
  readonly platform: SoakPlatform
  readonly checks = new SoakChecks()
  readonly callers: SoakCaller[]
  readonly slotsCount = SLOTS_COUNT
  readonly #backends = new Map<string, SoakBackend>()
  readonly #nodesByVm = new Map<string, SoakNode>()
  readonly #nodesByAddress = new Map<string, SoakNode>()
  readonly #listedVms = new Map<string, VmEntry>()
  readonly #documentVersions = new Map<string, number>()
  #idsCount = 0
  listLagMs = LIST_LAG_MS
  /** Called when a call, a node or a document reaches a step, so that the fault matrix can inject faults there. */
  onFaultStep: ((step: FaultStep, node: SoakNode) => void) | null = null

  constructor (seed: number) {
    this.simulation = new SoakSimulation(seed)
    this.network = new SoakNetwork(this.simulation)
    this.platform = new SoakPlatform(this.simulation, this.network)
    this.platform.publish('catalogue', JSON.stringify({ services: SERVICES, data_centres: DATA_CENTRES }))
    for (const serviceName of SERVICES) this.publishDocument(serviceName)
    for (const serviceName of SERVICES) {
      for (const dataCentre of DATA_CENTRES) {
        for (let count = vmCountOf(serviceName, seed); count > 0; count--) this.addVm(serviceName, dataCentre)
      }
    }
    for (const dataCentre of DATA_CENTRES) this.publishList(dataCentre)
    this.callers = DATA_CENTRES.map((dataCentre, at) =>
      new SoakCaller(this, `caller-${at}`, dataCentre, CALLER_PERIOD_MS))
  }

  get nodes (): SoakNode[] {
    return [...this.#nodesByVm.values()]
  }

  nextId (prefix: string): string {
    this.#idsCount += 1
    return `${prefix}${this.#idsCount}`
  }

  aliveNodeOf (vmId: string): SoakNode | undefined {
    const node = this.#nodesByVm.get(vmId)
    return node?.isAlive === true ? node : undefined
  }

  nodeAt (address: string): SoakNode | undefined {
    return this.#nodesByAddress.get(address)
  }

  backendOf (vmId: string): SoakBackend {
    const backend = this.#backends.get(vmId)
    if (backend === undefined) throw new RangeError(`no backend server on ${vmId}`)
    return backend
  }

  addVm (serviceName: string, dataCentre: string): SoakNode {
    const vmId = this.nextId('vm')
    const entry: VmEntry = {
      vmId,
      serviceName,
      dataCentre,
      callAddress: `10.0.0.1:${20_000 + this.#idsCount % 20_000}`,
      controlAddress: `10.0.0.1:${40_000 + this.#idsCount % 20_000}`,
      state: VmState.Live
    }
    this.#backends.set(vmId, new SoakBackend(this, vmId, serviceName))
    this.#listedVms.set(vmId, entry)
    return this.startNode(entry)
  }

  /** Starts a node process on a VM, either the first one or a replacement for one that was killed. */
  startNode (entry: VmEntry): SoakNode {
    const node = new SoakNode(this, entry, this.nextId('i'))
    this.#nodesByVm.set(entry.vmId, node)
    this.#nodesByAddress.set(entry.callAddress, node)
    this.#nodesByAddress.set(entry.controlAddress, node)
    return node
  }

  /** Publishes the current VM list of a data centre. */
  publishList (dataCentre: string): void {
    const vms = [...this.#listedVms.values()].filter(entry => entry.dataCentre === dataCentre).map(entry => ({
      vm_id: entry.vmId,
      service: entry.serviceName,
      data_centre: entry.dataCentre,
      call_address: entry.callAddress,
      control_address: entry.controlAddress,
      state: entry.state
    }))
    this.platform.publish(`vms/${dataCentre}`, JSON.stringify({ vms }))
  }

  setListed (vmId: string, state: VmState | null): void {
    const entry = this.#listedVms.get(vmId) ?? this.#nodesByVm.get(vmId)?.entry
    if (entry === undefined) return
    if (state === null) this.#listedVms.delete(vmId)
    else this.#listedVms.set(vmId, { ...entry, state })
    this.simulation.schedule(this.listLagMs, () => {
      this.publishList(entry.dataCentre)
      if (state === VmState.Leaving) this.checks.recordVmLeaving(vmId, 'platform', this.simulation.nowMs)
      else this.checks.clearVmLeaving(vmId, 'platform')
    })
  }

  /** Removes a VM with its node and backend server, and adds a replacement after `VM_REPLACEMENT_DELAY_MS`. */
  replaceVm (node: SoakNode): void {
    const { vmId, serviceName, dataCentre } = node.entry
    this.backendOf(vmId).status = BackendStatus.Down
    node.kill()
    this.#nodesByVm.delete(vmId)
    this.setListed(vmId, null)
    this.simulation.schedule(VM_REPLACEMENT_DELAY_MS, () => {
      const added = this.addVm(serviceName, dataCentre)
      this.setListed(added.entry.vmId, VmState.Live)
    })
  }

  /** Checks that a node has no open calls at the end of a planned stop, and replaces its VM. */
  handleNodeStopped (node: SoakNode): void {
    if (!node.isAlive || !node.isStopping) return
    if (node.openCount > 0) this.checks.addViolation('gracefulStop', `${node.entry.vmId} stops with ${node.openCount} open calls and sends`)
    this.replaceVm(node)
  }

  publishDocument (serviceName: string, version = this.nextVersion(serviceName)): void {
    const requiresIdempotencyKey = serviceName !== 'schedule'
    this.platform.publish(`documents/${serviceName}`, JSON.stringify({
      service: serviceName,
      team: serviceName,
      version,
      backend: { slots_count: SLOTS_COUNT, connections_count: 50 },
      capacity_calls_per_s: 1_500,
      data_centres: DATA_CENTRES.map((name, at) => ({ name, weight_ratio: at === 0 ? 0.4 : 0.3 })),
      retry_budget_count: RETRY_BUDGET_COUNT,
      resend_window_ms: 120_000,
      routes: [{
        name: 'main',
        method: requiresIdempotencyKey ? 'POST' : 'GET',
        path_prefix: '/',
        importance: requiresIdempotencyKey ? 'vital' : 'normal',
        idempotent: !requiresIdempotencyKey,
        deadline_ms: 1_000,
        callees: CALLEES[serviceName]
      }],
      callers: [...DATA_CENTRES.map((_, at) => `caller-${at}`), 'booking']
        .map(name => ({ name, promised_calls_per_s: 100, max_importance: 'vital' })),
      default_caller: { promised_calls_per_s: 1, max_importance: 'normal' }
    }))
  }

  nextVersion (serviceName: string): number {
    const version = (this.#documentVersions.get(serviceName) ?? 0) + 1
    this.#documentVersions.set(serviceName, version)
    return version
  }
}

/** Even seeds get two booking VMs per data centre, so that key ownership can move when the VM list changes. */
function vmCountOf (serviceName: string, seed: number): number {
  return serviceName === 'booking' && seed % 2 === 0 ? 2 : 1
}
