import { z } from 'zod'
import { startDeployment, untilReady, untilServing, type Deployment } from '../demos/deployment.js'
import { DEPLOYMENT_SPECS, DeploymentName } from '../demos/deploymentSpecs.js'
import type { SettingSpec } from '../src/settings/settings.js'
import { settingsOrExit } from '../src/settings/settings.js'
import { measureAddedLatency, type AddedLatency } from './addedLatency.js'
import { measureDocumentSpread, measureIdle, type IdleControl } from './idleControl.js'
import { countHarm, measureOverload, measureSlowDeepService } from './overload.js'
import type { BenchTimes, HarmCounts, OverloadResult } from './overload.js'

const FULL_TIMES: BenchTimes = {
  rampMs: 4000, rampFactors: [1, 1.15, 1.3], calmMs: 4000, overloadMs: 5000, afterMs: 5000
}
const QUICK_TIMES: BenchTimes = {
  rampMs: 2500, rampFactors: [1.25], calmMs: 1200, overloadMs: 2200, afterMs: 1600
}
/** Recovery counts as not seen after 30 s. */
const BASELINE_AFTER_MS = 31_000
const FULL_LATENCY_MS = 15_000
const QUICK_LATENCY_MS = 3000

interface DeploymentFigures extends HarmCounts {
  readonly capacity_per_s: number
  readonly goodput_ratio_at_2x: number
  readonly goodput_ratio_at_10x: number
  readonly baseline_goodput_ratio_at_2x: number | null
  readonly baseline_goodput_ratio_at_10x: number | null
  /** Vital root requests completed, as a part of the promised ones. */
  readonly vital_ratio_at_10x: number
  readonly baseline_vital_ratio_at_10x: number | null
  readonly recovery_ms: number | null
  readonly baseline_recovery_ms: number | null
  readonly recovery_after_slow_service_ms: number | null
  readonly generator_cpu_percent: number
}

type CommonFigures = AddedLatency & IdleControl & { readonly document_spread_ms: number | null }

function switchSetting (describe: string): SettingSpec<boolean> {
  const schema = z.enum(['', 'true', 'false']).transform(text => text !== 'false')
  return { describe, schema, default: 'false', allowed: 'no value, true or false' }
}

const { settings } = settingsOrExit({
  program: 'bench',
  describe: 'Measures goodput, recovery, harm, added latency and the cost of control with real processes',
  specs: {
    json: switchSetting('Print the figures as one JSON object on the last line'),
    quick: switchSetting('Short phases; leaves out the baseline and the slow service, whose figures are null'),
    without: {
      describe: 'Mechanisms that the nodes leave out, separated by commas, to measure what they are worth',
      schema: z.string(),
      default: '',
      allowed: 'as the flag of the same name of ragwortspur-node'
    }
  }
})
const times = settings.quick ? QUICK_TIMES : FULL_TIMES
const controlled = { control: true, without: settings.without }

function say (text: string): void {
  process.stdout.write(`${text}\n`)
}

/** The longest of several recovery times; null when one was not seen. */
function longest (recoveries: ReadonlyArray<number | null>): number | null {
  return recoveries.includes(null) ? null : Math.max(...recoveries as number[])
}

async function measureControlled (deployment: Deployment): Promise<DeploymentFigures> {
  say(`${deployment.spec.name}: ramp, 2x, 10x with overload control`)
  const overload = await measureOverload(deployment, times)
  const results = [...overload.results]
  const recoveries = [overload.recoveryAfter2xMs, overload.recoveryAfter10xMs]
  let slowRecoveryMs: number | null = null
  if (!settings.quick) {
    say(`${deployment.spec.name}: slow ${deployment.spec.deepService}`)
    const slow = await measureSlowDeepService(deployment, times)
    slowRecoveryMs = slow.recoveryMs
    recoveries.push(slow.recoveryMs)
    results.push(slow.result)
  }
  return {
    capacity_per_s: overload.capacityPerS,
    goodput_ratio_at_2x: overload.goodputRatioAt2x,
    goodput_ratio_at_10x: overload.goodputRatioAt10x,
    baseline_goodput_ratio_at_2x: null,
    baseline_goodput_ratio_at_10x: null,
    vital_ratio_at_10x: overload.vitalRatioAt10x,
    baseline_vital_ratio_at_10x: null,
    recovery_ms: longest(recoveries),
    baseline_recovery_ms: null,
    recovery_after_slow_service_ms: slowRecoveryMs,
    generator_cpu_percent: overload.callerCpuPercent,
    ...await countHarm(deployment, results)
  }
}

