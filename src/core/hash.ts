import xxhash from 'xxhash-wasm'

const { h32, h32Raw } = await xxhash()

/**
 * 32-bit xxHash of a string; every process computes the same value.
 *
 * @example
 * hash32('root-1') % 32
 */
export function hash32 (text: string, seed = 0): number {
  return h32(text, seed)
}

/** 32-bit xxHash of bytes. */
export function hashBytes32 (bytes: Uint8Array): number {
  return h32Raw(bytes)
}

/**
 * Orders members by rendezvous (highest random weight) hashing for a key, best
 * first. When a member leaves, only the keys that it ranked first for move.
 *
 * @example
 * rankByRendezvous('key', ['a', 'b'], m => m)[0]
 */
export function rankByRendezvous<T> (key: string, members: readonly T[], idOf: (member: T) => string): T[] {
  return members
    .map(member => ({ member, id: idOf(member), weight: h32(`${key}|${idOf(member)}`) }))
    .sort((a, b) => b.weight - a.weight || (a.id < b.id ? -1 : 1))
    .map(entry => entry.member)
}

/** The member that ranks first by rendezvous hashing, or undefined for an empty list. */
export function firstByRendezvous<T> (
  key: string, members: readonly T[], idOf: (member: T) => string
): T | undefined {
  let best: T | undefined
  let bestWeight = -1
  for (const member of members) {
    const weight = h32(`${key}|${idOf(member)}`)
    if (weight > bestWeight || (weight === bestWeight && best !== undefined && idOf(member) < idOf(best))) {
      best = member
      bestWeight = weight
    }
  }
  return best
}
