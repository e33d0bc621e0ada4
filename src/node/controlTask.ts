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
import { sumControlBytes } from './controlBytes.js'
import { parseAddress } from './nodeSettings.js'
import type { NodeSettings } from './nodeSettings.js'
import type { ControlTraffic } from './operatorView.js'
import { createPeerLink, PEER_LINK_DEFAULTS } from './peerLink.js'
import type { PeerLink } from './peerLink.js'
import type { PeerMessage } from './peerMessages.js'
import { createPlatformReader, PLATFORM_READER_DEFAULTS } from './platformReader.js'
import type { PlatformReader } from './platformReader.js'
import { createGossip, GOSSIP_DEFAULTS } from './gossip.js'
import type { PeerAddresses, Gossip, GossipPeers } from './gossip.js'
import { ValueClient } from './valueClient.js'

const PULL_TIMEOUT_MS = 2_000
const CONNECTIONS_PER_PEER_COUNT = 1
/**
 * Most peers to which a draining notice or quarantine hint is sent. The other
 * peers learn that this node is draining from its answers.
 */
const BROADCAST_PEERS_MAX_COUNT = 200
const QUARANTINE_HINT_TTL_MS = 60_000
/** At most one error is logged per period, since errors of a failing peer come in bursts. */
const ERROR_LOG_PERIOD_MS = 1_000
/** Keys that a starting node reads from its peers, besides its own VM list and document. */
const BOOTSTRAP_KEYS = ['catalogue'] as const

export interface ControlTaskOptions {
  readonly settings: NodeSettings
  readonly db: NodeCoreDb
  readonly clock: Clock
  readonly emit: (event: NodeEvent) => NodeCommand[]
}

type ControlCommand = Extract<NodeCommand, {
  kind: 'value_offered' | 'lease_request' | 'lease_vote' | 'quarantine_hint' | 'draining_notice'
}>

