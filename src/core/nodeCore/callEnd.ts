import { admissionDefinition } from '../admission/admissionDefinition.js'
import { agreementDefinition } from '../agreement/agreementDefinition.js'
import { assertNever } from '../../errors/errors.js'
import { FIRST_LEVEL_ABOVE_PROMISE, Importance, isAbovePromise, LEVEL_WORST, Outcome, Reason } from '../coreTypes.js'
import { idempotencyDefinition } from '../idempotency/idempotencyDefinition.js'
import { ledgerDefinition } from '../ledger/ledgerDefinition.js'
import { RecordRole } from '../ledger/ledgerTypes.js'
import { retryDefinition } from '../retry/retryDefinition.js'
import { getCall, isStopping, moveCall, removeCall } from './nodeCoreDb.js'
import type { Turn } from './nodeCoreDb.js'
import { outcomeOf } from './nodeCoreTypes.js'
import type { Answer, CallEnd, CallState, IncomingCall } from './nodeCoreTypes.js'
import { statusOf, statusOfUnknown } from './statusCodes.js'

const encoder = new TextEncoder()

/** Headers of the node that a backend server's or peer's answer must not bring along. */
const OWN_HEADERS = new Set([
  'ragwortspur-outcome', 'ragwortspur-reason', 'ragwortspur-limited-by', 'ragwortspur-cut-level',
  'ragwortspur-retry-return', 'ragwortspur-draining', 'ragwortspur-node'
])

/**
 * A refusal before anything was sent. It may only be reported as not run if no
 * other send of the same request can have run: a key's owner knows that, and a
 * caller that numbers its sends says so with its first one.
 */
export function refuseBeforeSend (turn: Turn, state: CallState, reason: Reason, limitedBy = ''): void {
  finishCall(turn, state, refusalEnd(turn, state, reason, limitedBy))
}

/** The end that a refusal without any run comes to. */
export function refusalEnd (turn: Turn, state: CallState, reason: Reason, limitedBy = ''): CallEnd {
  const otherSendMayRun = !state.route.idempotent && !state.keyAccepted && state.call.attempt !== 1 &&
    state.call.idempotencyKey !== null
  if (state.mayHaveRun || otherSendMayRun) return { kind: 'unknown', reason }
  const proof = state.executesHere
    ? { kind: 'refused_by_executor' as const, nodeId: turn.db.settings.nodeId }
    : { kind: 'no_byte_sent' as const }
  return { kind: 'not_run', proof, reason, limitedBy }
}

/** The key's owner answers for all nodes, so its word on `not_run` holds for each send. */
export function keyRefusal (turn: Turn, outcome: Outcome.NotRun | Outcome.Unknown, reason: Reason): CallEnd {
  if (outcome === Outcome.Unknown) return { kind: 'unknown', reason }
  return {
    kind: 'not_run',
    proof: { kind: 'refused_by_executor', nodeId: turn.db.settings.nodeId },
    reason,
    limitedBy: ''
  }
}

/** Ends a call for which no document or route was found. */
export function endUnplannedCall (turn: Turn, call: IncomingCall, reason: Reason): void {
  const outcome = call.idempotencyKey !== null && call.attempt !== 1 ? Outcome.Unknown : Outcome.NotRun
  const answer = ownAnswer(turn, { outcome, reason, limitedBy: '' })
  turn.commands.push({ kind: 'answer', callId: call.callId, answer })
  turn.commands.push({
    kind: 'record',
    line: ledgerDefinition.record(turn.db.family.ledger, {
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
      arrivedAtWallMs: turn.wallMs,
      queuedMs: 0,
      servedMs: 0,
      totalMs: 0
    })
  })
}

/** Ends a call: gives back what it holds, answers its caller and writes its record. */
export function finishCall (turn: Turn, state: CallState, end: CallEnd): void {
  moveCall(turn.db, state, closingEvent(state, end))
  if (state.keySend !== null) finishKey(turn, state, end)
  if (state.sentAtMs === 0) giveTokenBack(turn, state)
  const returnedCount = closeAccount(turn, state)
  if (end.kind === 'cancelled') turn.commands.push({ kind: 'drop', callId: state.call.callId })
  else turn.commands.push({ kind: 'answer', callId: state.call.callId, answer: answerOf(turn, state, end, returnedCount) })
  writeRecord(turn, state, end)
  removeCall(turn.db, state.call.callId)
  if (isStopping(turn.db) && turn.db.calls.size === 0) turn.commands.push({ kind: 'stopped' })
}

/** A refusal that arrives as the answer to a send closes the call like any other answer. */
function closingEvent (state: CallState, end: CallEnd): string {
  const isSent = ['dispatched', 'forwarded', 'abandoned'].includes(state.chartState)
  if (isSent || end.kind === 'done') return 'ANSWER'
  return end.kind === 'cancelled' ? 'CANCEL' : 'REFUSE'
}

function finishKey (turn: Turn, state: CallState, end: CallEnd): void {
  const { keySend } = state
  if (keySend === null || !state.keyAccepted) return
  const db = turn.db.family.idempotency
  if (end.kind === 'not_run') idempotencyDefinition.refused(db, keySend, turn.nowMs)
  else if (end.kind === 'done') idempotencyDefinition.finish(db, keySend, Outcome.Done, end.answer, turn.nowMs)
  else if (state.sentAtMs === 0) idempotencyDefinition.refused(db, keySend, turn.nowMs)
  else idempotencyDefinition.finish(db, keySend, Outcome.Unknown, null, turn.nowMs)
}

