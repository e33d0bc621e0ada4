import { admissionDefinition } from '../admission/admissionDefinition.js'
import { agreementDefinition } from '../agreement/agreementDefinition.js'
import { assertNever } from '../../errors/errors.js'
import { FIRST_LEVEL_ABOVE_PROMISE, Importance, isAbovePromise, WORST_LEVEL, Outcome, Reason } from '../coreTypes.js'
import { idempotencyDefinition } from '../idempotency/idempotencyDefinition.js'
import { ledgerDefinition } from '../ledger/ledgerDefinition.js'
import { RecordRole } from '../ledger/ledgerTypes.js'
import { retryDefinition } from '../retry/retryDefinition.js'
import { getCall, isStopping, transitionCall, removeCall } from './nodeCoreDb.js'
import type { EventContext } from './nodeCoreDb.js'
import { outcomeOf } from './nodeCoreTypes.js'
import type { Answer, CallEnd, CallState, IncomingCall } from './nodeCoreTypes.js'
import { httpStatusOf, httpStatusOfUnknown } from './statusCodes.js'

const encoder = new TextEncoder()

/** Headers that only this node sets; they are removed from the answers of backend servers and peers. */
const NODE_HEADER_NAMES = new Set([
  'ragwortspur-outcome', 'ragwortspur-reason', 'ragwortspur-limited-by', 'ragwortspur-cut-level',
  'ragwortspur-retry-return', 'ragwortspur-draining', 'ragwortspur-node'
])

/** Ends a call that is refused before anything was sent. */
export function refuseBeforeSend (context: EventContext, state: CallState, reason: Reason, limitedBy = ''): void {
  finishCall(context, state, buildRefusalEnd(context, state, reason, limitedBy))
}

/**
 * Builds the end of a call that is refused without having run here. It is `not_run`
 * only if no other attempt of the same request can have run: the owner of an
 * idempotency key knows that, and `attempt` 1 means that there was no earlier attempt.
 * Otherwise the end is `unknown`.
 */
export function buildRefusalEnd (context: EventContext, state: CallState, reason: Reason, limitedBy = ''): CallEnd {
  const otherAttemptMayRun = !state.route.idempotent && !state.isKeyAccepted && state.call.attempt !== 1 &&
    state.call.idempotencyKey !== null
  if (state.mayHaveRun || otherAttemptMayRun) return { kind: 'unknown', reason }
  const proof = state.executesLocally
    ? { kind: 'refused_by_executor' as const, nodeId: context.db.settings.nodeId }
    : { kind: 'no_byte_sent' as const }
  return { kind: 'not_run', proof, reason, limitedBy }
}

/**
 * Builds the end of a call that the idempotency check refused. Only the owner of a key runs
 * it, so a `not_run` from the owner holds for every attempt of the request.
 */
export function buildKeyRefusalEnd (
  context: EventContext, outcome: Outcome.NotRun | Outcome.Unknown, reason: Reason
): CallEnd {
  if (outcome === Outcome.Unknown) return { kind: 'unknown', reason }
  return {
    kind: 'not_run',
    proof: { kind: 'refused_by_executor', nodeId: context.db.settings.nodeId },
    reason,
    limitedBy: ''
  }
}

/** Ends a call that has no caller name or for which no service document or route was found. */
export function endCallWithoutRoute (context: EventContext, call: IncomingCall, reason: Reason): void {
  const outcome = call.idempotencyKey !== null && call.attempt !== 1 ? Outcome.Unknown : Outcome.NotRun
  const answer = buildNodeAnswer(context, { outcome, reason, limitedBy: '' })
  context.commands.push({ kind: 'answer', callId: call.callId, answer })
  context.commands.push({
    kind: 'record',
    line: ledgerDefinition.recordCall(context.db.modules.ledger, {
      role: call.source.kind === 'peer' ? RecordRole.Executor : RecordRole.Entry,
      callerName: call.callerName,
      serviceName: call.serviceName,
      routeName: '',
      importance: Importance.Low,
      withinPromise: false,
      documentVersion: 0,
      outcome,
      reason,
      limitedBy: '',
      rootId: call.rootId,
      callId: call.callId,
      parentId: call.parentId,
      attempt: call.attempt ?? 0,
      retriesCount: 0,
      arrivedAtWallMs: context.wallMs,
      queuedMs: 0,
      servedMs: 0,
      totalMs: 0
    })
  })
}

