import { postControl, type Deployment } from '../demos/deployment.js'

const POLL_MS = 50
const SPREAD_LIMIT_MS = 30_000

interface NodeStatus {
  readonly documents?: ReadonlyArray<{ readonly service: string, readonly version: number }>
  readonly control_bytes_per_s?: number
  readonly memory_rss_bytes?: number
  readonly cpu_ms?: number
  readonly up_ms?: number
}

export interface IdleControl {
  readonly control_cpu_percent: number | null
  readonly control_rss_mb: number | null
  readonly control_bytes_per_s: number | null
}

async function statusOf (operatorAddress: string): Promise<NodeStatus> {
  const answer = await fetch(`http://${operatorAddress}/status`)
  return await answer.json() as NodeStatus
}

async function statusesOf (deployment: Deployment): Promise<NodeStatus[]> {
  return await Promise.all(deployment.vms.map(async vm => await statusOf(vm.operatorAddress)))
}

function mean (values: ReadonlyArray<number | undefined>): number | null {
  const known = values.filter(value => value !== undefined && Number.isFinite(value)) as number[]
  return known.length === 0 ? null : known.reduce((sum, value) => sum + value, 0) / known.length
}

/**
 * What the nodes of an idle deployment spend on control between two readings,
 * as the mean over the nodes.
 *
 * @example
 * const idle = await measureIdle(deployment, async () => { await runLoad(other, options) })
 */
export async function measureIdle (deployment: Deployment, meanwhile: () => Promise<void>): Promise<IdleControl> {
  const before = await statusesOf(deployment)
  await meanwhile()
  const after = await statusesOf(deployment)
  const cpuRatios = after.map((status, index) => {
    const first = before[index]
    if (status.cpu_ms === undefined || status.up_ms === undefined) return undefined
    return (status.cpu_ms - (first?.cpu_ms ?? 0)) / (status.up_ms - (first?.up_ms ?? 0)) * 100
  })
  const rssBytes = mean(after.map(status => status.memory_rss_bytes))
  return {
    control_cpu_percent: mean(cpuRatios),
    control_rss_mb: rssBytes === null ? null : rssBytes / 1024 / 1024,
    control_bytes_per_s: mean(after.map(status => status.control_bytes_per_s))
  }
}

function versionIn (status: NodeStatus, service: string): number {
  return status.documents?.find(one => one.service === service)?.version ?? 0
}

/**
 * Publishes the next version of a service's document and returns the time until
 * all nodes have it in force, or null when that is not seen within 30 s.
 */
export async function measureDocumentSpread (deployment: Deployment, service: string): Promise<number | null> {
  const document = deployment.documents.get(service)
  if (document === undefined) throw new Error(`no document of ${service}`)
  const version = document.version + 1
  const value = JSON.stringify({ ...document, version })
  await postControl(deployment.configControlAddress, { publish: { key: `documents/${service}`, value } })
  const publishedAtMs = performance.now()
  let waiting = deployment.vms
  while (performance.now() - publishedAtMs < SPREAD_LIMIT_MS) {
    const statuses = await Promise.all(waiting.map(async vm => await statusOf(vm.operatorAddress)))
    waiting = waiting.filter((_, index) => versionIn(statuses[index] ?? {}, service) < version)
    if (waiting.length === 0) return performance.now() - publishedAtMs
    await new Promise(resolve => setTimeout(resolve, POLL_MS))
  }
  return null
}
