import type { Socket } from 'node:net'
import type { Clock, Millis } from '../clock/clock.js'
import { Reason } from '../core/coreTypes.js'
import { ConnectionEvent } from '../core/routing/routingTypes.js'
import { PoolCall, type CallOwner } from './poolCall.js'
import { openSocket, PoolConnection, type OpenAttempt } from './poolConnection.js'
import {
  POOL_DEFAULTS, type Cancellation, type ConnectionPoolOptions, type PoolAnswer, type PoolBounds, type PoolFailure,
  type PoolRequest, type PoolResult
} from './poolTypes.js'

export * from './poolTypes.js'

/** Node timers hold at most a signed 32-bit number of milliseconds. */
const TIMER_MAX_MS = 2_147_483_647
/** A request that met this many closed connections in a row fails instead of trying another. */
const RESENDS_MAX_COUNT = 2
/** How soon a held-back connect is tried again. */
const CONNECT_RECHECK_MS = 5

interface Pending {
  readonly resolve: (result: PoolResult) => void
  readonly timer: NodeJS.Timeout
  readonly cancellation: Cancellation | undefined
}

/**
 * Connections to one place (`ip:port`), one HTTP/1.1 request on each at a time,
 * the most recently used first. A connection that failed, timed out or whose
 * caller went away is closed and never used again. `send` does not reject; a
 * request that got no whole answer resolves to `failed` with its reason.
 *
 * @example
 * const pool = new ConnectionPool('127.0.0.1:9000', { clock: systemClock })
 * const result = await pool.send({ method: 'GET', path: '/', headers: {}, body: null, timeoutMs: 200 })
 */
export class ConnectionPool implements CallOwner {
  readonly #place: string
  readonly #clock: Clock
  readonly #bounds: PoolBounds
  readonly #options: ConnectionPoolOptions
  readonly #idle: PoolConnection[] = []
  readonly #connections = new Set<PoolConnection>()
  readonly #openings = new Set<OpenAttempt>()
  readonly #waiting: PoolCall[] = []
  readonly #pending = new Map<PoolCall, Pending>()
  readonly #onClosed: Array<() => void> = []
  #closing = false
  #probingCount = 0
  #probeNumber = 0
  #lastTimeoutMs: Millis = -Infinity
  #connectTokens: number
  #tokensAtMs: Millis
  #recheckTimer: NodeJS.Timeout | null = null

  constructor (place: string, options: ConnectionPoolOptions) {
    this.#place = place
    this.#clock = options.clock
    this.#options = options
    this.#bounds = { ...POOL_DEFAULTS, ...options }
    this.#connectTokens = this.#bounds.connectBurstCount
    this.#tokensAtMs = options.clock.monotonicMs()
  }

  get connectionsCount (): number {
    return this.#connections.size
  }

  /** Sends a request and waits for the whole answer. */
  send (request: PoolRequest, cancellation?: Cancellation): Promise<PoolResult> {
    return this.#start(request, cancellation, false)
  }

  /** Asks the place for `path` with GET, and reports the result as a probe event. */
  probe (path: string, timeoutMs: Millis): Promise<PoolResult> {
    return this.#start(this.#probeRequest(path, timeoutMs), undefined, true)
  }