/** Owns the sockets for control traffic: peer messages, reads from the platform and reads of values from peers. */
export class ControlTask {
  readonly #options: ControlTaskOptions
  readonly #peerLink: PeerLink
  readonly #platformReader: PlatformReader
  readonly #gossip: Gossip
  readonly #pullClient = new ValueClient({
    timeoutMs: PULL_TIMEOUT_MS, connectionsPerPeerCount: CONNECTIONS_PER_PEER_COUNT, keepAlive: false
  })

  #cachedPeers: { readonly listRevisions: string, readonly peers: GossipPeers } = {
    listRevisions: '', peers: { ownDataCentre: [], otherDataCentres: [] }
  }

  #nextErrorLogAtMs = 0

  constructor (options: ControlTaskOptions) {
    this.#options = options
    const { settings, db, clock, emit } = options
    this.#peerLink = createPeerLink({
      ...PEER_LINK_DEFAULTS,
      ...parseAddress(settings.controlAddress),
      incarnation: db.settings.incarnation,
      nowMs: () => clock.monotonicMs(),
      onMessage: (message, fromAddress) => this.#handleMessage(message, fromAddress),
      onLeaseRequest: request => this.#voteOnLease(request)
    })
    this.#platformReader = createPlatformReader({
      ...PLATFORM_READER_DEFAULTS,
      platformUrl: `http://${settings.platformAddress}`,
      duePolls: () => nodeCoreDefinition.duePolls(db, clock.monotonicMs()),
      onValue: value => this.#offerValue(value, true),
      onResult: (key, answered) => {
        emit({ kind: 'poll_answered', key, answered })
        if (answered) this.#gossip.announceRead(key)
      },
      onError: error => this.#logError(error)
    })
    this.#gossip = createGossip({
      ...GOSSIP_DEFAULTS,
      documents: documentsDefinition,
      db: db.modules.documents,
      ownDataCentre: settings.dataCentre,
      ownCallPort: parseAddress(settings.callAddress).port,
      peers: () => this.#peerAddresses(),
      send: (toAddress, message) => this.#peerLink.send(toAddress, message),
      pullValue: (callAddress, key) => this.#pullValue(callAddress, key),
      offerValue: value => this.#offerValue(value, false),
      onListConfirmed: confirmation => { emit({ kind: 'confirmation_received', confirmation }) },
      onError: error => this.#logError(error),
      random: db.random,
      nowMs: () => clock.monotonicMs(),
      startTimer: (periodMs, run) => {
        const timer = setInterval(run, periodMs)
        return () => clearInterval(timer)
      }
    })
  }

  async start (): Promise<void> {
    await this.#peerLink.start()
    this.#platformReader.start()
    this.#gossip.start()
    for (const address of this.#options.settings.peers) void this.#bootstrapFrom(address)
  }

  async stop (): Promise<void> {
    this.#gossip.stop()
    this.#pullClient.close()
    await this.#platformReader.stop()
    await this.#peerLink.stop()
  }

  traffic (): ControlTraffic {
    const { sentBytes, receivedBytes } = sumControlBytes([
      this.#peerLink.counters(), this.#platformReader.bytes(), this.#pullClient.bytes
    ])
    return { bytesSent: sentBytes, bytesReceived: receivedBytes }
  }

  runCommand (command: ControlCommand): void {
    switch (command.kind) {
      case 'value_offered':
        return undefined
      case 'lease_vote':
        return undefined
      case 'lease_request':
        void this.#requestLease(command.address, command.request)
        return
      case 'quarantine_hint': {
        const message: PeerMessage = {
          kind: 'quarantine_hint', fingerprint: command.fingerprint, forMs: QUARANTINE_HINT_TTL_MS
        }
        return this.#broadcast(message)
      }
      case 'draining_notice':
        return this.#broadcast({ kind: 'draining', vmId: this.#options.settings.nodeId, isDraining: command.isDraining })
      default:
        return assertNever(command)
    }
  }

  #broadcast (message: PeerMessage): void {
    const { ownDataCentre, otherDataCentres } = this.#peerAddresses()
    for (const peer of [...ownDataCentre, ...otherDataCentres].slice(0, BROADCAST_PEERS_MAX_COUNT)) {
      this.#peerLink.send(peer.controlAddress, message)
    }
  }

  #offerValue (value: PublishedValue, shouldAnnounce: boolean): OfferResult {
    const commands = this.#options.emit({ kind: 'value_received', value })
    const offerCommand = commands.find(command => command.kind === 'value_offered')
    const result: OfferResult = offerCommand?.kind === 'value_offered' ? offerCommand.result : { kind: 'known' }
    if (shouldAnnounce && (result.kind === 'accepted' || result.kind === 'stored')) this.#gossip.announce(value.key)
    return result
  }

  #handleMessage (message: PeerMessage, fromAddress: string): void {
    switch (message.kind) {
      case 'draining':
        if (this.#isSentByVm(message.vmId, fromAddress)) {
          this.#options.emit({ kind: 'peer_draining', nodeId: message.vmId, isDraining: message.isDraining })
        }
        return
      case 'quarantine_hint':
        // A hint makes this node refuse requests, so it is accepted from listed nodes only.
        if (this.#isListed(fromAddress)) {
          this.#options.emit({
            kind: 'quarantine_hint_received', fingerprint: message.fingerprint, forMs: message.forMs
          })
        }
        return
      default:
        this.#gossip.onMessage(message, fromAddress)
    }
  }

  #isListed (controlAddress: string): boolean {
    const { ownDataCentre, otherDataCentres } = this.#peerAddresses()
    return [...ownDataCentre, ...otherDataCentres].some(peer => peer.controlAddress === controlAddress)
  }

  /** Whether a message came from the host of a VM; a draining notice is accepted only from the VM itself. */
  #isSentByVm (nodeId: string, fromAddress: string): boolean {
    const entry = membershipDefinition.entryOf(this.#options.db.modules.membership, nodeId)
    return entry !== undefined && parseAddress(entry.controlAddress).host === parseAddress(fromAddress).host
  }

  #voteOnLease (request: LeaseRequest): ReturnType<Parameters<typeof createPeerLink>[0]['onLeaseRequest']> {
    const commands = this.#options.emit({ kind: 'lease_request_received', request })
    const voteCommand = commands.find(command => command.kind === 'lease_vote')
    if (voteCommand?.kind !== 'lease_vote') throw new TypeError('the core returned no vote for a lease request')
    return voteCommand.vote
  }

  async #requestLease (address: string, request: LeaseRequest): Promise<void> {
    const vote = await this.#peerLink.requestLease(address, request)
    vote.ifRight(leaseVote => { this.#options.emit({ kind: 'lease_vote_received', vote: leaseVote }) })
  }

  #pullValue (callAddress: string, key: string): ReturnType<ValueClient['read']> {
    const held = documentsDefinition.valueOf(this.#options.db.modules.documents, key)
    return this.#pullClient.read({
      baseUrl: `http://${callAddress}/ragwortspur/values/`,
      key,
      afterRevision: held?.revision ?? 0,
      step: Step.PeerMessage
    })
  }

  /** Reads the first published values from a configured peer, in case the platform is slow or unreachable. */
  async #bootstrapFrom (address: string): Promise<void> {
    const { settings } = this.#options
    const keys = [...BOOTSTRAP_KEYS, `vms/${settings.dataCentre}`, `documents/${settings.service}`]
    for (const key of keys) {
      const answer = await this.#pullValue(address, key)
      answer.ifRight(found => {
        if (found.kind === 'newer') this.#offerValue(found.value, false)
      })
    }
  }

  #peerAddresses (): GossipPeers {
    const { db, settings } = this.#options
    const lists = membershipDefinition.lists(db.modules.membership)
    const listRevisions = lists.map(list => `${list.dataCentre}=${list.revision}`).join(' ')
    if (listRevisions === this.#cachedPeers.listRevisions) return this.#cachedPeers.peers
    const others = lists.flatMap(list => list.entries).filter(entry => entry.vmId !== settings.nodeId)
    const isInOwnDataCentre = (entry: VmEntry): boolean => entry.dataCentre === settings.dataCentre
    const addressesOf = (entry: VmEntry): PeerAddresses => ({
      vmId: entry.vmId, callAddress: entry.callAddress, controlAddress: entry.controlAddress
    })
    this.#cachedPeers = {
      listRevisions,
      peers: {
        ownDataCentre: others.filter(isInOwnDataCentre).map(addressesOf),
        otherDataCentres: others.filter(entry => !isInOwnDataCentre(entry)).map(addressesOf)
      }
    }
    return this.#cachedPeers.peers
  }

  #logError (error: StepError): void {
    const nowMs = this.#options.clock.monotonicMs()
    if (nowMs < this.#nextErrorLogAtMs) return
    this.#nextErrorLogAtMs = nowMs + ERROR_LOG_PERIOD_MS
    log.warn({ event: 'control_error', step: error.step, peer: error.peer, detail: error.message })
  }
}
