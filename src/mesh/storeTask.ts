import type { Clock, Millis } from '../clock/clock.js'
import type { RandomSource } from '../core/coreTypes.js'
import type { ConfirmedRead, StorePosition } from '../core/configurationProof/configurationProofTypes.js'
import { READ_PERIOD_MS } from '../core/discovery/readSchedule.js'
import {
  StoreFailureKind, type PlatformStore, type PublishedChanges, type PublishedConfiguration, type PublishedState,
  type StoreFailure
} from './platformStore.js'
import type { NodeLog } from './nodeLog.js'

/** The store usually answers in a few ms; the timeout leaves room for a slow one. */
const READ_TIMEOUT_MS: Millis = 1_000
const RETRY_DELAY_FIRST_MS: Millis = 100
const RETRY_DELAY_MAX_MS: Millis = 1_000

/** What reads of the store need and give where they prove the age of the configuration. */
export interface StoreReadProof {
  /** Reading of the proof clock. */
  readonly nowMs: () => Millis
  /** Time until this node reads the store although its list looks fresh. */
  readonly untilReadMs: (readAfterMs: Millis) => Millis
  /** Limits how long the store waits for a change. */
  readonly limitWatchMs: (waitMs: Millis) => Millis
  /** Revision after which changes prove the configuration, or null if everything has to be read. */
  readonly watchAfterRevision: (list: StorePosition) => number | null
  /** Called after the configuration that was read is in force. */
  readonly recordRead: (read: ConfirmedRead) => void
  readonly recordReadFailed: () => void
}

export interface StoreTaskOptions {
  readonly clock: Clock
  readonly random: RandomSource
  readonly log: NodeLog
  readonly store: PlatformStore
  /** When the newest known state of the list left the store, whether read by this node or by a peer. */
  readonly newestReadAtMs: () => Millis
  /** Age of the list at which this node reads the store. */
  readonly readAfterMs: () => Millis
  /** How long the store waits for a change before it answers (long poll). */
  readonly watchWaitMs: () => Millis
  /** Revision of the known list, or negative if none is known. */
  readonly revision: () => number
  /** Era of the known list. */
  readonly era: () => number
  /** Null if reads need not prove the age of the configuration. */
  readonly proof: StoreReadProof | null
  /** Called during a long read of everything; `isStale` is whether that read may be stale. */
  readonly onConfiguration: (published: PublishedConfiguration, isStale: boolean) => void
  /** `readAtMs` is negative infinity for a read that may be stale. */
  readonly onState: (state: PublishedState, readAtMs: Millis) => void
  readonly onChanges: (changes: PublishedChanges, readAtMs: Millis) => void
}

/** Whether asking for the same changes again could fail in the same way, so that everything has to be read. */
function needsFullReadAfter ({ kind }: StoreFailure): boolean {
  switch (kind) {
    case StoreFailureKind.HistoryGone:
    case StoreFailureKind.Incomplete:
    case StoreFailureKind.Malformed: return true
    case StoreFailureKind.Unavailable:
    case StoreFailureKind.RateLimited: return false
  }
}

/** Reads the platform's store whenever the list becomes older than this node's limit. */
export class StoreTask {
  readonly #options: StoreTaskOptions
  #needsFullRead = true
  /** Whether the list is from a read that may be stale, so that other nodes are expected to have a newer one. */
  #isStale = false
  #lastReadAtMs: Millis = -Infinity
  #failuresCount = 0
  #isStoreLost = false
  #isStopped = false

  constructor (options: StoreTaskOptions) {
    this.#options = options
  }

  start (): void {
    void this.#runReadLoop()
  }

  stop (): void {
    this.#isStopped = true
  }

