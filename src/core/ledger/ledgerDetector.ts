import type { LedgerDb } from './ledgerDb.js'
import type { CallRecord } from './ledgerTypes.js'

/** Whether the node has recently written a record of this call in this role. */
export function isDuplicate (db: LedgerDb, record: CallRecord): boolean {
  const recentIds = db.recentIds[record.role]
  return recentIds.current.has(record.callId) || recentIds.previous.has(record.callId)
}

const UNQUOTED_VALUE = /^[\w.:/@+-]+$/

/** Whether a value can be written without quotes in a key=value line. */
export function canBeUnquoted (value: string): boolean {
  return UNQUOTED_VALUE.test(value)
}
