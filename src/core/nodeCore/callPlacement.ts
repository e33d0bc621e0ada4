import { admissionDefinition } from '../admission/admissionDefinition.js'
import { Outcome, Reason } from '../coreTypes.js'
import { idempotencyDefinition } from '../idempotency/idempotencyDefinition.js'
import type { KeyOwner, RequestKey } from '../idempotency/idempotencyTypes.js'
import { membershipDefinition } from '../membership/membershipDefinition.js'
import { retryDefinition } from '../retry/retryDefinition.js'
import { routingDefinition } from '../routing/routingDefinition.js'
import type { NodeTarget } from '../routing/routingTypes.js'
import { executeHere, passesChain } from './callExecution.js'
import { finishCall, giveTokenBack, keyRefusal, refuseBeforeSend } from './callEnd.js'
import { backendAcceptsWork, getPeerCut, isStopping, moveCall } from './nodeCoreDb.js'
import type { Turn } from './nodeCoreDb.js'
import type { CallEnd, CallState } from './nodeCoreTypes.js'
import { ownerCandidatesOf, ownerRevisionsOf } from './keyOwners.js'

/** Ranks below a first send, since an unnumbered send may be a resend of one that ran at another owner. */
const UNNUMBERED_ATTEMPT = 0

/** Identity of a keyed call, or null on an idempotent route. */
export function requestKeyOf (state: CallState): RequestKey | null {
  const { call, route } = state
  if (route.idempotent || call.idempotencyKey === null) return null
  return { callerName: call.callerName, serviceName: call.serviceName, idempotencyKey: call.idempotencyKey }
}

/** Decides where a received call goes: the own backend server, another node, or nowhere. */
export function placeCall (turn: Turn, state: CallState): void {
  const key = requestKeyOf(state)
  if (key !== null && turn.db.settings.controlEnabled) placeKeyedCall(turn, state, key)
  else if (state.call.source.kind === 'peer') placeForwardedCall(turn, state)
  else placeFreeCall(turn, state)
}

function isOwnService (turn: Turn, state: CallState): boolean {
  return state.call.serviceName === turn.db.settings.serviceName
}

function placeForwardedCall (turn: Turn, state: CallState): void {
  if (isOwnService(turn, state)) executeHere(turn, state)
  else refuseBeforeSend(turn, state, Reason.NoNode)
}

function placeFreeCall (turn: Turn, state: CallState): void {
  if (!passesChain(turn, state)) {
    refuseBeforeSend(turn, state, Reason.ChainOverload, state.call.serviceName)
  } else if (!isOwnService(turn, state) || state.triedNodeIds.includes(turn.db.settings.nodeId)) {
    forwardToChoice(turn, state)
  } else if (hasRoomHere(turn, state)) {
    executeHere(turn, state)
  } else {
    forwardIfBetter(turn, state)
  }
}

function hasRoomHere (turn: Turn, state: CallState): boolean {
  if (!turn.db.settings.controlEnabled) return true
  if (!backendAcceptsWork(turn.db) || isStopping(turn.db)) return false
  const reading = admissionDefinition.reading(turn.db.family.admission, turn.nowMs)
  return reading.inFlightCount < reading.limitCount
}

/** Sends a call on if another node would take it more readily; a second hop is not free. */
function forwardIfBetter (turn: Turn, state: CallState): void {
  const target = chooseTarget(turn, state)
  const cannotRunHere = !backendAcceptsWork(turn.db) || isStopping(turn.db)
  if (target === undefined) {
    executeHere(turn, state)
    return
  }
  const { cutLevel } = admissionDefinition.reading(turn.db.family.admission, turn.nowMs)
  if (cannotRunHere || getPeerCut(turn.db, target.nodeId, turn.nowMs) > cutLevel) forwardTo(turn, state, target)
  else executeHere(turn, state)
}

function chooseTarget (turn: Turn, state: CallState): NodeTarget | undefined {
  const choice = routingDefinition.choose(turn.db.family.routing, {
    serviceName: state.call.serviceName,
    ownDataCentre: turn.db.settings.dataCentre,
    triedNodeIds: [...state.triedNodeIds, turn.db.settings.nodeId]
  }, turn.nowMs, turn.db.random)
  return choice.kind === 'target' ? choice.target : undefined
}

function forwardToChoice (turn: Turn, state: CallState): void {
  const target = chooseTarget(turn, state)
  if (target !== undefined) forwardTo(turn, state, target)
  else if (isOwnService(turn, state)) executeHere(turn, state)
  else refuseBeforeSend(turn, state, Reason.NoNode)
}

function placeKeyedCall (turn: Turn, state: CallState, key: RequestKey): void {
  const owner = idempotencyDefinition.ownerOf(key, ownerCandidatesOf(turn, state.document))
  const isOwner = owner.nodeId === turn.db.settings.nodeId
  if (isOwnService(turn, state) && (isOwner || state.call.source.kind === 'peer')) {
    acceptKeyedCall(turn, state, key, isOwner)
  } else if (state.call.source.kind === 'peer') {
    refuseBeforeSend(turn, state, Reason.NotOwner)
  } else {
    sendToOwner(turn, state, owner)
  }
}

