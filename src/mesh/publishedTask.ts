import type { Clock, Millis } from '../clock/clock.js'
import type { ConfigurationDb } from '../core/configuration/configurationDb.js'
import { configurationDefinition } from '../core/configuration/configurationDefinition.js'
import type { Configuration } from '../core/configuration/configurationTypes.js'
import type { RandomSource } from '../core/coreTypes.js'
import type { DiscoveryDb } from '../core/discovery/discoveryDb.js'
import { discoveryDefinition } from '../core/discovery/discoveryDefinition.js'
import type { ListedChange, ListEvent } from '../core/discovery/discoveryTypes.js'
import { readAfterMs, watchWaitMs, type ReaderPlace } from '../core/discovery/readPlan.js'
import type { Fingerprint } from '../core/retry/retryTypes.js'
import type { NodeLog } from './nodeLog.js'
import type { PlatformStore, PublishedChanges, PublishedState, RefusedValue } from './platformStore.js'
import { SpreadTask } from './spreadTask.js'
import { StoreTask } from './storeTask.js'

/** Refused values remembered, so that each is logged once and not at each read. */
const REFUSED_MAX_COUNT = 1_000

export interface PublishedTaskOptions {
  readonly clock: Clock
  readonly random: RandomSource
  readonly log: NodeLog
  readonly store: PlatformStore
  readonly own: ReaderPlace
  readonly configuration: ConfigurationDb
  readonly discovery: DiscoveryDb
  readonly sendTo: (ip: string, text: string) => void
  readonly sendToAll: (text: string) => void
  readonly onEvents: (events: readonly ListEvent[]) => void
  readonly onLeaving: (ip: string) => void
  readonly onCrashSuspects: (fingerprints: readonly Fingerprint[]) => void
}

/** The task that keeps what the platform publishes: from the store when it is this node's turn, else from peers. */
export class PublishedTask {
  readonly #options: PublishedTaskOptions
  readonly #storeTask: StoreTask
  readonly #spread: SpreadTask
  readonly #refusedRevisions = new Map<string, number>()
  #configurationText = ''
  #readAfterMs: Millis

  constructor (options: PublishedTaskOptions) {
    this.#options = options
    const { clock, random, log, store, configuration, discovery } = options
    this.#readAfterMs = readAfterMs(options.own, [])
    this.#storeTask = new StoreTask({
      clock,
      random,
      log,
      store,
      freshAtMs: () => discovery.freshAtMs,
      readAfterMs: () => this.#readAfterMs,
      watchWaitMs: () => watchWaitMs(clock.monotonicMs() - discovery.freshAtMs, discovery.servers.size),
      revision: () => discovery.revision,
      onState: (state, readAtMs) => this.#takeState(state, readAtMs),
      onChanges: (changes, readAtMs) => this.#takeRead(changes, readAtMs)
    })
    this.#spread = new SpreadTask({
      clock,
      log,
      discovery,
      configuration,
      configurationText: () => this.#configurationText,
      sendTo: options.sendTo,
      sendToAll: options.sendToAll,
      onChanges: (changes, readAtMs) => this.#apply(discoveryDefinition.takeChanges(discovery, changes, readAtMs)),
      onSnapshot: (revision, servers, readAtMs) => {
        this.#apply(discoveryDefinition.takeSnapshot(discovery, { revision, servers }, readAtMs))
      },
      onConfiguration: (text, fromIp) => this.#takePeerConfiguration(text, fromIp),
      onLeaving: options.onLeaving,
      onCrashSuspects: fingerprints => options.onCrashSuspects(fingerprints)
    })
  }

  start (): void {
    this.#storeTask.start()
  }

  stop (): void {
    this.#storeTask.stop()
  }

  /** Takes a notice of another node. */
  receive (text: string, fromIp: string): void {
    this.#spread.receive(text, fromIp)
  }

  /** Tells a node that has just connected how far this one is. */
  greet (ip: string): void {
    this.#spread.greet(ip)
  }

  /** Drops servers whose entries lapsed in an outage, and tells the nodes that may not have seen the outage. */
  sweep (): void {
    const { clock, discovery } = this.#options
    const events = discoveryDefinition.expireLapsed(discovery, clock.monotonicMs())
    this.#apply(events)
    if (events.length > 0) this.#tell(false, events, discovery.revision, discovery.freshAtMs)
  }

  #apply (events: readonly ListEvent[]): void {
    if (events.length === 0) return
    this.#readAfterMs = readAfterMs(this.#options.own, this.#options.discovery.servers.values())
    this.#options.onEvents(events)
  }

  #takeState (state: PublishedState, readAtMs: Millis): void {
    const { discovery } = this.#options
    this.#logRefused(state.refused)
    const isNew = this.#takeConfiguration(state.configuration, state.configurationText, 'store')
    const afterRevision = discovery.revision
    const keptIds = state.refused.map(({ serverId }) => serverId)
    const events = discoveryDefinition.takeSnapshot(discovery, state, readAtMs, keptIds)
    this.#apply(events)
    this.#tell(isNew, events, afterRevision, readAtMs)
  }

  #takeRead (read: PublishedChanges, readAtMs: Millis): void {
    const { discovery } = this.#options
    this.#logRefused(read.refused)
    const isNew = this.#takeConfiguration(read.configuration, read.configurationText, 'store')
    const afterRevision = discovery.revision
    const events = discoveryDefinition.takeChanges(discovery, read, readAtMs)
    this.#apply(events)
    this.#tell(isNew, events, afterRevision, readAtMs)
  }

  #tell (hasNewConfiguration: boolean, events: readonly ListEvent[], afterRevision: number, readAtMs: Millis): void {
    if (hasNewConfiguration) this.#spread.tellConfiguration()
    this.#spread.tell(events.map(changeOf), afterRevision, readAtMs)
  }

  #takePeerConfiguration (text: string, fromIp: string): void {
    this.#options.store.decodeConfiguration(text).caseOf({
      Left: reason => this.#options.log.event('configuration_refused', { peer: fromIp, reason }),
      Right: configuration => { this.#takeConfiguration(configuration, text, fromIp) }
    })
  }

  #takeConfiguration (configuration: Configuration | null, text: string, source: string): boolean {
    if (configuration === null) return false
    const { clock, log } = this.#options
    const result = configurationDefinition.offer(this.#options.configuration, configuration, clock.monotonicMs())
    if (result.kind === 'not_newer') return false
    this.#configurationText = text
    log.event('configuration_in_force', {
      version: result.version, replaced: result.replacedVersion, routes: configuration.routes.length, source
    })
    return true
  }

  #logRefused (refused: readonly RefusedValue[]): void {
    for (const { key, revision, reason } of refused) {
      if (this.#refusedRevisions.get(key) === revision) continue
      this.#refusedRevisions.set(key, revision)
      if (this.#refusedRevisions.size > REFUSED_MAX_COUNT) {
        this.#refusedRevisions.delete(this.#refusedRevisions.keys().next().value!)
      }
      this.#options.log.event('published_value_refused', { key, revision, reason })
    }
  }
}

function changeOf (event: ListEvent): ListedChange {
  return event.kind === 'left'
    ? { kind: 'removed', serverId: event.server.serverId, revision: event.revision }
    : { kind: 'written', server: event.server }
}
