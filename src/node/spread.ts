import type { Either } from 'purify-ts'
import type { Millis } from '../clock/clock.js'
import type { RandomSource } from '../core/coreTypes.js'
import type { DocumentsDb } from '../core/documents/documentsDb.js'
import type {
  ListConfirmation, DocumentsModule, OfferResult, ValueSummary, PublishedValue
} from '../core/documents/documentsTypes.js'
import { assertNever, type StepError } from '../errors/errors.js'
import type { PeerMessage } from './peerMessages.js'
import { SpreadPulls } from './spreadPulls.js'
import type { ValueAnswer } from './valueClient.js'

/** Where a peer is reached. */
export interface PeerAddresses {
  readonly vmId: string
  readonly callAddress: string
  readonly controlAddress: string
}

/** The other nodes that are thought alive. */
export interface SpreadPeers {
  readonly ownDataCentre: readonly PeerAddresses[]
  readonly otherDataCentres: readonly PeerAddresses[]
}

export interface SpreadOptions {
  readonly documents: DocumentsModule<DocumentsDb>
  readonly db: DocumentsDb
  readonly ownDataCentre: string
  readonly ownCallPort: number
  readonly peers: () => SpreadPeers
  readonly send: (toAddress: string, message: PeerMessage) => void
  readonly pull: (callAddress: string, key: string) => Promise<Either<StepError, ValueAnswer>>
  /** Hands a pulled value to the node, which offers it to the documents family. */
  readonly offer: (value: PublishedValue) => OfferResult
  /** A VM list that the node holds was confirmed by a peer's word. */
  readonly onConfirmed: (confirmation: ListConfirmation) => void
  readonly onError: (error: StepError) => void
  readonly random: RandomSource
  readonly nowMs: () => Millis
  /** Calls a function again and again until the returned function is called. */
  readonly every: (periodMs: Millis, run: () => void) => () => void
  readonly pullsInFlightMaxCount: number
}

export const SPREAD_DEFAULTS = { pullsInFlightMaxCount: 4 } as const

export interface Spread {
  start (): void
  stop (): void
  /** Tells random peers about a value that this node has put in force. */
  announce (key: string): void
  /** Tells the next nodes by rank that this node has read a key from the platform. */
  readDone (key: string): void
  onMessage (message: PeerMessage, fromAddress: string): void
  /** Values that peers announced and this node does not yet have. */
  pendingCount (): number
}

/** Part of the notices and digests that stays in the own data centre. */
const OWN_DATA_CENTRE_FANOUT_COUNT = 2
const DIGEST_FANOUT_COUNT = 3
/** Confirmations of VM lists in one digest; with 32 digests of buckets they would not fit into a datagram. */
const CONFIRMATIONS_COUNT = 8
const CONFIRMATION_MAX_AGE_MS = 30_000
/** While more values than this are on their way, further marks would only repeat what is known. */
const PENDING_MAX_COUNT = 8
/** A tick that is later than this many periods shows that the process was paused. */
const LATE_PERIODS_COUNT = 2

function sample<T> (entries: readonly T[], count: number, random: RandomSource): T[] {
  const indexes = new Set<number>()
  const wantedCount = Math.min(count, entries.length)
  while (indexes.size < wantedCount) indexes.add(Math.floor(random() * entries.length))
  return [...indexes].map(index => entries[index]!)
}

class GossipSpread implements Spread {
  readonly #options: SpreadOptions
  readonly #pulls: SpreadPulls
  #cancel: (() => void) | null = null
  #lastTickMs: Millis
  #confirmationsFromMs: Millis = Number.NEGATIVE_INFINITY

