import type { Millis } from '../../clock/clock.js'
import type { LoadReport } from '../placement/placementTypes.js'
import { clearSlotsDb, createSlotsDb, type SlotsDb } from './slotsDb.js'
import { hasRoom, limitCount } from './slotsDetector.js'
import { SlotRefusal, type SlotsSettings, type Waiting } from './slotsTypes.js'

export const slotsDefaults: SlotsSettings = { usedSlotsRatio: 0.95, queueRatio: 1, rankDelayMs: 0.2 }

/** Time over which load is averaged: short beside the time that a chain of calls takes. */
const LOAD_TIME_MS: Millis = 150
/** Weight of one call in the mean slot time. */
const SLOT_TIME_WEIGHT_RATIO = 0.05
/** Time within which waiting calls are to be worked off. */
const QUEUE_DRAIN_MS: Millis = 300

/** Brings the averages up to this moment, before the counts change. */
function countUp (db: SlotsDb, nowMs: Millis): void {
  const elapsedMs = nowMs - db.countedAtMs
  if (elapsedMs <= 0) return
  const keep = Math.exp(-elapsedMs / LOAD_TIME_MS)
  db.occupancyRatio = db.occupancyRatio * keep + db.runningCount / limitCount(db) * (1 - keep)
  db.offeredPerMs *= keep
  db.countedAtMs = nowMs
}

/** A rank is worth some waiting time: without a bound the lower ranks would starve behind a short queue. */
function orderOf (db: SlotsDb, { call }: Waiting): Millis {
  return call.arrivedAtMs + call.rank * db.settings.rankDelayMs
}

function insert (db: SlotsDb, waiting: Waiting): void {
  const { queue } = db
  const order = orderOf(db, waiting)
  let at = queue.length
  while (at > 0 && orderOf(db, queue[at - 1]!) > order) at--
  queue.splice(at, 0, waiting)
}

/** Starts waiting calls while there is room; those whose time to start has passed are refused. */
function fill (db: SlotsDb, nowMs: Millis): void {
  while (db.queue.length > 0 && hasRoom(db)) {
    const next = db.queue.shift()!
    if (next.call.startByMs < nowMs) {
      next.refuse(SlotRefusal.WaitTooLong)
      continue
    }
    db.runningCount += 1
    next.start()
  }
}

/**
 * Asks for a slot. Exactly one of `start` and `refuse` is called, at once or later.
 * A full queue gives up its last call for a better one.
 */
function offer (db: SlotsDb, waiting: Waiting, nowMs: Millis): void {
  if (!db.acceptsWork) {
    waiting.refuse(SlotRefusal.NotAccepting)
    return
  }
  countUp(db, nowMs)
  db.offeredPerMs += 1 / LOAD_TIME_MS
  insert(db, waiting)
  fill(db, nowMs)
  const queueMaxCount = Math.max(1, Math.floor(limitCount(db) * db.settings.queueRatio))
  if (db.queue.length <= queueMaxCount) return
  const last = db.queue.pop()!
  last.refuse(last === waiting ? SlotRefusal.QueueFull : SlotRefusal.Displaced)
}

/** Gives a slot back that was held for `slotMs`. */
function release (db: SlotsDb, slotMs: Millis, nowMs: Millis): void {
  countUp(db, nowMs)
  db.slotMs = db.slotMs === 0 ? slotMs : db.slotMs + (slotMs - db.slotMs) * SLOT_TIME_WEIGHT_RATIO
  db.runningCount = Math.max(0, db.runningCount - 1)
  fill(db, nowMs)
}

/** Takes a waiting call out without calling it back; false if it does not wait. */
function withdraw (db: SlotsDb, waiting: Waiting): boolean {
  const at = db.queue.indexOf(waiting)
  if (at < 0) return false
  db.queue.splice(at, 1)
  return true
}

/** Refuses calls that have waited for too long. */
function expire (db: SlotsDb, nowMs: Millis): void {
  if (!db.queue.some(waiting => waiting.call.startByMs < nowMs)) return
  for (const waiting of db.queue.filter(entry => entry.call.startByMs < nowMs)) {
    withdraw(db, waiting)
    waiting.refuse(SlotRefusal.WaitTooLong)
  }
}

function setSlots (db: SlotsDb, slotsCount: number, nowMs: Millis): void {
  if (slotsCount === db.slotsCount) return
  db.slotsCount = slotsCount
  fill(db, nowMs)
}

/** Stops or resumes taking calls; those that wait are refused when it stops. */
function setAccepting (db: SlotsDb, acceptsWork: boolean): void {
  db.acceptsWork = acceptsWork
  if (acceptsWork) return
  for (const waiting of db.queue.splice(0)) waiting.refuse(SlotRefusal.NotAccepting)
}

/**
 * Load as a share of the room: the work offered, or the slots taken if that is
 * more. The length of the queue would be no measure for those who decide what
 * gets in: it adds up small excesses, and their reaction arrives much later.
 */
function utilization (db: SlotsDb, nowMs: Millis): number {
  countUp(db, nowMs)
  const queuedWork = db.queue.length / QUEUE_DRAIN_MS
  return Math.max(db.occupancyRatio, (db.offeredPerMs + queuedWork) * db.slotMs / limitCount(db))
}

function reading (db: SlotsDb): LoadReport {
  return {
    runningCount: db.runningCount,
    queuedCount: db.queue.length,
    limitCount: limitCount(db),
    acceptsWork: db.acceptsWork
  }
}

/** The slots family: which calls the own backend server runs, and in which order. */
export const slotsDefinition = {
  defaults: slotsDefaults,
  createDb: createSlotsDb,
  clear: clearSlotsDb,
  offer,
  release,
  withdraw,
  expire,
  setSlots,
  setAccepting,
  reading,
  utilization
}
