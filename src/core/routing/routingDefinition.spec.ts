import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import type { RoutingDb } from './routingDb.js'
import { routingDefinition as routing } from './routingDefinition.js'
import { ConnectionEvent, PeerResult, type NodeTarget, type RouteChoice } from './routingTypes.js'

const PLACE = '10.0.0.1:9000'
const { ejectMaxMs, drainMarkTtlMs } = routing.defaults

function seededRandom (seed: number): () => number {
  const generator = xoroshiro128plus(seed)
  return () => uniformFloat64(generator)
}

/** Nodes named by data centre and number, for example `tartu-0`. */
function targetsOf (counts: Record<string, number>, port = 1): NodeTarget[] {
  return Object.entries(counts).flatMap(([dataCentre, count]) => Array.from({ length: count }, (_, n) => ({
    nodeId: `${dataCentre}-${n}`, address: `10.0.0.${n}:${port}`, serviceName: 'invoicing', dataCentre
  })))
}

function dbWith (counts: Record<string, number>): RoutingDb {
  const db = routing.createDb(routing.defaults)
  routing.setTargets(db, targetsOf(counts), 0)
  return db
}

function chooseFor (db: RoutingDb, nowMs: number, random: () => number, ...triedNodeIds: string[]): RouteChoice {
  return routing.choose(db, { serviceName: 'invoicing', ownDataCentre: 'tartu', triedNodeIds }, nowMs, random)
}

function idOf (choice: RouteChoice): string {
  return choice.kind === 'target' ? choice.target.nodeId : 'none'
}

/** Where `count` calls go that all get the same result per node. */
function spread (
  db: RoutingDb, count: number, startMs: number, resultOf: (nodeId: string) => PeerResult, tried: string[] = []
): Map<string, number> {
  const random = seededRandom(7)
  const counts = new Map<string, number>()
  for (let n = 0; n < count; n++) {
    const id = idOf(chooseFor(db, startMs + n, random, ...tried))
    counts.set(id, (counts.get(id) ?? 0) + 1)
    routing.sent(db, id, startMs + n)
    routing.finished(db, id, resultOf(id), 1, startMs + n)
  }
  return counts
}

function fail (db: RoutingDb, nodeId: string, nowMs: number, times = 3, result = PeerResult.ConnectFailed): void {
  for (let n = 0; n < times; n++) {
    routing.sent(db, nodeId, nowMs)
    routing.finished(db, nodeId, result, 0, nowMs)
  }
}

const answered = (): PeerResult => PeerResult.Answered

describe('choice', () => {
  test('calls stay in the own data centre while it takes them', () => {
    const counts = spread(dbWith({ tartu: 2, parnu: 2 }), 100, 0, answered)
    expect([...counts.keys()].sort()).toEqual(['tartu-0', 'tartu-1'])
  })

  test('calls go to other data centres when the own nodes refuse, and come back within a second', () => {
    const db = dbWith({ tartu: 2, parnu: 2 })
    const refusing = spread(db, 500, 0, id => id.startsWith('tartu') ? PeerResult.RefusedOverload : PeerResult.Answered)
    const ownCount = (counts: Map<string, number>): number => (counts.get('tartu-0') ?? 0) + (counts.get('tartu-1') ?? 0)
    expect(ownCount(refusing)).toBeLessThan(150)
    spread(db, 1000, 500, answered)
    expect(ownCount(spread(db, 100, 1500, answered))).toBeGreaterThan(95)
  })

  test.each([
    ['absent', { parnu: 2 }, []],
    ['ejected', { tartu: 1, parnu: 2 }, ['tartu-0']]
  ])('calls go to other data centres when the own nodes are %s', (_name, counts, ejected) => {
    const db = dbWith(counts)
    for (const id of ejected) fail(db, id, 0)
    expect(idOf(chooseFor(db, 1, seededRandom(1)))).toMatch(/^parnu/)
  })

  test('after two tries in the own data centre a call goes where its caller may have share left', () => {
    const db = dbWith({ tartu: 9, parnu: 2 })
    expect(idOf(chooseFor(db, 0, seededRandom(1), 'tartu-0', 'tartu-1'))).toMatch(/^parnu/)
    expect(idOf(chooseFor(db, 0, seededRandom(1), 'tartu-0', 'tartu-1', 'parnu-0', 'parnu-1'))).toMatch(/^tartu-[2-8]/)
  })

  test('no node is chosen twice for a call, and an unknown service has none', () => {
    const db = dbWith({ tartu: 1 })
    expect(idOf(chooseFor(db, 0, seededRandom(1), 'tartu-0'))).toBe('none')
    const request = { serviceName: 'unknown', ownDataCentre: 'tartu', triedNodeIds: [] }
    expect(routing.choose(db, request, 0, seededRandom(1)).kind).toBe('none')
  })

  test('a node that refuses at once is not mistaken for a fast one', () => {
    const db = dbWith({ tartu: 10 })
    const counts = spread(db, 1000, 0, id => id === 'tartu-0' ? PeerResult.RefusedOverload : PeerResult.Answered)
    expect(counts.get('tartu-0')).toBeLessThan(50)
  })
})

