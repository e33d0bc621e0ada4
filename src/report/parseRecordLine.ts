import { Importance, Outcome } from '../core/coreTypes.js'
import { RecordRole } from '../core/ledger/ledgerTypes.js'

/** Fields of a record line that the report uses. */
export interface ParsedRecord {
  readonly node: string
  readonly incarnation: string
  readonly sequence: number
  /** False for a repeated record of a call, which has its own sequence number but is not counted. */
  readonly isCounted: boolean
  readonly role: RecordRole
  readonly callerName: string
  readonly serviceName: string
  readonly importance: Importance
  readonly withinPromise: boolean
  readonly outcome: Outcome
  readonly reason: string
  readonly limitedBy: string
  readonly rootId: string
  readonly parentId: string
  readonly arrivedAtWallMs: number
  readonly queuedMs: number
  readonly servedMs: number
  readonly totalMs: number
}

/** Result of parsing a line of a collected log. */
export type ParsedLine =
  | { readonly kind: 'record', readonly record: ParsedRecord }
  | { readonly kind: 'other' }
  /** A truncated or corrupted record line, with its identity if that is still readable. */
  | { readonly kind: 'damaged', readonly node?: string, readonly incarnation?: string, readonly sequence?: number }

type FieldValues = Array<string | undefined>

const RECORD_EVENTS = new Set(['call_record', 'call_record_repeated'])
const RECORD_START = 'event=call_record'
/** Sequence number, node and incarnation of a record line; also matches if the start of the line is missing. */
const IDENTITY = /(?:^|[ =])seq=(\d{1,15}) node=("(?:[^"\\]|\\.)*"|[^ "]+) incarnation=("(?:[^"\\]|\\.)*"|[^ "]+) /
const ROLES: ReadonlySet<string> = new Set(Object.values(RecordRole))
const IMPORTANCES: ReadonlySet<string> = new Set(Object.values(Importance))
const OUTCOMES: ReadonlySet<string> = new Set(Object.values(Outcome))
const NUMBER = /^-?\d+(\.\d+)?(e[+-]?\d+)?$/
/** Fields of a record in the order in which nodes write them. */
const FIELDS = [
  'event', 'seq', 'node', 'incarnation', 'role', 'caller', 'service', 'route', 'importance', 'within_promise',
  'document_version', 'outcome', 'reason', 'limited_by', 'root', 'call', 'parent', 'attempt', 'retries_count',
  'arrived_at_wall_ms', 'queued_ms', 'served_ms', 'total_ms'
] as const
type FieldName = typeof FIELDS[number]
const FIELD_STARTS = FIELDS.map(name => `${name}=`)
const INDEX_OF_FIELD: ReadonlyMap<string, number> = new Map(FIELDS.map((name, index) => [name, index]))
const NUMBER_INDEXES = (['arrived_at_wall_ms', 'queued_ms', 'served_ms', 'total_ms'] as const).map(fieldIndex)
const QUOTE = 34
const BACKSLASH = 92
const SPACE = 32

function fieldIndex (name: FieldName): number {
  return INDEX_OF_FIELD.get(name) ?? -1
}

function quotedValueEnd (line: string, start: number): number {
  for (let position = start + 1; position < line.length; position += 1) {
    const code = line.charCodeAt(position)
    if (code === BACKSLASH) position += 1
    else if (code === QUOTE) return position + 1
  }
  return -1
}

function parseQuoted (text: string): string | undefined {
  try {
    return JSON.parse(text) as string
  } catch {
    return undefined
  }
}

/**
 * Splits a line into the values of its fields, in the order of `FIELDS`. Returns
 * undefined if the line is not a sequence of key=value pairs. Nodes write the fields
 * in that order, so the next expected name is tried first; any other order and
 * unknown fields are accepted too.
 */
