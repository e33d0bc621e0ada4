import { createMemoryAccountDb, type MemoryAccountDb } from './memoryAccountDb.js'
import { findSharesAboveLimit, fits, hasRoomForRequest, heldBytes } from './memoryAccountDetector.js'
import { MemoryShare, type MemoryHolder, type MemoryLimits, type MemoryReservation } from './memoryAccountTypes.js'

const BYTES_PER_MB = 1_000_000
/** The program and its heap, and buffers that are free but not collected yet. */
const PROCESS_MB = 110
/** Least part of the memory that is left for what is held, if the process itself needs nearly all. */
const HELD_MIN_RATIO = 1 / 8
/** The limits may be exceeded by this much. */
const ENFORCED_STEP_BYTES = 64 * 1024
/** A quarter of the heap that deploy/system.toml gives to the program. */
const CONNECTIONS_MAX_BYTES = 40 * BYTES_PER_MB

/**
 * Limits of a process that may use so much memory, in MB of a million bytes. `processMb` is what the program itself and
 * its heap take of it, which depends on the flags of Node.js.
 *
 * @example
 * memoryLimitsOf(250).sideBytes // 70_000_000
 */
export function memoryLimitsOf (memoryMb: number, processMb = PROCESS_MB): MemoryLimits {
  const memoryBytes = memoryMb * BYTES_PER_MB
  const sideBytes = Math.max(memoryBytes - processMb * BYTES_PER_MB, memoryBytes * HELD_MIN_RATIO) / 2
  return { sideBytes, connectionsBytes: Math.min(CONNECTIONS_MAX_BYTES, sideBytes / 2) }
}

/** Adds a holder. Those that are added first are the first to give up something. */
function addHolder (db: MemoryAccountDb, holder: MemoryHolder): void {
  db.holders.push(holder)
  db.holdersByShare[holder.share].push(holder)
}

/** Lets holders give up something until all limits are kept. */
function enforce (db: MemoryAccountDb): void {
  for (let shares = findSharesAboveLimit(db); shares !== null; shares = findSharesAboveLimit(db)) {
    const aboveLimit = shares
    const holders = db.holders.filter(holder => aboveLimit.includes(holder.share) && holder.heldBytes > 0)
    if (!holders.some(holder => holder.shed())) return
  }
}

/** Records that more bytes are held. The limits are not enforced each time, since this sums up all holders. */
function recordHeld (db: MemoryAccountDb, bytes: number): void {
  db.unenforcedBytes += bytes
  if (db.unenforcedBytes < ENFORCED_STEP_BYTES) return
  db.unenforcedBytes = 0
  enforce(db)
}

/** Lets peers without progress lose what is held for them until the reservation fits. Returns whether it does. */
function makeRoom (db: MemoryAccountDb, reservation: MemoryReservation): boolean {
  while (!fits(db, reservation)) if (!db.holders.some(holder => holder.shedStalled())) return false
  return true
}

/** Grants a reservation at once if there is room, or as soon as there is. It must be cancelled if it is not needed. */
function reserve (db: MemoryAccountDb, reservation: MemoryReservation): void {
  if (makeRoom(db, reservation)) reservation.onGranted()
  else db.waiting.add(reservation)
}

function cancel (db: MemoryAccountDb, reservation: MemoryReservation): void {
  db.waiting.delete(reservation)
}

/** Whether bytes of this number can ever be held for one message. */
function canHold (db: MemoryAccountDb, bytes: number): boolean {
  return bytes <= db.limits.sideBytes
}

function grantWaiting (db: MemoryAccountDb): void {
  for (const reservation of db.waiting) {
    if (!fits(db, reservation)) continue
    db.waiting.delete(reservation)
    reservation.onGranted()
  }
}

/** Grants waiting reservations. To be called several times a second. */
function sweep (db: MemoryAccountDb): void {
  if (db.waiting.size === 0) return
  grantWaiting(db)
  const [first] = db.waiting
  if (first !== undefined && makeRoom(db, first)) grantWaiting(db)
}

/** Bytes held in one share. */
function shareBytes (db: MemoryAccountDb, share: MemoryShare): number {
  return heldBytes(db, [share])
}

/**
 * The memory-account module: one account of the bytes that a process holds for its peers. Each holder counts its own
 * bytes; the account asks holders to give up some when a limit is exceeded.
 */
export const memoryAccountDefinition = {
  createDb: createMemoryAccountDb,
  addHolder,
  enforce,
  recordHeld,
  reserve,
  cancel,
  canHold,
  hasRoomForRequest,
  sweep,
  shareBytes
}
