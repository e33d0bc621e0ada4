import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import type { Millis } from '../clock/clock.js'
import { Reason } from '../core/coreTypes.js'
import { faultAnswer, faultText, Reply } from './reply.js'

const HEAD_MAX_BYTES = 16_384
const BODY_MAX_BYTES = 1_048_576
/** Connections above the bound that are still told why they are refused; more are closed without a word. */
const REFUSED_CONNECTIONS_MAX_COUNT = 64

/** Time bounds of the caller side. */
export interface CallServerTimes {
  readonly headTimeoutMs: Millis
  /** From the first byte of a request to the last one of its body. */
  readonly requestTimeoutMs: Millis
  /** How often connections are checked for slow senders. */
  readonly senderCheckPeriodMs: Millis
  /** Longer than callers keep idle connections, so that they close first and no request meets a closing one. */
  readonly keepAliveTimeoutMs: Millis
  /** How long a refused sender is still read, since closing on unread bytes can destroy the answer on its way. */
  readonly lingerTimeoutMs: Millis
  /** How long closing waits for answers that are still being written. */
  readonly closeTimeoutMs: Millis
}

export const CALL_SERVER_TIMES: CallServerTimes = {
  headTimeoutMs: 5_000,
  requestTimeoutMs: 10_000,
  senderCheckPeriodMs: 1_000,
  keepAliveTimeoutMs: 65_000,
  lingerTimeoutMs: 1_000,
  closeTimeoutMs: 1_000
}

export interface CallServerOptions extends Partial<CallServerTimes> {
  readonly host: string
  readonly port: number
  readonly connectionsMaxCount: number
  /** Takes a request with its whole body. */
  readonly onCall: (message: IncomingMessage, body: Uint8Array | null, reply: Reply) => void
  /** Answers the node's own paths below `/ragwortspur/`; false when the path is none of them. */
  readonly onOwnPath: (message: IncomingMessage, response: ServerResponse) => boolean
}

function reasonOfClientError (code: string | undefined): Reason {
  if (code === 'HPE_HEADER_OVERFLOW') return Reason.HeadTooLarge
  if (code === 'ERR_HTTP_REQUEST_TIMEOUT') return Reason.SlowSender
  return Reason.MalformedCall
}

/**
 * The HTTP/1.1 side that faces callers and peers. Heads, bodies, connections and
 * the time per request are bounded, so a slow or faulty sender ties up nothing.
 *
 * @example
 * const server = new CallServer({ host: '127.0.0.1', port: 8080, connectionsMaxCount: 100, onCall, onOwnPath })
 * await server.listen()
 */
export class CallServer {
  readonly #options: CallServerOptions
  readonly #times: CallServerTimes
  readonly #server: Server
  /** Calls in hand for each connection. */
  readonly #openCounts = new Map<Socket, number>()
  readonly #refused = new WeakSet<Socket>()
  readonly #faulted = new WeakSet<Socket>()
  #connectionsCount = 0
  #closing = false

