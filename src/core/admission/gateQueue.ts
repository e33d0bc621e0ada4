import type { AdmissionDb, QueuedCall } from './admissionDb.js'

function ranksAbove (db: AdmissionDb, a: QueuedCall, b: QueuedCall): boolean {
  if (!db.settings.priorities) return a.sequence < b.sequence
  if (a.call.level !== b.call.level) return a.call.level < b.call.level
  return db.settings.newestFirst ? a.sequence > b.sequence : a.sequence < b.sequence
}

function placeOf (db: AdmissionDb, entry: QueuedCall): number {
  let low = 0
  let high = db.queue.length
  while (low < high) {
    const middle = (low + high) >>> 1
    const other = db.queue[middle]
    if (other !== undefined && ranksAbove(db, entry, other)) low = middle + 1
    else high = middle
  }
  return low
}

/**
 * Puts a call in its place. The queue is a sorted array: at its bounded size a
 * binary search and a short move cost less than a heap with removal.
 *
 * @example
 * enqueue(db, { call, sequence: 1, times })
 */
export function enqueue (db: AdmissionDb, entry: QueuedCall): void {
  db.queue.splice(placeOf(db, entry), 0, entry)
  db.queuedIds.set(entry.call.callId, entry)
}

/** Takes the call that is served next. */
export function takeBest (db: AdmissionDb): QueuedCall | undefined {
  return forget(db, db.queue.pop())
}

/** Takes the call that is given up first. */
export function takeWorst (db: AdmissionDb): QueuedCall | undefined {
  return forget(db, db.queue.shift())
}

/** Takes one call by its id. */
export function takeById (db: AdmissionDb, callId: string): QueuedCall | undefined {
  const entry = db.queuedIds.get(callId)
  if (entry !== undefined) db.queue.splice(placeOf(db, entry), 1)
  return forget(db, entry)
}

/** Takes all calls for which `test` holds, best first. */
export function takeWhere (db: AdmissionDb, test: (entry: QueuedCall) => boolean): QueuedCall[] {
  if (!db.queue.some(test)) return []
  const taken: QueuedCall[] = []
  for (let at = db.queue.length - 1; at >= 0; at--) {
    const entry = db.queue[at]
    if (entry === undefined || !test(entry)) continue
    db.queue.splice(at, 1)
    db.queuedIds.delete(entry.call.callId)
    taken.push(entry)
  }
  return taken
}

function forget (db: AdmissionDb, entry: QueuedCall | undefined): QueuedCall | undefined {
  if (entry !== undefined) db.queuedIds.delete(entry.call.callId)
  return entry
}
