import { ServerState, type ListedServer } from '../discovery/discoveryTypes.js'
import type { PlacementDb } from './placementDb.js'
import { placementDefinition as family } from './placementDefinition.js'
import { SendOutcome } from './placementTypes.js'

function server (serverId: string, dataCentre = 'tartu'): ListedServer {
  return {
    serverId,
    serviceName: 'depot',
    dataCentre,
    softwareVersion: 'v1',
    slotsCount: 10,
    ip: `10.0.0.${serverId}`,
    port: 80,
    state: ServerState.Ready,
    warmingMs: 0,
    startedAtWallMs: 0,
    revision: 1
  }
}

function open (): PlacementDb {
  return family.createDb({ ownDataCentre: 'tartu', ownIp: '10.0.0.99', remotePenaltyRatio: 0.4 })
}

function load (db: PlacementDb, target: ListedServer, runningCount: number, nowMs = 0): void {
  family.report(db, target, { runningCount, queuedCount: 0, limitCount: 10, acceptsWork: true }, nowMs)
}

const noRandom = (): number => 0

describe('placement family', () => {
  const near = server('1')
  const far = server('2', 'parnu')

  test('stays in the own data centre while it has room there', () => {
    const db = open()
    load(db, near, 3)
    load(db, far, 0)
    expect(family.choose(db, { servers: [near, far], triedServerIds: [] }, 0, noRandom)).toBe(near)
  })

  test('goes elsewhere when the own data centre is much fuller', () => {
    const db = open()
    load(db, near, 9)
    load(db, far, 2)
    expect(family.choose(db, { servers: [near, far], triedServerIds: [] }, 0, noRandom)).toBe(far)
  })

  test('counts its own sends since the last report, so a burst does not all go to one server', () => {
    const db = open()
    const twin = server('3')
    load(db, near, 0)
    load(db, twin, 0)
    const chosen = Array.from({ length: 10 }, () => {
      const target = family.choose(db, { servers: [near, twin], triedServerIds: [] }, 0, noRandom)!
      family.sent(db, target)
      return target.serverId
    })
    expect(chosen.filter(id => id === '1')).toHaveLength(5)
  })

  test('a draining or leaving server and one that was tried get nothing', () => {
    const db = open()
    const draining = { ...server('4'), state: ServerState.Draining }
    family.setLeaving(db, near, true)
    expect(family.choose(db, { servers: [draining, near, far], triedServerIds: ['2'] }, 0, noRandom)).toBeUndefined()
  })

  test('a silent server is used only when nothing else is left', () => {
    const db = open()
    family.setSilent(db, near, true)
    expect(family.choose(db, { servers: [near, far], triedServerIds: [] }, 0, noRandom)).toBe(far)
    expect(family.choose(db, { servers: [near], triedServerIds: [] }, 0, noRandom)).toBe(near)
  })

  test('servers that lose answers are left alone for a growing time and come back with one answer', () => {
    const db = open()
    for (let at = 0; at < 3; at++) family.ended(db, near, SendOutcome.Lost, 0)
    expect(family.choose(db, { servers: [near, far], triedServerIds: [] }, 100, noRandom)).toBe(far)
    expect(family.choose(db, { servers: [near, far], triedServerIds: [] }, 300, noRandom)).toBe(near)
    family.ended(db, near, SendOutcome.Lost, 300)
    expect(family.choose(db, { servers: [near, far], triedServerIds: [] }, 600, noRandom)).toBe(far)
    family.ended(db, near, SendOutcome.Served, 700)
    expect(family.choose(db, { servers: [near, far], triedServerIds: [] }, 700, noRandom)).toBe(near)
  })

  test('one of two servers that refuses half of its calls with free slots gets fewer', () => {
    const db = open()
    const twin = server('3')
    for (let at = 0; at < 40; at++) family.ended(db, near, at % 2 === 0 ? SendOutcome.Shed : SendOutcome.Served, 0)
    load(db, near, 3)
    load(db, twin, 5)
    expect(family.choose(db, { servers: [near, twin], triedServerIds: [] }, 0, noRandom)).toBe(twin)
  })

  test('a warming server gets about half of its share', () => {
    const db = open()
    const twin = server('3')
    family.warming(db, { ...near, warmingMs: 3_000 }, 0)
    load(db, near, 3)
    load(db, twin, 6)
    expect(family.choose(db, { servers: [near, twin], triedServerIds: [] }, 0, noRandom)).toBe(twin)
    load(db, near, 3, 3_100)
    load(db, twin, 6, 3_100)
    expect(family.choose(db, { servers: [near, twin], triedServerIds: [] }, 3_100, noRandom)).toBe(near)
  })
})
