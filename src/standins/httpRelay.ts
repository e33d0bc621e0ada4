import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { Pool, type Dispatcher } from 'undici'

/** Hop-by-hop headers and `host`, which are set anew for the upstream connection. */
const UNFORWARDED_HEADERS = new Set(['connection', 'keep-alive', 'host', 'transfer-encoding'])

function forwardedHeaders (headers: IncomingMessage['headers']): Record<string, string | string[]> {
  const forwarded: Record<string, string | string[]> = {}
  for (const [name, value] of Object.entries(headers)) {
    if (value !== undefined && !UNFORWARDED_HEADERS.has(name)) forwarded[name] = value
  }
  return forwarded
}

async function forwardRequest (pool: Pool, request: IncomingMessage, response: ServerResponse): Promise<void> {
  const hasBody = request.headers['content-length'] !== undefined || request.headers['transfer-encoding'] !== undefined
  const abort = new AbortController()
  response.on('close', () => { if (!response.writableFinished) abort.abort() })
  const answer = await pool.request({
    method: request.method as Dispatcher.HttpMethod,
    path: request.url ?? '/',
    headers: forwardedHeaders(request.headers),
    body: hasBody ? request : null,
    signal: abort.signal
  })
  response.writeHead(answer.statusCode, forwardedHeaders(answer.headers))
  answer.body.on('error', () => { response.destroy() })
  answer.body.pipe(response)
}

/**
 * Plain HTTP relay to one target, without admission or routing: the baseline for
 * the cost of one hop.
 *
 * @example
 * createHttpRelay('127.0.0.1:9001').server.listen(8080)
 */
export function createHttpRelay (target: string, connectionsCount = 256): { server: Server, pool: Pool } {
  const pool = new Pool(`http://${target}`, { connections: connectionsCount, pipelining: 1 })
  const server = createServer({ keepAliveTimeout: 60_000 }, (request, response) => {
    forwardRequest(pool, request, response).catch(() => {
      if (response.headersSent) response.destroy()
      else response.writeHead(502).end()
    })
  })
  return { server, pool }
}