  /** Takes no more requests, waits for those it has, then closes all connections. */
  close (): Promise<void> {
    this.#closing = true
    for (const connection of this.#idle.splice(0)) connection.destroy()
    return new Promise(resolve => {
      this.#onClosed.push(resolve)
      this.#finishClose()
    })
  }

  #start (request: PoolRequest, cancellation: Cancellation | undefined, isProbe: boolean): Promise<PoolResult> {
    const call = new PoolCall(request, this, this.#bounds.answerMaxBytes, this.#clock.monotonicMs(), isProbe)
    return new Promise(resolve => {
      const timeoutMs = Math.min(Math.max(request.timeoutMs, 0), TIMER_MAX_MS)
      const timer = setTimeout(() => this.#timedOut(call), timeoutMs)
      this.#pending.set(call, { resolve, timer, cancellation })
      if (cancellation !== undefined) cancellation.onCancel = () => this.failed(call, Reason.CallerCancelled)
      if (cancellation?.cancelled === true) this.failed(call, Reason.CallerCancelled)
      else if (this.#closing || this.#waiting.length >= this.#bounds.waitingMaxCount) {
        this.failed(call, Reason.ConnectFailed, true)
      } else this.#serve(call)
    })
  }

  #serve (call: PoolCall): void {
    const connection = this.#takeIdle()
    if (connection !== undefined) {
      call.dispatchOn(connection)
      return
    }
    this.#waiting.push(call)
    this.#openMore()
  }

  /** The most recently used connection that needs no probe; probes some of the others. */
  #takeIdle (): PoolConnection | undefined {
    const nowMs = this.#clock.monotonicMs()
    for (let at = this.#idle.length - 1; at >= 0; at--) {
      const connection = this.#idle[at]!
      if (!connection.usable) this.#idle.splice(at, 1)
      else if (!this.#isSuspect(connection, nowMs)) {
        this.#idle.splice(at, 1)
        return connection
      } else if (this.#probingCount < this.#bounds.probesAtOnceCount) {
        this.#idle.splice(at, 1)
        this.#probeConnection(connection)
      }
    }
    return undefined
  }

  #isSuspect (connection: PoolConnection, nowMs: Millis): boolean {
    const silentMs = nowMs - connection.lastHeardMs
    if (silentMs > this.#bounds.idleProbeAfterMs) return true
    return connection.lastHeardMs <= this.#lastTimeoutMs && silentMs > this.#bounds.silentAfterTimeoutMs
  }

