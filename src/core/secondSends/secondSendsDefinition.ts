import type { Millis } from '../../clock/clock.js'
import { clearSecondSendsDb, createSecondSendsDb, sendsOf, type SecondSendsDb } from './secondSendsDb.js'
import { mayResend, SLICE_MS } from './secondSendsDetector.js'

function count (slices: Map<number, number>, windowMs: Millis, nowMs: Millis): void {
  const slice = Math.floor(nowMs / SLICE_MS)
  slices.set(slice, (slices.get(slice) ?? 0) + 1)
  const oldest = Math.floor((nowMs - windowMs) / SLICE_MS)
  for (const key of slices.keys()) {
    if (key >= oldest) break
    slices.delete(key)
  }
}

/** Notes a request for a service, whether it is sent or not. */
function request (db: SecondSendsDb, serviceName: string, nowMs: Millis): void {
  count(sendsOf(db, serviceName).requestsBySlice, db.settings.windowMs, nowMs)
}

/**
 * Takes one send beyond the first from the allowance.
 *
 * @example
 * take(db, 'invoicing', 0) // false when the bound would be passed
 */
function take (db: SecondSendsDb, serviceName: string, nowMs: Millis): boolean {
  if (!mayResend(db, serviceName, nowMs)) return false
  count(sendsOf(db, serviceName).extrasBySlice, db.settings.windowMs, nowMs)
  return true
}

/** Notes an arrival that repeats one, made by a request that was itself sent once more. */
function repeated (db: SecondSendsDb, serviceName: string, nowMs: Millis): void {
  count(sendsOf(db, serviceName).extrasBySlice, db.settings.windowMs, nowMs)
}

/** The second-sends family: keeps repeats within the fleet's bound without shared state. */
export const secondSendsDefinition = {
  createDb: createSecondSendsDb,
  clear: clearSecondSendsDb,
  request,
  take,
  repeated,
  setNodesCount: (db: SecondSendsDb, nodesCount: number) => { db.nodesCount = nodesCount }
}