  async #runReadLoop (): Promise<void> {
    while (!this.#isStopped) {
      const waitMs = this.#untilNextReadMs()
      if (waitMs > 0) {
        // Updates from peers can only postpone the next read. A step of the wall clock may bring it forward, where
        // reads prove the age of the configuration.
        await this.#delay(this.#options.proof === null ? waitMs : Math.min(waitMs, READ_PERIOD_MS))
        continue
      }
      this.#lastReadAtMs = this.#options.clock.monotonicMs()
      this.#needsFullRead ||= this.#watchAfterRevision() === null
      const failure = this.#needsFullRead ? await this.#readAll() : await this.#readChanges()
      if (failure === null) this.#onReadSucceeded()
      else {
        const retryDelayMs = this.#onReadFailed(failure)
        this.#options.proof?.recordReadFailed()
        await this.#delay(retryDelayMs)
        // Otherwise the read period would be added to the retry delay.
        this.#lastReadAtMs = -Infinity
      }
    }
  }

  /**
   * Time until the next read. A node without any list reads at once. After a stale read, a node waits for updates
   * as long as it would before it takes over from the reader.
   */
  #untilNextReadMs (): Millis {
    const { clock, newestReadAtMs, proof, readAfterMs } = this.#options
    const nowMs = clock.monotonicMs()
    if (this.#options.revision() < 0) return 0
    const pauseMs = this.#isStale ? readAfterMs() : READ_PERIOD_MS
    const forListMs = Math.max(newestReadAtMs() + readAfterMs() - nowMs, this.#lastReadAtMs + pauseMs - nowMs)
    if (proof === null) return forListMs
    const untilPeriodMs = this.#lastReadAtMs + proof.limitWatchMs(READ_PERIOD_MS) - nowMs
    return Math.min(forListMs, Math.max(proof.untilReadMs(readAfterMs()), untilPeriodMs))
  }

  /** Revision after which changes are read, or null if everything has to be read. */
  #watchAfterRevision (): number | null {
    const { era, proof, revision } = this.#options
    if (proof === null || revision() < 0) return revision()
    return proof.watchAfterRevision({ era: era(), revision: revision() })
  }

  /** Reads everything. The first read may be stale: all nodes of a fleet may start at once, and reads are charged. */
  async #readAll (): Promise<StoreFailure | null> {
    const { clock, onConfiguration, onState, proof, revision, store } = this.#options
    const startedAtMs = clock.monotonicMs()
    const sentAtMs = proof?.nowMs() ?? 0
    const mayBeStale = revision() < 0
    const result = await store.readAll(READ_TIMEOUT_MS, mayBeStale, published => onConfiguration(published, mayBeStale))
    return result.caseOf<StoreFailure | null>({
      Left: failure => failure,
      Right: state => {
        this.#needsFullRead = false
        this.#isStale = mayBeStale
        onState(state, mayBeStale ? -Infinity : startedAtMs)
        proof?.recordRead({ sentAtMs, position: state, isStale: mayBeStale })
        return null
      }
    })
  }

  async #readChanges (): Promise<StoreFailure | null> {
    const { clock, proof, revision, store, watchWaitMs } = this.#options
    const startedAtMs = clock.monotonicMs()
    const sentAtMs = proof?.nowMs() ?? 0
    const waitMs = proof?.limitWatchMs(watchWaitMs()) ?? watchWaitMs()
    const afterRevision = this.#watchAfterRevision() ?? revision()
    const result = await store.readChanges(afterRevision, waitMs, waitMs + READ_TIMEOUT_MS)
    return result.caseOf<StoreFailure | null>({
      Left: failure => failure,
      Right: changes => {
        if (changes.era !== this.#options.era()) {
          return { kind: StoreFailureKind.HistoryGone, detail: `era ${changes.era} of the store` }
        }
        // The answer has all changes until it was sent, at the end of the wait at the latest. A process that was
        // paused reads the answer later, so the time of reading would make the list look too fresh.
        this.#isStale = false
        this.#options.onChanges(changes, Math.min(clock.monotonicMs(), startedAtMs + waitMs))
        proof?.recordRead({ sentAtMs, position: changes, isStale: false })
        return null
      }
    })
  }

  /** Records a failed read; returns the delay until the next one. */
  #onReadFailed (failure: StoreFailure): Millis {
    this.#failuresCount += 1
    const wasFullRead = this.#needsFullRead
    // Other failures say nothing of the changes that were asked for, so the same ones are asked for again.
    this.#needsFullRead ||= needsFullReadAfter(failure)
    if (!this.#isStoreLost) {
      this.#isStoreLost = true
      this.#options.log.event('store_lost', { kind: failure.kind, detail: failure.detail })
    }
    return this.#retryDelayMs(failure, wasFullRead)
  }

  #onReadSucceeded (): void {
    if (this.#isStoreLost) this.#options.log.event('store_regained', { failures: this.#failuresCount })
    this.#isStoreLost = false
    this.#failuresCount = 0
  }

  #retryDelayMs ({ kind }: StoreFailure, wasFullRead: boolean): Millis {
    const canReadAnew = kind === StoreFailureKind.HistoryGone || (kind === StoreFailureKind.Incomplete && !wasFullRead)
    if (canReadAnew) return 0
    const delayMs = Math.min(RETRY_DELAY_MAX_MS, RETRY_DELAY_FIRST_MS * 2 ** (this.#failuresCount - 1))
    return delayMs * (0.5 + this.#options.random())
  }

  async #delay (delayMs: Millis): Promise<void> {
    await new Promise(resolve => setTimeout(resolve, delayMs))
  }
}
