import { admissionDefinition } from '../admission/admissionDefinition.js'
import { assertNever } from '../../errors/errors.js'
import type { RandomSource, Violation } from '../coreTypes.js'
import { documentsDefinition } from '../documents/documentsDefinition.js'
import { idempotencyDefinition } from '../idempotency/idempotencyDefinition.js'
import { membershipDefinition } from '../membership/membershipDefinition.js'
import { Evidence } from '../membership/membershipTypes.js'
import { createFamilyDbs, families } from '../registry.js'
import type { FamilySettings } from '../registry.js'
import { retryDefinition } from '../retry/retryDefinition.js'
import { routingDefinition } from '../routing/routingDefinition.js'
import { applyGateEvents } from './callExecution.js'
import { receiveCall } from './callIntake.js'
import { placeCall } from './callPlacement.js'
import { clearSuspects, takeBackendResult, takeCallerGone, takePeerResult } from './callResults.js'
import { sendLeaseRequests, takeLeaseRequest } from './leases.js'
import { createNodeCoreDb, getCall, isSettling, moveBackend, moveNode, rotateEndedCalls } from './nodeCoreDb.js'
import type { NodeCoreDb, Turn } from './nodeCoreDb.js'
import { findViolations } from './nodeCoreDetector.js'
import { BackendStatus } from './nodeCoreTypes.js'
import type { NodeCommand, NodeCoreSettings, NodeEvent, Time } from './nodeCoreTypes.js'
import {
  applyCapacity, applyPromises, applyTargets, duePolls, takeConfirmation, takePollAnswer, takeValue
} from './publishedValues.js'

/** How often expired state is dropped; the gate is looked at on each tick. */
const SLOW_TICK_PERIOD_MS = 500

/** How long the ids of ended calls are kept at least, so that sub-calls of ended work are refused. */
const ENDED_CALLS_PERIOD_MS = 10_000

/**
 * The decision core of a node. `handle` takes one event with a clock reading and
 * returns the commands that the shell carries out.
 *
 * @example
 * const db = nodeCoreDefinition.createDb(settings, {}, Math.random, { nowMs: 0, wallMs: 0 })
 * nodeCoreDefinition.handle(db, { kind: 'tick' }, { nowMs: 20, wallMs: 1_700_000_000_020 })
 */
export const nodeCoreDefinition = {
  createDb (settings: NodeCoreSettings, family: FamilySettings, random: RandomSource, time: Time): NodeCoreDb {
    const ledger = { nodeId: settings.nodeId, incarnation: settings.incarnation }
    const db = createNodeCoreDb(settings, createFamilyDbs({ ...family, ledger }), random)
    idempotencyDefinition.start(db.family.idempotency, settings.nodeId, time.nowMs, time.wallMs)
    return db
  },

  handle (db: NodeCoreDb, event: NodeEvent, time: Time): NodeCommand[] {
    const turn: Turn = { db, nowMs: time.nowMs, wallMs: time.wallMs, commands: [] }
    noteEventTime(turn)
    handleEvent(turn, event)
    return turn.commands
  },

  duePolls,
  isReady,

  violations: findViolations as (db: NodeCoreDb, nowMs: number) => Violation[]
}

function handleEvent (turn: Turn, event: NodeEvent): void {
  const { db, nowMs } = turn
  switch (event.kind) {
    case 'call_received': return receiveCall(turn, event.call)
    case 'backend_result': return takeBackendResult(turn, event.callId, event.result)
    case 'peer_result': return takePeerResult(turn, event.callId, event.result)
    case 'retry_due': return takeRetryDue(turn, event.callId)
    case 'caller_gone': return takeCallerGone(turn, event.callId)
    case 'backend_seen': return takeBackendStatus(turn, event.status)
    case 'backend_crashed': return takeCrash(turn)
    case 'value_received': return takeValue(turn, event.value)
    case 'poll_answered':
      takePollAnswer(turn, event.key, event.answered)
      return endSettling(turn, { list: event.answered && isOwnList(db, event.key), backend: false })
    case 'confirmation_received':
      takeConfirmation(turn, event.confirmation)
      return endSettling(turn, { list: isOwnList(db, event.confirmation.key), backend: false })
    case 'lease_request_received': return takeLeaseRequest(turn, event.request)
    case 'lease_vote_received':
      return idempotencyDefinition.onLeaseVote(db.family.idempotency, event.vote, nowMs, turn.wallMs)
    case 'peer_draining': return takePeerDraining(turn, event.nodeId, event.isDraining)
    case 'quarantine_hint_received':
      return retryDefinition.learnQuarantine(db.family.retry, event.fingerprint, event.forMs, nowMs)
    case 'stop_requested': return takeStop(turn)
    case 'tick': return takeTick(turn)
    default: return assertNever(event)
  }
}

function isOwnList (db: NodeCoreDb, key: string): boolean {
  return key === `vms/${db.settings.dataCentre}`
}

function takeRetryDue (turn: Turn, callId: string): void {
  const state = getCall(turn.db, callId)
  if (state?.chartState === 'received') placeCall(turn, state)
}

