import type { Clock, Millis } from '../clock/clock.js'
import type { Reason } from '../core/coreTypes.js'
import type { ConnectionEvent } from '../core/routing/routingTypes.js'

/** One HTTP/1.1 request to a place. Header names are lower case, without hop-by-hop headers. */
export interface PoolRequest {
  readonly method: string
  readonly path: string
  readonly headers: Record<string, string>
  readonly body: Uint8Array | null
  readonly timeoutMs: Millis
}

/**
 * Lets a caller cancel one send at a time. An `AbortController` for each call
 * costs about a thirtieth of the node's processor time.
 *
 * @example
 * const cancellation = new Cancellation()
 * const result = pool.send(request, cancellation)
 * cancellation.cancel()
 */
export class Cancellation {
  cancelled = false
  /** Set by the pool while the send is open. */
  onCancel: (() => void) | null = null

  cancel (): void {
    if (this.cancelled) return
    this.cancelled = true
    this.onCancel?.()
  }
}

/** Why a request has no whole answer. */
export type PoolFailure =
  | Reason.ConnectFailed | Reason.ConnectionLost | Reason.AnswerTimeout | Reason.AnswerTruncated
  | Reason.AnswerCrossed | Reason.CallerCancelled | Reason.BodyTooLarge

/** A whole answer. */
export interface PoolAnswer {
  readonly kind: 'answered'
  readonly status: number
  /** Repeated headers are joined with `, `; `set-cookie` is in `setCookies` instead. */
  readonly headers: Record<string, string>
  readonly setCookies: readonly string[]
  readonly body: Uint8Array
  readonly tookMs: Millis
}

/** A request without a whole answer. */
export interface PoolFail {
  readonly kind: 'failed'
  readonly reason: PoolFailure
  /** False only if it is certain that no byte of the request was written to a socket. */
  readonly bytesSent: boolean
  /** The request got no connection because the pool's own bounds held it back; says nothing about the place. */
  readonly poolBusy: boolean
  readonly tookMs: Millis
}

export type PoolResult = PoolAnswer | PoolFail

/** Bounds of one pool. All but `onEvent` and `clock` have defaults in `POOL_DEFAULTS`. */
export interface PoolBounds {
  readonly connectionsMaxCount: number
  readonly waitingMaxCount: number
  readonly connectTimeoutMs: Millis
  readonly connectsPerS: number
  readonly connectBurstCount: number
  readonly answerMaxBytes: number
  /** An idle connection that was silent for longer is probed before it carries a call. */
  readonly idleProbeAfterMs: Millis
  /** The same bound for connections not heard from since a call timed out at this place. */
  readonly silentAfterTimeoutMs: Millis
  readonly probePath: string
  readonly probeTimeoutMs: Millis
  readonly probesAtOnceCount: number
  /** An idle connection is closed after this time unless the other side announces a shorter one. */
  readonly idleCloseMs: Millis
}

export interface ConnectionPoolOptions extends Partial<PoolBounds> {
  readonly clock: Clock
  readonly onEvent?: (place: string, event: ConnectionEvent) => void
  /** Replaces the pool's own limit of new connects, for example by `RoutingModule.mayConnect`. */
  readonly mayConnect?: () => boolean
}

export const POOL_DEFAULTS: PoolBounds = {
  connectionsMaxCount: 256,
  waitingMaxCount: 1024,
  connectTimeoutMs: 500,
  connectsPerS: 200,
  connectBurstCount: 64,
  answerMaxBytes: 1_048_576,
  idleProbeAfterMs: 5000,
  silentAfterTimeoutMs: 1000,
  probePath: '/health',
  probeTimeoutMs: 250,
  probesAtOnceCount: 2,
  idleCloseMs: 60_000
}
