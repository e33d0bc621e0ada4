import { headOffice, lampOilUnion } from './deployments.js'
import { runModel } from './policyModel.js'
import { Policy, type ModelPlan } from './policyTypes.js'

/** Multiples of the stated load at which the policies are compared. */
const LOAD_FACTORS = [1, 1.4, 2.3, 4]

const DEPLOYMENTS: ReadonlyArray<
  readonly [string, (loadFactor: number, overrides?: Partial<ModelPlan>) => ModelPlan]
> = [
  ['lamp oil union', lampOilUnion], ['head office', headOffice]
]

console.log('deployment      load  policy         goodput  worst 2 s  wasted  served in time by route')
for (const [name, createPlan] of DEPLOYMENTS) {
  for (const loadFactor of LOAD_FACTORS) {
    for (const policy of Object.values(Policy)) {
      const { goodputRatio, worstGoodputRatio, wastedRatio, routes } = runModel(createPlan(loadFactor, { policy }))
      const served = Object.entries(routes).map(([route, { inTime, offered }]) => `${route} ${(inTime / offered).toFixed(2)}`)
      console.log(
        `${name.padEnd(15)} ${String(loadFactor).padEnd(5)} ${policy.padEnd(14)} ${goodputRatio.toFixed(3)}    ` +
        `${worstGoodputRatio.toFixed(3)}      ${wastedRatio.toFixed(2)}    ${served.join(', ')}`
      )
    }
  }
}
