import { admissionDefinition } from '../admission/admissionDefinition.js'
import { assertNever } from '../../errors/errors.js'
import type { RandomSource, Violation } from '../coreTypes.js'
import { documentsDefinition } from '../documents/documentsDefinition.js'
import { idempotencyDefinition } from '../idempotency/idempotencyDefinition.js'
import { membershipDefinition } from '../membership/membershipDefinition.js'
import { Evidence } from '../membership/membershipTypes.js'
import { createModuleDbs, coreModules } from '../registry.js'
import type { ModuleSettings } from '../registry.js'
import { retryDefinition } from '../retry/retryDefinition.js'
import { routingDefinition } from '../routing/routingDefinition.js'
import { applyGateEvents } from './callExecution.js'
import { receiveCall } from './callIntake.js'
import { placeCall } from './callPlacement.js'
import { clearPossibleCrashCalls, handleBackendResult, handleCallerGone, handlePeerResult } from './callResults.js'
import { sendLeaseRequests, handleLeaseRequest } from './leases.js'
import { createNodeCoreDb, getCall, isResyncing, transitionBackend, transitionNode, rotateEndedCallIds } from './nodeCoreDb.js'
import type { NodeCoreDb, EventContext } from './nodeCoreDb.js'
import { findViolations } from './nodeCoreDetector.js'
import { BackendStatus } from './nodeCoreTypes.js'
import type { NodeCommand, NodeCoreSettings, NodeEvent, ClockReadings } from './nodeCoreTypes.js'
import {
  updateGateCapacity, updatePromises, updateRoutingTargets, duePolls, handleConfirmation, handlePollAnswer,
  handlePublishedValue
} from './publishedValues.js'

/** Period in which expired state is dropped and promises are updated; the admission gate is polled on each tick. */
const SLOW_TICK_PERIOD_MS = 500

/** Minimum time for which the ids of ended calls are kept, so that late sub-calls of them are refused. */
const ENDED_CALLS_PERIOD_MS = 10_000

/**
 * The decision logic of a node, without I/O. `handle` processes one event with the clock
 * readings of its time and returns the commands that the shell has to execute.
 *
 * @example
 * const db = nodeCoreDefinition.createDb(settings, {}, Math.random, { nowMs: 0, wallMs: 0 })
 * nodeCoreDefinition.handle(db, { kind: 'tick' }, { nowMs: 20, wallMs: 1_700_000_000_020 })
 */
export const nodeCoreDefinition = {
  createDb (
    settings: NodeCoreSettings, moduleSettings: ModuleSettings, random: RandomSource, time: ClockReadings
  ): NodeCoreDb {
    const ledger = { nodeId: settings.nodeId, incarnation: settings.incarnation }
    const db = createNodeCoreDb(settings, createModuleDbs({ ...moduleSettings, ledger }), random)
    idempotencyDefinition.start(db.modules.idempotency, settings.nodeId, time.nowMs, time.wallMs)
    return db
  },

  handle (db: NodeCoreDb, event: NodeEvent, time: ClockReadings): NodeCommand[] {
    const context: EventContext = { db, nowMs: time.nowMs, wallMs: time.wallMs, commands: [] }
    detectPause(context)
    handleEvent(context, event)
    return context.commands
  },

  duePolls,
  isReady,

  violations: findViolations as (db: NodeCoreDb, nowMs: number) => Violation[]
}

function handleEvent (context: EventContext, event: NodeEvent): void {
  const { db, nowMs } = context
  switch (event.kind) {
    case 'call_received': return receiveCall(context, event.call)
    case 'backend_result': return handleBackendResult(context, event.callId, event.result)
    case 'peer_result': return handlePeerResult(context, event.callId, event.result)
    case 'retry_due': return handleRetryDue(context, event.callId)
    case 'caller_gone': return handleCallerGone(context, event.callId)
    case 'backend_seen': return handleBackendStatus(context, event.status)
    case 'backend_crashed': return handleBackendCrash(context)
    case 'value_received': return handlePublishedValue(context, event.value)
    case 'poll_answered':
      handlePollAnswer(context, event.key, event.answered)
      return updateResync(context, { list: event.answered && isOwnVmListKey(db, event.key), backend: false })
    case 'confirmation_received':
      handleConfirmation(context, event.confirmation)
      return updateResync(context, { list: isOwnVmListKey(db, event.confirmation.key), backend: false })
    case 'lease_request_received': return handleLeaseRequest(context, event.request)
    case 'lease_vote_received':
      return idempotencyDefinition.onLeaseVote(db.modules.idempotency, event.vote, nowMs, context.wallMs)
    case 'peer_draining': return handlePeerDraining(context, event.nodeId, event.isDraining)
    case 'quarantine_hint_received':
      return retryDefinition.addQuarantineHint(db.modules.retry, event.fingerprint, event.forMs, nowMs)
    case 'stop_requested': return handleStopRequest(context)
    case 'tick': return handleTick(context)
    default: return assertNever(event)
  }
}

function isOwnVmListKey (db: NodeCoreDb, key: string): boolean {
  return key === `vms/${db.settings.dataCentre}`
}

function handleRetryDue (context: EventContext, callId: string): void {
  const state = getCall(context.db, callId)
  if (state?.chartState === 'received') placeCall(context, state)
}

