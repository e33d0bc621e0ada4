import type { Clock } from '../clock/clock.js'
import { CallerServer, type OutgoingAnswer } from '../http/callerServer.js'

const BOUNDS = { headMaxBytes: 8_192, bodyMaxBytes: 0, headTimeoutMs: 2_000, idleTimeoutMs: 60_000 }
const CONNECTIONS_MAX_COUNT = 32
const EMPTY_BODY = Buffer.alloc(0)

export interface PageAnswer {
  readonly statusCode: 200 | 404 | 503
  readonly text: string
}

const STATUS_TEXTS = { 200: 'OK', 404: 'Not Found', 503: 'Service Unavailable' } as const

function outgoing ({ statusCode, text }: PageAnswer): OutgoingAnswer {
  return {
    statusCode,
    statusText: STATUS_TEXTS[statusCode],
    headerText: text === '' ? '' : 'Content-Type: text/plain; version=0.0.4\r\n',
    body: text === '' ? EMPTY_BODY : Buffer.from(text),
    hasLength: true
  }
}

export interface PageServerOptions {
  readonly host: string
  readonly port: number
  readonly clock: Clock
  readonly answer: (path: string) => PageAnswer
}

/** A small server for pages of the node's own: whether it takes new work, and its metrics. */
export function createPageServer ({ host, port, clock, answer }: PageServerOptions): CallerServer {
  return new CallerServer({
    host,
    port,
    clock,
    connectionsMaxCount: CONNECTIONS_MAX_COUNT,
    bounds: () => BOUNDS,
    onRequest: request => request.answer(outgoing(answer(request.head.target))),
    faultAnswer: statusCode => ({
      statusCode, statusText: 'Refused', headerText: '', body: EMPTY_BODY, hasLength: true
    })
  })
}
