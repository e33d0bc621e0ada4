import type { Millis } from '../../clock/clock.js'
import type { Chart } from '../../charts/chart.js'
import { loadChart } from '../../charts/chart.js'
import { LEVEL_WORST } from '../coreTypes.js'
import type { RandomSource, Violation } from '../coreTypes.js'
import type { OwnerCandidates } from '../idempotency/idempotencyTypes.js'
import { families } from '../registry.js'
import type { FamilyDbs } from '../registry.js'
import { BackendStatus } from './nodeCoreTypes.js'
import type { CallState, NodeCommand, NodeCoreSettings, Time } from './nodeCoreTypes.js'

/** How long the cut level of a peer is believed after its last answer. */
const PEER_CUT_TTL_MS: Millis = 500

const callChart: Chart = loadChart('call')
const nodeChart: Chart = loadChart('node')
const backendChart: Chart = loadChart('backendServer')

/** Possible owners of keys under one revision of the own data centre's list. */
export interface ListedOwners {
  readonly listRevision: number
  readonly nodeIds: readonly string[]
}

interface PeerCut {
  readonly cutLevel: number
  readonly untilMs: Millis
}

/** State of the node core. Only the functions in this file change its maps. */
export interface NodeCoreDb {
  readonly settings: NodeCoreSettings
  readonly random: RandomSource
  readonly family: FamilyDbs
  readonly calls: Map<string, CallState>
  readonly peerCuts: Map<string, PeerCut>
  readonly ownerCandidates: Map<string, readonly OwnerCandidates[]>
  /** Nodes of the own service in the last few lists of the own data centre, newest first. */
  ownerHistory: readonly ListedOwners[]
  readonly found: Violation[]
  /** Calls whose connection to the backend server was lost and that may have crashed it. */
  readonly suspectCallIds: string[]
  /** Ids of calls that ended here lately, in two generations; their sub-calls are of no use any more. */
  endedCallIds: readonly [Set<string>, Set<string>]
  nodeState: string
  backendState: string
  /** Whether the published list shows this node's VM as leaving. */
  listedLeaving: boolean
  /** Time of the last event, from which a pause of the process shows. */
  lastEventAtMs: Millis
  /** After a pause, no work is taken until the list and the backend server were heard, or this time has passed. */
  settlingUntilMs: Millis
  awaitsList: boolean
  awaitsBackend: boolean
  nextSlowTickAtMs: Millis
  nextRotationAtMs: Millis
  /** Leaving marks at the last slow tick; a mark that expired brings its node back among the targets. */
  leavingMarksCount: number
}

/** One event's handling: the state, the time readings and the commands so far. */
export interface Turn extends Time {
  readonly db: NodeCoreDb
  readonly commands: NodeCommand[]
}

export function createNodeCoreDb (settings: NodeCoreSettings, family: FamilyDbs, random: RandomSource): NodeCoreDb {
  return {
    settings,
    random,
    family,
    calls: new Map(),
    peerCuts: new Map(),
    ownerCandidates: new Map(),
    ownerHistory: [],
    found: [],
    suspectCallIds: [],
    endedCallIds: [new Set(), new Set()],
    nodeState: nodeChart.initial,
    backendState: backendChart.initial,
    listedLeaving: false,
    lastEventAtMs: -1,
    settlingUntilMs: 0,
    awaitsList: false,
    awaitsBackend: false,
    nextSlowTickAtMs: 0,
    nextRotationAtMs: 0,
    leavingMarksCount: 0
  }
}

/** Forgets all calls and learned state, as a restart would. */
export function clear (db: NodeCoreDb): void {
  db.calls.clear()
  db.peerCuts.clear()
  db.ownerCandidates.clear()
  db.ownerHistory = []
  db.found.length = 0
  db.suspectCallIds.length = 0
  db.endedCallIds = [new Set(), new Set()]
  db.nodeState = nodeChart.initial
  db.backendState = backendChart.initial
  db.listedLeaving = false
  db.lastEventAtMs = -1
  db.settlingUntilMs = 0
  db.awaitsList = false
  db.awaitsBackend = false
  db.nextSlowTickAtMs = 0
  db.nextRotationAtMs = 0
  db.leavingMarksCount = 0
  for (const family of families) family.clear(db.family)
}

export function getCall (db: NodeCoreDb, callId: string): CallState | undefined {
  return db.calls.get(callId)
}

export function setCall (db: NodeCoreDb, state: CallState): void {
  db.calls.set(state.call.callId, state)
}

export function removeCall (db: NodeCoreDb, callId: string): void {
  db.calls.delete(callId)
  db.endedCallIds[0].add(callId)
}

export function hasEndedLately (db: NodeCoreDb, callId: string): boolean {
  return db.endedCallIds[0].has(callId) || db.endedCallIds[1].has(callId)
}

/** Starts a new generation of ended calls and forgets the one before the last. */
export function rotateEndedCalls (db: NodeCoreDb): void {
  db.endedCallIds = [new Set(), db.endedCallIds[0]]
}

/** Moves a call along its state chart; an event that the chart does not allow is a violation. */
export function moveCall (db: NodeCoreDb, state: CallState, event: string): boolean {
  const next = callChart.next(state.chartState, event)
  if (next === undefined) {
    db.found.push({ property: 'callChart', detail: `call ${state.call.callId}: ${event} in ${state.chartState}` })
    return false
  }
  state.chartState = next
  return true
}

export function moveNode (db: NodeCoreDb, event: string): void {
  db.nodeState = nodeChart.next(db.nodeState, event) ?? db.nodeState
}

export function moveBackend (db: NodeCoreDb, event: string): void {
  db.backendState = backendChart.next(db.backendState, event) ?? db.backendState
}

export function isStopping (db: NodeCoreDb): boolean {
  return db.nodeState === 'draining' || db.nodeState === 'stopped'
}

export function backendAcceptsWork (db: NodeCoreDb): boolean {
  if (db.listedLeaving || isSettling(db)) return false
  return db.backendState !== BackendStatus.Down && db.backendState !== BackendStatus.Draining
}

/** Whether the process woke up from a pause and does not yet know what has changed meanwhile. */
export function isSettling (db: NodeCoreDb): boolean {
  return db.awaitsList || db.awaitsBackend
}

export function setPeerCut (db: NodeCoreDb, nodeId: string, cutLevel: number, nowMs: Millis): void {
  db.peerCuts.set(nodeId, { cutLevel, untilMs: nowMs + PEER_CUT_TTL_MS })
}

/** Cut level of a peer as last seen; the worst level when nothing recent is known. */
export function getPeerCut (db: NodeCoreDb, nodeId: string, nowMs: Millis): number {
  const cut = db.peerCuts.get(nodeId)
  return cut === undefined || cut.untilMs < nowMs ? LEVEL_WORST : cut.cutLevel
}

export function addViolation (db: NodeCoreDb, property: string, detail: string): void {
  db.found.push({ property, detail })
}