describe('drain', () => {
  test.each([
    ['its own refusal', (db: RoutingDb) => fail(db, 'tartu-0', 0, 1, PeerResult.RefusedDraining)],
    ['a notice', (db: RoutingDb) => routing.markDraining(db, 'tartu-0', 0)]
  ])('a node that is leaving gets no call after %s, also when it is the only one', (_name, drain) => {
    const db = dbWith({ tartu: 1 })
    drain(db)
    expect(idOf(chooseFor(db, drainMarkTtlMs - 1, seededRandom(1)))).toBe('none')
    expect(idOf(chooseFor(db, drainMarkTtlMs, seededRandom(1)))).toBe('tartu-0')
  })

  test('an ejected node that is leaving gets no probe call', () => {
    const db = dbWith({ tartu: 2 })
    fail(db, 'tartu-0', 0)
    routing.markDraining(db, 'tartu-0', 0)
    expect(chooseFor(db, 5000, seededRandom(1), 'tartu-1').kind).toBe('none')
  })

  test('a new process under a draining node\'s id gets calls', () => {
    const db = dbWith({ tartu: 1 })
    routing.markDraining(db, 'tartu-0', 0)
    routing.setTargets(db, targetsOf({ tartu: 1 }, 2), 1)
    expect(idOf(chooseFor(db, 1, seededRandom(1)))).toBe('tartu-0')
  })
})

describe('calls to a node that is no target', () => {
  test('are counted, so that their results do not take away those of later calls', () => {
    const db = dbWith({ tartu: 2 })
    routing.setTargets(db, targetsOf({ tartu: 1 }), 0)
    routing.sent(db, 'tartu-1', 1)
    routing.setTargets(db, targetsOf({ tartu: 2 }), 2)
    expect(routing.readings(db, 2).map(each => each.outstandingCount)).toEqual([0, 1])
    routing.finished(db, 'tartu-1', PeerResult.Answered, 2, 3)
    expect(routing.violations(db, 3)).toEqual([])
  })
})

