import { ModuleId, Outcome, type Violation } from '../coreTypes.js'
import { allSeries, clear, createDb, rememberId, seriesOf, STEPS_PER_MS, type LedgerDb, type Series } from './ledgerDb.js'
import { isDuplicate } from './ledgerDetector.js'
import { recordLine } from './ledgerLine.js'
import type { CallRecord, LatencyReading, LedgerCounts, LedgerModule } from './ledgerTypes.js'

/** Longer times count as this one, which bounds the size of a histogram. */
const TOTAL_MAX_MS = 600_000

function count (db: LedgerDb, record: CallRecord): void {
  const series = seriesOf(db, record)
  series.counts[record.outcome] += 1
  db.recordsCount += 1
  rememberId(db, record.role, record.callId)
  if (record.outcome !== Outcome.Done) return
  const totalMs = Math.min(TOTAL_MAX_MS, Math.max(0, record.totalMs))
  series.totalSteps.recordValue(Math.round(totalMs * STEPS_PER_MS))
}

/**
 * Counts a call and returns its line. A second record of the same call in the
 * same role is not counted, and its line has another event.
 */
function record (db: LedgerDb, found: CallRecord): string {
  const isRepeated = isDuplicate(db, found)
  db.sequence += 1
  if (isRepeated) db.duplicatesCount += 1
  else count(db, found)
  return recordLine(db, found, isRepeated)
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

function readingOf ({ role, callerName, serviceName, importance, totalSteps }: Series): LatencyReading {
  return {
    role,
    callerName,
    serviceName,
    importance,
    count: totalSteps.totalCount,
    p50Ms: totalSteps.getValueAtPercentile(50) / STEPS_PER_MS,
    p99Ms: totalSteps.getValueAtPercentile(99) / STEPS_PER_MS,
    maxMs: totalSteps.maxValue / STEPS_PER_MS
  }
}

/** Invariants: one record for each call and role, and each record counted in exactly one series. */
function violations (db: LedgerDb): Violation[] {
  const found: Violation[] = []
  if (db.duplicatesCount > 0) {
    found.push({ property: 'oneRecordPerCall', detail: `${db.duplicatesCount} calls were recorded again` })
  }
  let counted = 0
  for (const { counts } of allSeries(db)) counted += counts.done + counts.not_run + counts.unknown + counts.cancelled
  if (counted !== db.recordsCount) {
    found.push({ property: 'oneRecordPerCall', detail: `${db.recordsCount} records, ${counted} counted` })
  }
  return found
}

/** One final record per call, with counters and histograms. */
export const ledgerDefinition: LedgerModule<LedgerDb> = {
  id: ModuleId.Ledger,
  defaults: { nodeId: 'unknown', incarnation: 'unknown' },
  createDb,
  clear,
  tick: () => {},
  violations,
  record,
  counts: db => allSeries(db).map(countsOf),
  latencies: db => allSeries(db).filter(series => series.totalSteps.totalCount > 0).map(readingOf)
}
