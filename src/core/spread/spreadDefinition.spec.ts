import { pickRandomMember, seededRandom } from '../../standins/randomNumbers.js'
import type { SpreadDb } from './spreadDb.js'
import { spreadDefinition as spread } from './spreadDefinition.js'
import type { SpreadMember, SpreadTarget } from './spreadTypes.js'

/** A fleet in which copies arrive at once, except at nodes that are down. */
class Fleet {
  readonly members: SpreadMember[]
  readonly nodes = new Map<string, SpreadDb>()
  readonly downIps = new Set<string>()
  /** Whether nodes know which others are down. */
  isDownKnown = true
  readonly copiesByIp = new Map<string, number>()
  readonly sendsByIp = new Map<string, number>()

  constructor (dataCentresCount: number, nodesPerDataCentre: number) {
    this.members = Array.from({ length: dataCentresCount * nodesPerDataCentre }, (_, at) => ({
      ip: `10.${Math.floor(at / nodesPerDataCentre)}.${Math.floor(at / 200) % 100}.${at % 200}`,
      dataCentre: `dc-${Math.floor(at / nodesPerDataCentre)}`
    }))
    const shared = spread.createDb(this.members[0]!)
    spread.setMembers(shared, this.members)
    for (const member of this.members) {
      const db = spread.createDb(member)
      db.membersByDataCentre = shared.membersByDataCentre
      db.positionByIp = shared.positionByIp
      this.nodes.set(member.ip, db)
    }
  }

  publish (origin: SpreadMember): void {
    const db = this.nodes.get(origin.ip)!
    const id = spread.nextId(db, origin.ip)
    const pending = this.#send(origin.ip, spread.publishTargets(db, ip => this.#isUsable(ip)))
    for (let next = pending.shift(); next !== undefined; next = pending.shift()) {
      const { ip, tree } = next
      if (this.downIps.has(ip)) continue
      const node = this.nodes.get(ip)!
      const receipt = spread.recordReceipt(node, id, tree)
      this.copiesByIp.set(ip, (this.copiesByIp.get(ip) ?? 0) + 1)
      if (!receipt.isFirstOnTree) continue
      pending.push(...this.#send(ip, spread.forwardTargets(node, tree, to => this.#isUsable(to))))
    }
  }

  #send (fromIp: string, targets: readonly SpreadTarget[]): SpreadTarget[] {
    this.sendsByIp.set(fromIp, (this.sendsByIp.get(fromIp) ?? 0) + targets.length)
    return [...targets]
  }

  #isUsable (ip: string): boolean {
    return !this.isDownKnown || !this.downIps.has(ip)
  }

  missedBy (origin: SpreadMember): SpreadMember[] {
    return this.members.filter(({ ip }) => ip !== origin.ip && !this.downIps.has(ip) && !this.copiesByIp.has(ip))
  }
}

describe('spread of notices', () => {
  test.each([[1, 1], [3, 1], [3, 4], [5, 39], [31, 190]])('in %i data centres of %i nodes each node gets two copies', (dataCentres, size) => {
    const fleet = new Fleet(dataCentres, size)
    const origin = fleet.members[fleet.members.length >> 1]!
    fleet.publish(origin)
    expect(fleet.missedBy(origin)).toEqual([])
    const copies = fleet.members.filter(member => member !== origin).map(({ ip }) => fleet.copiesByIp.get(ip))
    expect(copies.every(count => count === 2)).toBe(true)
    for (const { ip } of fleet.members) {
      expect(fleet.sendsByIp.get(ip) ?? 0).toBeLessThanOrEqual(ip === origin.ip ? 2 * dataCentres + 12 : 12)
      expect(spread.permanentNeighbours(fleet.nodes.get(ip)!).size).toBeLessThanOrEqual(12)
    }
  })

  test.each([1, 2, 3, 4, 5, 6])('nodes that are known to be down cut off no other one (seed %i)', seed => {
    const random = seededRandom(seed)
    const fleet = new Fleet(5, 39)
    for (const { ip } of fleet.members) if (random() < 0.55) fleet.downIps.add(ip)
    const origin = pickRandomMember(random, fleet.members.filter(({ ip }) => !fleet.downIps.has(ip)))
    fleet.publish(origin)
    expect(fleet.missedBy(origin)).toEqual([])
  })

  test('no single node that is not known to be down cuts off another one', () => {
    for (const down of new Fleet(2, 39).members) {
      const fleet = new Fleet(2, 39)
      fleet.isDownKnown = false
      fleet.downIps.add(down.ip)
      const origin = fleet.members.find(({ ip }) => ip !== down.ip)!
      fleet.publish(origin)
      expect(fleet.missedBy(origin)).toEqual([])
    }
  })

  test('nodes with different lists do not forward a notice endlessly', () => {
    const random = seededRandom(9)
    const fleet = new Fleet(3, 20)
    for (const db of fleet.nodes.values()) spread.setMembers(db, fleet.members.filter(() => random() < 0.7))
    fleet.publish(fleet.members[0]!)
    expect(Math.max(...fleet.copiesByIp.values())).toBeLessThanOrEqual(2 * fleet.members.length)
  })

  test('a node that is in no list connects to the roots of its data centre', () => {
    const fleet = new Fleet(3, 20)
    const unlisted = spread.createDb({ ip: '10.9.9.9', dataCentre: 'dc-1' })
    spread.setMembers(unlisted, fleet.members)
    const neighbours = [...spread.permanentNeighbours(unlisted)]
    expect(neighbours).toHaveLength(2)
    expect(neighbours.every(ip => ip.startsWith('10.1.'))).toBe(true)
    expect(spread.forwardTargets(unlisted, 0, () => true)).toEqual([])
  })
})