/** Returns the token of a call that this node did not dispatch. */
export function giveTokenBack (turn: Turn, state: CallState): void {
  if (!state.holdsToken) return
  state.holdsToken = false
  const tenant = { callerName: state.terms.name, serviceName: state.call.serviceName }
  agreementDefinition.giveBack(turn.db.family.agreement, tenant, turn.nowMs)
}

/** Closes the account of a call that brought its own budget; returns what is left of it. */
function closeAccount (turn: Turn, state: CallState): number {
  if (state.accountId !== state.call.callId) return 0
  return retryDefinition.close(turn.db.family.retry, state.accountId, turn.nowMs)
}

function answerOf (turn: Turn, state: CallState, end: CallEnd, returnedCount: number): Answer {
  const base = baseAnswer(turn, end)
  const headers: Record<string, string> = {
    ...base.headers,
    // A remembered answer carries the id of the call that ran, which the sender would take for a crossed answer.
    'ragwortspur-call': state.call.callId,
    'ragwortspur-cut-level': String(cutLevelOf(turn, state))
  }
  if (state.call.source.kind === 'peer') headers['ragwortspur-retry-return'] = String(returnedCount)
  return { ...base, headers }
}

function baseAnswer (turn: Turn, end: CallEnd): Answer {
  switch (end.kind) {
    case 'done': return passedAnswer(turn, end.answer)
    case 'not_run':
      return ownAnswer(turn, { outcome: Outcome.NotRun, reason: end.reason, limitedBy: end.limitedBy })
    case 'unknown': return ownAnswer(turn, { outcome: Outcome.Unknown, reason: end.reason, limitedBy: '' })
    case 'cancelled': return ownAnswer(turn, { outcome: Outcome.Cancelled, reason: Reason.CallerCancelled, limitedBy: '' })
    default: return assertNever(end)
  }
}

/** Strictest level met at this service and below it. */
export function cutLevelOf (turn: Turn, state: CallState): number {
  if (!state.executesHere || !turn.db.settings.controlEnabled) return state.cutLevelBelow
  const { cutLevel } = admissionDefinition.reading(turn.db.family.admission, turn.nowMs)
  return Math.min(cutForSender(cutLevel, state), state.cutLevelBelow, LEVEL_WORST)
}

/**
 * The gate's cut in terms of the level that the sender gave the call. A call that
 * this node's promise check moved to the half above promise met the cut there.
 */
function cutForSender (cutLevel: number, state: CallState): number {
  const moved = isAbovePromise(state.level) && !isAbovePromise(state.baseLevel)
  if (!moved || cutLevel === LEVEL_WORST) return cutLevel
  return Math.max(0, cutLevel - FIRST_LEVEL_ABOVE_PROMISE)
}

function passedAnswer (turn: Turn, answer: Answer): Answer {
  const headers: Record<string, string> = {}
  for (const [name, value] of Object.entries(answer.headers)) {
    if (!OWN_HEADERS.has(name)) headers[name] = value
  }
  return { ...answer, headers: { ...headers, ...nodeHeaders(turn, Outcome.Done) } }
}

function nodeHeaders (turn: Turn, outcome: Outcome): Record<string, string> {
  const headers: Record<string, string> = {
    'ragwortspur-outcome': outcome, 'ragwortspur-node': turn.db.settings.nodeId
  }
  if (isStopping(turn.db)) headers['ragwortspur-draining'] = 'true'
  return headers
}

function ownAnswer (
  turn: Turn, end: { readonly outcome: Outcome, readonly reason: Reason, readonly limitedBy: string }
): Answer {
  const body = { outcome: end.outcome, reason: end.reason, limited_by: end.limitedBy }
  return {
    status: end.outcome === Outcome.Unknown ? statusOfUnknown(end.reason) : statusOf(end.reason),
    headers: {
      ...nodeHeaders(turn, end.outcome),
      'content-type': 'application/json',
      'ragwortspur-reason': end.reason,
      ...(end.limitedBy === '' ? {} : { 'ragwortspur-limited-by': end.limitedBy })
    },
    body: encoder.encode(JSON.stringify(body))
  }
}

function roleOf (state: CallState): RecordRole {
  if (state.call.source.kind === 'peer') return RecordRole.Executor
  return state.executesHere ? RecordRole.Both : RecordRole.Entry
}

function writeRecord (turn: Turn, state: CallState, end: CallEnd): void {
  const { call } = state
  turn.commands.push({
    kind: 'record',
    line: ledgerDefinition.record(turn.db.family.ledger, {
      role: roleOf(state),
      callerName: state.terms.name,
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
      totalMs: turn.nowMs - state.arrivedAtMs
    })
  })
}

/** Notes at the parent of a sub-call the strictest cut level met below, and learns it for later root requests. */
export function noteCutLevel (turn: Turn, state: CallState, cutLevel: number): void {
  state.cutLevelBelow = Math.min(state.cutLevelBelow, cutLevel)
  if (state.call.source.kind !== 'backend_server') return
  const parent = getCall(turn.db, state.call.source.parentCallId)
  if (parent === undefined) return
  parent.cutLevelBelow = Math.min(parent.cutLevelBelow, cutLevel)
  admissionDefinition.learnCut(
    turn.db.family.admission, parent.call.serviceName, parent.route.name, cutLevel, turn.nowMs
  )
}
