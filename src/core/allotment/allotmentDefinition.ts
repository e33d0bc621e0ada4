import type { Millis } from '../../clock/clock.js'
import { addToRate, rateAt } from '../decayingRate.js'
import { tokensAfterRefill } from '../tokenBucket.js'
import {
  acceptReport, acceptSums, createAnswer, createSums, heardNodeIps, isExchangeDue, refreshHeld, takePush
} from './allotmentCoordinator.js'
import { clearAllotmentDb, createAllotmentDb, createNodeAllotment, type AllotmentDb, type NodeAllotment } from './allotmentDb.js'
import {
  EARLY_SPACING_MS, guardCount, hasNews, IDLE_PERIOD_MS, reportPeriodMs, shareWithoutNewsPerS, SHARE_TIME_CONSTANT_MS
} from './allotmentDetector.js'
import { chooseCoordinator, exchangeTargets, recordUnanswered, setMembers } from './allotmentMembers.js'
import type {
  AllotmentAnswer, AllotmentCount, AllotmentDecision, AllotmentReport, AllotmentRule
} from './allotmentTypes.js'

const WITHIN: AllotmentDecision = { kind: 'within' }
/** Least Retry-After: a resend within the same report period meets the same ratio. */
const RETRY_AFTER_MIN_MS: Millis = 100

/** Used part of the guard at which a node reports early. */
const EARLY_GUARD_RATIO = 0.75
/** Part of the report period by which the times of reports vary, so that nodes do not report in step. */
const REPORT_JITTER_RATIO = 0.2

/** Replaces the limits by those of a new configuration. Counts of workspaces that remain limited are kept. */
function setRules (db: AllotmentDb, rules: readonly AllotmentRule[], nowMs: Millis): void {
  const names = new Set(rules.map(({ name }) => name))
  for (const name of db.allotments.keys()) if (!names.has(name)) db.allotments.delete(name)
  for (const rule of rules) {
    const known = db.allotments.get(rule.name)
    if (known === undefined) db.allotments.set(rule.name, createNodeAllotment(db, rule, nowMs))
    else known.rule = rule
  }
  if (rules.length === 0) db.coordinator = null
  for (const name of db.coordinator?.fleet.keys() ?? []) if (!names.has(name)) db.coordinator!.fleet.delete(name)
}

/**
 * Decides whether a root request of a workspace is within its allotment, and counts it.
 *
 * @example
 * decide(db, 'shop', nowMs) // { kind: 'above', retryAfterMs: 340, limitPerS: 6, admittedRatio: 0.4, newsAgeMs: 120 }
 */
function decide (db: AllotmentDb, workspaceName: string, nowMs: Millis): AllotmentDecision {
  const allotment = db.allotments.get(workspaceName)
  if (allotment === undefined) return WITHIN
  allotment.offeredCount += 1
  db.hasDemand = true
  const retryAfterMs = hasNews(db, nowMs) ? takeByNews(db, allotment, nowMs) : takeWithoutNews(db, allotment, nowMs)
  if (retryAfterMs === null) {
    allotment.grantedCount += 1
    return WITHIN
  }
  return {
    kind: 'above',
    retryAfterMs: Math.max(RETRY_AFTER_MIN_MS, retryAfterMs),
    limitPerS: allotment.rule.ratePerS,
    admittedRatio: allotment.admittedRatio,
    newsAgeMs: nowMs - db.newsAtMs
  }
}

/** Takes a request by the admitted ratio and the guard; returns null if it is granted, else Retry-After. */
function takeByNews (db: AllotmentDb, allotment: NodeAllotment, nowMs: Millis): Millis | null {
  if (allotment.admittedRatio < 1) {
    allotment.credit += allotment.admittedRatio
    if (allotment.credit < 1) return allotment.waitMs
  }
  const periodMs = reportPeriodMs(db)
  if (nowMs - allotment.guardStartedAtMs >= periodMs) {
    allotment.guardStartedAtMs = nowMs
    allotment.guardedCount = 0
  }
  if (allotment.guardedCount + 1 > allotment.guardMaxCount) {
    db.isReportWanted = true
    allotment.credit = Math.min(allotment.credit, 1)
    return allotment.guardStartedAtMs + periodMs - nowMs
  }
  allotment.guardedCount += 1
  if (allotment.guardedCount > EARLY_GUARD_RATIO * allotment.guardMaxCount) db.isReportWanted = true
  if (allotment.admittedRatio < 1) allotment.credit -= 1
  return null
}

