import { writeFileSync } from 'node:fs'
import { join } from 'node:path'
import { v7 as uuidV7 } from 'uuid'
import type { LoadStream } from '../src/standins/loadPlan.js'
import { Sender, SendResult, type SendEnd } from '../src/standins/sendCall.js'
import { backendConfigOf, loadStreamsOf, readDocuments, scaleDocument, type DemoDocument } from './demoDocuments.js'
import { SIZE_FACTOR, type DeploymentSpec } from './deploymentSpecs.js'
import { findFreePorts } from './ports.js'
import { ProcessGroup, type LoggedProcess } from './processGroup.js'

const HOST = '127.0.0.1'
const POLL_PERIOD_MS = 200
const READY_TIMEOUT_MS = 45_000
/** Calls of each stream that must all succeed before the load starts: enough to reach each owner node. */
const WARM_UP_CALLS_COUNT = 6

export interface DeployedVm {
  readonly vmId: string
  readonly service: string
  readonly dataCentre: string
  readonly callAddress: string
  readonly controlAddress: string
  readonly operatorAddress: string
  readonly backendAddress: string
  readonly backendControlAddress: string
}

/** A started deployment, all of whose processes run on this machine. */
export interface Deployment {
  readonly spec: DeploymentSpec
  readonly documents: ReadonlyMap<string, DemoDocument>
  readonly streams: readonly LoadStream[]
  readonly vms: readonly DeployedVm[]
  readonly group: ProcessGroup
  readonly configControlAddress: string
  readonly nodeProcesses: readonly LoggedProcess[]
  readonly backendProcesses: readonly LoggedProcess[]
}

export interface DeploymentOptions {
  /** True if the nodes control overload, false if they forward all calls unconditionally. */
  readonly control: boolean
  /** Mechanisms that the nodes disable, as a comma-separated list for `--without`. */
  readonly without?: string
}

async function assignVmAddresses (spec: DeploymentSpec): Promise<DeployedVm[]> {
  const vmPlacements = spec.services.flatMap(({ service, dataCentres }) =>
    dataCentres.map((dataCentre, index) => ({ vmId: `${service}-${index + 1}`, service, dataCentre })))
  const ports = await findFreePorts(vmPlacements.length * 5)
  return vmPlacements.map((placement, index) => {
    const address = (offset: number): string => `${HOST}:${ports[index * 5 + offset]}`
    return {
      ...placement,
      callAddress: address(0),
      controlAddress: address(1),
      operatorAddress: address(2),
      backendAddress: address(3),
      backendControlAddress: address(4)
    }
  })
}

function buildPublishedValues (
  spec: DeploymentSpec, documents: ReadonlyMap<string, DemoDocument>, vms: readonly DeployedVm[]
): Record<string, string> {
  const dataCentres = [...new Set(vms.map(vm => vm.dataCentre))]
  const values: Record<string, string> = {
    catalogue: JSON.stringify({ services: [...documents.keys()], data_centres: dataCentres })
  }
  for (const [service, document] of documents) values[`documents/${service}`] = JSON.stringify(document)
  for (const dataCentre of dataCentres) {
    const vmEntries = vms.filter(vm => vm.dataCentre === dataCentre).map(vm => ({
      vm_id: vm.vmId,
      service: vm.service,
      data_centre: vm.dataCentre,
      call_address: vm.callAddress,
      control_address: vm.controlAddress,
      state: 'live'
    }))
    values[`vms/${dataCentre}`] = JSON.stringify({ vms: vmEntries })
  }
  return values
}

function buildNodeFlags (
  vm: DeployedVm, platformAddress: string, peers: readonly string[], options: DeploymentOptions
): string[] {
  return [
    '--node-id', vm.vmId, '--service', vm.service, '--data-centre', vm.dataCentre,
    '--call-address', vm.callAddress, '--control-address', vm.controlAddress,
    '--operator-address', vm.operatorAddress, '--backend-address', vm.backendAddress,
    '--platform-address', platformAddress, '--peers', peers.filter(peer => peer !== vm.callAddress).join(','),
    '--control', options.control ? 'on' : 'off', '--without', options.without ?? ''
  ]
}

/**
 * Starts all processes of a deployment. Does not wait until they are ready.
 *
 * @example
 * const deployment = await startDeployment(DEPLOYMENT_SPECS.lyhter, { control: true })
 * await waitUntilDeploymentReady(deployment)
 * await deployment.group.stop()
 */
