import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import type { Clock, Millis } from '../clock/clock.js'
import { Reason } from '../core/coreTypes.js'
import { BodyBuffer } from '../http/bodyBuffer.js'
import type { NodeHoldings } from './holdings.js'
import { NodeLimit } from './limitCounts.js'
import { refusalAnswer, refusalResponseText, Reply } from './reply.js'
import { SilentConnections } from './silentConnections.js'

const HEAD_MAX_BYTES = 16_384
const BODY_MAX_BYTES = 1_048_576
/** Bytes of a body that the operating system may have received before they are read. */
const UNREAD_BODY_MAX_BYTES = 64 * 1024
/** Pieces of a body that are read in one turn of the event loop, so that very many small ones do not hold up others. */
const PIECES_PER_TURN_MAX = 512
/** Connections above the limit that still get an answer with the reason; any more are closed at once. */
const REFUSED_CONNECTIONS_MAX_COUNT = 64
/** Requests that may be open on one connection; callers of the platform do not pipeline. */
const PIPELINED_MAX_COUNT = 16

/** Timeouts of the server for callers. */
export interface CallServerTimes {
  readonly headTimeoutMs: Millis
  /** From the first byte of a request to the last one of its body. */
  readonly requestTimeoutMs: Millis
  /** How often connections are checked for slow senders. */
  readonly senderCheckPeriodMs: Millis
  /** Longer than callers keep idle connections, so that callers close first and no request hits a closing one. */
  readonly keepAliveTimeoutMs: Millis
  /** How long a refused connection is still read: closing with unread bytes can reset it before the answer arrives. */
  readonly lingerTimeoutMs: Millis
  /** How long `close` waits for answers that are still being written. */
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
  readonly clock: Clock
  readonly holdings: NodeHoldings
  /** Called for a request once its body is complete. */
  readonly onCall: (message: IncomingMessage, body: Uint8Array | null, reply: Reply) => void
  /** Answers the node's own paths below `/ragwortspur/`; returns false for any other path. */
  readonly onOwnPath: (message: IncomingMessage, response: ServerResponse) => boolean
}

function reasonForClientError (code: string | undefined): Reason {
  if (code === 'HPE_HEADER_OVERFLOW') return Reason.HeadTooLarge
  if (code === 'ERR_HTTP_REQUEST_TIMEOUT') return Reason.SlowSender
  return Reason.MalformedCall
}

/**
 * HTTP/1.1 server for callers and peers. The sizes of heads and bodies, the
 * number of connections and the time per request are limited, so that a slow or
 * faulty sender cannot exhaust the node.
 *
 * @example
 * const server = new CallServer({ host: '127.0.0.1', port: 8080, connectionsMaxCount: 100, onCall, onOwnPath })
 * await server.listen()
 */
export class CallServer {
  readonly #options: CallServerOptions
  readonly #times: CallServerTimes
  readonly #server: Server
  /** Number of open calls on each connection. */
  readonly #openCallsCounts = new Map<Socket, number>()
  readonly #refusedSockets = new WeakSet<Socket>()
  readonly #errorAnsweredSockets = new WeakSet<Socket>()
  readonly #silentConnections: SilentConnections
  /** Responses that are not over, by connection. */
  readonly #openResponses = new Map<Socket, Set<ServerResponse>>()
  #connectionsCount = 0
  #isClosing = false

