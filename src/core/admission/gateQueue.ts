import type { AdmissionDb, QueuedCall } from './admissionDb.js'

function hasHigherPriority (db: AdmissionDb, a: QueuedCall, b: QueuedCall): boolean {
  if (!db.settings.priorities) return a.sequence < b.sequence
  if (a.call.level !== b.call.level) return a.call.level < b.call.level
  return db.settings.newestFirst ? a.sequence > b.sequence : a.sequence < b.sequence
}

function insertionIndex (db: AdmissionDb, entry: QueuedCall): number {
  let low = 0
  let high = db.queue.length
  while (low < high) {
    const middle = (low + high) >>> 1
    const other = db.queue[middle]
    if (other !== undefined && hasHigherPriority(db, entry, other)) low = middle + 1
    else high = middle
  }
  return low
}

/**
 * Inserts a call in priority order. The queue is a sorted array: at its bounded
 * size, binary search and a short shift cost less than a heap with removal.
 *
 * @example
 * enqueue(db, { call, sequence: 1, estimate })
 */
export function enqueue (db: AdmissionDb, entry: QueuedCall): void {
  db.queue.splice(insertionIndex(db, entry), 0, entry)
  db.queuedById.set(entry.call.callId, entry)
}

/** Removes and returns the call with the highest priority. */
export function dequeueHighestPriority (db: AdmissionDb): QueuedCall | undefined {
  return removeFromIndex(db, db.queue.pop())
}

/** Removes and returns the call with the lowest priority. */
export function evictLowestPriority (db: AdmissionDb): QueuedCall | undefined {
  return removeFromIndex(db, db.queue.shift())
}

/** Removes and returns a call by its id. */
export function removeById (db: AdmissionDb, callId: string): QueuedCall | undefined {
  const entry = db.queuedById.get(callId)
  if (entry !== undefined) db.queue.splice(insertionIndex(db, entry), 1)
  return removeFromIndex(db, entry)
}

/** Removes and returns all matching calls, the highest priority first. */
export function removeWhere (db: AdmissionDb, matches: (entry: QueuedCall) => boolean): QueuedCall[] {
  if (!db.queue.some(matches)) return []
  const removed: QueuedCall[] = []
  for (let at = db.queue.length - 1; at >= 0; at--) {
    const entry = db.queue[at]
    if (entry === undefined || !matches(entry)) continue
    db.queue.splice(at, 1)
    db.queuedById.delete(entry.call.callId)
    removed.push(entry)
  }
  return removed
}

function removeFromIndex (db: AdmissionDb, entry: QueuedCall | undefined): QueuedCall | undefined {
  if (entry !== undefined) db.queuedById.delete(entry.call.callId)
  return entry
}
