import { fleetRetryBudgetDefinition as fleetRetryBudget } from './fleetRetryBudgetDefinition.js'

const SETTINGS = { budgetRatio: 0.2, slackCount: 50, windowMs: 10_000 }

/** Largest excess of retries over the budget in any window, when every request is retried as far as allowed. */
function worstExcess (nodesCount: number, requestsPerS: (second: number) => number): number {
  const dbs = Array.from({ length: nodesCount }, () => fleetRetryBudget.createDb(SETTINGS, 0))
  for (const db of dbs) fleetRetryBudget.setNodesCount(db, nodesCount)
  const requests: number[] = []
  const retries: number[] = []
  for (let nowMs = 0; nowMs < 40_000; nowMs += 100) {
    let requestsCount = 0
    let retriesCount = 0
    for (const db of dbs) {
      const count = Math.round(requestsPerS(Math.floor(nowMs / 1000)) / 10 / nodesCount)
      for (let at = 0; at < count; at++) {
        fleetRetryBudget.recordRequest(db, 'deep', nowMs)
        requestsCount += 1
        if (fleetRetryBudget.tryTakeRetry(db, 'deep', nowMs)) retriesCount += 1
      }
    }
    requests.push(requestsCount)
    retries.push(retriesCount)
  }
  let worst = -Infinity
  const window = 100
  const sum = (list: number[], from: number): number => {
    return list.slice(Math.max(0, from), from + window).reduce((a, b) => a + b, 0)
  }
  for (let from = 0; from + window <= requests.length; from++) {
    const counted = Math.max(sum(requests, from), sum(requests, from - window), sum(requests, from - window / 2))
    worst = Math.max(worst, sum(retries, from) - (SETTINGS.budgetRatio * counted + SETTINGS.slackCount))
  }
  return worst
}

describe('fleet retry budget', () => {
  test.each([
    ['steady load on 13 nodes', 13, () => 2_600],
    ['steady load on 91 nodes', 91, () => 9_100],
    ['load that drops suddenly', 13, (second: number) => (second < 15 ? 2_600 : 130)],
    ['a burst', 17, (second: number) => (second >= 10 && second < 13 ? 5_100 : 340)],
    ['very low load', 17, () => 170]
  ])('the fleet stays within its budget in each window under %s', (_name, nodesCount, requestsPerS) => {
    expect(worstExcess(nodesCount, requestsPerS)).toBeLessThanOrEqual(0)
  })

  test('each service has its own budget', () => {
    const db = fleetRetryBudget.createDb({ ...SETTINGS, slackCount: 2 }, 0)
    expect([fleetRetryBudget.tryTakeRetry(db, 'a', 0), fleetRetryBudget.tryTakeRetry(db, 'a', 0), fleetRetryBudget.tryTakeRetry(db, 'b', 0)]).toEqual([true, false, true])
  })
})
