import type { IncomingHttpHeaders } from 'node:http'
import type { Dispatcher } from 'undici'
import type { Millis } from '../clock/clock.js'
import { Reason } from '../core/coreTypes.js'
import { BodyBuffer } from '../http/bodyBuffer.js'
import type { PoolConnection } from './poolConnection.js'
import type { PoolAnswer, PoolBounds, PoolFailureReason, PoolRequest } from './poolTypes.js'

const CALL_HEADER = 'ragwortspur-call'
const FINAL_STATUS_MIN = 200
const STATUS_MAX = 599
/**
 * Pieces of a body that are read in one turn of the event loop, so that very many small ones do not hold up others.
 * undici copies all unread bytes at each pause, so pauses have to be rare.
 */
const PIECES_PER_TURN_MAX = 8_192

/** The pool of a call, which is told how the call ended. */
export interface CallOwner {
  onAnswered (call: PoolCall, answer: Omit<PoolAnswer, 'kind' | 'tookMs'>, reusable: boolean): void
  onFailed (call: PoolCall, reason: PoolFailureReason): void
  onPiece (call: PoolCall, bytes: number): void
  /** The connection closed before a byte of the request was written. */
  onUnsent (call: PoolCall, error: Error): void
}

/** One request in flight: collects the answer and checks that it is complete and belongs to the request. */
export class PoolCall implements Dispatcher.DispatchHandler {
  readonly request: PoolRequest
  readonly startedAtMs: Millis
  readonly isProbe: boolean
  connection: PoolConnection | null = null
  bytesSent = false
  resendsCount = 0
  hasEnded = false
  readonly #owner: CallOwner
  readonly #answerMaxBytes: number
  readonly #identifiesAnswers: boolean
  #status = 0
  #headers: IncomingHttpHeaders = {}
  readonly #body = new BodyBuffer()
  #piecesCount = 0

  constructor (
    request: PoolRequest, owner: CallOwner, bounds: Pick<PoolBounds, 'answerMaxBytes' | 'identifiesAnswers'>,
    startedMs: Millis, isProbe: boolean
  ) {
    this.request = request
    this.#owner = owner
    this.#answerMaxBytes = bounds.answerMaxBytes
    this.#identifiesAnswers = bounds.identifiesAnswers
    this.startedAtMs = startedMs
    this.isProbe = isProbe
  }

  /** Sends the call on a connection. */
  dispatchOn (connection: PoolConnection): void {
    this.connection = connection
    const { method, path, headers, body } = this.request
    connection.dispatch({ method, path, headers, body }, this)
  }

  /** Called by undici in the same synchronous step as the write of the request head. */
  onRequestStart (): void {
    this.bytesSent = true
  }

  onResponseStart (_controller: Dispatcher.DispatchController, status: number, headers: IncomingHttpHeaders): void {
    if (this.hasEnded || isInterim(status, headers)) return
    this.#status = status
    this.#headers = headers
    if (status < FINAL_STATUS_MIN || status > STATUS_MAX) this.#fail(Reason.AnswerMalformed)
    else if (this.#isCrossed(headers[CALL_HEADER])) this.#fail(Reason.AnswerCrossed)
    else if (!this.#isSelfDelimited()) this.#fail(Reason.AnswerTruncated)
    else if (Number(headers['content-length'] ?? 0) > this.#answerMaxBytes && this.request.method !== 'HEAD') {
      this.#fail(Reason.BodyTooLarge)
    }
  }

  /**
   * Whether an answer belongs to another request. One that names no request belongs to this one only if no answer on
   * its connection named any: it may otherwise be an earlier refusal that the server has written once more.
   */
  #isCrossed (echo: string | string[] | undefined): boolean {
    if (echo === undefined) return !this.isProbe && this.connection?.identifiesAnswers === true
    if (this.connection !== null && this.#identifiesAnswers) this.connection.identifiesAnswers = true
    return echo !== this.request.headers[CALL_HEADER]
  }

  onResponseData (controller: Dispatcher.DispatchController, chunk: Buffer): void {
    if (this.hasEnded) return
    if (this.#body.lengthBytes + chunk.length > this.#answerMaxBytes) {
      this.#fail(Reason.BodyTooLarge)
      return
    }
    this.#body.append(chunk)
    this.#owner.onPiece(this, chunk.length)
    this.#piecesCount += 1
    if (this.#piecesCount % PIECES_PER_TURN_MAX !== 0) return
    controller.pause()
    setImmediate(() => controller.resume())
  }

  onResponseEnd (): void {
    if (this.hasEnded) return
    const { headers, setCookies } = flattenHeaders(this.#headers)
    const reusable = this.request.method !== 'HEAD' && !/\bclose\b/i.test(headers.connection ?? '')
    const body = this.#body.take()
    this.#owner.onAnswered(this, { status: this.#status, headers, setCookies, body }, reusable)
  }

  onResponseError (_controller: Dispatcher.DispatchController, error: Error): void {
    if (this.hasEnded) return
    if (!this.bytesSent) this.#owner.onUnsent(this, error)
    else this.#fail(this.#status === 0 ? Reason.ConnectionLost : Reason.AnswerTruncated)
  }

  #fail (reason: PoolFailureReason): void {
    this.#owner.onFailed(this, reason)
  }

  /** Whether framing marks the end of the answer; one that ends with its connection may have been truncated. */
  #isSelfDelimited (): boolean {
    if (this.request.method === 'HEAD' || this.#status === 204 || this.#status === 304) return true
    const encoding = this.#headers['transfer-encoding']
    if (encoding === undefined) return this.#headers['content-length'] !== undefined
    // undici decodes nothing else, not even with a tab behind it, and then ends the body with the connection.
    return /^chunked *$/i.test(String(encoding))
  }
}

/** Whether a head is followed by that of the final answer. An interim answer has no body. */
function isInterim (status: number, headers: IncomingHttpHeaders): boolean {
  return status >= 100 && status < FINAL_STATUS_MIN && headers['content-length'] === undefined &&
    headers['transfer-encoding'] === undefined
}

function flattenHeaders (
  received: IncomingHttpHeaders
): { headers: Record<string, string>, setCookies: readonly string[] } {
  const headers: Record<string, string> = {}
  let setCookies: readonly string[] = []
  for (const name in received) {
    const value = received[name]
    if (name === 'set-cookie') setCookies = Array.isArray(value) ? value : [String(value)]
    else if (value !== undefined) headers[name] = Array.isArray(value) ? value.join(', ') : value
  }
  return { headers, setCookies }
}
