import type { Socket } from 'node:net'
import type { Clock, Millis } from '../clock/clock.js'
import { Reason } from '../core/coreTypes.js'
import { ConnectionEvent } from '../core/routing/routingTypes.js'
import { PoolCall, type CallOwner } from './poolCall.js'
import { openSocket, PoolConnection, type OpenAttempt } from './poolConnection.js'
import {
  POOL_DEFAULTS, type Cancellation, type ConnectionPoolOptions, type PoolAnswer, type PoolBounds,
  type PoolFailureReason, type PoolRequest, type PoolResult
} from './poolTypes.js'

export * from './poolTypes.js'

/** Longest delay of a Node.js timer: a signed 32-bit number of milliseconds. */
const TIMER_MAX_MS = 2_147_483_647
/** Most times a request is moved to another connection because its own closed before a byte was written. */
const RESENDS_MAX_COUNT = 2
/** Delay until connects that the rate limit rejected are tried again. */
const CONNECT_RECHECK_MS = 5

interface PendingCall {
  readonly resolve: (result: PoolResult) => void
  readonly timer: NodeJS.Timeout
  readonly cancellation: Cancellation | undefined
}

/**
 * Pool of HTTP/1.1 connections to one address (`ip:port`), with one request on
 * each at a time and the most recently used connection first. A connection is
 * closed and not reused after an error, a timeout or a cancellation. `send` does
 * not reject; a request without a complete answer resolves to `failed` with the
 * reason.
 *
 * @example
 * const pool = new ConnectionPool('127.0.0.1:9000', { clock: systemClock })
 * const result = await pool.send({ method: 'GET', path: '/', headers: {}, body: null, timeoutMs: 200 })
 */
export class ConnectionPool implements CallOwner {
  readonly #address: string
  readonly #clock: Clock
  readonly #bounds: PoolBounds
  readonly #options: ConnectionPoolOptions
  readonly #idleConnections: PoolConnection[] = []
  readonly #connections = new Set<PoolConnection>()
  readonly #openAttempts = new Set<OpenAttempt>()
  readonly #waitingCalls: PoolCall[] = []
  readonly #pendingCalls = new Map<PoolCall, PendingCall>()
  readonly #onClosed: Array<() => void> = []
  #isClosing = false
  #probingCount = 0
  #probeNumber = 0
  #lastTimeoutAtMs: Millis = -Infinity
  #connectTokens: number
  #tokensRefilledAtMs: Millis
  #recheckTimer: NodeJS.Timeout | null = null

  constructor (address: string, options: ConnectionPoolOptions) {
    this.#address = address
    this.#clock = options.clock
    this.#options = options
    this.#bounds = { ...POOL_DEFAULTS, ...options }
    this.#connectTokens = this.#bounds.connectBurstCount
    this.#tokensRefilledAtMs = options.clock.monotonicMs()
  }

  get connectionsCount (): number {
    return this.#connections.size
  }

  /** Sends a request and waits for the complete answer. */
  send (request: PoolRequest, cancellation?: Cancellation): Promise<PoolResult> {
    return this.#startCall(request, cancellation, false)
  }

  /** Sends a GET request for `path` and reports the result as a probe event. */
  probe (path: string, timeoutMs: Millis): Promise<PoolResult> {
    return this.#startCall(this.#buildProbeRequest(path, timeoutMs), undefined, true)
  }

  /** Accepts no new requests, waits for pending ones, then closes all connections. */
  close (): Promise<void> {
    this.#isClosing = true
    for (const connection of this.#idleConnections.splice(0)) connection.destroy()
    return new Promise(resolve => {
      this.#onClosed.push(resolve)
      this.#finishCloseIfDrained()
    })
  }

  #startCall (request: PoolRequest, cancellation: Cancellation | undefined, isProbe: boolean): Promise<PoolResult> {
    const call = new PoolCall(request, this, this.#bounds, this.#clock.monotonicMs(), isProbe)
    return new Promise(resolve => {
      const timeoutMs = Math.min(Math.max(request.timeoutMs, 0), TIMER_MAX_MS)
      const timer = setTimeout(() => this.#onTimeout(call), timeoutMs)
      this.#pendingCalls.set(call, { resolve, timer, cancellation })
      if (cancellation !== undefined) cancellation.onCancel = () => this.onFailed(call, Reason.CallerCancelled)
      if (cancellation?.isCancelled === true) this.onFailed(call, Reason.CallerCancelled)
      else if (this.#isClosing || this.#waitingCalls.length >= this.#bounds.waitingMaxCount) {
        this.onFailed(call, Reason.ConnectFailed, true)
      } else this.#assignConnection(call)
    })
  }

  #assignConnection (call: PoolCall): void {
    const connection = this.#takeIdleConnection()
    if (connection !== undefined) {
      call.dispatchOn(connection)
      return
    }
    this.#waitingCalls.push(call)
    this.#openForWaitingCalls()
  }

  /** Takes the most recently used connection that needs no probe, and probes idle ones that it passes over. */
  #takeIdleConnection (): PoolConnection | undefined {
    const nowMs = this.#clock.monotonicMs()
    for (let at = this.#idleConnections.length - 1; at >= 0; at--) {
      const connection = this.#idleConnections[at]!
      if (!connection.isUsable) this.#idleConnections.splice(at, 1)
      else if (!this.#isSuspect(connection, nowMs)) {
        this.#idleConnections.splice(at, 1)
        return connection
      } else if (this.#probingCount < this.#bounds.concurrentProbesMaxCount) {
        this.#idleConnections.splice(at, 1)
        this.#probeConnection(connection)
      }
    }
    return undefined
  }

