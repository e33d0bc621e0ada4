import { Left, Right, type Either } from 'purify-ts'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import type { RandomSource } from '../core/coreTypes.js'
import { documentsDefinition as documents } from '../core/documents/documentsDefinition.js'
import type { DocumentsDb } from '../core/documents/documentsDb.js'
import type { PollRequest, PublishedValue } from '../core/documents/documentsTypes.js'
import { Step, StepError } from '../errors/errors.js'
import { DATAGRAM_HEADER_BYTES } from '../node/controlBytes.js'
import { encodeMessage, MESSAGE_METHODS, readMessage, type PeerMessage } from '../node/peerMessages.js'
import { createGossip, GOSSIP_DEFAULTS, type PeerAddresses, type Gossip } from '../node/gossip.js'
import type { ValueAnswer } from '../node/valueClient.js'
import { catalogueValue, vmListValue } from './documentSamples.js'

/** How the simulated platform answers: normally, never, with the values of an earlier time, or with random versions. */
export type PlatformMode = 'ok' | 'down' | 'stale' | 'older'

export interface SimulatedNode {
  readonly vmId: string
  readonly dataCentre: string
  readonly addresses: PeerAddresses
  incarnation: number
  isRunning: boolean
  pausedUntilMs: number
  db: DocumentsDb
  spread: Gossip
  bytes: number
}

const POLL_TIMER_MS = 100
const PULL_TIMEOUT_MS = 2_000
const HTTP_HEAD_BYTES = 300
const LATENCY_MIN_MS = 1
const LATENCY_SPREAD_MS = 4

/**
 * Deterministic simulation of the gossip between nodes in several data centres. All nodes run in this process on a
 * simulated clock. The tests can make the simulated network and the simulated platform fail.
 */
export class SpreadSimulation {
  readonly nodes: SimulatedNode[]
  readonly dataCentres: readonly string[]
  /** All values published on the platform so far, by key, oldest first. Modes `stale` and `older` serve old ones. */
  readonly platformHistory = new Map<string, PublishedValue[]>()
  readonly random: RandomSource
  /** Called after each event that a node has processed. */
  afterEvent: (node: SimulatedNode) => void = () => {}
  nowMs = 0
  lossRatio = 0
  platformMode: PlatformMode = 'ok'
  platformReadsCount = 0
  /** Network partition of each data centre; data centres with equal numbers can reach each other. */
  readonly partitionIds = new Map<string, number>()
  /** Data centres whose nodes cannot reach the platform. */
  readonly cutFromPlatform = new Set<string>()
  /** Ids of VMs that can reach neither other nodes nor the platform. */
  readonly isolatedVmIds = new Set<string>()
  #revision = 0
  #staleRevision = 0
  #hasFinishedPull = false
  readonly #eventsByTimeMs = new Map<number, Array<() => void>>()
  readonly #nodesByControlAddress = new Map<string, SimulatedNode>()
  readonly #nodesByCallAddress = new Map<string, SimulatedNode>()

  constructor (seed: number, dataCentres: readonly string[], nodesPerDataCentre: number, services: readonly string[]) {
    const generator = xoroshiro128plus(seed)
    this.random = () => uniformFloat64(generator)
    this.dataCentres = dataCentres
    this.nodes = dataCentres.flatMap((dataCentre, at) => Array.from({ length: nodesPerDataCentre }, (_, index) => {
      const host = `10.0.${at}.${index}`
      const vmId = `${dataCentre}-${index}`
      return this.#makeNode(dataCentre, { vmId, callAddress: `${host}:1`, controlAddress: `${host}:2` })
    }))
    for (const dataCentre of dataCentres) {
      this.partitionIds.set(dataCentre, 0)
      this.publishList(dataCentre)
    }
    this.publish(catalogueValue(0, services, dataCentres))
    for (const node of this.nodes) this.#startNode(node)
  }