/** Ends a call: releases its idempotency key, token and budget account, answers its caller and writes its record. */
export function finishCall (context: EventContext, state: CallState, end: CallEnd): void {
  transitionCall(context.db, state, closingChartEvent(state, end))
  if (state.keySend !== null) finishIdempotencyKey(context, state, end)
  if (state.sentAtMs === 0) returnCallToken(context, state)
  const returnedRetriesCount = closeBudgetAccount(context, state)
  if (end.kind === 'cancelled') context.commands.push({ kind: 'drop', callId: state.call.callId })
  else context.commands.push({ kind: 'answer', callId: state.call.callId, answer: buildAnswer(context, state, end, returnedRetriesCount) })
  writeRecord(context, state, end)
  removeCall(context.db, state.call.callId)
  if (isStopping(context.db) && context.db.calls.size === 0) context.commands.push({ kind: 'stopped' })
}

/**
 * State-chart event that closes a call. Once the call was dispatched or forwarded, even a
 * refusal arrives as the answer to that send and closes the call with ANSWER.
 */
function closingChartEvent (state: CallState, end: CallEnd): string {
  const isSent = ['dispatched', 'forwarded', 'abandoned'].includes(state.chartState)
  if (isSent || end.kind === 'done') return 'ANSWER'
  return end.kind === 'cancelled' ? 'CANCEL' : 'REFUSE'
}

function finishIdempotencyKey (context: EventContext, state: CallState, end: CallEnd): void {
  const { keySend } = state
  if (keySend === null || !state.isKeyAccepted) return
  const db = context.db.modules.idempotency
  if (end.kind === 'not_run') idempotencyDefinition.recordRefusal(db, keySend, context.nowMs)
  else if (end.kind === 'done') idempotencyDefinition.recordResult(db, keySend, Outcome.Done, end.answer, context.nowMs)
  else if (state.sentAtMs === 0) idempotencyDefinition.recordRefusal(db, keySend, context.nowMs)
  else idempotencyDefinition.recordResult(db, keySend, Outcome.Unknown, null, context.nowMs)
}

/** Returns the token to the caller's token bucket for a call that this node did not dispatch. */
export function returnCallToken (context: EventContext, state: CallState): void {
  if (!state.holdsToken) return
  state.holdsToken = false
  const tenant = { callerName: state.callerPolicy.name, serviceName: state.call.serviceName }
  agreementDefinition.returnToken(context.db.modules.agreement, tenant, context.nowMs)
}

/** Closes the call's own budget account and returns its unused budget; 0 when the call shares another account. */
function closeBudgetAccount (context: EventContext, state: CallState): number {
  if (state.accountId !== state.call.callId) return 0
  return retryDefinition.closeCallAccount(context.db.modules.retry, state.accountId, context.nowMs)
}

function buildAnswer (context: EventContext, state: CallState, end: CallEnd, returnedRetriesCount: number): Answer {
  const base = buildBaseAnswer(context, end)
  const headers: Record<string, string> = {
    ...base.headers,
    // A stored answer carries the id of the call that ran. The sender would reject it as the answer to another call.
    'ragwortspur-call': state.call.callId,
    'ragwortspur-cut-level': String(effectiveCutLevel(context, state))
  }
  if (state.call.source.kind === 'peer') headers['ragwortspur-retry-return'] = String(returnedRetriesCount)
  return { ...base, headers }
}

function buildBaseAnswer (context: EventContext, end: CallEnd): Answer {
  switch (end.kind) {
    case 'done': return buildPassThroughAnswer(context, end.answer)
    case 'not_run':
      return buildNodeAnswer(context, { outcome: Outcome.NotRun, reason: end.reason, limitedBy: end.limitedBy })
    case 'unknown': return buildNodeAnswer(context, { outcome: Outcome.Unknown, reason: end.reason, limitedBy: '' })
    case 'cancelled': return buildNodeAnswer(context, { outcome: Outcome.Cancelled, reason: Reason.CallerCancelled, limitedBy: '' })
    default: return assertNever(end)
  }
}