export async function startDeployment (spec: DeploymentSpec, options: DeploymentOptions): Promise<Deployment> {
  const originalDocuments = [...readDocuments(spec)]
  const documents = new Map(originalDocuments.map(([service, document]) =>
    [service, scaleDocument(document, SIZE_FACTOR)]))
  const vms = await assignVmAddresses(spec)
  const group = new ProcessGroup()
  const valuesFile = join(group.directory, 'values.json')
  writeFileSync(valuesFile, JSON.stringify(buildPublishedValues(spec, documents, vms)))
  const [platformPort, configControlPort] = await findFreePorts(2)
  const platformAddress = `${HOST}:${platformPort}`
  const configControlAddress = `${HOST}:${configControlPort}`
  group.start('config-service', '../src/standins/configServiceMain.js', [
    '--address', platformAddress, '--control-address', configControlAddress, '--values-file', valuesFile
  ])
  const peers = vms.filter((vm, index) => vms.findIndex(other => other.dataCentre === vm.dataCentre) === index)
    .map(vm => vm.callAddress)
  const backendProcesses = vms.map((vm, index) => startBackend(group, spec, documents, vm, index + 1))
  const nodeProcesses = vms.map(vm => group.start(
    `node-${vm.vmId}`, '../src/cli/nodeMain.js', buildNodeFlags(vm, platformAddress, peers, options)
  ))
  const streams = loadStreamsOf(spec, documents)
  return { spec, documents, streams, vms, group, configControlAddress, nodeProcesses, backendProcesses }
}

function startBackend (
  group: ProcessGroup, spec: DeploymentSpec, documents: ReadonlyMap<string, DemoDocument>, vm: DeployedVm, seed: number
): LoggedProcess {
  const service = spec.services.find(candidate => candidate.service === vm.service)
  if (service === undefined) throw new Error(`service is not in the deployment: ${vm.service}`)
  return group.start(`backend-${vm.vmId}`, '../src/standins/backendServerMain.js', [
    '--address', vm.backendAddress, '--control-address', vm.backendControlAddress, '--node-address', vm.callAddress,
    '--config', JSON.stringify(backendConfigOf(service, documents, seed))
  ])
}

async function isReady (vm: DeployedVm): Promise<boolean> {
  try {
    const answer = await fetch(`http://${vm.operatorAddress}/ready`)
    await answer.arrayBuffer()
    return answer.ok
  } catch {
    return false
  }
}

async function pollUntilNoFault (
  group: ProcessGroup, subject: string, findFault: () => Promise<string>
): Promise<void> {
  const deadlineMs = performance.now() + READY_TIMEOUT_MS
  for (let fault = await findFault(); fault !== ''; fault = await findFault()) {
    group.checkRunning()
    if (performance.now() > deadlineMs) throw new Error(`${subject} not ready within ${READY_TIMEOUT_MS} ms: ${fault}`)
    await new Promise(resolve => setTimeout(resolve, POLL_PERIOD_MS))
  }
}

async function sendWarmUpCall (sender: Sender, stream: LoadStream, targetIndex: number): Promise<SendEnd> {
  const key = stream.keyed ? uuidV7() : undefined
  const rootId = `warm-up-${uuidV7()}`
  const spec = { stream, rootId, key, attempt: 1, timeoutMs: stream.deadline_ms }
  return await new Promise(resolve => { sender.send(targetIndex, spec, resolve) })
}

async function sendWarmUpCalls (sender: Sender, stream: LoadStream, targetsCount: number): Promise<string> {
  const targetIndexes = Array.from({ length: WARM_UP_CALLS_COUNT }, (_, index) => index % targetsCount)
  const sendEnds = await Promise.all(targetIndexes.map(async target => await sendWarmUpCall(sender, stream, target)))
  const failedSends = sendEnds.filter(end => end.result !== SendResult.Whole)
  return failedSends.map(end => `${end.result} ${end.reason}`).join(', ')
}

/** Waits until `/ready` succeeds on all nodes. Throws after the time limit or when a process exits. */
export async function waitUntilNodesReady ({ spec, vms, group }: Deployment): Promise<void> {
  await pollUntilNoFault(group, `${spec.name}: nodes`, async () => {
    const ready = await Promise.all(vms.map(isReady))
    return vms.filter((_, index) => ready[index] !== true).map(vm => vm.vmId).join(', ')
  })
}

/**
 * Waits until all nodes report ready and test calls of each stream succeed. The
 * test calls are needed because owner nodes hold no leases at first and refuse
 * keyed calls until they do.
 */
export async function waitUntilDeploymentReady (deployment: Deployment): Promise<void> {
  const { vms, streams, spec, group } = deployment
  await waitUntilNodesReady(deployment)
  const sender = new Sender(vms.map(vm => vm.callAddress), 4)
  try {
    await Promise.all(streams.map(async stream => {
      await pollUntilNoFault(group, `${spec.name}: ${stream.name}`, async () => await sendWarmUpCalls(sender, stream, vms.length))
    }))
  } finally {
    await sender.close()
  }
}

/** Sends a control request to a stand-in. Throws if the stand-in rejects it. */
export async function postControl (address: string, value: unknown): Promise<unknown> {
  const answer = await fetch(`http://${address}/`, { method: 'POST', body: JSON.stringify(value) })
  const result: unknown = await answer.json()
  if (!answer.ok) throw new Error(`control request to ${address} failed: ${JSON.stringify(result)}`)
  return result
}
