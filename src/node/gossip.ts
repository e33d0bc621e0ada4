import type { Either } from 'purify-ts'
import type { Millis } from '../clock/clock.js'
import type { RandomSource } from '../core/coreTypes.js'
import type { DocumentsDb } from '../core/documents/documentsDb.js'
import type {
  ListConfirmation, DocumentsModule, OfferResult, ValueSummary, PublishedValue
} from '../core/documents/documentsTypes.js'
import { assertNever, type StepError } from '../errors/errors.js'
import type { PeerMessage } from './peerMessages.js'
import { GossipPulls } from './gossipPulls.js'
import type { ValueAnswer } from './valueClient.js'

/** Addresses of a peer. */
export interface PeerAddresses {
  readonly vmId: string
  readonly callAddress: string
  readonly controlAddress: string
}

/** The other nodes, grouped into the own data centre and all others. */
export interface GossipPeers {
  readonly ownDataCentre: readonly PeerAddresses[]
  readonly otherDataCentres: readonly PeerAddresses[]
}

export interface GossipOptions {
  readonly documents: DocumentsModule<DocumentsDb>
  readonly db: DocumentsDb
  readonly ownDataCentre: string
  readonly ownCallPort: number
  readonly peers: () => GossipPeers
  readonly send: (toAddress: string, message: PeerMessage) => void
  readonly pullValue: (callAddress: string, key: string) => Promise<Either<StepError, ValueAnswer>>
  /** Passes a value that was read from a peer to the node, which offers it to the documents module. */
  readonly offerValue: (value: PublishedValue) => OfferResult
  /** Called when a peer confirmed that a held VM list was the newest published one. */
  readonly onListConfirmed: (confirmation: ListConfirmation) => void
  readonly onError: (error: StepError) => void
  readonly random: RandomSource
  readonly nowMs: () => Millis
  /** Calls `run` periodically until the returned function is called. */
  readonly startTimer: (periodMs: Millis, run: () => void) => () => void
  readonly pullsInFlightMaxCount: number
}

export const GOSSIP_DEFAULTS = { pullsInFlightMaxCount: 4 } as const

export interface Gossip {
  start (): void
  stop (): void
  /** Sends the summary of a value that this node has accepted to random peers. */
  announce (key: string): void
  /** Tells the other reader candidates of a key in this data centre that this node has read it from the platform. */
  announceRead (key: string): void
  onMessage (message: PeerMessage, fromAddress: string): void
  /** Number of values that peers announced and this node has not received yet. */
  pendingPullsCount (): number
}

/** Number of receivers of a summary or digest that are chosen from the own data centre. */
const OWN_DATA_CENTRE_FANOUT_COUNT = 2
const DIGEST_FANOUT_COUNT = 3
/** Confirmations of VM lists in one digest message; beside 32 bucket digests they would not fit into a datagram. */
const CONFIRMATIONS_PER_DIGEST_COUNT = 8
const CONFIRMATION_MAX_AGE_MS = 30_000
/** With this many pulls pending, no summaries are requested: most would name values that are being pulled already. */
const PENDING_PULLS_MAX_COUNT = 8
/** If ticks are further apart than this many periods, the process was paused. */
const LATE_PERIODS_COUNT = 2

function sample<T> (entries: readonly T[], count: number, random: RandomSource): T[] {
  const indexes = new Set<number>()
  const wantedCount = Math.min(count, entries.length)
  while (indexes.size < wantedCount) indexes.add(Math.floor(random() * entries.length))
  return [...indexes].map(index => entries[index]!)
}

class GossipTask implements Gossip {
  readonly #options: GossipOptions
  readonly #pulls: GossipPulls
  #cancelTimer: (() => void) | null = null
  #lastTickMs: Millis
  #acceptConfirmationsFromMs: Millis = Number.NEGATIVE_INFINITY