function acceptKeyedCall (turn: Turn, state: CallState, key: RequestKey, isOwner: boolean): void {
  const send = {
    key,
    callId: state.call.callId,
    attempt: state.call.attempt ?? UNNUMBERED_ATTEMPT,
    isOwner,
    ownerRevisions: ownerRevisionsOf(turn, key, state.document)
  }
  state.keySend = send
  state.executesHere = true
  const decision = idempotencyDefinition.admit(turn.db.family.idempotency, send, turn.nowMs, turn.wallMs)
  switch (decision.kind) {
    case 'run':
      state.keyAccepted = true
      executeHere(turn, state)
      return
    case 'answer':
      finishCall(turn, state, { kind: 'done', answer: decision.answer })
      return
    case 'refuse':
      finishCall(turn, state, keyRefusal(turn, decision.outcome, decision.reason))
  }
}

function sendToOwner (turn: Turn, state: CallState, owner: KeyOwner): void {
  const mayShed = state.call.attempt === 1
  const entry = owner.nodeId === undefined
    ? undefined
    : membershipDefinition.entryOf(turn.db.family.membership, owner.nodeId)
  if (mayShed && !passesChain(turn, state)) {
    refuseBeforeSend(turn, state, Reason.ChainOverload, state.call.serviceName)
  } else if (entry === undefined) {
    refuseBeforeSend(turn, state, Reason.NoNode)
  } else {
    forwardTo(turn, state, {
      nodeId: entry.vmId, address: entry.callAddress, serviceName: entry.serviceName, dataCentre: entry.dataCentre
    })
  }
}

function forwardTo (turn: Turn, state: CallState, target: NodeTarget): void {
  const { db } = turn
  moveCall(db, state, 'FORWARD')
  state.forwardedTo = target.nodeId
  state.sentAtMs = turn.nowMs
  state.triedNodeIds.push(target.nodeId)
  state.lentCount = db.settings.controlEnabled
    ? retryDefinition.lend(db.family.retry, state.accountId, turn.nowMs)
    : 0
  routingDefinition.sent(db.family.routing, target.nodeId, turn.nowMs)
  turn.commands.push({
    kind: 'forward',
    callId: state.call.callId,
    address: target.address,
    timeoutMs: Math.max(0, state.deadlineAtMs - turn.nowMs),
    headers: forwardHeaders(turn, state)
  })
}

function forwardHeaders (turn: Turn, state: CallState): Record<string, string> {
  const { call } = state
  const headers: Record<string, string> = {
    'ragwortspur-from-node': turn.db.settings.nodeId,
    'ragwortspur-caller': call.callerName,
    'ragwortspur-service': call.serviceName,
    'ragwortspur-root': call.rootId,
    'ragwortspur-call': call.callId,
    'ragwortspur-is-root': String(state.isRoot),
    'ragwortspur-deadline-ms': String(Math.floor(state.deadlineAtMs - turn.nowMs)),
    'ragwortspur-importance': state.importance,
    'ragwortspur-level': String(state.level),
    'ragwortspur-retry-loan': String(state.lentCount)
  }
  if (call.parentId !== '') headers['ragwortspur-parent'] = call.parentId
  if (call.idempotencyKey !== null) headers['idempotency-key'] = call.idempotencyKey
  if (call.attempt !== null) headers['ragwortspur-attempt'] = String(call.attempt)
  return headers
}

/**
 * Ends a call whose last send failed, or sends it once more if the retry budget
 * of its root request allows that.
 */
export function retryOrFinish (turn: Turn, state: CallState, end: CallEnd): void {
  if (!mayRetry(turn, state, end)) {
    finishCall(turn, state, end)
    return
  }
  if (!hasAlternative(turn, state)) {
    finishCall(turn, state, end)
    return
  }
  const decision = retryDefinition.decide(turn.db.family.retry, {
    accountId: state.accountId,
    outcome: end.kind === 'unknown' ? Outcome.Unknown : Outcome.NotRun,
    reason: end.reason,
    idempotent: state.route.idempotent,
    remainingMs: state.deadlineAtMs - turn.nowMs,
    expectedMs: admissionDefinition.expectedServiceMs(turn.db.family.admission, state.route.name)
  }, turn.nowMs, turn.db.random)
  if (decision.kind === 'give_up') {
    finishCall(turn, state, end)
    return
  }
  resend(turn, state, end, decision.delayMs)
}

type FailedEnd = Extract<CallEnd, { kind: 'not_run' | 'unknown' }>

/** Only the layer that sent the call retries it, and a keyed call only when nothing was sent. */
function mayRetry (turn: Turn, state: CallState, end: CallEnd): end is FailedEnd {
  if (end.kind !== 'not_run' && end.kind !== 'unknown') return false
  if (state.call.source.kind === 'peer' || !turn.db.settings.controlEnabled) return false
  return state.route.idempotent || (end.kind === 'not_run' && end.proof.kind === 'no_byte_sent')
}

/** A retry of a call that this node has tried itself needs another node. */
function hasAlternative (turn: Turn, state: CallState): boolean {
  if (!state.triedNodeIds.includes(turn.db.settings.nodeId)) return true
  return state.route.idempotent && chooseTarget(turn, state) !== undefined
}

function resend (turn: Turn, state: CallState, end: CallEnd, delayMs: number): void {
  state.retriesCount += 1
  state.mayHaveRun ||= end.kind === 'unknown'
  if (state.chartState !== 'received') moveCall(turn.db, state, 'FAIL')
  state.executesHere = false
  state.level = state.baseLevel
  giveTokenBack(turn, state)
  if (delayMs > 0) turn.commands.push({ kind: 'retry_later', callId: state.call.callId, delayMs })
  else placeCall(turn, state)
}
