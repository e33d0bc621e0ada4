import { admissionDefinition } from '../admission/admissionDefinition.js'
import { Outcome, Reason } from '../coreTypes.js'
import { idempotencyDefinition } from '../idempotency/idempotencyDefinition.js'
import type { KeyOwner, RequestKey } from '../idempotency/idempotencyTypes.js'
import { membershipDefinition } from '../membership/membershipDefinition.js'
import { retryDefinition } from '../retry/retryDefinition.js'
import { routingDefinition } from '../routing/routingDefinition.js'
import type { NodeTarget } from '../routing/routingTypes.js'
import { executeLocally, passesChainAdmission } from './callExecution.js'
import { finishCall, returnCallToken, buildKeyRefusalEnd, refuseBeforeSend } from './callEnd.js'
import { backendAcceptsWork, getPeerCutLevel, isStopping, transitionCall } from './nodeCoreDb.js'
import type { EventContext } from './nodeCoreDb.js'
import type { CallEnd, CallState } from './nodeCoreTypes.js'
import { ownerCandidatesOf, ownerRevisionsOf } from './keyOwners.js'

/**
 * Attempt number of a call without one. It is lower than that of a first attempt (1), because an
 * unnumbered call may be a resend of one that ran at an earlier owner of the key.
 */
const UNNUMBERED_ATTEMPT = 0

/** Idempotency key of a call with its caller and service; null on an idempotent route or without a key. */
export function requestKeyOf (state: CallState): RequestKey | null {
  const { call, route } = state
  if (route.idempotent || call.idempotencyKey === null) return null
  return { callerName: call.callerName, serviceName: call.serviceName, idempotencyKey: call.idempotencyKey }
}

/** Executes a call on this node's backend server, forwards it to another node, or refuses it. */
export function placeCall (context: EventContext, state: CallState): void {
  const key = requestKeyOf(state)
  if (key !== null && context.db.settings.controlEnabled) placeKeyedCall(context, state, key)
  else if (state.call.source.kind === 'peer') placeForwardedCall(context, state)
  else placeUnkeyedCall(context, state)
}

function isOwnService (context: EventContext, state: CallState): boolean {
  return state.call.serviceName === context.db.settings.serviceName
}

function placeForwardedCall (context: EventContext, state: CallState): void {
  if (isOwnService(context, state)) executeLocally(context, state)
  else refuseBeforeSend(context, state, Reason.NoNode)
}

function placeUnkeyedCall (context: EventContext, state: CallState): void {
  if (!passesChainAdmission(context, state)) {
    refuseBeforeSend(context, state, Reason.ChainOverload, state.call.serviceName)
  } else if (!isOwnService(context, state) || state.triedNodeIds.includes(context.db.settings.nodeId)) {
    forwardToChosenNode(context, state)
  } else if (hasLocalCapacity(context, state)) {
    executeLocally(context, state)
  } else {
    forwardIfPeerLessLoaded(context, state)
  }
}

function hasLocalCapacity (context: EventContext, state: CallState): boolean {
  if (!context.db.settings.controlEnabled) return true
  if (!backendAcceptsWork(context.db) || isStopping(context.db)) return false
  const reading = admissionDefinition.getGateReading(context.db.modules.admission, context.nowMs)
  return reading.inFlightCount < reading.limitCount
}

/**
 * Forwards a call if the chosen peer sheds less load than this node, that is, if its load-shedding threshold (cut
 * level) is higher, or if this node cannot run calls. Otherwise the call stays here, because another hop adds latency
 * and load.
 */
function forwardIfPeerLessLoaded (context: EventContext, state: CallState): void {
  const target = chooseTarget(context, state)
  const cannotRunLocally = !backendAcceptsWork(context.db) || isStopping(context.db)
  if (target === undefined) {
    executeLocally(context, state)
    return
  }
  const { cutLevel } = admissionDefinition.getGateReading(context.db.modules.admission, context.nowMs)
  if (cannotRunLocally ||
    getPeerCutLevel(context.db, target.nodeId, context.nowMs) > cutLevel) forwardToNode(context, state, target)
  else executeLocally(context, state)
}

function chooseTarget (context: EventContext, state: CallState): NodeTarget | undefined {
  const choice = routingDefinition.chooseNode(context.db.modules.routing, {
    serviceName: state.call.serviceName,
    ownDataCentre: context.db.settings.dataCentre,
    triedNodeIds: [...state.triedNodeIds, context.db.settings.nodeId]
  }, context.nowMs, context.db.random)
  return choice.kind === 'target' ? choice.target : undefined
}

function forwardToChosenNode (context: EventContext, state: CallState): void {
  const target = chooseTarget(context, state)
  if (target !== undefined) forwardToNode(context, state, target)
  else if (isOwnService(context, state)) executeLocally(context, state)
  else refuseBeforeSend(context, state, Reason.NoNode)
}

function placeKeyedCall (context: EventContext, state: CallState, key: RequestKey): void {
  const owner = idempotencyDefinition.ownerOf(key, ownerCandidatesOf(context, state.document))
  const isOwner = owner.nodeId === context.db.settings.nodeId
  if (isOwnService(context, state) && (isOwner || state.call.source.kind === 'peer')) {
    acceptKeyedCall(context, state, key, isOwner)
  } else if (state.call.source.kind === 'peer') {
    refuseBeforeSend(context, state, Reason.NotOwner)
  } else {
    forwardToOwner(context, state, owner)
  }
}

