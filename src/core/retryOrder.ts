import { hash32 } from './hash.js'

/** How far the chains of an importance rank are spread over the order; all ranks begin at its front. */
const ORDER_SPREAD_BY_RANK = [0.4, 0.7, 1]
const HASH_MAX = 0xffff_ffff
/** Seed that makes the order of retries independent of other uses of the hash. */
const ORDER_HASH_SEED = 0x5eed

/**
 * Place of a chain among those of its rank, from 0 (first) to 1: by a hash of the root's id, so that it is the same
 * at all nodes. Chains are admitted and retried in this order.
 *
 * @example
 * chainOrder('r-7') < 0.2 // true for a fifth of all ids
 */
export function chainOrder (rootId: string): number {
  return hash32(rootId, ORDER_HASH_SEED) / HASH_MAX
}

/**
 * Place of a chain in the order of retries of all ranks, from 0 (first) to 1. A chain needs all its calls, so retries
 * that are spread over all chains complete few of them.
 */
export function retryOrder (rootId: string, rootImportanceRank: number): number {
  const rank = Math.min(ORDER_SPREAD_BY_RANK.length - 1, Math.max(0, Math.floor(rootImportanceRank)))
  return ORDER_SPREAD_BY_RANK[rank]! * chainOrder(rootId)
}
