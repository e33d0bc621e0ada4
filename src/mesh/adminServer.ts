import type { Clock } from '../clock/clock.js'
import type { MemoryAccountDb } from '../core/memoryAccount/memoryAccountDb.js'
import { CallerServer, type OutgoingAnswer } from '../http/callerServer.js'
import type { LimitListener } from '../http/messageLimits.js'

const CALLER_LIMITS = { headMaxBytes: 8_192, bodyMaxBytes: 0, headTimeoutMs: 2_000, idleTimeoutMs: 60_000 }
/** Connections to each of these endpoints. */
export const ADMIN_CONNECTIONS_MAX_COUNT = 32
const EMPTY_BODY = Buffer.alloc(0)

export interface AdminAnswer {
  readonly statusCode: 200 | 404 | 503
  readonly text: string
}

const STATUS_TEXTS = { 200: 'OK', 404: 'Not Found', 503: 'Service Unavailable' } as const

function toOutgoingAnswer ({ statusCode, text }: AdminAnswer): OutgoingAnswer {
  return {
    statusCode,
    statusText: STATUS_TEXTS[statusCode],
    headerText: text === '' ? '' : 'Content-Type: text/plain; version=0.0.4\r\n',
    body: text === '' ? EMPTY_BODY : Buffer.from(text),
    hasLength: true
  }
}

export interface AdminServerOptions {
  readonly host: string
  readonly port: number
  readonly clock: Clock
  readonly memory: MemoryAccountDb
  readonly answer: (path: string) => AdminAnswer
  readonly onLimitExceeded: LimitListener
}

/** Creates an HTTP server for one operational endpoint of the node: readiness or metrics. */
export function createAdminServer (options: AdminServerOptions): CallerServer {
  const { host, port, clock, memory, answer, onLimitExceeded } = options
  return new CallerServer({
    host,
    port,
    clock,
    memory,
    connectionsMaxCount: () => ADMIN_CONNECTIONS_MAX_COUNT,
    bounds: () => CALLER_LIMITS,
    onLimitExceeded,
    onRequest: request => request.answer(toOutgoingAnswer(answer(request.head.target))),
    errorAnswer: statusCode => ({
      statusCode, statusText: 'Refused', headerText: '', body: EMPTY_BODY, hasLength: true
    })
  })
}
