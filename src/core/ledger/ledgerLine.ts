import type { Millis } from '../../clock/clock.js'
import type { LedgerDb } from './ledgerDb.js'
import { isPlainValue } from './ledgerDetector.js'
import type { CallRecord } from './ledgerTypes.js'

/** Names and ids come from request headers, which may be 16 KB long. */
const VALUE_MAX_LENGTH = 200
const STEPS_PER_MS = 1_000

function text (value: string): string {
  if (isPlainValue(value) && value.length <= VALUE_MAX_LENGTH) return value
  return JSON.stringify(value.slice(0, VALUE_MAX_LENGTH))
}

function millis (value: Millis): number {
  return Math.round(value * STEPS_PER_MS) / STEPS_PER_MS
}

/**
 * Log line of a record, built as text: a logging library takes some 40
 * microseconds a line, which the call path cannot spare.
 *
 * @example
 * recordLine(db, record, false) // 'event=call_record seq=1 node=vm-1 incarnation=b2 role=executor ...'
 */
export function recordLine (db: LedgerDb, record: CallRecord, isRepeated: boolean): string {
  return `event=${isRepeated ? 'call_record_repeated' : 'call_record'}` +
    ` seq=${db.sequence} node=${text(db.settings.nodeId)} incarnation=${text(db.settings.incarnation)}` +
    ` role=${record.role} caller=${text(record.callerName)} service=${text(record.serviceName)}` +
    ` route=${text(record.routeName)} importance=${record.importance} within_promise=${record.withinPromise}` +
    ` document_version=${record.documentVersion} outcome=${record.outcome} reason=${record.reason}` +
    ` limited_by=${text(record.limitedBy)} root=${text(record.rootId)} call=${text(record.callId)}` +
    ` parent=${text(record.parentId)} attempt=${record.attempt} retries_count=${record.retriesCount}` +
    ` arrived_at_wall_ms=${millis(record.arrivedAtWallMs)} queued_ms=${millis(record.queuedMs)}` +
    ` served_ms=${millis(record.servedMs)} total_ms=${millis(record.totalMs)}`
}
