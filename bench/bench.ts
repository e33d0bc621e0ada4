import { z } from 'zod'
import { startDeployment, waitUntilDeploymentReady, waitUntilNodesReady, type Deployment } from '../demos/deployment.js'
import { DEPLOYMENT_SPECS, DeploymentName } from '../demos/deploymentSpecs.js'
import type { SettingSpec } from '../src/settings/settings.js'
import { settingsOrExit } from '../src/settings/settings.js'
import { measureAddedLatency, type AddedLatency } from './addedLatency.js'
import { measureDocumentPropagation, measureIdleCost, type IdleControlCost } from './idleControl.js'
import { countViolations, measureOverload, measureSlowDeepService } from './overload.js'
import type { BenchDurations, ViolationCounts, OverloadResult } from './overload.js'

const FULL_DURATIONS: BenchDurations = {
  rampMs: 4000, rampFactors: [1, 1.15, 1.3], calmMs: 4000, overloadMs: 5000, afterMs: 5000
}
const QUICK_DURATIONS: BenchDurations = {
  rampMs: 2500, rampFactors: [1.25], calmMs: 1200, overloadMs: 2200, afterMs: 1600
}
/** Recovery counts as not seen after 30 s, so the phase after the overload is a little longer than that. */
const BASELINE_AFTER_MS = 31_000
const FULL_LATENCY_MS = 15_000
const QUICK_LATENCY_MS = 3000

interface DeploymentFigures extends ViolationCounts {
  readonly capacity_per_s: number
  readonly goodput_ratio_at_2x: number
  readonly goodput_ratio_at_10x: number
  readonly baseline_goodput_ratio_at_2x: number | null
  readonly baseline_goodput_ratio_at_10x: number | null
  /** Completed vital root requests divided by the promised number. */
  readonly vital_ratio_at_10x: number
  readonly baseline_vital_ratio_at_10x: number | null
  readonly recovery_ms: number | null
  readonly baseline_recovery_ms: number | null
  readonly recovery_after_slow_service_ms: number | null
  readonly generator_cpu_percent: number
}

type CommonFigures = AddedLatency & IdleControlCost & { readonly document_spread_ms: number | null }

function booleanSetting (describe: string): SettingSpec<boolean> {
  const schema = z.enum(['', 'true', 'false']).transform(text => text !== 'false')
  return { describe, schema, default: 'false', allowed: 'no value, true or false' }
}

const { settings } = settingsOrExit({
  program: 'bench',
  describe: 'Measures goodput, recovery, violated guarantees, added latency and control overhead with real processes',
  specs: {
    json: booleanSetting('Print the figures as one JSON object on the last line'),
    quick: booleanSetting('Use short phases and skip the baseline and the slow service, whose figures are null'),
    without: {
      describe: 'Mechanisms to disable on the nodes, separated by commas, to measure their effect',
      schema: z.string(),
      default: '',
      allowed: 'as the flag of the same name of ragwortspur-node'
    }
  }
})
const durations = settings.quick ? QUICK_DURATIONS : FULL_DURATIONS
const controlledOptions = { control: true, without: settings.without }

function printLine (text: string): void {
  process.stdout.write(`${text}\n`)
}

/** Longest of several recovery times, or null if one of the recoveries was not seen. */
function longestRecoveryMs (recoveries: ReadonlyArray<number | null>): number | null {
  return recoveries.includes(null) ? null : Math.max(...recoveries as number[])
}

/** Measures a deployment with overload control. */
async function measureControlled (deployment: Deployment): Promise<DeploymentFigures> {
  printLine(`${deployment.spec.name}: ramp, 2x, 10x with overload control`)
  const overload = await measureOverload(deployment, durations)
  const results = [...overload.results]
  const recoveries = [overload.recoveryAfter2xMs, overload.recoveryAfter10xMs]
  let slowRecoveryMs: number | null = null
  if (!settings.quick) {
    printLine(`${deployment.spec.name}: slow ${deployment.spec.lastServiceInChain}`)
    const slowService = await measureSlowDeepService(deployment, durations)
    slowRecoveryMs = slowService.recoveryMs
    recoveries.push(slowService.recoveryMs)
    results.push(slowService.result)
  }
  return {
    capacity_per_s: overload.capacityPerS,
    goodput_ratio_at_2x: overload.goodputRatioAt2x,
    goodput_ratio_at_10x: overload.goodputRatioAt10x,
    baseline_goodput_ratio_at_2x: null,
    baseline_goodput_ratio_at_10x: null,
    vital_ratio_at_10x: overload.vitalRatioAt10x,
    baseline_vital_ratio_at_10x: null,
    recovery_ms: longestRecoveryMs(recoveries),
    baseline_recovery_ms: null,
    recovery_after_slow_service_ms: slowRecoveryMs,
    generator_cpu_percent: overload.callerCpuPercent,
    ...await countViolations(deployment, results)
  }
}

