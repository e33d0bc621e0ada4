import { connect, type Socket } from 'node:net'
import type { Millis } from '../clock/clock.js'
import { hash32 } from '../core/hash.js'
import { BodyBuffer } from './bodyBuffer.js'
import {
  AnswerMatch, BrokenCause, type Exchange, type ExchangePoolOptions, type ExchangeRequest
} from './exchangeTypes.js'
import { MessageLimit, MessageLimitError } from './messageLimits.js'
import { MessageParser, type MessageHead } from './messageParser.js'
import { keepAliveSeconds } from './messageText.js'
import { PacedReader } from './pacedReader.js'

export * from './exchangeTypes.js'

/** Largest accepted answer head; no correct backend server sends a larger one. */
const ANSWER_HEAD_MAX_BYTES = 65_536
/** Interim answers and answers to other requests that are skipped before the answer to a request. */
const SKIPPED_ANSWERS_MAX_COUNT = 32
/**
 * How much earlier than the server's keep-alive timeout an idle connection is
 * closed, so that no request is in flight when the server closes it.
 */
const KEEP_ALIVE_MARGIN_MS: Millis = 1_000

/**
 * Refused requests that a connection remembers. It is closed above that, since a connection must not carry a refused
 * request again: the id would not tell a late copy of the refusal from the answer.
 */
const REFUSED_MAX_COUNT = 256

class ExchangeConnection implements Exchange {
  readonly #pool: ExchangePool
  readonly #socket: Socket
  readonly #parser: MessageParser
  readonly #reader: PacedReader
  readonly #body = new BodyBuffer()
  #request: ExchangeRequest | null = null
  #startedAtMs: Millis = 0
  #head: MessageHead | null = null
  #isSkippingAnswer = false
  #hasSkippedAnswer = false
  #skippedAnswersCount = 0
  #skippedBytes = 0
  #requestsCount = 0
  /** Hashes of the ids of requests that got no success on this connection. */
  readonly #refusedIds = new Set<number>()
  #onProbed: ((isOpen: boolean) => void) | null
  #isOpen = false
  #isClosed = false
  idleSinceMs: Millis = 0
  idleMaxMs: Millis

