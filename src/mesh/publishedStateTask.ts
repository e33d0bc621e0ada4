import type { Clock, Millis } from '../clock/clock.js'
import type { ConfigurationDb } from '../core/configuration/configurationDb.js'
import { configurationDefinition } from '../core/configuration/configurationDefinition.js'
import type { Configuration } from '../core/configuration/configurationTypes.js'
import { findUnrecognizedKinds } from '../core/configuration/requestKind.js'
import type { RandomSource } from '../core/coreTypes.js'
import type { DiscoveryDb } from '../core/discovery/discoveryDb.js'
import { discoveryDefinition } from '../core/discovery/discoveryDefinition.js'
import { ListSource, type ListEvent, type ListSnapshot } from '../core/discovery/discoveryTypes.js'
import { readAfterMs, watchWaitMs, type ReaderLocation } from '../core/discovery/readSchedule.js'
import type { Fingerprint } from '../core/retry/retryTypes.js'
import type { ConfigurationProofTask } from './configurationProofTask.js'
import type { QuarantineHint } from './crashGuard.js'
import type { NodeLog } from './nodeLog.js'
import type { AllotmentNotice } from './notices.js'
import type {
  PlatformStore, PublishedChanges, PublishedConfiguration, PublishedState, RefusedValue
} from './platformStore.js'
import { PeerSyncTask } from './peerSyncTask.js'
import { StoreTask } from './storeTask.js'

/** Limit on the refused values that are remembered so that each is logged only once. */
const REFUSED_VALUES_MAX_COUNT = 1_000
/** Lines about refused values of one read; others are counted, since a writer can leave thousands. */
const REFUSED_LINES_MAX_COUNT = 20

export interface PublishedStateTaskOptions {
  readonly clock: Clock
  readonly random: RandomSource
  readonly log: NodeLog
  readonly store: PlatformStore
  readonly ownLocation: ReaderLocation
  readonly configuration: ConfigurationDb
  readonly discovery: DiscoveryDb
  /** Null where keys are accepted without a proof of the configuration's age. */
  readonly proof: ConfigurationProofTask | null
  readonly sendTo: (ip: string, text: string) => void
  readonly sendToAll: (text: string) => void
  readonly onConfiguration: (configuration: Configuration) => void
  readonly onListEvents: (events: readonly ListEvent[]) => void
  readonly onAllotment: (notice: AllotmentNotice, fromIp: string) => void
  readonly onLeaving: (ip: string) => void
  readonly onStarted: (ip: string) => void
  readonly onCrashSuspects: (fingerprints: readonly Fingerprint[]) => void
  readonly onQuarantined: (hints: readonly QuarantineHint[]) => void
}

/** Keeps the server list and configuration up to date, from the store if this node is the reader, else from peers. */
export class PublishedStateTask {
  readonly #options: PublishedStateTaskOptions
  readonly #storeTask: StoreTask
  readonly #peerSync: PeerSyncTask
  /** Reasons by key. An entry that is written again and again is logged once. */
  readonly #refusedReasons = new Map<string, string>()
  #configurationText = ''
  #readAfterMs: Millis

