import type { Millis } from '../../clock/clock.js'
import { addToRate, createDecayingRate, rateAt, type DecayingRate } from '../decayingRate.js'
import { tokensAfterRefill } from '../tokenBucket.js'
import {
  createCoordinatorDb, createFleetAllotment, type AllotmentDb, type CoordinatorDb, type FleetAllotment
} from './allotmentDb.js'
import {
  admittedPart, bucketSize, DEMAND_TIME_CONSTANT_MS, exchangePeriodMs, generousCount, IDLE_PERIOD_MS,
  SHARE_TIME_CONSTANT_MS, silenceMs
} from './allotmentDetector.js'
import type {
  AllotmentAnswer, AllotmentCount, AllotmentReport, AllotmentRule, AllotmentSums, BucketLevel, LimitedWorkspace
} from './allotmentTypes.js'

/** A ratio below this part of the last announced one is sent to all nodes at once. */
const PUSH_RATIO = 0.7
/** Least time between answers to all nodes. */
const PUSH_SPACING_MS: Millis = 150
/** Part of the allotment that is held for a silent data centre by its number of nodes, not its former demand. */
const HELD_BY_NODES_RATIO = 0.1
/** Time after the start in which a coordinator adopts the levels of the others. */
const ADOPT_LEVELS_MS: Millis = 1_500

function getOrCreateCoordinator (db: AllotmentDb, nowMs: Millis): CoordinatorDb {
  db.coordinator ??= createCoordinatorDb(nowMs)
  return db.coordinator
}

/**
 * The bucket of a workspace starts without its burst, which a former coordinator may have granted, and fills from the
 * start of this one; demand before its first counts was none.
 */
function getOrCreateFleet (
  db: AllotmentDb, coordinator: CoordinatorDb, name: string, nowMs: Millis
): FleetAllotment {
  let fleet = coordinator.fleet.get(name)
  if (fleet === undefined) {
    fleet = createFleetAllotment(nowMs)
    fleet.tokensCount = generousCount(db)
    fleet.refilledAtMs = coordinator.startedAtMs
    coordinator.fleet.set(name, fleet)
  }
  return fleet
}

function getOrCreateRate (rates: Map<string, DecayingRate>, key: string, nowMs: Millis): DecayingRate {
  let rate = rates.get(key)
  if (rate === undefined) {
    rate = createDecayingRate(nowMs)
    rates.set(key, rate)
  }
  return rate
}

function refill (db: AllotmentDb, rule: AllotmentRule, fleet: FleetAllotment, nowMs: Millis): void {
  const { ratePerS, capacityCount } = bucketSize(db, rule, fleet)
  fleet.tokensCount = tokensAfterRefill(fleet, ratePerS, capacityCount, nowMs)
  fleet.refilledAtMs = nowMs
}

/** Adds counts of a data centre to the bucket and the rates of their workspaces. */
function addCounts (
  db: AllotmentDb, coordinator: CoordinatorDb, dataCentre: string, counts: readonly AllotmentCount[], nowMs: Millis
): void {
  for (const [name, offeredCount, grantedCount] of counts) {
    const rule = db.allotments.get(name)?.rule
    if (rule === undefined) continue
    const fleet = getOrCreateFleet(db, coordinator, name, nowMs)
    refill(db, rule, fleet, nowMs)
    fleet.tokensCount -= grantedCount
    addToRate(fleet.offered, offeredCount, DEMAND_TIME_CONSTANT_MS, nowMs)
    addToRate(fleet.granted, grantedCount, DEMAND_TIME_CONSTANT_MS, nowMs)
    const dataCentreRate = getOrCreateRate(fleet.grantedByDataCentre, dataCentre, nowMs)
    addToRate(dataCentreRate, grantedCount, SHARE_TIME_CONSTANT_MS, nowMs)
    const { admittedRatio } = admittedPart(db, rule, fleet, nowMs)
    if (admittedRatio < fleet.announcedRatio * PUSH_RATIO) coordinator.isPushDue = true
    else fleet.announcedRatio = Math.max(fleet.announcedRatio, admittedRatio)
  }
}