  constructor (pool: ExchangePool, onProbed: ((isOpen: boolean) => void) | null) {
    this.#pool = pool
    this.#onProbed = onProbed
    this.idleMaxMs = pool.options.idleMaxMs
    const { host, port, connectTimeoutMs } = pool.options
    this.#parser = new MessageParser('RESPONSE', {
      onHead: head => this.#onHead(head),
      onBody: chunk => this.#onBody(chunk),
      onEnd: restBytes => this.#onEnd(restBytes)
    }, ANSWER_HEAD_MAX_BYTES)
    this.#socket = connect({ host, port, noDelay: true })
    this.#reader = new PacedReader(this.#socket, this.#parser, error => this.#onMalformed(error))
    const timer = setTimeout(() => this.#fail('connect timed out'), connectTimeoutMs)
    this.#socket.on('connect', () => {
      clearTimeout(timer)
      this.#isOpen = true
      if (this.#request !== null) this.#writeRequest()
      else {
        this.idleSinceMs = pool.options.clock.monotonicMs()
        pool.addIdle(this)
      }
      this.#reportProbe(true)
    })
    this.#socket.on('data', (chunk: Buffer) => this.#onData(chunk))
    this.#socket.on('end', () => this.#onFin())
    this.#socket.on('error', (error: NodeJS.ErrnoException) => this.#fail(error.code ?? 'error'))
    this.#socket.on('close', () => {
      clearTimeout(timer)
      this.#fail('closed')
    })
  }

  start (request: ExchangeRequest): void {
    this.#request = request
    this.#startedAtMs = this.#pool.options.clock.monotonicMs()
    this.#requestsCount += 1
    this.#skippedAnswersCount = 0
    this.#skippedBytes = 0
    if (this.#isOpen) this.#writeRequest()
  }

  cancel (): void {
    this.#request = null
    this.close()
  }

  close (): void {
    this.#fail('closed')
    this.#socket.destroy()
  }

  #reportProbe (isOpen: boolean): void {
    const onProbed = this.#onProbed
    this.#onProbed = null
    onProbed?.(isOpen)
  }

  #writeRequest (): void {
    if (this.#request !== null) this.#socket.write(this.#request.bytes)
  }

  #onData (chunk: Buffer): void {
    if (this.#request === null) {
      // After unsolicited bytes, later answers can no longer be matched to their requests.
      this.close()
      return
    }
    this.#reader.read(chunk)
  }

  #onMalformed (error: Error): void {
    if (error instanceof MessageLimitError) this.failByLimit(error.limit, error.message)
    else this.#fail('malformed answer', BrokenCause.Malformed)
  }

  /** Ends the connection because the server sent more than a limit allows. */
  failByLimit (limit: MessageLimit, reason = `${limit} above the limit`): void {
    if (this.#isClosed) return
    this.#pool.options.onLimitExceeded(limit)
    this.#fail(reason, BrokenCause.LimitExceeded)
  }

  /** Bytes of the answer's body that were received so far. */
  get bodyBytes (): number {
    return this.#body.lengthBytes
  }

  #onHead (head: MessageHead): boolean {
    const request = this.#request
    if (request === null) return false
    if (head.statusCode < 200) this.#skipAnswer()
    else this.#matchAnswer(request, head)
    return request.isHead
  }

  #matchAnswer (request: ExchangeRequest, head: MessageHead): void {
    const match = request.matchAnswer(head)
    if (match !== AnswerMatch.Own) this.#pool.options.onForeignAnswer(match)
    switch (match) {
      case AnswerMatch.Own:
        this.#isSkippingAnswer = false
        this.#head = head
        return
      case AnswerMatch.OtherRequest:
        this.#hasSkippedAnswer = true
        this.#skipAnswer()
        return
      case AnswerMatch.Unidentified:
        this.#isSkippingAnswer = false
        if (this.#requestsCount === 1 && !this.#hasSkippedAnswer) this.#head = head
        else this.#fail('answer names no request', BrokenCause.Malformed)
    }
  }

  #skipAnswer (): void {
    this.#isSkippingAnswer = true
    this.#skippedAnswersCount += 1
    if (this.#skippedAnswersCount > SKIPPED_ANSWERS_MAX_COUNT) this.failByLimit(MessageLimit.SkippedAnswers)
  }

  /** Whether a request with this id was sent on this connection and may be sent once more. */
  hasRefused (requestId: string): boolean {
    return this.#refusedIds.size > 0 && this.#refusedIds.has(hash32(requestId))
  }

  #onBody (chunk: Buffer): void {
    if (this.#request === null) return
    const { answerMaxBytes } = this.#pool.options
    if (this.#isSkippingAnswer) {
      this.#skippedBytes += chunk.length
      if (this.#skippedBytes > answerMaxBytes) this.failByLimit(MessageLimit.SkippedBytes)
    } else if (this.#body.lengthBytes + chunk.length > answerMaxBytes) this.failByLimit(MessageLimit.Body)
    else {
      this.#body.append(chunk)
      this.#pool.addBodyBytes(chunk.length)
    }
  }

  #onEnd (restBytes: number): void {
    const request = this.#request
    const head = this.#head
    if (this.#isSkippingAnswer) {
      this.#isSkippingAnswer = false
      return
    }
    if (request === null || head === null) return
    const nowMs = this.#pool.options.clock.monotonicMs()
    this.#request = null
    this.#head = null
    this.#pool.addBodyBytes(-this.#body.lengthBytes)
    const body = this.#body.take()
    const seconds = keepAliveSeconds(head)
    if (seconds !== undefined) this.idleMaxMs = Math.max(0, seconds * 1000 - KEEP_ALIVE_MARGIN_MS)
    if (request.requestId !== null && head.statusCode >= 300) this.#refusedIds.add(hash32(request.requestId))
    // The connection is also not reusable if the answer arrived before the request body was completely written.
    const isReusable = head.keepAlive && head.hasLength && restBytes === 0 && !this.#hasSkippedAnswer &&
      this.#socket.writableLength === 0 && this.#refusedIds.size <= REFUSED_MAX_COUNT && !this.#isClosed
    if (isReusable) {
      this.idleSinceMs = nowMs
      this.#pool.addIdle(this)
    } else {
      this.#isClosed = true
      this.#pool.removeConnection(this)
      this.#socket.destroy()
    }
    request.onResult({ kind: 'answered', head, body, tookMs: nowMs - this.#startedAtMs })
  }

  #onFin (): void {
    this.#reader.finish()
    if (this.#request !== null && this.#head !== null && !this.#head.hasLength && this.#parser.finish() === undefined) {
      return
    }
    this.#fail('closed by peer')
  }

  #fail (reason: string, cause = BrokenCause.ConnectionLost): void {
    if (this.#isClosed) return
    this.#isClosed = true
    this.#pool.addBodyBytes(-this.#body.lengthBytes)
    this.#body.clear()
    const request = this.#request
    this.#request = null
    this.#pool.removeConnection(this)
    this.#socket.destroy()
    if (!this.#isOpen) this.#reportProbe(false)
    if (request === null) return
    if (!this.#isOpen) request.onResult({ kind: 'not_sent', reason })
    else {
      const onReused = this.#requestsCount > 1
      request.onResult({ kind: 'broken', cause, reason, onReused, answerBegan: this.#head !== null })
    }
  }
}

/**
 * Pool of HTTP/1.1 connections to one address, with one request on each at a
 * time and the most recently used connection first. A connection is closed after
 * any error.
 *
 * @example
 * const pool = new ExchangePool({ host: '127.0.0.1', port: 8301, clock, ...bounds })
 * pool.send({ bytes, isHead: false, requestId: null, matchAnswer: () => AnswerMatch.Own, onResult })
 */
export class ExchangePool {
  readonly options: ExchangePoolOptions
  readonly #idleConnections: ExchangeConnection[] = []
  readonly #connections = new Set<ExchangeConnection>()
  #bodiesBytes = 0

  constructor (options: ExchangePoolOptions) {
    this.options = options
  }

  get connectionsCount (): number {
    return this.#connections.size
  }

  /**
   * Sends a request, or returns undefined when no connection may be opened for it. A request that is sent once more
   * goes over a connection that has not carried it, since a late copy of its refusal has the same id as its answer.
   */
  send (request: ExchangeRequest): Exchange | undefined {
    const connection = this.#takeIdleConnection(request.requestId) ?? this.#openConnection()
    connection?.start(request)
    return connection
  }

  /**
   * Opens a connection that the next request can use, and reports whether the
   * server accepted it. Reports true without a try when the pool is full.
   */
  probeConnect (onResult: (isOpen: boolean) => void): void {
    const connection = this.#openConnection(onResult)
    if (connection === undefined) onResult(true)
  }

  /** Closes connections whose idle time has passed. */
  closeStaleConnections (): void {
    const nowMs = this.options.clock.monotonicMs()
    while (
      this.#idleConnections.length > 0 && this.#isStale(this.#idleConnections[0]!, nowMs)
    ) this.#idleConnections[0]!.close()
  }

  closeAll (): void {
    for (const connection of this.#connections) connection.close()
  }

  addIdle (connection: ExchangeConnection): void {
    this.#idleConnections.push(connection)
  }

  /** Counts what connections hold of incomplete answers. Above the limit, the one that holds most is closed. */
  addBodyBytes (bytes: number): void {
    this.#bodiesBytes += bytes
    while (this.#bodiesBytes > this.options.answersMaxBytes) {
      const largest = [...this.#connections].reduce((most, other) => other.bodyBytes > most.bodyBytes ? other : most)
      largest.failByLimit(MessageLimit.Bodies)
    }
  }

  removeConnection (connection: ExchangeConnection): void {
    this.#connections.delete(connection)
    const at = this.#idleConnections.indexOf(connection)
    if (at >= 0) this.#idleConnections.splice(at, 1)
  }

  #isStale (connection: ExchangeConnection, nowMs: Millis): boolean {
    return nowMs - connection.idleSinceMs >= connection.idleMaxMs
  }

  #takeIdleConnection (requestId: string | null): ExchangeConnection | undefined {
    const nowMs = this.options.clock.monotonicMs()
    for (let at = this.#idleConnections.length - 1; at >= 0; at--) {
      const connection = this.#idleConnections[at]!
      if (this.#isStale(connection, nowMs)) connection.close()
      else if (requestId === null || !connection.hasRefused(requestId)) {
        this.#idleConnections.splice(at, 1)
        return connection
      }
    }
    // The idle connections that are left carried this request. One makes room for a new one.
    if (this.#connections.size >= this.options.connectionsMaxCount()) this.#idleConnections[0]?.close()
    return undefined
  }

  #openConnection (onProbed: ((isOpen: boolean) => void) | null = null): ExchangeConnection | undefined {
    if (this.#connections.size >= this.options.connectionsMaxCount()) return undefined
    const connection = new ExchangeConnection(this, onProbed)
    this.#connections.add(connection)
    return connection
  }
}
