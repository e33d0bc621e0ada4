import { createJSONRPCRequest, createJSONRPCSuccessResponse } from 'json-rpc-2.0'
import { documentsDefinition as documents } from '../src/core/documents/documentsDefinition.js'
import type { DocumentsDb } from '../src/core/documents/documentsDb.js'
import { idempotencyDefinition as idempotency } from '../src/core/idempotency/idempotencyDefinition.js'
import type { IdempotencyDb } from '../src/core/idempotency/idempotencyDb.js'
import { DATAGRAM_HEADER_BYTES } from '../src/node/controlBytes.js'
import { encodeLeaseRequest, encodeVote } from '../src/node/leaseMessages.js'
import { encodeMessage } from '../src/node/peerMessages.js'
import { createGossip, GOSSIP_DEFAULTS, type PeerAddresses } from '../src/node/gossip.js'
import { documentValue } from '../src/testing/documentSamples.js'
import { SpreadSimulation } from '../src/testing/spreadSimulation.js'
import { Right } from 'purify-ts'
import { printSlope, sampleStats, type Point } from './slopesFit.js'
import { dataCentreName, DESIGN_SIZE, nodeName, OWN_DATA_CENTRE, serviceName, valuesOf, type FleetSize } from './slopesValues.js'

const REPEATS_COUNT = 3
const WALL_START_MS = 1_800_000_000_000
const TICK_MS = 500

/** Bytes of a message on the network, with the headers of its datagram. */
function datagramBytes (payload: object | string): number {
  return Buffer.byteLength(typeof payload === 'string' ? payload : JSON.stringify(payload)) + DATAGRAM_HEADER_BYTES
}

interface LeaseTraffic {
  readonly requestsPerS: number
  readonly bytesPerS: number
}

/** Simulates the nodes of one data centre that request leases from its voters, on a network without delay or loss. */
class LeaseSimulation {
  readonly #dbs = new Map<string, IdempotencyDb>()
  readonly #voterIds: readonly string[]
  readonly #measuredVoterId: string
  #messagesBytes = 0
  #requestsCount = 0

