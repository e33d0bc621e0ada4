import { admissionDefinition } from '../admission/admissionDefinition.js'
import { ReleaseKind } from '../admission/admissionTypes.js'
import { assertNever } from '../../errors/errors.js'
import { LEVEL_WORST, Outcome, Reason } from '../coreTypes.js'
import { retryDefinition } from '../retry/retryDefinition.js'
import { routingDefinition } from '../routing/routingDefinition.js'
import { PeerResult } from '../routing/routingTypes.js'
import { finishCall, noteCutLevel } from './callEnd.js'
import { applyGateEvents } from './callExecution.js'
import { retryOrFinish } from './callPlacement.js'
import { getCall, moveCall, setPeerCut } from './nodeCoreDb.js'
import type { Turn } from './nodeCoreDb.js'
import type { Answer, CallEnd, CallState, SendResult } from './nodeCoreTypes.js'

const REASONS: ReadonlySet<string> = new Set(Object.values(Reason))

/** The own backend server answered a dispatched call, or the send failed. */
export function takeBackendResult (turn: Turn, callId: string, result: SendResult): void {
  const state = getCall(turn.db, callId)
  if (state === undefined) return
  state.servedMs = turn.nowMs - state.sentAtMs
  const end = backendEnd(turn, state, result)
  let events: ReturnType<typeof admissionDefinition.release> = []
  if (turn.db.settings.controlEnabled) {
    noteReturned(turn, callId, result)
    events = admissionDefinition.release(
      turn.db.family.admission, callId, releaseKindOf(state, end), state.servedMs, turn.nowMs
    )
  }
  endOrRetry(turn, state, end)
  applyGateEvents(turn, events)
}

/**
 * A lost connection may be the first sign of a crash, so its call stays among
 * the suspects until the shell has found out whether the backend server lives.
 */
function noteReturned (turn: Turn, callId: string, result: SendResult): void {
  const mayBeCrash = result.kind === 'failed' && result.bytesSent &&
    (result.reason === Reason.ConnectionLost || result.reason === Reason.AnswerTruncated)
  if (mayBeCrash) turn.db.suspectCallIds.push(callId)
  else retryDefinition.returned(turn.db.family.retry, callId, turn.nowMs)
}

/** The backend server lives, so the lost connections were no crash. */
export function clearSuspects (turn: Turn): void {
  for (const callId of turn.db.suspectCallIds.splice(0)) {
    retryDefinition.returned(turn.db.family.retry, callId, turn.nowMs)
  }
}

