import { once } from 'node:events'
import { createServer, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import type { PublishedValue } from '../core/documents/documentsTypes.js'

export interface ValueServer {
  readonly port: number
  /** Requests received so far, each as `METHOD url`. */
  readonly requests: string[]
  stop (): Promise<void>
}

export interface ValueServerOptions {
  /** Path prefix before the key, such as `/v1/values/`. */
  readonly pathPrefix: string
  /** Returns the value of a key, or undefined if the key has none. */
  readonly valueOf: (key: string) => PublishedValue | undefined
  /** Sends its own response to a request; returns true if it has done so and the server must not respond. */
  readonly overrideResponse?: (key: string, response: ServerResponse) => boolean
}

/** Starts an HTTP server on loopback that serves values as the configuration service and the peers do. */
export async function startValueServer (options: ValueServerOptions): Promise<ValueServer> {
  const requests: string[] = []
  const server = createServer((request, response) => {
    requests.push(`${request.method} ${request.url}`)
    const url = new URL(request.url ?? '/', 'http://stand-in')
    const key = url.pathname.slice(options.pathPrefix.length)
    if (options.overrideResponse?.(key, response) === true) return
    const value = options.valueOf(key)
    if (value === undefined || value.revision <= Number(url.searchParams.get('after'))) {
      response.writeHead(204).end()
      return
    }
    response.setHeader('content-type', 'application/json')
    response.end(JSON.stringify({ key, revision: value.revision, value: value.text }))
  })
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  return {
    port: (server.address() as AddressInfo).port,
    requests,
    stop: async () => {
      const closed = once(server, 'close')
      server.close()
      server.closeAllConnections()
      await closed
    }
  }
}

/** Polls a condition until it is true. It sets no time limit: the timeout of the test applies. */
export async function waitUntil (condition: () => boolean): Promise<void> {
  while (!condition()) await new Promise(resolve => { setTimeout(resolve, 5) })
}