/** Adds the report of a node of the own data centre, which makes this node a coordinator. */
export function acceptReport (db: AllotmentDb, nodeIp: string, { counts }: AllotmentReport, nowMs: Millis): void {
  const coordinator = getOrCreateCoordinator(db, nowMs)
  coordinator.nodes.set(nodeIp, nowMs)
  addCounts(db, coordinator, db.own.dataCentre, counts, nowMs)
  for (const [name, offeredCount, grantedCount] of counts) {
    const fleet = coordinator.fleet.get(name)
    if (fleet === undefined) continue
    fleet.offeredCount += offeredCount
    fleet.grantedCount += grantedCount
  }
}

/** Adds the sums of another coordinator. */
export function acceptSums (db: AllotmentDb, fromIp: string, sums: AllotmentSums, nowMs: Millis): void {
  const coordinator = getOrCreateCoordinator(db, nowMs)
  coordinator.others.set(fromIp, { dataCentre: sums.dataCentre, heardAtMs: nowMs, nodesCount: sums.nodesCount })
  coordinator.heardAtMsByDataCentre.set(sums.dataCentre, nowMs)
  addCounts(db, coordinator, sums.dataCentre, sums.counts, nowMs)
  if (coordinator.hasAdoptedLevels || nowMs - coordinator.startedAtMs > ADOPT_LEVELS_MS) return
  coordinator.hasAdoptedLevels = true
  for (const [name, tokensCount] of sums.levels) {
    const rule = db.allotments.get(name)?.rule
    if (rule === undefined) continue
    const fleet = getOrCreateFleet(db, coordinator, name, nowMs)
    refill(db, rule, fleet, nowMs)
    fleet.tokensCount = Math.min(fleet.tokensCount, tokensCount)
  }
}

/** The workspaces that are limited at present. */
export function createAnswer (db: AllotmentDb, nowMs: Millis): AllotmentAnswer {
  const limited: LimitedWorkspace[] = []
  for (const [name, fleet] of db.coordinator?.fleet ?? []) {
    const rule = db.allotments.get(name)?.rule
    if (rule === undefined) continue
    refill(db, rule, fleet, nowMs)
    const { admittedRatio, waitMs } = admittedPart(db, rule, fleet, nowMs)
    if (admittedRatio < 1) limited.push([name, Number(admittedRatio.toFixed(4)), Math.round(waitMs)])
  }
  return { limited }
}

/** Whether all nodes should get an answer now, since a ratio fell far; the announced ratios are then renewed. */
export function takePush (db: AllotmentDb, nowMs: Millis): boolean {
  const { coordinator } = db
  if (coordinator === null || !coordinator.isPushDue || nowMs - coordinator.pushedAtMs < PUSH_SPACING_MS) return false
  coordinator.isPushDue = false
  coordinator.pushedAtMs = nowMs
  for (const [name, fleet] of coordinator.fleet) {
    const rule = db.allotments.get(name)?.rule
    if (rule !== undefined) fleet.announcedRatio = admittedPart(db, rule, fleet, nowMs).admittedRatio
  }
  return true
}

/** The nodes whose reports this coordinator receives. */
export function heardNodeIps (db: AllotmentDb, nowMs: Millis): string[] {
  const nodes = [...db.coordinator?.nodes ?? []]
  return nodes.filter(([, heardAtMs]) => nowMs - heardAtMs <= silenceMs(db)).map(([ip]) => ip)
}

/** Whether this node receives reports and its sums are due at the other coordinators. */
export function isExchangeDue (db: AllotmentDb, nowMs: Millis): boolean {
  const { coordinator } = db
  if (coordinator === null || nowMs - coordinator.exchangedAtMs < exchangePeriodMs(db)) return false
  const isIdleDue = nowMs - coordinator.exchangedAtMs >= IDLE_PERIOD_MS
  const hasCounts = [...coordinator.fleet.values()].some(({ offeredCount }) => offeredCount !== 0)
  return (hasCounts || isIdleDue) && heardNodeIps(db, nowMs).length > 0
}

