import { postControl, type Deployment } from '../demos/deployment.js'

const POLL_MS = 50
const PROPAGATION_TIMEOUT_MS = 30_000

interface NodeStatus {
  readonly documents?: ReadonlyArray<{ readonly service: string, readonly version: number }>
  readonly control_bytes_per_s?: number
  readonly memory_rss_bytes?: number
  readonly cpu_ms?: number
  readonly up_ms?: number
}

/** Cost of overload control for one idle node; null where the nodes did not report it. */
export interface IdleControlCost {
  readonly control_cpu_percent: number | null
  readonly control_rss_mb: number | null
  readonly control_bytes_per_s: number | null
}

async function fetchStatus (operatorAddress: string): Promise<NodeStatus> {
  const answer = await fetch(`http://${operatorAddress}/status`)
  return await answer.json() as NodeStatus
}

async function fetchStatuses (deployment: Deployment): Promise<NodeStatus[]> {
  return await Promise.all(deployment.vms.map(async vm => await fetchStatus(vm.operatorAddress)))
}

function mean (values: ReadonlyArray<number | undefined>): number | null {
  const known = values.filter(value => value !== undefined && Number.isFinite(value)) as number[]
  return known.length === 0 ? null : known.reduce((sum, value) => sum + value, 0) / known.length
}

/**
 * Measures the CPU time, memory and control traffic of the nodes of an idle
 * deployment while other work runs, as the mean over the nodes.
 *
 * @example
 * const idle = await measureIdle(deployment, async () => { await runLoad(other, options) })
 */
export async function measureIdleCost (
  deployment: Deployment, runOtherLoad: () => Promise<void>
): Promise<IdleControlCost> {
  const before = await fetchStatuses(deployment)
  await runOtherLoad()
  const after = await fetchStatuses(deployment)
  const cpuRatios = after.map((status, index) => {
    const earlier = before[index]
    if (status.cpu_ms === undefined || status.up_ms === undefined) return undefined
    return (status.cpu_ms - (earlier?.cpu_ms ?? 0)) / (status.up_ms - (earlier?.up_ms ?? 0)) * 100
  })
  const rssBytes = mean(after.map(status => status.memory_rss_bytes))
  return {
    control_cpu_percent: mean(cpuRatios),
    control_rss_mb: rssBytes === null ? null : rssBytes / 1024 / 1024,
    control_bytes_per_s: mean(after.map(status => status.control_bytes_per_s))
  }
}

/** Version of a service's document that a node uses, or 0 if it has none. */
function documentVersionIn (status: NodeStatus, service: string): number {
  return status.documents?.find(one => one.service === service)?.version ?? 0
}

/**
 * Publishes the next version of a service's document. Returns the time in ms until
 * all nodes use it, or null if that takes more than 30 s.
 */
export async function measureDocumentPropagation (deployment: Deployment, service: string): Promise<number | null> {
  const document = deployment.documents.get(service)
  if (document === undefined) throw new Error(`the deployment has no document for service "${service}"`)
  const version = document.version + 1
  const value = JSON.stringify({ ...document, version })
  await postControl(deployment.configControlAddress, { publish: { key: `documents/${service}`, value } })
  const publishedAtMs = performance.now()
  let outdatedVms = deployment.vms
  while (performance.now() - publishedAtMs < PROPAGATION_TIMEOUT_MS) {
    const statuses = await Promise.all(outdatedVms.map(async vm => await fetchStatus(vm.operatorAddress)))
    outdatedVms = outdatedVms.filter((_, index) => documentVersionIn(statuses[index] ?? {}, service) < version)
    if (outdatedVms.length === 0) return performance.now() - publishedAtMs
    await new Promise(resolve => setTimeout(resolve, POLL_MS))
  }
  return null
}
