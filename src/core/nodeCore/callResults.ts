import { admissionDefinition } from '../admission/admissionDefinition.js'
import { ReleaseKind } from '../admission/admissionTypes.js'
import { assertNever } from '../../errors/errors.js'
import { WORST_LEVEL, Outcome, Reason } from '../coreTypes.js'
import { retryDefinition } from '../retry/retryDefinition.js'
import { routingDefinition } from '../routing/routingDefinition.js'
import { PeerResult } from '../routing/routingTypes.js'
import { finishCall, propagateCutLevel } from './callEnd.js'
import { applyGateEvents } from './callExecution.js'
import { retryOrFinish } from './callPlacement.js'
import { getCall, transitionCall, setPeerCutLevel } from './nodeCoreDb.js'
import type { EventContext } from './nodeCoreDb.js'
import type { Answer, CallEnd, CallState, SendResult } from './nodeCoreTypes.js'

const REASONS: ReadonlySet<string> = new Set(Object.values(Reason))

/** Handles the result of a dispatched call: an answer of this node's backend server or a failed send. */
export function handleBackendResult (context: EventContext, callId: string, result: SendResult): void {
  const state = getCall(context.db, callId)
  if (state === undefined) return
  state.servedMs = context.nowMs - state.sentAtMs
  const end = endFromBackendResult(context, state, result)
  let events: ReturnType<typeof admissionDefinition.releaseSlot> = []
  if (context.db.settings.controlEnabled) {
    trackPossibleCrash(context, callId, result)
    events = admissionDefinition.releaseSlot(
      context.db.modules.admission, callId, releaseKindOf(state, end), state.servedMs, context.nowMs
    )
  }
  endOrRetry(context, state, end)
  applyGateEvents(context, events)
}

/**
 * Keeps a call whose connection was lost as a possible cause of a backend crash until the
 * shell has found out whether the backend server is still running. After any other
 * result the call does not count as such a cause.
 */
function trackPossibleCrash (context: EventContext, callId: string, result: SendResult): void {
  const mayBeBackendCrash = result.kind === 'failed' && result.bytesSent &&
    (result.reason === Reason.ConnectionLost || result.reason === Reason.AnswerTruncated)
  if (mayBeBackendCrash) context.db.possibleCrashCallIds.push(callId)
  else retryDefinition.recordReturn(context.db.modules.retry, callId, context.nowMs)
}

/** Drops the possible causes of a crash, because the backend server is still running. */
export function clearPossibleCrashCalls (context: EventContext): void {
  for (const callId of context.db.possibleCrashCallIds.splice(0)) {
    retryDefinition.recordReturn(context.db.modules.retry, callId, context.nowMs)
  }
}

function endOrRetry (context: EventContext, state: CallState, end: CallEnd): void {
  if (state.chartState === 'abandoned') finishCall(context, state, { kind: 'cancelled' })
  else if (end.kind === 'done') finishCall(context, state, end)
  else retryOrFinish(context, state, end)
}

function releaseKindOf (state: CallState, end: CallEnd): ReleaseKind {
  if (state.chartState === 'abandoned') return ReleaseKind.Cancelled
  switch (end.kind) {
    case 'done': return ReleaseKind.Done
    case 'not_run': return end.reason === Reason.BackendShed ? ReleaseKind.Shed : ReleaseKind.Failed
    case 'unknown': return ReleaseKind.Failed
    case 'cancelled': return ReleaseKind.Cancelled
    default: return assertNever(end)
  }
}

function endFromBackendResult (context: EventContext, state: CallState, result: SendResult): CallEnd {
  const { nodeId } = context.db.settings
  switch (result.kind) {
    case 'answered':
      if (result.status === 503 && result.headers['ragwortspur-backend-status'] === 'shed') {
        return buildNotRunEnd(state, { kind: 'refused_by_executor', nodeId }, Reason.BackendShed)
      }
      return { kind: 'done', answer: toAnswer(result) }
    case 'failed':
      if (!result.bytesSent) {
        const reason = result.poolBusy === true ? Reason.TooManyConnections : Reason.BackendDown
        return buildNotRunEnd(state, { kind: 'refused_by_executor', nodeId }, reason)
      }
      return { kind: 'unknown', reason: result.reason }
  }
}

function buildNotRunEnd (
  state: CallState, proof: Extract<CallEnd, { kind: 'not_run' }>['proof'], reason: Reason, limitedBy = ''
): CallEnd {
  // An earlier attempt of the same call may have run, so this refusal does not prove that the call has not run.
  return state.mayHaveRun ? { kind: 'unknown', reason } : { kind: 'not_run', proof, reason, limitedBy }
}

function toAnswer (result: Answer): Answer {
  const { status, headers, setCookies, body } = result
  return setCookies === undefined || setCookies.length === 0
    ? { status, headers, body }
    : { status, headers, setCookies, body }
}

/** Handles the result of a forwarded call: a peer's answer or a failed send. */
export function handlePeerResult (context: EventContext, callId: string, result: SendResult): void {
  const state = getCall(context.db, callId)
  if (state === undefined) return
  const { db, nowMs } = context
  state.servedMs = nowMs - state.sentAtMs
  const end = endFromPeerResult(state, result)
  const isExcludedFromPeerStats = state.chartState === 'abandoned' ||
    (result.kind === 'failed' && result.poolBusy === true)
  const peerResult = isExcludedFromPeerStats ? PeerResult.Cancelled : peerResultOf(end)
  routingDefinition.recordResult(db.modules.routing, state.forwardedTo, peerResult, state.servedMs, nowMs)
  settleReservedRetries(context, state, result)
  if (result.kind === 'answered') applyAnswerHeaders(context, state, result)
  endOrRetry(context, state, end)
}

