import type { Millis } from '../../clock/clock.js'
import type { GrantedVote } from './idempotencyDb.js'

/** Labels from `fromLabelMs` on and below `untilLabelMs`. */
export interface LabelRange {
  readonly fromLabelMs: Millis
  readonly untilLabelMs: Millis
}

/**
 * Which votes make a quorum: a majority of voters that have forgotten nothing, a
 * majority of any voters, or all. All of the voters are enough under each rule.
 */
export type QuorumRule = 'settled_majority' | 'any_majority' | 'all'

function rangeOf (votes: readonly GrantedVote[]): LabelRange {
  let fromLabelMs = -Infinity
  let untilLabelMs = Infinity
  for (const vote of votes) {
    fromLabelMs = Math.max(fromLabelMs, vote.fromLabelMs)
    untilLabelMs = Math.min(untilLabelMs, vote.untilLabelMs)
  }
  return { fromLabelMs, untilLabelMs }
}

/**
 * Range granted by a quorum of the voters, or undefined without a quorum. Of
 * several quorums the one with the earliest start counts, so that a voter that
 * has just restarted does not move the start for everyone.
 *
 * @example
 * quorumRange(['a', 'b', 'c'], votes, 'settled_majority') // two settled votes are enough
 */
export function quorumRange (
  voterIds: readonly string[], votes: ReadonlyMap<string, GrantedVote>, rule: QuorumRule, withoutId?: string
): LabelRange | undefined {
  const others = voterIds.filter(voterId => voterId !== withoutId)
  const granted: GrantedVote[] = []
  for (const voterId of others) {
    const vote = votes.get(voterId)
    if (vote !== undefined) granted.push(vote)
  }
  const counted = rule === 'settled_majority' ? granted.filter(vote => vote.settled) : granted
  const neededCount = Math.floor(voterIds.length / 2) + 1
  if (rule !== 'all' && counted.length >= neededCount) {
    return rangeOf(counted.sort((a, b) => a.fromLabelMs - b.fromLabelMs).slice(0, neededCount))
  }
  return voterIds.length > 0 && granted.length === others.length ? rangeOf(granted) : undefined
}