  constructor (options: CallServerOptions) {
    this.#options = options
    this.#silentConnections = new SilentConnections(options.clock)
    this.#times = { ...CALL_SERVER_TIMES, ...options }
    this.#server = createServer({
      maxHeaderSize: HEAD_MAX_BYTES,
      headersTimeout: this.#times.headTimeoutMs,
      requestTimeout: this.#times.requestTimeoutMs,
      connectionsCheckingInterval: this.#times.senderCheckPeriodMs,
      keepAliveTimeout: this.#times.keepAliveTimeoutMs,
      noDelay: true
    }, (message, response) => this.#receiveRequest(message, response))
    this.#server.maxConnections = options.connectionsMaxCount + REFUSED_CONNECTIONS_MAX_COUNT
    this.#server.on('connection', (socket: Socket) => this.#countConnection(socket))
    this.#server.on('clientError', (error: NodeJS.ErrnoException, socket: Socket) => {
      this.#refuseConnection(socket, reasonForClientError(error.code))
    })
    this.#server.on('checkExpectation', (_message: IncomingMessage, response: ServerResponse) => {
      this.#createReply(response).sendAndClose(refusalAnswer(Reason.MalformedCall))
    })
  }

  /** Port in use; chosen by the operating system when the configured port is 0. */
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

  /** Accepts no new connections, waits up to `closeTimeoutMs` for open answers and closes all connections. */
  async close (): Promise<void> {
    this.#isClosing = true
    const closed = new Promise<void>(resolve => this.#server.close(() => resolve()))
    this.#server.closeIdleConnections()
    const timer = setTimeout(() => this.#server.closeAllConnections(), this.#times.closeTimeoutMs)
    await closed
    clearTimeout(timer)
  }

  #countConnection (socket: Socket): void {
    this.#connectionsCount += 1
    const isFull = this.#connectionsCount > this.#options.connectionsMaxCount
    if (isFull && !this.#silentConnections.closeOldest()) this.#refusedSockets.add(socket)
    this.#silentConnections.add(socket)
    this.#openResponses.set(socket, new Set())
    socket.once('close', () => {
      this.#connectionsCount -= 1
      this.#silentConnections.remove(socket)
      this.#endResponses(socket)
    })
  }

  /** Node.js tells only the response whose turn it is that its connection is closed. */
  #endResponses (socket: Socket): void {
    const responses = this.#openResponses.get(socket) ?? []
    this.#openResponses.delete(socket)
    for (const response of responses) if (response.socket === null) response.emit('close')
  }

  #receiveRequest (message: IncomingMessage, response: ServerResponse): void {
    const { socket } = message
    const openResponses = this.#openResponses.get(socket)
    if (openResponses === undefined || socket.destroyed) return
    if (openResponses.size >= PIPELINED_MAX_COUNT) {
      this.#options.holdings.limits.record(NodeLimit.PipelinedRequests)
      socket.destroy()
      return
    }
    openResponses.add(response)
    if (this.#isClosing) response.shouldKeepAlive = false
    this.#silentConnections.remove(socket)
    response.once('close', () => {
      openResponses.delete(response)
      if (openResponses.size === 0) this.#silentConnections.add(socket)
    })
    if (this.#refusedSockets.has(socket)) {
      this.#refuseRequest(message, this.#createReply(response), Reason.TooManyConnections)
      return
    }
    if (message.url?.startsWith('/ragwortspur/') === true && this.#options.onOwnPath(message, response)) return
    const hasBody = message.headers['content-length'] !== undefined ||
      message.headers['transfer-encoding'] !== undefined
    if (hasBody) this.#readBody(message, response)
    else this.#deliverCall(message, null, response)
  }

  #createReply (response: ServerResponse): Reply {
    return new Reply(response, bytes => this.#options.holdings.addAnswer(response, bytes))
  }

  #readBody (message: IncomingMessage, response: ServerResponse): void {
    if (Number(message.headers['content-length'] ?? 0) > BODY_MAX_BYTES) {
      this.#refuseRequest(message, this.#createReply(response), Reason.BodyTooLarge)
      return
    }
    const { holdings } = this.#options
    let isRefused = false
    const refuse = (reason: Reason): void => {
      isRefused = true
      body.clear()
      holdings.dropBody(message)
      this.#refuseRequest(message, this.#createReply(response), reason)
    }
    const body = new BodyBuffer()
    let sizeBytes = 0
    let piecesCount = 0
    let countedBytes = 0
    /** Counts the body, with what the operating system may hold of it. */
    const count = (expectedBytes: number): void => {
      const unreadBytes = Math.min(UNREAD_BODY_MAX_BYTES, Math.max(0, expectedBytes - sizeBytes))
      const addedBytes = sizeBytes + unreadBytes - countedBytes
      countedBytes += addedBytes
      holdings.addBodyBytes(message, addedBytes, () => refuse(Reason.MemoryFull))
    }
    const declaredBytes = Number(message.headers['content-length'] ?? Infinity)
    message.on('data', (chunk: Buffer) => {
      sizeBytes += chunk.byteLength
      piecesCount += 1
      if (piecesCount % PIECES_PER_TURN_MAX === 0) {
        message.pause()
        setImmediate(() => message.resume())
      }
      if (isRefused) return
      if (sizeBytes > BODY_MAX_BYTES) refuse(Reason.BodyTooLarge)
      else {
        body.append(chunk)
        count(declaredBytes)
      }
    })
    message.on('end', () => {
      if (!isRefused) count(sizeBytes)
      if (isRefused) return
      holdings.keepBody(message, response)
      this.#deliverCall(message, body.take(), response)
    })
    message.on('close', () => {
      // A complete body has been passed on.
      if (!message.complete) holdings.dropBody(message)
    })
    message.on('error', () => body.clear())
    count(declaredBytes)
  }

  #deliverCall (message: IncomingMessage, body: Uint8Array | null, response: ServerResponse): void {
    const { socket } = message
    this.#openCallsCounts.set(socket, (this.#openCallsCounts.get(socket) ?? 0) + 1)
    response.once('close', () => {
      const remainingCount = (this.#openCallsCounts.get(socket) ?? 1) - 1
      if (remainingCount > 0) this.#openCallsCounts.set(socket, remainingCount)
      else this.#openCallsCounts.delete(socket)
    })
    this.#options.onCall(message, body, this.#createReply(response))
  }

  /** Answers a request whose sender may still be sending, then closes the connection. */
  #refuseRequest (message: IncomingMessage, reply: Reply, reason: Reason): void {
    message.resume()
    reply.sendWithoutEnding(refusalAnswer(reason))
    const timer = setTimeout(() => reply.closeWithoutAnswer(), this.#times.lingerTimeoutMs)
    message.once('end', () => reply.end())
    message.once('close', () => clearTimeout(timer))
  }

  /**
   * Answers bytes that are not a valid request. While a call of the same
   * connection is open, the sender would take the answer for that call's, so the
   * connection is closed without one.
   */
  #refuseConnection (socket: Socket, reason: Reason): void {
    if (this.#errorAnsweredSockets.has(socket)) return
    if (!socket.writable || this.#openCallsCounts.has(socket)) {
      socket.destroy()
      return
    }
    this.#errorAnsweredSockets.add(socket)
    socket.end(refusalResponseText(reason))
    const timer = setTimeout(() => socket.destroy(), this.#times.lingerTimeoutMs)
    socket.once('close', () => clearTimeout(timer))
  }
}
