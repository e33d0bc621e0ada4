import { hash32 } from '../core/hash.js'

/** Up to this many hashes are kept in a set of about 1 MB, so that small callers are counted exactly. */
const EXACT_MAX_COUNT = 20_000
/** 16,384 registers give a standard error of 0.8%. */
const INDEX_BITS = 14
const REGISTERS_COUNT = 1 << INDEX_BITS
const RANK_MAX = 33
const RANK_HASH_SEED = 0x5bd1e995

/**
 * Counts distinct strings: exactly up to a maximum, and by a HyperLogLog estimate of
 * constant size above it.
 *
 * @example
 * const counter = new DistinctCounter()
 * counter.add('root-1'); counter.add('root-1')
 * counter.count() // 1
 */
export class DistinctCounter {
  #exactHashes: Set<number> | undefined = new Set()
  readonly #exactMaxCount: number
  #registers: Uint8Array | undefined

  constructor (exactMaxCount = EXACT_MAX_COUNT) {
    this.#exactMaxCount = exactMaxCount
  }

  get isEstimate (): boolean {
    return this.#exactHashes === undefined
  }

  add (text: string): void {
    const index = hash32(text) >>> (32 - INDEX_BITS)
    const rankHash = hash32(text, RANK_HASH_SEED)
    if (this.#exactHashes === undefined) {
      this.#updateRegister(index, rankHash)
      return
    }
    // 46 bits of the two hashes: about one in 350,000 sets of 20,000 strings contains a collision.
    this.#exactHashes.add(index * 2 ** 32 + rankHash)
    if (this.#exactHashes.size > this.#exactMaxCount) this.#switchToEstimate()
  }

  count (): number {
    return this.#exactHashes === undefined ? Math.round(this.#estimate()) : this.#exactHashes.size
  }

  #switchToEstimate (): void {
    this.#registers = new Uint8Array(REGISTERS_COUNT)
    for (const hash of this.#exactHashes ?? []) this.#updateRegister(Math.floor(hash / 2 ** 32), hash % 2 ** 32)
    this.#exactHashes = undefined
  }

  #updateRegister (index: number, rankHash: number): void {
    const rank = Math.min(RANK_MAX, Math.clz32(rankHash) + 1)
    if (this.#registers !== undefined && (this.#registers[index] ?? 0) < rank) this.#registers[index] = rank
  }

  #estimate (): number {
    let sum = 0
    let zerosCount = 0
    for (const rank of this.#registers ?? []) {
      sum += 2 ** -rank
      if (rank === 0) zerosCount += 1
    }
    const rawEstimate = 0.7213 / (1 + 1.079 / REGISTERS_COUNT) * REGISTERS_COUNT ** 2 / sum
    const isSmall = rawEstimate <= 2.5 * REGISTERS_COUNT && zerosCount > 0
    return isSmall ? REGISTERS_COUNT * Math.log(REGISTERS_COUNT / zerosCount) : rawEstimate
  }
}
