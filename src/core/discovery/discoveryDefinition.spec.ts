import type { Millis } from '../../clock/clock.js'
import { createListedServer } from '../../testing/listedServers.js'
import type { DiscoveryDb } from './discoveryDb.js'
import { discoveryDefinition as discovery, type ListChanges } from './discoveryDefinition.js'
import {
  ListSource, type ListedChange, type ListedServer, type ListEvent, type ListSnapshot
} from './discoveryTypes.js'
import { readAfterMs, READ_PERIOD_MS, watchWaitMs } from './readSchedule.js'

function server (serverId: string, revision: number, change: Partial<ListedServer> = {}): ListedServer {
  return createListedServer({ serverId, revision, ...change })
}

/** Changes up to a revision, without a gap after any known revision. */
function contiguousChanges (revision: number, list: readonly ListedChange[]): ListChanges {
  return { era: 1, afterRevision: -1, revision, changes: list }
}

/** Applies a full copy that was read from the store, by default in its first era. */
function applyRead (
  db: DiscoveryDb, { era = 1, ...list }: Partial<ListSnapshot> & Omit<ListSnapshot, 'era'>, readAtMs: Millis,
  keptIds: readonly string[] = []
): ListEvent[] {
  return discovery.applySnapshot(db, { era, ...list }, ListSource.Store, readAtMs, keptIds)
}

function describeEvents (events: ReturnType<typeof discovery.applySnapshot>): string[] {
  return events.map(event => `${event.kind} ${event.server.serverId}`)
}