/** Strictest load-shedding threshold (cut level) at this service and in the services downstream of this call. */
export function effectiveCutLevel (context: EventContext, state: CallState): number {
  if (!state.executesLocally || !context.db.settings.controlEnabled) return state.downstreamCutLevel
  const { cutLevel } = admissionDefinition.getGateReading(context.db.modules.admission, context.nowMs)
  return Math.min(cutLevelForSender(cutLevel, state), state.downstreamCutLevel, WORST_LEVEL)
}

/**
 * Converts the gate's cut level to the scale of the level that the sender gave the call.
 * If this node found the call to be above the caller's promise, its level was moved to the
 * upper half of the range, so the cut level is moved back by the same offset.
 */
function cutLevelForSender (cutLevel: number, state: CallState): number {
  const isDowngraded = isAbovePromise(state.level) && !isAbovePromise(state.baseLevel)
  if (!isDowngraded || cutLevel === WORST_LEVEL) return cutLevel
  return Math.max(0, cutLevel - FIRST_LEVEL_ABOVE_PROMISE)
}

function buildPassThroughAnswer (context: EventContext, answer: Answer): Answer {
  const headers: Record<string, string> = {}
  for (const [name, value] of Object.entries(answer.headers)) {
    if (!NODE_HEADER_NAMES.has(name)) headers[name] = value
  }
  return { ...answer, headers: { ...headers, ...buildNodeHeaders(context, Outcome.Done) } }
}

function buildNodeHeaders (context: EventContext, outcome: Outcome): Record<string, string> {
  const headers: Record<string, string> = {
    'ragwortspur-outcome': outcome, 'ragwortspur-node': context.db.settings.nodeId
  }
  if (isStopping(context.db)) headers['ragwortspur-draining'] = 'true'
  return headers
}

function buildNodeAnswer (
  context: EventContext, end: { readonly outcome: Outcome, readonly reason: Reason, readonly limitedBy: string }
): Answer {
  const body = { outcome: end.outcome, reason: end.reason, limited_by: end.limitedBy }
  return {
    status: end.outcome === Outcome.Unknown ? httpStatusOfUnknown(end.reason) : httpStatusOf(end.reason),
    headers: {
      ...buildNodeHeaders(context, end.outcome),
      'content-type': 'application/json',
      'ragwortspur-reason': end.reason,
      ...(end.limitedBy === '' ? {} : { 'ragwortspur-limited-by': end.limitedBy })
    },
    body: encoder.encode(JSON.stringify(body))
  }
}

function recordRoleOf (state: CallState): RecordRole {
  if (state.call.source.kind === 'peer') return RecordRole.Executor
  return state.executesLocally ? RecordRole.Both : RecordRole.Entry
}

function writeRecord (context: EventContext, state: CallState, end: CallEnd): void {
  const { call } = state
  context.commands.push({
    kind: 'record',
    line: ledgerDefinition.recordCall(context.db.modules.ledger, {
      role: recordRoleOf(state),
      callerName: state.callerPolicy.name,
      serviceName: call.serviceName,
      routeName: state.route.name,
      importance: state.importance,
      withinPromise: state.withinPromise,
      documentVersion: state.document.version,
      outcome: outcomeOf(end),
      reason: 'reason' in end ? end.reason : Reason.None,
      limitedBy: end.kind === 'not_run' ? end.limitedBy : '',
      rootId: call.rootId,
      callId: call.callId,
      parentId: call.parentId,
      attempt: call.attempt ?? 0,
      retriesCount: state.retriesCount,
      arrivedAtWallMs: state.arrivedAtWallMs,
      queuedMs: state.queuedMs,
      servedMs: state.servedMs,
      totalMs: context.nowMs - state.arrivedAtMs
    })
  })
}

/**
 * Stores the strictest downstream cut level in a call and, for a sub-call, in its parent. The admission
 * module also records it for the parent's route, so that later root requests can be refused at their entry.
 */
export function propagateCutLevel (context: EventContext, state: CallState, cutLevel: number): void {
  state.downstreamCutLevel = Math.min(state.downstreamCutLevel, cutLevel)
  if (state.call.source.kind !== 'backend_server') return
  const parent = getCall(context.db, state.call.source.parentCallId)
  if (parent === undefined) return
  parent.downstreamCutLevel = Math.min(parent.downstreamCutLevel, cutLevel)
  admissionDefinition.recordCutLevel(
    context.db.modules.admission, parent.call.serviceName, parent.route.name, cutLevel, context.nowMs
  )
}
