import { randomUUID } from 'node:crypto'
import type { IncomingMessage } from 'node:http'
import { Left, Right } from 'purify-ts'
import type { Either } from 'purify-ts'
import { Importance, Reason } from '../core/coreTypes.js'
import { hash32, hashBytes32 } from '../core/hash.js'
import type { CallSource, IncomingCall } from '../core/nodeCore/nodeCoreTypes.js'

/** Names and ids are stored and logged for each call. A longer one is refused: truncation could make two ids equal. */
const ID_MAX_CHARS = 128
/** Larger than other ids: sub-calls derive their key from that of their parent, so it grows with each hop. */
const KEY_MAX_CHARS = 512
const SERVICE_IN_PATH = /^\/([A-Za-z0-9._-]+)(\/.*)?$/
const WHOLE_NUMBER = /^\d{1,9}$/
/** Headers that are validated. An invalid value refuses the call, since ignoring it would mislead the sender. */
const ID_HEADERS = [
  'ragwortspur-caller', 'ragwortspur-service', 'ragwortspur-root', 'ragwortspur-call', 'ragwortspur-parent'
]
const NUMBER_HEADERS = ['ragwortspur-deadline-ms', 'ragwortspur-attempt']
const IMPORTANCES: ReadonlySet<string> = new Set(Object.values(Importance))

/** Checks whether the sender of a call is a listed node or the node's own backend server. */
export interface SenderView {
  isPeer (nodeId: string, remoteIp: string): boolean
  isBackendServer (remoteIp: string): boolean
}

/** Hop-by-hop headers and headers that the node sets itself for the next hop. */
const NOT_FORWARDED_HEADERS = new Set([
  'connection', 'keep-alive', 'proxy-connection', 'transfer-encoding', 'te', 'trailer', 'upgrade', 'host',
  'content-length', 'expect', 'ragwortspur-from-node', 'ragwortspur-is-root', 'ragwortspur-importance',
  'ragwortspur-level', 'ragwortspur-retry-loan', 'ragwortspur-parent'
])

function headerText (message: IncomingMessage, name: string): string {
  const value = message.headers[name]
  return typeof value === 'string' ? value : ''
}

function hasInvalidHeader (message: IncomingMessage): boolean {
  const importance = headerText(message, 'ragwortspur-importance')
  return ID_HEADERS.some(name => headerText(message, name).length > ID_MAX_CHARS) ||
    headerText(message, 'idempotency-key').length > KEY_MAX_CHARS ||
    NUMBER_HEADERS.some(name => message.headers[name] !== undefined && !WHOLE_NUMBER.test(headerText(message, name))) ||
    (importance !== '' && !IMPORTANCES.has(importance))
}

function parseWholeNumber (value: string): number | null {
  return WHOLE_NUMBER.test(value) ? Number(value) : null
}

function parseImportance (value: string): Importance | null {
  return IMPORTANCES.has(value) ? value as Importance : null
}

/** Service and path of a request; the service stands in a header or is the first path segment. */
function readTarget (message: IncomingMessage): { serviceName: string, path: string } {
  const url = message.url ?? '/'
  const serviceHeader = headerText(message, 'ragwortspur-service')
  if (serviceHeader !== '') return { serviceName: serviceHeader, path: url }
  const match = SERVICE_IN_PATH.exec(url)
  return { serviceName: match?.[1] ?? '', path: match?.[2] ?? '/' }
}

function readSource (message: IncomingMessage, senders: SenderView): CallSource {
  const remoteIp = message.socket.remoteAddress ?? ''
  const fromNode = headerText(message, 'ragwortspur-from-node')
  if (fromNode !== '' && senders.isPeer(fromNode, remoteIp)) {
    return {
      kind: 'peer',
      nodeId: fromNode,
      importance: parseImportance(headerText(message, 'ragwortspur-importance')) ?? Importance.Low,
      level: Math.min(255, parseWholeNumber(headerText(message, 'ragwortspur-level')) ?? 255),
      grantedRetriesCount: parseWholeNumber(headerText(message, 'ragwortspur-retry-loan')) ?? 0,
      isRoot: headerText(message, 'ragwortspur-is-root') === 'true'
    }
  }
  const parentCallId = headerText(message, 'ragwortspur-call')
  return parentCallId !== '' && senders.isBackendServer(remoteIp)
    ? { kind: 'backend_server', parentCallId }
    : { kind: 'caller' }
}

/** Hash of path and body. The path is included because most lookups have no body and differ in their paths only. */
function contentHash (path: string, body: Uint8Array | null): number {
  return hash32(path, body === null ? 0 : hashBytes32(body))
}

/**
 * Converts an HTTP request into the call that the core handles.
 *
 * @example
 * readCall(message, body, senders, 'depot-stock').map(call => call.serviceName)
 *
 * Errors: `malformed_call` for an id that is too long, or an invalid number or importance.
 */
export function readCall (
  message: IncomingMessage, body: Uint8Array | null, senders: SenderView, ownServiceName: string
): Either<Reason, IncomingCall> {
  if (hasInvalidHeader(message)) return Left(Reason.MalformedCall)
  const source = readSource(message, senders)
  const { serviceName, path } = readTarget(message)
  const isPeer = source.kind === 'peer'
  const callId = (isPeer ? headerText(message, 'ragwortspur-call') : '') || randomUUID()
  const key = headerText(message, 'idempotency-key')
  return Right({
    callId,
    source,
    callerName: headerText(message, 'ragwortspur-caller') || (source.kind === 'backend_server' ? ownServiceName : ''),
    serviceName,
    method: message.method ?? 'GET',
    path,
    rootId: headerText(message, 'ragwortspur-root') || callId,
    parentId: source.kind === 'backend_server' ? source.parentCallId : headerText(message, 'ragwortspur-parent'),
    deadlineMs: parseWholeNumber(headerText(message, 'ragwortspur-deadline-ms')),
    idempotencyKey: key === '' ? null : key,
    attempt: parseWholeNumber(headerText(message, 'ragwortspur-attempt')),
    requestedImportance: isPeer ? null : parseImportance(headerText(message, 'ragwortspur-importance')),
    bodyHash: contentHash(path, body)
  })
}

/** Headers of a request that are forwarded to the next hop. */
export function forwardedHeaders (message: IncomingMessage): Record<string, string> {
  const headers: Record<string, string> = {}
  for (const [name, value] of Object.entries(message.headers)) {
    if (value === undefined || NOT_FORWARDED_HEADERS.has(name)) continue
    headers[name] = Array.isArray(value) ? value.join(', ') : value
  }
  return headers
}
