import type { ServiceUsage } from './chainAdmissionTypes.js'
import { lowerMedian } from './chainAdmissionDetector.js'

/** Bound on the reports of one service that a call keeps; later ones are left out of the median. */
const REPORTS_MAX_COUNT = 32

interface ServiceSum {
  slotMs: number
  callsCount: number
  utilizationRatio: number
  reportsCount: number
  readonly refusedRatios: number[]
}

/**
 * Adds up the usage of the sub-calls of one call, by service. Of the refusal ratios that the servers reported it keeps
 * the median, so that a single server does not decide.
 *
 * @example
 * const sum = new UsageSum()
 * sum.add(report.usage)
 * sum.list()
 */
export class UsageSum {
  readonly #services = new Map<string, ServiceSum>()

  add (usage: readonly ServiceUsage[]): void {
    for (const { serviceName, slotMs, callsCount, utilizationRatio, refusedRatio, reportsCount } of usage) {
      let sum = this.#services.get(serviceName)
      if (sum === undefined) {
        sum = { slotMs: 0, callsCount: 0, utilizationRatio: 0, reportsCount: 0, refusedRatios: [] }
        this.#services.set(serviceName, sum)
      }
      sum.slotMs += slotMs
      sum.callsCount += callsCount
      sum.utilizationRatio = utilizationRatio
      if (refusedRatio !== null) sum.reportsCount += reportsCount
      if (refusedRatio !== null && sum.refusedRatios.length < REPORTS_MAX_COUNT) sum.refusedRatios.push(refusedRatio)
    }
  }

  list (): ServiceUsage[] {
    return [...this.#services].map(([serviceName, { refusedRatios, ...sum }]) => ({
      serviceName,
      ...sum,
      refusedRatio: refusedRatios.length === 0 ? null : lowerMedian(refusedRatios)
    }))
  }
}
