import type { Clock, Millis } from '../clock/clock.js'
import type { ConfigurationDb } from '../core/configuration/configurationDb.js'
import type { DiscoveryDb } from '../core/discovery/discoveryDb.js'
import { discoveryDefinition, type ListChanges } from '../core/discovery/discoveryDefinition.js'
import type { ListedChange, ListedServer } from '../core/discovery/discoveryTypes.js'
import { decodeNotice, encodeNotice, type Notice, type SuspectFingerprint } from './notices.js'
import type { NodeLog } from './nodeLog.js'

/** Assumed transit time of a notice, which its age does not include. */
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
  readonly onCrashSuspects: (fingerprints: readonly SuspectFingerprint[], fromIp: string) => void
}

/** Exchanges the server list and configuration with other nodes: broadcasts what was read, pulls what is missing. */
export class PeerSyncTask {
  readonly #options: PeerSyncTaskOptions
  #lastPullAtMs: Millis = -Infinity

  constructor (options: PeerSyncTaskOptions) {
    this.#options = options
  }

  /** Sends the changes of a read of the store to all nodes. */
  broadcastChanges (changes: readonly ListedChange[], afterRevision: number, readAtMs: Millis): void {
    this.#options.sendToAll(this.#encodePublished(changes, afterRevision, readAtMs))
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
    if (discovery.revision >= 0) sendTo(ip, this.#encodePublished([], discovery.revision, discovery.newestReadAtMs))
  }

  receiveNotice (text: string, fromIp: string): void {
    decodeNotice(text).caseOf({
      Left: reason => this.#options.log.event('notice_refused', { peer: fromIp, reason }),
      Right: notice => this.#handleNotice(notice, fromIp)
    })
  }

  #handleNotice (notice: Notice, fromIp: string): void {
    const { clock, discovery } = this.#options
    const nowMs = clock.monotonicMs()
    switch (notice.method) {
      case 'published': return this.#handlePublished(notice, fromIp, nowMs)
      case 'want':
        if (notice.list) this.#sendSnapshot(fromIp)
        if (notice.configuration) {
          this.#options.sendTo(fromIp, encodeNotice({
            method: 'configuration', text: this.#options.configurationText()
          }))
        }
        return
      case 'snapshot':
        if (notice.revision >= discovery.revision) {
          this.#options.onSnapshot(notice.revision, notice.servers, nowMs - notice.ageMs - NOTICE_TRANSIT_MS)
        }
        return
      case 'configuration':
        if (notice.text !== '') this.#options.onConfiguration(notice.text, fromIp)
        return
      case 'leaving': return this.#options.onLeaving(fromIp)
      case 'crash_suspects': return this.#options.onCrashSuspects(notice.fingerprints, fromIp)
    }
  }

  #handlePublished (notice: Extract<Notice, { method: 'published' }>, fromIp: string, nowMs: Millis): void {
    const { configuration, discovery } = this.#options
    const lacksList = !discoveryDefinition.hasNoRevisionGap(discovery, notice)
    const lacksConfiguration = (configuration.current?.version ?? 0) < notice.configurationVersion
    if (lacksList || lacksConfiguration) this.#pullMissing(fromIp, lacksList, lacksConfiguration, nowMs)
    if (!lacksList) this.#options.onChanges(notice, nowMs - notice.ageMs - NOTICE_TRANSIT_MS)
  }

  /** Requests the server list or the configuration from a peer that has newer ones. */
  #pullMissing (fromIp: string, list: boolean, configuration: boolean, nowMs: Millis): void {
    if (nowMs - this.#lastPullAtMs < PULL_INTERVAL_MIN_MS) return
    this.#lastPullAtMs = nowMs
    this.#options.sendTo(fromIp, encodeNotice({ method: 'want', list, configuration }))
  }

  #sendSnapshot (ip: string): void {
    const { clock, discovery, sendTo } = this.#options
    if (discovery.revision < 0) return
    const { revision, servers } = discoveryDefinition.currentSnapshot(discovery)
    const ageMs = Math.round(clock.monotonicMs() - discovery.newestReadAtMs)
    sendTo(ip, encodeNotice({ method: 'snapshot', revision, ageMs, servers }))
  }
}
