import { ModuleId, Outcome, type Violation } from '../coreTypes.js'
import {
  listSeries, clearLedgerDb, createLedgerDb, storeRecentId, getOrCreateSeries, HISTOGRAM_STEPS_PER_MS,
  type LedgerDb, type Series
} from './ledgerDb.js'
import { isDuplicate } from './ledgerDetector.js'
import { recordLine } from './ledgerLine.js'
import type { CallRecord, LatencyReading, LedgerCounts, LedgerModule } from './ledgerTypes.js'

/** Longer times are counted as this value, which bounds the size of a histogram. */
const TOTAL_MAX_MS = 600_000

function countRecord (db: LedgerDb, record: CallRecord): void {
  const series = getOrCreateSeries(db, record)
  series.counts[record.outcome] += 1
  db.recordsCount += 1
  storeRecentId(db, record.role, record.callId)
  if (record.outcome !== Outcome.Done) return
  const totalMs = Math.min(TOTAL_MAX_MS, Math.max(0, record.totalMs))
  series.totalTimeHistogram.recordValue(Math.round(totalMs * HISTOGRAM_STEPS_PER_MS))
}

/**
 * Counts a call and returns its log line. A second record of the same call in the
 * same role is not counted, and its line has the event `call_record_repeated`.
 */
function recordCall (db: LedgerDb, callRecord: CallRecord): string {
  const isRepeated = isDuplicate(db, callRecord)
  db.sequence += 1
  if (isRepeated) db.duplicatesCount += 1
  else countRecord(db, callRecord)
  return recordLine(db, callRecord, isRepeated)
}

function countsOf ({ role, callerName, serviceName, importance, counts }: Series): LedgerCounts {
  return {
    role,
    callerName,
    serviceName,
    importance,
    doneCount: counts.done,
    notRunCount: counts.not_run,
    unknownCount: counts.unknown,
    cancelledCount: counts.cancelled
  }
}

function latencyReadingOf ({ role, callerName, serviceName, importance, totalTimeHistogram }: Series): LatencyReading {
  return {
    role,
    callerName,
    serviceName,
    importance,
    count: totalTimeHistogram.totalCount,
    p50Ms: totalTimeHistogram.getValueAtPercentile(50) / HISTOGRAM_STEPS_PER_MS,
    p99Ms: totalTimeHistogram.getValueAtPercentile(99) / HISTOGRAM_STEPS_PER_MS,
    maxMs: totalTimeHistogram.maxValue / HISTOGRAM_STEPS_PER_MS
  }
}

/** Invariants: one record for each call and role, and each record counted in exactly one series. */
function ledgerViolations (db: LedgerDb): Violation[] {
  const violations: Violation[] = []
  if (db.duplicatesCount > 0) {
    violations.push({ property: 'oneRecordPerCall', detail: `${db.duplicatesCount} records repeat an earlier record of the same call and role` })
  }
  let sumCount = 0
  for (const { counts } of listSeries(db)) sumCount += counts.done + counts.not_run + counts.unknown + counts.cancelled
  if (sumCount !== db.recordsCount) {
    violations.push({ property: 'oneRecordPerCall', detail: `${db.recordsCount} records, but ${sumCount} counted in the series` })
  }
  return violations
}

/** The ledger module: log lines, counters and latency histograms of the final records of calls. */
export const ledgerDefinition: LedgerModule<LedgerDb> = {
  id: ModuleId.Ledger,
  defaults: { nodeId: 'unknown', incarnation: 'unknown' },
  createDb: createLedgerDb,
  clear: clearLedgerDb,
  tick: () => {},
  violations: ledgerViolations,
  recordCall,
  counts: db => listSeries(db).map(countsOf),
  latencies: db => listSeries(db).filter(series => series.totalTimeHistogram.totalCount > 0).map(latencyReadingOf)
}
