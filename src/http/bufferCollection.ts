import { getHeapStatistics } from 'node:v8'

/** Bytes of bodies that arrive between two checks. */
const CHECK_INTERVAL_BYTES = 4_000_000
/** Growth of all buffers, in use or not, after which those that are not are collected. */
const GROWTH_MAX_BYTES = 16_000_000

/**
 * Collects free buffers early. V8 lets tens of MB of them accumulate, which a process with a small limit on its memory
 * does not have. It has an effect only if Node.js was started with `--expose-gc`.
 *
 * @example
 * const collection = new BufferCollection()
 * collection.recordArrival(chunk.length)
 */
export class BufferCollection {
  readonly #collect = (globalThis as { gc?: () => void }).gc
  #arrivedBytes = 0
  /** Memory of all buffers after the last collection. */
  #usedBytes = 0

  /** To be called for each piece of a body that arrives. */
  recordArrival (bytes: number): void {
    this.#arrivedBytes += bytes
    if (this.#arrivedBytes < CHECK_INTERVAL_BYTES || this.#collect === undefined) return
    this.#arrivedBytes = 0
    const buffersBytes = getHeapStatistics().external_memory
    this.#usedBytes = Math.min(this.#usedBytes, buffersBytes)
    if (buffersBytes - this.#usedBytes < GROWTH_MAX_BYTES) return
    this.#collect()
    this.#usedBytes = getHeapStatistics().external_memory
  }
}
