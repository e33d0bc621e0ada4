import type { Clock, Millis } from '../clock/clock.js'
import type { ConfigurationDb } from '../core/configuration/configurationDb.js'
import type { DiscoveryDb } from '../core/discovery/discoveryDb.js'
import { discoveryDefinition, type ListChanges } from '../core/discovery/discoveryDefinition.js'
import type { ListedChange, ListedServer } from '../core/discovery/discoveryTypes.js'
import { decodeNotice, encodeNotice, type Notice, type SuspectFingerprint } from './notices.js'
import type { NodeLog } from './nodeLog.js'

/** Time of a notice on its way that its age does not count. */
const WAY_MS: Millis = 20
/** Pause between two requests to peers for what is missing. */
const WANT_PAUSE_MS: Millis = 200

export interface SpreadTaskOptions {
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

/** The task that shares what one node has read from the store with the others. */
export class SpreadTask {
  readonly #options: SpreadTaskOptions
  #wantedAtMs: Millis = -Infinity

  constructor (options: SpreadTaskOptions) {
    this.#options = options
  }

  /** Tells all nodes what a read of the store has brought. */
  tell (changes: readonly ListedChange[], afterRevision: number, readAtMs: Millis): void {
    this.#options.sendToAll(this.#published(changes, afterRevision, readAtMs))
  }

  #published (changes: readonly ListedChange[], afterRevision: number, readAtMs: Millis): string {
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

  tellConfiguration (): void {
    const text = this.#options.configurationText()
    if (text !== '') this.#options.sendToAll(encodeNotice({ method: 'configuration', text }))
  }

  /** Tells a node that has just connected how far this one is; it asks for what it lacks. */
  greet (ip: string): void {
    const { discovery, sendTo } = this.#options
    if (discovery.revision >= 0) sendTo(ip, this.#published([], discovery.revision, discovery.freshAtMs))
  }

  receive (text: string, fromIp: string): void {
    decodeNotice(text).caseOf({
      Left: reason => this.#options.log.event('notice_refused', { peer: fromIp, reason }),
      Right: notice => this.#take(notice, fromIp)
    })
  }

  #take (notice: Notice, fromIp: string): void {
    const { clock, discovery } = this.#options
    const nowMs = clock.monotonicMs()
    switch (notice.method) {
      case 'published': return this.#takePublished(notice, fromIp, nowMs)
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
          this.#options.onSnapshot(notice.revision, notice.servers, nowMs - notice.ageMs - WAY_MS)
        }
        return
      case 'configuration':
        if (notice.text !== '') this.#options.onConfiguration(notice.text, fromIp)
        return
      case 'leaving': return this.#options.onLeaving(fromIp)
      case 'crash_suspects': return this.#options.onCrashSuspects(notice.fingerprints, fromIp)
    }
  }

  #takePublished (notice: Extract<Notice, { method: 'published' }>, fromIp: string, nowMs: Millis): void {
    const { configuration, discovery } = this.#options
    const lacksList = !discoveryDefinition.follows(discovery, notice)
    const lacksConfiguration = (configuration.current?.version ?? 0) < notice.configurationVersion
    if (lacksList || lacksConfiguration) this.#want(fromIp, lacksList, lacksConfiguration, nowMs)
    if (!lacksList) this.#options.onChanges(notice, nowMs - notice.ageMs - WAY_MS)
  }

  #want (fromIp: string, list: boolean, configuration: boolean, nowMs: Millis): void {
    if (nowMs - this.#wantedAtMs < WANT_PAUSE_MS) return
    this.#wantedAtMs = nowMs
    this.#options.sendTo(fromIp, encodeNotice({ method: 'want', list, configuration }))
  }

  #sendSnapshot (ip: string): void {
    const { clock, discovery, sendTo } = this.#options
    if (discovery.revision < 0) return
    const { revision, servers } = discoveryDefinition.snapshot(discovery)
    const ageMs = Math.round(clock.monotonicMs() - discovery.freshAtMs)
    sendTo(ip, encodeNotice({ method: 'snapshot', revision, ageMs, servers }))
  }
}
