import type { Millis } from '../../clock/clock.js'
import type { GrantedVote } from './idempotencyDb.js'

/** Range of key timestamps [fromLabelMs, untilLabelMs). */
export interface TimestampRange {
  readonly fromLabelMs: Millis
  readonly untilLabelMs: Millis
}

/**
 * Which votes form a quorum: a majority of voters with settled votes, a majority of
 * any voters, or all voters. Votes of all voters are sufficient under each rule.
 */
export type QuorumRule = 'settled_majority' | 'any_majority' | 'all'

function intersectRanges (votes: readonly GrantedVote[]): TimestampRange {
  let fromLabelMs = -Infinity
  let untilLabelMs = Infinity
  for (const vote of votes) {
    fromLabelMs = Math.max(fromLabelMs, vote.fromLabelMs)
    untilLabelMs = Math.min(untilLabelMs, vote.untilLabelMs)
  }
  return { fromLabelMs, untilLabelMs }
}

/**
 * Range granted by a quorum of the voters, or undefined without a quorum. If there
 * are several majorities, the one with the earliest start counts, so that the late
 * start that a restarted voter grants does not delay the lease. `withoutId` ignores
 * the vote of that voter.
 *
 * @example
 * quorumRange(['a', 'b', 'c'], votes, 'settled_majority') // two settled votes are enough
 */
export function quorumRange (
  voterIds: readonly string[], votes: ReadonlyMap<string, GrantedVote>, rule: QuorumRule, withoutId?: string
): TimestampRange | undefined {
  const others = voterIds.filter(voterId => voterId !== withoutId)
  const granted: GrantedVote[] = []
  for (const voterId of others) {
    const vote = votes.get(voterId)
    if (vote !== undefined) granted.push(vote)
  }
  const counted = rule === 'settled_majority' ? granted.filter(vote => vote.settled) : granted
  const neededCount = Math.floor(voterIds.length / 2) + 1
  if (rule !== 'all' && counted.length >= neededCount) {
    return intersectRanges(counted.sort((a, b) => a.fromLabelMs - b.fromLabelMs).slice(0, neededCount))
  }
  return voterIds.length > 0 && granted.length === others.length ? intersectRanges(granted) : undefined
}
