import { Either, Left, Right } from 'purify-ts'
import { Lexer, LineCounter, Parser, isAlias, isMap, isNode, isScalar, parseDocument, type Document } from 'yaml'
import { z } from 'zod'
import type { DocumentFault } from './documentsTypes.js'

/** Largest value that the configuration service holds. */
export const VALUE_MAX_BYTES = 1_048_576
/**
 * Levels of maps and lists in a value, far more than any schema has. The YAML parser, the validation and the messages
 * of faults work recursively, and a process whose stack is full may end without an error that can be caught.
 */
export const NESTING_MAX_COUNT = 100

/** Path of a field: property names and list indexes from the root. */
export type FieldPath = ReadonlyArray<string | number>

/** A validation error whose line has not been looked up yet. */
export interface FieldFault {
  readonly path: FieldPath
  readonly reason: string
}

/** A parsed text with a lookup of the line of each field. */
export interface ParsedText {
  readonly value: unknown
  /** Line of a field, or of its nearest parent when the field is missing; null when the line is unknown. */
  lineOf (path: FieldPath): number | null
}

/**
 * Text form of a field path.
 *
 * @example
 * formatPath(['routes', 0, 'name']) // 'routes[0].name'
 */
export function formatPath (path: FieldPath): string {
  const text = path.map(part => typeof part === 'number' ? `[${part}]` : `.${part}`).join('')
  return text === '' ? '(root)' : text.replace(/^\./, '')
}

function keyOffset (node: unknown, key: string | number): number | null {
  if (!isMap(node)) return null
  const pair = node.items.find(item => isScalar(item.key) && item.key.value === key)
  return isNode(pair?.key) ? pair.key.range?.[0] ?? null : null
}

function offsetOf (document: Document, path: FieldPath): number {
  for (let depth = path.length; depth > 0; depth -= 1) {
    const parent = document.getIn(path.slice(0, depth - 1), true)
    const offset = keyOffset(parent, path[depth - 1]!)
    if (offset !== null) return offset
    const node = document.getIn(path.slice(0, depth), true)
    if (isNode(node) && !isAlias(node) && node.range != null) return node.range[0]
  }
  return isNode(document.contents) ? document.contents.range?.[0] ?? 0 : 0
}

/** Whether a text has more levels than are accepted. The parser of the syntax works without recursion. */
function isTextTooDeep (text: string): boolean {
  const parser = new Parser()
  for (const token of new Lexer().lex(text)) {
    // The parser works only as far as its results are consumed.
    Array.from(parser.next(token))
    // The stack has a level for the document and one for the value that is being read.
    if (parser.stack.length > NESTING_MAX_COUNT + 2) return true
  }
  return false
}

/**
 * Whether a value has more levels of maps and lists than are accepted.
 *
 * @example
 * isTooDeep([[]]) // false
 */
export function isTooDeep (value: unknown): boolean {
  let level: unknown[] = [value]
  for (let depth = 0; depth <= NESTING_MAX_COUNT; depth += 1) {
    level = level.flatMap(part => typeof part === 'object' && part !== null ? Object.values(part) : [])
    if (level.length === 0) return false
  }
  return true
}

const TOO_DEEP: DocumentFault = {
  path: '(root)', line: null, reason: `is nested more than ${NESTING_MAX_COUNT} levels deep`
}

/** The fault of a value that is too deep, of which nothing else is looked at. */
export function tooDeepFault (): DocumentFault[] {
  return [TOO_DEEP]
}

/**
 * Parses YAML or JSON. Repeated keys and aliases that expand to very large values are faults.
 *
 * @example
 * parseText('version: 7').map(parsed => parsed.lineOf(['version'])) // Right(1)
 *
 * Errors: the faults of the YAML parser with their lines.
 */
