import type { Completeness, Report, TimeReading } from './reportTypes.js'
import type { SequenceRange } from './sequenceRanges.js'

/** Rows of a table and ranges of a loss that the printed text shows; `--json` has all of them. */
const ROWS_MAX_COUNT = 100
const RANGES_MAX_COUNT = 20

type Cell = string | number | null

// eslint-disable-next-line no-control-regex
const CONTROL_CHARACTERS = /[\u0000-\u0009\u000b-\u001f\u007f-\u009f]/g

/**
 * Text without control characters other than the line feed, which could change
 * the terminal of whoever reads a name from a request header.
 *
 * @example
 * printable('a\u001bb') // 'a?b'
 */
export function printable (text: string): string {
  return text.replaceAll(CONTROL_CHARACTERS, '?')
}

function cellText (cell: Cell): string {
  if (cell === null) return '-'
  if (typeof cell === 'string') return cell === '' ? '-' : printable(cell).replaceAll('\n', '?')
  return Number.isInteger(cell) ? String(cell) : cell.toFixed(Math.abs(cell) < 1 ? 3 : 2)
}

/**
 * Lays out rows in columns, numbers to the right.
 *
 * @example
 * tableLines(['caller', 'calls'], [['dispatchers', 12]]) // ['caller       calls', 'dispatchers     12']
 */
export function tableLines (head: readonly string[], rows: ReadonlyArray<readonly Cell[]>): string[] {
  const texts = rows.map(row => row.map(cellText))
  const widths = head.map((name, column) => Math.max(name.length, ...texts.map(row => row[column]?.length ?? 0)))
  const isNumeric = head.map((_, column) => rows.length > 0 && rows.every(row => typeof row[column] !== 'string'))
  const lineOf = (cells: readonly string[]): string => cells.map((cell, column) => isNumeric[column] === true
    ? cell.padStart(widths[column] ?? 0)
    : cell.padEnd(widths[column] ?? 0)).join('  ').trimEnd()
  return [lineOf(head), ...texts.map(lineOf)]
}

function section (title: string, head: readonly string[], rows: ReadonlyArray<readonly Cell[]>): string[] {
  const left = rows.length - ROWS_MAX_COUNT
  return [
    '', title,
    ...(rows.length === 0 ? ['(none)'] : tableLines(head, rows.slice(0, ROWS_MAX_COUNT))),
    ...(left > 0 ? [`(${left} more rows; --json has all)`] : [])
  ]
}

function timeCells (reading: TimeReading): Cell[] {
  return [reading.count, reading.p50Ms, reading.p90Ms, reading.p99Ms, reading.p999Ms, reading.maxMs]
}

const TIME_HEAD = ['done', 'p50_ms', 'p90_ms', 'p99_ms', 'p99.9_ms', 'max_ms']

function rangesText (ranges: readonly SequenceRange[]): string {
  const texts = ranges.slice(0, RANGES_MAX_COUNT).map(({ first, last }) => first === last ? `${first}` : `${first}-${last}`)
  if (ranges.length > RANGES_MAX_COUNT) texts.push(`and ${ranges.length - RANGES_MAX_COUNT} more ranges`)
  return texts.join(', ')
}

/**
 * Lines on what was read and what is missing.
 *
 * @example
 * completenessLines(report.completeness)[0] // 'Complete: 12 records in 14 lines'
 */
export function completenessLines (found: Completeness): string[] {
  const lines = [
    `${found.isComplete ? 'Complete' : 'NOT COMPLETE'}: ${found.recordsCount} records in ${found.linesCount} lines, ` +
    `${found.incarnationsCount} incarnations of nodes`,
    `  lines of other events ${found.otherLinesCount}, repeated lines ${found.repeatedLinesCount}, ` +
    `repeated records ${found.repeatedRecordsCount}, incarnations that start after number 1: ${found.startsLaterCount}`
  ]
  for (const { node, incarnation, missing, missingCount, damaged, damagedCount, tooLateCount } of found.losses) {
    const name = `  node ${cellText(node)} incarnation ${cellText(incarnation)}:`
    if (missingCount > 0) lines.push(`${name} ${missingCount} missing: ${rangesText(missing)}`)
    if (damagedCount > 0) lines.push(`${name} ${damagedCount} damaged: ${rangesText(damaged)}`)
    if (tooLateCount > 0) lines.push(`${name} ${tooLateCount} not counted, too far out of order`)
  }
  if (found.unnamedDamagedCount > 0) lines.push(`  ${found.unnamedDamagedCount} damaged lines of unknown nodes`)
  for (const { name, error } of found.unreadFiles) lines.push(`  ${name} was not read to its end: ${cellText(error)}`)
  if (found.overflowCount > 0) lines.push(`  ${found.overflowCount} records count under (other): too many names`)
  return lines
}

function timeText (wallMs: number | null): string {
  return wallMs === null ? '-' : new Date(wallMs).toISOString()
}

/**
 * The report as text.
 *
 * @example
 * process.stdout.write(reportText(report))
 */
export function reportText (report: Report): string {
  const lines = [
    `Calls from ${timeText(report.fromWallMs)} until ${timeText(report.untilWallMs)}`,
    ...completenessLines(report.completeness),
    ...section('Promised and taken (records of executing nodes; taken means run or perhaps run, cancelled calls included)',
      ['caller', 'service', 'promised/s', 'taken/s', 'of promise', 'taken', 'within', 'above', 'version'],
      report.usage.map(row => [row.callerName, row.serviceName, row.promisedCallsPerS, row.takenCallsPerS,
        row.takenOfPromiseRatio, row.takenCount, row.withinPromiseCount, row.abovePromiseCount, row.documentVersion])),
    ...section('Seen by callers (records of entry nodes; times from arrival to answer)',
      ['caller', 'service', 'importance', 'not_run', 'unknown', 'cancelled', ...TIME_HEAD],
      report.seen.map(row => [row.callerName, row.serviceName, row.importance, row.counts.not_run, row.counts.unknown,
        row.counts.cancelled, ...timeCells(row.total)])),
    ...section('Refused or without a certain end',
      ['caller', 'service', 'importance', 'outcome', 'reason', 'limited by', 'calls'],
      report.refusals.map(row => [
        row.callerName, row.serviceName, row.importance, row.outcome, row.reason, row.limitedBy, row.count])),
    ...section('Time at the backend servers', ['caller', 'service', 'importance', ...TIME_HEAD],
      report.served.map(row => [row.callerName, row.serviceName, row.importance, ...timeCells(row.served)])),
    ...section('Sends and root requests (calls without a parent; a resend without its root id looks like a new request)',
      ['caller', 'sends', 'root requests', 'sends each', 'counted'],
      report.sends.map(row => [row.callerName, row.sendsCount, row.rootsCount,
        row.rootsCount === 0 ? null : row.sendsCount / row.rootsCount, row.isEstimate ? 'estimate (0.8%)' : 'exactly']))
  ]
  return `${lines.join('\n')}\n`
}
