import type { ServerResponse } from 'node:http'
import { Outcome } from '../core/coreTypes.js'
import type { Reason } from '../core/coreTypes.js'
import { httpStatusOf } from '../core/nodeCore/statusCodes.js'
import type { Answer } from '../core/nodeCore/nodeCoreTypes.js'

/** Hop-by-hop and framing headers, which are not passed on with an answer. */
const CONNECTION_HEADERS = new Set(['connection', 'keep-alive', 'transfer-encoding', 'content-length', 'trailer'])

/** The response to one open request; at most one answer is sent. */
export class Reply {
  readonly #response: ServerResponse
  onCallerGone: () => void = () => {}
  #ended = false
  readonly #onWritten: (bytes: number) => void

  /** `onWritten` is called with the size of the answer's body after the answer was written. */
  constructor (response: ServerResponse, onWritten: (bytes: number) => void = () => {}) {
    this.#response = response
    this.#onWritten = onWritten
    response.on('close', () => {
      if (!this.#ended) this.onCallerGone()
      this.#ended = true
    })
  }

  /** Sends an answer; later calls do nothing. */
  send (answer: Answer): void {
    if (this.#ended) return
    this.#ended = true
    this.#response.writeHead(answer.status, responseHeaders(answer, this.#response.req.method === 'HEAD'))
    this.#response.end(answer.body)
    this.#onWritten(answer.body.byteLength)
  }

  /** Sends an answer and closes the connection. */
  sendAndClose (answer: Answer): void {
    this.#response.shouldKeepAlive = false
    this.send(answer)
  }

  /** Sends an answer and keeps the connection open until `end` or `closeWithoutAnswer`. */
  sendWithoutEnding (answer: Answer): void {
    if (this.#ended) return
    this.#ended = true
    this.#response.shouldKeepAlive = false
    this.#response.writeHead(answer.status, responseHeaders(answer, false))
    this.#response.write(answer.body)
  }

  /** Ends an answer that was sent with `sendWithoutEnding`. */
  end (): void {
    this.#response.end()
  }

  /** Closes the connection without an answer. */
  closeWithoutAnswer (): void {
    this.#ended = true
    this.#response.destroy()
  }
}

function responseHeaders (answer: Answer, isHead: boolean): Record<string, string | number | string[]> {
  const headers: Record<string, string | number | string[]> = {}
  for (const name in answer.headers) {
    if (!CONNECTION_HEADERS.has(name)) headers[name] = answer.headers[name]!
  }
  if (answer.setCookies !== undefined) headers['set-cookie'] = [...answer.setCookies]
  const length = contentLengthOf(answer, isHead)
  if (length !== undefined) headers['content-length'] = length
  return headers
}

/** An answer to HEAD and a 304 have no body; their content length is that of the omitted body. */
function contentLengthOf (answer: Answer, isHead: boolean): string | number | undefined {
  if (answer.status === 204) return undefined
  if (answer.status === 304 || (isHead && answer.body.byteLength === 0)) return answer.headers['content-length']
  return answer.body.byteLength
}

/**
 * Answer to a request that this node refuses before the core handles it.
 *
 * @example
 * refusalAnswer(Reason.BodyTooLarge).status // 413
 */
export function refusalAnswer (reason: Reason): Answer {
  const body = Buffer.from(JSON.stringify({ outcome: Outcome.NotRun, reason, limited_by: '' }))
  return {
    status: httpStatusOf(reason),
    headers: { 'content-type': 'application/json', 'ragwortspur-outcome': Outcome.NotRun, 'ragwortspur-reason': reason },
    body
  }
}

/**
 * The same answer as a complete HTTP response, for a socket on which no valid request was read.
 *
 * @example
 * socket.end(refusalResponseText(Reason.HeadTooLarge))
 */
export function refusalResponseText (reason: Reason): string {
  const { status, headers, body } = refusalAnswer(reason)
  const head = Object.entries({ ...headers, 'content-length': body.byteLength, connection: 'close' })
    .map(([name, value]) => `${name}: ${value}`).join('\r\n')
  return `HTTP/1.1 ${status} Refused\r\n${head}\r\n\r\n${Buffer.from(body).toString()}`
}
