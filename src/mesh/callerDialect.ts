import type { Millis } from '../clock/clock.js'
import type { OutgoingAnswer } from '../http/callerServer.js'
import type { MessageHead } from '../http/messageParser.js'

/** What a request of a caller says. */
export interface CallerRequest {
  readonly host: string
  readonly path: string
  /** Id that the caller gave this request, or empty. */
  readonly requestId: string
  /** Id of the request on whose behalf a backend server makes this one, if the id names one; else empty. */
  readonly parentRequestId: string
  /** How long the caller will wait, or null when it does not say. */
  readonly patienceMs: Millis | null
  /** Header lines that go on to the backend server. */
  readonly headerText: string
}

/** The node's own answers. Those of the first group promise that the request did not and will not run. */
export enum OwnAnswer {
  NotRunRetryLater = 'not_run_retry_later',
  HeadTimeout = 'head_timeout',
  UnknownOutcome = 'unknown_outcome',
  TimedOut = 'timed_out',
  NoRoute = 'no_route',
  Malformed = 'malformed',
  BodyTooLarge = 'body_too_large',
  HeadTooLarge = 'head_too_large'
}

/** How requests of callers are read and the node's own answers are written. */
export interface CallerDialect {
  readRequest (head: MessageHead): CallerRequest
  ownAnswer (answer: OwnAnswer, reason: string, retryAfterMs: Millis | null): OutgoingAnswer
}
