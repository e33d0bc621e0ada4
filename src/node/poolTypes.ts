import type { Clock, Millis } from '../clock/clock.js'
import type { Reason } from '../core/coreTypes.js'
import type { NodeHoldings } from './holdings.js'
import type { ConnectionEvent } from '../core/routing/routingTypes.js'

/** One HTTP/1.1 request. Header names are lower case, without hop-by-hop headers. */
export interface PoolRequest {
  readonly method: string
  readonly path: string
  readonly headers: Record<string, string>
  readonly body: Uint8Array | null
  readonly timeoutMs: Millis
}

/**
 * Cancels one send at a time. It replaces an `AbortController` for each call,
 * which costs about a thirtieth of the node's processor time.
 *
 * @example
 * const cancellation = new Cancellation()
 * const result = pool.send(request, cancellation)
 * cancellation.cancel()
 */
export class Cancellation {
  isCancelled = false
  /** Set by the pool while the send is open. */
  onCancel: (() => void) | null = null

  cancel (): void {
    if (this.isCancelled) return
    this.isCancelled = true
    this.onCancel?.()
  }
}

/** Why a request got no complete answer. */
export type PoolFailureReason =
  | Reason.ConnectFailed | Reason.ConnectionLost | Reason.AnswerTimeout | Reason.AnswerTruncated
  | Reason.AnswerCrossed | Reason.AnswerMalformed | Reason.CallerCancelled | Reason.BodyTooLarge

/** A complete answer. */
export interface PoolAnswer {
  readonly kind: 'answered'
  readonly status: number
  /** Repeated headers are joined with `, `; `set-cookie` is in `setCookies` instead. */
  readonly headers: Record<string, string>
  readonly setCookies: readonly string[]
  readonly body: Uint8Array
  readonly tookMs: Millis
}

/** Result of a request that got no complete answer. */
export interface PoolFailedResult {
  readonly kind: 'failed'
  readonly reason: PoolFailureReason
  /** False only if it is certain that no byte of the request was written to a socket. */
  readonly bytesSent: boolean
  /** The pool's own limits prevented the send, so the failure says nothing about the address. */
  readonly poolBusy: boolean
  readonly tookMs: Millis
}

export type PoolResult = PoolAnswer | PoolFailedResult

/** Limits of one pool; the defaults are in `POOL_DEFAULTS`. */
export interface PoolBounds {
  readonly connectionsMaxCount: number
  readonly waitingMaxCount: number
  readonly connectTimeoutMs: Millis
  readonly connectsPerS: number
  readonly connectBurstCount: number
  readonly answerMaxBytes: number
  /** Whether a server that has named the request of an answer names that of each further one. */
  readonly identifiesAnswers: boolean
  /** An idle connection that has received nothing for longer is probed before it carries a call. */
  readonly idleProbeAfterMs: Millis
  /** The same limit for connections that have received nothing since a call to this address timed out. */
  readonly idleProbeAfterTimeoutMs: Millis
  readonly probePath: string
  readonly probeTimeoutMs: Millis
  readonly concurrentProbesMaxCount: number
  /** An idle connection is closed after this time, or earlier if the server's keep-alive timeout is shorter. */
  readonly idleCloseAfterMs: Millis
}

export interface ConnectionPoolOptions extends Partial<PoolBounds> {
  readonly clock: Clock
  readonly onEvent?: (address: string, event: ConnectionEvent) => void
  /** Counts what is held of answers that arrive. */
  readonly holdings?: NodeHoldings
  /** Replaces the pool's own rate limit of connects, for example by `RoutingModule.mayConnect`. */
  readonly mayConnect?: () => boolean
}

export const POOL_DEFAULTS: PoolBounds = {
  connectionsMaxCount: 256,
  waitingMaxCount: 1024,
  connectTimeoutMs: 500,
  connectsPerS: 200,
  connectBurstCount: 64,
  answerMaxBytes: 1_048_576,
  identifiesAnswers: false,
  idleProbeAfterMs: 5000,
  idleProbeAfterTimeoutMs: 1000,
  probePath: '/health',
  probeTimeoutMs: 250,
  concurrentProbesMaxCount: 2,
  idleCloseAfterMs: 60_000
}
