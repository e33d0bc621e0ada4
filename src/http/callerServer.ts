import { createServer, type Server, type Socket } from 'node:net'
import type { Clock, Millis } from '../clock/clock.js'
import { BodyBuffer } from './bodyBuffer.js'
import { MessageLimit, MessageLimitError, type LimitListener } from './messageLimits.js'
import { MessageParser, type MessageHead } from './messageParser.js'
import { headerValue, joinMessage } from './messageText.js'
import { PacedReader } from './pacedReader.js'

const EMPTY_BODY = Buffer.alloc(0)
/** Interval of the checks for idle connections and slow senders. */
const TIMEOUT_CHECK_PERIOD_MS: Millis = 500
/**
 * How long a connection is kept after its last answer: closing it with unread
 * bytes can reset it before the answer arrives.
 */
const LINGER_MS: Millis = 500
/** Pipelined requests that may wait on one connection. Small, since the platform's callers do not pipeline. */
const PIPELINED_MAX_COUNT = 16
/** Largest declared length of a request body: a quarter of the memory of the smallest VM. */
const DECLARED_BODY_MAX_BYTES = 64 * 1024 * 1024
/** Limit on the bodies of all open requests together. */
const BODIES_MAX_BYTES = 96 * 1024 * 1024

/** Limits on what a caller may send; they may change while connections are open. */
export interface CallerBounds {
  readonly headMaxBytes: number
  readonly bodyMaxBytes: number
  readonly headTimeoutMs: Millis
  readonly idleTimeoutMs: Millis
}

export interface OutgoingAnswer {
  readonly statusCode: number
  readonly statusText: string
  /** Header lines, each ended by CRLF, without hop-by-hop and framing headers. */
  readonly headerText: string
  readonly body: Uint8Array
  /** False for an answer that ends only when its connection closes. */
  readonly hasLength: boolean
}

/** A request with its complete body that waits for its answer. */
export interface IncomingRequest {
  readonly head: MessageHead
  readonly body: Buffer
  /** When its head was complete; for a pipelined request, when the phase of its connection last changed. */
  readonly beganAtMs: Millis
  readonly remoteIp: string
  readonly connectionId: number
  /** Called once if the caller disconnects before the answer. */
  onCallerGone: (() => void) | null
  /** Sends the answer; ignored if the caller has disconnected or was answered. */
  answer (answer: OutgoingAnswer): void
  /** Closes the connection without an answer, so that a truncated answer cannot look complete. */
  closeWithoutAnswer (): void
}

export interface CallerServerOptions {
  readonly host: string
  readonly port: number
  readonly clock: Clock
  readonly connectionsMaxCount: number
  readonly bounds: () => CallerBounds
  readonly onRequest: (request: IncomingRequest) => void
  /** Creates the answer to a request that the server rejects, with the status code for the reason. */
  readonly errorAnswer: (statusCode: 400 | 408 | 413 | 431 | 503) => OutgoingAnswer
  readonly onLimitExceeded: LimitListener
}

type ConnectionPhase = 'idle' | 'head' | 'body' | 'waiting' | 'closing'

interface ParsedRequest {
  readonly head: MessageHead
  readonly body: Buffer
  readonly beganAtMs: Millis
}

/** One connection of a caller. Handles one request at a time and answers in the order of the requests. */
class CallerConnection {
  readonly #server: CallerServer
  readonly #socket: Socket
  readonly #reader: PacedReader
  readonly #body = new BodyBuffer()
  readonly #pipelinedRequests: ParsedRequest[] = []
  readonly id: number
  #phase: ConnectionPhase = 'idle'
  #phaseStartedAtMs: Millis
  #head: MessageHead | null = null
  /** Bytes in the bodies of this connection's open requests. */
  #heldBytes = 0
  #currentRequest: IncomingRequest | null = null
  #keepsAlive = true
  #isClosed = false

