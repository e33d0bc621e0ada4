import type { ExchangeResult } from '../http/exchangePool.js'
import type { BackendAnswer } from './backendDialect.js'
import { RefusalReason, UnknownOutcomeReason, type DispatchResult } from './meshTypes.js'

/** Status of an answer by which a server says that it cannot serve the request now (RFC 9110, section 15.6.4). */
const SERVICE_UNAVAILABLE_STATUS = 503

/**
 * Whether the backend server refused a send, or null if the send says nothing of that. Of the server errors, 503
 * counts unless a sub-call failed. Others may be the fault of one route, and roots of all routes would be refused.
 *
 * @example
 * isRefusedSend({ kind: 'not_run', reason: RefusalReason.BackendShed, reachedBackend: true }, false) // true
 */
export function isRefusedSend (result: DispatchResult, hasFailedSubCall: boolean): boolean | null {
  switch (result.kind) {
    case 'answered': return result.statusCode === SERVICE_UNAVAILABLE_STATUS && !hasFailedSubCall
    case 'not_run': return result.reachedBackend && result.reason !== RefusalReason.ServerReplaced ? true : null
    case 'unknown': return null
  }
}

/** Result that forwards the backend server's answer, unless the answer is damaged or does not come from it. */
export function toForwardedResult (
  answer: BackendAnswer, { head, body, tookMs }: Extract<ExchangeResult, { kind: 'answered' }>
): DispatchResult {
  const isSuccess = head.statusCode < 300
  if (answer.isEncoded || (isSuccess && !answer.isSigned)) {
    return { kind: 'unknown', reason: UnknownOutcomeReason.MalformedAnswer }
  }
  return {
    kind: 'answered',
    statusCode: head.statusCode,
    statusText: head.statusText,
    headerText: answer.headerText,
    body,
    hasLength: head.hasLength,
    servedMs: tookMs
  }
}
