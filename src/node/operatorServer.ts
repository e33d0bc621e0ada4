import { createServer } from 'node:http'
import type { IncomingMessage, RequestListener, Server, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import Koa from 'koa'
import { Registry } from 'prom-client'
import type { Clock, Millis } from '../clock/clock.js'
import { NodeLimit, type LimitCounts } from './limitCounts.js'
import { SilentConnections } from './silentConnections.js'

const CONNECTIONS_MAX_COUNT = 64
const REQUEST_TIMEOUT_MS: Millis = 5_000
/** A connection on which nothing is sent or read for this long is closed. */
const INACTIVE_MAX_MS: Millis = 10_000
const TIMEOUT_CHECK_PERIOD_MS: Millis = 1_000

/** State of a node as the operator endpoint serves it. */
export interface OperatorView {
  isLive (): boolean
  isReady (): boolean
  status (): Record<string, unknown>
  /** Sets the current metrics in the registry. */
  collectMetrics (registry: Registry): void
}

/** HTTP server for operators: `/live`, `/ready`, `/status` (JSON) and `/metrics` (Prometheus text). */
export class OperatorServer {
  readonly #server: Server
  readonly #host: string
  readonly #port: number
  readonly #limits: LimitCounts
  readonly #silentConnections: SilentConnections
  #connectionsCount = 0

  constructor (host: string, port: number, view: OperatorView, clock: Clock, limits: LimitCounts) {
    this.#host = host
    this.#port = port
    this.#limits = limits
    this.#silentConnections = new SilentConnections(clock)
    const app = new Koa()
    app.use(async context => {
      await respond(context, view)
    })
    const answer = app.callback() as RequestListener
    this.#server = createServer({
      headersTimeout: REQUEST_TIMEOUT_MS,
      requestTimeout: REQUEST_TIMEOUT_MS,
      connectionsCheckingInterval: TIMEOUT_CHECK_PERIOD_MS
    }, (message, response) => this.#receiveRequest(message, response, answer))
    this.#server.setTimeout(INACTIVE_MAX_MS)
    this.#server.on('connection', (socket: Socket) => this.#accept(socket))
  }

  #accept (socket: Socket): void {
    if (this.#connectionsCount >= CONNECTIONS_MAX_COUNT) {
      this.#limits.record(NodeLimit.OperatorConnections)
      if (!this.#silentConnections.closeOldest()) {
        socket.destroy()
        return
      }
    }
    this.#connectionsCount += 1
    this.#silentConnections.add(socket)
    socket.once('close', () => {
      this.#connectionsCount -= 1
      this.#silentConnections.remove(socket)
    })
  }

  /** Answers one request at a time on a connection: answers that are not read would otherwise pile up. */
  #receiveRequest (message: IncomingMessage, response: ServerResponse, answer: RequestListener): void {
    const { socket } = message
    if (socket.destroyed) return
    if (!this.#silentConnections.remove(socket)) {
      this.#limits.record(NodeLimit.PipelinedRequests)
      socket.destroy()
      return
    }
    response.once('close', () => this.#silentConnections.add(socket))
    answer(message, response)
  }

  async listen (): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.#server.once('error', reject)
      this.#server.listen(this.#port, this.#host, resolve)
    })
  }

  async close (): Promise<void> {
    this.#server.closeAllConnections()
    await new Promise<void>(resolve => this.#server.close(() => resolve()))
  }
}

async function respond (context: Koa.Context, view: OperatorView): Promise<void> {
  switch (context.path) {
    case '/live':
      context.status = view.isLive() ? 200 : 503
      context.body = { live: view.isLive() }
      return
    case '/ready':
      context.status = view.isReady() ? 200 : 503
      context.body = { ready: view.isReady() }
      return
    case '/status':
      context.body = view.status()
      return
    case '/metrics': {
      const registry = new Registry()
      view.collectMetrics(registry)
      context.type = registry.contentType
      context.body = await registry.metrics()
      return
    }
    default:
      context.status = 404
      context.body = { reason: 'unknown_path', allowed: ['/live', '/ready', '/status', '/metrics'] }
  }
}
