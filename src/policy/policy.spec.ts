import { headOffice, lampOilUnion } from './deployments.js'
import { runModel } from './policyModel.js'
import { Policy, type ModelPlan, type ModelResult, type ModelTrouble, type RouteResult } from './policyTypes.js'

/** Load of the heavy days, as a multiple of what the sheets state. */
const HEAVY = 2.3
const LENGTH_MS = 9_000
/** Runs of one seed differ by this much with the order of events; a difference below it says nothing. */
const NOISE_RATIO = 0.02

type Make = (loadFactor: number, change?: Partial<ModelPlan>) => ModelPlan

interface Compared {
  readonly chain: ModelResult
  readonly bareBest: number
}

/** The product's policy beside the better of the two bare ones, on the same load. */
function compare (make: Make, loadFactor: number, troubles: readonly ModelTrouble[], seed: number): Compared {
  const run = (policy: Policy): ModelResult => {
    return runModel(make(loadFactor, { policy, troubles, seed, lengthMs: LENGTH_MS }))
  }
  const chain = run(Policy.Chain)
  return { chain, bareBest: Math.max(run(Policy.FirstCome).worthRatio, run(Policy.RefuseAtHop).worthRatio) }
}

const during = { fromMs: 3_000, toMs: 6_000 }

const SCENARIOS: ReadonlyArray<readonly [string, Make, number, readonly ModelTrouble[]]> = [
  ['fan-out at the deepest service of the lamp oil union', lampOilUnion, HEAVY, []],
  ['fan-out at the deepest service of the head office', headOffice, HEAVY, []],
  ['a burst with callers that resend at once', lampOilUnion, 1.4, [
    { kind: 'burst', factor: 1.7, ...during }, { kind: 'resend_at_once', timesCount: 3, ...during }
  ]],
  ['a give-up wave under load', headOffice, HEAVY, [{ kind: 'give_up', afterMs: 400, share: 0.3, ...during }]],
  ['a fifth of the servers four times slower', lampOilUnion, HEAVY, [
    { kind: 'slow', service: 'depot', servers: [0], factor: 4, ...during },
    { kind: 'slow', service: 'invoicing', servers: [0], factor: 4, ...during }
  ]],
  ['one server of the deepest service that refuses half of its calls while healthy', lampOilUnion, HEAVY, [
    { kind: 'shed', service: 'invoicing', servers: [1], share: 0.45, ...during }
  ]]
]

describe.each(SCENARIOS)('%s', (_name, make, loadFactor, troubles) => {
  test('the chain policy serves more worth than first come first served and refusal at each hop', () => {
    const { chain, bareBest } = compare(make, loadFactor, troubles, 1)
    expect(chain.worthRatio).toBeGreaterThan(bareBest + NOISE_RATIO)
  })
})

describe('what overload leaves alone', () => {
  test.each([['lamp oil union', lampOilUnion], ['head office', headOffice]] as Array<[string, Make]>)(
    'the %s at its stated load loses next to nothing to admission', (_name, make) => {
      const { chain, bareBest } = compare(make, 1, [], 3)
      expect(chain.worthRatio).toBeGreaterThan(bareBest - NOISE_RATIO)
    })

  test.each([
    ['lamp oil union', lampOilUnion, 'book-delivery', 'stock-lookup'],
    ['head office', headOffice, 'order-place', 'routing-lookup']
  ] as Array<[string, Make, string, string]>)(
    'the %s keeps important requests above lookups that share a service with them',
    (_name, make, important, lookup) => {
      const { routes } = runModel(make(HEAVY, { lengthMs: LENGTH_MS }))
      const served = (name: string): number => routes[name]!.inTime / routes[name]!.asked
      expect(served(important)).toBeGreaterThan(served(lookup))
    })

  test.each([['lamp oil union', lampOilUnion], ['head office', headOffice]] as Array<[string, Make]>)(
    'no kind of request of the %s starves', (_name, make) => {
      const results = Object.values(runModel(make(HEAVY, { lengthMs: LENGTH_MS })).routes)
      const total = (count: (result: RouteResult) => number): number => {
        return results.reduce((sum, result) => sum + count(result), 0)
      }
      const all = total(result => result.inTime) / total(result => result.asked)
      for (const { inTime, asked } of results) expect(inTime / asked).toBeGreaterThan(all / 4)
    })

  test('requests to a service that is not on the overloaded chain are not refused', () => {
    const { routes } = runModel(lampOilUnion(HEAVY, { lengthMs: LENGTH_MS }))
    expect(routes['slot-check']!.refused).toBe(0)
  })

  test('goodput is back within two seconds of the end of a burst', () => {
    const { recoveryMs } = runModel(lampOilUnion(1, { troubles: [{ kind: 'burst', factor: 3, ...during }] }))
    expect(recoveryMs).not.toBeNull()
    expect(recoveryMs).toBeLessThanOrEqual(2_000)
  })
})
