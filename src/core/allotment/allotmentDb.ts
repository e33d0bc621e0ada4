import type { Millis } from '../../clock/clock.js'
import { createDecayingRate, type DecayingRate } from '../decayingRate.js'
import type { RandomSource } from '../coreTypes.js'
import type { AllotmentMember, AllotmentRule, QuotaSettings } from './allotmentTypes.js'

/** State of one workspace at a node. */
export interface NodeAllotment {
  rule: AllotmentRule
  /** Counts since the last report. */
  offeredCount: number
  grantedCount: number
  /** Rate of granted requests at this node, from which its share without news is derived. */
  readonly granted: DecayingRate
  admittedRatio: number
  /** Time until a token is free, by the last answer. */
  waitMs: Millis
  /** Accumulated parts of requests; a request is admitted for each whole one. */
  credit: number
  /** Requests granted in the current guard period, and the most that may be. */
  guardedCount: number
  guardMaxCount: number
  guardStartedAtMs: Millis
  /** Token bucket used without news. */
  tokensCount: number
  refilledAtMs: Millis
}

/** State of one workspace at a coordinator. */
export interface FleetAllotment {
  /** Tokens of the bucket, below zero in debt. */
  tokensCount: number
  refilledAtMs: Millis
  readonly offered: DecayingRate
  readonly granted: DecayingRate
  /** Rates of granted requests by data centre, averaged over a longer time. */
  readonly grantedByDataCentre: Map<string, DecayingRate>
  /** Counts to be sent to the other coordinators. */
  offeredCount: number
  grantedCount: number
  /** Parts of the allotment held for data centres that are not heard completely. */
  readonly heldByDataCentre: Map<string, HeldPart>
  /** Ratio of the last answer to all nodes. */
  announcedRatio: number
}

/** Part of an allotment that is held for nodes of a data centre that are not heard. */
export interface HeldPart {
  /** Share of the data centre in the demand when it was last heard completely. */
  readonly shareRatio: number
  /** Part of its nodes that is not heard. */
  silentRatio: number
}

/** Another coordinator. */
export interface HeardCoordinator {
  readonly dataCentre: string
  heardAtMs: Millis
  nodesCount: number
}

/** State of a node that receives reports; null until the first one arrives. */
export interface CoordinatorDb {
  readonly startedAtMs: Millis
  readonly fleet: Map<string, FleetAllotment>
  /** When the last report of each node arrived. */
  readonly nodes: Map<string, Millis>
  readonly others: Map<string, HeardCoordinator>
  readonly heardAtMsByDataCentre: Map<string, Millis>
  exchangedAtMs: Millis
  pushedAtMs: Millis
  /** Whether the admitted ratio of a workspace fell so far that nodes should know before their next report. */
  isPushDue: boolean
  /** Whether a level of another coordinator has been adopted. */
  hasAdoptedLevels: boolean
}

export interface AllotmentDb {
  readonly own: AllotmentMember
  readonly quota: QuotaSettings | null
  readonly random: RandomSource
  /** State by name of the workspaces with a limit. */
  readonly allotments: Map<string, NodeAllotment>
  /** Addresses by data centre, in the order in which they become coordinators. */
  orderByDataCentre: ReadonlyMap<string, readonly string[]>
  nodesCount: number
  newsAtMs: Millis
  reportedAtMs: Millis
  /** Variation of the time until the next report. */
  phaseRatio: number
  reportedTo: string | null
  unansweredCount: number
  /** Nodes that did not answer, and until when others are preferred. */
  readonly avoidedUntilMs: Map<string, Millis>
  isReportWanted: boolean
  hasDemand: boolean
  coordinator: CoordinatorDb | null
}

export interface AllotmentDbOptions {
  readonly own: AllotmentMember
  readonly quota: QuotaSettings | null
  readonly random: RandomSource
}

export function createAllotmentDb ({ own, quota, random }: AllotmentDbOptions): AllotmentDb {
  return {
    own,
    quota,
    random,
    allotments: new Map(),
    orderByDataCentre: new Map(),
    nodesCount: 1,
    newsAtMs: -Infinity,
    reportedAtMs: -Infinity,
    phaseRatio: 1,
    reportedTo: null,
    unansweredCount: 0,
    avoidedUntilMs: new Map(),
    isReportWanted: false,
    hasDemand: false,
    coordinator: null
  }
}

/** Resets the state to that of a new process. */
export function clearAllotmentDb (db: AllotmentDb): void {
  Object.assign(db, createAllotmentDb(db))
}

/**
 * State of a workspace whose requests this node has not counted yet. The credits of the nodes start at random, so
 * that a fleet in which each node gets few requests admits as many as its ratio says. A full burst divided among the
 * nodes is available without news.
 */
export function createNodeAllotment (db: AllotmentDb, rule: AllotmentRule, nowMs: Millis): NodeAllotment {
  return {
    rule,
    offeredCount: 0,
    grantedCount: 0,
    granted: createDecayingRate(nowMs),
    admittedRatio: 1,
    waitMs: 0,
    credit: db.random(),
    guardedCount: 0,
    guardMaxCount: 0,
    guardStartedAtMs: nowMs,
    tokensCount: db.random() + rule.burstCount / db.nodesCount,
    refilledAtMs: nowMs
  }
}

export function createFleetAllotment (nowMs: Millis): FleetAllotment {
  return {
    tokensCount: 0,
    refilledAtMs: nowMs,
    offered: createDecayingRate(nowMs),
    granted: createDecayingRate(nowMs),
    grantedByDataCentre: new Map(),
    offeredCount: 0,
    grantedCount: 0,
    heldByDataCentre: new Map(),
    announcedRatio: 1
  }
}

export function createCoordinatorDb (nowMs: Millis): CoordinatorDb {
  return {
    startedAtMs: nowMs,
    fleet: new Map(),
    nodes: new Map(),
    others: new Map(),
    heardAtMsByDataCentre: new Map(),
    exchangedAtMs: -Infinity,
    pushedAtMs: -Infinity,
    isPushDue: false,
    hasAdoptedLevels: false
  }
}