  #probeRequest (path: string, timeoutMs: Millis): PoolRequest {
    const headers = { 'ragwortspur-call': `probe-${++this.#probeNumber}` }
    return { method: 'GET', path, headers, body: null, timeoutMs }
  }

  #probeConnection (connection: PoolConnection): void {
    const { probePath, probeTimeoutMs, answerMaxBytes } = this.#bounds
    const request = this.#probeRequest(probePath, probeTimeoutMs)
    const call = new PoolCall(request, this, answerMaxBytes, this.#clock.monotonicMs(), true)
    // A probe that meets a closed connection must not go to another one.
    call.resentCount = RESENDS_MAX_COUNT
    const timer = setTimeout(() => this.#timedOut(call), probeTimeoutMs)
    this.#probingCount++
    const resolve = (): void => { this.#probingCount-- }
    this.#pending.set(call, { resolve, timer, cancellation: undefined })
    call.dispatchOn(connection)
  }

  /** Opens connections for the calls that wait, within the bounds. */
  #openMore (): void {
    while (this.#openings.size < this.#waiting.length) {
      if (this.#connections.size + this.#openings.size >= this.#bounds.connectionsMaxCount) {
        // Connections that stay idle while calls wait are suspect; the oldest gives way to a fresh one.
        const silent = this.#idle.shift()
        if (silent === undefined) return
        this.#connections.delete(silent)
        silent.destroy()
      }
      if (!(this.#options.mayConnect ?? this.#takeConnectToken)()) {
        this.#recheckLater()
        return
      }
      this.#open()
    }
  }

  readonly #takeConnectToken = (): boolean => {
    const { connectsPerS, connectBurstCount } = this.#bounds
    const nowMs = this.#clock.monotonicMs()
    const refilled = this.#connectTokens + (nowMs - this.#tokensAtMs) * connectsPerS / 1000
    this.#connectTokens = Math.min(connectBurstCount, refilled)
    this.#tokensAtMs = nowMs
    if (this.#connectTokens < 1) return false
    this.#connectTokens--
    return true
  }

  #recheckLater (): void {
    this.#recheckTimer ??= setTimeout(() => {
      this.#recheckTimer = null
      this.#openMore()
    }, CONNECT_RECHECK_MS)
  }

  #open (): void {
    const attempt = openSocket(this.#place, this.#bounds.connectTimeoutMs, socket => {
      this.#openings.delete(attempt)
      if (socket === undefined) this.#openFailed()
      else this.#opened(socket)
      this.#finishClose()
    })
    this.#openings.add(attempt)
  }

  #opened (socket: Socket): void {
    const nowMs = this.#clock.monotonicMs()
    const connection = new PoolConnection(this.#place, socket, this.#bounds.idleCloseMs, nowMs, this.#dropped)
    this.#connections.add(connection)
    this.#emit(ConnectionEvent.Opened)
    this.#release(connection)
  }

  /** Fails the call that waited longest, and all of them when no connection is left to wait for. */
  #openFailed (): void {
    this.#emit(ConnectionEvent.OpenFailed)
    const failedCount = this.#connections.size + this.#openings.size === 0 ? this.#waiting.length : 1
    for (const call of this.#waiting.slice(0, failedCount)) this.failed(call, Reason.ConnectFailed)
  }

  readonly #dropped = (connection: PoolConnection): void => {
    this.#connections.delete(connection)
    const at = this.#idle.indexOf(connection)
    if (at >= 0) this.#idle.splice(at, 1)
    this.#openMore()
    this.#finishClose()
  }

  /** Gives a connection to the call that waits longest, or keeps it. */
  #release (connection: PoolConnection): void {
    if (!connection.usable) return
    const next = this.#waiting.shift()
    if (next !== undefined) next.dispatchOn(connection)
    else if (this.#closing) connection.destroy()
    else this.#idle.push(connection)
  }

  answered (call: PoolCall, answer: Omit<PoolAnswer, 'kind' | 'tookMs'>, reusable: boolean): void {
    const connection = call.connection!
    const nowMs = this.#clock.monotonicMs()
    connection.lastHeardMs = nowMs
    this.#emit(call.isProbe ? ConnectionEvent.ProbeAnswered : ConnectionEvent.Answered)
    this.#end(call, { kind: 'answered', ...answer, tookMs: nowMs - call.startedMs })
    if (reusable) this.#release(connection)
    else connection.destroy()
    this.#finishClose()
  }

  failed (call: PoolCall, reason: PoolFailure, poolBusy = false): void {
    if (call.ended) return
    const { connection, bytesSent } = call
    if (reason === Reason.ConnectionLost || reason === Reason.AnswerTruncated) this.#emit(ConnectionEvent.Reset)
    if (connection === null) this.#stopWaiting(call)
    const tookMs = this.#clock.monotonicMs() - call.startedMs
    this.#end(call, { kind: 'failed', reason, bytesSent, poolBusy, tookMs })
    connection?.destroy()
    this.#finishClose()
  }

  unsent (call: PoolCall, error: Error): void {
    // A request that the client library refuses to write says nothing about the place.
    const isInvalid = (error as { code?: string }).code === 'UND_ERR_INVALID_ARG'
    if (isInvalid || call.resentCount >= RESENDS_MAX_COUNT) {
      this.failed(call, Reason.ConnectFailed, isInvalid)
      return
    }
    call.resentCount++
    call.connection = null
    this.#waiting.unshift(call)
    this.#openMore()
  }

  #timedOut (call: PoolCall): void {
    if (call.bytesSent) {
      this.#lastTimeoutMs = this.#clock.monotonicMs()
      this.#emit(call.isProbe ? ConnectionEvent.ProbeTimedOut : ConnectionEvent.TimedOut)
    }
    if (call.bytesSent) this.failed(call, Reason.AnswerTimeout)
    else this.failed(call, Reason.ConnectFailed, this.#connections.size > 0)
  }

  #stopWaiting (call: PoolCall): void {
    const at = this.#waiting.indexOf(call)
    if (at >= 0) this.#waiting.splice(at, 1)
  }

  #end (call: PoolCall, result: PoolResult): void {
    call.ended = true
    const pending = this.#pending.get(call)
    this.#pending.delete(call)
    if (pending === undefined) return
    clearTimeout(pending.timer)
    if (pending.cancellation !== undefined) pending.cancellation.onCancel = null
    pending.resolve(result)
  }

  #finishClose (): void {
    if (!this.#closing || this.#pending.size > 0) return
    for (const attempt of this.#openings) attempt.cancel()
    this.#openings.clear()
    for (const connection of this.#connections) connection.destroy()
    if (this.#recheckTimer !== null) clearTimeout(this.#recheckTimer)
    if (this.#connections.size === 0) for (const resolve of this.#onClosed.splice(0)) resolve()
  }

  #emit (event: ConnectionEvent): void {
    this.#options.onEvent?.(this.#place, event)
  }
}
