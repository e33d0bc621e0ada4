import { createServer, type Server, type Socket } from 'node:net'
import type { Clock, Millis } from '../clock/clock.js'
import { MessageParser, type MessageHead } from './messageParser.js'
import { headerOf, messageBytes } from './messageText.js'

const EMPTY_BODY = Buffer.alloc(0)
/** How often connections are checked for idle and slow senders. */
const SWEEP_PERIOD_MS: Millis = 500
/** How long a refused sender is still read: closing on unread bytes resets the answer on its way. */
const LINGER_MS: Millis = 500
/** Pipelined requests that may wait on one connection; the platform's callers send one at a time. */
const PIPELINED_MAX_COUNT = 16
/** Bytes of request bodies held at one time; a quarter of the memory of the smallest VM. */
const BODIES_MAX_BYTES = 64 * 1024 * 1024

/** Bounds on what a caller may send; they may change while connections are open. */
export interface CallerBounds {
  readonly headMaxBytes: number
  readonly bodyMaxBytes: number
  readonly headTimeoutMs: Millis
  readonly idleTimeoutMs: Millis
}

export interface OutgoingAnswer {
  readonly statusCode: number
  readonly statusText: string
  /** Lines that end with CRLF, without those that concern the connection or frame the body. */
  readonly headerText: string
  readonly body: Uint8Array
  /** False for an answer whose end is told by the end of the connection only. */
  readonly hasLength: boolean
}

/** A request with its whole body, waiting for its answer. */
export interface IncomingRequest {
  readonly head: MessageHead
  readonly body: Buffer
  /** When its first byte was read. */
  readonly beganAtMs: Millis
  readonly remoteIp: string
  readonly connectionId: number
  /** Called once if the caller leaves before the answer. */
  onGone: (() => void) | null
  /** Sends the answer; ignored if the caller has left or was answered. */
  answer (answer: OutgoingAnswer): void
  /** Closes the connection without an answer, since an answer that was cut must not look whole. */
  breakOff (): void
}

export interface CallerServerOptions {
  readonly host: string
  readonly port: number
  readonly clock: Clock
  readonly connectionsMaxCount: number
  readonly bounds: () => CallerBounds
  readonly onRequest: (request: IncomingRequest) => void
  /** Own answer to bytes that are no proper request. */
  readonly faultAnswer: (statusCode: 400 | 408 | 413 | 431 | 503) => OutgoingAnswer
}

type Phase = 'idle' | 'head' | 'body' | 'waiting' | 'closing'

interface Pending {
  readonly head: MessageHead
  readonly body: Buffer
  readonly beganAtMs: Millis
}

/** One connection of a caller: one request in hand, answers in the order of requests. */
class CallerConnection {
  readonly #server: CallerServer
  readonly #socket: Socket
  readonly #parser: MessageParser
  readonly #pipelined: Pending[] = []
  readonly id: number
  #phase: Phase = 'idle'
  #phaseAtMs: Millis
  #head: MessageHead | null = null
  #chunks: Buffer[] = []
  #bodyBytes = 0
  #current: IncomingRequest | null = null
  #keepsAlive = true
  #closed = false

