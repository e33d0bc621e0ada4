import type { Clock, Millis } from '../clock/clock.js'
import type { ConfigurationDb } from '../core/configuration/configurationDb.js'
import type { CallerLimits } from '../core/configuration/configurationTypes.js'
import { CallerServer, type IncomingRequest } from '../http/callerServer.js'
import { ExchangePool, type ExchangePoolOptions } from '../http/exchangePool.js'
import type { LimitListener } from '../http/messageLimits.js'
import { createAdminServer } from './adminServer.js'
import { OWN_ANSWER_BY_STATUS } from './callerDialect.js'
import type { MeshNodeOptions, MeshNodeSettings } from './meshNodeTypes.js'
import { RefusalReason } from './meshTypes.js'

/** Limits on callers' requests until the first configuration is in force. */
const LIMITS_BEFORE_CONFIGURATION: CallerLimits = {
  headMaxBytes: 16_384, bodyMaxBytes: 1_048_576, headTimeoutMs: 5_000, idleTimeoutMs: 30_000
}
const BACKEND_CONNECT_TIMEOUT_MS: Millis = 1_000
const BACKEND_CONNECTIONS_BEFORE_CONFIGURATION_COUNT = 16
const BACKEND_IDLE_MAX_MS: Millis = 8_000
const ANSWER_MAX_BYTES = 64 * 1024 * 1024
/** Limit on all answers that are being received. */
const ANSWERS_MAX_BYTES = 96 * 1024 * 1024
/** When a caller may come back whose body found no memory. */
const MEMORY_RETRY_AFTER_MS: Millis = 1_000
/** File descriptors reserved for listening sockets, peers, the store and log output. */
const DESCRIPTORS_RESERVED_COUNT = 800

/** Connections to the node's own backend server. */
export function createBackendPool (
  settings: MeshNodeSettings, clock: Clock, configuration: ConfigurationDb,
  listeners: Pick<ExchangePoolOptions, 'onLimitExceeded' | 'onForeignAnswer'>
): ExchangePool {
  return new ExchangePool({
    host: settings.backend.ip,
    port: settings.backend.port,
    clock,
    connectTimeoutMs: BACKEND_CONNECT_TIMEOUT_MS,
    idleMaxMs: BACKEND_IDLE_MAX_MS,
    answerMaxBytes: ANSWER_MAX_BYTES,
    answersMaxBytes: ANSWERS_MAX_BYTES,
    ...listeners,
    connectionsMaxCount: () => {
      return configuration.current?.services.get(settings.serviceName)?.connectionsMaxCount ??
        BACKEND_CONNECTIONS_BEFORE_CONFIGURATION_COUNT
    }
  })
}

/** Server for the callers on this VM. */
export function createCallerServer (
  { settings, clock, callerDialect }: MeshNodeOptions, configuration: ConfigurationDb,
  onRequest: (request: IncomingRequest) => void, onLimitExceeded: LimitListener
): CallerServer {
  return new CallerServer({
    host: settings.callerListen.ip,
    port: settings.callerListen.port,
    clock,
    connectionsMaxCount: settings.descriptorsMaxCount - DESCRIPTORS_RESERVED_COUNT,
    bounds: () => configuration.current?.limits ?? LIMITS_BEFORE_CONFIGURATION,
    onRequest,
    onLimitExceeded,
    errorAnswer: statusCode => {
      const answer = OWN_ANSWER_BY_STATUS[statusCode]
      return statusCode === 503
        ? callerDialect.createOwnAnswer(answer, RefusalReason.MemoryFull, MEMORY_RETRY_AFTER_MS)
        : callerDialect.createOwnAnswer(answer, 'malformed request', null)
    }
  })
}

/** Server that tells the platform whether the node is ready for requests. */
export function createReadyServer (
  settings: MeshNodeSettings, clock: Clock, isReady: () => boolean, onLimitExceeded: LimitListener
): CallerServer {
  return createAdminServer({
    host: settings.readyListen.ip,
    port: settings.readyListen.port,
    clock,
    onLimitExceeded,
    answer: path => {
      if (path !== settings.readyPath) return { statusCode: 404, text: '' }
      return { statusCode: isReady() ? 200 : 503, text: '' }
    }
  })
}

/** Server of the node's metrics, or null if the settings name no address for it. */
export function createMetricsServer (
  { metricsListen }: MeshNodeSettings, clock: Clock, renderText: () => string, onLimitExceeded: LimitListener
): CallerServer | null {
  if (metricsListen === null) return null
  return createAdminServer({
    host: metricsListen.ip,
    port: metricsListen.port,
    clock,
    onLimitExceeded,
    answer: () => ({ statusCode: 200, text: renderText() })
  })
}
