import { randomUUID } from 'node:crypto'
import type { IncomingMessage } from 'node:http'
import { Left, Right } from 'purify-ts'
import type { Either } from 'purify-ts'
import { Importance, Reason } from '../core/coreTypes.js'
import { hash32, hashBytes32 } from '../core/hash.js'
import type { CallSource, IncomingCall } from '../core/nodeCore/nodeCoreTypes.js'

/** Names and ids are kept and logged for each call. A longer one is refused: cut off, two keys could become one. */
const ID_MAX_CHARS = 128
/** Sub-calls derive their key from that of their parent, so it grows with each hop. */
const KEY_MAX_CHARS = 512
const SERVICE_IN_PATH = /^\/([A-Za-z0-9._-]+)(\/.*)?$/
const WHOLE_NUMBER = /^\d{1,9}$/
/** Headers whose values must have a certain form; the sender must not believe that a faulty one applies. */
const ID_HEADERS = [
  'ragwortspur-caller', 'ragwortspur-service', 'ragwortspur-root', 'ragwortspur-call', 'ragwortspur-parent'
]
const NUMBER_HEADERS = ['ragwortspur-deadline-ms', 'ragwortspur-attempt']
const IMPORTANCES: ReadonlySet<string> = new Set(Object.values(Importance))

/** What the shell knows about the sender of a call. */
export interface SenderView {
  isPeer (nodeId: string, remoteIp: string): boolean
  isBackendServer (remoteIp: string): boolean
}

/** Headers that belong to one connection or that the node sets itself on the next hop. */
const DROPPED_HEADERS = new Set([
  'connection', 'keep-alive', 'proxy-connection', 'transfer-encoding', 'te', 'trailer', 'upgrade', 'host',
  'content-length', 'expect', 'ragwortspur-from-node', 'ragwortspur-is-root', 'ragwortspur-importance',
  'ragwortspur-level', 'ragwortspur-retry-loan', 'ragwortspur-parent'
])

function text (message: IncomingMessage, name: string): string {
  const value = message.headers[name]
  return typeof value === 'string' ? value : ''
}

function hasFaultyHeader (message: IncomingMessage): boolean {
  const importance = text(message, 'ragwortspur-importance')
  return ID_HEADERS.some(name => text(message, name).length > ID_MAX_CHARS) ||
    text(message, 'idempotency-key').length > KEY_MAX_CHARS ||
    NUMBER_HEADERS.some(name => message.headers[name] !== undefined && !WHOLE_NUMBER.test(text(message, name))) ||
    (importance !== '' && !IMPORTANCES.has(importance))
}

function wholeNumber (value: string): number | null {
  return WHOLE_NUMBER.test(value) ? Number(value) : null
}

function importanceIn (value: string): Importance | null {
  return IMPORTANCES.has(value) ? value as Importance : null
}

/** Service and path of a request; the service stands in a header or is the first path segment. */
function targetOf (message: IncomingMessage): { serviceName: string, path: string } {
  const url = message.url ?? '/'
  const named = text(message, 'ragwortspur-service')
  if (named !== '') return { serviceName: named, path: url }
  const match = SERVICE_IN_PATH.exec(url)
  return { serviceName: match?.[1] ?? '', path: match?.[2] ?? '/' }
}

function sourceOf (message: IncomingMessage, senders: SenderView): CallSource {
  const remoteIp = message.socket.remoteAddress ?? ''
  const fromNode = text(message, 'ragwortspur-from-node')
  if (fromNode !== '' && senders.isPeer(fromNode, remoteIp)) {
    return {
      kind: 'peer',
      nodeId: fromNode,
      importance: importanceIn(text(message, 'ragwortspur-importance')) ?? Importance.Low,
      level: Math.min(255, wholeNumber(text(message, 'ragwortspur-level')) ?? 255),
      grantedRetriesCount: wholeNumber(text(message, 'ragwortspur-retry-loan')) ?? 0,
      isRoot: text(message, 'ragwortspur-is-root') === 'true'
    }
  }
  const parentCallId = text(message, 'ragwortspur-call')
  return parentCallId !== '' && senders.isBackendServer(remoteIp)
    ? { kind: 'backend_server', parentCallId }
    : { kind: 'caller' }
}

/** Hash of what a request asks for; most lookups have no body and differ in their paths only. */
function contentHash (path: string, body: Uint8Array | null): number {
  return hash32(path, body === null ? 0 : hashBytes32(body))
}

/**
 * Reads a request into the form that the core takes.
 *
 * @example
 * readCall(message, body, senders, 'depot-stock').map(call => call.serviceName)
 *
 * Errors: `malformed_call` for an id that is too long, or a number or importance of the wrong form.
 */
export function readCall (
  message: IncomingMessage, body: Uint8Array | null, senders: SenderView, ownServiceName: string
): Either<Reason, IncomingCall> {
  if (hasFaultyHeader(message)) return Left(Reason.MalformedCall)
  const source = sourceOf(message, senders)
  const { serviceName, path } = targetOf(message)
  const isPeer = source.kind === 'peer'
  const callId = (isPeer ? text(message, 'ragwortspur-call') : '') || randomUUID()
  const key = text(message, 'idempotency-key')
  return Right({
    callId,
    source,
    callerName: text(message, 'ragwortspur-caller') || (source.kind === 'backend_server' ? ownServiceName : ''),
    serviceName,
    method: message.method ?? 'GET',
    path,
    rootId: text(message, 'ragwortspur-root') || callId,
    parentId: source.kind === 'backend_server' ? source.parentCallId : text(message, 'ragwortspur-parent'),
    deadlineMs: wholeNumber(text(message, 'ragwortspur-deadline-ms')),
    idempotencyKey: key === '' ? null : key,
    attempt: wholeNumber(text(message, 'ragwortspur-attempt')),
    requestedImportance: isPeer ? null : importanceIn(text(message, 'ragwortspur-importance')),
    bodyHash: contentHash(path, body)
  })
}

/** Headers of a request that go on to the next hop. */
export function passedHeaders (message: IncomingMessage): Record<string, string> {
  const headers: Record<string, string> = {}
  for (const [name, value] of Object.entries(message.headers)) {
    if (value === undefined || DROPPED_HEADERS.has(name)) continue
    headers[name] = Array.isArray(value) ? value.join(', ') : value
  }
  return headers
}