  constructor (options: SpreadOptions) {
    this.#options = options
    this.#lastTickMs = options.nowMs()
    const { documents, db } = options
    this.#pulls = new SpreadPulls({
      inFlightMaxCount: options.pullsInFlightMaxCount,
      missing: marks => documents.newerSummaries(db, marks),
      pull: options.pull,
      offer: options.offer,
      onNews: key => { this.announce(key) },
      onError: options.onError
    })
  }

  start (): void {
    this.#lastTickMs = this.#options.nowMs()
    this.#cancel ??= this.#options.every(this.#options.db.settings.digestPeriodMs, () => {
      this.#noteTick()
      this.#sendDigests()
    })
  }

  stop (): void {
    this.#cancel?.()
    this.#cancel = null
    this.#pulls.stop()
  }

  pendingCount (): number {
    return this.#pulls.pendingCount
  }

  announce (key: string): void {
    const { documents, db } = this.#options
    const marks = documents.summariesOfKeys(db, [key])
    for (const peer of this.#randomPeers(db.settings.notifyFanoutCount)) this.#sendMarks(peer.controlAddress, marks)
  }

  readDone (key: string): void {
    const watchers = this.#options.documents.otherReadersOf(this.#options.db, key)
    if (watchers.length === 0) return
    for (const peer of this.#options.peers().ownDataCentre) {
      if (watchers.includes(peer.vmId)) this.#options.send(peer.controlAddress, { kind: 'read', keys: [key] })
    }
  }

  onMessage (message: PeerMessage, fromAddress: string): void {
    const { documents, db } = this.#options
    switch (message.kind) {
      case 'marks': return this.#pulls.want(message.marks, this.#callAddressOf(fromAddress, message.callPort))
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

  /** Some peers of the own data centre and others from anywhere, without repeats. */
  #randomPeers (count: number): PeerAddresses[] {
    const { ownDataCentre, otherDataCentres } = this.#options.peers()
    const near = sample(ownDataCentre, OWN_DATA_CENTRE_FANOUT_COUNT, this.#options.random)
    const rest = [...ownDataCentre, ...otherDataCentres].filter(peer => !near.includes(peer))
    return [...near, ...sample(rest, count - near.length, this.#options.random)]
  }

  #sendMarks (toAddress: string, marks: readonly ValueSummary[]): void {
    if (marks.length > 0) this.#options.send(toAddress, { kind: 'marks', marks, callPort: this.#options.ownCallPort })
  }

  #sendDigests (): void {
    const { documents, db } = this.#options
    const message: PeerMessage = {
      kind: 'digest', digest: documents.digest(db), count: db.heldValues.size, confirmed: this.#confirmations()
    }
    for (const peer of this.#randomPeers(DIGEST_FANOUT_COUNT)) this.#options.send(peer.controlAddress, message)
  }

  #confirmations (): ListConfirmation[] {
    const { documents, db, nowMs, random, ownDataCentre } = this.#options
    const all = documents.confirmations(db, CONFIRMATION_MAX_AGE_MS, nowMs())
    const own = all.filter(one => one.key === `vms/${ownDataCentre}`)
    const others = all.filter(one => !own.includes(one))
    return [...own, ...sample(others, CONFIRMATIONS_COUNT - own.length, random)]
  }

  /**
   * After a pause of the process, digests may have waited in the socket, and
   * their confirmations are older than they say.
   */
  #noteTick (): void {
    const nowMs = this.#options.nowMs()
    if (!this.#ticksOnTime(nowMs)) this.#confirmationsFromMs = nowMs + this.#options.db.settings.digestPeriodMs
    this.#lastTickMs = nowMs
  }

  #ticksOnTime (nowMs: Millis): boolean {
    return nowMs - this.#lastTickMs <= LATE_PERIODS_COUNT * this.#options.db.settings.digestPeriodMs
  }

  #takeConfirmations (confirmations: readonly ListConfirmation[]): void {
    const { documents, db, nowMs, onConfirmed } = this.#options
    if (nowMs() < this.#confirmationsFromMs || !this.#ticksOnTime(nowMs())) return
    for (const confirmation of confirmations) {
      if (documents.recordConfirmation(db, confirmation, nowMs())) onConfirmed(confirmation)
    }
  }

  #onDigest (message: Extract<PeerMessage, { kind: 'digest' }>, fromAddress: string): void {
    const { documents, db } = this.#options
    this.#takeConfirmations(message.confirmed ?? [])
    if (message.digest === documents.digest(db)) return
    const buckets = documents.bucketDigests(db)
    if (message.buckets === undefined) {
      return this.#options.send(fromAddress, {
        kind: 'digest', digest: documents.digest(db), count: db.heldValues.size, buckets: [...buckets]
      })
    }
    const differing = buckets.flatMap((digest, bucket) => digest === message.buckets?.[bucket] ? [] : [bucket])
    this.#sendMarks(fromAddress, documents.summariesOfBuckets(db, differing))
    if (this.#pulls.pendingCount < PENDING_MAX_COUNT) {
      this.#options.send(fromAddress, { kind: 'want', keys: [], buckets: differing })
    }
  }

  /** A peer that is not yet listed is pulled from the host that its message came from. */
  #callAddressOf (controlAddress: string, callPort: number): string {
    const { ownDataCentre, otherDataCentres } = this.#options.peers()
    const isSender = (peer: PeerAddresses): boolean => peer.controlAddress === controlAddress
    const listed = ownDataCentre.find(isSender) ?? otherDataCentres.find(isSender)
    return listed?.callAddress ?? `${controlAddress.slice(0, controlAddress.lastIndexOf(':'))}:${callPort}`
  }
}

/**
 * Opens the spread of published values between nodes: notices on news, a digest
 * each second, and pulls of what is missing.
 *
 * @example
 * const spread = openSpread({ ...SPREAD_DEFAULTS, documents, db, peers, send: link.send.bind(link), pull, ...rest })
 * spread.start()
 */
export function openSpread (options: SpreadOptions): Spread {
  return new GossipSpread(options)
}
