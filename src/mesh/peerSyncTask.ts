import type { Clock, Millis } from '../clock/clock.js'
import type { ConfigurationDb } from '../core/configuration/configurationDb.js'
import type { DiscoveryDb } from '../core/discovery/discoveryDb.js'
import { discoveryDefinition, type ListChanges } from '../core/discovery/discoveryDefinition.js'
import type { ListedChange, ListedServer } from '../core/discovery/discoveryTypes.js'
import { decodeNotice, encodeNotice, type Notice, type SuspectFingerprint } from './notices.js'
import type { NodeLog } from './nodeLog.js'

/** Assumed time of a notice on one connection, which its age does not include. */
const NOTICE_TRANSIT_MS: Millis = 20
/** Least time between two requests to peers for missing data. */
const PULL_INTERVAL_MIN_MS: Millis = 200

export interface PeerSyncTaskOptions {
  readonly clock: Clock
  readonly log: NodeLog
  readonly discovery: DiscoveryDb
  readonly configuration: ConfigurationDb
  /** The configuration in force as text, or empty. */
  readonly configurationText: () => string
  readonly sendTo: (ip: string, text: string) => void
  readonly sendToAll: (text: string) => void
  readonly onChanges: (changes: ListChanges, readAtMs: Millis) => void
  readonly onSnapshot: (revision: number, servers: readonly ListedServer[], readAtMs: Millis) => void
  readonly onConfiguration: (text: string, fromIp: string) => void
  readonly onLeaving: (ip: string) => void
  readonly onStarted: (ip: string) => void
  readonly onCrashSuspects: (fingerprints: readonly SuspectFingerprint[]) => void
}

/** Exchanges the server list and configuration with other nodes: broadcasts what was read, pulls what is missing. */
export class PeerSyncTask {
  readonly #options: PeerSyncTaskOptions
  #lastPullAtMs: Millis = -Infinity
  /** Revisions of the nodes that want newer changes than this node has. */
  readonly #waitingPeers = new Map<string, number>()

  constructor (options: PeerSyncTaskOptions) {
    this.#options = options
  }

  /** Sends the changes of a read of the store to all nodes. */
  broadcastChanges (changes: readonly ListedChange[], afterRevision: number, readAtMs: Millis): void {
    this.#options.sendToAll(this.#encodePublished(changes, afterRevision, readAtMs))
  }

  /** Sends the list to the nodes that asked for newer changes than this node had. */
  answerWaitingPeers (): void {
    const { revision } = this.#options.discovery
    if (!this.#isConfirmed) return
    for (const [ip, afterRevision] of this.#waitingPeers) {
      if (afterRevision >= revision) continue
      this.#waitingPeers.delete(ip)
      this.#sendList(ip, afterRevision)
    }
  }

  #encodePublished (changes: readonly ListedChange[], afterRevision: number, readAtMs: Millis): string {
    const { clock, configuration, discovery } = this.#options
    return encodeNotice({
      method: 'published',
      revision: discovery.revision,
      afterRevision,
      ageMs: Math.round(clock.monotonicMs() - readAtMs),
      configurationVersion: configuration.current?.version ?? 0,
      changes
    })
  }

  broadcastConfiguration (): void {
    const text = this.#options.configurationText()
    if (text !== '') this.#options.sendToAll(encodeNotice({ method: 'configuration', text }))
  }

  /** Sends this node's revision and configuration version to a node that has just connected, so that it can pull. */
  announceTo (ip: string): void {
    const { discovery, sendTo } = this.#options
    if (this.#isConfirmed) sendTo(ip, this.#encodePublished([], discovery.revision, discovery.newestReadAtMs))
  }

  /** Whether the list is from a read that was not stale. */
  get #isConfirmed (): boolean {
    return this.#options.discovery.newestReadAtMs > -Infinity
  }

  /** Handles a notice that arrived over `hopsCount` connections, the last one of them from `fromIp`. */
  receiveNotice (text: string, fromIp: string, hopsCount: number): void {
    decodeNotice(text).caseOf({
      Left: reason => this.#options.log.event('notice_refused', { peer: fromIp, reason }),
      Right: notice => this.#handleNotice(notice, fromIp, hopsCount)
    })
  }

  #handleNotice (notice: Notice, fromIp: string, hopsCount: number): void {
    const { clock, discovery } = this.#options
    const sentAtMs = clock.monotonicMs() - hopsCount * NOTICE_TRANSIT_MS
    switch (notice.method) {
      case 'published': return this.#handlePublished(notice, fromIp, sentAtMs)
      case 'want':
        if (notice.list) this.#answerWant(fromIp, notice.afterRevision)
        if (notice.configuration) {
          this.#options.sendTo(fromIp, encodeNotice({
            method: 'configuration', text: this.#options.configurationText()
          }))
        }
        return
      case 'snapshot':
        if (notice.revision >= discovery.revision) {
          this.#options.onSnapshot(notice.revision, notice.servers, sentAtMs - notice.ageMs)
        }
        return
      case 'configuration':
        if (notice.text !== '') this.#options.onConfiguration(notice.text, fromIp)
        return
      case 'leaving': return this.#options.onLeaving(notice.ip)
      case 'started': return this.#options.onStarted(notice.ip)
      case 'crash_suspects': return this.#options.onCrashSuspects(notice.fingerprints)
    }
  }

  /** Sends the list, or remembers that the peer wants it as soon as this node has a newer one. */
  #answerWant (fromIp: string, afterRevision: number): void {
    if (this.#isConfirmed && afterRevision < this.#options.discovery.revision) this.#sendList(fromIp, afterRevision)
    else this.#waitingPeers.set(fromIp, afterRevision)
  }

  #handlePublished (notice: Extract<Notice, { method: 'published' }>, fromIp: string, sentAtMs: Millis): void {
    const { configuration, discovery } = this.#options
    const lacksList = !discoveryDefinition.hasNoRevisionGap(discovery, notice)
    const lacksConfiguration = (configuration.current?.version ?? 0) < notice.configurationVersion
    if (lacksList || lacksConfiguration) this.#pullMissing(fromIp, lacksList, lacksConfiguration)
    if (!lacksList) this.#options.onChanges(notice, sentAtMs - notice.ageMs)
  }

  /** Requests the server list or the configuration from a peer that has newer ones. */
  #pullMissing (fromIp: string, list: boolean, configuration: boolean): void {
    const nowMs = this.#options.clock.monotonicMs()
    if (nowMs - this.#lastPullAtMs < PULL_INTERVAL_MIN_MS) return
    this.#lastPullAtMs = nowMs
    this.#options.sendTo(fromIp, encodeNotice({
      method: 'want', list, afterRevision: this.#options.discovery.revision, configuration
    }))
  }

  /** Sends the changes after a revision, or the full list if they are no longer known. */
  #sendList (ip: string, afterRevision: number): void {
    const { clock, discovery, sendTo } = this.#options
    if (!this.#isConfirmed) return
    const changes = discoveryDefinition.changesAfter(discovery, afterRevision)
    if (changes !== null) {
      sendTo(ip, this.#encodePublished(changes, afterRevision, discovery.newestReadAtMs))
      return
    }
    const { revision, servers } = discoveryDefinition.currentSnapshot(discovery)
    const ageMs = Math.round(clock.monotonicMs() - discovery.newestReadAtMs)
    sendTo(ip, encodeNotice({ method: 'snapshot', revision, ageMs, servers }))
  }
}
