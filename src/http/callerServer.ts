import { createServer, type Server, type Socket } from 'node:net'
import type { Millis } from '../clock/clock.js'
import { memoryAccountDefinition } from '../core/memoryAccount/memoryAccountDefinition.js'
import { MemoryShare, STALLED_MIN_MS } from '../core/memoryAccount/memoryAccountTypes.js'
import { CallerConnection } from './callerConnection.js'
import type { CallerServerOptions } from './callerServerTypes.js'
import { MessageLimit } from './messageLimits.js'

export * from './callerServerTypes.js'

/** Interval of the checks for idle connections and slow senders. */
const TIMEOUT_CHECK_PERIOD_MS: Millis = 500
/** A request of which no byte has arrived for this long stalls. */
const RECEIVING_SILENT_MAX_MS: Millis = 400

/** The connection with the largest value above 0, or undefined. */
function largestBy (
  connections: Iterable<CallerConnection>, valueOf: (connection: CallerConnection) => number
): CallerConnection | undefined {
  let largest: CallerConnection | undefined
  let largestValue = 0
  for (const connection of connections) {
    const value = valueOf(connection)
    if (value <= largestValue) continue
    largest = connection
    largestValue = value
  }
  return largest
}

/**
 * HTTP/1.1 server for callers. The sizes of heads and bodies, the number of
 * connections and the time for a head are limited, and what is held for all callers
 * is part of the process's memory account, so that slow or faulty callers cannot
 * exhaust the server.
 *
 * @example
 * const server = new CallerServer({ host, port, clock, memory, connectionsMaxCount: () => 2000, ...handlers })
 * await server.listen()
 */
export class CallerServer {
  readonly options: CallerServerOptions
  readonly #server: Server
  readonly #connections = new Set<CallerConnection>()
  #nextId = 1
  #heldBytes = 0
  #unsentBytes = 0
  #connectionBytes = 0
  #timeoutCheckTimer: NodeJS.Timeout | null = null
  #stopping = false

  constructor (options: CallerServerOptions) {
    this.options = options
    // The end of a caller's requests must not end an answer that it still reads.
    this.#server = createServer({ noDelay: true, allowHalfOpen: true }, socket => this.#accept(socket))
    this.#addHolders()
  }

