import type { Millis } from '../../clock/clock.js'
import { rateAt } from '../decayingRate.js'
import type { AllotmentDb, FleetAllotment, NodeAllotment } from './allotmentDb.js'
import type { AllotmentRule } from './allotmentTypes.js'

/** Period of the reports of a node, and of the messages of a coordinator to the others. */
const PERIOD_MIN_MS: Millis = 300
/** Least time between messages from different senders to one coordinator: about 100 a second. */
const MESSAGE_SPACING_MS: Millis = 10
/** Period of the reports of a node without demand. */
export const IDLE_PERIOD_MS: Millis = 1_000
/** Least time between a report and an early one. */
export const EARLY_SPACING_MS: Millis = 150
/** News are not used beyond this age. */
const NEWS_MAX_AGE_MS: Millis = 2_000
/** Requests that a node may grant in each period in any case. */
const GUARD_MIN_COUNT = 3
/** Part of the burst that one node may use before it hears from its coordinator. */
const GUARD_BURST_RATIO = 0.25
/** Growth of the demand in one period that is admitted without news. */
const GUARD_GROWTH_RATIO = 2
/** Part of its share that a node uses without news. */
const SHARE_WITHOUT_NEWS_RATIO = 0.5
/** Time constant of the rates from which admitted ratios are derived. */
export const DEMAND_TIME_CONSTANT_MS: Millis = 500
/** Time constant of the rates from which shares are derived; both sides of a cut link have to know nearly the same. */
export const SHARE_TIME_CONSTANT_MS: Millis = 4_000
/** Shortest time in which a debt of the bucket is repaid. Shorter than three delays, it oscillates. */
const DEBT_CORRECTION_MIN_MS: Millis = 1_000
/** Report periods in which a credit of the bucket may be used up; until then nodes can be told. */
const CREDIT_PERIODS_COUNT = 2
/** Part of the tolerated overshoot by which the rate is exceeded on purpose, so as not to refuse within it. */
const GENEROUS_OVER_RATIO = 0.12
/** Part of the tolerated slack that is added to the burst. It spares small workspaces refusals by chance. */
const GENEROUS_SLACK_RATIO = 0.4

/** Period of the reports of a node with demand. */
export function reportPeriodMs (db: AllotmentDb): Millis {
  const nodesCount = db.orderByDataCentre.get(db.own.dataCentre)?.length ?? 1
  return Math.max(PERIOD_MIN_MS, nodesCount * MESSAGE_SPACING_MS)
}

/** Period of the messages between coordinators. */
export function exchangePeriodMs (db: AllotmentDb): Millis {
  return Math.max(PERIOD_MIN_MS, db.orderByDataCentre.size * MESSAGE_SPACING_MS)
}

/** Time after which a sender counts as not heard. */
export function silenceMs (db: AllotmentDb): Millis {
  return Math.max(NEWS_MAX_AGE_MS, 2 * reportPeriodMs(db))
}

export function hasNews (db: AllotmentDb, nowMs: Millis): boolean {
  return nowMs - db.newsAtMs <= silenceMs(db)
}

/** Most requests that a node grants in one period, after `offeredPerS` in the last one. */
export function guardCount (db: AllotmentDb, allotment: NodeAllotment, offeredPerS: number): number {
  const { rule, admittedRatio } = allotment
  const usualPerS = Math.max(rule.ratePerS / db.nodesCount, offeredPerS * admittedRatio)
  return Math.max(
    GUARD_MIN_COUNT,
    rule.burstCount * GUARD_BURST_RATIO,
    usualPerS * GUARD_GROWTH_RATIO * reportPeriodMs(db) / 1000
  )
}

/** Rate of the bucket that a node uses without news. */
export function shareWithoutNewsPerS (db: AllotmentDb, { rule, granted }: NodeAllotment): number {
  return SHARE_WITHOUT_NEWS_RATIO * Math.min(rule.ratePerS, Math.max(granted.ratePerS, rule.ratePerS / db.nodesCount))
}

/** Requests that are admitted beyond the burst, so as not to refuse small workspaces by chance. */
export function generousCount ({ quota }: AllotmentDb): number {
  return (quota?.slackCount ?? 0) * GENEROUS_SLACK_RATIO
}

/** Rate and capacity of the bucket of a workspace at a coordinator, without what is held for those not heard. */
export function bucketSize (
  db: AllotmentDb, rule: AllotmentRule, fleet: FleetAllotment
): { readonly ratePerS: number, readonly capacityCount: number } {
  let heldRatio = 0
  for (const { shareRatio, silentRatio } of fleet.heldByDataCentre.values()) heldRatio += shareRatio * silentRatio
  const ownRatio = Math.max(0, 1 - heldRatio)
  const overRatio = db.quota?.overRatio ?? 0
  return {
    ratePerS: rule.ratePerS * (1 + overRatio * GENEROUS_OVER_RATIO) * ownRatio,
    capacityCount: (Math.max(1, rule.burstCount) + generousCount(db)) * ownRatio
  }
}

/** The part of a workspace's requests to admit until the next report, and the time until a token is free. */
export function admittedPart (
  db: AllotmentDb, rule: AllotmentRule, fleet: FleetAllotment, nowMs: Millis
): { readonly admittedRatio: number, readonly waitMs: Millis } {
  const { ratePerS } = bucketSize(db, rule, fleet)
  const offeredPerS = rateAt(fleet.offered, DEMAND_TIME_CONSTANT_MS, nowMs)
  const grantedPerS = rateAt(fleet.granted, DEMAND_TIME_CONSTANT_MS, nowMs)
  const lagMs = reportPeriodMs(db) / 2
  const tokensCount = fleet.tokensCount - grantedPerS * lagMs / 1000
  const creditMs = CREDIT_PERIODS_COUNT * reportPeriodMs(db)
  const correctionMs = tokensCount > 0 ? creditMs : Math.max(DEBT_CORRECTION_MIN_MS, creditMs)
  const targetPerS = Math.max(0, ratePerS + tokensCount * 1000 / correctionMs)
  const waitMs = ratePerS <= 0 ? correctionMs : Math.max(0, 1 - fleet.tokensCount) * 1000 / ratePerS
  return { admittedRatio: offeredPerS <= targetPerS ? 1 : targetPerS / offeredPerS, waitMs }
}