  /** Publishes a value on the platform with the next revision number. */
  publish (value: PublishedValue): PublishedValue {
    this.#revision += 1
    const published = { ...value, revision: this.#revision }
    this.platformHistory.set(value.key, [...this.platformHistory.get(value.key) ?? [], published])
    return published
  }

  publishList (dataCentre: string): void {
    const vmIds = this.nodes.filter(node => node.dataCentre === dataCentre).map(node => node.vmId)
    this.publish(vmListValue(dataCentre, 0, vmIds))
  }

  setPlatformMode (mode: PlatformMode): void {
    this.platformMode = mode
    this.#staleRevision = this.#revision
  }

  /** Stops a node now and restarts it after `afterMs` with empty state. */
  restart (node: SimulatedNode, afterMs: number): void {
    if (!node.isRunning) return
    node.isRunning = false
    node.spread.stop()
    this.schedule(afterMs, () => {
      node.incarnation += 1
      node.pausedUntilMs = 0
      node.db = documents.createDb(documents.defaults)
      node.spread = this.#openSpread(node)
      this.#startNode(node)
      this.publishList(node.dataCentre)
    })
  }

  /** Schedules a function to run `afterMs` from now, at least 1 ms. */
  schedule (afterMs: number, run: () => void): void {
    const atMs = Math.ceil(this.nowMs + Math.max(1, afterMs))
    const due = this.#eventsByTimeMs.get(atMs)
    if (due === undefined) this.#eventsByTimeMs.set(atMs, [run])
    else due.push(run)
  }

  async runUntil (untilMs: number): Promise<void> {
    while (this.nowMs < untilMs) {
      this.nowMs += 1
      const due = this.#eventsByTimeMs.get(this.nowMs) ?? []
      this.#eventsByTimeMs.delete(this.nowMs)
      for (const run of due) run()
      // Pulls return promises, whose continuations must run before the clock advances.
      if (this.#hasFinishedPull) await new Promise(resolve => { setImmediate(resolve) })
      this.#hasFinishedPull = false
    }
  }

  canReach (from: SimulatedNode, to: SimulatedNode): boolean {
    if (from.vmId === to.vmId) return true
    if (this.isolatedVmIds.has(from.vmId) || this.isolatedVmIds.has(to.vmId)) return false
    return this.partitionIds.get(from.dataCentre) === this.partitionIds.get(to.dataCentre)
  }

  canReachPlatform (node: SimulatedNode): boolean {
    return !this.cutFromPlatform.has(node.dataCentre) && !this.isolatedVmIds.has(node.vmId)
  }

  #makeNode (dataCentre: string, addresses: PeerAddresses): SimulatedNode {
    const db = documents.createDb(documents.defaults)
    const vmId = addresses.vmId
    const state = { vmId, dataCentre, addresses, incarnation: 0, isRunning: true, pausedUntilMs: 0, db, bytes: 0 }
    const node = state as SimulatedNode
    node.spread = this.#openSpread(node)
    this.#nodesByControlAddress.set(addresses.controlAddress, node)
    this.#nodesByCallAddress.set(addresses.callAddress, node)
    return node
  }

  #openSpread (node: SimulatedNode): Gossip {
    const { db } = node
    return createGossip({
      ...GOSSIP_DEFAULTS,
      documents,
      db,
      ownDataCentre: node.dataCentre,
      ownCallPort: 1,
      peers: () => ({
        ownDataCentre: this.#peersOf(node, true), otherDataCentres: this.#peersOf(node, false)
      }),
      send: (toAddress, message) => { this.#sendDatagrams(node, toAddress, message) },
      pullValue: (callAddress, key) => this.#pullValue(node, callAddress, key),
      offerValue: value => {
        const result = documents.offerValue(db, value, this.nowMs)
        this.afterEvent(node)
        return result
      },
      onListConfirmed: () => {},
      onError: () => {},
      random: this.random,
      nowMs: () => this.nowMs,
      startTimer: (periodMs, run) => this.#repeatAtNode(node, periodMs, run)
    })
  }

  #peersOf (node: SimulatedNode, inOwnDataCentre: boolean): PeerAddresses[] {
    return this.nodes.filter(peer => peer !== node && (peer.dataCentre === node.dataCentre) === inOwnDataCentre)
      .map(peer => peer.addresses)
  }

