import type { Millis } from '../../clock/clock.js'
import type { LedgerDb } from './ledgerDb.js'
import { canBeUnquoted } from './ledgerDetector.js'
import type { CallRecord } from './ledgerTypes.js'

/** Limit for names and ids, since they come from request headers, which may be 16 KB long. */
const VALUE_MAX_LENGTH = 200
const MICROSECONDS_PER_MS = 1_000

function formatText (value: string): string {
  if (canBeUnquoted(value) && value.length <= VALUE_MAX_LENGTH) return value
  return JSON.stringify(value.slice(0, VALUE_MAX_LENGTH))
}

function formatMillis (value: Millis): number {
  return Math.round(value * MICROSECONDS_PER_MS) / MICROSECONDS_PER_MS
}

/**
 * Formats the log line of a record as key=value pairs. The text is built here because a logging
 * library takes some 40 microseconds a line, which is too slow for the call path.
 *
 * @example
 * recordLine(db, record, false) // 'event=call_record seq=1 node=vm-1 incarnation=b2 role=executor ...'
 */
export function recordLine (db: LedgerDb, record: CallRecord, isRepeated: boolean): string {
  return `event=${isRepeated ? 'call_record_repeated' : 'call_record'}` +
    ` seq=${db.sequence} node=${formatText(db.settings.nodeId)} incarnation=${formatText(db.settings.incarnation)}` +
    ` role=${record.role} caller=${formatText(record.callerName)} service=${formatText(record.serviceName)}` +
    ` route=${formatText(record.routeName)} importance=${record.importance} within_promise=${record.withinPromise}` +
    ` document_version=${record.documentVersion} outcome=${record.outcome} reason=${record.reason}` +
    ` limited_by=${formatText(record.limitedBy)} root=${formatText(record.rootId)} call=${formatText(record.callId)}` +
    ` parent=${formatText(record.parentId)} attempt=${record.attempt} retries_count=${record.retriesCount}` +
    ` arrived_at_wall_ms=${formatMillis(record.arrivedAtWallMs)} queued_ms=${formatMillis(record.queuedMs)}` +
    ` served_ms=${formatMillis(record.servedMs)} total_ms=${formatMillis(record.totalMs)}`
}
