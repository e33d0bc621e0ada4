import type { Either } from 'purify-ts'
import { KEYS_MAX_COUNT } from '../core/documents/documentsDb.js'
import { isNewer } from '../core/documents/documentsDetector.js'
import type { OfferResult, ValueSummary, PublishedValue } from '../core/documents/documentsTypes.js'
import { assertNever, type StepError } from '../errors/errors.js'
import type { ValueAnswer } from './valueClient.js'

/** Sources remembered for one key; more would only be asked after all of these failed. */
const SOURCES_MAX_COUNT = 4

export interface SpreadPullsOptions {
  readonly inFlightMaxCount: number
  readonly missing: (marks: readonly ValueSummary[]) => ValueSummary[]
  readonly pull: (callAddress: string, key: string) => Promise<Either<StepError, ValueAnswer>>
  readonly offer: (value: PublishedValue) => OfferResult
  readonly onNews: (key: string) => void
  readonly onError: (error: StepError) => void
}

interface Wanted {
  mark: ValueSummary
  readonly sources: string[]
}

function hasRoomFor (wanted: Wanted, callAddress: string): boolean {
  return wanted.sources.length < SOURCES_MAX_COUNT && !wanted.sources.includes(callAddress)
}

/** Pulls values that peers announced, one at a time for each key. */
export class SpreadPulls {
  readonly #options: SpreadPullsOptions
  readonly #wanted = new Map<string, Wanted>()
  readonly #running = new Set<string>()
  #stopped = false

  constructor (options: SpreadPullsOptions) {
    this.#options = options
  }

  /** Keys that are still to be pulled. */
  get pendingCount (): number {
    return this.#wanted.size + this.#running.size
  }

  /** Takes the marks of a peer and pulls those that this node lacks. */
  want (marks: readonly ValueSummary[], callAddress: string): void {
    for (const mark of this.#options.missing(marks)) {
      const wanted = this.#wanted.get(mark.key)
      if (wanted === undefined ? this.#wanted.size < KEYS_MAX_COUNT : isNewer(mark, wanted.mark)) {
        this.#wanted.set(mark.key, { mark, sources: [callAddress] })
      } else if (wanted !== undefined && hasRoomFor(wanted, callAddress)) {
        wanted.sources.push(callAddress)
      }
    }
    this.#next()
  }

  stop (): void {
    this.#stopped = true
    this.#wanted.clear()
  }

  #next (): void {
    for (const [key, wanted] of this.#wanted) {
      if (this.#stopped || this.#running.size >= this.#options.inFlightMaxCount) return
      if (this.#running.has(key)) continue
      const source = wanted.sources.shift()
      const isMissing = this.#options.missing([wanted.mark]).length > 0
      if (source === undefined || !isMissing) {
        this.#wanted.delete(key)
        continue
      }
      this.#running.add(key)
      this.#pull(source, key).finally(() => {
        this.#running.delete(key)
        this.#next()
      })
    }
  }

  async #pull (callAddress: string, key: string): Promise<void> {
    const answer = await this.#options.pull(callAddress, key)
    if (this.#stopped) return
    answer.caseOf({
      Left: error => { this.#options.onError(error) },
      Right: found => {
        if (found.kind === 'newer') this.#take(found.value)
      }
    })
  }

  #take (value: PublishedValue): void {
    const result = this.#options.offer(value)
    switch (result.kind) {
      case 'accepted':
      case 'stored':
        return this.#options.onNews(value.key)
      case 'known':
      case 'older':
      case 'rejected':
        return undefined
      default: return assertNever(result)
    }
  }
}
