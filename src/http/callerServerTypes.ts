import type { Clock, Millis } from '../clock/clock.js'
import type { MemoryAccountDb } from '../core/memoryAccount/memoryAccountDb.js'
import type { MessageBody } from './messageBody.js'
import type { LimitListener } from './messageLimits.js'
import type { MessageHead } from './messageParser.js'

/** Limits on what a caller may send; they may change while connections are open. */
export interface CallerBounds {
  readonly headMaxBytes: number
  readonly bodyMaxBytes: number
  readonly headTimeoutMs: Millis
  readonly idleTimeoutMs: Millis
}

/** A complete request that its connection has not answered. */
export interface ParsedRequest {
  readonly head: MessageHead
  readonly body: MessageBody
  readonly bodyBytes: number
  readonly headMemoryBytes: number
  readonly beganAtMs: Millis
}

export interface OutgoingAnswer {
  readonly statusCode: number
  readonly statusText: string
  /** Header lines, each ended by CRLF, without hop-by-hop and framing headers. */
  readonly headerText: string
  readonly body: MessageBody
  /** False for an answer that ends only when its connection closes. */
  readonly hasLength: boolean
}

/** A request with its complete body that waits for its answer. */
export interface IncomingRequest {
  readonly head: MessageHead
  readonly body: MessageBody
  /** When its head was complete; for a pipelined request, when the phase of its connection last changed. */
  readonly beganAtMs: Millis
  readonly remoteIp: string
  readonly connectionId: number
  /** Called once if the caller disconnects before the answer. */
  onCallerGone: (() => void) | null
  /** Sends the answer; ignored if the caller has disconnected or was answered. */
  answer (answer: OutgoingAnswer): void
  /** Closes the connection without an answer, so that a truncated answer cannot look complete. */
  closeWithoutAnswer (): void
}

/** Statuses with which the server rejects a request that it has not passed on. */
export type RejectionStatus = 400 | 408 | 413 | 431 | 503

export interface CallerServerOptions {
  readonly host: string
  readonly port: number
  readonly clock: Clock
  /** Limit on open connections. Above it, the one that has been silent for longest makes room. */
  readonly connectionsMaxCount: () => number
  readonly bounds: () => CallerBounds
  /** Account of what callers make the process hold. */
  readonly memory: MemoryAccountDb
  readonly onRequest: (request: IncomingRequest) => void
  /** Creates the answer to a request that the server rejects, with the status code for the reason. */
  readonly errorAnswer: (statusCode: RejectionStatus) => OutgoingAnswer
  readonly onLimitExceeded: LimitListener
}
