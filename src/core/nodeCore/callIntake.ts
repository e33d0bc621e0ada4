import { Maybe } from 'purify-ts'
import { admissionLevel, Importance, importanceRank, IMPORTANCE_ORDER, LEVEL_WORST, Reason } from '../coreTypes.js'
import { documentsDefinition } from '../documents/documentsDefinition.js'
import type { CallerTerms, RouteTerms, ServiceDocument } from '../documents/documentsTypes.js'
import { hash32 } from '../hash.js'
import { retryDefinition } from '../retry/retryDefinition.js'
import { endUnplannedCall, refuseBeforeSend } from './callEnd.js'
import { placeCall } from './callPlacement.js'
import { getCall, hasEndedLately, isStopping, setCall } from './nodeCoreDb.js'
import type { Turn } from './nodeCoreDb.js'
import type { CallState, IncomingCall } from './nodeCoreTypes.js'

interface Terms {
  readonly document: ServiceDocument
  readonly route: RouteTerms
  readonly terms: CallerTerms
}

/** Takes a call from a caller, the own backend server or a peer, and places it. */
export function receiveCall (turn: Turn, call: IncomingCall): void {
  const found = findTerms(turn, call)
  if ('reason' in found) {
    endUnplannedCall(turn, call, found.reason)
    return
  }
  const state = openCall(turn, call, found)
  setCall(turn.db, state)
  const fault = faultOf(turn, state)
  if (fault !== Reason.None) {
    refuseBeforeSend(turn, state, fault)
    return
  }
  placeCall(turn, state)
}

function findTerms (turn: Turn, call: IncomingCall): Terms | { readonly reason: Reason } {
  const inForce = documentsDefinition.documentOf(turn.db.family.documents, call.serviceName)
  if (inForce === undefined) return { reason: Reason.UnknownService }
  if (call.callerName === '') return { reason: Reason.CallerMissing }
  const { document } = inForce
  return Maybe.fromNullable(documentsDefinition.matchRoute(document, call.method, call.path))
    .map((route): Terms | { readonly reason: Reason } => {
      return { document, route, terms: documentsDefinition.termsOf(document, call.callerName) }
    })
    .orDefault({ reason: Reason.UnknownRoute })
}

function openCall (turn: Turn, call: IncomingCall, { document, route, terms }: Terms): CallState {
  const parent = call.source.kind === 'backend_server' ? getCall(turn.db, call.source.parentCallId) : undefined
  const importance = importanceOf(call, route, terms, parent)
  const rootHash = hash32(call.rootId)
  const isRoot = call.source.kind === 'caller' || (call.source.kind === 'peer' && call.source.isRoot)
  const ownDeadlineAtMs = turn.nowMs + Math.min(route.deadlineMs, call.deadlineMs ?? route.deadlineMs)
  const baseLevel = baseLevelOf(call, importance, rootHash, parent)
  return {
    call,
    document,
    route,
    terms,
    importance,
    baseLevel,
    level: baseLevel,
    arrivedAtMs: turn.nowMs,
    arrivedAtWallMs: turn.wallMs,
    deadlineAtMs: Math.min(ownDeadlineAtMs, parent?.deadlineAtMs ?? Infinity),
    accountId: openAccount(turn, call, document, parent),
    isRoot,
    fingerprint: { serviceName: call.serviceName, routeName: route.name, bodyHash: call.bodyHash },
    chartState: 'received',
    withinPromise: true,
    holdsToken: false,
    keySend: null,
    keyAccepted: false,
    executesHere: false,
    forwardedTo: '',
    sentAtMs: 0,
    servedMs: 0,
    queuedMs: 0,
    lentCount: 0,
    retriesCount: 0,
    triedNodeIds: [],
    mayHaveRun: false,
    cutLevelBelow: LEVEL_WORST
  }
}

function lessImportant (a: Importance, b: Importance): Importance {
  return IMPORTANCE_ORDER[Math.max(importanceRank(a), importanceRank(b))] ?? Importance.Low
}

/**
 * A sub-call has the importance of its root request. A root request has that of
 * its route, at most what the document allows its caller, or less if it asks for less.
 */
function importanceOf (
  call: IncomingCall, route: RouteTerms, terms: CallerTerms, parent: CallState | undefined
): Importance {
  switch (call.source.kind) {
    case 'peer': return call.source.importance
    case 'backend_server':
      // Without a known parent nothing vouches for the importance of the work.
      return parent?.importance ?? Importance.Low
    case 'caller': {
      const allowed = lessImportant(route.importance, terms.maxImportance)
      return call.askedImportance === null ? allowed : lessImportant(allowed, call.askedImportance)
    }
  }
}

function baseLevelOf (
  call: IncomingCall, importance: Importance, rootHash: number, parent: CallState | undefined
): number {
  if (call.source.kind === 'peer') return call.source.level
  return parent?.level ?? admissionLevel({ withinPromise: true, importance, rootHash })
}

/** Account that the call draws on: its own, its parent's, or that of its root request. */
function openAccount (
  turn: Turn, call: IncomingCall, document: ServiceDocument, parent: CallState | undefined
): string {
  const db = turn.db.family.retry
  switch (call.source.kind) {
    case 'peer':
      return retryDefinition.openCall(db, call.callId, call.source.retryLoanCount, turn.nowMs).accountId
    case 'backend_server':
      return parent?.accountId ?? retryDefinition.openCall(db, call.callId, 0, turn.nowMs).accountId
    case 'caller': {
      // A resend may have had its budget opened at another node, so it gets none here.
      const isResend = (call.attempt ?? 1) > 1
      return retryDefinition.openRoot(db, call.rootId, isResend ? 0 : document.retryBudgetCount, turn.nowMs).accountId
    }
  }
}

/** Whether a stopping node still looks at the call: sub-calls of open calls pass, a peer's call is refused later. */
function isForOpenWork (turn: Turn, call: IncomingCall): boolean {
  switch (call.source.kind) {
    case 'caller': return false
    case 'backend_server': return getCall(turn.db, call.source.parentCallId) !== undefined
    // Where it would run it is refused with the executor's word, which lets the peer choose another node.
    case 'peer': return true
  }
}

function faultOf (turn: Turn, state: CallState): Reason {
  const { call, route, terms } = state
  if (call.source.kind === 'backend_server' && hasEndedLately(turn.db, call.source.parentCallId)) {
    return Reason.ParentEnded
  }
  if (isStopping(turn.db) && !isForOpenWork(turn, call)) return Reason.Draining
  if (call.source.kind === 'caller' && call.askedImportance !== null &&
    importanceRank(call.askedImportance) < importanceRank(terms.maxImportance)) {
    return Reason.ImportanceNotAllowed
  }
  if (state.deadlineAtMs <= turn.nowMs) return Reason.DeadlinePassed
  if (!route.idempotent && call.idempotencyKey === null) return Reason.KeyMissing
  return Reason.None
}
