import type { Millis } from '../clock/clock.js'
import type { PollRequest, PublishedValue } from '../core/documents/documentsTypes.js'
import type { Place, SoakNetwork } from './soakNetwork.js'
import type { SoakWorld } from './soakWorld.js'

const READ_TIMEOUT_MS: Millis = 2_000

export enum PlatformMode {
  Up = 'up',
  Down = 'down',
  Stale = 'stale',
  Older = 'older'
}

/** The configuration service: revisions of each key, which it may withhold or serve out of order. */
export class SoakPlatform implements Place {
  readonly dataCentre = 'platform'
  readonly placeId = 'platform'
  readonly #world: SoakWorld
  readonly #network: SoakNetwork
  readonly #values = new Map<string, PublishedValue[]>()
  readonly #staleCounts = new Map<string, number>()
  mode = PlatformMode.Up
  readsCount = 0

  constructor (world: SoakWorld, network: SoakNetwork) {
    this.#world = world
    this.#network = network
  }

  publish (key: string, text: string): void {
    const known = this.#values.get(key) ?? []
    this.#values.set(key, [...known.slice(-20), { key, revision: (known.at(-1)?.revision ?? 0) + 1, text }])
  }

  newest (key: string): PublishedValue | undefined {
    return this.#values.get(key)?.at(-1)
  }

  setMode (mode: PlatformMode): void {
    this.mode = mode
    this.#staleCounts.clear()
    for (const [key, values] of this.#values) this.#staleCounts.set(key, values.at(-1)?.revision ?? 0)
  }

  /** Answers a conditional read with a value, `unchanged`, or null for none. */
  read (from: Place, poll: PollRequest, onAnswer: (value: PublishedValue | 'unchanged' | null) => void): void {
    this.readsCount += 1
    if (this.mode === PlatformMode.Down || this.#network.isCut(from, this)) {
      this.#world.after(READ_TIMEOUT_MS, () => onAnswer(null))
      return
    }
    const value = this.#served(poll.key)
    const isNews = value !== undefined && (value.revision > poll.afterRevision || this.mode === PlatformMode.Older)
    this.#world.after(this.#world.between(1, 8), () => onAnswer(isNews ? value : 'unchanged'))
  }

  #served (key: string): PublishedValue | undefined {
    const values = this.#values.get(key)
    if (values === undefined) return undefined
    switch (this.mode) {
      case PlatformMode.Stale: {
        const bound = this.#staleCounts.get(key) ?? 0
        return values.filter(value => value.revision <= bound).at(-1)
      }
      case PlatformMode.Older: return this.#world.pick(values)
      default: return values.at(-1)
    }
  }
}
