import type { Millis } from '../clock/clock.js'
import type { PollRequest, PublishedValue } from '../core/documents/documentsTypes.js'
import { assertNever, Step, StepError } from '../errors/errors.js'
import type { ControlBytes } from './controlBytes.js'
import { ValueClient } from './valueClient.js'

export interface PlatformReaderOptions {
  /** Address of the configuration service, such as `http://10.0.0.2:8500`. */
  readonly platformUrl: string
  readonly timeoutMs: Millis
  readonly timerMs: Millis
  readonly inFlightMaxCount: number
  readonly duePolls: () => readonly PollRequest[]
  readonly onValue: (value: PublishedValue) => void
  /** Called once for each poll, after `onValue`. An answer with an older value than held does not count as one. */
  readonly onResult: (key: string, answered: boolean) => void
  readonly onError: (error: StepError) => void
}

export const PLATFORM_READER_DEFAULTS = { timeoutMs: 2_000, timerMs: 100, inFlightMaxCount: 32 } as const

export interface PlatformReaderCounters {
  readsCount: number
  newsCount: number
  olderCount: number
  failedCount: number
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
  /** One entry a key: a slow platform must not make the queue grow. */
  readonly #waiting = new Map<string, PollRequest>()
  readonly #running = new Set<Promise<void>>()
  readonly #counters: PlatformReaderCounters = { readsCount: 0, newsCount: 0, olderCount: 0, failedCount: 0 }
  #timer: NodeJS.Timeout | null = null

  constructor (options: PlatformReaderOptions) {
    this.#options = options
    this.#baseUrl = `${options.platformUrl.replace(/\/$/, '')}/v1/values/`
    this.#client = new ValueClient({
      timeoutMs: options.timeoutMs, connectionsPerPeerCount: options.inFlightMaxCount, keepAlive: true
    })
  }

  start (): void {
    this.#timer ??= setInterval(() => { this.#poll() }, this.#options.timerMs)
  }

  async stop (): Promise<void> {
    if (this.#timer !== null) clearInterval(this.#timer)
    this.#timer = null
    this.#waiting.clear()
    this.#client.close()
    await Promise.all(this.#running)
  }

  counters (): Readonly<PlatformReaderCounters> {
    return this.#counters
  }

  bytes (): Readonly<ControlBytes> {
    return this.#client.bytes
  }

  #poll (): void {
    for (const poll of this.#options.duePolls()) this.#waiting.set(poll.key, poll)
    for (const [key, poll] of this.#waiting) {
      if (this.#running.size >= this.#options.inFlightMaxCount) return
      this.#waiting.delete(key)
      const running = this.#read(poll).finally(() => this.#running.delete(running))
      this.#running.add(running)
    }
  }

  async #read (poll: PollRequest): Promise<void> {
    this.#counters.readsCount += 1
    const answer = await this.#client.read({ ...poll, baseUrl: this.#baseUrl, step: Step.ReadPlatform })
    if (this.#timer === null) return
    answer.caseOf({
      Left: error => {
        this.#counters.failedCount += 1
        this.#options.onError(error)
        this.#options.onResult(poll.key, false)
      },
      Right: found => {
        switch (found.kind) {
          case 'newer':
            this.#counters.newsCount += 1
            this.#options.onValue(found.value)
            return this.#options.onResult(poll.key, true)
          case 'unchanged': return this.#options.onResult(poll.key, true)
          case 'older':
            this.#counters.olderCount += 1
            return this.#options.onResult(poll.key, false)
          default: return assertNever(found)
        }
      }
    })
  }
}

/**
 * Opens the task that sends the conditional reads which are due. It owns its
 * connections to the configuration service.
 *
 * @example
 * openPlatformReader({ ...PLATFORM_READER_DEFAULTS, platformUrl, duePolls, onValue, onResult, onError }).start()
 */
export function openPlatformReader (options: PlatformReaderOptions): PlatformReader {
  return new HttpPlatformReader(options)
}