export function parseText (text: string): Either<DocumentFault[], ParsedText> {
  if (Buffer.byteLength(text) > VALUE_MAX_BYTES) {
    return Left([{ path: '(root)', line: null, reason: `is larger than ${VALUE_MAX_BYTES} bytes` }])
  }
  if (isTextTooDeep(text)) return Left(tooDeepFault())
  const lines = new LineCounter()
  const document = parseDocument(text, { lineCounter: lines, prettyErrors: false })
  if (document.errors.length > 0) {
    return Left(document.errors.map(error => ({
      path: '(root)', line: lines.linePos(error.pos[0]).line, reason: error.message.split('\n')[0] ?? error.code
    })))
  }
  try {
    const value: unknown = document.toJS()
    return Right({ value, lineOf: path => lines.linePos(offsetOf(document, path)).line })
  } catch (error) {
    return Left([{ path: '(root)', line: null, reason: error instanceof Error ? error.message : String(error) }])
  }
}

/** Looks up the line of each fault and formats its path. */
export function addLines (faults: readonly FieldFault[], parsed: ParsedText): DocumentFault[] {
  return faults.map(fault => ({
    path: formatPath(fault.path), line: parsed.lineOf(fault.path), reason: fault.reason
  }))
}

const QUOTED_VALUE_MAX_LENGTH = 60

function formatValue (value: unknown): string {
  const text = JSON.stringify(value) ?? String(value)
  return text.length > QUOTED_VALUE_MAX_LENGTH ? `${text.slice(0, QUOTED_VALUE_MAX_LENGTH)}...` : text
}

function valueAt (value: unknown, path: FieldPath): unknown {
  return path.reduce<unknown>((at, part) => (at as Record<string | number, unknown> | null | undefined)?.[part], value)
}

function withoutDefault (schema: z.ZodType | undefined): z.ZodType | undefined {
  return schema instanceof z.ZodDefault ? withoutDefault(schema.def.innerType as z.ZodType) : schema
}

/** Schema of the field at a path, or undefined when the schema has no such field. */
export function schemaAt (schema: z.ZodType, path: FieldPath): z.ZodType | undefined {
  let at: z.ZodType | undefined = schema
  for (const part of path) {
    const outer = withoutDefault(at)
    if (outer instanceof z.ZodObject) at = outer.shape[part] as z.ZodType | undefined
    else if (outer instanceof z.ZodArray) at = outer.element as z.ZodType
    else return undefined
  }
  return at
}

/** Description of the values that a field allows, from the metadata of its schema. */
export function allowedText (schema: z.ZodType | undefined): string {
  const own = schema?.meta()?.['allowed'] ?? withoutDefault(schema)?.meta()?.['allowed']
  if (typeof own === 'string') return own
  const inner = withoutDefault(schema)
  if (inner instanceof z.ZodObject) return `a map with the fields ${Object.keys(inner.shape).join(', ')}`
  return inner instanceof z.ZodArray ? 'a list' : 'another value'
}

function faultsOfIssue (schema: z.ZodType, issue: z.core.$ZodIssue, value: unknown): FieldFault[] {
  const path = issue.path.map(part => typeof part === 'number' ? part : String(part))
  const allowed = allowedText(schemaAt(schema, path))
  if (issue.code === 'unrecognized_keys') {
    return issue.keys.map(key => ({ path: [...path, key], reason: `unknown field; allowed is ${allowed}` }))
  }
  const found = valueAt(value, path)
  return [{ path, reason: `${found === undefined ? 'is missing' : `is ${formatValue(found)}`}; allowed is ${allowed}` }]
}

/**
 * Checks a value against a schema whose fields carry `allowed` metadata.
 *
 * Errors: one fault for each wrong, missing or unknown field.
 */
export function checkSchema<T> (schema: z.ZodType<T>, value: unknown): Either<FieldFault[], T> {
  const result = schema.safeParse(value)
  if (result.success) return Right(result.data)
  return Left(result.error.issues.flatMap(issue => faultsOfIssue(schema, issue, value)))
}