  #isSuspect (connection: PoolConnection, nowMs: Millis): boolean {
    const sinceReceivedMs = nowMs - connection.lastReceivedAtMs
    if (sinceReceivedMs > this.#bounds.idleProbeAfterMs) return true
    return connection.lastReceivedAtMs <= this.#lastTimeoutAtMs &&
      sinceReceivedMs > this.#bounds.idleProbeAfterTimeoutMs
  }

  #buildProbeRequest (path: string, timeoutMs: Millis): PoolRequest {
    const headers = { 'ragwortspur-call': `probe-${++this.#probeNumber}` }
    return { method: 'GET', path, headers, body: null, timeoutMs }
  }

  #probeConnection (connection: PoolConnection): void {
    const { probePath, probeTimeoutMs } = this.#bounds
    const request = this.#buildProbeRequest(probePath, probeTimeoutMs)
    const call = new PoolCall(request, this, this.#bounds, this.#clock.monotonicMs(), true)
    // The probe tests this connection, so it must not be moved to another one.
    call.resendsCount = RESENDS_MAX_COUNT
    const timer = setTimeout(() => this.#onTimeout(call), probeTimeoutMs)
    this.#probingCount++
    const resolve = (): void => { this.#probingCount-- }
    this.#pendingCalls.set(call, { resolve, timer, cancellation: undefined })
    call.dispatchOn(connection)
  }

  /** Opens connections for waiting calls, within the limits of the pool. */
  #openForWaitingCalls (): void {
    while (this.#openAttempts.size < this.#waitingCalls.length) {
      if (this.#connections.size + this.#openAttempts.size >= this.#bounds.connectionsMaxCount) {
        // Connections are idle while calls wait only if they are suspect; the least recently used one is replaced.
        const oldestIdle = this.#idleConnections.shift()
        if (oldestIdle === undefined) return
        this.#connections.delete(oldestIdle)
        oldestIdle.destroy()
      }
      if (!(this.#options.mayConnect ?? this.#takeConnectToken)()) {
        this.#scheduleConnectRecheck()
        return
      }
      this.#openConnection()
    }
  }

  readonly #takeConnectToken = (): boolean => {
    const { connectsPerS, connectBurstCount } = this.#bounds
    const nowMs = this.#clock.monotonicMs()
    const refilled = this.#connectTokens + (nowMs - this.#tokensRefilledAtMs) * connectsPerS / 1000
    this.#connectTokens = Math.min(connectBurstCount, refilled)
    this.#tokensRefilledAtMs = nowMs
    if (this.#connectTokens < 1) return false
    this.#connectTokens--
    return true
  }

  #scheduleConnectRecheck (): void {
    this.#recheckTimer ??= setTimeout(() => {
      this.#recheckTimer = null
      this.#openForWaitingCalls()
    }, CONNECT_RECHECK_MS)
  }

  #openConnection (): void {
    const attempt = openSocket(this.#address, this.#bounds.connectTimeoutMs, socket => {
      this.#openAttempts.delete(attempt)
      if (socket === undefined) this.#onOpenFailed()
      else this.#onOpened(socket)
      this.#finishCloseIfDrained()
    })
    this.#openAttempts.add(attempt)
  }

  #onOpened (socket: Socket): void {
    const nowMs = this.#clock.monotonicMs()
    const connection = new PoolConnection(
      this.#address, socket, this.#bounds.idleCloseAfterMs, nowMs, this.#onConnectionClosed
    )
    this.#connections.add(connection)
    this.#emit(ConnectionEvent.Opened)
    this.#releaseConnection(connection)
  }

  /** Fails the call that has waited longest, or all waiting calls when no connection is open or opening. */
  #onOpenFailed (): void {
    this.#emit(ConnectionEvent.OpenFailed)
    const failedCount = this.#connections.size + this.#openAttempts.size === 0 ? this.#waitingCalls.length : 1
    for (const call of this.#waitingCalls.slice(0, failedCount)) this.onFailed(call, Reason.ConnectFailed)
  }

  readonly #onConnectionClosed = (connection: PoolConnection): void => {
    this.#connections.delete(connection)
    const at = this.#idleConnections.indexOf(connection)
    if (at >= 0) this.#idleConnections.splice(at, 1)
    this.#openForWaitingCalls()
    this.#finishCloseIfDrained()
  }

  /** Assigns a connection to the call that has waited longest, or keeps it idle. */
  #releaseConnection (connection: PoolConnection): void {
    if (!connection.isUsable) return
    const next = this.#waitingCalls.shift()
    if (next !== undefined) next.dispatchOn(connection)
    else if (this.#isClosing) connection.destroy()
    else this.#idleConnections.push(connection)
  }

  onAnswered (call: PoolCall, answer: Omit<PoolAnswer, 'kind' | 'tookMs'>, reusable: boolean): void {
    const connection = call.connection!
    const nowMs = this.#clock.monotonicMs()
    connection.lastReceivedAtMs = nowMs
    this.#emit(call.isProbe ? ConnectionEvent.ProbeAnswered : ConnectionEvent.Answered)
    this.#settleCall(call, { kind: 'answered', ...answer, tookMs: nowMs - call.startedAtMs })
    if (reusable) this.#releaseConnection(connection)
    else connection.destroy()
    this.#finishCloseIfDrained()
  }

  onFailed (call: PoolCall, reason: PoolFailureReason, poolBusy = false): void {
    if (call.hasEnded) return
    const { connection, bytesSent } = call
    if (reason === Reason.ConnectionLost || reason === Reason.AnswerTruncated) this.#emit(ConnectionEvent.Reset)
    if (connection === null) this.#removeWaitingCall(call)
    const tookMs = this.#clock.monotonicMs() - call.startedAtMs
    this.#settleCall(call, { kind: 'failed', reason, bytesSent, poolBusy, tookMs })
    connection?.destroy()
    this.#finishCloseIfDrained()
  }

  onPiece (call: PoolCall, bytes: number): void {
    this.#options.holdings?.addServerAnswerPiece(call, bytes, () => this.onFailed(call, Reason.BodyTooLarge))
  }

  onUnsent (call: PoolCall, error: Error): void {
    // undici refused to write the request, so the failure says nothing about the address.
    const isInvalid = (error as { code?: string }).code === 'UND_ERR_INVALID_ARG'
    if (isInvalid || call.resendsCount >= RESENDS_MAX_COUNT) {
      this.onFailed(call, Reason.ConnectFailed, isInvalid)
      return
    }
    call.resendsCount++
    call.connection = null
    this.#waitingCalls.unshift(call)
    this.#openForWaitingCalls()
  }

  #onTimeout (call: PoolCall): void {
    if (call.bytesSent) {
      this.#lastTimeoutAtMs = this.#clock.monotonicMs()
      this.#emit(call.isProbe ? ConnectionEvent.ProbeTimedOut : ConnectionEvent.TimedOut)
    }
    if (call.bytesSent) this.onFailed(call, Reason.AnswerTimeout)
    else this.onFailed(call, Reason.ConnectFailed, this.#connections.size > 0)
  }

  #removeWaitingCall (call: PoolCall): void {
    const at = this.#waitingCalls.indexOf(call)
    if (at >= 0) this.#waitingCalls.splice(at, 1)
  }

  #settleCall (call: PoolCall, result: PoolResult): void {
    call.hasEnded = true
    this.#options.holdings?.removeServerAnswer(call)
    const pending = this.#pendingCalls.get(call)
    this.#pendingCalls.delete(call)
    if (pending === undefined) return
    clearTimeout(pending.timer)
    if (pending.cancellation !== undefined) pending.cancellation.onCancel = null
    pending.resolve(result)
  }

  #finishCloseIfDrained (): void {
    if (!this.#isClosing || this.#pendingCalls.size > 0) return
    for (const attempt of this.#openAttempts) attempt.cancel()
    this.#openAttempts.clear()
    for (const connection of this.#connections) connection.destroy()
    if (this.#recheckTimer !== null) clearTimeout(this.#recheckTimer)
    if (this.#connections.size === 0) for (const resolve of this.#onClosed.splice(0)) resolve()
  }

  #emit (event: ConnectionEvent): void {
    this.#options.onEvent?.(this.#address, event)
  }
}