function endOrRetry (turn: Turn, state: CallState, end: CallEnd): void {
  if (state.chartState === 'abandoned') finishCall(turn, state, { kind: 'cancelled' })
  else if (end.kind === 'done') finishCall(turn, state, end)
  else retryOrFinish(turn, state, end)
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

function backendEnd (turn: Turn, state: CallState, result: SendResult): CallEnd {
  const { nodeId } = turn.db.settings
  switch (result.kind) {
    case 'answered':
      if (result.status === 503 && result.headers['ragwortspur-backend-status'] === 'shed') {
        return notRun(state, { kind: 'refused_by_executor', nodeId }, Reason.BackendShed)
      }
      return { kind: 'done', answer: answerFrom(result) }
    case 'failed':
      if (!result.bytesSent) {
        const reason = result.poolBusy === true ? Reason.TooManyConnections : Reason.BackendDown
        return notRun(state, { kind: 'refused_by_executor', nodeId }, reason)
      }
      return { kind: 'unknown', reason: result.reason }
  }
}

function notRun (
  state: CallState, proof: Extract<CallEnd, { kind: 'not_run' }>['proof'], reason: Reason, limitedBy = ''
): CallEnd {
  // An earlier send of the same call may have run, so this refusal says nothing about the whole.
  return state.mayHaveRun ? { kind: 'unknown', reason } : { kind: 'not_run', proof, reason, limitedBy }
}

function answerFrom (result: Answer): Answer {
  const { status, headers, setCookies, body } = result
  return setCookies === undefined || setCookies.length === 0
    ? { status, headers, body }
    : { status, headers, setCookies, body }
}

/** A peer answered a forwarded call, or the send failed. */
export function takePeerResult (turn: Turn, callId: string, result: SendResult): void {
  const state = getCall(turn.db, callId)
  if (state === undefined) return
  const { db, nowMs } = turn
  state.servedMs = nowMs - state.sentAtMs
  const end = peerEnd(state, result)
  const isUnjudged = state.chartState === 'abandoned' || (result.kind === 'failed' && result.poolBusy === true)
  const peerResult = isUnjudged ? PeerResult.Cancelled : peerResultOf(end)
  routingDefinition.finished(db.family.routing, state.forwardedTo, peerResult, state.servedMs, nowMs)
  settleLoan(turn, state, result)
  if (result.kind === 'answered') learnFromAnswer(turn, state, result)
  endOrRetry(turn, state, end)
}

/** Takes back the part of a loan that the answer returned; without an answer the loan is lost. */
function settleLoan (turn: Turn, state: CallState, result: SendResult): void {
  const returnedCount = result.kind === 'answered' ? wholeNumber(result.headers['ragwortspur-retry-return'], 0) : 0
  retryDefinition.returnLoan(turn.db.family.retry, state.accountId, state.lentCount, returnedCount, turn.nowMs)
  state.lentCount = 0
}

function learnFromAnswer (turn: Turn, state: CallState, answer: Answer): void {
  const { db, nowMs } = turn
  if (answer.headers['ragwortspur-draining'] === 'true') {
    routingDefinition.markDraining(db.family.routing, state.forwardedTo, nowMs)
  }
  const cutLevel = wholeNumber(answer.headers['ragwortspur-cut-level'], LEVEL_WORST)
  setPeerCut(db, state.forwardedTo, cutLevel, nowMs)
  noteCutLevel(turn, state, cutLevel)
  if (state.isRoot && db.settings.controlEnabled) {
    admissionDefinition.learnCut(db.family.admission, state.call.serviceName, state.route.name, cutLevel, nowMs)
  }
}

function wholeNumber (text: string | undefined, fallback: number): number {
  return text !== undefined && /^\d{1,9}$/.test(text) ? Number(text) : fallback
}

function peerEnd (state: CallState, result: SendResult): CallEnd {
  if (result.kind === 'failed') {
    if (result.bytesSent) return { kind: 'unknown', reason: result.reason }
    return unsentEnd(state, result.reason)
  }
  const reasonText = result.headers['ragwortspur-reason'] ?? ''
  const reason = REASONS.has(reasonText) ? reasonText as Reason : Reason.None
  switch (result.headers['ragwortspur-outcome']) {
    case Outcome.Done: return { kind: 'done', answer: answerFrom(result) }
    case Outcome.NotRun: {
      const nodeId = result.headers['ragwortspur-node'] ?? state.forwardedTo
      const limitedBy = result.headers['ragwortspur-limited-by'] ?? ''
      return notRun(state, { kind: 'refused_by_executor', nodeId }, reason, limitedBy)
    }
    default: return { kind: 'unknown', reason: reason === Reason.None ? Reason.ConnectionLost : reason }
  }
}

/** No byte of this send left the node; for a keyed call another send may have. */
function unsentEnd (state: CallState, reason: Reason): CallEnd {
  const otherSendMayRun = !state.route.idempotent && state.call.attempt !== 1
  if (otherSendMayRun) return { kind: 'unknown', reason }
  return notRun(state, { kind: 'no_byte_sent' }, reason)
}

function peerResultOf (end: CallEnd): PeerResult {
  switch (end.kind) {
    case 'done': return PeerResult.Answered
    case 'cancelled': return PeerResult.Cancelled
    case 'not_run': return refusalResult(end.reason)
    case 'unknown': return failureResult(end.reason)
    default: return assertNever(end)
  }
}

function refusalResult (reason: Reason): PeerResult {
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

function failureResult (reason: Reason): PeerResult {
  switch (reason) {
    case Reason.ConnectFailed: return PeerResult.ConnectFailed
    case Reason.AnswerTimeout: return PeerResult.TimedOut
    case Reason.ConnectionLost:
    case Reason.AnswerTruncated:
    case Reason.AnswerCrossed: return PeerResult.ConnectionLost
    default: return PeerResult.Answered
  }
}

/** The caller went away: a queued call is dropped, a sent one is aborted and its result ends it. */
export function takeCallerGone (turn: Turn, callId: string): void {
  const state = getCall(turn.db, callId)
  if (state === undefined) return
  if (state.chartState === 'dispatched' || state.chartState === 'forwarded') {
    moveCall(turn.db, state, 'CANCEL')
    turn.commands.push({ kind: 'abort_send', callId })
    return
  }
  const events = admissionDefinition.cancel(turn.db.family.admission, callId, turn.nowMs)
  finishCall(turn, state, { kind: 'cancelled' })
  applyGateEvents(turn, events.filter(event => event.callId !== callId))
}
