/** Root requests of one route and rank that use a refusing service. */
export interface CompetingRoute {
  readonly importanceRank: number
  readonly offeredPerMs: number
  /** Calls of the service that one chain makes. */
  readonly callsCount: number
  /** Whether the root request itself is the call of the service, so that its refusal wastes no work. */
  readonly runsThere: boolean
}

export interface CompletionInput {
  readonly routes: readonly CompetingRoute[]
  /** Share of the sends that the service refuses. */
  readonly refusedRatio: number
  /** Retries per millisecond that the budget allows for these routes. */
  readonly retriesPerMs: number
  /** Rate of the requests of this node that do not use the service. */
  readonly otherPerMs: number
}

/** Sends of one call that reach a backend server, at most. Servers that refuse at random accept one of a few. */
export const SENDS_MAX_COUNT = 6
/** Part of the budget for which chains are admitted; the rest covers retries before the refusals were noticed. */
const BUDGET_USED_RATIO = 1
/**
 * Share of a route that runs at the service itself, relative to the served share of the more important routes. Its
 * refused requests return and may be served then, while chains that fail after work do not return.
 */
const SHARE_THERE_RATIO = 0.5
/** A route is served at least this often relative to the mean of all routes; the requirement is a quarter. */
const FLOOR_OF_MEAN_RATIO = 0.3
/** Share of each route that is admitted in any case, so that a recovery is noticed within a second. */
const PROBE_RATIO = 0.04
/** Chains that complete less often than this even with retries get no more than the probe. */
const COMPLETION_MIN_RATIO = 0.1

/** Mean number of retries of a call that may be sent as often as allowed. */
function retriesPerCall (refusedRatio: number): number {
  return (1 - refusedRatio ** SENDS_MAX_COUNT) / (1 - refusedRatio) - 1
}

/** Probability that a chain completes if its calls are retried as often as needed. */
function completionRatio (callsCount: number, refusedRatio: number): number {
  return (1 - refusedRatio ** SENDS_MAX_COUNT) ** callsCount
}

/** Allots the budget: first the floor of each route, then what is left by rank. Routes of one rank get equal shares. */
function allotByRank (input: CompletionInput, costs: readonly number[], floors: readonly number[]): number[] {
  const { routes, refusedRatio } = input
  const shares = [...floors]
  let left = input.retriesPerMs * BUDGET_USED_RATIO - costs.reduce((sum, cost, index) => sum + cost * floors[index]!, 0)
  const ranks = [...new Set(routes.map(route => route.importanceRank))].sort((a, b) => a - b)
  for (const rank of ranks) {
    const members = routes.map((_, index) => index).filter(index => {
      return routes[index]!.importanceRank === rank &&
        completionRatio(routes[index]!.callsCount, refusedRatio) >= COMPLETION_MIN_RATIO
    })
    const cost = members.reduce((sum, index) => sum + costs[index]! * (1 - floors[index]!), 0)
    if (cost <= 0) continue
    const partRatio = Math.min(1, Math.max(0, left / cost))
    for (const index of members) shares[index] = floors[index]! + (1 - floors[index]!) * partRatio
    left -= cost * partRatio
  }
  return shares
}

/**
 * Share of each route's chains that can complete with the retries that the budget allows, when admission and retries
 * are concentrated on the same chains. The result is in the order of `routes`; 1 means that all are admitted.
 *
 * @example
 * completableShares({ routes: [form], refusedRatio: 0.55, retriesPerMs: 0.2, otherPerMs: 0 }) // [0.14]
 */
export function completableShares (input: CompletionInput): number[] {
  const { routes, refusedRatio, otherPerMs } = input
  const costs = routes.map(({ offeredPerMs, callsCount, runsThere }) => {
    return runsThere ? 0 : offeredPerMs * callsCount * retriesPerCall(refusedRatio)
  })
  if (costs.reduce((sum, cost) => sum + cost, 0) <= input.retriesPerMs * BUDGET_USED_RATIO) return routes.map(() => 1)
  const completions = routes.map(({ callsCount }) => completionRatio(callsCount, refusedRatio))
  const offeredPerMs = routes.reduce((sum, route) => sum + route.offeredPerMs, otherPerMs)
  let shares = routes.map(() => PROBE_RATIO)
  // The floor depends on the mean, which depends on the floor; three rounds change it by less than a hundredth.
  for (let round = 0; round < 3; round++) {
    const served = shares.reduce((sum, share, index) => {
      return sum + share * completions[index]! * routes[index]!.offeredPerMs
    }, otherPerMs)
    const floors = completions.map(completion => {
      if (completion < COMPLETION_MIN_RATIO) return PROBE_RATIO
      return Math.min(1, Math.max(PROBE_RATIO, FLOOR_OF_MEAN_RATIO * served / offeredPerMs / completion))
    })
    shares = allotByRank(input, costs, floors)
  }
  return shares.map((share, index) => {
    return routes[index]!.runsThere ? shareThere(input, index, shares, completions) : share
  })
}

/**
 * Share of a route that runs at the service itself. Its refusal wastes no work, so it is admitted as far as it is not
 * served more often than a more important route that needs retries.
 */
function shareThere (
  { routes }: CompletionInput, index: number, shares: readonly number[], completions: readonly number[]
): number {
  let servedRatio = 1
  for (const [other, { importanceRank, runsThere }] of routes.entries()) {
    if (runsThere || importanceRank >= routes[index]!.importanceRank) continue
    servedRatio = Math.min(servedRatio, shares[other]! * completions[other]!)
  }
  return Math.min(1, Math.max(PROBE_RATIO, servedRatio < 1 ? servedRatio * SHARE_THERE_RATIO : 1))
}