function acceptKeyedCall (context: EventContext, state: CallState, key: RequestKey, isOwner: boolean): void {
  const send = {
    key,
    callId: state.call.callId,
    attempt: state.call.attempt ?? UNNUMBERED_ATTEMPT,
    isOwner,
    ownerRevisions: ownerRevisionsOf(context, key, state.document)
  }
  state.keySend = send
  state.executesLocally = true
  const decision = idempotencyDefinition.admitSend(context.db.modules.idempotency, send, context.nowMs, context.wallMs)
  switch (decision.kind) {
    case 'run':
      state.isKeyAccepted = true
      executeLocally(context, state)
      return
    case 'answer':
      finishCall(context, state, { kind: 'done', answer: decision.answer })
      return
    case 'refuse':
      finishCall(context, state, buildKeyRefusalEnd(context, decision.outcome, decision.reason))
  }
}

function forwardToOwner (context: EventContext, state: CallState, owner: KeyOwner): void {
  const mayRefuse = state.call.attempt === 1
  const entry = owner.nodeId === undefined
    ? undefined
    : membershipDefinition.entryOf(context.db.modules.membership, owner.nodeId)
  if (mayRefuse && !passesChainAdmission(context, state)) {
    refuseBeforeSend(context, state, Reason.ChainOverload, state.call.serviceName)
  } else if (entry === undefined) {
    refuseBeforeSend(context, state, Reason.NoNode)
  } else {
    forwardToNode(context, state, {
      nodeId: entry.vmId, address: entry.callAddress, serviceName: entry.serviceName, dataCentre: entry.dataCentre
    })
  }
}

function forwardToNode (context: EventContext, state: CallState, target: NodeTarget): void {
  const { db } = context
  transitionCall(db, state, 'FORWARD')
  state.forwardedTo = target.nodeId
  state.sentAtMs = context.nowMs
  state.triedNodeIds.push(target.nodeId)
  state.reservedRetriesCount = db.settings.controlEnabled
    ? retryDefinition.reserveBudget(db.modules.retry, state.accountId, context.nowMs)
    : 0
  routingDefinition.recordSend(db.modules.routing, target.nodeId, context.nowMs)
  context.commands.push({
    kind: 'forward',
    callId: state.call.callId,
    address: target.address,
    timeoutMs: Math.max(0, state.deadlineAtMs - context.nowMs),
    headers: forwardHeaders(context, state)
  })
}

function forwardHeaders (context: EventContext, state: CallState): Record<string, string> {
  const { call } = state
  const headers: Record<string, string> = {
    'ragwortspur-from-node': context.db.settings.nodeId,
    'ragwortspur-caller': call.callerName,
    'ragwortspur-service': call.serviceName,
    'ragwortspur-root': call.rootId,
    'ragwortspur-call': call.callId,
    'ragwortspur-is-root': String(state.isRoot),
    'ragwortspur-deadline-ms': String(Math.floor(state.deadlineAtMs - context.nowMs)),
    'ragwortspur-importance': state.importance,
    'ragwortspur-level': String(state.level),
    'ragwortspur-retry-loan': String(state.reservedRetriesCount)
  }
  if (call.parentId !== '') headers['ragwortspur-parent'] = call.parentId
  if (call.idempotencyKey !== null) headers['idempotency-key'] = call.idempotencyKey
  if (call.attempt !== null) headers['ragwortspur-attempt'] = String(call.attempt)
  return headers
}

/** Retries a call whose last attempt failed if its retry budget allows that; otherwise ends it. */
export function retryOrFinish (context: EventContext, state: CallState, end: CallEnd): void {
  if (!mayRetry(context, state, end)) {
    finishCall(context, state, end)
    return
  }
  if (!hasAlternativeNode(context, state)) {
    finishCall(context, state, end)
    return
  }
  const decision = retryDefinition.decideRetry(context.db.modules.retry, {
    accountId: state.accountId,
    outcome: end.kind === 'unknown' ? Outcome.Unknown : Outcome.NotRun,
    reason: end.reason,
    idempotent: state.route.idempotent,
    remainingMs: state.deadlineAtMs - context.nowMs,
    expectedMs: admissionDefinition.expectedServiceMs(context.db.modules.admission, state.route.name)
  }, context.nowMs, context.db.random)
  if (decision.kind === 'give_up') {
    finishCall(context, state, end)
    return
  }
  scheduleRetry(context, state, end, decision.delayMs)
}

type FailedEnd = Extract<CallEnd, { kind: 'not_run' | 'unknown' }>

/**
 * Whether a failed call may be retried here. A call from a peer is retried by that peer alone, and a call
 * with an idempotency key only if no byte of it was sent.
 */
function mayRetry (context: EventContext, state: CallState, end: CallEnd): end is FailedEnd {
  if (end.kind !== 'not_run' && end.kind !== 'unknown') return false
  if (state.call.source.kind === 'peer' || !context.db.settings.controlEnabled) return false
  return state.route.idempotent || (end.kind === 'not_run' && end.proof.kind === 'no_byte_sent')
}

/** Whether the call can be retried: if this node has already tried it, another node must be available. */
function hasAlternativeNode (context: EventContext, state: CallState): boolean {
  if (!state.triedNodeIds.includes(context.db.settings.nodeId)) return true
  return state.route.idempotent && chooseTarget(context, state) !== undefined
}

function scheduleRetry (context: EventContext, state: CallState, end: CallEnd, delayMs: number): void {
  state.retriesCount += 1
  state.mayHaveRun ||= end.kind === 'unknown'
  if (state.chartState !== 'received') transitionCall(context.db, state, 'FAIL')
  state.executesLocally = false
  state.level = state.baseLevel
  returnCallToken(context, state)
  if (delayMs > 0) context.commands.push({ kind: 'retry_later', callId: state.call.callId, delayMs })
  else placeCall(context, state)
}
