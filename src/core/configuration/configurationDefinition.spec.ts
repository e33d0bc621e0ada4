import { configurationDefinition as family } from './configurationDefinition.js'
import type { Configuration, RouteRule } from './configurationTypes.js'

function rule (name: string, pathPrefix: string, parts: RouteRule['parts'] = [{ serviceName: name, weight: 1 }]): RouteRule {
  return {
    name,
    host: 'shop.example',
    pathPrefix,
    isIdempotent: true,
    timeoutMs: null,
    latencyObjectiveMs: 500,
    importanceRank: 1,
    parts,
    attemptsMaxCount: 2
  }
}

function configuration (version: number, routes: readonly RouteRule[]): Configuration {
  return {
    version,
    routes,
    services: new Map(),
    limits: { headMaxBytes: 1, bodyMaxBytes: 1, headTimeoutMs: 1, idleTimeoutMs: 1 }
  }
}

describe('configuration family', () => {
  test('versions never go back, whatever order they arrive in', () => {
    const db = family.createDb()
    const kinds = [5, 3, 5, 8, 7].map(version => family.offer(db, configuration(version, []), 0).kind)
    expect(kinds).toEqual(['in_force', 'not_newer', 'not_newer', 'in_force', 'not_newer'])
    expect(db.current?.version).toBe(8)
  })

  test('the longest prefix of a host wins, and another host has none of its routes', () => {
    const db = family.createDb()
    family.offer(db, configuration(1, [rule('all', '/a/'), rule('deep', '/a/b/'), rule('other', '/c/')]), 0)
    const match = (host: string, path: string): string | undefined => family.matchRoute(db, host, path)?.name
    expect([
      match('shop.example', '/a/b/1'), match('shop.example', '/a/bb'), match('shop.example', '/a'),
      match('shop.example', '/x/'), match('else.example', '/a/b/1')
    ]).toEqual(['deep', 'all', undefined, undefined, undefined])
  })

  test('parts keep their weights evenly over any short span', () => {
    const db = family.createDb()
    const split = rule('split', '/a/', [{ serviceName: 'big', weight: 70 }, { serviceName: 'small', weight: 30 }])
    const chosen = Array.from({ length: 200 }, () => family.choosePart(db, split, () => 0.4))
    for (let from = 0; from + 50 <= chosen.length; from += 10) {
      const share = chosen.slice(from, from + 50).filter(name => name === 'small').length / 50
      expect(Math.abs(share - 0.3)).toBeLessThanOrEqual(0.04)
    }
  })

  test('nodes that start at once do not all choose the same part first', () => {
    const split = rule('split', '/a/', [{ serviceName: 'one', weight: 75 }, { serviceName: 'two', weight: 25 }])
    const firsts = Array.from({ length: 8 }, (_, at) => family.choosePart(family.createDb(), split, () => at / 100))
    expect(firsts.filter(name => name === 'two')).toHaveLength(2)
  })
})