/** Creates the message to the other coordinators. */
export function createSums (db: AllotmentDb, nowMs: Millis): AllotmentSums {
  const counts: AllotmentCount[] = []
  const levels: BucketLevel[] = []
  const coordinator = getOrCreateCoordinator(db, nowMs)
  for (const [name, fleet] of coordinator.fleet) {
    const { offeredCount, grantedCount } = fleet
    if (offeredCount !== 0 || grantedCount !== 0) counts.push([name, offeredCount, grantedCount])
    if (fleet.tokensCount < 0) levels.push([name, Math.round(fleet.tokensCount)])
    fleet.offeredCount = 0
    fleet.grantedCount = 0
  }
  coordinator.exchangedAtMs = nowMs
  // A new coordinator has not heard all nodes yet; it is taken to count all of its data centre.
  const nodesCount = nowMs - coordinator.startedAtMs <= silenceMs(db)
    ? db.orderByDataCentre.get(db.own.dataCentre)?.length ?? 0
    : heardNodeIps(db, nowMs).length
  return { dataCentre: db.own.dataCentre, nodesCount, counts, levels }
}

/** Nodes of a data centre whose counts reach this coordinator, in proportion to those listed. */
function heardRatio (db: AllotmentDb, coordinator: CoordinatorDb, dataCentre: string, nowMs: Millis): number {
  const lastHeardMs = coordinator.heardAtMsByDataCentre.get(dataCentre) ?? -Infinity
  const isOwn = dataCentre === db.own.dataCentre
  if (nowMs - coordinator.startedAtMs <= silenceMs(db) && (isOwn || lastHeardMs === -Infinity)) return 1
  let heardCount = isOwn ? heardNodeIps(db, nowMs).length : 0
  for (const other of coordinator.others.values()) {
    if (other.dataCentre === dataCentre && nowMs - other.heardAtMs <= silenceMs(db)) heardCount += other.nodesCount
  }
  return Math.min(1, heardCount / Math.max(1, db.orderByDataCentre.get(dataCentre)?.length ?? 1))
}

/**
 * Holds parts of the allotments for nodes that are not heard: they may be running, with a coordinator of their own. A
 * data centre's part follows its share of the demand when it was last heard completely.
 */
export function refreshHeld (db: AllotmentDb, nowMs: Millis): void {
  const { coordinator } = db
  if (coordinator === null) return
  for (const [name, fleet] of coordinator.fleet) {
    const rule = db.allotments.get(name)?.rule
    if (rule !== undefined) refill(db, rule, fleet, nowMs)
  }
  for (const [dataCentre, ips] of db.orderByDataCentre) {
    const silentRatio = 1 - heardRatio(db, coordinator, dataCentre, nowMs)
    const byNodesRatio = ips.length / db.nodesCount
    for (const fleet of coordinator.fleet.values()) {
      const held = fleet.heldByDataCentre.get(dataCentre)
      if (silentRatio <= 0) fleet.heldByDataCentre.delete(dataCentre)
      else if (held !== undefined) held.silentRatio = silentRatio
      else {
        const shareRatio = demandShare(fleet, dataCentre, byNodesRatio, nowMs - silenceMs(db))
        fleet.heldByDataCentre.set(dataCentre, { shareRatio, silentRatio })
      }
    }
  }
}

function demandShare (fleet: FleetAllotment, dataCentre: string, byNodesRatio: number, atMs: Millis): number {
  let totalPerS = 0
  for (const rate of fleet.grantedByDataCentre.values()) totalPerS += rateAt(rate, SHARE_TIME_CONSTANT_MS, atMs)
  if (totalPerS <= 0) return byNodesRatio
  const rate = fleet.grantedByDataCentre.get(dataCentre)
  const byDemandRatio = (rate === undefined ? 0 : rateAt(rate, SHARE_TIME_CONSTANT_MS, atMs)) / totalPerS
  return byDemandRatio * (1 - HELD_BY_NODES_RATIO) + byNodesRatio * HELD_BY_NODES_RATIO
}
