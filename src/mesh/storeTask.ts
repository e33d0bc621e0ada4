import type { Clock, Millis } from '../clock/clock.js'
import type { RandomSource } from '../core/coreTypes.js'
import { READ_PERIOD_MS } from '../core/discovery/readPlan.js'
import {
  StoreFailureKind, type PlatformStore, type PublishedChanges, type PublishedState, type StoreFailure
} from './platformStore.js'
import type { NodeLog } from './nodeLog.js'

/** The store answers in a few ms; a longer time lets a slow store answer at all. */
const READ_TIMEOUT_MS: Millis = 1_000
const RETRY_FIRST_MS: Millis = 100
const RETRY_MAX_MS: Millis = 500

export interface StoreTaskOptions {
  readonly clock: Clock
  readonly random: RandomSource
  readonly log: NodeLog
  readonly store: PlatformStore
  /** When the newest word on the list left the store, from this node's reads or from peers. */
  readonly freshAtMs: () => Millis
  /** Age of the list at which this node reads. */
  readonly readAfterMs: () => Millis
  /** How long the store may wait for a change before it answers. */
  readonly watchWaitMs: () => Millis
  /** Revision up to which the list is known. */
  readonly revision: () => number
  readonly onState: (state: PublishedState, readAtMs: Millis) => void
  readonly onChanges: (changes: PublishedChanges, readAtMs: Millis) => void
}

/** The task that reads the platform's store when it is this node's turn. */
export class StoreTask {
  readonly #options: StoreTaskOptions
  #needsWhole = true
  #readAtMs: Millis = -Infinity
  #failuresCount = 0
  #isLost = false
  #stopped = false

  constructor (options: StoreTaskOptions) {
    this.#options = options
  }

  start (): void {
    void this.#run()
  }

  stop (): void {
    this.#stopped = true
  }

  async #run (): Promise<void> {
    while (!this.#stopped) {
      const waitMs = this.#untilTurnMs()
      if (waitMs > 0) {
        // Fresher news only puts the turn off, so there is nothing to look at before.
        await this.#pause(waitMs)
        continue
      }
      this.#readAtMs = this.#options.clock.monotonicMs()
      const failure = this.#needsWhole ? await this.#readAll() : await this.#readChanges()
      if (failure === null) this.#regained()
      else {
        this.#lost(failure)
        await this.#pause(this.#retryDelayMs(failure))
        // The delay of a retry replaces the period of reads, which would come on top of it.
        this.#readAtMs = -Infinity
      }
    }
  }

  /** A node that never read, or lost the store, reads whatever its peers know. */
  #untilTurnMs (): Millis {
    const { clock, freshAtMs, readAfterMs } = this.#options
    const nowMs = clock.monotonicMs()
    if (this.#options.revision() < 0) return 0
    return Math.max(freshAtMs() + readAfterMs() - nowMs, this.#readAtMs + READ_PERIOD_MS - nowMs)
  }

  async #readAll (): Promise<StoreFailure | null> {
    const startedAtMs = this.#options.clock.monotonicMs()
    const result = await this.#options.store.readAll(READ_TIMEOUT_MS)
    return result.caseOf<StoreFailure | null>({
      Left: failure => failure,
      Right: state => {
        this.#needsWhole = false
        this.#options.onState(state, startedAtMs)
        return null
      }
    })
  }

  async #readChanges (): Promise<StoreFailure | null> {
    const { clock, revision, store, watchWaitMs } = this.#options
    const startedAtMs = clock.monotonicMs()
    const waitMs = watchWaitMs()
    const result = await store.readChanges(revision(), waitMs, waitMs + READ_TIMEOUT_MS)
    return result.caseOf<StoreFailure | null>({
      Left: failure => failure,
      Right: changes => {
        // The answer holds all changes until it was sent, which is after the wait at the latest; a process
        // that was paused reads it later.
        this.#options.onChanges(changes, Math.min(clock.monotonicMs(), startedAtMs + waitMs))
        return null
      }
    })
  }

  #lost (failure: StoreFailure): void {
    this.#failuresCount += 1
    // After a failure the whole is read: a watch may have been cut with changes on their way.
    this.#needsWhole = true
    if (this.#isLost) return
    this.#isLost = true
    this.#options.log.event('store_lost', { kind: failure.kind, detail: failure.detail })
  }

  #regained (): void {
    if (this.#isLost) this.#options.log.event('store_regained', { failures: this.#failuresCount })
    this.#isLost = false
    this.#failuresCount = 0
  }

  #retryDelayMs (failure: StoreFailure): Millis {
    if (failure.kind === StoreFailureKind.HistoryGone) return 0
    const delayMs = Math.min(RETRY_MAX_MS, RETRY_FIRST_MS * 2 ** (this.#failuresCount - 1))
    return delayMs * (0.5 + this.#options.random())
  }

  async #pause (delayMs: Millis): Promise<void> {
    await new Promise(resolve => setTimeout(resolve, delayMs))
  }
}
