import type { MemoryAccountDb } from './memoryAccountDb.js'
import { MemoryShare, type MemoryReservation } from './memoryAccountTypes.js'

/** Shares whose limit is common to all of them. */
const REQUEST_SHARES = [MemoryShare.Requests, MemoryShare.PeerCalls]
const ANSWER_SHARES = [MemoryShare.ServerAnswers, MemoryShare.CallerAnswers]
/**
 * Part of the answers that may be those of the own server. The rest is for answers of other nodes' servers: two nodes
 * that hold nothing but answers for each other would both wait.
 */
const SERVER_ANSWERS_MAX_RATIO = 1 / 2
/** Up to this part, the own server's answers are so few that one more may take the whole limit. */
const FEW_ANSWERS_RATIO = 1 / 32

/** Bytes held in some shares. */
export function heldBytes (db: MemoryAccountDb, shares: readonly MemoryShare[]): number {
  let bytes = 0
  for (const share of shares) for (const holder of db.holdersByShare[share]) bytes += holder.heldBytes
  return bytes
}

/** What connections take is taken from the answers, since their number changes slowly. */
function answersMaxBytes (db: MemoryAccountDb): number {
  return db.limits.sideBytes - heldBytes(db, [MemoryShare.Connections])
}

/** Whether a reservation for an answer can be granted now. */
export function fits (db: MemoryAccountDb, { share, bytes, isPreferred }: MemoryReservation): boolean {
  if (heldBytes(db, ANSWER_SHARES) + bytes > answersMaxBytes(db)) return false
  if (share !== MemoryShare.ServerAnswers || isPreferred?.() === true) return true
  const heldOfServer = heldBytes(db, [share])
  const { sideBytes } = db.limits
  return heldOfServer + bytes <= sideBytes * SERVER_ANSWERS_MAX_RATIO || heldOfServer <= sideBytes * FEW_ANSWERS_RATIO
}

/** Shares that hold more than their limit, of which one has to give up something, or null. */
export function findSharesAboveLimit (db: MemoryAccountDb): readonly MemoryShare[] | null {
  const { connectionsBytes, sideBytes } = db.limits
  if (heldBytes(db, [MemoryShare.Connections]) > connectionsBytes) return [MemoryShare.Connections]
  if (heldBytes(db, REQUEST_SHARES) > sideBytes) return REQUEST_SHARES
  return heldBytes(db, ANSWER_SHARES) > answersMaxBytes(db) ? ANSWER_SHARES : null
}

/** Whether a further call with a body of this size can be held. */
export function hasRoomForRequest (db: MemoryAccountDb, bytes: number): boolean {
  return heldBytes(db, REQUEST_SHARES) + bytes <= db.limits.sideBytes
}
