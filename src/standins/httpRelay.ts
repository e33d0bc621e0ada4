import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { Pool, type Dispatcher } from 'undici'

const HOP_HEADERS = new Set(['connection', 'keep-alive', 'host', 'transfer-encoding'])

function forwardedHeaders (headers: IncomingMessage['headers']): Record<string, string | string[]> {
  const forwarded: Record<string, string | string[]> = {}
  for (const [name, value] of Object.entries(headers)) {
    if (value !== undefined && !HOP_HEADERS.has(name)) forwarded[name] = value
  }
  return forwarded
}

async function forward (pool: Pool, request: IncomingMessage, response: ServerResponse): Promise<void> {
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
 * Bare HTTP relay with one target: what a single hop costs without any decision.
 *
 * @example
 * createHttpRelay('127.0.0.1:9001').server.listen(8080)
 */
export function createHttpRelay (target: string, connectionsCount = 256): { server: Server, pool: Pool } {
  const pool = new Pool(`http://${target}`, { connections: connectionsCount, pipelining: 1 })
  const server = createServer({ keepAliveTimeout: 60_000 }, (request, response) => {
    forward(pool, request, response).catch(() => {
      if (response.headersSent) response.destroy()
      else response.writeHead(502).end()
    })
  })
  return { server, pool }
}