  constructor (server: CallerServer, socket: Socket, id: number, nowMs: Millis) {
    this.#server = server
    this.#socket = socket
    this.id = id
    this.#phaseAtMs = nowMs
    this.#parser = new MessageParser('REQUEST', {
      onHead: head => this.#onHead(head),
      onBody: chunk => this.#onBody(chunk),
      onEnd: () => this.#onEnd()
    }, server.options.bounds().headMaxBytes)
    socket.on('data', (chunk: Buffer) => this.#onData(chunk))
    socket.on('end', () => this.#onGone())
    socket.on('error', () => this.#onGone())
    socket.on('close', () => this.#onClose())
  }

  get isIdle (): boolean {
    return this.#phase === 'idle' && this.#current === null
  }

  #enter (phase: Phase): void {
    this.#phase = phase
    this.#phaseAtMs = this.#server.options.clock.monotonicMs()
  }

  #onData (chunk: Buffer): void {
    if (this.#phase === 'closing') return
    if (this.#phase === 'idle') this.#enter('head')
    const error = this.#parser.read(chunk)
    if (error !== undefined) this.#fault(/header size/.test(error.message) ? 431 : 400)
  }

  #onHead (head: MessageHead): boolean {
    this.#head = head
    this.#chunks = []
    this.#bodyBytes = 0
    if (this.#phase !== 'waiting') this.#enter('body')
    const lengthBytes = Number(headerOf(head.headers, 'content-length') ?? 0)
    if (lengthBytes > this.#server.options.bounds().bodyMaxBytes) this.#fault(413)
    else if (!this.#server.holdBody(lengthBytes)) this.#fault(503)
    else if (headerOf(head.headers, 'expect')?.toLowerCase() === '100-continue') {
      this.#socket.write('HTTP/1.1 100 Continue\r\n\r\n')
    }
    return false
  }

  #onBody (chunk: Buffer): void {
    if (this.#phase === 'closing') return
    this.#bodyBytes += chunk.length
    if (this.#bodyBytes > this.#server.options.bounds().bodyMaxBytes) {
      this.#fault(413)
      return
    }
    this.#chunks.push(chunk)
  }

  #onEnd (): void {
    const head = this.#head
    if (head === null || this.#phase === 'closing') return
    const body = this.#chunks.length === 0 ? EMPTY_BODY : Buffer.concat(this.#chunks)
    const pending = { head, body, beganAtMs: this.#phaseAtMs }
    this.#head = null
    this.#chunks = []
    if (this.#current === null) this.#handOver(pending)
    else if (this.#pipelined.length < PIPELINED_MAX_COUNT) this.#pipelined.push(pending)
    else this.#fault(400)
  }

  #handOver ({ head, body, beganAtMs }: Pending): void {
    this.#enter('waiting')
    this.#keepsAlive = head.keepAlive
    const request: IncomingRequest = {
      head,
      body,
      beganAtMs,
      remoteIp: this.#socket.remoteAddress ?? '',
      connectionId: this.id,
      onGone: null,
      answer: answer => this.#answer(request, answer),
      breakOff: () => {
        if (this.#current === request) this.#socket.destroy()
      }
    }
    this.#current = request
    this.#server.options.onRequest(request)
  }

  #answer (request: IncomingRequest, answer: OutgoingAnswer): void {
    if (this.#current !== request || this.#closed) return
    this.#current = null
    const keepsAlive = this.#keepsAlive && answer.hasLength && !this.#server.isStopping && this.#phase !== 'closing'
    this.#write(answer, keepsAlive, request.head.method === 'HEAD')
    if (!keepsAlive) {
      this.#end()
      return
    }
    this.#enter('idle')
    const next = this.#pipelined.shift()
    if (next !== undefined) this.#handOver(next)
    else if (this.#head !== null) this.#enter('body')
  }

  #write (answer: OutgoingAnswer, keepsAlive: boolean, isHead: boolean): void {
    const connection = keepsAlive ? '' : 'Connection: close\r\n'
    const headText = `HTTP/1.1 ${answer.statusCode} ${answer.statusText}\r\n${answer.headerText}` +
      `${connection}${answer.hasLength ? `Content-Length: ${answer.body.length}\r\n` : ''}\r\n`
    this.#socket.write(messageBytes(headText, isHead ? EMPTY_BODY : answer.body))
  }

  /** Answers what is no proper request, unless the answer would be taken for that of another one. */
  #fault (statusCode: 400 | 408 | 413 | 431 | 503): void {
    if (this.#phase === 'closing') return
    if (this.#current !== null) {
      this.#socket.destroy()
      return
    }
    this.#write(this.#server.options.faultAnswer(statusCode), false, false)
    this.#end()
  }

  #end (): void {
    this.#enter('closing')
    this.#socket.end()
  }

  #onGone (): void {
    const current = this.#current
    this.#current = null
    this.#pipelined.length = 0
    this.#phase = 'closing'
    current?.onGone?.()
  }

  #onClose (): void {
    this.#closed = true
    this.#onGone()
    this.#server.forget(this)
  }

  sweep (nowMs: Millis, bounds: CallerBounds): void {
    const ageMs = nowMs - this.#phaseAtMs
    if (this.#phase === 'idle' && ageMs >= bounds.idleTimeoutMs) this.#end()
    else if (this.#phase === 'head' && ageMs >= bounds.headTimeoutMs) this.#fault(408)
    else if (this.#phase === 'closing' && ageMs >= LINGER_MS && this.#socket.writableLength === 0) {
      this.#socket.destroy()
    }
  }

  closeIfIdle (): void {
    if (this.isIdle) this.#end()
  }

  destroy (): void {
    this.#socket.destroy()
  }
}

/**
 * The HTTP/1.1 side that faces callers. Heads, bodies, connections and the time
 * for a head are bounded, so a slow or faulty sender ties up nothing.
 *
 * @example
 * const server = new CallerServer({ host, port, clock, connectionsMaxCount: 2000, bounds, onRequest, faultAnswer })
 * await server.listen()
 */
export class CallerServer {
  readonly options: CallerServerOptions
  readonly #server: Server
  readonly #connections = new Set<CallerConnection>()
  #nextId = 1
  #sweepTimer: NodeJS.Timeout | null = null
  #stopping = false

  constructor (options: CallerServerOptions) {
    this.options = options
    this.#server = createServer({ noDelay: true }, socket => this.#accept(socket))
    this.#server.maxConnections = options.connectionsMaxCount
  }

  /** While the server stops, each answer closes its connection. */
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
    this.#sweepTimer = setInterval(() => this.#sweep(), SWEEP_PERIOD_MS)
    const address = this.#server.address()
    return typeof address === 'object' && address !== null ? address.port : port
  }

  /** Marks the server as stopping; it still takes requests until `close`. */
  beginStop (): void {
    this.#stopping = true
  }

  /** Takes no new connection and closes those without a request in hand. */
  close (): void {
    this.#stopping = true
    if (this.#sweepTimer !== null) clearInterval(this.#sweepTimer)
    this.#server.close()
    for (const connection of this.#connections) connection.closeIfIdle()
  }

  destroyAll (): void {
    for (const connection of this.#connections) connection.destroy()
  }

  /** Whether a body of that size fits beside those that are being read. */
  holdBody (lengthBytes: number): boolean {
    return lengthBytes <= BODIES_MAX_BYTES
  }

  forget (connection: CallerConnection): void {
    this.#connections.delete(connection)
  }

  #accept (socket: Socket): void {
    const connection = new CallerConnection(this, socket, this.#nextId++, this.options.clock.monotonicMs())
    this.#connections.add(connection)
  }

  #sweep (): void {
    const nowMs = this.options.clock.monotonicMs()
    const bounds = this.options.bounds()
    for (const connection of this.#connections) connection.sweep(nowMs, bounds)
  }
}