function handleBackendStatus (context: EventContext, status: BackendStatus): void {
  const before = context.db.backendState
  if (status !== BackendStatus.Down) clearPossibleCrashCalls(context)
  updateResync(context, { list: false, backend: true })
  transitionBackend(context.db, status.toUpperCase())
  if (context.db.backendState === before) return
  context.commands.push({ kind: 'log', event: 'backend_status', fields: { status, before } })
  const isDraining = status === BackendStatus.Draining
  if (isDraining || before === BackendStatus.Draining) context.commands.push({ kind: 'draining_notice', isDraining })
  updateGateCapacity(context)
}

function handleBackendCrash (context: EventContext): void {
  context.db.possibleCrashCallIds.length = 0
  for (const fingerprint of retryDefinition.recordCrash(context.db.modules.retry, context.nowMs)) {
    context.commands.push({ kind: 'quarantine_hint', fingerprint })
  }
}

function handlePeerDraining (context: EventContext, nodeId: string, isDraining: boolean): void {
  const { membership, routing } = context.db.modules
  const wasLeaving = membershipDefinition.isLeaving(membership, nodeId, context.nowMs)
  if (isDraining) {
    membershipDefinition.markLeaving(membership, nodeId, Evidence.Peer, context.nowMs)
    routingDefinition.markDraining(routing, nodeId, context.nowMs)
  } else {
    membershipDefinition.clearMark(membership, nodeId, context.nowMs)
    routingDefinition.clearDraining(routing, nodeId)
  }
  // Draining notices are repeated, and computing the targets reads the VM lists of the whole fleet.
  if (!isDraining || !wasLeaving) updateRoutingTargets(context)
}

function handleStopRequest (context: EventContext): void {
  transitionNode(context.db, 'STOP')
  context.commands.push({ kind: 'draining_notice', isDraining: true })
  if (context.db.calls.size === 0) context.commands.push({ kind: 'stopped' })
}

/**
 * Whether the node can accept all calls of its service: it has its service document and
 * VM list, and holds a lease for new idempotency keys if a route needs one.
 */
function isReady (db: NodeCoreDb, wallMs: number): boolean {
  if (db.nodeState !== 'serving') return false
  if (!db.settings.controlEnabled) return true
  const inForce = documentsDefinition.documentOf(db.modules.documents, db.settings.serviceName)
  if (inForce?.document.routes.every(route => route.idempotent) === true) return true
  const lease = idempotencyDefinition.newestLease(db.modules.idempotency)
  return lease !== null && lease.fromLabelMs <= wallMs && wallMs < lease.untilLabelMs
}

/** Longer gaps between events are pauses of the process, because ticks come much more often. */
const PAUSE_THRESHOLD_MS = 1_000
/** After this time a node that got no current VM list or backend status after a pause resumes with its old state. */
const RESYNC_MAX_MS = 1_500

/**
 * Detects a pause of the process by the time since the last event. After a pause the state may
 * be stale, because draining notices and cancellations may still be unread in the sockets. So the
 * backend server gets no new work until the VM list and the backend status are current again.
 */
function detectPause (context: EventContext): void {
  const { db, nowMs } = context
  const wasPaused = db.lastEventAtMs >= 0 && nowMs - db.lastEventAtMs > PAUSE_THRESHOLD_MS
  db.lastEventAtMs = nowMs
  if (!wasPaused || !db.settings.controlEnabled) return
  context.commands.push({ kind: 'log', event: 'pause_noticed', fields: { node: db.settings.nodeId } })
  db.resyncUntilMs = nowMs + RESYNC_MAX_MS
  db.awaitsVmList = true
  db.awaitsBackendStatus = true
  updateGateCapacity(context)
}

/** Ends the wait after a pause for what was `received`, or for everything once its time limit has passed. */
function updateResync (context: EventContext, received: { readonly list: boolean, readonly backend: boolean }): void {
  const { db } = context
  if (!isResyncing(db)) return
  const isOver = context.nowMs >= db.resyncUntilMs
  if (received.list || isOver) db.awaitsVmList = false
  if (received.backend || isOver) db.awaitsBackendStatus = false
  if (!isResyncing(db)) updateGateCapacity(context)
}

/** Updates the routing targets when leaving marks were added or have expired. */
function updateTargetsAfterMarkChange (context: EventContext): void {
  const { db } = context
  const marksCount = db.modules.membership.marks.size
  if (marksCount === db.leavingMarksCount) return
  db.leavingMarksCount = marksCount
  updateRoutingTargets(context)
}

function handleTick (context: EventContext): void {
  const { db, nowMs } = context
  updateResync(context, { list: false, backend: false })
  if (db.settings.controlEnabled) {
    applyGateEvents(context, admissionDefinition.processQueue(db.modules.admission, nowMs))
  }
  if (nowMs < db.nextSlowTickAtMs) return
  db.nextSlowTickAtMs = nowMs + SLOW_TICK_PERIOD_MS
  for (const coreModule of coreModules) coreModule.tick(db.modules, nowMs)
  if (nowMs >= db.nextRotationAtMs) {
    db.nextRotationAtMs = nowMs + ENDED_CALLS_PERIOD_MS
    rotateEndedCallIds(db)
  }
  updateTargetsAfterMarkChange(context)
  updatePromises(context)
  sendLeaseRequests(context)
  for (const { property, detail } of findViolations(db, nowMs)) {
    context.commands.push({ kind: 'log', event: 'invariant_violated', fields: { property, detail } })
  }
}
