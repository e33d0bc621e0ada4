import { admissionDefinition } from '../admission/admissionDefinition.js'
import { ReleaseKind } from '../admission/admissionTypes.js'
import type { GateEvent } from '../admission/admissionTypes.js'
import { agreementDefinition } from '../agreement/agreementDefinition.js'
import { assertNever } from '../../errors/errors.js'
import { admissionLevel, Reason } from '../coreTypes.js'
import { hash32 } from '../hash.js'
import { idempotencyDefinition } from '../idempotency/idempotencyDefinition.js'
import { retryDefinition } from '../retry/retryDefinition.js'
import { finishCall, keyRefusal, refusalEnd, refuseBeforeSend } from './callEnd.js'
import { retryOrFinish } from './callPlacement.js'
import { addViolation, backendAcceptsWork, getCall, isStopping, moveCall } from './nodeCoreDb.js'
import type { Turn } from './nodeCoreDb.js'
import type { CallState } from './nodeCoreTypes.js'

/** Asks the gate for a slot of the own backend server. */
export function executeHere (turn: Turn, state: CallState): void {
  state.executesHere = true
  if (!state.triedNodeIds.includes(turn.db.settings.nodeId)) state.triedNodeIds.push(turn.db.settings.nodeId)
  if (!turn.db.settings.controlEnabled) {
    dispatch(turn, state)
    return
  }
  const reason = refusalReason(turn, state)
  if (reason !== Reason.None) {
    retryOrFinish(turn, state, refusalEnd(turn, state, reason, state.call.serviceName))
    return
  }
  takeStanding(turn, state)
  if (!passesChain(turn, state)) {
    refuseBeforeSend(turn, state, Reason.ChainOverload, state.call.serviceName)
    return
  }
  applyGateEvents(turn, admissionDefinition.offer(turn.db.family.admission, {
    callId: state.call.callId,
    callerName: state.terms.name,
    level: state.level,
    arrivedAtMs: turn.nowMs,
    deadlineAtMs: state.deadlineAtMs,
    routeName: state.route.name
  }, turn.nowMs))
}

function refusalReason (turn: Turn, state: CallState): Reason {
  if (isStopping(turn.db) && state.call.source.kind !== 'backend_server') return Reason.Draining
  if (!backendAcceptsWork(turn.db)) {
    return turn.db.backendState === 'draining' || turn.db.listedLeaving ? Reason.Draining : Reason.BackendDown
  }
  const verdict = retryDefinition.verdict(turn.db.family.retry, state.fingerprint, turn.nowMs)
  return verdict.kind === 'refuse' ? Reason.Quarantined : Reason.None
}

/** Takes a token of the caller's promise and sets the level from its standing. */
function takeStanding (turn: Turn, state: CallState): void {
  const tenant = { callerName: state.terms.name, serviceName: state.call.serviceName }
  state.withinPromise = agreementDefinition.take(turn.db.family.agreement, tenant, state.importance, turn.nowMs)
  state.holdsToken = state.withinPromise
  const ownLevel = admissionLevel({
    withinPromise: state.withinPromise, importance: state.importance, rootHash: hash32(state.call.rootId)
  })
  state.level = Math.max(state.baseLevel, ownLevel)
}

/**
 * Whether a call may enter the chain at its present level. The services behind
 * would refuse a root request that may not, so it is refused before any work is
 * done: at the entry node, and again where the caller's standing is known.
 */
export function passesChain (turn: Turn, state: CallState): boolean {
  if (!turn.db.settings.controlEnabled || !state.isRoot) return true
  return admissionDefinition.passesChain(
    turn.db.family.admission, state.call.serviceName, state.route.name, state.level, turn.nowMs, turn.db.random
  )
}

/** Carries out what the gate decided, which may start further decisions. */
export function applyGateEvents (turn: Turn, events: readonly GateEvent[]): void {
  for (const event of events) {
    const state = getCall(turn.db, event.callId)
    if (state === undefined && event.kind === 'queued') continue
    if (state === undefined) {
      addViolation(turn.db, 'gateKnowsCall', `the gate decided on an unknown call ${event.callId}`)
      continue
    }
    applyGateEvent(turn, state, event)
  }
}

function applyGateEvent (turn: Turn, state: CallState, event: GateEvent): void {
  switch (event.kind) {
    case 'queued':
      moveCall(turn.db, state, 'QUEUE')
      return
    case 'start':
      startDispatch(turn, state)
      return
    case 'refuse':
      retryOrFinish(turn, state, refusalEnd(turn, state, event.reason, limitOf(state, event.reason)))
      return
    default:
      assertNever(event)
  }
}

function limitOf (state: CallState, reason: Reason): string {
  return reason === Reason.AbovePromise ? `promise:${state.terms.name}` : `service:${state.call.serviceName}`
}

/**
 * Checks everything again with the present clock reading, since the process may
 * have been paused between the decision and this point, and dispatches.
 */
function startDispatch (turn: Turn, state: CallState): void {
  const end = staleEnd(turn, state)
  if (end !== null) {
    const events = admissionDefinition.release(
      turn.db.family.admission, state.call.callId, ReleaseKind.Cancelled, 0, turn.nowMs
    )
    finishCall(turn, state, end)
    applyGateEvents(turn, events)
    return
  }
  dispatch(turn, state)
}

function staleEnd (turn: Turn, state: CallState): ReturnType<typeof refusalEnd> | null {
  if (state.deadlineAtMs <= turn.nowMs) return refusalEnd(turn, state, Reason.DeadlinePassed)
  if (!backendAcceptsWork(turn.db)) return refusalEnd(turn, state, Reason.Draining)
  if (state.keySend === null) return null
  const decision = idempotencyDefinition.beforeDispatch(
    turn.db.family.idempotency, state.keySend, turn.nowMs, turn.wallMs
  )
  switch (decision.kind) {
    case 'run': return null
    case 'answer': return { kind: 'done', answer: decision.answer }
    case 'refuse': return keyRefusal(turn, decision.outcome, decision.reason)
    default: return assertNever(decision)
  }
}

function dispatch (turn: Turn, state: CallState): void {
  moveCall(turn.db, state, 'DISPATCH')
  state.queuedMs = turn.nowMs - state.arrivedAtMs
  state.sentAtMs = turn.nowMs
  if (turn.db.settings.controlEnabled) {
    retryDefinition.dispatched(turn.db.family.retry, state.call.callId, state.fingerprint, turn.nowMs)
  }
  turn.commands.push({
    kind: 'dispatch', callId: state.call.callId, timeoutMs: Math.max(0, state.deadlineAtMs - turn.nowMs)
  })
}
