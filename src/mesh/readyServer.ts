import type { Clock } from '../clock/clock.js'
import { CallerServer, type OutgoingAnswer } from '../http/callerServer.js'

const BOUNDS = { headMaxBytes: 8_192, bodyMaxBytes: 0, headTimeoutMs: 2_000, idleTimeoutMs: 60_000 }
const CONNECTIONS_MAX_COUNT = 32

function answer (statusCode: number, statusText: string): OutgoingAnswer {
  return { statusCode, statusText, headerText: '', body: Buffer.alloc(0), hasLength: true }
}

export interface ReadyServerOptions {
  readonly host: string
  readonly port: number
  readonly clock: Clock
  readonly path: string
  readonly isReady: () => boolean
}

/** Answers the platform's question whether this node takes new work. */
export function createReadyServer ({ host, port, clock, path, isReady }: ReadyServerOptions): CallerServer {
  return new CallerServer({
    host,
    port,
    clock,
    connectionsMaxCount: CONNECTIONS_MAX_COUNT,
    bounds: () => BOUNDS,
    onRequest: request => {
      if (request.head.target !== path) request.answer(answer(404, 'Not Found'))
      else if (isReady()) request.answer(answer(200, 'OK'))
      else request.answer(answer(503, 'Service Unavailable'))
    },
    faultAnswer: statusCode => answer(statusCode, 'Refused')
  })
}
