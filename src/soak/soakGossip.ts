import { Left, Right } from 'purify-ts'
import { documentsDefinition } from '../core/documents/documentsDefinition.js'
import type { OfferResult, PublishedValue } from '../core/documents/documentsTypes.js'
import type { LeaseRequest } from '../core/idempotency/idempotencyTypes.js'
import { membershipDefinition } from '../core/membership/membershipDefinition.js'
import { Step, StepError } from '../errors/errors.js'
import type { PeerMessage } from '../node/peerMessages.js'
import { openSpread, SPREAD_DEFAULTS } from '../node/spread.js'
import type { PeerAddresses, Spread, SpreadOptions, SpreadPeers } from '../node/spread.js'
import type { SoakFleet } from './soakFleet.js'
import type { SoakNode } from './soakNode.js'

type PullResult = Awaited<ReturnType<SpreadOptions['pull']>>

/** The control messages of one node: the real spread over the fake network. */
export class SoakGossip {
  readonly #fleet: SoakFleet
  readonly #node: SoakNode
  readonly #spread: Spread

  constructor (fleet: SoakFleet, node: SoakNode) {
    this.#fleet = fleet
    this.#node = node
    this.#spread = openSpread({
      ...SPREAD_DEFAULTS,
      documents: documentsDefinition,
      db: node.db.modules.documents,
      ownDataCentre: node.entry.dataCentre,
      ownCallPort: 1,
      peers: () => this.#peers(),
      send: (toAddress, message) => this.#send(toAddress, message),
      pull: (callAddress, key) => this.#pull(callAddress, key),
      offer: value => this.offer(value, false),
      onConfirmed: confirmation => { node.emit({ kind: 'confirmation_received', confirmation }) },
      onError: () => {},
      random: fleet.world.random,
      nowMs: () => fleet.world.nowMs,
      every: (periodMs, run) => fleet.world.every(periodMs, () => node.whenAwake(run))
    })
  }

  start (): void {
    this.#spread.start()
  }

  stop (): void {
    this.#spread.stop()
  }

  offer (value: PublishedValue, announces: boolean): OfferResult {
    const commands = this.#node.handle({ kind: 'value_received', value })
    const offered = commands.find(command => command.kind === 'value_offered')
    const result: OfferResult = offered?.kind === 'value_offered' ? offered.result : { kind: 'known' }
    if (announces && (result.kind === 'accepted' || result.kind === 'stored')) this.#spread.announce(value.key)
    this.#fleet.checks.noteVersions(this.#node)
    return result
  }

  readDone (key: string): void {
    this.#spread.readDone(key)
  }

  tell (message: PeerMessage): void {
    const { ownDataCentre, otherDataCentres } = this.#peers()
    for (const peer of [...ownDataCentre, ...otherDataCentres]) this.#send(peer.controlAddress, message)
  }

  requestLease (address: string, request: LeaseRequest): void {
    const { network } = this.#fleet
    network.datagram(this.#node.place, this.#fleet.nodeAt(address), voter => {
      const commands = voter.handle({ kind: 'lease_request_received', request })
      const voted = commands.find(command => command.kind === 'lease_vote')
      if (voted?.kind !== 'lease_vote') return
      network.datagram(voter.place, this.#node, node => node.emit({ kind: 'lease_vote_received', vote: voted.vote }))
    })
  }

  receive (message: PeerMessage, fromAddress: string): void {
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
    this.#fleet.network.datagram(this.#node.place, this.#fleet.nodeAt(toAddress), to => {
      to.gossip.receive(message, fromAddress)
    })
  }

  /** Pulls a value over a fake connection; the promise resolves between two steps of the run. */
  #pull (callAddress: string, key: string): Promise<PullResult> {
    const { network } = this.#fleet
    const peer = this.#fleet.nodeAt(callAddress)
    const failed = Left<StepError, never>(new StepError(Step.PeerMessage, callAddress, 'not reached'))
    if (peer === undefined || !peer.isAlive || peer.isPaused || network.isCut(this.#node.place, peer.place)) {
      return Promise.resolve(failed)
    }
    const value = documentsDefinition.valueOf(peer.db.modules.documents, key)
    const held = documentsDefinition.valueOf(this.#node.db.modules.documents, key)
    if (value === undefined || value.revision <= (held?.revision ?? 0)) return Promise.resolve(Right({ kind: 'unchanged' }))
    return Promise.resolve(Right({ kind: 'newer', value }))
  }

  #peers (): SpreadPeers {
    const { modules: family, settings } = this.#node.db
    const others = membershipDefinition.lists(family.membership).flatMap(list => list.entries)
      .filter(entry => entry.vmId !== settings.nodeId)
    const near: PeerAddresses[] = others.filter(entry => entry.dataCentre === settings.dataCentre)
    return { ownDataCentre: near, otherDataCentres: others.filter(entry => entry.dataCentre !== settings.dataCentre) }
  }
}