describe('discovery', () => {
  test('heartbeats alone cause no events', () => {
    const db = discovery.createDb(discovery.defaults)
    applyRead(db, { revision: 5, servers: [server('1', 3)] }, 0)
    const events = discovery.applyChanges(db, contiguousChanges(6, [{ kind: 'written', server: server('1', 6) }]), 100)
    expect({ events, revision: db.revision }).toEqual({ events: [], revision: 6 })
  })

  test('changes after a gap in the revisions are not applied, so that no change in the gap is lost', () => {
    const db = discovery.createDb(discovery.defaults)
    applyRead(db, { revision: 5, servers: [server('1', 3), server('2', 4)] }, 0)
    const later = { era: 1, afterRevision: 8, revision: 9, changes: [{ kind: 'written' as const, server: server('3', 9) }] }
    expect(discovery.hasNoRevisionGap(db, later)).toBe(false)
    expect(describeEvents(discovery.applyChanges(db, later, 100))).toEqual([])
    expect(db.revision).toBe(5)
    expect(describeEvents(applyRead(db, { revision: 9, servers: [server('2', 4), server('3', 9)] }, 150)))
      .toEqual(['joined 3', 'left 1'])
  })

  test('a node that removed lapsed servers after a network partition applies later changes from its peers', () => {
    const db = discovery.createDb(discovery.defaults)
    applyRead(db, { revision: 5, servers: [server('1', 3), server('2', 4)] }, 0)
    applyRead(db, { revision: 9, servers: [server('2', 4)] }, 9_000)
    expect(describeEvents(discovery.expireGraces(db, 12_000))).toEqual(['left 1'])
    const back = { era: 1, afterRevision: 9, revision: 12, changes: [{ kind: 'written' as const, server: server('1', 12) }] }
    expect(describeEvents(discovery.applyChanges(db, back, 12_100))).toEqual(['joined 1'])
  })

  test('an older copy from a peer neither restores a removed server nor removes a newer one', () => {
    const db = discovery.createDb(discovery.defaults)
    applyRead(db, { revision: 5, servers: [server('1', 3), server('2', 4)] }, 0)
    discovery.applyChanges(db, contiguousChanges(7, [{ kind: 'removed', serverId: '1', revision: 7 }]), 100)
    expect(describeEvents(applyRead(db, { revision: 6, servers: [server('1', 3)] }, 200))).toEqual([])
    expect(describeEvents(discovery.applyChanges(db, contiguousChanges(6, [{ kind: 'written', server: server('1', 6) }]), 200))).toEqual([])
    expect(discovery.serversOf(db, 'depot').map(entry => entry.serverId)).toEqual(['2'])
  })

  test('the later incarnation at an address is used, before and after the old entry expires', () => {
    const db = discovery.createDb(discovery.defaults)
    const old = server('1', 3, { ip: '10.0.0.9' })
    const next = server('2', 8, { ip: '10.0.0.9' })
    applyRead(db, { revision: 8, servers: [next, old] }, 0)
    expect(discovery.serverAt(db, '10.0.0.9', 80)?.serverId).toBe('2')
    expect(discovery.serversOf(db, 'depot').map(entry => entry.serverId)).toEqual(['2'])
    discovery.applyChanges(db, contiguousChanges(9, [{ kind: 'removed', serverId: '1', revision: 9 }]), 100)
    expect(discovery.serverAt(db, '10.0.0.9', 80)?.serverId).toBe('2')
  })

  test('start times decide between incarnations if both entries have one', () => {
    const db = discovery.createDb(discovery.defaults)
    const late = server('1', 3, { ip: '10.0.0.9', startedAtWallMs: 2_000 })
    const early = server('2', 8, { ip: '10.0.0.9', startedAtWallMs: 1_000 })
    applyRead(db, { revision: 8, servers: [late, early] }, 0)
    expect(discovery.serverAt(db, '10.0.0.9', 80)?.serverId).toBe('1')
  })

  test('an entry of a service that no configuration names is used once one does, and not before', () => {
    const db = discovery.createDb(discovery.defaults)
    const own = server('1', 3, { ip: '10.0.0.9', startedAtWallMs: 1_000 })
    const other = server('2', 8, { ip: '10.0.0.9', serviceName: 'monitoring', startedAtWallMs: 2_000 })
    discovery.setKnownServices(db, new Set(['depot']))
    applyRead(db, { revision: 7, servers: [own] }, 0)
    const written = contiguousChanges(8, [{ kind: 'written', server: other }])
    expect(describeEvents(discovery.applyChanges(db, written, 100))).toEqual(['unknown_written 2'])
    expect([...discovery.usedServers(db)]).toEqual([own])
    expect(describeEvents(discovery.setKnownServices(db, new Set(['depot', 'monitoring'])))).toEqual(['left 1', 'joined 2'])
    expect(discovery.serverAt(db, '10.0.0.9', 80)).toEqual(other)
  })

  test('an entry that is overwritten with an unknown service is used no more, and again once it is restored', () => {
    const db = discovery.createDb(discovery.defaults)
    discovery.setKnownServices(db, new Set(['depot']))
    applyRead(db, { revision: 5, servers: [server('1', 3)] }, 0)
    const overwritten = contiguousChanges(6, [{ kind: 'written', server: server('1', 6, { serviceName: 'monitoring' }) }])
    expect(describeEvents(discovery.applyChanges(db, overwritten, 100))).toEqual(['replaced 1'])
    expect(discovery.serversOf(db, 'depot')).toEqual([])
    const restored = contiguousChanges(7, [{ kind: 'written', server: server('1', 7) }])
    expect(describeEvents(discovery.applyChanges(db, restored, 200))).toEqual(['replaced 1'])
    expect(discovery.serversOf(db, 'depot')).toHaveLength(1)
  })

  // What is known of a server, such as its limit, would be dropped with each configuration.
  test('a configuration that names the same services causes no events after heartbeats', () => {
    const db = discovery.createDb(discovery.defaults)
    discovery.setKnownServices(db, new Set(['depot']))
    applyRead(db, { revision: 5, servers: [server('1', 3)] }, 0)
    discovery.applyChanges(db, contiguousChanges(6, [{ kind: 'written', server: server('1', 6, { sequence: 2 }) }]), 100)
    expect(discovery.setKnownServices(db, new Set(['depot', 'orders']))).toEqual([])
  })

  test('peers learn of entries of unknown services, since their configuration may name them', () => {
    const db = discovery.createDb(discovery.defaults)
    discovery.setKnownServices(db, new Set(['depot']))
    applyRead(db, { revision: 5, servers: [] }, 0)
    const other = server('2', 8, { serviceName: 'monitoring' })
    discovery.applyChanges(db, contiguousChanges(8, [{ kind: 'written', server: other }]), 100)
    expect(discovery.changesAfter(db, 1, 5)).toEqual([{ kind: 'written', server: other }])
    expect(discovery.currentSnapshot(db).servers).toEqual([other])
    discovery.applyChanges(db, contiguousChanges(9, [{ kind: 'removed', serverId: '2', revision: 9 }]), 200)
    expect(discovery.changesAfter(db, 1, 8)).toEqual([{ kind: 'removed', serverId: '2', revision: 9 }])
  })

  test('servers whose entries lapsed during an outage of the store are kept for a grace period, then removed', () => {
    const db = discovery.createDb(discovery.defaults)
    applyRead(db, { revision: 5, servers: [server('1', 3), server('2', 4)] }, 0)
    expect(describeEvents(applyRead(db, { revision: 9, servers: [server('1', 3)] }, 6_000))).toEqual([])
    expect(discovery.serversOf(db, 'depot')).toHaveLength(2)
    expect(describeEvents(discovery.expireGraces(db, 8_200))).toEqual([])
    expect(describeEvents(discovery.expireGraces(db, 8_400))).toEqual(['left 2'])
  })

  test('a lapsed entry that is written again no longer counts as lapsed, so a later removal takes effect at once', () => {
    const db = discovery.createDb(discovery.defaults)
    applyRead(db, { revision: 5, servers: [server('1', 3)] }, 0)
    applyRead(db, { revision: 9, servers: [] }, 6_000)
    discovery.applyChanges(db, contiguousChanges(10, [{ kind: 'written', server: server('1', 10) }]), 7_000)
    expect(describeEvents(discovery.expireGraces(db, 9_000))).toEqual([])
    expect(describeEvents(discovery.applyChanges(db, contiguousChanges(12, [{ kind: 'removed', serverId: '1', revision: 12 }]), 7_500))).toEqual(['left 1'])
  })

  test('a removal without an outage takes effect at once', () => {
    const db = discovery.createDb(discovery.defaults)
    applyRead(db, { revision: 5, servers: [server('1', 3)] }, 0)
    expect(describeEvents(discovery.applyChanges(db, contiguousChanges(6, [{ kind: 'removed', serverId: '1', revision: 6 }]), 600))).toEqual(['left 1'])
  })

  test('a server whose entry can no longer be decoded is kept as it was known', () => {
    const db = discovery.createDb(discovery.defaults)
    applyRead(db, { revision: 5, servers: [server('1', 3)] }, 0)
    expect(describeEvents(applyRead(db, { revision: 9, servers: [] }, 100, ['1']))).toEqual([])
  })
})

