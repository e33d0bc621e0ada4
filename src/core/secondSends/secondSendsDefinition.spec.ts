import { secondSendsDefinition as family } from './secondSendsDefinition.js'

const SETTINGS = { budgetRatio: 0.2, slackCount: 50, windowMs: 10_000 }

/** Greatest excess of extra arrivals over the bound in any window, when every call is sent again if allowed. */
function worstExcess (nodesCount: number, requestsPerS: (second: number) => number): number {
  const dbs = Array.from({ length: nodesCount }, () => family.createDb(SETTINGS, 0))
  for (const db of dbs) family.setNodesCount(db, nodesCount)
  const requests: number[] = []
  const extras: number[] = []
  for (let nowMs = 0; nowMs < 40_000; nowMs += 100) {
    let requestsCount = 0
    let extrasCount = 0
    for (const db of dbs) {
      const count = Math.round(requestsPerS(Math.floor(nowMs / 1000)) / 10 / nodesCount)
      for (let at = 0; at < count; at++) {
        family.request(db, 'deep', nowMs)
        requestsCount += 1
        if (family.take(db, 'deep', nowMs)) extrasCount += 1
      }
    }
    requests.push(requestsCount)
    extras.push(extrasCount)
  }
  let worst = -Infinity
  const window = 100
  const sum = (list: number[], from: number): number => {
    return list.slice(Math.max(0, from), from + window).reduce((a, b) => a + b, 0)
  }
  for (let from = 0; from + window <= requests.length; from++) {
    const counted = Math.max(sum(requests, from), sum(requests, from - window), sum(requests, from - window / 2))
    worst = Math.max(worst, sum(extras, from) - (SETTINGS.budgetRatio * counted + SETTINGS.slackCount))
  }
  return worst
}

describe('second sends', () => {
  test.each([
    ['steady load on 13 nodes', 13, () => 2_600],
    ['steady load on 91 nodes', 91, () => 9_100],
    ['load that stops at once', 13, (second: number) => (second < 15 ? 2_600 : 130)],
    ['a burst', 17, (second: number) => (second >= 10 && second < 13 ? 5_100 : 340)],
    ['hardly any load', 17, () => 170]
  ])('the fleet keeps its bound in each window under %s', (_name, nodesCount, requestsPerS) => {
    expect(worstExcess(nodesCount, requestsPerS)).toBeLessThanOrEqual(0)
  })

  test('services have bounds of their own', () => {
    const db = family.createDb({ ...SETTINGS, slackCount: 2 }, 0)
    expect([family.take(db, 'a', 0), family.take(db, 'a', 0), family.take(db, 'b', 0)]).toEqual([true, false, true])
  })
})
