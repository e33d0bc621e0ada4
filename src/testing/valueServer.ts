import { once } from 'node:events'
import { createServer, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import type { PublishedValue } from '../core/documents/documentsTypes.js'

export interface ValueServer {
  readonly port: number
  /** Requests as `METHOD url`. */
  readonly requests: string[]
  stop (): Promise<void>
}

export interface ValueServerOptions {
  /** Path before the key, such as `/v1/values/`. */
  readonly path: string
  readonly valueOf: (key: string) => PublishedValue | undefined
  /** Answers in another way; true when it has done so. */
  readonly misbehave?: (key: string, response: ServerResponse) => boolean
}

/** Stand-in for the read interface of the configuration service and of peers, on loopback. */
export async function startValueServer (options: ValueServerOptions): Promise<ValueServer> {
  const requests: string[] = []
  const server = createServer((request, response) => {
    requests.push(`${request.method} ${request.url}`)
    const url = new URL(request.url ?? '/', 'http://stand-in')
    const key = url.pathname.slice(options.path.length)
    if (options.misbehave?.(key, response) === true) return
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

/** Waits until a condition holds; the test's own timeout ends it otherwise. */
export async function until (condition: () => boolean): Promise<void> {
  while (!condition()) await new Promise(resolve => { setTimeout(resolve, 5) })
}