/** Adds the figures of the same deployment without overload control. */
async function measureBaseline (deployment: Deployment, figures: DeploymentFigures): Promise<DeploymentFigures> {
  printLine(`${deployment.spec.name}: 2x, 10x without overload control`)
  const baselineDurations = { ...durations, afterMs: BASELINE_AFTER_MS }
  const overload: OverloadResult = await measureOverload(deployment, baselineDurations, figures.capacity_per_s)
  return {
    ...figures,
    baseline_goodput_ratio_at_2x: overload.goodputRatioAt2x,
    baseline_goodput_ratio_at_10x: overload.goodputRatioAt10x,
    baseline_vital_ratio_at_10x: overload.vitalRatioAt10x,
    baseline_recovery_ms: longestRecoveryMs([overload.recoveryAfter2xMs, overload.recoveryAfter10xMs])
  }
}

function printTable (title: string, figures: object): void {
  printLine(`\n${title}`)
  for (const [name, value] of Object.entries(figures)) {
    printLine(`  ${name.padEnd(34)} ${typeof value === 'number' ? Math.round(value * 1000) / 1000 : value}`)
  }
}

/**
 * Measures both deployments with overload control. The second one is idle while
 * the first is under load, which gives the cost of control at rest.
 */
async function measureDeployments (
  lyhter: Deployment, restringing: Deployment
): Promise<{
  figures: Record<DeploymentName, DeploymentFigures>, idle: IdleControlCost, propagationMs: number | null
}> {
  let lyhterFigures: DeploymentFigures | undefined
  const idle = await measureIdleCost(restringing, async () => { lyhterFigures = await measureControlled(lyhter) })
  lyhter.group.killNow()
  if (lyhterFigures === undefined) throw new Error('the deployment lyhter was not measured')
  const propagationMs = await measureDocumentPropagation(restringing, restringing.spec.lastServiceInChain)
  const restringingFigures = await measureControlled(restringing)
  restringing.group.killNow()
  return { figures: { lyhter: lyhterFigures, restringing: restringingFigures }, idle, propagationMs }
}

/** Runs both deployments without overload control and adds their figures. */
async function addBaselines (figures: Record<DeploymentName, DeploymentFigures>): Promise<void> {
  const deployments = await Promise.all(Object.values(DEPLOYMENT_SPECS)
    .map(async spec => await startDeployment(spec, { control: false })))
  for (const deployment of deployments) {
    await waitUntilDeploymentReady(deployment)
    const { name } = deployment.spec
    figures[name] = await measureBaseline(deployment, figures[name])
    deployment.group.killNow()
  }
}

interface StartedDeployments {
  readonly latency: AddedLatency
  readonly lyhter: Deployment
  readonly restringing: Deployment
}

async function startDeployments (): Promise<[Deployment, Deployment]> {
  const lyhter = await startDeployment(DEPLOYMENT_SPECS.lyhter, controlledOptions)
  return [lyhter, await startDeployment(DEPLOYMENT_SPECS.restringing, controlledOptions)]
}

/** Measures the added latency before the deployments start, while the machine is otherwise idle. */
async function startFullRun (): Promise<StartedDeployments> {
  const latency = await measureAddedLatency(FULL_LATENCY_MS)
  const [lyhter, restringing] = await startDeployments()
  await Promise.all([waitUntilDeploymentReady(lyhter), waitUntilDeploymentReady(restringing)])
  return { latency, lyhter, restringing }
}

/** Saves time by measuring the added latency while the nodes wait for their first leases. */
async function startQuickRun (): Promise<StartedDeployments> {
  const [lyhter, restringing] = await startDeployments()
  await Promise.all([waitUntilNodesReady(lyhter), waitUntilNodesReady(restringing)])
  const latency = await measureAddedLatency(QUICK_LATENCY_MS)
  await Promise.all([waitUntilDeploymentReady(lyhter), waitUntilDeploymentReady(restringing)])
  return { latency, lyhter, restringing }
}

async function main (): Promise<void> {
  const startedAtMs = performance.now()
  printLine('measuring the added latency of a node and of a plain relay; starting both deployments')
  const { latency, lyhter, restringing } = settings.quick ? await startQuickRun() : await startFullRun()
  const { figures, idle, propagationMs } = await measureDeployments(lyhter, restringing)
  if (!settings.quick) await addBaselines(figures)
  const common: CommonFigures = { ...latency, ...idle, document_spread_ms: propagationMs }
  printTable('lyhter', figures.lyhter)
  printTable('restringing', figures.restringing)
  printTable('common', common)
  printLine(`\nbench: done in ${Math.round((performance.now() - startedAtMs) / 1000)} s`)
  if (settings.json) printLine(JSON.stringify({ ...figures, ...common }))
}

await main().catch(error => {
  process.stderr.write(`${String(error)}\nbench: failed\n`)
  process.exit(1)
})
