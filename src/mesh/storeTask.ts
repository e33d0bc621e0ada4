import type { Clock, Millis } from '../clock/clock.js'
import type { RandomSource } from '../core/coreTypes.js'
import { StoreFailureKind, type PlatformStore, type PublishedChanges, type PublishedState, type StoreFailure } from './platformStore.js'
import type { NodeLog } from './nodeLog.js'

/** Entries change with each heartbeat, so a watch returns at once; the pause bounds the number of reads. */
const READ_PAUSE_MS: Millis = 700
/** Heartbeats keep the list moving; a watch without any event for this long is asked anew. */
const WATCH_WAIT_MS: Millis = 1_000
const READ_TIMEOUT_MS: Millis = 1_000
const RETRY_FIRST_MS: Millis = 100
const RETRY_MAX_MS: Millis = 800

export interface StoreTaskOptions {
  readonly clock: Clock
  readonly random: RandomSource
  readonly log: NodeLog
  readonly store: PlatformStore
  readonly onState: (state: PublishedState, readAtMs: Millis) => void
  readonly onChanges: (changes: PublishedChanges, readAtMs: Millis) => void
}

/** The task that reads the platform's store. */
export class StoreTask {
  readonly #options: StoreTaskOptions
  #revision = -1
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
      const failure = this.#revision < 0 ? await this.#readAll() : await this.#readChanges()
      if (failure === null) {
        this.#regained()
        await this.#pause(READ_PAUSE_MS)
      } else {
        this.#lost(failure)
        await this.#pause(this.#retryDelayMs(failure))
      }
    }
  }

  async #readAll (): Promise<StoreFailure | null> {
    const startedAtMs = this.#options.clock.monotonicMs()
    const result = await this.#options.store.readAll(READ_TIMEOUT_MS)
    return result.caseOf<StoreFailure | null>({
      Left: failure => failure,
      Right: state => {
        this.#revision = state.revision
        this.#options.onState(state, startedAtMs)
        return null
      }
    })
  }

  async #readChanges (): Promise<StoreFailure | null> {
    const startedAtMs = this.#options.clock.monotonicMs()
    const result = await this.#options.store.readChanges(
      this.#revision, WATCH_WAIT_MS, WATCH_WAIT_MS + READ_TIMEOUT_MS
    )
    return result.caseOf<StoreFailure | null>({
      Left: failure => failure,
      Right: changes => {
        this.#revision = Math.max(this.#revision, changes.revision)
        this.#options.onChanges(changes, startedAtMs)
        return null
      }
    })
  }

  #lost (failure: StoreFailure): void {
    this.#failuresCount += 1
    // After a failure the whole is read: a watch may have been cut with changes on their way.
    this.#revision = -1
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
