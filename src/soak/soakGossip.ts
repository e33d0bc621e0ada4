import { Left, Right } from 'purify-ts'
import { documentsDefinition } from '../core/documents/documentsDefinition.js'
import type { OfferResult, PublishedValue } from '../core/documents/documentsTypes.js'
import type { LeaseRequest } from '../core/idempotency/idempotencyTypes.js'
import { membershipDefinition } from '../core/membership/membershipDefinition.js'
import { Step, StepError } from '../errors/errors.js'
import type { PeerMessage } from '../node/peerMessages.js'
import { createGossip, GOSSIP_DEFAULTS } from '../node/gossip.js'
import type { PeerAddresses, Gossip, GossipOptions, GossipPeers } from '../node/gossip.js'
import type { SoakFleet } from './soakFleet.js'
import type { SoakNode } from './soakNode.js'

type PullResult = Awaited<ReturnType<GossipOptions['pullValue']>>

/** The control messages of one node: the production gossip code over the simulated network. */
export class SoakGossip {
  readonly #fleet: SoakFleet
  readonly #node: SoakNode
  readonly #spread: Gossip

  constructor (fleet: SoakFleet, node: SoakNode) {
    this.#fleet = fleet
    this.#node = node
    this.#spread = createGossip({
      ...GOSSIP_DEFAULTS,
      documents: documentsDefinition,
      db: node.db.modules.documents,
      ownDataCentre: node.entry.dataCentre,
      ownCallPort: 1,
      peers: () => this.#peers(),
      send: (toAddress, message) => this.#send(toAddress, message),
      pullValue: (callAddress, key) => this.#pull(callAddress, key),
      offerValue: value => this.offer(value, false),
      onListConfirmed: confirmation => { node.emit({ kind: 'confirmation_received', confirmation }) },
      onError: () => {},
      random: fleet.simulation.random,
      nowMs: () => fleet.simulation.nowMs,
      startTimer: (periodMs, run) => fleet.simulation.scheduleEvery(periodMs, () => node.runWhenResumed(run))
    })
  }

  start (): void {
    this.#spread.start()
  }

  stop (): void {
    this.#spread.stop()
  }

  offer (value: PublishedValue, shouldAnnounce: boolean): OfferResult {
    const commands = this.#node.handle({ kind: 'value_received', value })
    const offerCommand = commands.find(command => command.kind === 'value_offered')
    const result: OfferResult = offerCommand?.kind === 'value_offered' ? offerCommand.result : { kind: 'known' }
    if (shouldAnnounce && (result.kind === 'accepted' || result.kind === 'stored')) this.#spread.announce(value.key)
    this.#fleet.checks.checkVersions(this.#node)
    return result
  }

  notifyReadDone (key: string): void {
    this.#spread.announceRead(key)
  }

  broadcast (message: PeerMessage): void {
    const { ownDataCentre, otherDataCentres } = this.#peers()
    for (const peer of [...ownDataCentre, ...otherDataCentres]) this.#send(peer.controlAddress, message)
  }

  requestLease (address: string, request: LeaseRequest): void {
    const { network } = this.#fleet
    network.sendDatagram(this.#node.endpoint, this.#fleet.nodeAt(address), voter => {
      const commands = voter.handle({ kind: 'lease_request_received', request })
      const voteCommand = commands.find(command => command.kind === 'lease_vote')
      if (voteCommand?.kind !== 'lease_vote') return
      network.sendDatagram(voter.endpoint, this.#node, node => node.emit({ kind: 'lease_vote_received', vote: voteCommand.vote }))
    })
  }

  receiveMessage (message: PeerMessage, fromAddress: string): void {
    switch (message.kind) {
      case 'draining':
        this.#node.handle({ kind: 'peer_draining', nodeId: message.vmId, isDraining: message.isDraining })
        return
      case 'quarantine_hint':
        this.#node.handle({ kind: 'quarantine_hint_received', fingerprint: message.fingerprint, forMs: message.forMs })
        return
      default:
        this.#spread.onMessage(message, fromAddress)
    }
  }

  #send (toAddress: string, message: PeerMessage): void {
    const fromAddress = this.#node.entry.controlAddress
    this.#fleet.network.sendDatagram(this.#node.endpoint, this.#fleet.nodeAt(toAddress), to => {
      to.gossip.receiveMessage(message, fromAddress)
    })
  }

  /** Pulls a value over a simulated connection; the promise resolves between two steps of the run. */
  #pull (callAddress: string, key: string): Promise<PullResult> {
    const { network } = this.#fleet
    const peer = this.#fleet.nodeAt(callAddress)
    const failed = Left<StepError, never>(new StepError(Step.PeerMessage, callAddress, 'not reached'))
    if (peer === undefined || !peer.isAlive || peer.isPaused || network.isCut(this.#node.endpoint, peer.endpoint)) {
      return Promise.resolve(failed)
    }
    const value = documentsDefinition.valueOf(peer.db.modules.documents, key)
    const ownValue = documentsDefinition.valueOf(this.#node.db.modules.documents, key)
    if (value === undefined || value.revision <= (ownValue?.revision ?? 0)) return Promise.resolve(Right({ kind: 'unchanged' }))
    return Promise.resolve(Right({ kind: 'newer', value }))
  }

  #peers (): GossipPeers {
    const { modules, settings } = this.#node.db
    const others = membershipDefinition.lists(modules.membership).flatMap(list => list.entries)
      .filter(entry => entry.vmId !== settings.nodeId)
    const ownDataCentre: PeerAddresses[] = others.filter(entry => entry.dataCentre === settings.dataCentre)
    return { ownDataCentre, otherDataCentres: others.filter(entry => entry.dataCentre !== settings.dataCentre) }
  }
}
