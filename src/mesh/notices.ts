import { Left, Right, type Either } from 'purify-ts'
import { ServerState, type ListedChange, type ListedServer } from '../core/discovery/discoveryTypes.js'
import type { Millis } from '../clock/clock.js'

/** What nodes tell each other besides calls. Sent as JSON-RPC 2.0 notifications. */
export type Notice =
  /** News from the store, from the node that read it. */
  | {
    readonly method: 'published'
    /** The changes are all that matter after this revision of the store; a receiver behind it asks for the whole. */
    readonly afterRevision: number
    /** Revision up to which the sender knows the list. */
    readonly revision: number
    readonly ageMs: Millis
    readonly configurationVersion: number
    readonly changes: readonly ListedChange[]
  }
  /** Asks for everything the other node knows. */
  | { readonly method: 'want', readonly list: boolean, readonly configuration: boolean }
  | {
    readonly method: 'snapshot'
    readonly revision: number
    readonly ageMs: Millis
    readonly servers: readonly ListedServer[]
  }
  | { readonly method: 'configuration', readonly text: string }
  /** The sender's process stops. */
  | { readonly method: 'leaving' }
  /** These requests were running when a backend server crashed. */
  | { readonly method: 'crash_suspects', readonly fingerprints: readonly SuspectFingerprint[] }

export interface SuspectFingerprint {
  readonly serviceName: string
  readonly routeName: string
  readonly bodyHash: number
}

/** Text of a notice on the wire. */
export function encodeNotice (notice: Notice): string {
  const { method, ...params } = notice
  return JSON.stringify({ jsonrpc: '2.0', method, params })
}

type Table = Readonly<Record<string, unknown>>

function isTable (value: unknown): value is Table {
  return typeof value === 'object' && value !== null && !Array.isArray(value)
}

function isNumber (value: unknown): value is number {
  return typeof value === 'number' && Number.isFinite(value)
}

function isServer (value: unknown): value is ListedServer {
  return isTable(value) && ['serverId', 'serviceName', 'dataCentre', 'softwareVersion', 'ip']
    .every(name => typeof value[name] === 'string') &&
    ['slotsCount', 'port', 'warmingMs', 'startedAtWallMs', 'revision'].every(name => isNumber(value[name])) &&
    (value['state'] === ServerState.Ready || value['state'] === ServerState.Draining)
}

function isChange (value: unknown): value is ListedChange {
  if (!isTable(value)) return false
  if (value['kind'] === 'written') return isServer(value['server'])
  return value['kind'] === 'removed' && typeof value['serverId'] === 'string' && isNumber(value['revision'])
}

function isFingerprint (value: unknown): value is SuspectFingerprint {
  return isTable(value) && typeof value['serviceName'] === 'string' && typeof value['routeName'] === 'string' &&
    isNumber(value['bodyHash'])
}

function isListOf<T> (value: unknown, isElement: (element: unknown) => element is T): value is T[] {
  return Array.isArray(value) && value.every(isElement)
}

function isProper (method: string, params: Table): boolean {
  switch (method) {
    case 'published':
      return ['revision', 'afterRevision', 'ageMs', 'configurationVersion'].every(name => isNumber(params[name])) &&
        isListOf(params['changes'], isChange)
    case 'want': return typeof params['list'] === 'boolean' && typeof params['configuration'] === 'boolean'
    case 'snapshot':
      return isNumber(params['revision']) && isNumber(params['ageMs']) && isListOf(params['servers'], isServer)
    case 'configuration': return typeof params['text'] === 'string'
    case 'leaving': return true
    case 'crash_suspects': return isListOf(params['fingerprints'], isFingerprint)
    default: return false
  }
}

/**
 * Reads a notice of another node. It is checked like any other input.
 *
 * @example
 * decodeNotice(encodeNotice({ method: 'leaving' })) // Right({ method: 'leaving' })
 *
 * Errors: text that is no notification, an unknown method or wrong parameters.
 */
export function decodeNotice (text: string): Either<string, Notice> {
  let message: unknown
  try {
    message = JSON.parse(text)
  } catch {
    return Left('no JSON')
  }
  if (!isTable(message) || typeof message['method'] !== 'string') return Left('no notification')
  const params = message['params'] ?? {}
  if (!isTable(params) || !isProper(message['method'], params)) return Left(`wrong ${message['method']}`)
  return Right({ ...params, method: message['method'] } as unknown as Notice)
}
