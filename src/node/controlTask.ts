import type { Clock } from '../clock/clock.js'
import { documentsDefinition } from '../core/documents/documentsDefinition.js'
import { membershipDefinition } from '../core/membership/membershipDefinition.js'
import type { VmEntry } from '../core/membership/membershipTypes.js'
import type { NodeCoreDb } from '../core/nodeCore/nodeCoreDb.js'
import { nodeCoreDefinition } from '../core/nodeCore/nodeCoreDefinition.js'
import type { NodeCommand, NodeEvent } from '../core/nodeCore/nodeCoreTypes.js'
import type { LeaseRequest } from '../core/idempotency/idempotencyTypes.js'
import type { OfferResult, PublishedValue } from '../core/documents/documentsTypes.js'
import { assertNever, Step } from '../errors/errors.js'
import type { StepError } from '../errors/errors.js'
import { log } from '../log/log.js'
import { sumBytes } from './controlBytes.js'
import { splitAddress } from './nodeSettings.js'
import type { NodeSettings } from './nodeSettings.js'
import type { ControlTraffic } from './operatorView.js'
import { openPeerLink, PEER_LINK_DEFAULTS } from './peerLink.js'
import type { PeerLink } from './peerLink.js'
import type { PeerMessage } from './peerMessages.js'
import { openPlatformReader, PLATFORM_READER_DEFAULTS } from './platformReader.js'
import type { PlatformReader } from './platformReader.js'
import { openSpread, SPREAD_DEFAULTS } from './spread.js'
import type { PeerAddresses, Spread, SpreadPeers } from './spread.js'
import { ValueClient } from './valueClient.js'

const PULL_TIMEOUT_MS = 2_000
const CONNECTIONS_PER_PEER_COUNT = 1
/** How many peers hear at once that this node is leaving; the others hear it in answers. */
const DRAINING_NOTICE_PEERS_MAX_COUNT = 200
const QUARANTINE_HINT_MS = 60_000
/** Faults of the same peers come in bursts; one line per period is enough to see them. */
const ERROR_LOG_PERIOD_MS = 1_000
/** The first keys that a starting node asks its peers for. */
const START_KEYS = ['catalogue'] as const

export interface ControlTaskOptions {
  readonly settings: NodeSettings
  readonly db: NodeCoreDb
  readonly clock: Clock
  readonly emit: (event: NodeEvent) => NodeCommand[]
}

type ControlCommand = Extract<NodeCommand, {
  kind: 'value_offered' | 'lease_request' | 'lease_vote' | 'quarantine_hint' | 'draining_notice'
}>

