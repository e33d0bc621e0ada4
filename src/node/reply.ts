import type { ServerResponse } from 'node:http'
import { Outcome } from '../core/coreTypes.js'
import type { Reason } from '../core/coreTypes.js'
import { httpStatusOf } from '../core/nodeCore/statusCodes.js'
import type { Answer } from '../core/nodeCore/nodeCoreTypes.js'

/** Headers of an answer that belong to the connection it came over. */
const CONNECTION_HEADERS = new Set(['connection', 'keep-alive', 'transfer-encoding', 'content-length', 'trailer'])

/** One open request. */
export class Reply {
  readonly #response: ServerResponse
  onGone: () => void = () => {}
  #ended = false

  constructor (response: ServerResponse) {
    this.#response = response
    response.on('close', () => {
      if (!this.#ended) this.onGone()
      this.#ended = true
    })
  }

  /** Sends a whole answer; later calls do nothing. */
  send (answer: Answer): void {
    if (this.#ended) return
    this.#ended = true
    this.#response.writeHead(answer.status, headersOf(answer, this.#response.req.method === 'HEAD'))
    this.#response.end(answer.body)
  }

  /** Sends a whole answer and closes the connection. */
  sendLast (answer: Answer): void {
    this.#response.shouldKeepAlive = false
    this.send(answer)
  }

  /** Sends a whole answer and keeps the connection until `end` or `drop`. */
  sendBeforeEnd (answer: Answer): void {
    if (this.#ended) return
    this.#ended = true
    this.#response.shouldKeepAlive = false
    this.#response.writeHead(answer.status, headersOf(answer, false))
    this.#response.write(answer.body)
  }

  /** Ends an answer that was sent with `sendBeforeEnd`. */
  end (): void {
    this.#response.end()
  }

  /** Closes the connection without an answer. */
  drop (): void {
    this.#ended = true
    this.#response.destroy()
  }
}

function headersOf (answer: Answer, isHead: boolean): Record<string, string | number | string[]> {
  const headers: Record<string, string | number | string[]> = {}
  for (const name in answer.headers) {
    if (!CONNECTION_HEADERS.has(name)) headers[name] = answer.headers[name]!
  }
  if (answer.setCookies !== undefined) headers['set-cookie'] = [...answer.setCookies]
  const length = lengthOf(answer, isHead)
  if (length !== undefined) headers['content-length'] = length
  return headers
}

/** A length without a body, as after HEAD and in a 304, is that of the answer which the sender left out. */
function lengthOf (answer: Answer, isHead: boolean): string | number | undefined {
  if (answer.status === 204) return undefined
  if (answer.status === 304 || (isHead && answer.body.byteLength === 0)) return answer.headers['content-length']
  return answer.body.byteLength
}

/**
 * Answer to a request that the shell itself refuses.
 *
 * @example
 * faultAnswer(Reason.BodyTooLarge).status // 413
 */
export function faultAnswer (reason: Reason): Answer {
  const body = Buffer.from(JSON.stringify({ outcome: Outcome.NotRun, reason, limited_by: '' }))
  return {
    status: httpStatusOf(reason),
    headers: { 'content-type': 'application/json', 'ragwortspur-outcome': Outcome.NotRun, 'ragwortspur-reason': reason },
    body
  }
}

/**
 * The same answer as the text of a whole response, for a sender without a readable request.
 *
 * @example
 * socket.end(faultText(Reason.HeadTooLarge))
 */
export function faultText (reason: Reason): string {
  const { status, headers, body } = faultAnswer(reason)
  const head = Object.entries({ ...headers, 'content-length': body.byteLength, connection: 'close' })
    .map(([name, value]) => `${name}: ${value}`).join('\r\n')
  return `HTTP/1.1 ${status} Refused\r\n${head}\r\n\r\n${Buffer.from(body).toString()}`
}
