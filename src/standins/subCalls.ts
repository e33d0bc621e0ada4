import type { IncomingHttpHeaders } from 'node:http'
import { Pool } from 'undici'
import { checkAnswer } from './answerText.js'
import type { SubCall } from './backendTypes.js'

const MAX_CONNECTIONS_COUNT = 1024
/** Headers that are not copied from the parent call, because each call sets its own. */
const UNCOPIED_HEADERS = new Set(['ragwortspur-caller', 'ragwortspur-service', 'ragwortspur-deadline-ms', 'ragwortspur-attempt'])

/** The call on whose behalf sub-calls are made. */
export interface ParentCall {
  readonly rootId: string
  readonly key: string | undefined
  readonly headers: IncomingHttpHeaders
  readonly remainingMs: number | undefined
  readonly signal: AbortSignal
}

/**
 * Headers of a sub-call: the `ragwortspur-*` headers of the parent call, the
 * calling service, and an idempotency key derived from that of the parent call.
 *
 * @example
 * subCallHeaders('delivery-booking', { service: 'invoicing', method: 'POST', path: '/invoices' }, parent)
 */
export function subCallHeaders (callerService: string, call: SubCall, parent: ParentCall): Record<string, string> {
  const headers: Record<string, string> = {}
  for (const [name, value] of Object.entries(parent.headers)) {
    if (name.startsWith('ragwortspur-') && !UNCOPIED_HEADERS.has(name)) headers[name] = String(value)
  }
  headers['ragwortspur-caller'] = callerService
  headers['ragwortspur-service'] = call.service
  headers['ragwortspur-attempt'] = '1'
  if (parent.remainingMs !== undefined) {
    headers['ragwortspur-deadline-ms'] = String(Math.max(1, Math.floor(parent.remainingMs)))
  }
  if (parent.key !== undefined) headers['idempotency-key'] = `${parent.key}:${call.service}`
  return headers
}

/** Sends the sub-calls of one backend server through the node on its VM. */
export class SubCallClient {
  readonly #pool: Pool
  readonly #callerService: string

  constructor (nodeAddress: string, callerService: string) {
    this.#pool = new Pool(`http://${nodeAddress}`, { connections: MAX_CONNECTIONS_COUNT, pipelining: 1 })
    this.#callerService = callerService
  }

  /** Makes one sub-call and returns whether it got a complete answer that belongs to it. */
  async call (call: SubCall, parent: ParentCall): Promise<boolean> {
    try {
      const headers = subCallHeaders(this.#callerService, call, parent)
      const body = call.method === 'GET' ? null : JSON.stringify({ root: parent.rootId })
      const { statusCode, body: answer } = await this.#pool.request({
        method: call.method, path: call.path, headers, body, signal: parent.signal
      })
      const text = await answer.text()
      return statusCode === 200 && checkAnswer(text, parent.rootId, call.service).kind === 'own'
    } catch {
      return false
    }
  }

  async close (): Promise<void> {
    await this.#pool.destroy()
  }
}
