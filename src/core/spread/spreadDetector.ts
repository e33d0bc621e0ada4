import type { SpreadDb } from './spreadDb.js'

/** Whether other nodes forward notices to this node because it is in their server lists. */
export function isOwnMember (db: SpreadDb): boolean {
  return db.positionByIp.has(db.own.ip)
}

/** Whether a node is a member. */
export function isMember (db: SpreadDb, ip: string): boolean {
  return db.positionByIp.has(ip)
}