describe('read schedule', () => {
  const servers = Array.from({ length: 12 }, (_, at) => server(String(at + 1), 1, {
    dataCentre: ['tartu', 'tallinn', 'parnu'][at % 3]!
  }))
  const plan = servers.map(({ ip, dataCentre }) => ({ dataCentre, afterMs: readAfterMs({ ip, dataCentre }, servers) }))

  test('one node of the fleet reads in each period, so that reads do not grow with the fleet', () => {
    expect(plan.filter(entry => entry.afterMs === 0)).toHaveLength(1)
    expect(plan.filter(entry => entry.afterMs > 0 && entry.afterMs <= READ_PERIOD_MS)).toEqual([])
  })

  test('a watch answers before the other nodes take over, so that they do not read as well', () => {
    for (let ageMs = 0; ageMs <= 2_000; ageMs += 50) {
      expect(ageMs + watchWaitMs(ageMs, servers.length)).toBeLessThanOrEqual(Math.max(ageMs, READ_PERIOD_MS))
    }
  })

  test('a node that knows no other node reads less often, since a whole fleet may start at once', () => {
    expect(watchWaitMs(0, 0)).toBeGreaterThan(READ_PERIOD_MS)
  })

  test('each data centre has a node that takes over soon when updates stop', () => {
    for (const name of ['tartu', 'tallinn', 'parnu']) {
      const soonest = Math.min(...plan.filter(entry => entry.dataCentre === name).map(entry => entry.afterMs))
      expect(soonest).toBeLessThanOrEqual(READ_PERIOD_MS + 250)
    }
  })
})

describe('changes for nodes that lag behind', () => {
  test('are complete from the last full copy on', () => {
    const db = discovery.createDb(discovery.defaults)
    applyRead(db, { revision: 10, servers: [server('a', 4), server('b', 7)] }, 0)
    const written: ListedChange = { kind: 'written', server: server('c', 12) }
    const removed: ListedChange = { kind: 'removed', serverId: 'a', revision: 14 }
    discovery.applyChanges(db, { era: 1, afterRevision: 10, revision: 12, changes: [written] }, 1)
    discovery.applyChanges(db, { era: 1, afterRevision: 12, revision: 15, changes: [removed] }, 2)
    expect(discovery.changesAfter(db, 1, 9)).toBeNull()
    expect(discovery.changesAfter(db, 1, 10)).toHaveLength(2)
    expect(discovery.changesAfter(db, 1, 12)).toEqual([removed])
    expect(discovery.changesAfter(db, 1, 15)).toEqual([])
  })

  test('are dropped from the oldest on', () => {
    const db = discovery.createDb(discovery.defaults)
    applyRead(db, { revision: 1, servers: [] }, 0)
    for (let revision = 2; revision < 302; revision++) {
      const change = { kind: 'written' as const, server: server(`s${revision}`, revision) }
      discovery.applyChanges(db, { era: 1, afterRevision: revision - 1, revision, changes: [change] }, revision)
    }
    expect(discovery.changesAfter(db, 1, 100)).toBeNull()
    expect(discovery.changesAfter(db, 1, 101)).toHaveLength(200)
  })
})
