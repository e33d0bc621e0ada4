import type { Millis } from '../clock/clock.js'
import type { OutgoingAnswer } from '../http/callerServer.js'
import type { MessageHead } from '../http/messageParser.js'

/** What the head of a caller's request says. */
export interface CallerRequest {
  readonly host: string
  readonly path: string
  /** Request id set by the caller, or empty. */
  readonly requestId: string
  /** Id of the request that a backend server was running when it made this one, or empty for a root request. */
  readonly parentRequestId: string
  /** How long the caller waits for the answer, or null when the request does not say. */
  readonly timeoutMs: Millis | null
  /** The key that identifies a workspace, or null without one. It is in no other field and not forwarded. */
  readonly key: string | null
  /** Header lines to forward to the backend server. */
  readonly headerText: string
}

/**
 * Answers that the node generates itself. Only `UnknownOutcome` and `TimedOut` leave
 * open whether the request ran; all others state that it did not and will not run.
 */
export enum OwnAnswer {
  NotRunRetryLater = 'not_run_retry_later',
  HeadTimeout = 'head_timeout',
  UnknownOutcome = 'unknown_outcome',
  TimedOut = 'timed_out',
  NoRoute = 'no_route',
  /** The request needs the key of a workspace and has none that is known. */
  UnknownKey = 'unknown_key',
  /** The workspace has used up its allotment. */
  AboveAllotment = 'above_allotment',
  Malformed = 'malformed',
  BodyTooLarge = 'body_too_large',
  HeadTooLarge = 'head_too_large'
}

/** Answers to requests that the caller server rejects, by the status code of the reason. */
export const OWN_ANSWER_BY_STATUS = {
  400: OwnAnswer.Malformed,
  408: OwnAnswer.HeadTimeout,
  413: OwnAnswer.BodyTooLarge,
  431: OwnAnswer.HeadTooLarge,
  503: OwnAnswer.NotRunRetryLater
} as const

/** Decodes requests of callers and encodes the node's own answers. */
export interface CallerDialect {
  readRequest (head: MessageHead): CallerRequest
  createOwnAnswer (answer: OwnAnswer, reason: string, retryAfterMs: Millis | null): OutgoingAnswer
}
