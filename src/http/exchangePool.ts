import { connect, type Socket } from 'node:net'
import type { Clock, Millis } from '../clock/clock.js'
import { MessageParser, type MessageHead } from './messageParser.js'
import { keepAliveSeconds } from './messageText.js'

/** Largest accepted answer head; no correct backend server sends a larger one. */
const ANSWER_HEAD_MAX_BYTES = 65_536
/**
 * How much earlier than the server's keep-alive timeout an idle connection is
 * closed, so that no request is in flight when the server closes it.
 */
const KEEP_ALIVE_MARGIN_MS: Millis = 1_000

/** Result of a request on a connection. */
export type ExchangeResult =
  | { readonly kind: 'answered', readonly head: MessageHead, readonly body: Buffer, readonly tookMs: Millis }
  /** No byte of the request was written. */
  | { readonly kind: 'not_sent', readonly reason: string }
  /** The request was written but got no complete answer; it may have run. */
  | { readonly kind: 'broken', readonly reason: string, readonly onReused: boolean, readonly answerBegan: boolean }

export interface ExchangeRequest {
  /** The encoded request, head and body. */
  readonly bytes: Buffer
  readonly isHead: boolean
  /** Whether an answer belongs to this request. Any other answer is skipped, and the next one is awaited. */
  readonly isOwnAnswer: (head: MessageHead) => boolean
  readonly onResult: (result: ExchangeResult) => void
  /** Set for requests that must not be sent twice; the pool does not evaluate it yet. */
  readonly needsFreshConnection: boolean
}

export interface ExchangePoolOptions {
  readonly host: string
  readonly port: number
  readonly clock: Clock
  readonly connectTimeoutMs: Millis
  /** Idle time after which a connection is closed if the server announces no keep-alive timeout. */
  readonly idleMaxMs: Millis
  readonly answerMaxBytes: number
  readonly connectionsMaxCount: () => number
}

/** A request in flight. Cancelling it closes its connection, from which the server can tell that it may stop. */
export interface Exchange {
  cancel (): void
}

class ExchangeConnection implements Exchange {
  readonly #pool: ExchangePool
  readonly #socket: Socket
  readonly #parser: MessageParser
  #request: ExchangeRequest | null = null
  #startedAtMs: Millis = 0
  #head: MessageHead | null = null
  #isSkippingAnswer = false
  #hasSkippedAnswer = false
  #bodyChunks: Buffer[] = []
  #bodyBytes = 0
  #requestsCount = 0
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
    const error = this.#parser.read(chunk)
    if (error !== undefined) this.#fail('malformed answer')
  }

  #onHead (head: MessageHead): boolean {
    const request = this.#request
    if (request === null) return false
    const isInterim = head.statusCode < 200
    this.#isSkippingAnswer = isInterim || !request.isOwnAnswer(head)
    if (this.#isSkippingAnswer) this.#hasSkippedAnswer ||= !isInterim
    else this.#head = head
    this.#bodyChunks = []
    this.#bodyBytes = 0
    return request.isHead
  }

  #onBody (chunk: Buffer): void {
    if (this.#isSkippingAnswer || this.#request === null) return
    this.#bodyBytes += chunk.length
    if (this.#bodyBytes > this.#pool.options.answerMaxBytes) this.#fail('answer too large')
    else this.#bodyChunks.push(chunk)
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
    const body = this.#bodyChunks.length === 1 ? this.#bodyChunks[0]! : Buffer.concat(this.#bodyChunks)
    this.#bodyChunks = []
    const seconds = keepAliveSeconds(head)
    if (seconds !== undefined) this.idleMaxMs = Math.max(0, seconds * 1000 - KEEP_ALIVE_MARGIN_MS)
    // The connection is also not reusable if the answer arrived before the request body was completely written.
    const isReusable = head.keepAlive && head.hasLength && restBytes === 0 && !this.#hasSkippedAnswer &&
      this.#socket.writableLength === 0 && !this.#isClosed
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
    if (this.#request !== null && this.#head !== null && !this.#head.hasLength && this.#parser.finish() === undefined) {
      return
    }
    this.#fail('closed by peer')
  }

  #fail (reason: string): void {
    if (this.#isClosed) return
    this.#isClosed = true
    const request = this.#request
    this.#request = null
    this.#pool.removeConnection(this)
    this.#socket.destroy()
    if (!this.#isOpen) this.#reportProbe(false)
    if (request === null) return
    if (!this.#isOpen) request.onResult({ kind: 'not_sent', reason })
    else {
      request.onResult({ kind: 'broken', reason, onReused: this.#requestsCount > 1, answerBegan: this.#head !== null })
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
 * pool.send({ bytes, isHead: false, isOwnAnswer: () => true, onResult, needsFreshConnection: false })
 */
export class ExchangePool {
  readonly options: ExchangePoolOptions
  readonly #idleConnections: ExchangeConnection[] = []
  readonly #connections = new Set<ExchangeConnection>()

  constructor (options: ExchangePoolOptions) {
    this.options = options
  }

  get connectionsCount (): number {
    return this.#connections.size
  }

  /** Sends a request, or returns undefined when no connection may be opened for it. */
  send (request: ExchangeRequest): Exchange | undefined {
    const connection = this.#takeIdleConnection() ?? this.#openConnection()
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

  removeConnection (connection: ExchangeConnection): void {
    this.#connections.delete(connection)
    const at = this.#idleConnections.indexOf(connection)
    if (at >= 0) this.#idleConnections.splice(at, 1)
  }

  #isStale (connection: ExchangeConnection, nowMs: Millis): boolean {
    return nowMs - connection.idleSinceMs >= connection.idleMaxMs
  }

  #takeIdleConnection (): ExchangeConnection | undefined {
    const nowMs = this.options.clock.monotonicMs()
    for (;;) {
      const connection = this.#idleConnections.pop()
      if (connection === undefined || !this.#isStale(connection, nowMs)) return connection
      connection.close()
    }
  }

  #openConnection (onProbed: ((isOpen: boolean) => void) | null = null): ExchangeConnection | undefined {
    if (this.#connections.size >= this.options.connectionsMaxCount()) return undefined
    const connection = new ExchangeConnection(this, onProbed)
    this.#connections.add(connection)
    return connection
  }
}