/** Takes a request from the node's own bucket; returns null if it is granted, else Retry-After. */
function takeWithoutNews (db: AllotmentDb, allotment: NodeAllotment, nowMs: Millis): Millis | null {
  const ratePerS = shareWithoutNewsPerS(db, allotment)
  // Time with news is not saved up.
  const refilledAtMs = Math.max(allotment.refilledAtMs, db.newsAtMs)
  const capacityCount = Math.max(1, allotment.tokensCount)
  const level = { tokensCount: allotment.tokensCount, refilledAtMs }
  const tokensCount = tokensAfterRefill(level, ratePerS, capacityCount, nowMs)
  allotment.refilledAtMs = nowMs
  allotment.tokensCount = tokensCount
  if (tokensCount < 1) return Math.min(2 * reportPeriodMs(db), (1 - tokensCount) * 1000 / ratePerS)
  allotment.tokensCount -= 1
  return null
}

/**
 * Takes back a granted request that no backend server ran. It counts as demand no longer: else a workspace whose
 * requests all fail would be limited although it uses nothing.
 */
function giveBack (db: AllotmentDb, workspaceName: string, nowMs: Millis): void {
  const allotment = db.allotments.get(workspaceName)
  if (allotment === undefined) return
  allotment.offeredCount -= 1
  allotment.grantedCount -= 1
  allotment.guardedCount = Math.max(0, allotment.guardedCount - 1)
  if (!hasNews(db, nowMs)) allotment.tokensCount += 1
}

/** When the next report is due: after a period, earlier if the demand grows, and later without demand. */
function reportDueAtMs (db: AllotmentDb): Millis {
  if (db.isReportWanted) return db.reportedAtMs + EARLY_SPACING_MS
  const periodMs = reportPeriodMs(db)
  return db.reportedAtMs + db.phaseRatio * (db.hasDemand ? periodMs : Math.max(IDLE_PERIOD_MS, periodMs))
}

/** Creates the report of the counts since the last one. */
function createReport (db: AllotmentDb, coordinatorIp: string, nowMs: Millis): AllotmentReport {
  const counts: AllotmentCount[] = []
  const elapsedMs = Math.max(1, Math.min(nowMs - db.reportedAtMs, IDLE_PERIOD_MS))
  for (const [name, allotment] of db.allotments) {
    const { offeredCount, grantedCount } = allotment
    if (hasNews(db, nowMs)) allotment.guardMaxCount = guardCount(db, allotment, offeredCount * 1000 / elapsedMs)
    if (offeredCount === 0 && grantedCount === 0) continue
    counts.push([name, offeredCount, grantedCount])
    addToRate(allotment.granted, grantedCount, SHARE_TIME_CONSTANT_MS, nowMs)
    allotment.offeredCount = 0
    allotment.grantedCount = 0
  }
  recordUnanswered(db, coordinatorIp, nowMs)
  // The second report is due at a random time in the period: reports in step would let the demand seem to oscillate.
  db.phaseRatio = db.reportedAtMs === -Infinity ? db.random() : 1 + (db.random() - 0.5) * REPORT_JITTER_RATIO
  db.reportedAtMs = nowMs
  db.isReportWanted = false
  db.hasDemand = false
  return { counts }
}

/** Applies the answer of a coordinator. */
function acceptAnswer (db: AllotmentDb, { limited }: AllotmentAnswer, nowMs: Millis): void {
  const isFirst = !hasNews(db, nowMs)
  db.newsAtMs = nowMs
  db.unansweredCount = 0
  const byName = new Map(limited.map(entry => [entry[0], entry]))
  for (const [name, allotment] of db.allotments) {
    const [, admittedRatio, waitMs] = byName.get(name) ?? [name, 1, 0]
    allotment.admittedRatio = Math.min(1, Math.max(0, admittedRatio))
    allotment.waitMs = Math.max(0, waitMs)
    if (isFirst) {
      const grantedPerS = rateAt(allotment.granted, SHARE_TIME_CONSTANT_MS, nowMs)
      allotment.guardMaxCount = guardCount(db, allotment, grantedPerS)
    }
    allotment.guardedCount = 0
    allotment.guardStartedAtMs = nowMs
  }
}

/** The allotment module: keeps each workspace within its rate over all nodes together. */
export const allotmentDefinition = {
  createDb: createAllotmentDb,
  clear: clearAllotmentDb,
  setRules,
  setMembers,
  decide,
  giveBack,
  reportDueAtMs,
  reportPeriodMs,
  chooseCoordinator,
  createReport,
  acceptAnswer,
  acceptReport,
  createAnswer,
  isExchangeDue,
  createSums,
  acceptSums,
  exchangeTargets,
  refreshHeld,
  takePush,
  heardNodeIps
}
