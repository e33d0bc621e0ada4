import { Maybe } from 'purify-ts'
import { admissionLevel, Importance, importanceRank, IMPORTANCE_ORDER, WORST_LEVEL, Reason } from '../coreTypes.js'
import { documentsDefinition } from '../documents/documentsDefinition.js'
import type { CallerPolicy, RouteConfig, ServiceDocument } from '../documents/documentsTypes.js'
import { hash32 } from '../hash.js'
import { retryDefinition } from '../retry/retryDefinition.js'
import { endCallWithoutRoute, refuseBeforeSend } from './callEnd.js'
import { placeCall } from './callPlacement.js'
import { getCall, hasEndedRecently, isStopping, addCall } from './nodeCoreDb.js'
import type { EventContext } from './nodeCoreDb.js'
import type { CallState, IncomingCall } from './nodeCoreTypes.js'

interface RouteMatch {
  readonly document: ServiceDocument
  readonly route: RouteConfig
  readonly callerPolicy: CallerPolicy
}

/** Checks a call from a caller, this node's backend server or a peer, then executes, forwards or refuses it. */
export function receiveCall (context: EventContext, call: IncomingCall): void {
  const matched = matchRouteAndCaller(context, call)
  if ('reason' in matched) {
    endCallWithoutRoute(context, call, matched.reason)
    return
  }
  const state = createCallState(context, call, matched)
  addCall(context.db, state)
  const refusalReason = intakeRefusalReason(context, state)
  if (refusalReason !== Reason.None) {
    refuseBeforeSend(context, state, refusalReason)
    return
  }
  placeCall(context, state)
}

function matchRouteAndCaller (context: EventContext, call: IncomingCall): RouteMatch | { readonly reason: Reason } {
  const inForce = documentsDefinition.documentOf(context.db.modules.documents, call.serviceName)
  if (inForce === undefined) return { reason: Reason.UnknownService }
  if (call.callerName === '') return { reason: Reason.CallerMissing }
  const { document } = inForce
  return Maybe.fromNullable(documentsDefinition.matchRoute(document, call.method, call.path))
    .map((route): RouteMatch | { readonly reason: Reason } => {
      return { document, route, callerPolicy: documentsDefinition.callerPolicyOf(document, call.callerName) }
    })
    .orDefault({ reason: Reason.UnknownRoute })
}

function createCallState (
  context: EventContext, call: IncomingCall, { document, route, callerPolicy }: RouteMatch
): CallState {
  const parent = call.source.kind === 'backend_server' ? getCall(context.db, call.source.parentCallId) : undefined
  const importance = importanceOf(call, route, callerPolicy, parent)
  const rootHash = hash32(call.rootId)
  const isRoot = call.source.kind === 'caller' || (call.source.kind === 'peer' && call.source.isRoot)
  const ownDeadlineAtMs = context.nowMs + Math.min(route.deadlineMs, call.deadlineMs ?? route.deadlineMs)
  const baseLevel = baseLevelOf(call, importance, rootHash, parent)
  return {
    call,
    document,
    route,
    callerPolicy,
    importance,
    baseLevel,
    level: baseLevel,
    arrivedAtMs: context.nowMs,
    arrivedAtWallMs: context.wallMs,
    deadlineAtMs: Math.min(ownDeadlineAtMs, parent?.deadlineAtMs ?? Infinity),
    accountId: openBudgetAccount(context, call, document, parent),
    isRoot,
    fingerprint: { serviceName: call.serviceName, routeName: route.name, bodyHash: call.bodyHash },
    chartState: 'received',
    withinPromise: true,
    holdsToken: false,
    keySend: null,
    isKeyAccepted: false,
    executesLocally: false,
    forwardedTo: '',
    sentAtMs: 0,
    servedMs: 0,
    queuedMs: 0,
    reservedRetriesCount: 0,
    retriesCount: 0,
    triedNodeIds: [],
    mayHaveRun: false,
    // No downstream service has reported a load-shedding threshold (cut level) yet.
    downstreamCutLevel: WORST_LEVEL
  }
}

function lessImportant (a: Importance, b: Importance): Importance {
  return IMPORTANCE_ORDER[Math.max(importanceRank(a), importanceRank(b))] ?? Importance.Low
}

/**
 * A sub-call has the importance of its root request. A root request has the importance
 * of its route, limited by the maximum of its caller and by what the caller requested.
 */
function importanceOf (
  call: IncomingCall, route: RouteConfig, callerPolicy: CallerPolicy, parent: CallState | undefined
): Importance {
  switch (call.source.kind) {
    case 'peer': return call.source.importance
    case 'backend_server':
      // Without a known parent the importance cannot be verified, so the lowest one applies.
      return parent?.importance ?? Importance.Low
    case 'caller': {
      const allowed = lessImportant(route.importance, callerPolicy.maxImportance)
      return call.requestedImportance === null ? allowed : lessImportant(allowed, call.requestedImportance)
    }
  }
}

function baseLevelOf (
  call: IncomingCall, importance: Importance, rootHash: number, parent: CallState | undefined
): number {
  if (call.source.kind === 'peer') return call.source.level
  return parent?.level ?? admissionLevel({ withinPromise: true, importance, rootHash })
}

/**
 * Opens the budget account of a call and returns its id. A root request has one account per root id, a
 * sub-call shares its parent's account, and a call from a peer gets one with the budget reserved for it.
 */
function openBudgetAccount (
  context: EventContext, call: IncomingCall, document: ServiceDocument, parent: CallState | undefined
): string {
  const db = context.db.modules.retry
  switch (call.source.kind) {
    case 'peer':
      return retryDefinition.openCallAccount(db, call.callId, call.source.grantedRetriesCount, context.nowMs).accountId
    case 'backend_server':
      return parent?.accountId ?? retryDefinition.openCallAccount(db, call.callId, 0, context.nowMs).accountId
    case 'caller': {
      // The first attempt may have opened an account at another node, so a resend gets no budget here.
      const isResend = (call.attempt ?? 1) > 1
      return retryDefinition.openRootAccount(
        db, call.rootId, isResend ? 0 : document.retryBudgetCount, context.nowMs
      ).accountId
    }
  }
}

/** Whether a stopping node still processes a call: only sub-calls of open calls and calls from peers. */
function isAcceptedWhileStopping (context: EventContext, call: IncomingCall): boolean {
  switch (call.source.kind) {
    case 'caller': return false
    case 'backend_server': return getCall(context.db, call.source.parentCallId) !== undefined
    // Refused at execution with proof that it did not run, so that the peer can retry it on another node.
    case 'peer': return true
  }
}

function intakeRefusalReason (context: EventContext, state: CallState): Reason {
  const { call, route, callerPolicy } = state
  if (call.source.kind === 'backend_server' && hasEndedRecently(context.db, call.source.parentCallId)) {
    return Reason.ParentEnded
  }
  if (isStopping(context.db) && !isAcceptedWhileStopping(context, call)) return Reason.Draining
  if (call.source.kind === 'caller' && call.requestedImportance !== null &&
    importanceRank(call.requestedImportance) < importanceRank(callerPolicy.maxImportance)) {
    return Reason.ImportanceNotAllowed
  }
  if (state.deadlineAtMs <= context.nowMs) return Reason.DeadlinePassed
  if (!route.idempotent && call.idempotencyKey === null) return Reason.KeyMissing
  return Reason.None
}
