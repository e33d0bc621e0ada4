import { Reason } from '../coreTypes.js'
import { assertNever } from '../../errors/errors.js'

/**
 * HTTP status for a call whose outcome is unknown. `body_too_large` is then about the answer's body
 * instead of the request's, so it is a gateway error.
 *
 * @example
 * httpStatusOfUnknown(Reason.BodyTooLarge) // 502
 */
export function httpStatusOfUnknown (reason: Reason): number {
  return reason === Reason.BodyTooLarge ? 502 : httpStatusOf(reason)
}

/**
 * HTTP status of an answer that the node generates itself, by its reason.
 *
 * @example
 * httpStatusOf(Reason.Overload) // 503
 */
export function httpStatusOf (reason: Reason): number {
  switch (reason) {
    case Reason.None:
      return 200
    case Reason.AbovePromise:
    case Reason.ShareUsed:
      return 429
    case Reason.Overload:
    case Reason.ChainOverload:
    case Reason.Draining:
    case Reason.BackendDown:
    case Reason.BackendShed:
    case Reason.Quarantined:
    case Reason.NoNode:
    case Reason.NotOwner:
    case Reason.LeaseNotHeld:
    case Reason.ConnectFailed:
    case Reason.TooManyConnections:
    case Reason.MemoryFull:
      return 503
    case Reason.DeadlinePassed:
    case Reason.DeadlineTooShort:
    case Reason.ParentEnded:
    case Reason.AnswerTimeout:
      return 504
    case Reason.ConnectionLost:
    case Reason.AnswerTruncated:
    case Reason.AnswerCrossed:
    case Reason.AnswerMalformed:
    case Reason.CallerCancelled:
      return 502
    case Reason.StillRunning:
    case Reason.AlreadyRefused:
    case Reason.KeyUnknownHistory:
      return 409
    case Reason.KeyExpired:
      return 410
    case Reason.KeyMissing:
    case Reason.KeyFromFuture:
    case Reason.MalformedCall:
    case Reason.CallerMissing:
      return 400
    case Reason.ImportanceNotAllowed:
      return 403
    case Reason.UnknownService:
    case Reason.UnknownRoute:
      return 404
    case Reason.SlowSender:
      return 408
    case Reason.BodyTooLarge:
      return 413
    case Reason.HeadTooLarge:
      return 431
    default:
      return assertNever(reason)
  }
}
