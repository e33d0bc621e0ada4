import type { Millis } from '../../clock/clock.js'

/** Rate of the requests that a workspace offers at this node. */
export interface WorkspaceRate {
  offeredPerMs: number
  offeredAtMs: Millis
}

/** Level up to which workspaces of a rank are served, computed for an admitted ratio. */
interface FairLevel {
  readonly admittedRatio: number
  readonly levelPerMs: number
  readonly computedAtMs: Millis
}

interface RankRates {
  readonly rates: Map<string, WorkspaceRate>
  level: FairLevel | null
}

/** Offered rates of workspaces by rank. */
export interface WorkspaceSharesDb {
  readonly ratesByRank: Map<number, RankRates>
}

/** Time constant of the offered rates: a workspace with one request per second at this node must be visible. */
const RATE_TIME_CONSTANT_MS: Millis = 2_000
/** Bound on the workspaces whose rate is kept, for each rank; the one that was seen first is removed. */
const WORKSPACES_MAX_COUNT = 128
/** Bound on the ranks, which workspaces may state freely. */
const RANKS_MAX_COUNT = 16
/** Least share of a workspace relative to the mean: none is served less than a quarter as often. */
const FLOOR_OF_MEAN_RATIO = 0.3
/** A level is used this long, because computing it costs time proportional to the number of workspaces. */
const LEVEL_LIFETIME_MS: Millis = 100
/** Change of the admitted ratio that a level may lag behind. */
const LEVEL_TOLERANCE_RATIO = 0.02

export function createWorkspaceSharesDb (): WorkspaceSharesDb {
  return { ratesByRank: new Map() }
}

function rateAt (rate: WorkspaceRate, nowMs: Millis): number {
  return rate.offeredPerMs * Math.exp(-(nowMs - rate.offeredAtMs) / RATE_TIME_CONSTANT_MS)
}

/** Records a request that a workspace offers, whether it is admitted or not. */
export function recordWorkspaceOffered (
  db: WorkspaceSharesDb, importanceRank: number, workspaceName: string, nowMs: Millis
): void {
  let rank = db.ratesByRank.get(importanceRank)
  if (rank === undefined) {
    if (db.ratesByRank.size >= RANKS_MAX_COUNT) return
    rank = { rates: new Map(), level: null }
    db.ratesByRank.set(importanceRank, rank)
  }
  let rate = rank.rates.get(workspaceName)
  if (rate === undefined) {
    if (rank.rates.size >= WORKSPACES_MAX_COUNT) rank.rates.delete(rank.rates.keys().next().value!)
    rate = { offeredPerMs: 0, offeredAtMs: nowMs }
    rank.rates.set(workspaceName, rate)
  }
  rate.offeredPerMs = rateAt(rate, nowMs) + 1 / RATE_TIME_CONSTANT_MS
  rate.offeredAtMs = nowMs
}

/**
 * Max-min fair level: rate up to which each member is served so that all together get `admittedRatio` of the sum.
 * Each member gets at least `floorRatio` of its own rate, so the others get less.
 *
 * @example
 * fairLevel([1, 1, 8], 0.5, 0) // 3: the first two are served in full, the third gets 3 of 8
 */
export function fairLevel (rates: readonly number[], admittedRatio: number, floorRatio: number): number {
  const admitted = admittedRatio * rates.reduce((sum, rate) => sum + rate, 0)
  let low = 0
  let high = Math.max(0, ...rates)
  // 24 halvings are exact to a millionth of the largest rate.
  for (let step = 0; step < 24; step++) {
    const level = (low + high) / 2
    const used = rates.reduce((sum, rate) => sum + Math.min(rate, Math.max(level, floorRatio * rate)), 0)
    if (used < admitted) low = level
    else high = level
  }
  return high
}

/**
 * Share of a workspace's requests that is admitted, if `admittedRatio` of the requests of its rank are: workspaces
 * share what is admitted by max-min fairness over the rates that they offer at this node. The sum is not changed.
 */
export function workspaceAdmittedRatio (
  db: WorkspaceSharesDb, importanceRank: number, workspaceName: string, admittedRatio: number, nowMs: Millis
): number {
  const rank = db.ratesByRank.get(importanceRank)
  const rate = rank?.rates.get(workspaceName)
  if (rank === undefined || rate === undefined || rank.rates.size < 2) return admittedRatio
  const floorRatio = FLOOR_OF_MEAN_RATIO * admittedRatio
  let { level } = rank
  if (level === null || nowMs - level.computedAtMs >= LEVEL_LIFETIME_MS ||
    Math.abs(level.admittedRatio - admittedRatio) > LEVEL_TOLERANCE_RATIO) {
    const rates = [...rank.rates.values()].map(other => rateAt(other, nowMs))
    level = { admittedRatio, levelPerMs: fairLevel(rates, admittedRatio, floorRatio), computedAtMs: nowMs }
    rank.level = level
  }
  return Math.min(1, Math.max(floorRatio, level.levelPerMs / rateAt(rate, nowMs)))
}
