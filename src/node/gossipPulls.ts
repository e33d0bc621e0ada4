import type { Either } from 'purify-ts'
import { KEYS_MAX_COUNT } from '../core/documents/documentsDb.js'
import { isNewer } from '../core/documents/documentsDetector.js'
import type { OfferResult, ValueSummary, PublishedValue } from '../core/documents/documentsTypes.js'
import { assertNever, type StepError } from '../errors/errors.js'
import type { ValueAnswer } from './valueClient.js'

/** Peers kept as sources of one key; further ones would be tried only after all of these failed. */
const SOURCES_MAX_COUNT = 4

export interface GossipPullsOptions {
  readonly inFlightMaxCount: number
  readonly newerSummaries: (marks: readonly ValueSummary[]) => ValueSummary[]
  readonly pull: (callAddress: string, key: string) => Promise<Either<StepError, ValueAnswer>>
  readonly offer: (value: PublishedValue) => OfferResult
  readonly onAccepted: (key: string) => void
  readonly onError: (error: StepError) => void
}

interface WantedValue {
  summary: ValueSummary
  readonly sources: string[]
}

function canAddSource (wanted: WantedValue, callAddress: string): boolean {
  return wanted.sources.length < SOURCES_MAX_COUNT && !wanted.sources.includes(callAddress)
}

/** Reads values that peers announced, with at most one read in flight for each key. */
export class GossipPulls {
  readonly #options: GossipPullsOptions
  readonly #wanted = new Map<string, WantedValue>()
  readonly #runningKeys = new Set<string>()
  #stopped = false

  constructor (options: GossipPullsOptions) {
    this.#options = options
  }

  /** Number of keys that wait for a read or are being read. */
  get pendingCount (): number {
    return this.#wanted.size + this.#runningKeys.size
  }

  /** Reads the values of a peer's summaries that are newer than the held ones. */
  requestNewer (summaries: readonly ValueSummary[], callAddress: string): void {
    for (const summary of this.#options.newerSummaries(summaries)) {
      const wanted = this.#wanted.get(summary.key)
      if (wanted === undefined ? this.#wanted.size < KEYS_MAX_COUNT : isNewer(summary, wanted.summary)) {
        this.#wanted.set(summary.key, { summary, sources: [callAddress] })
      } else if (wanted !== undefined && canAddSource(wanted, callAddress)) {
        wanted.sources.push(callAddress)
      }
    }
    this.#startPulls()
  }

  stop (): void {
    this.#stopped = true
    this.#wanted.clear()
  }

  #startPulls (): void {
    for (const [key, wanted] of this.#wanted) {
      if (this.#stopped || this.#runningKeys.size >= this.#options.inFlightMaxCount) return
      if (this.#runningKeys.has(key)) continue
      const source = wanted.sources.shift()
      const isMissing = this.#options.newerSummaries([wanted.summary]).length > 0
      if (source === undefined || !isMissing) {
        this.#wanted.delete(key)
        continue
      }
      this.#runningKeys.add(key)
      this.#pullValue(source, key).finally(() => {
        this.#runningKeys.delete(key)
        this.#startPulls()
      })
    }
  }

  async #pullValue (callAddress: string, key: string): Promise<void> {
    const answer = await this.#options.pull(callAddress, key)
    if (this.#stopped) return
    answer.caseOf({
      Left: error => { this.#options.onError(error) },
      Right: found => {
        if (found.kind === 'newer') this.#offerPulledValue(found.value)
      }
    })
  }

  #offerPulledValue (value: PublishedValue): void {
    const result = this.#options.offer(value)
    switch (result.kind) {
      case 'accepted':
      case 'stored':
        return this.#options.onAccepted(value.key)
      case 'known':
      case 'older':
      case 'rejected':
        return undefined
      default: return assertNever(result)
    }
  }
}
