import { connect, type Socket } from 'node:net'
import type { Clock, Millis } from '../clock/clock.js'
import { MessageParser, type MessageHead } from './messageParser.js'
import { keepAliveSeconds } from './messageText.js'

/** Larger heads are no answer of a proper backend server. */
const ANSWER_HEAD_MAX_BYTES = 65_536
/** Margin below the idle time that the other side states, for a request on its way while it closes. */
const KEEP_ALIVE_MARGIN_MS: Millis = 1_000

/** What became of a request on a connection. */
export type ExchangeResult =
  | { readonly kind: 'answered', readonly head: MessageHead, readonly body: Buffer, readonly tookMs: Millis }
  /** No byte of the request was written. */
  | { readonly kind: 'not_sent', readonly reason: string }
  /** The request was written and no whole answer came; it may have run. */
  | { readonly kind: 'broken', readonly reason: string, readonly onReused: boolean, readonly answerBegan: boolean }

export interface ExchangeRequest {
  /** The whole request. */
  readonly bytes: Buffer
  readonly isHead: boolean
  /** Whether an answer belongs to this request. One that does not is skipped, and the next one awaited. */
  readonly isOwnAnswer: (head: MessageHead) => boolean
  readonly onResult: (result: ExchangeResult) => void
  /** Prefers a connection that was opened or used very lately, for requests that must not be sent twice. */
  readonly needsFreshConnection: boolean
}

export interface ExchangePoolOptions {
  readonly host: string
  readonly port: number
  readonly clock: Clock
  readonly connectTimeoutMs: Millis
  /** Idle time after which a connection is closed when the other side states none. */
  readonly idleMaxMs: Millis
  readonly answerMaxBytes: number
  readonly connectionsMaxCount: () => number
}

/** Ends an exchange early; its connection is closed, which tells the other side to stop. */
export interface Exchange {
  cancel (): void
}

class PoolConnection implements Exchange {
  readonly #pool: ExchangePool
  readonly #socket: Socket
  readonly #parser: MessageParser
  #request: ExchangeRequest | null = null
  #startedAtMs: Millis = 0
  #head: MessageHead | null = null
  #isSkipping = false
  #hasSkipped = false
  #chunks: Buffer[] = []
  #bodyBytes = 0
  #usesCount = 0
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
      if (this.#request !== null) this.#write()
      else {
        this.idleSinceMs = pool.options.clock.monotonicMs()
        pool.keep(this)
      }
      this.#probed(true)
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
    this.#usesCount += 1
    if (this.#isOpen) this.#write()
  }

  cancel (): void {
    this.#request = null
    this.close()
  }

  close (): void {
    this.#fail('closed')
    this.#socket.destroy()
  }

  #probed (isOpen: boolean): void {
    const onProbed = this.#onProbed
    this.#onProbed = null
    onProbed?.(isOpen)
  }

  #write (): void {
    if (this.#request !== null) this.#socket.write(this.#request.bytes)
  }

  #onData (chunk: Buffer): void {
    if (this.#request === null) {
      // Bytes that nobody asked for make what follows on the connection doubtful.
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
    this.#isSkipping = isInterim || !request.isOwnAnswer(head)
    if (this.#isSkipping) this.#hasSkipped ||= !isInterim
    else this.#head = head
    this.#chunks = []
    this.#bodyBytes = 0
    return request.isHead
  }

  #onBody (chunk: Buffer): void {
    if (this.#isSkipping || this.#request === null) return
    this.#bodyBytes += chunk.length
    if (this.#bodyBytes > this.#pool.options.answerMaxBytes) this.#fail('answer too large')
    else this.#chunks.push(chunk)
  }

  #onEnd (restBytes: number): void {
    const request = this.#request
    const head = this.#head
    if (this.#isSkipping) {
      this.#isSkipping = false
      return
    }
    if (request === null || head === null) return
    const nowMs = this.#pool.options.clock.monotonicMs()
    this.#request = null
    this.#head = null
    const body = this.#chunks.length === 1 ? this.#chunks[0]! : Buffer.concat(this.#chunks)
    this.#chunks = []
    const seconds = keepAliveSeconds(head)
    if (seconds !== undefined) this.idleMaxMs = Math.max(0, seconds * 1000 - KEEP_ALIVE_MARGIN_MS)
    // An answer that overtakes the request's body leaves the rest of the body due on the connection.
    const isReusable = head.keepAlive && head.hasLength && restBytes === 0 && !this.#hasSkipped &&
      this.#socket.writableLength === 0 && !this.#isClosed
    if (isReusable) {
      this.idleSinceMs = nowMs
      this.#pool.keep(this)
    } else {
      this.#isClosed = true
      this.#pool.drop(this)
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
    this.#pool.drop(this)
    this.#socket.destroy()
    if (!this.#isOpen) this.#probed(false)
    if (request === null) return
    if (!this.#isOpen) request.onResult({ kind: 'not_sent', reason })
    else {
      request.onResult({ kind: 'broken', reason, onReused: this.#usesCount > 1, answerBegan: this.#head !== null })
    }
  }
}

/**
 * HTTP/1.1 connections to one place, one request on each at a time, the most
 * recently used first. A connection on which anything went wrong is closed.
 *
 * @example
 * const pool = new ExchangePool({ host: '127.0.0.1', port: 8301, clock, ...bounds })
 * pool.send({ bytes, isHead: false, isOwnAnswer: () => true, onResult, needsFreshConnection: false })
 */
export class ExchangePool {
  readonly options: ExchangePoolOptions
  readonly #idle: PoolConnection[] = []
  readonly #connections = new Set<PoolConnection>()

  constructor (options: ExchangePoolOptions) {
    this.options = options
  }

  get connectionsCount (): number {
    return this.#connections.size
  }

  /** Sends a request, or returns undefined when no connection may be opened for it. */
  send (request: ExchangeRequest): Exchange | undefined {
    const connection = this.#takeIdle() ?? this.#open()
    connection?.start(request)
    return connection
  }

  /** Opens a connection that the next request can use, and tells whether that was possible. */
  probe (onResult: (isOpen: boolean) => void): void {
    const connection = this.#open(onResult)
    if (connection === undefined) onResult(true)
  }

  /** Closes connections that have been idle for as long as they may. */
  sweep (): void {
    const nowMs = this.options.clock.monotonicMs()
    while (this.#idle.length > 0 && this.#isStale(this.#idle[0]!, nowMs)) this.#idle[0]!.close()
  }

  closeAll (): void {
    for (const connection of this.#connections) connection.close()
  }

  keep (connection: PoolConnection): void {
    this.#idle.push(connection)
  }

  drop (connection: PoolConnection): void {
    this.#connections.delete(connection)
    const at = this.#idle.indexOf(connection)
    if (at >= 0) this.#idle.splice(at, 1)
  }

  #isStale (connection: PoolConnection, nowMs: Millis): boolean {
    return nowMs - connection.idleSinceMs >= connection.idleMaxMs
  }

  #takeIdle (): PoolConnection | undefined {
    const nowMs = this.options.clock.monotonicMs()
    for (;;) {
      const connection = this.#idle.pop()
      if (connection === undefined || !this.#isStale(connection, nowMs)) return connection
      connection.close()
    }
  }

  #open (onProbed: ((isOpen: boolean) => void) | null = null): PoolConnection | undefined {
    if (this.#connections.size >= this.options.connectionsMaxCount()) return undefined
    const connection = new PoolConnection(this, onProbed)
    this.#connections.add(connection)
    return connection
  }
}
