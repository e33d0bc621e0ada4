import type { Millis } from '../../clock/clock.js'
import type { StateChart } from '../../charts/chart.js'
import { loadStateChart } from '../../charts/chart.js'
import { WORST_LEVEL } from '../coreTypes.js'
import type { RandomSource, Violation } from '../coreTypes.js'
import type { OwnerCandidate } from '../idempotency/idempotencyTypes.js'
import { coreModules } from '../registry.js'
import type { ModuleDbs } from '../registry.js'
import { BackendStatus } from './nodeCoreTypes.js'
import type { CallState, NodeCommand, NodeCoreSettings, ClockReadings } from './nodeCoreTypes.js'

/** How long the cut level (load-shedding threshold) in a peer's last answer stays valid. */
const PEER_CUT_LEVEL_TTL_MS: Millis = 500

const callChart: StateChart = loadStateChart('call')
const nodeChart: StateChart = loadStateChart('node')
const backendChart: StateChart = loadStateChart('backendServer')

/** Nodes that can own idempotency keys at one revision of the VM list of this node's data centre. */
export interface KeyOwnerList {
  readonly listRevision: number
  readonly nodeIds: readonly string[]
}

interface PeerCutLevel {
  readonly cutLevel: number
  readonly untilMs: Millis
}

/** State of the node core. Calls and cut levels of peers are added and removed only by the functions in this file. */
export interface NodeCoreDb {
  readonly settings: NodeCoreSettings
  readonly random: RandomSource
  readonly modules: ModuleDbs
  readonly calls: Map<string, CallState>
  readonly peerCutLevels: Map<string, PeerCutLevel>
  readonly ownerCandidates: Map<string, readonly OwnerCandidate[]>
  /** Nodes of this node's service in the last few VM lists of its data centre, newest first. */
  keyOwnerListHistory: readonly KeyOwnerList[]
  readonly pendingViolations: Violation[]
  /** Calls whose connection to the backend server was lost and that may have crashed it. */
  readonly possibleCrashCallIds: string[]
  /** Ids of calls that ended here recently, in two generations. New sub-calls of these calls are refused. */
  endedCallIds: readonly [Set<string>, Set<string>]
  nodeState: string
  backendState: string
  /** Whether the published list shows this node's VM as leaving. */
  isListedAsLeaving: boolean
  /** Time of the last event, or -1 before the first; a long gap shows that the process was paused. */
  lastEventAtMs: Millis
  /**
   * After a pause the backend server gets no new work until the VM list is confirmed and the backend status is
   * known again, or until this time.
   */
  resyncUntilMs: Millis
  awaitsVmList: boolean
  awaitsBackendStatus: boolean
  nextSlowTickAtMs: Millis
  nextRotationAtMs: Millis
  /** Number of leaving marks at the last slow tick; when it changes, the routing targets are computed again. */
  leavingMarksCount: number
}

/** Context in which one event is handled: the state, the clock readings and the commands produced so far. */
export interface EventContext extends ClockReadings {
  readonly db: NodeCoreDb
  readonly commands: NodeCommand[]
}

export function createNodeCoreDb (settings: NodeCoreSettings, modules: ModuleDbs, random: RandomSource): NodeCoreDb {
  return {
    settings,
    random,
    modules,
    calls: new Map(),
    peerCutLevels: new Map(),
    ownerCandidates: new Map(),
    keyOwnerListHistory: [],
    pendingViolations: [],
    possibleCrashCallIds: [],
    endedCallIds: [new Set(), new Set()],
    nodeState: nodeChart.initial,
    backendState: backendChart.initial,
    isListedAsLeaving: false,
    lastEventAtMs: -1,
    resyncUntilMs: 0,
    awaitsVmList: false,
    awaitsBackendStatus: false,
    nextSlowTickAtMs: 0,
    nextRotationAtMs: 0,
    leavingMarksCount: 0
  }
}

/** Drops all calls and everything known from answers, lists and documents, as a restart would. */
export function clearNodeCoreDb (db: NodeCoreDb): void {
  db.calls.clear()
  db.peerCutLevels.clear()
  db.ownerCandidates.clear()
  db.keyOwnerListHistory = []
  db.pendingViolations.length = 0
  db.possibleCrashCallIds.length = 0
  db.endedCallIds = [new Set(), new Set()]
  db.nodeState = nodeChart.initial
  db.backendState = backendChart.initial
  db.isListedAsLeaving = false
  db.lastEventAtMs = -1
  db.resyncUntilMs = 0
  db.awaitsVmList = false
  db.awaitsBackendStatus = false
  db.nextSlowTickAtMs = 0
  db.nextRotationAtMs = 0
  db.leavingMarksCount = 0
  for (const coreModule of coreModules) coreModule.clear(db.modules)
}

export function getCall (db: NodeCoreDb, callId: string): CallState | undefined {
  return db.calls.get(callId)
}

export function addCall (db: NodeCoreDb, state: CallState): void {
  db.calls.set(state.call.callId, state)
}

export function removeCall (db: NodeCoreDb, callId: string): void {
  db.calls.delete(callId)
  db.endedCallIds[0].add(callId)
}

export function hasEndedRecently (db: NodeCoreDb, callId: string): boolean {
  return db.endedCallIds[0].has(callId) || db.endedCallIds[1].has(callId)
}

/** Starts a new generation of ended call ids and drops the older of the two. */
export function rotateEndedCallIds (db: NodeCoreDb): void {
  db.endedCallIds = [new Set(), db.endedCallIds[0]]
}

/** Applies an event of the call state chart; returns false and adds a violation if the chart does not allow it. */
export function transitionCall (db: NodeCoreDb, state: CallState, event: string): boolean {
  const next = callChart.next(state.chartState, event)
  if (next === undefined) {
    db.pendingViolations.push({ property: 'callChart', detail: `call ${state.call.callId}: event ${event} is not allowed in state ${state.chartState}` })
    return false
  }
  state.chartState = next
  return true
}

export function transitionNode (db: NodeCoreDb, event: string): void {
  db.nodeState = nodeChart.next(db.nodeState, event) ?? db.nodeState
}

export function transitionBackend (db: NodeCoreDb, event: string): void {
  db.backendState = backendChart.next(db.backendState, event) ?? db.backendState
}

export function isStopping (db: NodeCoreDb): boolean {
  return db.nodeState === 'draining' || db.nodeState === 'stopped'
}

export function backendAcceptsWork (db: NodeCoreDb): boolean {
  if (db.isListedAsLeaving || isResyncing(db)) return false
  return db.backendState !== BackendStatus.Down && db.backendState !== BackendStatus.Draining
}

/** Whether the process still waits, after a pause, for a current VM list or backend status. */
export function isResyncing (db: NodeCoreDb): boolean {
  return db.awaitsVmList || db.awaitsBackendStatus
}

export function setPeerCutLevel (db: NodeCoreDb, nodeId: string, cutLevel: number, nowMs: Millis): void {
  db.peerCutLevels.set(nodeId, { cutLevel, untilMs: nowMs + PEER_CUT_LEVEL_TTL_MS })
}

/** Cut level in the peer's last answer; WORST_LEVEL (nothing is shed) when there is no recent answer. */
export function getPeerCutLevel (db: NodeCoreDb, nodeId: string, nowMs: Millis): number {
  const known = db.peerCutLevels.get(nodeId)
  return known === undefined || known.untilMs < nowMs ? WORST_LEVEL : known.cutLevel
}

export function addViolation (db: NodeCoreDb, property: string, detail: string): void {
  db.pendingViolations.push({ property, detail })
}
