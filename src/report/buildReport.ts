import { DEFAULT_CALLER_NAME } from '../core/documents/documentsSchema.js'
import type { ServiceDocument } from '../core/documents/documentsTypes.js'
import { importanceRank, type Tenant } from '../core/coreTypes.js'
import type { FileReadResult } from './readLines.js'
import type { ReportTally, Series } from './reportTally.js'
import type {
  CallerTimes, Completeness, MinuteCounts, RefusalRow, Report, SeenRow, SendsRow, ServedRow, UsageRow
} from './reportTypes.js'
import { readPercentiles } from './timeHistogram.js'

const MINUTE_MS = 60_000

function compareByText<T> (textOf: (row: T) => string): (a: T, b: T) => number {
  return (a, b) => textOf(a) < textOf(b) ? -1 : 1
}

function seriesKey ({ callerName, serviceName, importance }: Series): string {
  return `${callerName}\n${serviceName}\n${importanceRank(importance)}`
}

function groupBy<T> (rows: Iterable<T>, keyOf: (row: T) => string): Map<string, T[]> {
  const groups = new Map<string, T[]>()
  for (const row of rows) {
    const group = groups.get(keyOf(row))
    if (group === undefined) groups.set(keyOf(row), [row])
    else group.push(row)
  }
  return groups
}

function promisedCallsPerSOf (document: ServiceDocument | undefined, callerName: string): number | null {
  // Nodes record all callers that a document does not list under this name. A caller that only an older version of the
  // document lists has no promise.
  if (callerName === DEFAULT_CALLER_NAME) return document?.defaultCaller.promisedCallsPerS ?? null
  return document?.callers.find(caller => caller.name === callerName)?.promisedCallsPerS ?? null
}

function usageRow (
  { callerName, serviceName }: Tenant, document: ServiceDocument | undefined, group: readonly Series[], periodS: number
): UsageRow {
  const takenCount = group.reduce((sum, { executorCounts }) =>
    sum + executorCounts.done + executorCounts.unknown + executorCounts.cancelled, 0)
  const withinPromiseCount = group.reduce((sum, one) => sum + one.takenWithinPromiseCount, 0)
  const promisedCallsPerS = promisedCallsPerSOf(document, callerName)
  const takenCallsPerS = periodS > 0 ? takenCount / periodS : 0
  return {
    callerName,
    serviceName,
    promisedCallsPerS,
    documentVersion: document?.version ?? null,
    takenCount,
    withinPromiseCount,
    abovePromiseCount: takenCount - withinPromiseCount,
    takenCallsPerS,
    takenOfPromiseRatio: promisedCallsPerS === null || promisedCallsPerS === 0
      ? null
      : takenCallsPerS / promisedCallsPerS
  }
}

function isSeries (tenant: Tenant): tenant is Series {
  return 'entryCounts' in tenant
}

/** One row for each pair of caller and service with a promised rate or at least one call that ran or may have run. */
function usageRows (series: readonly Series[], documents: readonly ServiceDocument[], periodS: number): UsageRow[] {
  const tenants: Tenant[] = [...series]
  for (const { serviceName, callers } of documents) {
    tenants.push(...callers.map(caller => ({ callerName: caller.name, serviceName })))
  }
  const groups = groupBy(tenants, tenant => `${tenant.callerName}\n${tenant.serviceName}`)
  const byService = new Map(documents.map(document => [document.serviceName, document]))
  return [...groups].sort(compareByText(([key]) => key)).flatMap(([, [tenant, ...rest]]) => tenant === undefined
    ? []
    : [usageRow(tenant, byService.get(tenant.serviceName), [tenant, ...rest].filter(isSeries), periodS)])
    // Calls that were refused for an unknown service name create pairs without a promise and without such a call.
    .filter(row => row.takenCount > 0 || row.promisedCallsPerS !== null)
}

