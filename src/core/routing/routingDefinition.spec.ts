import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import type { RoutingDb } from './routingDb.js'
import { routingDefinition as routing } from './routingDefinition.js'
import { ConnectionEvent, PeerResult, type NodeTarget, type RouteChoice } from './routingTypes.js'

const ADDRESS = '10.0.0.1:9000'
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
  return routing.chooseNode(db, { serviceName: 'invoicing', ownDataCentre: 'tartu', triedNodeIds }, nowMs, random)
}

function nodeIdOf (choice: RouteChoice): string {
  return choice.kind === 'target' ? choice.target.nodeId : 'none'
}

/** Sends `count` calls, each ending with the result of its node, and counts them by node. */
function countCallsByNode (
  db: RoutingDb, count: number, startMs: number, resultOf: (nodeId: string) => PeerResult, triedNodeIds: string[] = []
): Map<string, number> {
  const random = seededRandom(7)
  const counts = new Map<string, number>()
  for (let n = 0; n < count; n++) {
    const id = nodeIdOf(chooseFor(db, startMs + n, random, ...triedNodeIds))
    counts.set(id, (counts.get(id) ?? 0) + 1)
    routing.recordSend(db, id, startMs + n)
    routing.recordResult(db, id, resultOf(id), 1, startMs + n)
  }
  return counts
}

function recordFailures (
  db: RoutingDb, nodeId: string, nowMs: number, failuresCount = 3, result = PeerResult.ConnectFailed
): void {
  for (let n = 0; n < failuresCount; n++) {
    routing.recordSend(db, nodeId, nowMs)
    routing.recordResult(db, nodeId, result, 0, nowMs)
  }
}

const alwaysAnswered = (): PeerResult => PeerResult.Answered

describe('choice', () => {
  test('calls stay in the local data centre while it accepts them', () => {
    const counts = countCallsByNode(dbWith({ tartu: 2, parnu: 2 }), 100, 0, alwaysAnswered)
    expect([...counts.keys()].sort()).toEqual(['tartu-0', 'tartu-1'])
  })

  test('calls go to other data centres when the local nodes refuse them, and return within a second', () => {
    const db = dbWith({ tartu: 2, parnu: 2 })
    const refusing = countCallsByNode(
      db, 500, 0, id => id.startsWith('tartu') ? PeerResult.RefusedOverload : PeerResult.Answered
    )
    const localCount = (counts: Map<string, number>): number =>
      (counts.get('tartu-0') ?? 0) + (counts.get('tartu-1') ?? 0)
    expect(localCount(refusing)).toBeLessThan(150)
    countCallsByNode(db, 1000, 500, alwaysAnswered)
    expect(localCount(countCallsByNode(db, 100, 1500, alwaysAnswered))).toBeGreaterThan(95)
  })

  test.each([
    ['absent', { parnu: 2 }, []],
    ['ejected', { tartu: 1, parnu: 2 }, ['tartu-0']]
  ])('calls go to other data centres when the local nodes are %s', (_name, counts, ejected) => {
    const db = dbWith(counts)
    for (const id of ejected) recordFailures(db, id, 0)
    expect(nodeIdOf(chooseFor(db, 1, seededRandom(1)))).toMatch(/^parnu/)
  })

  test('after two attempts in the local data centre a call goes to another one', () => {
    const db = dbWith({ tartu: 9, parnu: 2 })
    expect(nodeIdOf(chooseFor(db, 0, seededRandom(1), 'tartu-0', 'tartu-1'))).toMatch(/^parnu/)
    expect(nodeIdOf(chooseFor(db, 0, seededRandom(1), 'tartu-0', 'tartu-1', 'parnu-0', 'parnu-1')))
      .toMatch(/^tartu-[2-8]/)
  })

  test('no node is chosen twice for a call, and an unknown service has none', () => {
    const db = dbWith({ tartu: 1 })
    expect(nodeIdOf(chooseFor(db, 0, seededRandom(1), 'tartu-0'))).toBe('none')
    const request = { serviceName: 'unknown', ownDataCentre: 'tartu', triedNodeIds: [] }
    expect(routing.chooseNode(db, request, 0, seededRandom(1)).kind).toBe('none')
  })

  test('a node that refuses calls immediately does not count as a fast one', () => {
    const db = dbWith({ tartu: 10 })
    const counts = countCallsByNode(
      db, 1000, 0, id => id === 'tartu-0' ? PeerResult.RefusedOverload : PeerResult.Answered
    )
    expect(counts.get('tartu-0')).toBeLessThan(50)
  })
})

