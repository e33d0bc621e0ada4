import { firstByRendezvous, hash32, rankByRendezvous } from '../hash.js'
import type { KeyOwner, OwnerCandidates, RequestKey } from './idempotencyTypes.js'

const HASH_RANGE = 2 ** 32

/** Text that identifies a request; JSON keeps the parts apart whatever they contain. */
export function keyText (key: RequestKey): string {
  return JSON.stringify([key.callerName, key.serviceName, key.idempotencyKey])
}

/**
 * Score of a member in weighted rendezvous hashing; the greatest wins, and a
 * member wins in proportion to its weight.
 */
function weightedScore (text: string, dataCentre: string, weight: number): number {
  const uniform = (hash32(`${text}|${dataCentre}`) + 0.5) / HASH_RANGE
  return -weight / Math.log(uniform)
}

/**
 * Owner of a key. The data centre depends on the weights only; the node is
 * chosen among those that the data centre lists.
 *
 * @example
 * ownerOf(key, [{ dataCentre: 'tartu', weight: 1, nodeIds: ['n1'] }]) // { dataCentre: 'tartu', nodeId: 'n1' }
 * @throws RangeError without a data centre of positive weight
 */
export function ownerOf (key: RequestKey, candidates: readonly OwnerCandidates[]): KeyOwner {
  const text = keyText(key)
  let best: OwnerCandidates | undefined
  let bestScore = 0
  for (const candidate of candidates) {
    if (!(candidate.weight > 0)) continue
    const score = weightedScore(text, candidate.dataCentre, candidate.weight)
    if (score > bestScore || (score === bestScore && best !== undefined && candidate.dataCentre < best.dataCentre)) {
      best = candidate
      bestScore = score
    }
  }
  if (best === undefined) throw new RangeError('no data centre with a weight above 0')
  return { dataCentre: best.dataCentre, nodeId: firstByRendezvous(text, best.nodeIds, nodeId => nodeId) }
}

/**
 * Voters of a data centre: the nodes of its list that rank highest for its name.
 *
 * @example
 * votersOf('tartu', ['n1', 'n2'], 9) // both
 */
export function votersOf (dataCentre: string, nodeIds: readonly string[], votersCount: number): string[] {
  return rankByRendezvous(dataCentre, nodeIds, nodeId => nodeId).slice(0, votersCount)
}