function seenRows (series: readonly Series[]): SeenRow[] {
  return series.filter(({ entryCounts }) => Object.values(entryCounts).some(count => count > 0))
    .map(({ callerName, serviceName, importance, entryCounts, total }) => (
      { callerName, serviceName, importance, counts: entryCounts, total: readPercentiles([total]) }))
}

function servedRows (series: readonly Series[]): ServedRow[] {
  return series.filter(({ served }) => served !== undefined)
    .map(({ callerName, serviceName, importance, served }) => (
      { callerName, serviceName, importance, served: readPercentiles([served]) }))
}

function refusalRows (tally: ReportTally): RefusalRow[] {
  return [...tally.refusals.values()].sort((a, b) => b.count - a.count || compareByText<RefusalRow>(row =>
    `${row.callerName}\n${row.serviceName}\n${row.importance}\n${row.reason}\n${row.limitedBy}`)(a, b))
}

function sendsRows (tally: ReportTally): SendsRow[] {
  return [...tally.sends].sort(compareByText(([name]) => name)).map(([callerName, { sendsCount, roots }]) => {
    // A HyperLogLog estimate of the root requests can exceed the number of sends; the true number cannot.
    const rootsCount = Math.min(sendsCount, roots.count())
    return { callerName, sendsCount, rootsCount, isEstimate: roots.isEstimate }
  })
}

function callerRows (series: readonly Series[]): CallerTimes[] {
  return [...groupBy(series, one => one.callerName)]
    .map(([callerName, group]) => ({ callerName, total: readPercentiles(group.map(one => one.total)) }))
    .filter(row => row.total.count > 0)
    .sort((a, b) => b.total.count - a.total.count || compareByText<CallerTimes>(row => row.callerName)(a, b))
}

function minuteRows (tally: ReportTally): MinuteCounts[] {
  return [...tally.minutes].sort((a, b) => a[0] - b[0])
    .map(([minute, counts]) => ({ minuteStartMs: minute * MINUTE_MS, counts }))
}

function completenessOf (tally: ReportTally, fileReadResults: readonly FileReadResult[]): Completeness {
  const losses = tally.losses.losses()
  const unreadFiles = fileReadResults.flatMap(({ name, error }) => error === null ? [] : [{ name, error }])
  const tooLongCount = fileReadResults.reduce((sum, end) => sum + end.tooLongCount, 0)
  const unnamedDamagedCount = tally.unnamedDamagedCount + tooLongCount
  return {
    linesCount: tally.linesCount,
    recordsCount: tally.recordsCount,
    otherLinesCount: tally.otherLinesCount,
    repeatedLinesCount: tally.repeatedLinesCount,
    repeatedRecordsCount: tally.repeatedRecordsCount,
    incarnationsCount: tally.losses.incarnationsCount,
    startsLaterCount: tally.losses.startsLaterCount,
    losses,
    unnamedDamagedCount,
    unreadFiles,
    overflowCount: tally.overflowCount,
    isComplete: losses.length === 0 && unnamedDamagedCount === 0 && unreadFiles.length === 0
  }
}

/**
 * Builds the report from the counts of all lines. The promised rates come from the
 * given documents; the period runs from the arrival of the first call to that of
 * the last one.
 *
 * @example
 * buildReport(tally, [], []).usage.length
 */
export function buildReport (
  tally: ReportTally, documents: readonly ServiceDocument[], fileReadResults: readonly FileReadResult[]
): Report {
  const series = [...tally.series.values()].sort(compareByText(seriesKey))
  const isEmpty = tally.recordsCount === 0
  const periodS = isEmpty ? 0 : Math.max(1, (tally.untilWallMs - tally.fromWallMs) / 1000)
  return {
    fromWallMs: isEmpty ? null : tally.fromWallMs,
    untilWallMs: isEmpty ? null : tally.untilWallMs,
    usage: usageRows(series, documents, periodS),
    seen: seenRows(series),
    served: servedRows(series),
    refusals: refusalRows(tally),
    sends: sendsRows(tally),
    callers: callerRows(series),
    minutes: minuteRows(tally),
    completeness: completenessOf(tally, fileReadResults)
  }
}