describe('drain', () => {
  test.each([
    ['its own refusal', (db: RoutingDb) => recordFailures(db, 'tartu-0', 0, 1, PeerResult.RefusedDraining)],
    ['a notice', (db: RoutingDb) => routing.markDraining(db, 'tartu-0', 0)]
  ])('a draining node gets no call after %s, even if it is the only node', (_name, drain) => {
    const db = dbWith({ tartu: 1 })
    drain(db)
    expect(nodeIdOf(chooseFor(db, drainMarkTtlMs - 1, seededRandom(1)))).toBe('none')
    expect(nodeIdOf(chooseFor(db, drainMarkTtlMs, seededRandom(1)))).toBe('tartu-0')
  })

  test('an ejected node that is draining gets no probe call', () => {
    const db = dbWith({ tartu: 2 })
    recordFailures(db, 'tartu-0', 0)
    routing.markDraining(db, 'tartu-0', 0)
    expect(chooseFor(db, 5000, seededRandom(1), 'tartu-1').kind).toBe('none')
  })

  test('a new process with the id of a draining node gets calls', () => {
    const db = dbWith({ tartu: 1 })
    routing.markDraining(db, 'tartu-0', 0)
    routing.setTargets(db, targetsOf({ tartu: 1 }, 2), 1)
    expect(nodeIdOf(chooseFor(db, 1, seededRandom(1)))).toBe('tartu-0')
  })
})

describe('calls to a node that is not listed', () => {
  test('are counted, so that their results do not reduce the count of later calls', () => {
    const db = dbWith({ tartu: 2 })
    routing.setTargets(db, targetsOf({ tartu: 1 }), 0)
    routing.recordSend(db, 'tartu-1', 1)
    routing.setTargets(db, targetsOf({ tartu: 2 }), 2)
    expect(routing.peerReadings(db, 2).map(each => each.outstandingCount)).toEqual([0, 1])
    routing.recordResult(db, 'tartu-1', PeerResult.Answered, 2, 3)
    expect(routing.violations(db, 3)).toEqual([])
  })
})