describe('ejection', () => {
  test('a single probe call brings a node back, and it is the only call until then', () => {
    const db = dbWith({ tartu: 2 })
    fail(db, 'tartu-0', 0)
    expect(chooseFor(db, 50, seededRandom(1), 'tartu-1').kind).toBe('none')
    expect(chooseFor(db, 100, seededRandom(1))).toMatchObject({ isProbe: true, target: { nodeId: 'tartu-0' } })
    expect(chooseFor(db, 101, seededRandom(1))).toMatchObject({ isProbe: false, target: { nodeId: 'tartu-1' } })
    routing.sent(db, 'tartu-0', 100)
    routing.finished(db, 'tartu-0', PeerResult.Answered, 5, 105)
    expect(routing.readings(db, 105).map(each => each.ejectedUntilMs)).toEqual([null, null])
  })

  test('ejections grow up to their bound', () => {
    const db = dbWith({ tartu: 2 })
    const lengths: number[] = []
    let nowMs = 0
    fail(db, 'tartu-0', nowMs)
    for (let n = 0; n < 5; n++) {
      const untilMs = routing.readings(db, nowMs)[0]!.ejectedUntilMs!
      lengths.push(untilMs - nowMs)
      nowMs = untilMs
      chooseFor(db, nowMs, seededRandom(1))
      fail(db, 'tartu-0', nowMs, 1)
    }
    expect(lengths).toEqual([100, 200, 400, 800, ejectMaxMs])
  })

  test('calls from before an ejection that end during it do not prolong it', () => {
    const db = dbWith({ tartu: 2 })
    for (let n = 0; n < 6; n++) routing.sent(db, 'tartu-0', 0)
    for (const nowMs of [10, 10, 10, 90, 110]) routing.finished(db, 'tartu-0', PeerResult.TimedOut, nowMs, nowMs)
    expect(chooseFor(db, 111, seededRandom(1))).toMatchObject({ isProbe: true, target: { nodeId: 'tartu-0' } })
  })

  test('timeouts of calls sent before the last response do not eject a node that is there', () => {
    const db = dbWith({ tartu: 2 })
    for (let n = 0; n < 6; n++) routing.sent(db, 'tartu-0', 0)
    routing.finished(db, 'tartu-0', PeerResult.Answered, 500, 500)
    for (let n = 0; n < 5; n++) routing.finished(db, 'tartu-0', PeerResult.TimedOut, 1000, 1000)
    expect(routing.readings(db, 1000)[0]?.ejectedUntilMs).toBeNull()
  })

  test('ejections in data centres without calls do not use up the bound for ever', () => {
    const db = dbWith({ tartu: 2, parnu: 2 })
    for (const id of ['parnu-0', 'parnu-1']) fail(db, id, 0)
    fail(db, 'tartu-0', 10_000)
    expect(routing.readings(db, 10_000).filter(each => each.ejectedUntilMs !== null).map(each => each.nodeId))
      .toEqual(['tartu-0'])
  })

  test('a smaller service keeps the bound', () => {
    const db = dbWith({ tartu: 4 })
    for (const id of ['tartu-0', 'tartu-1']) fail(db, id, 0)
    routing.setTargets(db, targetsOf({ tartu: 2 }), 1)
    expect(routing.violations(db, 1)).toEqual([])
    expect(routing.readings(db, 1).filter(each => each.ejectedUntilMs !== null)).toHaveLength(1)
  })
})

describe('connections', () => {
  const { Opened, OpenFailed, Answered, TimedOut, ProbeTimedOut } = ConnectionEvent

  test.each([
    ['connects fail', [OpenFailed, OpenFailed], true],
    ['one connect failed', [OpenFailed], false],
    ['only old connections are silent', [TimedOut, ProbeTimedOut, TimedOut], false],
    ['a new connection is silent too', [TimedOut, Opened, TimedOut, ProbeTimedOut], true],
    ['calls on a new connection are only slow', [Opened, TimedOut, TimedOut, TimedOut], false],
    ['it answered since', [OpenFailed, OpenFailed, Opened, Answered], false]
  ])('whether a place is down: %s', (_name, events, expected) => {
    const db = routing.createDb(routing.defaults)
    for (const event of events) routing.connectionSeen(db, PLACE, event, 0)
    expect(routing.isDown(db, PLACE, 0)).toBe(expected)
    expect(routing.isDown(db, PLACE, 60_000)).toBe(false)
  })

  test.each([
    [4999, [], 'keep'],
    [5000, [], 'probe_before_use'],
    [1000, [TimedOut], 'probe_before_use'],
    [999, [TimedOut], 'keep'],
    [5000, [TimedOut], 'replace'],
    [1000, [TimedOut, Answered], 'keep']
  ])('advice after %d ms of silence and %j', (silentMs, events, kind) => {
    const db = routing.createDb(routing.defaults)
    for (const event of events) routing.connectionSeen(db, PLACE, event, 0)
    expect(routing.adviseConnection(db, PLACE, silentMs)).toEqual({ kind })
  })

  test('new connects to a place are limited in rate', () => {
    const db = routing.createDb({ ...routing.defaults, connectsPerS: 8 })
    const granted = (nowMs: number): number => (
      Array.from({ length: 9 }, () => routing.mayConnect(db, PLACE, nowMs)).filter(Boolean).length
    )
    expect([granted(0), granted(125), granted(1e9)]).toEqual([2, 1, 2])
    routing.tick(db, 2e9)
    expect(db.places.size).toBe(0)
  })
})
