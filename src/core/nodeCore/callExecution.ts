import { admissionDefinition } from '../admission/admissionDefinition.js'
import { ReleaseKind } from '../admission/admissionTypes.js'
import type { GateEvent } from '../admission/admissionTypes.js'
import { agreementDefinition } from '../agreement/agreementDefinition.js'
import { assertNever } from '../../errors/errors.js'
import { admissionLevel, Reason } from '../coreTypes.js'
import { hash32 } from '../hash.js'
import { idempotencyDefinition } from '../idempotency/idempotencyDefinition.js'
import { retryDefinition } from '../retry/retryDefinition.js'
import { finishCall, buildKeyRefusalEnd, buildRefusalEnd, refuseBeforeSend } from './callEnd.js'
import { retryOrFinish } from './callPlacement.js'
import { addViolation, backendAcceptsWork, getCall, isStopping, transitionCall } from './nodeCoreDb.js'
import type { EventContext } from './nodeCoreDb.js'
import type { CallState } from './nodeCoreTypes.js'

/** Requests a slot of this node's backend server from the admission gate. */
export function executeLocally (context: EventContext, state: CallState): void {
  state.executesLocally = true
  if (!state.triedNodeIds.includes(context.db.settings.nodeId)) state.triedNodeIds.push(context.db.settings.nodeId)
  if (!context.db.settings.controlEnabled) {
    dispatch(context, state)
    return
  }
  const reason = executionRefusalReason(context, state)
  if (reason !== Reason.None) {
    retryOrFinish(context, state, buildRefusalEnd(context, state, reason, state.call.serviceName))
    return
  }
  takeTokenAndSetLevel(context, state)
  if (!passesChainAdmission(context, state)) {
    refuseBeforeSend(context, state, Reason.ChainOverload, state.call.serviceName)
    return
  }
  applyGateEvents(context, admissionDefinition.offerCall(context.db.modules.admission, {
    callId: state.call.callId,
    callerName: state.callerPolicy.name,
    level: state.level,
    arrivedAtMs: context.nowMs,
    deadlineAtMs: state.deadlineAtMs,
    routeName: state.route.name
  }, context.nowMs))
}

function executionRefusalReason (context: EventContext, state: CallState): Reason {
  if (isStopping(context.db) && state.call.source.kind !== 'backend_server') return Reason.Draining
  if (!backendAcceptsWork(context.db)) {
    return context.db.backendState === 'draining' || context.db.isListedAsLeaving ? Reason.Draining : Reason.BackendDown
  }
  const decision = retryDefinition.checkQuarantine(context.db.modules.retry, state.fingerprint, context.nowMs)
  return decision.kind === 'refuse' ? Reason.Quarantined : Reason.None
}

/**
 * Takes a token from the caller's bucket and sets the admission level: a call without a token is above the
 * caller's promised rate and gets a worse level.
 */
function takeTokenAndSetLevel (context: EventContext, state: CallState): void {
  const tenant = { callerName: state.callerPolicy.name, serviceName: state.call.serviceName }
  state.withinPromise = agreementDefinition.takeToken(
    context.db.modules.agreement, tenant, state.importance, context.nowMs
  )
  state.holdsToken = state.withinPromise
  const ownLevel = admissionLevel({
    withinPromise: state.withinPromise, importance: state.importance, rootHash: hash32(state.call.rootId)
  })
  state.level = Math.max(state.baseLevel, ownLevel)
}

/**
 * Whether the downstream services would admit a call at its present level; always true for
 * sub-calls. A root request that they would shed is refused before any work is done: at the
 * entry node, and again at the executing node, which knows whether the caller is above its promise.
 */
export function passesChainAdmission (context: EventContext, state: CallState): boolean {
  if (!context.db.settings.controlEnabled || !state.isRoot) return true
  return admissionDefinition.admitsRootRequest(
    context.db.modules.admission, state.call.serviceName, state.route.name, state.level, context.nowMs,
    context.db.random
  )
}

/** Applies the decisions of the admission gate: queues, dispatches or refuses the calls. */
export function applyGateEvents (context: EventContext, events: readonly GateEvent[]): void {
  for (const event of events) {
    const state = getCall(context.db, event.callId)
    if (state === undefined && event.kind === 'queued') continue
    if (state === undefined) {
      addViolation(context.db, 'gateKnowsCall', `the admission gate returned a decision for the unknown call ${event.callId}`)
      continue
    }
    applyGateEvent(context, state, event)
  }
}

function applyGateEvent (context: EventContext, state: CallState, event: GateEvent): void {
  switch (event.kind) {
    case 'queued':
      transitionCall(context.db, state, 'QUEUE')
      return
    case 'start':
      recheckAndDispatch(context, state)
      return
    case 'refuse':
      retryOrFinish(context, state, buildRefusalEnd(context, state, event.reason, limitedByOf(state, event.reason)))
      return
    default:
      assertNever(event)
  }
}

function limitedByOf (state: CallState, reason: Reason): string {
  return reason === Reason.AbovePromise ? `promise:${state.callerPolicy.name}` : `service:${state.call.serviceName}`
}

/**
 * Dispatches a call after checking its deadline, the backend server and the idempotency key
 * again, since the process may have been paused after the admission decision.
 */
function recheckAndDispatch (context: EventContext, state: CallState): void {
  const end = endIfNoLongerValid(context, state)
  if (end !== null) {
    const events = admissionDefinition.releaseSlot(
      context.db.modules.admission, state.call.callId, ReleaseKind.Cancelled, 0, context.nowMs
    )
    finishCall(context, state, end)
    applyGateEvents(context, events)
    return
  }
  dispatch(context, state)
}

function endIfNoLongerValid (context: EventContext, state: CallState): ReturnType<typeof buildRefusalEnd> | null {
  if (state.deadlineAtMs <= context.nowMs) return buildRefusalEnd(context, state, Reason.DeadlinePassed)
  if (!backendAcceptsWork(context.db)) return buildRefusalEnd(context, state, Reason.Draining)
  if (state.keySend === null) return null
  const decision = idempotencyDefinition.beforeDispatch(
    context.db.modules.idempotency, state.keySend, context.nowMs, context.wallMs
  )
  switch (decision.kind) {
    case 'run': return null
    case 'answer': return { kind: 'done', answer: decision.answer }
    case 'refuse': return buildKeyRefusalEnd(context, decision.outcome, decision.reason)
    default: return assertNever(decision)
  }
}

function dispatch (context: EventContext, state: CallState): void {
  transitionCall(context.db, state, 'DISPATCH')
  state.queuedMs = context.nowMs - state.arrivedAtMs
  state.sentAtMs = context.nowMs
  if (context.db.settings.controlEnabled) {
    retryDefinition.recordDispatch(context.db.modules.retry, state.call.callId, state.fingerprint, context.nowMs)
  }
  context.commands.push({
    kind: 'dispatch', callId: state.call.callId, timeoutMs: Math.max(0, state.deadlineAtMs - context.nowMs)
  })
}
