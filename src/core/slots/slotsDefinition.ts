import type { Millis } from '../../clock/clock.js'
import type { LoadReport } from '../placement/placementTypes.js'
import { rateLimitDefinition } from '../rateLimit/rateLimitDefinition.js'
import { clearSlotsDb, createSlotsDb, type SlotsDb } from './slotsDb.js'
import { hasFreeSlot, limitCount, rateLimitedCount } from './slotsDetector.js'
import { SlotRefusal, type SlotsSettings, type WaitingCall } from './slotsTypes.js'

export const slotsDefaults: SlotsSettings = { usedSlotsRatio: 0.95, queueRatio: 1, rankDelayMs: 0.2 }

/** Time constant of the load averages; short compared with the duration of a call chain. */
const LOAD_TIME_CONSTANT_MS: Millis = 150
/** Weight of one call in the average slot time. */
const SLOT_TIME_WEIGHT_RATIO = 0.05
/** Time within which the queued calls should be served; converts the queue length into a rate. */
const QUEUE_DRAIN_MS: Millis = 300

/** Updates the time-weighted averages; must be called before the counts change. */
function updateAverages (db: SlotsDb, nowMs: Millis): void {
  const elapsedMs = nowMs - db.averagedAtMs
  if (elapsedMs <= 0) return
  const decay = Math.exp(-elapsedMs / LOAD_TIME_CONSTANT_MS)
  db.occupancyRatio = db.occupancyRatio * decay + db.runningCount / limitCount(db) * (1 - decay)
  db.offeredPerMs *= decay
  db.averagedAtMs = nowMs
}

/**
 * Sort key of the queue. Each rank adds a fixed delay to the arrival time; with
 * strict priorities, calls of high rank numbers would starve even behind a short queue.
 */
function startOrderMs (db: SlotsDb, { call }: WaitingCall): Millis {
  return call.arrivedAtMs + call.rank * db.settings.rankDelayMs
}

function enqueue (db: SlotsDb, waiting: WaitingCall): void {
  const { queue } = db
  const order = startOrderMs(db, waiting)
  let at = queue.length
  while (at > 0 && startOrderMs(db, queue[at - 1]!) > order) at--
  queue.splice(at, 0, waiting)
}

/**
 * Starts queued calls in free slots, as far as the rate limit allows; calls whose `startByMs` has passed are
 * refused. To be called several times a second, since the rate limit allows further calls as time passes.
 */
function startWaitingCalls (db: SlotsDb, nowMs: Millis): void {
  while (db.queue.length > 0 && hasFreeSlot(db) && rateLimitDefinition.mayStart(db.rateLimit, nowMs)) {
    const next = db.queue.shift()!
    if (next.call.startByMs < nowMs) {
      next.refuse(SlotRefusal.WaitTooLong)
      continue
    }
    rateLimitDefinition.takeToken(db.rateLimit, nowMs)
    db.runningCount += 1
    next.start()
  }
}

/**
 * Requests a slot. Exactly one of `start` and `refuse` is called, at once or later,
 * unless the call is removed first. A full queue evicts its last call.
 */
function requestSlot (db: SlotsDb, waiting: WaitingCall, nowMs: Millis): void {
  if (!db.acceptsWork) {
    waiting.refuse(SlotRefusal.NotAccepting)
    return
  }
  updateAverages(db, nowMs)
  db.offeredPerMs += 1 / LOAD_TIME_CONSTANT_MS
  enqueue(db, waiting)
  startWaitingCalls(db, nowMs)
  const queueMaxCount = Math.min(
    Math.max(1, Math.floor(limitCount(db) * db.settings.queueRatio)),
    rateLimitDefinition.allowedCount(db.rateLimit, QUEUE_DRAIN_MS)
  )
  if (db.queue.length <= queueMaxCount) return
  const last = db.queue.pop()!
  last.refuse(last === waiting ? SlotRefusal.QueueFull : SlotRefusal.Displaced)
}

/** Frees a slot that was held for `slotMs` and starts queued calls. */
function releaseSlot (db: SlotsDb, slotMs: Millis, nowMs: Millis): void {
  updateAverages(db, nowMs)
  db.meanSlotMs = db.meanSlotMs === 0 ? slotMs : db.meanSlotMs + (slotMs - db.meanSlotMs) * SLOT_TIME_WEIGHT_RATIO
  db.runningCount = Math.max(0, db.runningCount - 1)
  startWaitingCalls(db, nowMs)
}

/** Removes a queued call without calling `start` or `refuse`; false if it is not queued. */
function removeWaitingCall (db: SlotsDb, waiting: WaitingCall): boolean {
  const at = db.queue.indexOf(waiting)
  if (at < 0) return false
  db.queue.splice(at, 1)
  return true
}

/** Refuses queued calls whose `startByMs` has passed. */
function refuseExpiredCalls (db: SlotsDb, nowMs: Millis): void {
  if (!db.queue.some(waiting => waiting.call.startByMs < nowMs)) return
  for (const waiting of db.queue.filter(entry => entry.call.startByMs < nowMs)) {
    removeWaitingCall(db, waiting)
    waiting.refuse(SlotRefusal.WaitTooLong)
  }
}

function setSlotsCount (db: SlotsDb, slotsCount: number, nowMs: Millis): void {
  if (slotsCount === db.slotsCount) return
  db.slotsCount = slotsCount
  startWaitingCalls(db, nowMs)
}

/** Stops or resumes accepting calls; queued calls are refused when it stops. */
function setAcceptsWork (db: SlotsDb, acceptsWork: boolean): void {
  db.acceptsWork = acceptsWork
  if (acceptsWork) return
  for (const waiting of db.queue.splice(0)) waiting.refuse(SlotRefusal.NotAccepting)
}

/**
 * Utilization: offered and queued work relative to the concurrency limit, or the average
 * occupancy if that is higher. The queue length alone is no suitable input for
 * admission control: it accumulates small excesses of load, and the reaction to it
 * takes effect much later.
 */
function getUtilizationRatio (db: SlotsDb, nowMs: Millis): number {
  updateAverages(db, nowMs)
  const queuedWork = db.queue.length / QUEUE_DRAIN_MS
  return Math.max(db.occupancyRatio, (db.offeredPerMs + queuedWork) * db.meanSlotMs / limitCount(db))
}

/** Whether calls wait or are refused because of the rate limit, although a slot is free. */
function isRateLimited (db: SlotsDb, nowMs: Millis): boolean {
  return hasFreeSlot(db) && !rateLimitDefinition.mayStart(db.rateLimit, nowMs)
}

function getLoadReport (db: SlotsDb): LoadReport {
  return {
    runningCount: db.runningCount,
    queuedCount: db.queue.length,
    limitCount: rateLimitedCount(db),
    acceptsWork: db.acceptsWork,
    paceRatio: null
  }
}

/** The slots module: concurrency limit and priority queue of the node's own backend server. */
export const slotsDefinition = {
  defaults: slotsDefaults,
  createDb: createSlotsDb,
  clear: clearSlotsDb,
  requestSlot,
  releaseSlot,
  removeWaitingCall,
  refuseExpiredCalls,
  setSlotsCount,
  setAcceptsWork,
  startWaitingCalls,
  isRateLimited,
  getLoadReport,
  getUtilizationRatio
}
