import type { Millis } from '../clock/clock.js'
import type { PollRequest, PublishedValue } from '../core/documents/documentsTypes.js'
import type { NetworkEndpoint, SoakNetwork } from './soakNetwork.js'
import type { SoakSimulation } from './soakSimulation.js'

const READ_TIMEOUT_MS: Millis = 2_000

export enum PlatformMode {
  Up = 'up',
  Down = 'down',
  Stale = 'stale',
  Older = 'older'
}

/** Simulated configuration service: keeps revisions of each key; can be down, or serve stale or random older ones. */
export class SoakPlatform implements NetworkEndpoint {
  readonly dataCentre = 'platform'
  readonly endpointId = 'platform'
  readonly #simulation: SoakSimulation
  readonly #network: SoakNetwork
  readonly #values = new Map<string, PublishedValue[]>()
  readonly #staleRevisions = new Map<string, number>()
  mode = PlatformMode.Up
  readsCount = 0

  constructor (simulation: SoakSimulation, network: SoakNetwork) {
    this.#simulation = simulation
    this.#network = network
  }

  publish (key: string, text: string): void {
    const known = this.#values.get(key) ?? []
    this.#values.set(key, [...known.slice(-20), { key, revision: (known.at(-1)?.revision ?? 0) + 1, text }])
  }

  newestValue (key: string): PublishedValue | undefined {
    return this.#values.get(key)?.at(-1)
  }

  setMode (mode: PlatformMode): void {
    this.mode = mode
    this.#staleRevisions.clear()
    for (const [key, values] of this.#values) this.#staleRevisions.set(key, values.at(-1)?.revision ?? 0)
  }

  /** Answers a conditional read with a value, with `unchanged`, or with null if there was no answer. */
  read (from: NetworkEndpoint, poll: PollRequest, onAnswer: (value: PublishedValue | 'unchanged' | null) => void): void {
    this.readsCount += 1
    if (this.mode === PlatformMode.Down || this.#network.isCut(from, this)) {
      this.#simulation.schedule(READ_TIMEOUT_MS, () => onAnswer(null))
      return
    }
    const value = this.#servedValue(poll.key)
    const shouldReturnValue = value !== undefined &&
      (value.revision > poll.afterRevision || this.mode === PlatformMode.Older)
    this.#simulation.schedule(this.#simulation.randomBetween(1, 8), () => onAnswer(shouldReturnValue ? value : 'unchanged'))
  }

  #servedValue (key: string): PublishedValue | undefined {
    const values = this.#values.get(key)
    if (values === undefined) return undefined
    switch (this.mode) {
      case PlatformMode.Stale: {
        const bound = this.#staleRevisions.get(key) ?? 0
        return values.filter(value => value.revision <= bound).at(-1)
      }
      case PlatformMode.Older: return this.#simulation.pickRandom(values)
      default: return values.at(-1)
    }
  }
}
