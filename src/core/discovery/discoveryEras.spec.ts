import type { Millis } from '../../clock/clock.js'
import { createListedServer } from '../../testing/listedServers.js'
import type { DiscoveryDb } from './discoveryDb.js'
import { discoveryDefinition as discovery } from './discoveryDefinition.js'
import { ListSource, ServerState, type ListedServer, type ListEvent } from './discoveryTypes.js'

function server (
  serverId: string, revision: number, sequence: number, change: Partial<ListedServer> = {}
): ListedServer {
  return createListedServer({ serverId, revision, sequence, startedAtWallMs: 1_000, ...change })
}

const DRAINING = { state: ServerState.Draining }

function read (
  db: DiscoveryDb, era: number, revision: number, servers: readonly ListedServer[], readAtMs: Millis,
  source = ListSource.Store
): string[] {
  return describeEvents(discovery.applySnapshot(db, { era, revision, servers }, source, readAtMs))
}

function describeEvents (events: readonly ListEvent[]): string[] {
  return events.map(event => `${event.kind} ${event.server.serverId}`)
}

function readyIds (db: DiscoveryDb): string[] {
  return discovery.serversOf(db, 'depot').filter(({ state }) => state === ServerState.Ready).map(({ serverId }) => serverId)
}

describe('a list after the store came back from a copy', () => {
  // Guards against changes that are skipped because their revisions were given out before.
  test('takes changes at revisions that were known before', () => {
    const db = discovery.createDb(discovery.defaults)
    read(db, 1, 30, [server('1', 10, 1), server('2', 30, 1)], 0)
    expect(discovery.hasNoRevisionGap(db, { era: 2, afterRevision: 20, revision: 22, changes: [] })).toBe(false)
    expect(read(db, 2, 20, [server('1', 10, 1), server('2', 12, 1)], 1_000)).toEqual([])
    const drained = { kind: 'written' as const, server: server('1', 21, 2, DRAINING) }
    const changes = { era: 2, afterRevision: 20, revision: 21, changes: [drained] }
    expect(describeEvents(discovery.applyChanges(db, changes, 1_500))).toEqual(['draining 1'])
  })

  test('keeps what is known from a later report than that in the copy, until the server writes again', () => {
    const db = discovery.createDb(discovery.defaults)
    read(db, 1, 30, [server('1', 30, 5, DRAINING), server('2', 12, 3)], 0)
    expect(read(db, 2, 20, [server('1', 10, 4), server('2', 12, 3)], 1_000)).toEqual([])
    expect(readyIds(db)).toEqual(['2'])
    const again = { kind: 'written' as const, server: server('1', 21, 6) }
    discovery.applyChanges(db, { era: 2, afterRevision: 20, revision: 21, changes: [again] }, 1_500)
    expect(readyIds(db).sort()).toEqual(['1', '2'])
  })

  test('keeps a server that is missing in the copy for a while, and removes it if it does not write again', () => {
    const db = discovery.createDb(discovery.defaults)
    read(db, 1, 30, [server('1', 10, 1), server('2', 29, 1)], 0)
    expect(read(db, 2, 20, [server('1', 10, 1)], 1_000)).toEqual([])
    expect(readyIds(db)).toEqual(['1', '2'])
    expect(describeEvents(discovery.expireGraces(db, 3_400))).toEqual(['left 2'])
  })

  test('holds a server back that had left and is in the copy, and uses it if it stays listed', () => {
    const db = discovery.createDb(discovery.defaults)
    read(db, 1, 29, [server('1', 10, 1), server('2', 12, 1), server('3', 13, 1)], 0)
    const removals = ['2', '3'].map(serverId => ({ kind: 'removed' as const, serverId, revision: 30 }))
    discovery.applyChanges(db, { era: 1, afterRevision: 29, revision: 30, changes: removals }, 100)
    expect(read(db, 2, 20, [server('1', 10, 1), server('2', 12, 1), server('3', 13, 1)], 1_000)).toEqual([])
    const gone = { kind: 'removed' as const, serverId: '3', revision: 21 }
    for (let readAtMs = 1_500; readAtMs <= 6_500; readAtMs += 500) {
      const changes = { era: 2, afterRevision: 20, revision: 21, changes: readAtMs === 5_000 ? [gone] : [] }
      expect(discovery.applyChanges(db, changes, readAtMs)).toEqual([])
    }
    expect(describeEvents(discovery.expireGraces(db, 7_000))).toEqual([])
    discovery.applyChanges(db, { era: 2, afterRevision: 21, revision: 21, changes: [] }, 7_000)
    expect(describeEvents(discovery.expireGraces(db, 7_000))).toEqual(['joined 2'])
  })

  test('uses a server at once that had left and has started again', () => {
    const db = discovery.createDb(discovery.defaults)
    read(db, 1, 30, [server('1', 10, 1), server('2', 12, 1)], 0)
    discovery.applyChanges(db, { era: 1, afterRevision: 30, revision: 31, changes: [{ kind: 'removed', serverId: '2', revision: 31 }] }, 100)
    expect(read(db, 2, 20, [server('1', 10, 1), server('2', 18, 1, { startedAtWallMs: 2_000 })], 1_000)).toEqual(['joined 2'])
  })
})

describe('lists of peers in another era', () => {
  test('of an earlier era have no effect and do not count as recent', () => {
    const db = discovery.createDb(discovery.defaults)
    read(db, 2, 20, [server('1', 10, 1)], 1_000)
    expect(read(db, 1, 30, [server('1', 10, 1), server('2', 30, 1)], 2_000, ListSource.Peer)).toEqual([])
    const changes = { era: 1, afterRevision: 20, revision: 30, changes: [] }
    expect(discovery.isOutdated(db, changes, 2_000)).toBe(true)
    discovery.applyChanges(db, changes, 2_000)
    expect(db.newestReadAtMs).toBe(1_000)
  })

  test('of a later era replace the known one', () => {
    const db = discovery.createDb(discovery.defaults)
    read(db, 1, 30, [server('1', 10, 1)], 0)
    expect(read(db, 2, 20, [server('1', 10, 1), server('2', 19, 1)], 1_000, ListSource.Peer)).toEqual(['joined 2'])
    expect([db.era, db.revision]).toEqual([2, 20])
  })

  // Guards against a list that never changes again because the store counts its eras from the start.
  test('do not undo a lower era that this node has read from the store itself', () => {
    const db = discovery.createDb(discovery.defaults)
    read(db, 7, 30, [server('1', 10, 1)], 0)
    expect(read(db, 1, 5, [server('1', 2, 1), server('2', 5, 1)], 1_000)).toEqual(['joined 2'])
    expect(read(db, 7, 31, [server('1', 10, 1)], 500, ListSource.Peer)).toEqual([])
    expect([db.era, db.revision]).toEqual([1, 5])
  })
})