  constructor (options: CallServerOptions) {
    this.#options = options
    this.#times = { ...CALL_SERVER_TIMES, ...options }
    this.#server = createServer({
      maxHeaderSize: HEAD_MAX_BYTES,
      headersTimeout: this.#times.headTimeoutMs,
      requestTimeout: this.#times.requestTimeoutMs,
      connectionsCheckingInterval: this.#times.senderCheckPeriodMs,
      keepAliveTimeout: this.#times.keepAliveTimeoutMs,
      noDelay: true
    }, (message, response) => this.#receive(message, response))
    this.#server.maxConnections = options.connectionsMaxCount + REFUSED_CONNECTIONS_MAX_COUNT
    this.#server.on('connection', (socket: Socket) => this.#admit(socket))
    this.#server.on('clientError', (error: NodeJS.ErrnoException, socket: Socket) => {
      this.#refuseSender(socket, reasonOfClientError(error.code))
    })
    this.#server.on('checkExpectation', (_message: IncomingMessage, response: ServerResponse) => {
      new Reply(response).sendLast(faultAnswer(Reason.MalformedCall))
    })
  }

  /** Port in use, which the system chose when the given one was 0. */
  get port (): number {
    const address = this.#server.address()
    return typeof address === 'object' && address !== null ? address.port : this.#options.port
  }

  async listen (): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.#server.once('error', reject)
      this.#server.listen(this.#options.port, this.#options.host, resolve)
    })
  }

  /** Takes no new connections, lets open answers end within a bound and closes all connections. */
  async close (): Promise<void> {
    this.#closing = true
    const closed = new Promise<void>(resolve => this.#server.close(() => resolve()))
    this.#server.closeIdleConnections()
    const timer = setTimeout(() => this.#server.closeAllConnections(), this.#times.closeTimeoutMs)
    await closed
    clearTimeout(timer)
  }

  #admit (socket: Socket): void {
    this.#connectionsCount += 1
    if (this.#connectionsCount > this.#options.connectionsMaxCount) this.#refused.add(socket)
    socket.once('close', () => { this.#connectionsCount -= 1 })
  }

  #receive (message: IncomingMessage, response: ServerResponse): void {
    if (this.#closing) response.shouldKeepAlive = false
    if (this.#refused.has(message.socket)) {
      this.#refuse(message, new Reply(response), Reason.TooManyConnections)
      return
    }
    if (message.url?.startsWith('/ragwortspur/') === true && this.#options.onOwnPath(message, response)) return
    const hasBody = message.headers['content-length'] !== undefined ||
      message.headers['transfer-encoding'] !== undefined
    if (hasBody) this.#readBody(message, response)
    else this.#handOver(message, null, response)
  }

  #readBody (message: IncomingMessage, response: ServerResponse): void {
    if (Number(message.headers['content-length'] ?? 0) > BODY_MAX_BYTES) {
      this.#refuse(message, new Reply(response), Reason.BodyTooLarge)
      return
    }
    const chunks: Buffer[] = []
    let sizeBytes = 0
    message.on('data', (chunk: Buffer) => {
      sizeBytes += chunk.byteLength
      if (sizeBytes <= BODY_MAX_BYTES) chunks.push(chunk)
      else if (chunks.splice(0).length > 0) this.#refuse(message, new Reply(response), Reason.BodyTooLarge)
    })
    message.on('end', () => {
      if (sizeBytes <= BODY_MAX_BYTES) this.#handOver(message, Buffer.concat(chunks), response)
    })
    message.on('error', () => chunks.splice(0))
  }

  #handOver (message: IncomingMessage, body: Uint8Array | null, response: ServerResponse): void {
    const { socket } = message
    this.#openCounts.set(socket, (this.#openCounts.get(socket) ?? 0) + 1)
    response.once('close', () => {
      const leftCount = (this.#openCounts.get(socket) ?? 1) - 1
      if (leftCount > 0) this.#openCounts.set(socket, leftCount)
      else this.#openCounts.delete(socket)
    })
    this.#options.onCall(message, body, new Reply(response))
  }

  /** Answers a request whose sender may still be sending, and closes the connection after that. */
  #refuse (message: IncomingMessage, reply: Reply, reason: Reason): void {
    message.resume()
    reply.sendBeforeEnd(faultAnswer(reason))
    const timer = setTimeout(() => reply.drop(), this.#times.lingerTimeoutMs)
    message.once('end', () => reply.end())
    message.once('close', () => clearTimeout(timer))
  }

  /**
   * Answers bytes that are no request. While a call of the same connection is in
   * hand, the answer would be taken for that call's, so the connection is closed.
   */
  #refuseSender (socket: Socket, reason: Reason): void {
    if (this.#faulted.has(socket)) return
    if (!socket.writable || this.#openCounts.has(socket)) {
      socket.destroy()
      return
    }
    this.#faulted.add(socket)
    socket.end(faultText(reason))
    const timer = setTimeout(() => socket.destroy(), this.#times.lingerTimeoutMs)
    socket.once('close', () => clearTimeout(timer))
  }
}