  constructor (options: GossipOptions) {
    this.#options = options
    this.#lastTickMs = options.nowMs()
    const { documents, db } = options
    this.#pulls = new GossipPulls({
      inFlightMaxCount: options.pullsInFlightMaxCount,
      newerSummaries: marks => documents.newerSummaries(db, marks),
      pull: options.pullValue,
      offer: options.offerValue,
      onAccepted: key => { this.announce(key) },
      onError: options.onError
    })
  }

  start (): void {
    this.#lastTickMs = this.#options.nowMs()
    this.#cancelTimer ??= this.#options.startTimer(this.#options.db.settings.digestPeriodMs, () => {
      this.#recordTick()
      this.#sendDigests()
    })
  }

  stop (): void {
    this.#cancelTimer?.()
    this.#cancelTimer = null
    this.#pulls.stop()
  }

  pendingPullsCount (): number {
    return this.#pulls.pendingCount
  }

  announce (key: string): void {
    const { documents, db } = this.#options
    const summaries = documents.summariesOfKeys(db, [key])
    for (const peer of this.#randomPeers(db.settings.notifyFanoutCount)) this.#sendMarks(peer.controlAddress, summaries)
  }

  announceRead (key: string): void {
    const otherReaderIds = this.#options.documents.otherReadersOf(this.#options.db, key)
    if (otherReaderIds.length === 0) return
    for (const peer of this.#options.peers().ownDataCentre) {
      if (otherReaderIds.includes(peer.vmId)) this.#options.send(peer.controlAddress, { kind: 'read', keys: [key] })
    }
  }

  onMessage (message: PeerMessage, fromAddress: string): void {
    const { documents, db } = this.#options
    switch (message.kind) {
      case 'marks': return this.#pulls.requestNewer(message.marks, this.#callAddressOf(fromAddress, message.callPort))
      case 'digest': return this.#onDigest(message, fromAddress)
      case 'want': {
        const ofBuckets = documents.summariesOfBuckets(db, message.buckets ?? [])
        return this.#sendMarks(fromAddress, [...documents.summariesOfKeys(db, message.keys), ...ofBuckets])
      }
      case 'read': return message.keys.forEach(key => documents.recordReadByPeer(db, key, this.#options.nowMs()))
      case 'draining':
      case 'quarantine_hint':
        return undefined
      default: return assertNever(message)
    }
  }

  /** Random peers without repeats: some of the own data centre, the rest from all data centres. */
  #randomPeers (count: number): PeerAddresses[] {
    const { ownDataCentre, otherDataCentres } = this.#options.peers()
    const ownDataCentrePeers = sample(ownDataCentre, OWN_DATA_CENTRE_FANOUT_COUNT, this.#options.random)
    const rest = [...ownDataCentre, ...otherDataCentres].filter(peer => !ownDataCentrePeers.includes(peer))
    return [...ownDataCentrePeers, ...sample(rest, count - ownDataCentrePeers.length, this.#options.random)]
  }

  #sendMarks (toAddress: string, summaries: readonly ValueSummary[]): void {
    if (summaries.length > 0) this.#options.send(toAddress, { kind: 'marks', marks: summaries, callPort: this.#options.ownCallPort })
  }

  #sendDigests (): void {
    const { documents, db } = this.#options
    const message: PeerMessage = {
      kind: 'digest', digest: documents.digest(db), count: db.heldValues.size, confirmed: this.#selectConfirmations()
    }
    for (const peer of this.#randomPeers(DIGEST_FANOUT_COUNT)) this.#options.send(peer.controlAddress, message)
  }

  #selectConfirmations (): ListConfirmation[] {
    const { documents, db, nowMs, random, ownDataCentre } = this.#options
    const all = documents.confirmations(db, CONFIRMATION_MAX_AGE_MS, nowMs())
    const own = all.filter(one => one.key === `vms/${ownDataCentre}`)
    const others = all.filter(one => !own.includes(one))
    return [...own, ...sample(others, CONFIRMATIONS_PER_DIGEST_COUNT - own.length, random)]
  }

  /**
   * After a pause of the process, digests may have waited in the socket buffer,
   * so that their confirmations are older than their `ageMs`. They are ignored
   * for one period.
   */
  #recordTick (): void {
    const nowMs = this.#options.nowMs()
    if (!this.#isTickOnTime(nowMs)) this.#acceptConfirmationsFromMs = nowMs + this.#options.db.settings.digestPeriodMs
    this.#lastTickMs = nowMs
  }

  #isTickOnTime (nowMs: Millis): boolean {
    return nowMs - this.#lastTickMs <= LATE_PERIODS_COUNT * this.#options.db.settings.digestPeriodMs
  }

  #acceptConfirmations (confirmations: readonly ListConfirmation[]): void {
    const { documents, db, nowMs, onListConfirmed: onConfirmed } = this.#options
    if (nowMs() < this.#acceptConfirmationsFromMs || !this.#isTickOnTime(nowMs())) return
    for (const confirmation of confirmations) {
      if (documents.recordConfirmation(db, confirmation, nowMs())) onConfirmed(confirmation)
    }
  }

  #onDigest (message: Extract<PeerMessage, { kind: 'digest' }>, fromAddress: string): void {
    const { documents, db } = this.#options
    this.#acceptConfirmations(message.confirmed ?? [])
    if (message.digest === documents.digest(db)) return
    const buckets = documents.bucketDigests(db)
    if (message.buckets === undefined) {
      return this.#options.send(fromAddress, {
        kind: 'digest', digest: documents.digest(db), count: db.heldValues.size, buckets: [...buckets]
      })
    }
    const differing = buckets.flatMap((digest, bucket) => digest === message.buckets?.[bucket] ? [] : [bucket])
    this.#sendMarks(fromAddress, documents.summariesOfBuckets(db, differing))
    if (this.#pulls.pendingCount < PENDING_PULLS_MAX_COUNT) {
      this.#options.send(fromAddress, { kind: 'want', keys: [], buckets: differing })
    }
  }

  /** Call address of the sender; for one that is not in a VM list yet, the message's host and call port. */
  #callAddressOf (controlAddress: string, callPort: number): string {
    const { ownDataCentre, otherDataCentres } = this.#options.peers()
    const isSender = (peer: PeerAddresses): boolean => peer.controlAddress === controlAddress
    const listed = ownDataCentre.find(isSender) ?? otherDataCentres.find(isSender)
    return listed?.callAddress ?? `${controlAddress.slice(0, controlAddress.lastIndexOf(':'))}:${callPort}`
  }
}

/**
 * Creates the gossip of published values between nodes: a summary when a value
 * is accepted, periodic digests (anti-entropy), and reads of missing values from
 * peers.
 *
 * @example
 * const gossip = createGossip({ ...GOSSIP_DEFAULTS, documents, db, peers, send, pullValue, ...otherOptions })
 * gossip.start()
 */
export function createGossip (options: GossipOptions): Gossip {
  return new GossipTask(options)
}