function takeBackendStatus (turn: Turn, status: BackendStatus): void {
  const before = turn.db.backendState
  if (status !== BackendStatus.Down) clearSuspects(turn)
  endSettling(turn, { list: false, backend: true })
  moveBackend(turn.db, status.toUpperCase())
  if (turn.db.backendState === before) return
  turn.commands.push({ kind: 'log', event: 'backend_status', fields: { status, before } })
  const isDraining = status === BackendStatus.Draining
  if (isDraining || before === BackendStatus.Draining) turn.commands.push({ kind: 'draining_notice', isDraining })
  applyCapacity(turn)
}

function takeCrash (turn: Turn): void {
  turn.db.suspectCallIds.length = 0
  for (const fingerprint of retryDefinition.crashed(turn.db.family.retry, turn.nowMs)) {
    turn.commands.push({ kind: 'quarantine_hint', fingerprint })
  }
}

function takePeerDraining (turn: Turn, nodeId: string, isDraining: boolean): void {
  const { membership, routing } = turn.db.family
  const wasLeaving = membershipDefinition.isLeaving(membership, nodeId, turn.nowMs)
  if (isDraining) {
    membershipDefinition.markLeaving(membership, nodeId, Evidence.Peer, turn.nowMs)
    routingDefinition.markDraining(routing, nodeId, turn.nowMs)
  } else {
    membershipDefinition.clearMark(membership, nodeId, turn.nowMs)
    routingDefinition.clearDraining(routing, nodeId)
  }
  // Notices are repeated, and the targets are made anew from the lists of the whole fleet.
  if (!isDraining || !wasLeaving) applyTargets(turn)
}

function takeStop (turn: Turn): void {
  moveNode(turn.db, 'STOP')
  turn.commands.push({ kind: 'draining_notice', isDraining: true })
  if (turn.db.calls.size === 0) turn.commands.push({ kind: 'stopped' })
}

/**
 * Whether the node can take all calls of its service: it knows its document and
 * list, and holds a lease for new keys if a route needs one.
 */
function isReady (db: NodeCoreDb, wallMs: number): boolean {
  if (db.nodeState !== 'serving') return false
  if (!db.settings.controlEnabled) return true
  const inForce = documentsDefinition.documentOf(db.family.documents, db.settings.serviceName)
  if (inForce?.document.routes.every(route => route.idempotent) === true) return true
  const lease = idempotencyDefinition.lease(db.family.idempotency)
  return lease !== null && lease.fromLabelMs <= wallMs && wallMs < lease.untilLabelMs
}

/** Ticks come far more often than this, so a longer gap between events is a pause of the process. */
const PAUSE_NOTICED_AFTER_MS = 1_000
/** A node that hears neither list nor backend server after a pause goes on with what it knows. */
const SETTLING_MAX_MS = 1_500

/**
 * After a pause the process acts on old knowledge: drain marks and cancellations
 * may still wait in its sockets. It takes no new work until it has heard again.
 */
function noteEventTime (turn: Turn): void {
  const { db, nowMs } = turn
  const wasPaused = db.lastEventAtMs >= 0 && nowMs - db.lastEventAtMs > PAUSE_NOTICED_AFTER_MS
  db.lastEventAtMs = nowMs
  if (!wasPaused || !db.settings.controlEnabled) return
  turn.commands.push({ kind: 'log', event: 'pause_noticed', fields: { node: db.settings.nodeId } })
  db.settlingUntilMs = nowMs + SETTLING_MAX_MS
  db.awaitsList = true
  db.awaitsBackend = true
  applyCapacity(turn)
}

function endSettling (turn: Turn, heard: { readonly list: boolean, readonly backend: boolean }): void {
  const { db } = turn
  if (!isSettling(db)) return
  const isOver = turn.nowMs >= db.settlingUntilMs
  if (heard.list || isOver) db.awaitsList = false
  if (heard.backend || isOver) db.awaitsBackend = false
  if (!isSettling(db)) applyCapacity(turn)
}

function refreshTargets (turn: Turn): void {
  const { db } = turn
  const marksCount = db.family.membership.marks.size
  if (marksCount === db.leavingMarksCount) return
  db.leavingMarksCount = marksCount
  applyTargets(turn)
}

function takeTick (turn: Turn): void {
  const { db, nowMs } = turn
  endSettling(turn, { list: false, backend: false })
  if (db.settings.controlEnabled) applyGateEvents(turn, admissionDefinition.poll(db.family.admission, nowMs))
  if (nowMs < db.nextSlowTickAtMs) return
  db.nextSlowTickAtMs = nowMs + SLOW_TICK_PERIOD_MS
  for (const family of families) family.tick(db.family, nowMs)
  if (nowMs >= db.nextRotationAtMs) {
    db.nextRotationAtMs = nowMs + ENDED_CALLS_PERIOD_MS
    rotateEndedCalls(db)
  }
  refreshTargets(turn)
  applyPromises(turn)
  sendLeaseRequests(turn)
  for (const { property, detail } of findViolations(db, nowMs)) {
    turn.commands.push({ kind: 'log', event: 'invariant_violated', fields: { property, detail } })
  }
}
