import type { LedgerDb } from './ledgerDb.js'
import type { CallRecord } from './ledgerTypes.js'

/** Whether the node has lately written a record of this call in this role. */
export function isDuplicate (db: LedgerDb, record: CallRecord): boolean {
  const ids = db.recentIds[record.role]
  return ids.current.has(record.callId) || ids.previous.has(record.callId)
}

const PLAIN_VALUE = /^[\w.:/@+-]+$/

/** Whether a value stands in a key=value line without quotes. */
export function isPlainValue (value: string): boolean {
  return PLAIN_VALUE.test(value)
}
