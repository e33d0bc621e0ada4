import type { Clock, Millis } from '../clock/clock.js'
import type { ConfigurationDb } from '../core/configuration/configurationDb.js'
import type { DiscoveryDb } from '../core/discovery/discoveryDb.js'
import { discoveryDefinition, type ListChanges } from '../core/discovery/discoveryDefinition.js'
import type { ListedChange, ListSnapshot } from '../core/discovery/discoveryTypes.js'
import type { ConfigurationProofTask } from './configurationProofTask.js'
import type { QuarantineHint } from './crashGuard.js'
import { decodeNotice, encodeNotice, type AllotmentNotice, type Notice, type SuspectFingerprint } from './notices.js'
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
  /** Null where keys are accepted without a proof of the configuration's age. */
  readonly proof: ConfigurationProofTask | null
  /** The configuration in force as text, or empty. */
  readonly configurationText: () => string
  readonly sendTo: (ip: string, text: string) => void
  readonly sendToAll: (text: string) => void
  readonly onChanges: (changes: ListChanges, readAtMs: Millis) => void
  readonly onSnapshot: (snapshot: ListSnapshot, readAtMs: Millis) => void
  readonly onConfiguration: (text: string, fromIp: string) => void
  readonly onAllotment: (notice: AllotmentNotice, fromIp: string) => void
  readonly onLeaving: (ip: string) => void
  readonly onStarted: (ip: string) => void
  readonly onCrashSuspects: (fingerprints: readonly SuspectFingerprint[]) => void
  readonly onQuarantined: (hints: readonly QuarantineHint[]) => void
}

/** How far a node knows the list. */
interface ListPosition {
  readonly era: number
  readonly afterRevision: number
}

/** Exchanges the server list and configuration with other nodes: broadcasts what was read, pulls what is missing. */
export class PeerSyncTask {
  readonly #options: PeerSyncTaskOptions
  #lastPullAtMs: Millis = -Infinity
  /** What the nodes know that want newer changes than this node has. */
  readonly #waitingPeers = new Map<string, ListPosition>()

  constructor (options: PeerSyncTaskOptions) {
    this.#options = options
  }

  /** Sends the changes of a read of the store to all nodes. */
  broadcastChanges (changes: readonly ListedChange[], afterRevision: number, readAtMs: Millis): void {
    this.#options.sendToAll(this.#encodePublished(changes, afterRevision, readAtMs))
  }

  /** Sends the list to the nodes that asked for newer changes than this node had. */
  answerWaitingPeers (): void {
    if (!this.#isConfirmed) return
    for (const [ip, position] of this.#waitingPeers) {
      if (!this.#isAhead(position)) continue
      this.#waitingPeers.delete(ip)
      this.#sendList(ip, position)
    }
  }

  #encodePublished (changes: readonly ListedChange[], afterRevision: number, readAtMs: Millis): string {
    const { clock, configuration, discovery } = this.#options
    return encodeNotice({
      method: 'published',
      era: discovery.era,
      revision: discovery.revision,
      afterRevision,
      ageMs: Math.round(clock.monotonicMs() - readAtMs),
      configurationVersion: configuration.current?.version ?? 0,
      changes
    })
  }

  /** Sends the whole list to all nodes. */
  broadcastSnapshot (): void {
    this.#options.sendToAll(this.#encodeSnapshot())
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
    const { clock } = this.#options
    const sentAtMs = clock.monotonicMs() - hopsCount * NOTICE_TRANSIT_MS
    switch (notice.method) {
      case 'published': return this.#handlePublished(notice, fromIp, sentAtMs)
      case 'want':
        if (notice.list) this.#answerWant(fromIp, notice)
        if (notice.configuration) {
          this.#options.sendTo(fromIp, encodeNotice({
            method: 'configuration', text: this.#options.configurationText()
          }))
        }
        return
      case 'allotment_report':
      case 'allotment_answer':
      case 'allotment_sums': return this.#options.onAllotment(notice, fromIp)
      case 'snapshot':
        this.#options.onSnapshot(notice, sentAtMs - notice.ageMs)
        return
      case 'prove': return this.#options.proof?.receiveQuestion(fromIp, notice.stampMs)
      case 'proof':
        if (this.#options.proof?.receiveAnswer(fromIp, notice).kind === 'lacks_configuration') {
          this.#pullMissing(fromIp, false, true)
        }
        return
      case 'configuration':
        if (notice.text !== '') this.#options.onConfiguration(notice.text, fromIp)
        return
      case 'leaving': return this.#options.onLeaving(notice.ip)
      case 'started': return this.#options.onStarted(notice.ip)
      case 'quarantined': return this.#options.onQuarantined(notice.hints)
      case 'crash_suspects': return this.#options.onCrashSuspects(notice.fingerprints)
    }
  }

  /** Sends the list, or remembers that the peer wants it as soon as this node has a newer one. */
  #answerWant (fromIp: string, { era, afterRevision }: ListPosition): void {
    const position = { era, afterRevision }
    if (this.#isConfirmed && this.#isAhead(position)) this.#sendList(fromIp, position)
    else this.#waitingPeers.set(fromIp, position)
  }

  /** Whether this node's list is of a higher era than a peer's, or of the same one and a higher revision. */
  #isAhead ({ era, afterRevision }: ListPosition): boolean {
    const { discovery } = this.#options
    return discovery.era === era ? discovery.revision > afterRevision : discovery.era > era
  }

  #handlePublished (notice: Extract<Notice, { method: 'published' }>, fromIp: string, sentAtMs: Millis): void {
    const { configuration, discovery } = this.#options
    const readAtMs = sentAtMs - notice.ageMs
    this.#options.proof?.recordPublisher(fromIp)
    const isOutdated = discoveryDefinition.isOutdated(discovery, notice, readAtMs)
    const lacksList = !isOutdated && !discoveryDefinition.hasNoRevisionGap(discovery, notice)
    const lacksConfiguration = (configuration.current?.version ?? 0) < notice.configurationVersion
    if (lacksList || lacksConfiguration) this.#pullMissing(fromIp, lacksList, lacksConfiguration)
    if (!lacksList && !isOutdated) this.#options.onChanges(notice, readAtMs)
  }

  /** Requests the server list or the configuration from a peer that has newer ones. */
  #pullMissing (fromIp: string, list: boolean, configuration: boolean): void {
    const { clock, discovery } = this.#options
    const nowMs = clock.monotonicMs()
    if (nowMs - this.#lastPullAtMs < PULL_INTERVAL_MIN_MS) return
    this.#lastPullAtMs = nowMs
    this.#options.sendTo(fromIp, encodeNotice({
      method: 'want', list, era: discovery.era, afterRevision: discovery.revision, configuration
    }))
  }

  /** Sends the changes after a revision, or the full list if they are no longer known. */
  #sendList (ip: string, { era, afterRevision }: ListPosition): void {
    const { discovery, sendTo } = this.#options
    if (!this.#isConfirmed) return
    const changes = discoveryDefinition.changesAfter(discovery, era, afterRevision)
    if (changes !== null) {
      sendTo(ip, this.#encodePublished(changes, afterRevision, discovery.newestReadAtMs))
      return
    }
    sendTo(ip, this.#encodeSnapshot())
  }

  #encodeSnapshot (): string {
    const { clock, discovery } = this.#options
    const ageMs = Math.round(clock.monotonicMs() - discovery.newestReadAtMs)
    return encodeNotice({ method: 'snapshot', ageMs, ...discoveryDefinition.currentSnapshot(discovery) })
  }
}
