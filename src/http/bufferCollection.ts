import { getHeapStatistics, setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'
import type { MemoryAccountDb } from '../core/memoryAccount/memoryAccountDb.js'
import { memoryAccountDefinition, memoryLimitsOf } from '../core/memoryAccount/memoryAccountDefinition.js'

/** Bytes of bodies that arrive between two checks. */
const CHECK_INTERVAL_BYTES = 4_000_000
/** Growth of all buffers, in use or not, after which those that are not are collected. */
const GROWTH_MAX_BYTES = 16_000_000

/** The collector of Node.js, also without its flag `--expose-gc`. */
function exposeCollector (): () => void {
  const exposed = (globalThis as { gc?: () => void }).gc
  if (exposed !== undefined) return exposed
  setFlagsFromString('--expose-gc')
  return runInNewContext('gc') as () => void
}

/**
 * Collects free buffers early. V8 lets tens of MB of them accumulate, which a process with a small limit on its memory
 * does not have.
 *
 * @example
 * const collection = new BufferCollection()
 * collection.recordArrival(chunk.length)
 */
export class BufferCollection {
  #collect: (() => void) | null = null
  #arrivedBytes = 0
  /** Memory of all buffers after the last collection. */
  #usedBytes = 0

  /** To be called for each piece of a body that arrives. */
  recordArrival (bytes: number): void {
    this.#arrivedBytes += bytes
    if (this.#arrivedBytes < CHECK_INTERVAL_BYTES) return
    this.#arrivedBytes = 0
    const buffersBytes = getHeapStatistics().external_memory
    this.#usedBytes = Math.min(this.#usedBytes, buffersBytes)
    if (buffersBytes - this.#usedBytes < GROWTH_MAX_BYTES) return
    this.#collect ??= exposeCollector()
    this.#collect()
    this.#usedBytes = getHeapStatistics().external_memory
  }
}

/**
 * Account of what peers make a process with this memory hold, which also collects free buffers early.
 *
 * @example
 * const memory = createMemoryAccount(250)
 */
export function createMemoryAccount (memoryMb: number, processMb?: number): MemoryAccountDb {
  const memory = memoryAccountDefinition.createDb(memoryLimitsOf(memoryMb, processMb))
  const collection = new BufferCollection()
  memory.onArrival = bytes => collection.recordArrival(bytes)
  return memory
}