describe('ejection', () => {
  test('an ejected node gets a single probe call, and its answer ends the ejection', () => {
    const db = dbWith({ tartu: 2 })
    recordFailures(db, 'tartu-0', 0)
    expect(chooseFor(db, 50, seededRandom(1), 'tartu-1').kind).toBe('none')
    expect(chooseFor(db, 100, seededRandom(1))).toMatchObject({ isProbe: true, target: { nodeId: 'tartu-0' } })
    expect(chooseFor(db, 101, seededRandom(1))).toMatchObject({ isProbe: false, target: { nodeId: 'tartu-1' } })
    routing.recordSend(db, 'tartu-0', 100)
    routing.recordResult(db, 'tartu-0', PeerResult.Answered, 5, 105)
    expect(routing.peerReadings(db, 105).map(each => each.ejectedUntilMs)).toEqual([null, null])
  })

  test('each ejection is twice as long as the one before, up to the maximum', () => {
    const db = dbWith({ tartu: 2 })
    const lengths: number[] = []
    let nowMs = 0
    recordFailures(db, 'tartu-0', nowMs)
    for (let n = 0; n < 5; n++) {
      const untilMs = routing.peerReadings(db, nowMs)[0]!.ejectedUntilMs!
      lengths.push(untilMs - nowMs)
      nowMs = untilMs
      chooseFor(db, nowMs, seededRandom(1))
      recordFailures(db, 'tartu-0', nowMs, 1)
    }
    expect(lengths).toEqual([100, 200, 400, 800, ejectMaxMs])
  })

  test('failures of calls sent before an ejection do not prolong it', () => {
    const db = dbWith({ tartu: 2 })
    for (let n = 0; n < 6; n++) routing.recordSend(db, 'tartu-0', 0)
    for (const nowMs of [10, 10, 10, 90, 110]) routing.recordResult(db, 'tartu-0', PeerResult.TimedOut, nowMs, nowMs)
    expect(chooseFor(db, 111, seededRandom(1))).toMatchObject({ isProbe: true, target: { nodeId: 'tartu-0' } })
  })

  test('timeouts of calls sent before the last response do not eject a node', () => {
    const db = dbWith({ tartu: 2 })
    for (let n = 0; n < 6; n++) routing.recordSend(db, 'tartu-0', 0)
    routing.recordResult(db, 'tartu-0', PeerResult.Answered, 500, 500)
    for (let n = 0; n < 5; n++) routing.recordResult(db, 'tartu-0', PeerResult.TimedOut, 1000, 1000)
    expect(routing.peerReadings(db, 1000)[0]?.ejectedUntilMs).toBeNull()
  })

  test('ejections in data centres without calls do not use up the ejection limit for ever', () => {
    const db = dbWith({ tartu: 2, parnu: 2 })
    for (const id of ['parnu-0', 'parnu-1']) recordFailures(db, id, 0)
    recordFailures(db, 'tartu-0', 10_000)
    expect(routing.peerReadings(db, 10_000).filter(each => each.ejectedUntilMs !== null).map(each => each.nodeId))
      .toEqual(['tartu-0'])
  })

  test('the ejection limit still holds after the service has become smaller', () => {
    const db = dbWith({ tartu: 4 })
    for (const id of ['tartu-0', 'tartu-1']) recordFailures(db, id, 0)
    routing.setTargets(db, targetsOf({ tartu: 2 }), 1)
    expect(routing.violations(db, 1)).toEqual([])
    expect(routing.peerReadings(db, 1).filter(each => each.ejectedUntilMs !== null)).toHaveLength(1)
  })
})

describe('connections', () => {
  const { Opened, OpenFailed, Answered, TimedOut, ProbeTimedOut } = ConnectionEvent

  test.each([
    ['several connects failed', [OpenFailed, OpenFailed], true],
    ['one connect failed', [OpenFailed], false],
    ['only existing connections time out', [TimedOut, ProbeTimedOut, TimedOut], false],
    ['a new connection times out too', [TimedOut, Opened, TimedOut, ProbeTimedOut], true],
    ['calls on a new connection are only slow', [Opened, TimedOut, TimedOut, TimedOut], false],
    ['it has answered since', [OpenFailed, OpenFailed, Opened, Answered], false]
  ])('whether an endpoint is unreachable: %s', (_name, events, expected) => {
    const db = routing.createDb(routing.defaults)
    for (const event of events) routing.recordConnectionEvent(db, ADDRESS, event, 0)
    expect(routing.isUnreachable(db, ADDRESS, 0)).toBe(expected)
    expect(routing.isUnreachable(db, ADDRESS, 60_000)).toBe(false)
  })

  test.each([
    [4999, [], 'keep'],
    [5000, [], 'probe_before_use'],
    [1000, [TimedOut], 'probe_before_use'],
    [999, [TimedOut], 'keep'],
    [5000, [TimedOut], 'replace'],
    [1000, [TimedOut, Answered], 'keep']
  ])('advice for a connection idle for %d ms after %j', (silentMs, events, kind) => {
    const db = routing.createDb(routing.defaults)
    for (const event of events) routing.recordConnectionEvent(db, ADDRESS, event, 0)
    expect(routing.adviseConnection(db, ADDRESS, silentMs)).toEqual({ kind })
  })

  test('the rate of new connections to an endpoint is limited', () => {
    const db = routing.createDb({ ...routing.defaults, connectsPerS: 8 })
    const granted = (nowMs: number): number => (
      Array.from({ length: 9 }, () => routing.mayConnect(db, ADDRESS, nowMs)).filter(Boolean).length
    )
    expect([granted(0), granted(125), granted(1e9)]).toEqual([2, 1, 2])
    routing.tick(db, 2e9)
    expect(db.endpoints.size).toBe(0)
  })
})
