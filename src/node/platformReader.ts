import type { Millis } from '../clock/clock.js'
import type { PollRequest, PublishedValue } from '../core/documents/documentsTypes.js'
import { assertNever, Step, StepError } from '../errors/errors.js'
import type { ControlBytes } from './controlBytes.js'
import { ValueClient } from './valueClient.js'

export interface PlatformReaderOptions {
  /** Address of the configuration service, such as `http://10.0.0.2:8500`. */
  readonly platformUrl: string
  readonly timeoutMs: Millis
  readonly timerPeriodMs: Millis
  readonly inFlightMaxCount: number
  readonly duePolls: () => readonly PollRequest[]
  readonly onValue: (value: PublishedValue) => void
  /** Called once for each poll, after `onValue`. `answered` is false for an error and for an older value. */
  readonly onResult: (key: string, answered: boolean) => void
  readonly onError: (error: StepError) => void
}

export const PLATFORM_READER_DEFAULTS = { timeoutMs: 2_000, timerPeriodMs: 100, inFlightMaxCount: 32 } as const

export interface PlatformReaderCounters {
  readsCount: number
  newerValuesCount: number
  olderValuesCount: number
  failedReadsCount: number
}

export interface PlatformReader {
  start (): void
  stop (): Promise<void>
  counters (): Readonly<PlatformReaderCounters>
  bytes (): Readonly<ControlBytes>
}

class HttpPlatformReader implements PlatformReader {
  readonly #options: PlatformReaderOptions
  readonly #client: ValueClient
  readonly #baseUrl: string
  /** At most one entry for each key, so that the queue stays bounded when the platform is slow. */
  readonly #pendingPolls = new Map<string, PollRequest>()
  readonly #runningReads = new Set<Promise<void>>()
  readonly #counters: PlatformReaderCounters = {
    readsCount: 0, newerValuesCount: 0, olderValuesCount: 0, failedReadsCount: 0
  }

  #timer: NodeJS.Timeout | null = null

  constructor (options: PlatformReaderOptions) {
    this.#options = options
    this.#baseUrl = `${options.platformUrl.replace(/\/$/, '')}/v1/values/`
    this.#client = new ValueClient({
      timeoutMs: options.timeoutMs, connectionsPerPeerCount: options.inFlightMaxCount, keepAlive: true
    })
  }

  start (): void {
    this.#timer ??= setInterval(() => { this.#startDueReads() }, this.#options.timerPeriodMs)
  }

  async stop (): Promise<void> {
    if (this.#timer !== null) clearInterval(this.#timer)
    this.#timer = null
    this.#pendingPolls.clear()
    this.#client.close()
    await Promise.all(this.#runningReads)
  }

  counters (): Readonly<PlatformReaderCounters> {
    return this.#counters
  }

  bytes (): Readonly<ControlBytes> {
    return this.#client.bytes
  }

  #startDueReads (): void {
    for (const poll of this.#options.duePolls()) this.#pendingPolls.set(poll.key, poll)
    for (const [key, poll] of this.#pendingPolls) {
      if (this.#runningReads.size >= this.#options.inFlightMaxCount) return
      this.#pendingPolls.delete(key)
      const read = this.#readValue(poll).finally(() => this.#runningReads.delete(read))
      this.#runningReads.add(read)
    }
  }

  async #readValue (poll: PollRequest): Promise<void> {
    this.#counters.readsCount += 1
    const answer = await this.#client.read({ ...poll, baseUrl: this.#baseUrl, step: Step.ReadPlatform })
    if (this.#timer === null) return
    answer.caseOf({
      Left: error => {
        this.#counters.failedReadsCount += 1
        this.#options.onError(error)
        this.#options.onResult(poll.key, false)
      },
      Right: found => {
        switch (found.kind) {
          case 'newer':
            this.#counters.newerValuesCount += 1
            this.#options.onValue(found.value)
            return this.#options.onResult(poll.key, true)
          case 'unchanged': return this.#options.onResult(poll.key, true)
          case 'older':
            this.#counters.olderValuesCount += 1
            return this.#options.onResult(poll.key, false)
          default: return assertNever(found)
        }
      }
    })
  }
}

/**
 * Creates the task that sends due conditional reads to the configuration
 * service. It owns its connections.
 *
 * @example
 * createPlatformReader({ ...PLATFORM_READER_DEFAULTS, platformUrl, duePolls, onValue, onResult, onError }).start()
 */
export function createPlatformReader (options: PlatformReaderOptions): PlatformReader {
  return new HttpPlatformReader(options)
}