async function measureBaseline (deployment: Deployment, figures: DeploymentFigures): Promise<DeploymentFigures> {
  say(`${deployment.spec.name}: 2x, 10x without overload control`)
  const baselineTimes = { ...times, afterMs: BASELINE_AFTER_MS }
  const overload: OverloadResult = await measureOverload(deployment, baselineTimes, figures.capacity_per_s)
  return {
    ...figures,
    baseline_goodput_ratio_at_2x: overload.goodputRatioAt2x,
    baseline_goodput_ratio_at_10x: overload.goodputRatioAt10x,
    baseline_vital_ratio_at_10x: overload.vitalRatioAt10x,
    baseline_recovery_ms: longest([overload.recoveryAfter2xMs, overload.recoveryAfter10xMs])
  }
}

function printTable (title: string, figures: object): void {
  say(`\n${title}`)
  for (const [name, value] of Object.entries(figures)) {
    say(`  ${name.padEnd(34)} ${typeof value === 'number' ? Math.round(value * 1000) / 1000 : value}`)
  }
}

/** Measures both deployments with overload control; the second one idles while the first is under load. */
async function measureBoth (
  lyhter: Deployment, restringing: Deployment
): Promise<{ figures: Record<DeploymentName, DeploymentFigures>, idle: IdleControl, spreadMs: number | null }> {
  let lyhterFigures: DeploymentFigures | undefined
  const idle = await measureIdle(restringing, async () => { lyhterFigures = await measureControlled(lyhter) })
  lyhter.group.killNow()
  if (lyhterFigures === undefined) throw new Error('no figures of lyhter')
  const spreadMs = await measureDocumentSpread(restringing, restringing.spec.deepService)
  const restringingFigures = await measureControlled(restringing)
  restringing.group.killNow()
  return { figures: { lyhter: lyhterFigures, restringing: restringingFigures }, idle, spreadMs }
}

async function addBaselines (figures: Record<DeploymentName, DeploymentFigures>): Promise<void> {
  const deployments = await Promise.all(Object.values(DEPLOYMENT_SPECS)
    .map(async spec => await startDeployment(spec, { control: false })))
  for (const deployment of deployments) {
    await untilReady(deployment)
    const { name } = deployment.spec
    figures[name] = await measureBaseline(deployment, figures[name])
    deployment.group.killNow()
  }
}

interface Started {
  readonly latency: AddedLatency
  readonly lyhter: Deployment
  readonly restringing: Deployment
}

async function startBoth (): Promise<[Deployment, Deployment]> {
  const lyhter = await startDeployment(DEPLOYMENT_SPECS.lyhter, controlled)
  return [lyhter, await startDeployment(DEPLOYMENT_SPECS.restringing, controlled)]
}

/** Measures latency on a machine that is idle otherwise. */
async function startFull (): Promise<Started> {
  const latency = await measureAddedLatency(FULL_LATENCY_MS)
  const [lyhter, restringing] = await startBoth()
  await Promise.all([untilReady(lyhter), untilReady(restringing)])
  return { latency, lyhter, restringing }
}

/** Measures latency while the nodes wait for their first leases. */
async function startQuick (): Promise<Started> {
  const [lyhter, restringing] = await startBoth()
  await Promise.all([untilServing(lyhter), untilServing(restringing)])
  const latency = await measureAddedLatency(QUICK_LATENCY_MS)
  await Promise.all([untilReady(lyhter), untilReady(restringing)])
  return { latency, lyhter, restringing }
}

async function main (): Promise<void> {
  const startedAtMs = performance.now()
  say('added latency of a node and of a bare relay; start of both deployments')
  const { latency, lyhter, restringing } = settings.quick ? await startQuick() : await startFull()
  const { figures, idle, spreadMs } = await measureBoth(lyhter, restringing)
  if (!settings.quick) await addBaselines(figures)
  const common: CommonFigures = { ...latency, ...idle, document_spread_ms: spreadMs }
  printTable('lyhter', figures.lyhter)
  printTable('restringing', figures.restringing)
  printTable('common', common)
  say(`\nbench: done in ${Math.round((performance.now() - startedAtMs) / 1000)} s`)
  if (settings.json) say(JSON.stringify({ ...figures, ...common }))
}

await main().catch(error => {
  process.stderr.write(`${String(error)}\nbench: failed\n`)
  process.exit(1)
})
