import type { Millis } from '../clock/clock.js'
import type { AnswerMatch } from '../http/exchangePool.js'
import type { MessageBody } from '../http/messageBody.js'
import type { MessageHead } from '../http/messageParser.js'
import type { DispatchedCall } from './meshTypes.js'

/** What the head of an answer of this node's backend server says besides the status. */
export interface BackendAnswer {
  /** The backend server did not execute the request, so it is safe to send it again. */
  readonly notExecuted: boolean
  /** The address has a backend server other than the one named in the request, perhaps of another service. */
  readonly isOtherServer: boolean
  /** Number of requests that the backend server says it can run at once, or 0 when it states none. */
  readonly slotsCount: number
  /** Number of requests that the backend server says are running, or 0 when it states none. */
  readonly runningCount: number
  /** The answer has the signature header by which callers recognize the answers of a backend server. */
  readonly isSigned: boolean
  /** The answer has a Content-Encoding, which backend servers do not apply, so the body was altered on the way. */
  readonly isEncoded: boolean
  /** Id of the backend server's current incarnation, or empty. */
  readonly serverId: string
  /** Requests a second that the backend server takes from all nodes together, or null when it names no limit. */
  readonly limitPerS: number | null
  readonly isLeaving: boolean
  /** How long work currently takes at the backend server relative to its usual time, or null when it states none. */
  readonly paceRatio: number | null
  /** Header lines to forward to the caller. */
  readonly headerText: string
}

/** Encodes requests for this node's backend server and decodes its answers. */
export interface BackendDialect {
  /**
   * Bytes of the complete request. After `remainingMs` the backend server stops working
   * on it. A backend server with an id other than `serverId` refuses the request;
   * with an empty `serverId` any backend server runs it.
   */
  encodeRequest (call: DispatchedCall, remainingMs: Millis, serverId: string): MessageBody
  /** Whether the answer belongs to the request, by the request id that the answer repeats, if it has one. */
  matchAnswer (head: MessageHead, requestId: string): AnswerMatch
  readAnswer (head: MessageHead): BackendAnswer
}
