import { Left, Right, type Either } from 'purify-ts'
import type { AllotmentAnswer, AllotmentReport, AllotmentSums } from '../core/allotment/allotmentTypes.js'
import { ServerState, type ListedChange, type ListedServer } from '../core/discovery/discoveryTypes.js'
import type { QuarantineHint } from './crashGuard.js'
import type { Millis } from '../clock/clock.js'

/** Messages between nodes besides calls, sent as JSON-RPC 2.0 notifications. */
export type Notice =
  /** What the sender has read from the store. */
  | {
    readonly method: 'published'
    /** Era of the store that the revisions are from. */
    readonly era: number
    /** `changes` are complete from this revision on; a receiver whose list is older requests a snapshot. */
    readonly afterRevision: number
    /** Revision of the sender's list. */
    readonly revision: number
    /** Time since the sender's data was read from the store. */
    readonly ageMs: Millis
    readonly configurationVersion: number
    readonly changes: readonly ListedChange[]
  }
  /** Requests the changes of the server list after `afterRevision`, or the configuration, or both. */
  | {
    readonly method: 'want'
    readonly list: boolean
    readonly era: number
    readonly afterRevision: number
    readonly configuration: boolean
  }
  /** The full server list. */
  | {
    readonly method: 'snapshot'
    readonly era: number
    readonly revision: number
    readonly ageMs: Millis
    readonly servers: readonly ListedServer[]
  }
  /** Asks for the age of the receiver's proof that its configuration is the newest. */
  | { readonly method: 'prove', readonly stampMs: Millis }
  /** Answers `prove`: the age of the sender's proof, and up to where in the store its configuration is complete. */
  | {
    readonly method: 'proof'
    readonly stampMs: Millis
    readonly ageMs: Millis
    readonly configurationVersion: number
    readonly era: number
    readonly revision: number
  }
  /** The configuration in force, as stored. */
  | { readonly method: 'configuration', readonly text: string }
  /** The process of the node at this address is stopping. */
  | { readonly method: 'leaving', readonly ip: string }
  /** The process of the node at this address has started and accepts work. */
  | { readonly method: 'started', readonly ip: string }
  /** These requests were running when a backend server crashed. */
  | { readonly method: 'crash_suspects', readonly fingerprints: readonly SuspectFingerprint[] }

  /** These requests are quarantined, because they crashed backend servers. */
  | { readonly method: 'quarantined', readonly hints: readonly QuarantineHint[] }
  | AllotmentNotice

/** Messages that keep workspaces within their limits; see docs/design/allotments.md. */
export type AllotmentNotice =
  | { readonly method: 'allotment_report' } & AllotmentReport
  | { readonly method: 'allotment_answer' } & AllotmentAnswer
  | { readonly method: 'allotment_sums' } & AllotmentSums

export interface SuspectFingerprint {
  readonly serviceName: string
  readonly routeName: string
  readonly bodyHash: number
}

/** Encodes a notice as JSON-RPC text. */
export function encodeNotice (notice: Notice): string {
  const { method, ...params } = notice
  return JSON.stringify({ jsonrpc: '2.0', method, params })
}

type JsonObject = Readonly<Record<string, unknown>>

function isObject (value: unknown): value is JsonObject {
  return typeof value === 'object' && value !== null && !Array.isArray(value)
}

function isNumber (value: unknown): value is number {
  return typeof value === 'number' && Number.isFinite(value)
}

function isListedServer (value: unknown): value is ListedServer {
  return isObject(value) && ['serverId', 'serviceName', 'dataCentre', 'softwareVersion', 'ip']
    .every(name => typeof value[name] === 'string') &&
    ['slotsCount', 'port', 'warmingMs', 'startedAtWallMs', 'sequence', 'revision'].every(name => isNumber(value[name])) &&
    (value['state'] === ServerState.Ready || value['state'] === ServerState.Draining)
}

function isListedChange (value: unknown): value is ListedChange {
  if (!isObject(value)) return false
  if (value['kind'] === 'written') return isListedServer(value['server'])
  return value['kind'] === 'removed' && typeof value['serverId'] === 'string' && isNumber(value['revision'])
}

function isFingerprint (value: unknown): value is SuspectFingerprint {
  return isObject(value) && typeof value['serviceName'] === 'string' && typeof value['routeName'] === 'string' &&
    isNumber(value['bodyHash'])
}

function isQuarantineHint (value: unknown): value is QuarantineHint {
  return isFingerprint(value) && isNumber((value as unknown as JsonObject)['forMs'])
}

function isListOf<T> (value: unknown, isElement: (element: unknown) => element is T): value is T[] {
  return Array.isArray(value) && value.every(isElement)
}

/** Whether a value is a list of tuples of a name and numbers. */
function isListOfNamedNumbers (value: unknown, numbersCount: number): boolean {
  return Array.isArray(value) && value.every(entry => {
    return Array.isArray(entry) && entry.length === numbersCount + 1 && typeof entry[0] === 'string' &&
      entry.slice(1).every(isNumber)
  })
}

function hasValidParams (method: string, params: JsonObject): boolean {
  switch (method) {
    case 'published':
      return ['era', 'revision', 'afterRevision', 'ageMs', 'configurationVersion'].every(name => isNumber(params[name])) &&
        isListOf(params['changes'], isListedChange)
    case 'want':
      return typeof params['list'] === 'boolean' && typeof params['configuration'] === 'boolean' &&
        isNumber(params['era']) && isNumber(params['afterRevision'])
    case 'snapshot':
      return ['era', 'revision', 'ageMs'].every(name => isNumber(params[name])) && isListOf(params['servers'], isListedServer)
    case 'prove': return isNumber(params['stampMs'])
    case 'proof':
      return ['stampMs', 'ageMs', 'configurationVersion', 'era', 'revision'].every(name => isNumber(params[name]))
    case 'configuration': return typeof params['text'] === 'string'
    case 'leaving':
    case 'started': return typeof params['ip'] === 'string'
    case 'crash_suspects': return isListOf(params['fingerprints'], isFingerprint)
    case 'quarantined': return isListOf(params['hints'], isQuarantineHint)
    case 'allotment_report': return isListOfNamedNumbers(params['counts'], 2)
    case 'allotment_answer': return isListOfNamedNumbers(params['limited'], 2)
    case 'allotment_sums':
      return typeof params['dataCentre'] === 'string' && isNumber(params['nodesCount']) &&
        isListOfNamedNumbers(params['counts'], 2) && isListOfNamedNumbers(params['levels'], 1)
    default: return false
  }
}

/**
 * Decodes and validates a notice of another node.
 *
 * @example
 * decodeNotice(encodeNotice({ method: 'leaving', ip: '10.1.0.8' })) // Right({ method: 'leaving', ip: '10.1.0.8' })
 *
 * Errors: text that is not a JSON-RPC notification, an unknown method or invalid parameters.
 */
export function decodeNotice (text: string): Either<string, Notice> {
  let message: unknown
  try {
    message = JSON.parse(text)
  } catch {
    return Left('not valid JSON')
  }
  if (!isObject(message) || typeof message['method'] !== 'string') return Left('not a JSON-RPC notification')
  const params = message['params'] ?? {}
  if (!isObject(params) || !hasValidParams(message['method'], params)) return Left(`unknown method or invalid parameters: ${message['method']}`)
  return Right({ ...params, method: message['method'] } as unknown as Notice)
}