function parseFieldValues (line: string): FieldValues | undefined {
  const values: FieldValues = new Array<string | undefined>(FIELDS.length).fill(undefined)
  for (let position = 0, nextIndex = 0; position < line.length; nextIndex += 1) {
    const expectedStart = FIELD_STARTS[nextIndex]
    const isExpected = expectedStart !== undefined && line.startsWith(expectedStart, position)
    const equals = isExpected ? position + expectedStart.length - 1 : line.indexOf('=', position)
    if (equals <= position) return undefined
    const end = valueEnd(line, equals + 1)
    if (end === -1 || (end < line.length && line.charCodeAt(end) !== SPACE)) return undefined
    if (!isExpected) {
      const name = line.slice(position, equals)
      if (name.includes(' ')) return undefined
      nextIndex = INDEX_OF_FIELD.get(name) ?? FIELDS.length
    }
    const value = decodeValue(line, equals + 1, end)
    // A repeated field means that two lines were merged into one.
    if (value === undefined || values[nextIndex] !== undefined) return undefined
    if (nextIndex < FIELDS.length) values[nextIndex] = value
    position = end + 1
  }
  return values
}

function valueEnd (line: string, start: number): number {
  if (line.charCodeAt(start) === QUOTE) return quotedValueEnd(line, start)
  const space = line.indexOf(' ', start)
  return space === -1 ? line.length : space
}

function decodeValue (line: string, start: number, end: number): string | undefined {
  const text = line.slice(start, end)
  return line.charCodeAt(start) === QUOTE ? parseQuoted(text) : text
}

function isValidRecord (values: FieldValues): boolean {
  const text = (name: FieldName): string => values[fieldIndex(name)] ?? ''
  return values.every(value => value !== undefined) && RECORD_EVENTS.has(text('event')) &&
    /^\d{1,15}$/.test(text('seq')) && NUMBER_INDEXES.every(index => NUMBER.test(values[index] ?? '')) &&
    ROLES.has(text('role')) && IMPORTANCES.has(text('importance')) && OUTCOMES.has(text('outcome'))
}

function toRecord (values: FieldValues): ParsedRecord {
  const text = (name: FieldName): string => values[fieldIndex(name)] ?? ''
  return {
    node: text('node'),
    incarnation: text('incarnation'),
    sequence: Number(text('seq')),
    isCounted: text('event') === 'call_record',
    role: text('role') as RecordRole,
    callerName: text('caller'),
    serviceName: text('service'),
    importance: text('importance') as Importance,
    withinPromise: text('within_promise') === 'true',
    outcome: text('outcome') as Outcome,
    reason: text('reason'),
    limitedBy: text('limited_by'),
    rootId: text('root'),
    parentId: text('parent'),
    arrivedAtWallMs: Number(text('arrived_at_wall_ms')),
    queuedMs: Number(text('queued_ms')),
    servedMs: Number(text('served_ms')),
    totalMs: Number(text('total_ms'))
  }
}

function damagedLine (line: string): ParsedLine {
  const match = IDENTITY.exec(line)
  if (match === null) return { kind: 'damaged' }
  const decodeIdentity = (text: string): string => text.startsWith('"') ? parseQuoted(text) ?? text : text
  return {
    kind: 'damaged', sequence: Number(match[1]), node: decodeIdentity(match[2] ?? ''), incarnation: decodeIdentity(match[3] ?? '')
  }
}

/**
 * Parses one line of a collected log. A line that is truncated within its last
 * number still looks valid here; callers detect it by the missing line end.
 *
 * @example
 * readRecordLine('event=node_ready node=vm-1') // { kind: 'other' }
 */
export function parseRecordLine (line: string): ParsedLine {
  if (!line.startsWith(RECORD_START)) {
    // The rest of a record line whose start is missing, or that was merged with a line of another event.
    return line.includes('incarnation=') && IDENTITY.test(line) ? damagedLine(line) : { kind: 'other' }
  }
  const values = parseFieldValues(line)
  return values !== undefined && isValidRecord(values) ? { kind: 'record', record: toRecord(values) } : damagedLine(line)
}
