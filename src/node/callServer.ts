import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import type { Millis } from '../clock/clock.js'
import { Outcome, Reason } from '../core/coreTypes.js'
import { statusOf } from '../core/nodeCore/statusCodes.js'
import type { Answer } from '../core/nodeCore/nodeCoreTypes.js'

const HEAD_MAX_BYTES = 16_384
const BODY_MAX_BYTES = 1_048_576
const HEAD_TIMEOUT_MS: Millis = 5_000
const REQUEST_TIMEOUT_MS: Millis = 10_000
/** How often connections are checked for slow senders. */
const SENDER_CHECK_PERIOD_MS: Millis = 1_000
/** Longer than callers keep idle connections, so that they close first and no request meets a closing one. */
const KEEP_ALIVE_TIMEOUT_MS: Millis = 65_000

/** Headers of an answer that belong to the connection it came over. */
const CONNECTION_HEADERS = new Set(['connection', 'keep-alive', 'transfer-encoding', 'content-length', 'trailer'])

export interface CallServerOptions {
  readonly host: string
  readonly port: number
  readonly connectionsMaxCount: number
  /** Takes a request with its whole body. */
  readonly onCall: (message: IncomingMessage, body: Uint8Array | null, reply: Reply) => void
  /** Answers the node's own paths below `/ragwortspur/`; false when the path is none of them. */
  readonly onOwnPath: (message: IncomingMessage, response: ServerResponse) => boolean
}

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
    const headers: Record<string, string | number> = { 'content-length': answer.body.byteLength }
    for (const [name, value] of Object.entries(answer.headers)) {
      if (!CONNECTION_HEADERS.has(name)) headers[name] = value
    }
    this.#response.writeHead(answer.status, headers)
    this.#response.end(answer.body)
  }

  /** Sends a whole answer and closes the connection, whatever the sender still sends. */
  sendLast (answer: Answer): void {
    if (this.#ended) return
    this.#response.shouldKeepAlive = false
    this.#response.once('finish', () => this.#response.socket?.destroySoon())
    this.send(answer)
  }

  /** Closes the connection without an answer. */
  drop (): void {
    this.#ended = true
    this.#response.destroy()
  }
}

function faultAnswer (reason: Reason): Answer {
  const body = Buffer.from(JSON.stringify({ outcome: Outcome.NotRun, reason, limited_by: '' }))
  return {
    status: statusOf(reason),
    headers: { 'content-type': 'application/json', 'ragwortspur-outcome': Outcome.NotRun, 'ragwortspur-reason': reason },
    body
  }
}

function reasonOfClientError (code: string | undefined): Reason {
  if (code === 'HPE_HEADER_OVERFLOW') return Reason.HeadTooLarge
  if (code === 'ERR_HTTP_REQUEST_TIMEOUT') return Reason.SlowSender
  return Reason.MalformedCall
}

/**
 * The HTTP/1.1 side that faces callers and peers. Heads, bodies, connections and
 * the time per request are bounded, so a slow or faulty sender ties up nothing.
 */
export class CallServer {
  readonly #options: CallServerOptions
  readonly #server: Server

  constructor (options: CallServerOptions) {
    this.#options = options
    this.#server = createServer({
      maxHeaderSize: HEAD_MAX_BYTES,
      headersTimeout: HEAD_TIMEOUT_MS,
      requestTimeout: REQUEST_TIMEOUT_MS,
      connectionsCheckingInterval: SENDER_CHECK_PERIOD_MS,
      keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
      noDelay: true
    }, (message, response) => this.#receive(message, response))
    this.#server.maxConnections = options.connectionsMaxCount
    this.#server.on('clientError', (error: NodeJS.ErrnoException, socket: Socket) => {
      writeFault(socket, reasonOfClientError(error.code))
    })
  }

  async listen (): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.#server.once('error', reject)
      this.#server.listen(this.#options.port, this.#options.host, resolve)
    })
  }

  /** Takes no new connections, lets open requests end and closes idle connections. */
  async close (): Promise<void> {
    const closed = new Promise<void>(resolve => this.#server.close(() => resolve()))
    this.#server.closeIdleConnections()
    await closed
  }

  #receive (message: IncomingMessage, response: ServerResponse): void {
    if (message.url?.startsWith('/ragwortspur/') === true && this.#options.onOwnPath(message, response)) return
    const reply = new Reply(response)
    const hasBody = message.headers['content-length'] !== undefined ||
      message.headers['transfer-encoding'] !== undefined
    if (hasBody) this.#readBody(message, reply)
    else this.#options.onCall(message, null, reply)
  }

  #readBody (message: IncomingMessage, reply: Reply): void {
    const chunks: Buffer[] = []
    let sizeBytes = 0
    message.on('data', (chunk: Buffer) => {
      sizeBytes += chunk.byteLength
      if (sizeBytes > BODY_MAX_BYTES) this.#refuseBody(message, reply, chunks)
      else chunks.push(chunk)
    })
    message.on('end', () => {
      if (sizeBytes <= BODY_MAX_BYTES) this.#options.onCall(message, Buffer.concat(chunks), reply)
    })
    message.on('error', () => chunks.splice(0))
  }

  #refuseBody (message: IncomingMessage, reply: Reply, chunks: Buffer[]): void {
    chunks.splice(0)
    message.removeAllListeners('data')
    message.resume()
    reply.sendLast(faultAnswer(Reason.BodyTooLarge))
  }
}

function writeFault (socket: Socket, reason: Reason): void {
  if (!socket.writable) {
    socket.destroy()
    return
  }
  const { status, headers, body } = faultAnswer(reason)
  const head = Object.entries({ ...headers, 'content-length': body.byteLength, connection: 'close' })
    .map(([name, value]) => `${name}: ${value}`).join('\r\n')
  socket.end(`HTTP/1.1 ${status} Refused\r\n${head}\r\n\r\n${Buffer.from(body).toString()}`)
}
