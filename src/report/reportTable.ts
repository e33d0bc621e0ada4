import type { Completeness, Report, TimeReading } from './reportTypes.js'
import type { SequenceRange } from './sequenceRanges.js'

/** Maximum number of rows of a table, and of ranges of missing or damaged lines, in the text; `--json` has all. */
const ROWS_MAX_COUNT = 100
const RANGES_MAX_COUNT = 20

type Cell = string | number | null

// eslint-disable-next-line no-control-regex
const CONTROL_CHARACTERS = /[\u0000-\u0009\u000b-\u001f\u007f-\u009f]/g

/**
 * Replaces control characters except line feeds. Names come from request headers
 * and could contain terminal escape sequences.
 *
 * @example
 * printable('a\u001bb') // 'a?b'
 */
export function replaceControlCharacters (text: string): string {
  return text.replaceAll(CONTROL_CHARACTERS, '?')
}

function formatCell (cell: Cell): string {
  if (cell === null) return '-'
  if (typeof cell === 'string') return cell === '' ? '-' : replaceControlCharacters(cell).replaceAll('\n', '?')
  return Number.isInteger(cell) ? String(cell) : cell.toFixed(Math.abs(cell) < 1 ? 3 : 2)
}

/**
 * Lays out rows in aligned columns; numeric columns are right-aligned.
 *
 * @example
 * tableLines(['caller', 'calls'], [['dispatchers', 12]]) // ['caller       calls', 'dispatchers     12']
 */
export function tableLines (headings: readonly string[], rows: ReadonlyArray<readonly Cell[]>): string[] {
  const texts = rows.map(row => row.map(formatCell))
  const widths = headings.map((name, column) => Math.max(name.length, ...texts.map(row => row[column]?.length ?? 0)))
  const isNumeric = headings.map((_, column) => rows.length > 0 && rows.every(row => typeof row[column] !== 'string'))
  const formatLine = (cells: readonly string[]): string => cells.map((cell, column) => isNumeric[column] === true
    ? cell.padStart(widths[column] ?? 0)
    : cell.padEnd(widths[column] ?? 0)).join('  ').trimEnd()
  return [formatLine(headings), ...texts.map(formatLine)]
}

function sectionLines (title: string, headings: readonly string[], rows: ReadonlyArray<readonly Cell[]>): string[] {
  const hiddenCount = rows.length - ROWS_MAX_COUNT
  return [
    '', title,
    ...(rows.length === 0 ? ['(none)'] : tableLines(headings, rows.slice(0, ROWS_MAX_COUNT))),
    ...(hiddenCount > 0 ? [`(${hiddenCount} more rows; --json has all)`] : [])
  ]
}

function timeCells (reading: TimeReading): Cell[] {
  return [reading.count, reading.p50Ms, reading.p90Ms, reading.p99Ms, reading.p999Ms, reading.maxMs]
}

const TIME_HEADINGS = ['done', 'p50_ms', 'p90_ms', 'p99_ms', 'p99.9_ms', 'max_ms']

function formatRanges (ranges: readonly SequenceRange[]): string {
  const texts = ranges.slice(0, RANGES_MAX_COUNT).map(({ first, last }) => first === last ? `${first}` : `${first}-${last}`)
  if (ranges.length > RANGES_MAX_COUNT) texts.push(`and ${ranges.length - RANGES_MAX_COUNT} more ranges`)
  return texts.join(', ')
}

/**
 * Lists how many lines were read and which are missing or damaged.
 *
 * @example
 * completenessLines(report.completeness)[0] // 'Complete: 12 records in 14 lines'
 */
export function completenessLines (completeness: Completeness): string[] {
  const lines = [
    `${completeness.isComplete ? 'Complete' : 'NOT COMPLETE'}: ${completeness.recordsCount} records in ${completeness.linesCount} lines, ` +
    `${completeness.incarnationsCount} incarnations of nodes`,
    `  lines of other events ${completeness.otherLinesCount}, repeated lines ${completeness.repeatedLinesCount}, ` +
    `repeated records ${completeness.repeatedRecordsCount}, incarnations that start after number 1: ${completeness.startsLaterCount}`
  ]
  for (const { node, incarnation, missing, missingCount, damaged, damagedCount, tooLateCount } of completeness.losses) {
    const name = `  node ${formatCell(node)} incarnation ${formatCell(incarnation)}:`
    if (missingCount > 0) lines.push(`${name} ${missingCount} missing: ${formatRanges(missing)}`)
    if (damagedCount > 0) lines.push(`${name} ${damagedCount} damaged: ${formatRanges(damaged)}`)
    if (tooLateCount > 0) lines.push(`${name} ${tooLateCount} not counted, too far out of order`)
  }
  if (completeness.unnamedDamagedCount > 0) lines.push(`  ${completeness.unnamedDamagedCount} damaged lines whose node cannot be determined`)
  for (const { name, error } of completeness.unreadFiles) lines.push(`  ${name} could not be read completely: ${formatCell(error)}`)
  if (completeness.overflowCount > 0) lines.push(`  ${completeness.overflowCount} records are counted under (other): too many distinct names`)
  return lines
}

function formatTime (wallMs: number | null): string {
  return wallMs === null ? '-' : new Date(wallMs).toISOString()
}

/**
 * Renders the report as plain text.
 *
 * @example
 * process.stdout.write(reportText(report))
 */
export function reportText (report: Report): string {
  const lines = [
    `Calls from ${formatTime(report.fromWallMs)} until ${formatTime(report.untilWallMs)}`,
    ...completenessLines(report.completeness),
    ...sectionLines('Promised and taken (records of executing nodes; taken means run or perhaps run, cancelled calls included)',
      ['caller', 'service', 'promised/s', 'taken/s', 'of promise', 'taken', 'within', 'above', 'version'],
      report.usage.map(row => [row.callerName, row.serviceName, row.promisedCallsPerS, row.takenCallsPerS,
        row.takenOfPromiseRatio, row.takenCount, row.withinPromiseCount, row.abovePromiseCount, row.documentVersion])),
    ...sectionLines('Seen by callers (records of entry nodes; times from arrival to answer)',
      ['caller', 'service', 'importance', 'not_run', 'unknown', 'cancelled', ...TIME_HEADINGS],
      report.seen.map(row => [row.callerName, row.serviceName, row.importance, row.counts.not_run, row.counts.unknown,
        row.counts.cancelled, ...timeCells(row.total)])),
    ...sectionLines('Refused or without a certain end',
      ['caller', 'service', 'importance', 'outcome', 'reason', 'limited by', 'calls'],
      report.refusals.map(row => [
        row.callerName, row.serviceName, row.importance, row.outcome, row.reason, row.limitedBy, row.count])),
    ...sectionLines('Time at the backend servers', ['caller', 'service', 'importance', ...TIME_HEADINGS],
      report.served.map(row => [row.callerName, row.serviceName, row.importance, ...timeCells(row.served)])),
    ...sectionLines('Sends and root requests (calls without a parent; a resend without its root id looks like a new request)',
      ['caller', 'sends', 'root requests', 'sends each', 'counted'],
      report.sends.map(row => [row.callerName, row.sendsCount, row.rootsCount,
        row.rootsCount === 0 ? null : row.sendsCount / row.rootsCount, row.isEstimate ? 'estimate (0.8%)' : 'exactly']))
  ]
  return `${lines.join('\n')}\n`
}
