import { createSocket } from 'node:dgram'
import { once } from 'node:events'
import type { LeaseRequest, LeaseVote } from '../core/idempotency/idempotencyTypes.js'
import { waitUntil } from '../testing/valueServer.js'
import { createPeerLink, PEER_LINK_DEFAULTS, type PeerLink, type PeerLinkOptions } from './peerLink.js'
import type { PeerMessage } from './peerMessages.js'

const request: LeaseRequest = {
  kind: 'lease_request',
  requestId: 7,
  dataCentre: 'tartu',
  nodeId: 'vm-1',
  listRevision: 3,
  untilLabelMs: 1.7e12,
  baseRevision: 2,
  base: { listRevision: 2, voterIds: ['vm-1', 'vm-2'], fromLabelMs: 1.6e12 },
  voterIds: ['vm-1', 'vm-3']
}
const refusal: LeaseVote = { kind: 'lease_refused', requestId: 7, voterId: 'vm-2', highestRevision: 9 }

interface Opened { readonly link: PeerLink, readonly address: string, readonly received: Array<[PeerMessage, string]> }

const opened: PeerLink[] = []

async function open (options: Partial<PeerLinkOptions> = {}): Promise<Opened> {
  const received: Array<[PeerMessage, string]> = []
  const link = createPeerLink({
    ...PEER_LINK_DEFAULTS,
    host: '127.0.0.1',
    port: 0,
    incarnation: 'first',
    nowMs: () => 0,
    onMessage: (message, fromAddress) => { received.push([message, fromAddress]) },
    onLeaseRequest: () => refusal,
    ...options
  })
  opened.push(link)
  return { link, address: `127.0.0.1:${await link.start()}`, received }
}

async function sendRaw (address: string, ...texts: string[]): Promise<void> {
  const socket = createSocket('udp4')
  for (const text of texts) {
    await new Promise(resolve => { socket.send(text, Number(address.split(':')[1]), '127.0.0.1', resolve) })
  }
  socket.close()
}

describe('link between nodes', () => {
  afterEach(async () => { await Promise.all(opened.splice(0).map(link => link.stop())) })

  test('a message arrives with the sender\'s address, and both ends count its bytes', async () => {
    const [one, two] = [await open(), await open()]
    one.link.send(two.address, { kind: 'read', keys: ['catalogue'] })
    await waitUntil(() => two.received.length === 1)
    expect(two.received).toEqual([[{ kind: 'read', keys: ['catalogue'] }, one.address]])
    expect(two.link.counters().receivedBytes).toBe(one.link.counters().sentBytes)
    expect(one.link.counters().sentBytes).toBeGreaterThan(28)
  })

  test('a lease request is answered by the voter', async () => {
    const asked: LeaseRequest[] = []
    const voter = await open({ onLeaseRequest: found => { asked.push(found); return refusal } })
    const node = await open()
    expect((await node.link.requestLease(voter.address, request)).extract()).toEqual(refusal)
    expect(asked).toEqual([request])
  })

  test('a lease request to a voter that does not answer or fails returns an error', async () => {
    const silent = createSocket('udp4')
    silent.bind(0, '127.0.0.1')
    await once(silent, 'listening')
    const failing = await open({ onLeaseRequest: () => { throw new Error('broken') } })
    const node = await open({ leaseTimeoutMs: 20 })
    const answers = [
      await node.link.requestLease(`127.0.0.1:${silent.address().port}`, request),
      await node.link.requestLease(failing.address, request)
    ]
    silent.close()
    expect(answers.map(answer => answer.isLeft())).toEqual([true, true])
  })

  test('an answer from an address other than the voter\'s is dropped, so that votes cannot be forged', async () => {
    const node = await open({ leaseTimeoutMs: 100 })
    const silent = createSocket('udp4')
    silent.bind(0, '127.0.0.1')
    await once(silent, 'listening')
    const vote = node.link.requestLease(`127.0.0.1:${silent.address().port}`, request)
    const result = { vote: 'granted', request_id: 7, voter_id: 'vm-2', list_revision: 3, from_label_ms: 0, until_label_ms: 1 }
    await sendRaw(node.address, JSON.stringify({ jsonrpc: '2.0', id: 'first-0', result }))
    expect((await vote).isLeft()).toBe(true)
    expect(node.link.counters().malformedCount).toBe(1)
    silent.close()
  })

  test('invalid datagrams are counted, dropped and not answered', async () => {
    const node = await open()
    const wrong = [
      'no json', '[]', 'null', '{"jsonrpc":"2.0","method":"nothing","params":{}}',
      '{"jsonrpc":"2.0","method":"read","params":{"keys":"x"}}',
      '{"jsonrpc":"2.0","method":"read","params":{"keys":[]},"id":"1"}',
      '{"jsonrpc":"2.0","method":"lease_request","params":{}}',
      '{"jsonrpc":"2.0","method":"lease_request","params":{},"id":"1"}',
      '{"jsonrpc":"2.0","id":"first-0","result":{}}',
      `{"jsonrpc":"2.0","method":"read","params":{"keys":["${'x'.repeat(1_200)}"]}}`
    ]
    await sendRaw(node.address, ...wrong)
    await waitUntil(() => node.link.counters().malformedCount === wrong.length)
    expect([node.received, node.link.counters().sentBytes]).toEqual([[], 0])
  })

  test('messages above the rate limit of one address do not block those of another', async () => {
    let nowMs = 0
    const node = await open({ acceptedPerAddressPerS: 3, nowMs: () => nowMs })
    const [loud, quiet] = [await open(), await open()]
    for (let count = 0; count < 10; count += 1) loud.link.send(node.address, { kind: 'read', keys: ['loud'] })
    await waitUntil(() => node.link.counters().rateLimitedCount === 7)
    quiet.link.send(node.address, { kind: 'read', keys: ['quiet'] })
    await waitUntil(() => node.received.length === 4)
    nowMs = 1_000
    loud.link.send(node.address, { kind: 'read', keys: ['loud'] })
    await waitUntil(() => node.received.length === 5)
  })

  test('sending after the stop or to an invalid address is counted and does not throw', async () => {
    const node = await open()
    node.link.send('127.0.0.1:99999', { kind: 'read', keys: ['a'] })
    await node.link.stop()
    node.link.send('127.0.0.1:1', { kind: 'read', keys: ['a'] })
    expect(node.link.counters().sendFailuresCount).toBe(2)
  })
})
