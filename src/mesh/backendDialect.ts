import type { Millis } from '../clock/clock.js'
import type { MessageHead } from '../http/messageParser.js'
import type { PlacedCall } from './meshTypes.js'

/** What an answer of the own backend server says besides its status and body. */
export interface BackendAnswer {
  /** The request did not run. */
  readonly notExecuted: boolean
  /** Slots the backend server states, or 0 when it states none. */
  readonly slotsCount: number
  /** Calls that the backend server says are running. */
  readonly runningCount: number
  /** The answer bears the mark by which callers know that it is the backend server's. */
  readonly isSigned: boolean
  /** Its body was altered on the way, so it is not what the backend server made. */
  readonly isEncoded: boolean
  /** Id of the backend server, or empty. */
  readonly serverId: string
  /** Header lines that go back to the caller. */
  readonly headerText: string
}

/** How requests are written for the own backend server and its answers are read. */
export interface BackendDialect {
  /**
   * The whole request. `remainingMs` is the time after which the backend server
   * stops. One with another id than `serverId` refuses it; an empty id admits any.
   */
  requestBytes (call: PlacedCall, remainingMs: Millis, serverId: string): Buffer
  isAnswerOf (head: MessageHead, requestId: string): boolean
  readAnswer (head: MessageHead): BackendAnswer
}
