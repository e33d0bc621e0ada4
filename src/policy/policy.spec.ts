import { headOffice, lampOilUnion } from './deployments.js'
import { runModel } from './policyModel.js'
import { Policy, type ModelPlan, type ModelResult, type ModelDisturbance, type RouteResult } from './policyTypes.js'

/** Load on peak days, as a multiple of the load stated for the deployment. */
const PEAK_LOAD_FACTOR = 2.3
const DURATION_MS = 9_000
/** Goodput with one seed varies this much with the order of events; smaller differences are not significant. */
const NOISE_RATIO = 0.02

type PlanFactory = (loadFactor: number, overrides?: Partial<ModelPlan>) => ModelPlan

interface Comparison {
  readonly chain: ModelResult
  readonly bestBaselineRatio: number
}

/** Compares the chain policy with the better of the two baseline policies under the same load. */
function compare (
  createPlan: PlanFactory, loadFactor: number, disturbances: readonly ModelDisturbance[], seed: number
): Comparison {
  const run = (policy: Policy): ModelResult => {
    return runModel(createPlan(loadFactor, { policy, disturbances, seed, durationMs: DURATION_MS }))
  }
  const chain = run(Policy.Chain)
  return {
    chain,
    bestBaselineRatio: Math.max(run(Policy.FirstCome).goodputRatio, run(Policy.RefuseAtHop).goodputRatio)
  }
}

const disturbancePeriod = { fromMs: 3_000, toMs: 6_000 }

const SCENARIOS: ReadonlyArray<readonly [string, PlanFactory, number, readonly ModelDisturbance[]]> = [
  ['fan-out at the deepest service of the lamp oil union', lampOilUnion, PEAK_LOAD_FACTOR, []],
  ['fan-out at the deepest service of the head office', headOffice, PEAK_LOAD_FACTOR, []],
  ['a burst with callers that resend at once', lampOilUnion, 1.4, [
    { kind: 'burst', factor: 1.7, ...disturbancePeriod }, { kind: 'resend_at_once', timesCount: 3, ...disturbancePeriod }
  ]],
  ['callers that abandon their requests early under load', headOffice, PEAK_LOAD_FACTOR, [{ kind: 'give_up', afterMs: 400, share: 0.3, ...disturbancePeriod }]],
  ['a fifth of the servers four times slower', lampOilUnion, PEAK_LOAD_FACTOR, [
    { kind: 'slow', service: 'depot', servers: [0], factor: 4, ...disturbancePeriod },
    { kind: 'slow', service: 'invoicing', servers: [0], factor: 4, ...disturbancePeriod }
  ]],
  ['one server of the deepest service that sheds almost half of its calls while healthy', lampOilUnion, PEAK_LOAD_FACTOR, [
    { kind: 'shed', service: 'invoicing', servers: [1], share: 0.45, ...disturbancePeriod }
  ]]
]

describe.each(SCENARIOS)('%s', (_name, createPlan, loadFactor, disturbances) => {
  test('the chain policy has a higher goodput than first come first served and load shedding at each hop', () => {
    const { chain, bestBaselineRatio } = compare(createPlan, loadFactor, disturbances, 1)
    expect(chain.goodputRatio).toBeGreaterThan(bestBaselineRatio + NOISE_RATIO)
  })
})

describe('guarantees of the chain policy', () => {
  test.each([['lamp oil union', lampOilUnion], ['head office', headOffice]] as Array<[string, PlanFactory]>)(
    'admission control costs the %s no significant goodput at its stated load', (_name, createPlan) => {
      const { chain, bestBaselineRatio } = compare(createPlan, 1, [], 3)
      expect(chain.goodputRatio).toBeGreaterThan(bestBaselineRatio - NOISE_RATIO)
    })

  test.each([
    ['lamp oil union', lampOilUnion, 'book-delivery', 'stock-lookup'],
    ['head office', headOffice, 'order-place', 'routing-lookup']
  ] as Array<[string, PlanFactory, string, string]>)(
    'the %s serves a larger share of important requests than of lookups that share a service with them',
    (_name, createPlan, important, lookup) => {
      const { routes } = runModel(createPlan(PEAK_LOAD_FACTOR, { durationMs: DURATION_MS }))
      const served = (name: string): number => routes[name]!.inTime / routes[name]!.offered
      expect(served(important)).toBeGreaterThan(served(lookup))
    })

  test.each([['lamp oil union', lampOilUnion], ['head office', headOffice]] as Array<[string, PlanFactory]>)(
    'no route of the %s starves', (_name, createPlan) => {
      const results = Object.values(runModel(createPlan(PEAK_LOAD_FACTOR, { durationMs: DURATION_MS })).routes)
      const total = (count: (result: RouteResult) => number): number => {
        return results.reduce((sum, result) => sum + count(result), 0)
      }
      const all = total(result => result.inTime) / total(result => result.offered)
      for (const { inTime, offered } of results) expect(inTime / offered).toBeGreaterThan(all / 4)
    })

  test('requests to a service that is not on the overloaded chain are not refused', () => {
    const { routes } = runModel(lampOilUnion(PEAK_LOAD_FACTOR, { durationMs: DURATION_MS }))
    expect(routes['slot-check']!.refused).toBe(0)
  })

  test('goodput is back within two seconds of the end of a burst', () => {
    const { recoveryMs } = runModel(lampOilUnion(1, { disturbances: [{ kind: 'burst', factor: 3, ...disturbancePeriod }] }))
    expect(recoveryMs).not.toBeNull()
    expect(recoveryMs).toBeLessThanOrEqual(2_000)
  })
})
