import { memoryAccountDefinition } from '../core/memoryAccount/memoryAccountDefinition.js'
import { MemoryShare, type MemoryHolder } from '../core/memoryAccount/memoryAccountTypes.js'
import type { Millis } from '../clock/clock.js'
import { ExchangeConnection } from './exchangeConnection.js'
import type { Exchange, ExchangePoolOptions, ExchangeRequest } from './exchangeTypes.js'
import { MessageLimit } from './messageLimits.js'

export * from './exchangeTypes.js'

/**
 * Pool of HTTP/1.1 connections to one address, with one request on each at a
 * time and the most recently used connection first. A connection is closed after
 * any error.
 *
 * @example
 * const pool = new ExchangePool({ host: '127.0.0.1', port: 8301, clock, ...bounds })
 * pool.send({ bytes, isHead: false, requestId: null, matchAnswer: () => AnswerMatch.Own, onResult })
 */
export class ExchangePool implements MemoryHolder {
  readonly share = MemoryShare.ServerAnswers
  readonly options: ExchangePoolOptions
  readonly #idleConnections: ExchangeConnection[] = []
  readonly #connections = new Set<ExchangeConnection>()
  /** Connections with long answers of unknown length, the oldest first. */
  readonly #growing = new Set<ExchangeConnection>()
  #bodiesBytes = 0

  constructor (options: ExchangePoolOptions) {
    this.options = options
  }

  get connectionsCount (): number {
    return this.#connections.size
  }

  /**
   * Sends a request, or returns undefined when no connection may be opened for it. A request that is sent once more
   * goes over a connection that has not carried it, since a late copy of its refusal has the same id as its answer.
   */
  send (request: ExchangeRequest): Exchange | undefined {
    const connection = this.#takeIdleConnection(request.requestId) ?? this.#openConnection()
    connection?.start(request)
    return connection
  }

  /**
   * Opens a connection that the next request can use, and reports whether the
   * server accepted it. Reports true without a try when the pool is full.
   */
  probeConnect (onResult: (isOpen: boolean) => void): void {
    const connection = this.#openConnection(onResult)
    if (connection === undefined) onResult(true)
  }

  /** Closes connections whose idle time has passed. */
  closeStaleConnections (): void {
    const nowMs = this.options.clock.monotonicMs()
    while (
      this.#idleConnections.length > 0 && this.#isStale(this.#idleConnections[0]!, nowMs)
    ) this.#idleConnections[0]!.close()
  }

  closeAll (): void {
    for (const connection of this.#connections) connection.close()
  }

  addIdle (connection: ExchangeConnection): void {
    this.#idleConnections.push(connection)
  }

  /** Counts what connections hold of incomplete answers. */
  addBodyBytes (bytes: number): void {
    this.#bodiesBytes += bytes
    if (bytes > 0) memoryAccountDefinition.recordHeld(this.options.memory, bytes)
  }

  addGrowing (connection: ExchangeConnection): void {
    this.#growing.add(connection)
  }

  removeGrowing (connection: ExchangeConnection): void {
    this.#growing.delete(connection)
  }

  /** The oldest answer of unknown length goes first: if all grew by turns, each could wait for the others. */
  isOldestGrowing (connection: ExchangeConnection): boolean {
    return this.#growing.values().next().value === connection
  }

  get heldBytes (): number {
    return this.#bodiesBytes
  }

  /** Gives up the largest incomplete answer. */
  shed (): boolean {
    const largest = [...this.#connections].reduce((most, other) => {
      return other.countedBytes > most.countedBytes ? other : most
    })
    if (largest.countedBytes === 0) return false
    largest.failByLimit(MessageLimit.Bodies)
    return true
  }

  /** The time limit of its request ends an exchange whose server makes no progress. */
  shedStalled (): boolean {
    return false
  }

  removeConnection (connection: ExchangeConnection): void {
    this.#connections.delete(connection)
    const at = this.#idleConnections.indexOf(connection)
    if (at >= 0) this.#idleConnections.splice(at, 1)
  }

  #isStale (connection: ExchangeConnection, nowMs: Millis): boolean {
    return nowMs - connection.idleSinceMs >= connection.idleMaxMs
  }

  #takeIdleConnection (requestId: string | null): ExchangeConnection | undefined {
    const nowMs = this.options.clock.monotonicMs()
    for (let at = this.#idleConnections.length - 1; at >= 0; at--) {
      const connection = this.#idleConnections[at]!
      if (this.#isStale(connection, nowMs)) connection.close()
      else if (requestId === null || !connection.hasRefused(requestId)) {
        this.#idleConnections.splice(at, 1)
        return connection
      }
    }
    // The idle connections that are left carried this request. One makes room for a new one.
    if (this.#connections.size >= this.options.connectionsMaxCount()) this.#idleConnections[0]?.close()
    return undefined
  }

  #openConnection (onProbed: ((isOpen: boolean) => void) | null = null): ExchangeConnection | undefined {
    if (this.#connections.size >= this.options.connectionsMaxCount()) return undefined
    const connection = new ExchangeConnection(this, onProbed)
    this.#connections.add(connection)
    return connection
  }
}
