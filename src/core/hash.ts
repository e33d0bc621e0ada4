const PRIME_1 = 0x9E3779B1
const PRIME_2 = 0x85EBCA77
const PRIME_3 = 0xC2B2AE3D
const PRIME_4 = 0x27D4EB2F
const PRIME_5 = 0x165667B1
/** Bytes that are hashed in one step of the main loop, in four lanes of four bytes. */
const STRIPE_BYTES = 16

const encoder = new TextEncoder()
let scratch = new Uint8Array(256)

function rotateLeft (value: number, bits: number): number {
  return value << bits | value >>> (32 - bits)
}

function readUint32 (bytes: Uint8Array, at: number): number {
  return bytes[at]! | bytes[at + 1]! << 8 | bytes[at + 2]! << 16 | bytes[at + 3]! << 24
}

function mixLane (lane: number, input: number): number {
  return Math.imul(rotateLeft(lane + Math.imul(input, PRIME_2) | 0, 13), PRIME_1)
}

/**
 * XXH32 (the published algorithm) of the first `length` bytes. It is not taken from a WebAssembly library, because
 * these can be loaded only asynchronously, which the single script of the sidecar's bundle cannot do.
 */
function xxHash32 (bytes: Uint8Array, length: number, seed: number): number {
  let at = 0
  let hash: number
  if (length >= STRIPE_BYTES) {
    let lane1 = seed + PRIME_1 + PRIME_2 | 0
    let lane2 = seed + PRIME_2 | 0
    let lane3 = seed | 0
    let lane4 = seed - PRIME_1 | 0
    for (; at <= length - STRIPE_BYTES; at += STRIPE_BYTES) {
      lane1 = mixLane(lane1, readUint32(bytes, at))
      lane2 = mixLane(lane2, readUint32(bytes, at + 4))
      lane3 = mixLane(lane3, readUint32(bytes, at + 8))
      lane4 = mixLane(lane4, readUint32(bytes, at + 12))
    }
    hash = rotateLeft(lane1, 1) + rotateLeft(lane2, 7) + rotateLeft(lane3, 12) + rotateLeft(lane4, 18) | 0
  } else hash = seed + PRIME_5 | 0
  hash = hash + length | 0
  for (; at + 4 <= length; at += 4) {
    hash = Math.imul(rotateLeft(hash + Math.imul(readUint32(bytes, at), PRIME_3) | 0, 17), PRIME_4)
  }
  for (; at < length; at += 1) hash = Math.imul(rotateLeft(hash + Math.imul(bytes[at]!, PRIME_5) | 0, 11), PRIME_1)
  hash = Math.imul(hash ^ hash >>> 15, PRIME_2)
  hash = Math.imul(hash ^ hash >>> 13, PRIME_3)
  return (hash ^ hash >>> 16) >>> 0
}

/**
 * 32-bit xxHash of a string in UTF-8; every process computes the same value.
 *
 * @example
 * hash32('root-1') % 32
 */
export function hash32 (text: string, seed = 0): number {
  // A UTF-16 code unit takes at most three bytes in UTF-8.
  if (scratch.length < text.length * 3) scratch = new Uint8Array(text.length * 6)
  const length = text.length
  let at = 0
  for (; at < length; at += 1) {
    const code = text.charCodeAt(at)
    if (code > 0x7F) return xxHash32(scratch, encoder.encodeInto(text, scratch).written, seed)
    scratch[at] = code
  }
  return xxHash32(scratch, length, seed)
}

/** 32-bit xxHash of bytes. */
export function hashBytes32 (bytes: Uint8Array): number {
  return xxHash32(bytes, bytes.length, 0)
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
    .map(member => ({ member, id: idOf(member), weight: hash32(`${key}|${idOf(member)}`) }))
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
    const weight = hash32(`${key}|${idOf(member)}`)
    if (weight > bestWeight || (weight === bestWeight && best !== undefined && idOf(member) < idOf(best))) {
      best = member
      bestWeight = weight
    }
  }
  return best
}
