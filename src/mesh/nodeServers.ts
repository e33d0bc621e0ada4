import type { Clock, Millis } from '../clock/clock.js'
import type { ConfigurationDb } from '../core/configuration/configurationDb.js'
import type { CallerLimits } from '../core/configuration/configurationTypes.js'
import { CallerServer, type CallerServerOptions } from '../http/callerServer.js'
import { ExchangePool, type ExchangePoolOptions } from '../http/exchangePool.js'
import { ADMIN_CONNECTIONS_MAX_COUNT, createAdminServer, type AdminServerOptions } from './adminServer.js'
import { OWN_ANSWER_BY_STATUS } from './callerDialect.js'
import type { MeshNodeOptions, MeshNodeSettings } from './meshNodeTypes.js'
import { RefusalReason } from './meshTypes.js'

export { createMemoryAccount } from '../http/bufferCollection.js'

/** Limits on callers' requests until the first configuration is in force. */
const LIMITS_BEFORE_CONFIGURATION: CallerLimits = {
  headMaxBytes: 16_384, bodyMaxBytes: 1_048_576, headTimeoutMs: 5_000, idleTimeoutMs: 30_000
}
const BACKEND_CONNECT_TIMEOUT_MS: Millis = 1_000
const BACKEND_CONNECTIONS_BEFORE_CONFIGURATION_COUNT = 16
const BACKEND_IDLE_MAX_MS: Millis = 8_000
const ANSWER_MAX_BYTES = 64 * 1024 * 1024
/** When a caller may come back whose body found no memory. */
const MEMORY_RETRY_AFTER_MS: Millis = 1_000
/** Descriptors reserved for files; the platform counts all others as sockets. */
const FILE_DESCRIPTORS_COUNT = 200
/** Listening sockets and connections to the store, and connections to the ready and metrics addresses. */
const OWN_SOCKETS_COUNT = 16 + 2 * ADMIN_CONNECTIONS_MAX_COUNT
/** Part of the descriptors that connections to the backend server may use, and part for those of other nodes. */
const BACKEND_RATIO = 1 / 4
const PEERS_RATIO = 1 / 4
/** Part of the descriptors kept for connections from and to other nodes while there are fewer. */
const PEERS_MIN_RATIO = 1 / 8
const CALLER_CONNECTIONS_MIN_COUNT = 16

/** Shares of the process's descriptors. */
export class SocketShares {
  readonly #descriptorsMaxCount: number
  readonly #configuration: ConfigurationDb
  readonly #serviceName: string

  constructor ({ descriptorsMaxCount, serviceName }: MeshNodeSettings, configuration: ConfigurationDb) {
    this.#descriptorsMaxCount = descriptorsMaxCount
    this.#serviceName = serviceName
    this.#configuration = configuration
  }

  /** Limit on connections to the backend server. */
  get backendMaxCount (): number {
    const configuredCount = this.#configuration.current?.services.get(this.#serviceName)?.connectionsMaxCount ??
      BACKEND_CONNECTIONS_BEFORE_CONFIGURATION_COUNT
    return Math.min(configuredCount, Math.floor(this.#descriptorsMaxCount * BACKEND_RATIO))
  }

  /** Limit on connections from other nodes. */
  get peersMaxCount (): number {
    return Math.floor(this.#descriptorsMaxCount * PEERS_RATIO)
  }

  /** Limit on connections of callers: what is left beside the connections with other nodes and the backend server. */
  callersMaxCount (peerConnectionsCount: number): number {
    const peersCount = Math.max(this.#descriptorsMaxCount * PEERS_MIN_RATIO, peerConnectionsCount)
    const leftCount = this.#descriptorsMaxCount - FILE_DESCRIPTORS_COUNT - OWN_SOCKETS_COUNT -
      this.backendMaxCount - peersCount
    return Math.max(CALLER_CONNECTIONS_MIN_COUNT, Math.floor(leftCount))
  }
}

/** Connections to the node's own backend server. */
export function createBackendPool (
  settings: MeshNodeSettings, clock: Clock, sockets: SocketShares,
  options: Pick<ExchangePoolOptions, 'memory' | 'onLimitExceeded' | 'onForeignAnswer'>
): ExchangePool {
  return new ExchangePool({
    host: settings.backend.ip,
    port: settings.backend.port,
    clock,
    connectTimeoutMs: BACKEND_CONNECT_TIMEOUT_MS,
    idleMaxMs: BACKEND_IDLE_MAX_MS,
    answerMaxBytes: ANSWER_MAX_BYTES,
    ...options,
    connectionsMaxCount: () => sockets.backendMaxCount
  })
}

/** Server for the callers on this VM. */
export function createCallerServer (
  { settings, clock, callerDialect }: MeshNodeOptions, configuration: ConfigurationDb,
  handlers: Pick<CallerServerOptions, 'memory' | 'connectionsMaxCount' | 'onRequest' | 'onLimitExceeded'>
): CallerServer {
  return new CallerServer({
    host: settings.callerListen.ip,
    port: settings.callerListen.port,
    clock,
    bounds: () => configuration.current?.limits ?? LIMITS_BEFORE_CONFIGURATION,
    ...handlers,
    errorAnswer: statusCode => {
      const answer = OWN_ANSWER_BY_STATUS[statusCode]
      return statusCode === 503
        ? callerDialect.createOwnAnswer(answer, RefusalReason.MemoryFull, MEMORY_RETRY_AFTER_MS)
        : callerDialect.createOwnAnswer(answer, 'malformed request', null)
    }
  })
}

/** Servers of the ready address and, if the settings name one, of the metrics address. */
export function createOperatorServers (
  { readyListen, readyPath, metricsListen }: MeshNodeSettings,
  options: Pick<AdminServerOptions, 'clock' | 'memory' | 'onLimitExceeded'>,
  isReady: () => boolean, renderMetrics: () => string
): CallerServer[] {
  const readyServer = createAdminServer({
    ...options,
    host: readyListen.ip,
    port: readyListen.port,
    answer: path => path === readyPath ? { statusCode: isReady() ? 200 : 503, text: '' } : { statusCode: 404, text: '' }
  })
  if (metricsListen === null) return [readyServer]
  const metricsServer = createAdminServer({
    ...options,
    host: metricsListen.ip,
    port: metricsListen.port,
    answer: () => ({ statusCode: 200, text: renderMetrics() })
  })
  return [readyServer, metricsServer]
}
