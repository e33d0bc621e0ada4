import { createServer } from 'node:http'
import type { Server } from 'node:http'
import Koa from 'koa'
import { Registry } from 'prom-client'

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

  constructor (host: string, port: number, view: OperatorView) {
    this.#host = host
    this.#port = port
    const app = new Koa()
    app.use(async context => {
      await respond(context, view)
    })
    this.#server = createServer(app.callback())
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
