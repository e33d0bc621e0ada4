import type { Clock, Millis } from '../clock/clock.js'
import type { MemoryAccountDb } from '../core/memoryAccount/memoryAccountDb.js'
import type { MessageBody } from './messageBody.js'
import type { LimitListener } from './messageLimits.js'
import type { MessageHead } from './messageParser.js'

/** What the id that an answer repeats says of it. */
export enum AnswerMatch {
  Own = 'own',
  OtherRequest = 'other_request',
  /** The answer names no request. Only the first answer on a connection can be told without that. */
  Unidentified = 'unidentified'
}

/** Why a request that was written got no complete answer. */
export enum BrokenCause {
  ConnectionLost = 'connection_lost',
  /** The server sent bytes that are not an answer. */
  Malformed = 'malformed',
  /** The server sent more than a limit allows. */
  LimitExceeded = 'limit_exceeded'
}

/** Result of a request on a connection. */
export type ExchangeResult =
  | { readonly kind: 'answered', readonly head: MessageHead, readonly body: MessageBody, readonly tookMs: Millis }
  /** No byte of the request was written. */
  | { readonly kind: 'not_sent', readonly reason: string }
  /** The request was written but got no complete answer; it may have run. */
  | {
    readonly kind: 'broken'
    readonly cause: BrokenCause
    readonly reason: string
    readonly onReused: boolean
    readonly answerBegan: boolean
  }

export interface ExchangeRequest {
  /** The encoded request, head and body. */
  readonly bytes: MessageBody
  readonly isHead: boolean
  /** Id that answers repeat, or null if they repeat none. A request that may have none has an empty one. */
  readonly requestId: string | null
  /** Whether an answer belongs to this request. One to another request is skipped, and the next one is awaited. */
  readonly matchAnswer: (head: MessageHead) => AnswerMatch
  readonly onResult: (result: ExchangeResult) => void
  /** Called for each part of the answer's body that arrives. */
  readonly onProgress?: () => void
}

export interface ExchangePoolOptions {
  readonly host: string
  readonly port: number
  readonly clock: Clock
  readonly connectTimeoutMs: Millis
  /** Idle time after which a connection is closed if the server announces no keep-alive timeout. */
  readonly idleMaxMs: Millis
  readonly answerMaxBytes: number
  /** Account in which the bodies of answers are held that are being received. */
  readonly memory: MemoryAccountDb
  readonly connectionsMaxCount: () => number
  readonly onLimitExceeded: LimitListener
  /** Called for each answer that does not belong to the request that waits for one. */
  readonly onForeignAnswer: (match: AnswerMatch) => void
}

/** A request in flight. Cancelling it closes its connection, from which the server can tell that it may stop. */
export interface Exchange {
  cancel (): void
}
