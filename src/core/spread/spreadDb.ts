import { hash32 } from '../hash.js'
import type { SpreadMember } from './spreadTypes.js'

export interface SpreadDb {
  readonly own: SpreadMember
  /** Addresses of the nodes of each data centre, in the order in which the first tree is built from them. */
  membersByDataCentre: ReadonlyMap<string, readonly string[]>
  /** Position of each node in the order of its data centre. */
  positionByIp: ReadonlyMap<string, number>
  /** Copies that were received lately: notices, and notices with their tree. */
  readonly seen: Set<string>
  lastNumber: number
}

/** Number of remembered copies. A copy arrives within seconds of the first one, or not at all. */
const SEEN_MAX_COUNT = 4_000

export function createSpreadDb (own: SpreadMember): SpreadDb {
  return { own, membersByDataCentre: new Map(), positionByIp: new Map(), seen: new Set(), lastNumber: 0 }
}

/** Resets the state to that of a node that knows no other one. */
export function clearSpreadDb (db: SpreadDb): void {
  db.membersByDataCentre = new Map()
  db.positionByIp = new Map()
  db.seen.clear()
}

/** Replaces the members. Nodes with the same members build the same trees. */
export function setMembers (db: SpreadDb, members: Iterable<SpreadMember>): void {
  const hashByIp = new Map<string, number>()
  const ipsByDataCentre = new Map<string, string[]>()
  for (const { ip, dataCentre } of members) {
    if (hashByIp.has(ip)) continue
    hashByIp.set(ip, hash32(ip))
    const ips = ipsByDataCentre.get(dataCentre)
    if (ips === undefined) ipsByDataCentre.set(dataCentre, [ip])
    else ips.push(ip)
  }
  const positionByIp = new Map<string, number>()
  for (const ips of ipsByDataCentre.values()) {
    ips.sort((a, b) => hashByIp.get(a)! - hashByIp.get(b)! || (a < b ? -1 : 1))
    for (const [position, ip] of ips.entries()) positionByIp.set(ip, position)
  }
  db.membersByDataCentre = ipsByDataCentre
  db.positionByIp = positionByIp
}

/** Remembers a copy; returns whether it was unknown. */
export function recordSeen (db: SpreadDb, key: string): boolean {
  if (db.seen.has(key)) return false
  db.seen.add(key)
  if (db.seen.size > SEEN_MAX_COUNT) db.seen.delete(db.seen.values().next().value!)
  return true
}