  #startNode (node: SimulatedNode): void {
    node.isRunning = true
    node.spread.start()
    this.#repeatAtNode(node, POLL_TIMER_MS, () => {
      const liveVmIds = this.nodes.filter(peer => peer.dataCentre === node.dataCentre).map(peer => peer.vmId)
      const view = {
        ownVmId: node.vmId, ownDataCentre: node.dataCentre, dataCentres: this.dataCentres, liveVmIds
      }
      for (const poll of documents.duePolls(node.db, view, this.nowMs)) this.#readPlatform(node, poll)
    })
  }

  /**
   * Schedules an event at a node. If the node is paused at that time, the event runs when the pause ends. If the node
   * has been stopped or restarted since, the event is dropped.
   */
  #scheduleAtNode (node: SimulatedNode, afterMs: number, run: () => void, incarnation = node.incarnation): void {
    this.schedule(afterMs, () => {
      if (!node.isRunning || node.incarnation !== incarnation) return
      if (node.pausedUntilMs > this.nowMs) {
        this.#scheduleAtNode(node, node.pausedUntilMs - this.nowMs, run, incarnation)
        return
      }
      run()
      this.afterEvent(node)
    })
  }

  #repeatAtNode (node: SimulatedNode, periodMs: number, run: () => void): () => void {
    let isCancelled = false
    const next = (afterMs: number): void => {
      this.#scheduleAtNode(node, afterMs, () => {
        if (isCancelled) return
        run()
        next(periodMs)
      })
    }
    next(this.random() * periodMs)
    return () => { isCancelled = true }
  }

  #latencyMs (): number {
    return LATENCY_MIN_MS + this.random() * LATENCY_SPREAD_MS
  }

  #sendDatagrams (from: SimulatedNode, toAddress: string, message: PeerMessage): void {
    const to = this.#nodesByControlAddress.get(toAddress)!
    for (const text of encodeMessage(message)) {
      const sizeBytes = Buffer.byteLength(text) + DATAGRAM_HEADER_BYTES
      from.bytes += sizeBytes
      if (!this.canReach(from, to) || this.random() < this.lossRatio) continue
      const { method, params } = JSON.parse(text) as { method: typeof MESSAGE_METHODS[number], params: unknown }
      this.#scheduleAtNode(to, this.#latencyMs(), () => {
        to.bytes += sizeBytes
        to.spread.onMessage(readMessage(method, params).unsafeCoerce(), from.addresses.controlAddress)
      })
    }
  }

  #pullValue (from: SimulatedNode, callAddress: string, key: string): Promise<Either<StepError, ValueAnswer>> {
    const to = this.#nodesByCallAddress.get(callAddress)!
    return new Promise(resolve => {
      let isDone = false
      const finish = (answer: Either<StepError, ValueAnswer>): void => {
        if (isDone) return
        isDone = true
        this.#hasFinishedPull = true
        resolve(answer)
      }
      const timeout = new StepError(Step.PeerMessage, callAddress, 'timeout')
      this.#scheduleAtNode(from, PULL_TIMEOUT_MS, () => { finish(Left(timeout)) })
      if (!this.canReach(from, to)) return
      this.#scheduleAtNode(to, this.#latencyMs(), () => {
        const value = documents.valueOf(to.db, key)
        const sizeBytes = HTTP_HEAD_BYTES + (value?.text.length ?? 0)
        to.bytes += sizeBytes
        this.#scheduleAtNode(from, this.#latencyMs(), () => {
          from.bytes += sizeBytes
          finish(Right(value === undefined ? { kind: 'unchanged' } : { kind: 'newer', value }))
        })
      })
    })
  }

  /** Returns the value that the platform sends, null if it sends none, or undefined if the node gets no answer. */
  #platformAnswer (node: SimulatedNode, poll: PollRequest): PublishedValue | null | undefined {
    if (this.platformMode === 'down' || !this.canReachPlatform(node)) return undefined
    const history = this.platformHistory.get(poll.key) ?? []
    if (this.platformMode === 'older') return history[Math.floor(this.random() * history.length)] ?? null
    const maxRevision = this.platformMode === 'stale' ? this.#staleRevision : Infinity
    const newest = history.filter(value => value.revision <= maxRevision).at(-1)
    return newest === undefined || newest.revision <= poll.afterRevision ? null : newest
  }

  #readPlatform (node: SimulatedNode, poll: PollRequest): void {
    this.platformReadsCount += 1
    const answer = this.#platformAnswer(node, poll)
    const sizeBytes = HTTP_HEAD_BYTES + (answer?.text.length ?? 0)
    this.#scheduleAtNode(node, 2 * this.#latencyMs(), () => {
      node.bytes += sizeBytes
      // The real platform reader drops answers that are not newer. Here they reach the documents module, which must
      // refuse them itself.
      const result = answer == null ? null : documents.offerValue(node.db, answer, this.nowMs)
      const isOlder = answer != null && answer.revision <= poll.afterRevision
      documents.recordPollResult(node.db, poll.key, answer !== undefined && !isOlder, this.nowMs)
      if (result?.kind === 'accepted' || result?.kind === 'stored') node.spread.announce(poll.key)
      if (answer !== undefined && !isOlder) node.spread.announceRead(poll.key)
    })
  }
}