  constructor (options: PublishedStateTaskOptions) {
    this.#options = options
    const { clock, random, log, store, configuration, discovery, proof } = options
    this.#readAfterMs = readAfterMs(options.ownLocation, [])
    this.#storeTask = new StoreTask({
      clock,
      random,
      log,
      store,
      newestReadAtMs: () => discovery.newestReadAtMs,
      readAfterMs: () => this.#readAfterMs,
      watchWaitMs: () => watchWaitMs(
        clock.monotonicMs() - discovery.newestReadAtMs, discoveryDefinition.usedServersCount(discovery)
      ),
      revision: () => discovery.revision,
      era: () => discovery.era,
      proof,
      onConfiguration: (published, isStale) => this.#applyEarlyConfiguration(published, isStale),
      onState: (state, readAtMs) => this.#applyState(state, readAtMs),
      onChanges: (changes, readAtMs) => this.#applyChanges(changes, readAtMs)
    })
    this.#peerSync = new PeerSyncTask({
      clock,
      log,
      discovery,
      configuration,
      proof,
      configurationText: () => this.#configurationText,
      sendTo: options.sendTo,
      sendToAll: options.sendToAll,
      onChanges: (changes, readAtMs) => this.#onListUpdated(
        discoveryDefinition.applyChanges(discovery, changes, readAtMs)
      ),
      onSnapshot: (snapshot, readAtMs) => {
        this.#onListUpdated(this.#applySnapshot(snapshot, ListSource.Peer, readAtMs))
      },
      onConfiguration: (text, fromIp) => this.#applyPeerConfiguration(text, fromIp),
      onAllotment: options.onAllotment,
      onLeaving: options.onLeaving,
      onStarted: options.onStarted,
      onCrashSuspects: fingerprints => options.onCrashSuspects(fingerprints),
      onQuarantined: options.onQuarantined
    })
  }

  start (): void {
    this.#storeTask.start()
  }

  stop (): void {
    this.#storeTask.stop()
  }

  /** Handles a notice of another node that arrived over `hopsCount` connections. */
  receiveNotice (text: string, fromIp: string, hopsCount: number): void {
    this.#peerSync.receiveNotice(text, fromIp, hopsCount)
  }

  /** Tells a node that has just connected which revision and configuration version this node has. */
  announceTo (ip: string): void {
    this.#peerSync.announceTo(ip)
  }

  /**
   * Ends the time for which lapsed entries are kept and doubtful ones held back after an outage of the store, and
   * tells nodes that may not have noticed the outage.
   */
  expireGraces (): void {
    const { clock, discovery } = this.#options
    const events = discoveryDefinition.expireGraces(discovery, clock.monotonicMs())
    this.#onListUpdated(events)
    if (events.length > 0) this.#broadcastUpdate(false, events, discovery.revision, discovery.newestReadAtMs)
  }

  /**
   * Recomputes the list age at which this node reads the store, and reports the changes that affect routing, if there
   * are any.
   */
  #onListUpdated (events: readonly ListEvent[]): void {
    this.#peerSync.answerWaitingPeers()
    const usedEvents = events.filter(discoveryDefinition.affectsRouting)
    if (usedEvents.length === 0) return
    const { discovery, ownLocation } = this.#options
    this.#readAfterMs = readAfterMs(ownLocation, discoveryDefinition.usedServers(discovery))
    this.#options.onListEvents(usedEvents)
  }

  /** Applies a configuration whose servers are still being read, and passes it on unless it may be stale. */
  #applyEarlyConfiguration ({ configuration, text }: PublishedConfiguration, isStale: boolean): void {
    const isNew = this.#applyConfiguration(configuration, text, 'store')
    if (isNew && !isStale) this.#peerSync.broadcastConfiguration()
  }

  #applyState (state: PublishedState, readAtMs: Millis): void {
    const { discovery } = this.#options
    this.#logRefused(state.refused)
    const isNewConfiguration = this.#applyConfiguration(state.configuration, state.configurationText, 'store')
    const afterRevision = discovery.revision
    const refusedServerIds = state.refused.map(({ serverId }) => serverId)
    const eraBefore = discovery.era
    const events = this.#applySnapshot(state, ListSource.Store, readAtMs, refusedServerIds)
    this.#onListUpdated(events)
    // What may be stale is of no use to other nodes, which may all have started at the same time.
    if (readAtMs === -Infinity) return
    if (eraBefore >= 0 && eraBefore !== discovery.era) {
      if (isNewConfiguration) this.#peerSync.broadcastConfiguration()
      this.#peerSync.broadcastSnapshot()
    } else this.#broadcastUpdate(isNewConfiguration, events, afterRevision, readAtMs)
  }

  #applyChanges (changes: PublishedChanges, readAtMs: Millis): void {
    const { discovery } = this.#options
    this.#logRefused(changes.refused)
    const isNewConfiguration = this.#applyConfiguration(changes.configuration, changes.configurationText, 'store')
    const afterRevision = discovery.revision
    const events = discoveryDefinition.applyChanges(discovery, changes, readAtMs)
    this.#onListUpdated(events)
    this.#broadcastUpdate(isNewConfiguration, events, afterRevision, readAtMs)
  }

  #broadcastUpdate (
    hasNewConfiguration: boolean, events: readonly ListEvent[], afterRevision: number, readAtMs: Millis
  ): void {
    if (hasNewConfiguration) this.#peerSync.broadcastConfiguration()
    this.#peerSync.broadcastChanges(events.map(discoveryDefinition.toListedChange), afterRevision, readAtMs)
  }

  #applyPeerConfiguration (text: string, fromIp: string): void {
    this.#options.store.decodeConfiguration(text).caseOf({
      Left: reason => this.#options.log.event('configuration_refused', { peer: fromIp, reason }),
      Right: configuration => { this.#applyConfiguration(configuration, text, fromIp) }
    })
  }

  /** Puts a configuration into force if it is newer; returns whether it was. */
  #applyConfiguration (configuration: Configuration | null, text: string, source: string): boolean {
    if (configuration === null) return false
    const { clock, log } = this.#options
    const result = configurationDefinition.activateIfNewer(
      this.#options.configuration, configuration, clock.monotonicMs()
    )
    if (result.kind === 'not_newer') return false
    this.#configurationText = text
    this.#options.onConfiguration(configuration)
    const { discovery } = this.#options
    this.#onListUpdated(discoveryDefinition.setKnownServices(discovery, new Set(configuration.services.keys())))
    this.#options.proof?.recordVersion()
    log.event('configuration_in_force', {
      version: result.version,
      replaced: result.replacedVersion,
      routes: configuration.routes.length,
      workspaces: configuration.workspaces.size,
      source
    })
    for (const { routeName, value, remedy } of findUnrecognizedKinds(configuration.routes)) {
      log.event('request_kind_unrecognized', { route: routeName, value, remedy })
    }
    return true
  }

  #applySnapshot (
    snapshot: ListSnapshot, source: ListSource, readAtMs: Millis, keptIds: readonly string[] = []
  ): ListEvent[] {
    const { discovery, log } = this.#options
    const before = { era: discovery.era, revision: discovery.revision }
    const events = discoveryDefinition.applySnapshot(discovery, snapshot, source, readAtMs, keptIds)
    const fields = {
      source, era: snapshot.era, before: before.era, revision: snapshot.revision, known_revision: before.revision
    }
    if (discovery.era !== snapshot.era || discovery.revision > snapshot.revision) log.event('list_copy_ignored', fields)
    else if (before.era !== snapshot.era) {
      this.#refusedReasons.clear()
      log.event('store_era', { ...fields, held_back: discovery.heldBack.size, lapsed: discovery.lapsedKeptUntilMs.size })
    }
    return events
  }

  #logRefused (refused: readonly RefusedValue[]): void {
    let linesCount = 0
    for (const { key, revision, reason } of refused) {
      if (this.#refusedReasons.get(key) === reason) continue
      this.#refusedReasons.set(key, reason)
      if (this.#refusedReasons.size > REFUSED_VALUES_MAX_COUNT) {
        this.#refusedReasons.delete(this.#refusedReasons.keys().next().value!)
      }
      linesCount += 1
      if (linesCount <= REFUSED_LINES_MAX_COUNT) this.#options.log.event('published_value_refused', { key, revision, reason })
    }
    if (linesCount <= REFUSED_LINES_MAX_COUNT) return
    this.#options.log.event('published_values_omitted', { count: linesCount - REFUSED_LINES_MAX_COUNT })
  }
}
