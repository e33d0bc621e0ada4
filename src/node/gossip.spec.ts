import { documentsDefinition as documents } from '../core/documents/documentsDefinition.js'
import type { DocumentsDb } from '../core/documents/documentsDb.js'
import { documentValue, vmListValue } from '../testing/documentSamples.js'
import { startValueServer, waitUntil, type ValueServer } from '../testing/valueServer.js'
import { createPeerLink, PEER_LINK_DEFAULTS, type PeerLink } from './peerLink.js'
import { createGossip, GOSSIP_DEFAULTS, type PeerAddresses, type Gossip } from './gossip.js'
import { PEER_CLIENT_DEFAULTS, readFromPeer, ValueClient } from './valueClient.js'

interface TestNode {
  readonly addresses: PeerAddresses
  readonly db: DocumentsDb
  readonly spread: Gossip
  readonly link: PeerLink
  readonly server: ValueServer
  readonly client: ValueClient
  readonly confirmed: string[]
}

const nodes: TestNode[] = []
let nowMs = 0

/** Starts a node on loopback that sends digests every 20 ms of real time and uses `nowMs` as its clock. */
async function startNode (vmId: string, knownPeers: () => readonly TestNode[]): Promise<TestNode> {
  const db = documents.createDb(documents.defaults)
  const server = await startValueServer({ pathPrefix: '/ragwortspur/values/', valueOf: key => documents.valueOf(db, key) })
  const client = new ValueClient(PEER_CLIENT_DEFAULTS)
  const confirmed: string[] = []
  const link: PeerLink = createPeerLink({
    ...PEER_LINK_DEFAULTS,
    host: '127.0.0.1',
    port: 0,
    incarnation: vmId,
    nowMs: () => nowMs,
    acceptedPerAddressPerS: 10_000,
    acceptedPerS: 10_000,
    onMessage: (message, fromAddress) => { spread.onMessage(message, fromAddress) },
    onLeaseRequest: () => { throw new Error('not under test') }
  })
  const spread: Gossip = createGossip({
    ...GOSSIP_DEFAULTS,
    documents,
    db,
    ownDataCentre: 'tartu',
    ownCallPort: server.port,
    peers: () => ({
      ownDataCentre: knownPeers().filter(one => one.db !== db).map(one => one.addresses), otherDataCentres: []
    }),
    send: (toAddress, message) => { link.send(toAddress, message) },
    pullValue: (callAddress, key) => readFromPeer(client, callAddress, key),
    offerValue: value => documents.offerValue(db, value, nowMs),
    onListConfirmed: confirmation => { confirmed.push(confirmation.key) },
    onError: () => {},
    random: Math.random,
    nowMs: () => nowMs,
    startTimer: (_periodMs, run) => {
      const timer = setInterval(run, 20)
      return () => { clearInterval(timer) }
    }
  })
  const controlAddress = `127.0.0.1:${await link.start()}`
  const addresses = { vmId, callAddress: `127.0.0.1:${server.port}`, controlAddress }
  const node = { addresses, db, spread, link, server, client, confirmed }
  nodes.push(node)
  spread.start()
  return node
}

function versions (): number[] {
  return nodes.map(node => documents.documentOf(node.db, 'delivery-booking')?.document.version ?? 0)
}

describe('gossip between nodes over sockets', () => {
  afterEach(async () => {
    for (const node of nodes.splice(0)) {
      node.spread.stop()
      node.client.close()
      await node.link.stop()
      await node.server.stop()
    }
  })

  test('a new document reaches all nodes through summaries and reads, and a newer one replaces it', async () => {
    for (const vmId of ['a', 'b', 'c', 'd']) await startNode(vmId, () => nodes)
    for (const version of [7, 8]) {
      documents.offerValue(nodes[0]!.db, documentValue(version, version), 0)
      nodes[0]!.spread.announce('documents/delivery-booking')
      await waitUntil(() => versions().every(found => found === version))
    }
    expect(new Set(nodes.map(node => documents.digest(node.db))).size).toBe(1)
  })

  test('a node that starts empty gets all values from a peer that does not list it', async () => {
    const full = await startNode('full', () => [])
    for (let index = 0; index < 60; index += 1) documents.offerValue(full.db, documentValue(7, 1, `service-${index}`), 0)
    const fresh = await startNode('fresh', () => [full])
    await waitUntil(() => documents.digest(fresh.db) === documents.digest(full.db))
    expect(fresh.spread.pendingPullsCount()).toBe(0)
  })

  test('digests confirm VM lists, but a node that was just paused ignores the confirmations', async () => {
    const [reader, other] = [await startNode('a', () => nodes), await startNode('b', () => nodes)]
    for (const node of [reader, other]) documents.offerValue(node.db, vmListValue('tartu', 4, ['a', 'b']), 0)
    documents.recordPollResult(reader.db, 'vms/tartu', true, nowMs)
    await waitUntil(() => other.confirmed.length === 1)
    nowMs += 10_000
    documents.recordPollResult(reader.db, 'vms/tartu', true, nowMs)
    const before = other.link.counters().receivedBytes
    await waitUntil(() => other.link.counters().receivedBytes > before + 500)
    expect(other.confirmed.length).toBe(1)
    nowMs += 1_000
    await waitUntil(() => other.confirmed.length === 2)
  })
})