/** The task that owns the sockets for control: messages of peers, reads of the platform, pulls of values. */
export class ControlTask {
  readonly #options: ControlTaskOptions
  readonly #link: PeerLink
  readonly #reader: PlatformReader
  readonly #spread: Spread
  readonly #pullClient = new ValueClient({
    timeoutMs: PULL_TIMEOUT_MS, connectionsPerPeerCount: CONNECTIONS_PER_PEER_COUNT, keepAlive: false
  })

  #peers: { readonly listsMark: string, readonly peers: SpreadPeers } = {
    listsMark: '', peers: { ownDataCentre: [], otherDataCentres: [] }
  }

  #nextErrorLogAtMs = 0

  constructor (options: ControlTaskOptions) {
    this.#options = options
    const { settings, db, clock, emit } = options
    this.#link = openPeerLink({
      ...PEER_LINK_DEFAULTS,
      ...splitAddress(settings.controlAddress),
      incarnation: db.settings.incarnation,
      nowMs: () => clock.monotonicMs(),
      onMessage: (message, fromAddress) => this.#receive(message, fromAddress),
      onLeaseRequest: request => this.#vote(request)
    })
    this.#reader = openPlatformReader({
      ...PLATFORM_READER_DEFAULTS,
      platformUrl: `http://${settings.platformAddress}`,
      duePolls: () => nodeCoreDefinition.duePolls(db, clock.monotonicMs()),
      onValue: value => this.#offer(value, true),
      onResult: (key, answered) => {
        emit({ kind: 'poll_answered', key, answered })
        if (answered) this.#spread.readDone(key)
      },
      onError: error => this.#logError(error)
    })
    this.#spread = openSpread({
      ...SPREAD_DEFAULTS,
      documents: documentsDefinition,
      db: db.modules.documents,
      ownDataCentre: settings.dataCentre,
      ownCallPort: splitAddress(settings.callAddress).port,
      peers: () => this.#peerAddresses(),
      send: (toAddress, message) => this.#link.send(toAddress, message),
      pull: (callAddress, key) => this.#pull(callAddress, key),
      offer: value => this.#offer(value, false),
      onConfirmed: confirmation => { emit({ kind: 'confirmation_received', confirmation }) },
      onError: error => this.#logError(error),
      random: db.random,
      nowMs: () => clock.monotonicMs(),
      every: (periodMs, run) => {
        const timer = setInterval(run, periodMs)
        return () => clearInterval(timer)
      }
    })
  }

  async start (): Promise<void> {
    await this.#link.start()
    this.#reader.start()
    this.#spread.start()
    for (const address of this.#options.settings.peers) void this.#learnFrom(address)
  }

  async stop (): Promise<void> {
    this.#spread.stop()
    this.#pullClient.close()
    await this.#reader.stop()
    await this.#link.stop()
  }

  traffic (): ControlTraffic {
    const { sentBytes, receivedBytes } = sumBytes([
      this.#link.counters(), this.#reader.bytes(), this.#pullClient.bytes
    ])
    return { bytesSent: sentBytes, bytesReceived: receivedBytes }
  }

  run (command: ControlCommand): void {
    switch (command.kind) {
      case 'value_offered':
        return undefined
      case 'lease_vote':
        return undefined
      case 'lease_request':
        void this.#requestLease(command.address, command.request)
        return
      case 'quarantine_hint': {
        const message: PeerMessage = { kind: 'quarantine_hint', fingerprint: command.fingerprint, forMs: QUARANTINE_HINT_MS }
        return this.#tell(message)
      }
      case 'draining_notice':
        return this.#tell({ kind: 'draining', vmId: this.#options.settings.nodeId, isDraining: command.isDraining })
      default:
        return assertNever(command)
    }
  }

  #tell (message: PeerMessage): void {
    const { ownDataCentre, otherDataCentres } = this.#peerAddresses()
    for (const peer of [...ownDataCentre, ...otherDataCentres].slice(0, DRAINING_NOTICE_PEERS_MAX_COUNT)) {
      this.#link.send(peer.controlAddress, message)
    }
  }

  #offer (value: PublishedValue, announces: boolean): OfferResult {
    const commands = this.#options.emit({ kind: 'value_received', value })
    const offered = commands.find(command => command.kind === 'value_offered')
    const result: OfferResult = offered?.kind === 'value_offered' ? offered.result : { kind: 'known' }
    if (announces && (result.kind === 'accepted' || result.kind === 'stored')) this.#spread.announce(value.key)
    return result
  }

  #receive (message: PeerMessage, fromAddress: string): void {
    switch (message.kind) {
      case 'draining':
        if (this.#isFrom(message.vmId, fromAddress)) {
          this.#options.emit({ kind: 'peer_draining', nodeId: message.vmId, isDraining: message.isDraining })
        }
        return
      case 'quarantine_hint':
        // A hint refuses requests, so only listed nodes may give one.
        if (this.#isListed(fromAddress)) {
          this.#options.emit({
            kind: 'quarantine_hint_received', fingerprint: message.fingerprint, forMs: message.forMs
          })
        }
        return
      default:
        this.#spread.onMessage(message, fromAddress)
    }
  }

  #isListed (controlAddress: string): boolean {
    const { ownDataCentre, otherDataCentres } = this.#peerAddresses()
    return [...ownDataCentre, ...otherDataCentres].some(peer => peer.controlAddress === controlAddress)
  }

  /** Only a VM itself may say that it is leaving. */
  #isFrom (nodeId: string, fromAddress: string): boolean {
    const entry = membershipDefinition.entryOf(this.#options.db.modules.membership, nodeId)
    return entry !== undefined && splitAddress(entry.controlAddress).host === splitAddress(fromAddress).host
  }

  #vote (request: LeaseRequest): ReturnType<Parameters<typeof openPeerLink>[0]['onLeaseRequest']> {
    const commands = this.#options.emit({ kind: 'lease_request_received', request })
    const found = commands.find(command => command.kind === 'lease_vote')
    if (found?.kind !== 'lease_vote') throw new TypeError('the core gave no vote')
    return found.vote
  }

  async #requestLease (address: string, request: LeaseRequest): Promise<void> {
    const vote = await this.#link.requestLease(address, request)
    vote.ifRight(given => { this.#options.emit({ kind: 'lease_vote_received', vote: given }) })
  }

  #pull (callAddress: string, key: string): ReturnType<ValueClient['read']> {
    const held = documentsDefinition.valueOf(this.#options.db.modules.documents, key)
    return this.#pullClient.read({
      baseUrl: `http://${callAddress}/ragwortspur/values/`,
      key,
      afterRevision: held?.revision ?? 0,
      step: Step.PeerMessage
    })
  }

  /** Asks a peer named in the settings for what it holds, before or without the platform. */
  async #learnFrom (address: string): Promise<void> {
    const { settings } = this.#options
    const keys = [...START_KEYS, `vms/${settings.dataCentre}`, `documents/${settings.service}`]
    for (const key of keys) {
      const answer = await this.#pull(address, key)
      answer.ifRight(found => {
        if (found.kind === 'newer') this.#offer(found.value, false)
      })
    }
  }

  #peerAddresses (): SpreadPeers {
    const { db, settings } = this.#options
    const lists = membershipDefinition.lists(db.modules.membership)
    const listsMark = lists.map(list => `${list.dataCentre}=${list.revision}`).join(' ')
    if (listsMark === this.#peers.listsMark) return this.#peers.peers
    const others = lists.flatMap(list => list.entries).filter(entry => entry.vmId !== settings.nodeId)
    const isNear = (entry: VmEntry): boolean => entry.dataCentre === settings.dataCentre
    const addressesOf = (entry: VmEntry): PeerAddresses => ({
      vmId: entry.vmId, callAddress: entry.callAddress, controlAddress: entry.controlAddress
    })
    this.#peers = {
      listsMark,
      peers: {
        ownDataCentre: others.filter(isNear).map(addressesOf),
        otherDataCentres: others.filter(entry => !isNear(entry)).map(addressesOf)
      }
    }
    return this.#peers.peers
  }

  #logError (error: StepError): void {
    const nowMs = this.#options.clock.monotonicMs()
    if (nowMs < this.#nextErrorLogAtMs) return
    this.#nextErrorLogAtMs = nowMs + ERROR_LOG_PERIOD_MS
    log.warn({ event: 'control_error', step: error.step, peer: error.peer, detail: error.message })
  }
}