  /** Adds what is held for callers to the memory account; unread answers are given up first, then requests. */
  #addHolders (): void {
    const { memory } = this.options
    const heldBytesOf = {
      unsent: () => this.#unsentBytes, requests: () => this.#heldBytes, connections: () => this.#connectionBytes
    }
    memoryAccountDefinition.addHolder(memory, {
      share: MemoryShare.CallerAnswers,
      get heldBytes () { return heldBytesOf.unsent() },
      shed: () => this.#shedUnsent(0),
      shedStalled: () => this.#shedUnsent(STALLED_MIN_MS)
    })
    memoryAccountDefinition.addHolder(memory, {
      share: MemoryShare.Requests,
      get heldBytes () { return heldBytesOf.requests() },
      shed: () => this.#shedBody(0),
      shedStalled: () => this.#shedBody(STALLED_MIN_MS)
    })
    memoryAccountDefinition.addHolder(memory, {
      share: MemoryShare.Connections,
      get heldBytes () { return heldBytesOf.connections() },
      shed: () => this.#shedHead() || this.#closeSilent(),
      shedStalled: () => false
    })
  }

  /** Whether the server is stopping; if so, each answer closes its connection. */
  get isStopping (): boolean {
    return this.#stopping
  }

  get connectionsCount (): number {
    return this.#connections.size
  }

  async listen (): Promise<number> {
    const { host, port } = this.options
    await new Promise<void>((resolve, reject) => {
      this.#server.once('error', reject)
      this.#server.listen({ host, port, backlog: 1024 }, resolve)
    })
    this.#timeoutCheckTimer = setInterval(() => this.#enforceTimeouts(), TIMEOUT_CHECK_PERIOD_MS)
    const address = this.#server.address()
    return typeof address === 'object' && address !== null ? address.port : port
  }

  /** Marks the server as stopping; it still accepts requests until `close`. */
  markStopping (): void {
    this.#stopping = true
  }

  /** Accepts no new connections and closes those without an open request. */
  close (): void {
    this.#stopping = true
    if (this.#timeoutCheckTimer !== null) clearInterval(this.#timeoutCheckTimer)
    this.#server.close()
    for (const connection of this.#connections) connection.closeIfIdle()
  }

  /** Whether a request is arriving: it is not complete, and does not stall. */
  get isReceiving (): boolean {
    const nowMs = this.options.clock.monotonicMs()
    for (const connection of this.#connections) {
      if (connection.isReceiving && connection.silentMs(nowMs) < RECEIVING_SILENT_MAX_MS) return true
    }
    return false
  }

  /** Whether an answer has not been handed to the operating system completely. */
  get hasUnsentAnswers (): boolean {
    for (const connection of this.#connections) if (connection.hasUnsentBytes) return true
    return false
  }

  /** Resets the connections whose answers are not sent completely, before the process ends. */
  resetUnsentAnswers (): void {
    for (const connection of this.#connections) if (connection.hasUnsentBytes) connection.destroy()
  }

  destroyAllConnections (): void {
    for (const connection of this.#connections) connection.destroy()
  }

  /** Whether a body of this length can be held. */
  acceptsBodyLength (lengthBytes: number): boolean {
    return memoryAccountDefinition.canHold(this.options.memory, lengthBytes)
  }

  /** Counts the bodies of open requests. */
  addHeldBytes (bytes: number): void {
    this.#heldBytes += bytes
    if (bytes > 0) this.options.memory.onArrival(bytes)
    this.#enforceMemory(bytes)
  }

  /** Counts answers that callers have not taken. */
  addUnsentBytes (bytes: number): void {
    this.#unsentBytes += bytes
    this.#enforceMemory(bytes)
  }

  /** Counts the memory of connections and of the heads of open requests. */
  addConnectionBytes (bytes: number): void {
    this.#connectionBytes += bytes
    this.#enforceMemory(bytes)
  }

  #enforceMemory (addedBytes: number): void {
    if (addedBytes > 0) memoryAccountDefinition.recordHeld(this.options.memory, addedBytes)
  }

  /** Closes the connection of the caller that keeps most bytes for longest. */
  #shedUnsent (stalledMinMs: Millis): boolean {
    const nowMs = this.options.clock.monotonicMs()
    const victim = largestBy(this.#connections, connection => {
      const stalledMs = connection.unsentStalledMs(nowMs)
      return stalledMs < stalledMinMs ? 0 : connection.unsentBytes * (1 + stalledMs)
    })
    victim?.closeByLimit(MessageLimit.UnreadAnswers)
    return victim !== undefined
  }

  /** Rejects the request whose body has most bytes and has not grown for longest. It has not been passed on. */
  #shedBody (stalledMinMs: Millis): boolean {
    const nowMs = this.options.clock.monotonicMs()
    const victim = largestBy(this.#connections, connection => {
      const silentMs = connection.silentMs(nowMs)
      return silentMs < stalledMinMs ? 0 : connection.undeliveredBytes * (1 + silentMs)
    })
    victim?.rejectForMemory(MessageLimit.Bodies)
    return victim !== undefined
  }

  #shedHead (): boolean {
    const nowMs = this.options.clock.monotonicMs()
    const victim = largestBy(this.#connections, connection => {
      return connection.receivingHeadBytes * (1 + connection.silentMs(nowMs))
    })
    victim?.rejectForMemory(MessageLimit.Connections)
    return victim !== undefined
  }

  /** Closes the connection without an open request that has been silent for longest. */
  #closeSilent (): boolean {
    const nowMs = this.options.clock.monotonicMs()
    const victim = largestBy(this.#connections, connection => connection.isAwaited ? 0 : 1 + connection.silentMs(nowMs))
    victim?.closeByLimit(MessageLimit.Connections)
    return victim !== undefined
  }

  removeConnection (connection: CallerConnection): void {
    this.#connections.delete(connection)
  }

  #accept (socket: Socket): void {
    const isFull = this.#connections.size >= this.options.connectionsMaxCount()
    if (isFull && !this.#closeSilent() && !this.#shedUnsent(STALLED_MIN_MS)) {
      this.options.onLimitExceeded(MessageLimit.Connections)
      socket.destroy()
      return
    }
    const connection = new CallerConnection(this, socket, this.#nextId++, this.options.clock.monotonicMs())
    this.#connections.add(connection)
    connection.open()
  }

  #enforceTimeouts (): void {
    const nowMs = this.options.clock.monotonicMs()
    const bounds = this.options.bounds()
    for (const connection of this.#connections) connection.enforceTimeouts(nowMs, bounds)
  }
}