/**
 * Settles the retry budget reserved for the peer: the unused part, which its answer returns, goes back to the
 * call's budget account. Without an answer all of it counts as spent.
 */
function settleReservedRetries (context: EventContext, state: CallState, result: SendResult): void {
  const returnedRetriesCount = result.kind === 'answered' ? parseCount(result.headers['ragwortspur-retry-return'], 0) : 0
  retryDefinition.settleReservation(
    context.db.modules.retry, state.accountId, state.reservedRetriesCount, returnedRetriesCount, context.nowMs
  )
  state.reservedRetriesCount = 0
}

/** Applies what a peer's answer reports besides its result: draining and the load-shedding threshold (cut level). */
function applyAnswerHeaders (context: EventContext, state: CallState, answer: Answer): void {
  const { db, nowMs } = context
  if (answer.headers['ragwortspur-draining'] === 'true') {
    routingDefinition.markDraining(db.modules.routing, state.forwardedTo, nowMs)
  }
  const cutLevel = parseCount(answer.headers['ragwortspur-cut-level'], WORST_LEVEL)
  setPeerCutLevel(db, state.forwardedTo, cutLevel, nowMs)
  propagateCutLevel(context, state, cutLevel)
  if (state.isRoot && db.settings.controlEnabled) {
    admissionDefinition.recordCutLevel(db.modules.admission, state.call.serviceName, state.route.name, cutLevel, nowMs)
  }
}

function parseCount (text: string | undefined, fallback: number): number {
  return text !== undefined && /^\d{1,9}$/.test(text) ? Number(text) : fallback
}

function endFromPeerResult (state: CallState, result: SendResult): CallEnd {
  if (result.kind === 'failed') {
    if (result.bytesSent) return { kind: 'unknown', reason: result.reason }
    return buildUnsentEnd(state, result.reason)
  }
  const reasonText = result.headers['ragwortspur-reason'] ?? ''
  const reason = REASONS.has(reasonText) ? reasonText as Reason : Reason.None
  switch (result.headers['ragwortspur-outcome']) {
    case Outcome.Done: return { kind: 'done', answer: toAnswer(result) }
    case Outcome.NotRun: {
      const nodeId = result.headers['ragwortspur-node'] ?? state.forwardedTo
      const limitedBy = result.headers['ragwortspur-limited-by'] ?? ''
      return buildNotRunEnd(state, { kind: 'refused_by_executor', nodeId }, reason, limitedBy)
    }
    default: return { kind: 'unknown', reason: reason === Reason.None ? Reason.ConnectionLost : reason }
  }
}

/** End of a call whose send failed before its first byte; a call with a key may have run in an earlier attempt. */
function buildUnsentEnd (state: CallState, reason: Reason): CallEnd {
  const otherAttemptMayRun = !state.route.idempotent && state.call.attempt !== 1
  if (otherAttemptMayRun) return { kind: 'unknown', reason }
  return buildNotRunEnd(state, { kind: 'no_byte_sent' }, reason)
}

function peerResultOf (end: CallEnd): PeerResult {
  switch (end.kind) {
    case 'done': return PeerResult.Answered
    case 'cancelled': return PeerResult.Cancelled
    case 'not_run': return peerResultOfRefusal(end.reason)
    case 'unknown': return peerResultOfFailure(end.reason)
    default: return assertNever(end)
  }
}

function peerResultOfRefusal (reason: Reason): PeerResult {
  switch (reason) {
    case Reason.ShareUsed: return PeerResult.RefusedShare
    case Reason.Draining: return PeerResult.RefusedDraining
    case Reason.BackendDown: return PeerResult.RefusedBackendDown
    case Reason.ConnectFailed: return PeerResult.ConnectFailed
    case Reason.Overload:
    case Reason.BackendShed: return PeerResult.RefusedOverload
    default: return PeerResult.Answered
  }
}

function peerResultOfFailure (reason: Reason): PeerResult {
  switch (reason) {
    case Reason.ConnectFailed: return PeerResult.ConnectFailed
    case Reason.AnswerTimeout: return PeerResult.TimedOut
    case Reason.ConnectionLost:
    case Reason.AnswerTruncated:
    case Reason.AnswerCrossed:
    case Reason.AnswerMalformed: return PeerResult.ConnectionLost
    default: return PeerResult.Answered
  }
}

/**
 * Handles the disconnect of a caller: a call that is not yet sent ends at once, a sent one is aborted and ends
 * with the result of its send.
 */
export function handleCallerGone (context: EventContext, callId: string): void {
  const state = getCall(context.db, callId)
  if (state === undefined) return
  if (state.chartState === 'dispatched' || state.chartState === 'forwarded') {
    transitionCall(context.db, state, 'CANCEL')
    context.commands.push({ kind: 'abort_send', callId })
    return
  }
  const events = admissionDefinition.cancelQueuedCall(context.db.modules.admission, callId, context.nowMs)
  finishCall(context, state, { kind: 'cancelled' })
  applyGateEvents(context, events.filter(event => event.callId !== callId))
}