  constructor (server: CallerServer, socket: Socket, id: number, nowMs: Millis) {
    this.#server = server
    this.#socket = socket
    this.id = id
    this.#phaseStartedAtMs = nowMs
    const parser = new MessageParser('REQUEST', {
      onHead: head => this.#onHead(head),
      onBody: chunk => this.#onBody(chunk),
      onEnd: () => this.#onEnd()
    }, server.options.bounds().headMaxBytes)
    this.#reader = new PacedReader(socket, parser, error => this.#onMalformed(error))
    socket.on('data', (chunk: Buffer) => this.#onData(chunk))
    socket.on('end', () => this.#onCallerGone())
    socket.on('error', () => this.#onCallerGone())
    socket.on('close', () => this.#onClose())
  }

  get isIdle (): boolean {
    return this.#phase === 'idle' && this.#currentRequest === null
  }

  #enterPhase (phase: ConnectionPhase): void {
    this.#phase = phase
    this.#phaseStartedAtMs = this.#server.options.clock.monotonicMs()
  }

  #onData (chunk: Buffer): void {
    if (this.#phase === 'closing') return
    if (this.#phase === 'idle') this.#enterPhase('head')
    this.#reader.read(chunk)
  }

  #onMalformed (error: Error): void {
    if (!(error instanceof MessageLimitError)) this.#rejectRequest(400)
    else {
      const isFieldLimit = error.limit === MessageLimit.Head || error.limit === MessageLimit.Trailers
      this.#rejectByLimit(error.limit, isFieldLimit ? 431 : 400)
    }
  }

  #rejectByLimit (limit: MessageLimit, statusCode: 400 | 413 | 431 | 503): void {
    this.#server.options.onLimitExceeded(limit)
    this.#rejectRequest(statusCode)
  }

  /** Rejects the request that is being received, since the bodies of all requests together are above their limit. */
  rejectForMemory (): void {
    this.#rejectByLimit(MessageLimit.Bodies, 503)
  }

  /** Bytes of the body that is being received; its request has not been passed on. */
  get receivingBytes (): number {
    return this.#body.lengthBytes
  }

  #hold (bytes: number): void {
    this.#heldBytes += bytes
    this.#server.addHeldBytes(bytes)
  }

  #onHead (head: MessageHead): boolean {
    // Bytes after a rejected request may look like another one.
    if (this.#phase === 'closing') return false
    this.#head = head
    if (this.#phase !== 'waiting') this.#enterPhase('body')
    const lengthBytes = Number(headerValue(head.headers, 'content-length') ?? 0)
    if (lengthBytes > this.#server.options.bounds().bodyMaxBytes) this.#rejectByLimit(MessageLimit.Body, 413)
    else if (!this.#server.acceptsBodyLength(lengthBytes)) this.#rejectByLimit(MessageLimit.Bodies, 503)
    else if (headerValue(head.headers, 'expect')?.toLowerCase() === '100-continue') {
      this.#socket.write('HTTP/1.1 100 Continue\r\n\r\n')
    }
    return false
  }

  #onBody (chunk: Buffer): void {
    if (this.#phase === 'closing') return
    if (this.#body.lengthBytes + chunk.length > this.#server.options.bounds().bodyMaxBytes) {
      this.#rejectByLimit(MessageLimit.Body, 413)
      return
    }
    this.#body.append(chunk)
    this.#hold(chunk.length)
  }

  #onEnd (): void {
    const head = this.#head
    if (head === null || this.#phase === 'closing') return
    const body = this.#body.lengthBytes === 0 ? EMPTY_BODY : this.#body.take()
    const parsed = { head, body, beganAtMs: this.#phaseStartedAtMs }
    this.#head = null
    if (this.#currentRequest === null) this.#deliverRequest(parsed)
    else if (this.#pipelinedRequests.length < PIPELINED_MAX_COUNT) this.#pipelinedRequests.push(parsed)
    else this.#rejectRequest(400)
  }

  #deliverRequest ({ head, body, beganAtMs }: ParsedRequest): void {
    this.#enterPhase('waiting')
    this.#keepsAlive = head.keepAlive
    const request: IncomingRequest = {
      head,
      body,
      beganAtMs,
      remoteIp: this.#socket.remoteAddress ?? '',
      connectionId: this.id,
      onCallerGone: null,
      answer: answer => this.#answerRequest(request, answer),
      closeWithoutAnswer: () => {
        if (this.#currentRequest === request) this.#socket.destroy()
      }
    }
    this.#currentRequest = request
    this.#server.options.onRequest(request)
  }

  #answerRequest (request: IncomingRequest, answer: OutgoingAnswer): void {
    if (this.#currentRequest !== request || this.#isClosed) return
    this.#currentRequest = null
    this.#hold(-request.body.length)
    const keepsAlive = this.#keepsAlive && answer.hasLength && !this.#server.isStopping && this.#phase !== 'closing'
    this.#writeAnswer(answer, keepsAlive, request.head.method === 'HEAD')
    if (!keepsAlive) {
      this.#endConnection()
      return
    }
    this.#enterPhase('idle')
    const next = this.#pipelinedRequests.shift()
    if (next !== undefined) this.#deliverRequest(next)
    else if (this.#head !== null) this.#enterPhase('body')
  }

  #writeAnswer (answer: OutgoingAnswer, keepsAlive: boolean, isHead: boolean): void {
    const connection = keepsAlive ? '' : 'Connection: close\r\n'
    const headText = `HTTP/1.1 ${answer.statusCode} ${answer.statusText}\r\n${answer.headerText}` +
      `${connection}${answer.hasLength ? `Content-Length: ${answer.body.length}\r\n` : ''}\r\n`
    this.#socket.write(joinMessage(headText, isHead ? EMPTY_BODY : answer.body))
  }

  /**
   * Answers an invalid request and closes the connection. While another request
   * is open, the caller would take the answer for that one's, so the connection is
   * closed without an answer.
   */
  #rejectRequest (statusCode: 400 | 408 | 413 | 431 | 503): void {
    if (this.#phase === 'closing') return
    if (this.#currentRequest !== null) {
      this.#socket.destroy()
      return
    }
    this.#writeAnswer(this.#server.options.errorAnswer(statusCode), false, false)
    this.#endConnection()
  }

  #endConnection (): void {
    this.#releaseBodies()
    this.#enterPhase('closing')
    // A connection that has begun to end can no longer be reset.
    if (this.#socket.writableLength === 0) this.#socket.end()
    else this.#socket.write('', () => this.#socket.end())
  }

  #releaseBodies (): void {
    this.#pipelinedRequests.length = 0
    this.#body.clear()
    this.#hold(-this.#heldBytes)
  }

  #onCallerGone (): void {
    const current = this.#currentRequest
    this.#currentRequest = null
    this.#releaseBodies()
    this.#phase = 'closing'
    current?.onCallerGone?.()
  }

  #onClose (): void {
    this.#isClosed = true
    this.#onCallerGone()
    this.#server.removeConnection(this)
  }

  enforceTimeouts (nowMs: Millis, bounds: CallerBounds): void {
    const ageMs = nowMs - this.#phaseStartedAtMs
    if (this.#phase === 'idle' && ageMs >= bounds.idleTimeoutMs) this.#endConnection()
    else if (this.#phase === 'head' && ageMs >= bounds.headTimeoutMs) this.#rejectRequest(408)
    else if (this.#phase === 'closing' && ageMs >= LINGER_MS && this.#socket.writableLength === 0) {
      this.#socket.destroy()
    }
  }

  closeIfIdle (): void {
    if (this.isIdle) this.#endConnection()
  }

  destroy (): void { this.#socket.destroy() }

  /** Whether bytes of an answer wait for the caller to read. */
  get hasUnsentBytes (): boolean {
    return this.#socket.writableLength > 0
  }

  /** Resets the connection, so that a truncated answer without a length does not look complete. */
  reset (): void { this.#socket.resetAndDestroy() }
}

/**
 * HTTP/1.1 server for callers. The sizes of heads and bodies, the number of
 * connections and the time for a head are limited, so that a slow or faulty
 * sender cannot exhaust the server.
 *
 * @example
 * const server = new CallerServer({ host, port, clock, connectionsMaxCount: 2000, ...handlers })
 * await server.listen()
 */
export class CallerServer {
  readonly options: CallerServerOptions
  readonly #server: Server
  readonly #connections = new Set<CallerConnection>()
  #nextId = 1
  #heldBytes = 0
  #timeoutCheckTimer: NodeJS.Timeout | null = null
  #stopping = false

  constructor (options: CallerServerOptions) {
    this.options = options
    this.#server = createServer({ noDelay: true }, socket => this.#accept(socket))
    this.#server.maxConnections = options.connectionsMaxCount
  }

  /** Whether the server is stopping; if so, each answer closes its connection. */
  get isStopping (): boolean {
    return this.#stopping
  }

  get connectionsCount (): number {
    return this.#connections.size
  }

  async listen (): Promise<number> {
    const { host, port } = this.options
    await new Promise<void>((resolve, reject) => {
      this.#server.once('error', reject)
      this.#server.listen({ host, port, backlog: 1024 }, resolve)
    })
    this.#timeoutCheckTimer = setInterval(() => this.#enforceTimeouts(), TIMEOUT_CHECK_PERIOD_MS)
    const address = this.#server.address()
    return typeof address === 'object' && address !== null ? address.port : port
  }

  /** Marks the server as stopping; it still accepts requests until `close`. */
  markStopping (): void {
    this.#stopping = true
  }

  /** Accepts no new connections and closes those without an open request. */
  close (): void {
    this.#stopping = true
    if (this.#timeoutCheckTimer !== null) clearInterval(this.#timeoutCheckTimer)
    this.#server.close()
    for (const connection of this.#connections) connection.closeIfIdle()
  }

  /** Whether an answer has not been handed to the operating system completely. */
  get hasUnsentAnswers (): boolean {
    for (const connection of this.#connections) if (connection.hasUnsentBytes) return true
    return false
  }

  /** Resets the connections whose answers are not sent completely, before the process ends. */
  resetUnsentAnswers (): void {
    for (const connection of this.#connections) if (connection.hasUnsentBytes) connection.reset()
  }

  destroyAllConnections (): void {
    for (const connection of this.#connections) connection.destroy()
  }

  /** Whether a body of the declared length is accepted. */
  acceptsBodyLength (lengthBytes: number): boolean {
    return lengthBytes <= DECLARED_BODY_MAX_BYTES
  }

  /** Counts the bodies of open requests. Above the limit, the largest one that is still being received is rejected. */
  addHeldBytes (bytes: number): void {
    this.#heldBytes += bytes
    if (bytes < 0 || this.#heldBytes <= BODIES_MAX_BYTES) return
    const largest = [...this.#connections].reduce((most, other) => {
      return other.receivingBytes > most.receivingBytes ? other : most
    })
    largest.rejectForMemory()
  }

  removeConnection (connection: CallerConnection): void {
    this.#connections.delete(connection)
  }

  #accept (socket: Socket): void {
    const connection = new CallerConnection(this, socket, this.#nextId++, this.options.clock.monotonicMs())
    this.#connections.add(connection)
  }

  #enforceTimeouts (): void {
    const nowMs = this.options.clock.monotonicMs()
    const bounds = this.options.bounds()
    for (const connection of this.#connections) connection.enforceTimeouts(nowMs, bounds)
  }
}