  constructor (nodesCount: number) {
    const nodeIds = Array.from({ length: nodesCount }, (_, index) => nodeName(index))
    this.#voterIds = nodeIds.slice(0, idempotency.defaults.votersCount)
    this.#measuredVoterId = this.#voterIds[0]!
    for (const nodeId of nodeIds) {
      const db = idempotency.createDb(idempotency.defaults)
      idempotency.start(db, nodeId, 0, WALL_START_MS)
      const view = { dataCentre: OWN_DATA_CENTRE, listRevision: 1_000, voterIds: this.#voterIds }
      idempotency.setVoters(db, view, 0, WALL_START_MS)
      this.#dbs.set(nodeId, db)
    }
  }

  /** Measures the lease traffic that one voter sends and receives, as a requester and as a voter. */
  measureTraffic (fromMs: number, durationMs: number): LeaseTraffic {
    this.#messagesBytes = 0
    this.#requestsCount = 0
    for (let nowMs = fromMs; nowMs < fromMs + durationMs; nowMs += TICK_MS) this.#tick(nowMs)
    const seconds = durationMs / 1_000
    return { requestsPerS: this.#requestsCount / seconds, bytesPerS: this.#messagesBytes / seconds }
  }

  #tick (nowMs: number): void {
    const wallMs = WALL_START_MS + nowMs
    for (const [nodeId, db] of this.#dbs) {
      for (const { voterId, request } of idempotency.leaseRequests(db, nowMs, wallMs)) {
        const vote = idempotency.onLeaseRequest(this.#dbs.get(voterId)!, request, nowMs, wallMs)
        idempotency.onLeaseVote(db, vote, nowMs, wallMs)
        if (nodeId !== this.#measuredVoterId && voterId !== this.#measuredVoterId) continue
        const id = `a1b2c3d4-${this.#requestsCount + 10_000}`
        const requestMessage = createJSONRPCRequest(id, 'lease_request', encodeLeaseRequest(request))
        this.#messagesBytes += datagramBytes(requestMessage) +
          datagramBytes(createJSONRPCSuccessResponse(id, encodeVote(vote)))
        if (voterId === this.#measuredVoterId) this.#requestsCount += 1
      }
    }
  }
}

function measureLeases (): void {
  const counts = [24, 48, 96, 190]
  const measurePoints = (selectFigure: (traffic: LeaseTraffic) => number): Point[] => counts.map(x => {
    const simulation = new LeaseSimulation(x)
    simulation.measureTraffic(0, 30_000)
    const readings = Array.from({ length: REPEATS_COUNT }, (_, at) =>
      selectFigure(simulation.measureTraffic(30_000 * (at + 1), 30_000)))
    return { x, y: sampleStats(readings) }
  })
  printSlope('lease requests at a voter', '1/s', 'requesting node', measurePoints(traffic => traffic.requestsPerS))
  printSlope('lease bytes of a voter, both directions', 'B/s', 'requesting node',
    measurePoints(traffic => traffic.bytesPerS))
}

/** Bytes of gossip digests that one idle node sends per second; it receives as many on average. */
function idleGossipBytesPerS (size: FleetSize): number {
  const db = documents.createDb(documents.defaults)
  for (const value of valuesOf(size)) documents.offerValue(db, value, 0)
  const peers = Array.from({ length: size.peersCount }, (_, index): PeerAddresses => ({
    vmId: nodeName(index), callAddress: `127.0.0.1:${index}`, controlAddress: `127.0.0.1:${index}`
  }))
  let sentBytes = 0
  let runOnce: () => void = () => {}
  let nowMs = 0
  const spread = createGossip({
    ...GOSSIP_DEFAULTS,
    documents,
    db,
    ownDataCentre: OWN_DATA_CENTRE,
    ownCallPort: 1,
    peers: () => ({ ownDataCentre: peers.slice(0, 190), otherDataCentres: peers.slice(190) }),
    send: (_to, message) => { for (const text of encodeMessage(message)) sentBytes += datagramBytes(text) },
    pullValue: () => Promise.resolve(Right({ kind: 'unchanged' })),
    offerValue: () => ({ kind: 'known' }),
    onListConfirmed: () => {},
    onError: () => {},
    random: Math.random,
    nowMs: () => nowMs,
    startTimer: (_periodMs, run) => {
      runOnce = run
      return () => {}
    }
  })
  spread.start()
  for (let second = 1; second <= 20; second += 1) {
    nowMs = second * 1_000
    for (let at = 0; at < size.dataCentresCount; at += 1) {
      documents.recordConfirmation(db, { key: `vms/${dataCentreName(at)}`, revision: 1, ageMs: 700 }, nowMs)
    }
    runOnce()
  }
  return sentBytes / 20
}

function measureGossip (): void {
  const points = [31, 620, 2_480, 5_900].map(x => {
    const size = { ...DESIGN_SIZE, peersCount: x, documentsCount: 20 }
    return { x, y: sampleStats(Array.from({ length: REPEATS_COUNT }, () => idleGossipBytesPerS(size))) }
  })
  printSlope('digest bytes sent by an idle node', 'B/s', 'peer', points)
}

/** Traffic of a simulated idle fleet, and the time that a published change takes to reach all nodes. */
interface FleetReading {
  readonly readsPerS: number
  readonly nodeBytesPerS: number
  readonly propagationMs: number
}

const CHANGES_COUNT = 3
const IDLE_MS = 8_000
const STEP_MS = 50

/** Publishes a document version and returns the time in ms until all nodes hold it, at most 60 s. */
async function propagateChangeMs (world: SpreadSimulation, version: number): Promise<number> {
  const fromMs = world.nowMs
  const { key, revision } = world.publish(documentValue(version, 0, serviceName(0)))
  const holdsRevision = (db: DocumentsDb): boolean => (db.heldValues.get(key)?.value.revision ?? 0) >= revision
  const isEverywhere = (): boolean => world.nodes.every(node => holdsRevision(node.db))
  while (!isEverywhere() && world.nowMs < fromMs + 60_000) await world.runUntil(world.nowMs + STEP_MS)
  return world.nowMs - fromMs
}

async function measureFleetOfSize (nodesPerDataCentre: number, documentsCount: number): Promise<FleetReading[]> {
  const centres = Array.from({ length: DESIGN_SIZE.dataCentresCount }, (_, index) => dataCentreName(index))
  const services = Array.from({ length: documentsCount }, (_, index) => serviceName(index))
  const world = new SpreadSimulation(1, centres, nodesPerDataCentre, services)
  await world.runUntil(12_000)
  const readings: FleetReading[] = []
  for (let change = 1; change <= CHANGES_COUNT; change += 1) {
    for (const node of world.nodes) node.bytes = 0
    const readsBefore = world.platformReadsCount
    await world.runUntil(world.nowMs + IDLE_MS)
    const nodeBytesPerS = world.nodes.reduce((sum, node) => sum + node.bytes, 0) / world.nodes.length / IDLE_MS * 1_000
    const readsPerS = (world.platformReadsCount - readsBefore) / IDLE_MS * 1_000
    readings.push({ readsPerS, nodeBytesPerS, propagationMs: await propagateChangeMs(world, change) })
  }
  return readings
}

async function measureFleet (
  per: string, sizes: ReadonlyArray<{ readonly x: number, readonly nodes: number, readonly documents: number }>
): Promise<void> {
  const readings: Array<{ x: number, found: FleetReading[] }> = []
  for (const size of sizes) readings.push({ x: size.x, found: await measureFleetOfSize(size.nodes, size.documents) })
  const fitPoints = (pick: (one: FleetReading) => number): Point[] =>
    readings.map(({ x, found }) => ({ x, y: sampleStats(found.map(pick)) }))
  printSlope('reads of the platform by the fleet', '1/s', per, fitPoints(one => one.readsPerS))
  printSlope('gossip and read bytes of a node, both directions', 'B/s', per, fitPoints(one => one.nodeBytesPerS))
  printSlope('change in force everywhere', 'ms', per, fitPoints(one => one.propagationMs))
}

/** Measures the control traffic of the real gossip, reader and lease code in simulations. */
export async function measureControl (): Promise<void> {
  measureGossip()
  measureLeases()
  const centresCount = DESIGN_SIZE.dataCentresCount
  await measureFleet('node', [1, 2, 3, 5].map(nodes => ({ x: nodes * centresCount, nodes, documents: 400 })))
  await measureFleet('document', [50, 100, 200, 400].map(documentsCount => {
    return { x: documentsCount, nodes: 1, documents: documentsCount }
  }))
}
