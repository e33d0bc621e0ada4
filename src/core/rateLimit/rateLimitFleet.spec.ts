import type { Millis } from '../../clock/clock.js'
import type { RandomSource } from '../coreTypes.js'
import { seededRandom } from '../../standins/randomNumbers.js'
import type { RateLimitDb } from './rateLimitDb.js'
import { rateLimitDefinition as rateLimit } from './rateLimitDefinition.js'

const SPAN_MS: Millis = 4_000
/** The bound holds from this time after the limit was first named. */
const TOUCH_MS: Millis = 3_000
/** Requests count from this time after their node has forwarded an answer that names the limit. */
const KNOWN_AFTER_MS: Millis = 500
const STEP_MS: Millis = 10
const RUN_MS: Millis = 40_000

interface EntryNode {
  knownLimitPerS: number | null
  /** When this node first forwarded an answer that names the limit. */
  forwardedAtMs: Millis
}

interface RunningRequest {
  readonly entry: EntryNode
  readonly sentAtMs: Millis
  readonly endsAtMs: Millis
}

/** One server that names a limit, its own node, and the entry nodes that send to it. */
class LimitedServer {
  readonly #random: RandomSource
  readonly #limitPerS: number
  readonly entries: EntryNode[]
  readonly countedAtMs: Millis[] = []
  #db: RateLimitDb = rateLimit.createDb()
  #running: RunningRequest[] = []

  constructor (random: RandomSource, limitPerS: number) {
    this.#random = random
    this.#limitPerS = limitPerS
    const entriesCount = 2 + Math.floor(random() * 30)
    this.entries = Array.from({ length: entriesCount }, () => ({ knownLimitPerS: null, forwardedAtMs: Infinity }))
  }

  /** Replaces the process of the server's own node, which forgets everything; running requests are lost. */
  restartNode (): void {
    this.#db = rateLimit.createDb()
    this.#running = []
  }

  /** Replaces the process of an entry node. */
  restartEntry (entry: EntryNode): void {
    entry.knownLimitPerS = null
    entry.forwardedAtMs = Infinity
  }

  offer (entry: EntryNode, nowMs: Millis): void {
    if (entry.knownLimitPerS !== null) rateLimit.adoptLimit(this.#db, entry.knownLimitPerS, nowMs)
    if (!rateLimit.mayStart(this.#db, nowMs)) return
    rateLimit.takeToken(this.#db, nowMs)
    if (nowMs >= entry.forwardedAtMs + KNOWN_AFTER_MS) this.countedAtMs.push(nowMs)
    this.#running.push({ entry, sentAtMs: nowMs, endsAtMs: nowMs + this.#random() * 1_000 })
  }

  deliverAnswers (nowMs: Millis): void {
    for (const { entry, sentAtMs } of this.#running.filter(({ endsAtMs }) => endsAtMs <= nowMs)) {
      rateLimit.recordAnswer(this.#db, { limitPerS: this.#limitPerS, sentAtMs }, nowMs)
      entry.knownLimitPerS = this.#limitPerS
      entry.forwardedAtMs = Math.min(entry.forwardedAtMs, nowMs)
    }
    this.#running = this.#running.filter(({ endsAtMs }) => endsAtMs > nowMs)
  }
}

/** Largest number of counted requests in a span after the bound begins to hold. */
function simulateLargestCount (seed: number, limitPerS: number): number {
  const random = seededRandom(seed)
  const server = new LimitedServer(random, limitPerS)
  const offeredPerStep = (20 + random() * 400) * STEP_MS / 1000
  const restartsPerStep = random() * 0.01
  for (let nowMs = 0; nowMs < RUN_MS; nowMs += STEP_MS) {
    server.deliverAnswers(nowMs)
    for (let left = offeredPerStep; random() < left; left--) {
      server.offer(server.entries[Math.floor(random() * server.entries.length)]!, nowMs)
    }
    if (random() < restartsPerStep) server.restartNode()
    if (random() < restartsPerStep) server.restartEntry(server.entries[Math.floor(random() * server.entries.length)]!)
  }
  const timesMs = server.countedAtMs.filter(atMs => atMs >= TOUCH_MS)
  return Math.max(0, ...timesMs.map((fromMs, at) => {
    return timesMs.slice(at).filter(timeMs => timeMs < fromMs + SPAN_MS).length
  }))
}

describe('sum of the requests that a fleet sends to a limited server', () => {
  // Guards against limits that are exceeded because nodes that come and go forget them.
  test.each([0.3, 2, 7.5, 18, 45, 120])('stays within the bound at a limit of %d', limitPerS => {
    const allowedCount = limitPerS * SPAN_MS / 1000 * 1.5 + 5
    for (let seed = 1; seed <= 25; seed++) {
      const isWithin = simulateLargestCount(seed, limitPerS) <= allowedCount
      expect({ seed, isWithin }).toEqual({ seed, isWithin: true })
    }
  })
})
