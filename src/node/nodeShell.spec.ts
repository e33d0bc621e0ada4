import { once } from 'node:events'
import type { ServerResponse } from 'node:http'
import { call, TestNodeCluster, SERVICE } from '../testing/testNodeCluster.js'
import type { TestAnswer } from '../testing/testNodeCluster.js'
import { waitUntil } from '../testing/valueServer.js'

const BACKEND_IP = '127.0.0.2'
const PATH = `/${SERVICE}/stock`
const EARLY_PROBE_MS = 100

const world = new TestNodeCluster()

afterEach(async () => { await world.stop() })

interface HeldCall {
  readonly answer: Promise<TestAnswer>
  readonly callId: string
  readonly response: ServerResponse
}

/** Sends a call to a node and holds it at a backend server. */
async function holdCall (nodeIndex = 0, backendIndex = 0, signal?: AbortSignal): Promise<HeldCall> {
  const backend = world.backends[backendIndex]!
  const before = backend.onCall
  let held: ServerResponse | undefined
  backend.onCall = (_request, response) => { held = response }
  const answer = call(world.nodes[nodeIndex]!, { signal })
  answer.catch(() => {})
  await waitUntil(() => held !== undefined)
  backend.onCall = before
  return { answer, callId: String(backend.receivedHeaders.at(-1)?.['ragwortspur-call']), response: held! }
}

async function callUntilStatus (status: number): Promise<TestAnswer> {
  for (;;) {
    const answer = await call(world.nodes[0]!)
    if (answer.status === status) return answer
    world.clock.advanceMs(EARLY_PROBE_MS)
    await new Promise(resolve => { setTimeout(resolve, 5) })
  }
}

describe('the backend server', () => {
  test('has its call cancelled when the caller disconnects, and the node serves further calls', async () => {
    await world.start(1)
    const leave = new AbortController()
    const held = await holdCall(0, 0, leave.signal)
    const cancelled = once(held.response, 'close')
    leave.abort()
    await cancelled
    expect(held.response.writableFinished).toBe(false)
    await waitUntil(() => world.records.some(line => line.includes(`call=${held.callId}`)))
    expect(world.records.find(line => line.includes(`call=${held.callId}`))).toContain('outcome=cancelled')
    expect((await call(world.nodes[0]!)).status).toBe(200)
  })

  test('that does not answer in time causes answer_timeout, and its late answer is discarded', async () => {
    await world.start(1)
    const backend = world.backends[0]!
    let late: ServerResponse | undefined
    backend.onCall = (_request, response) => { late = response }
    const headers = { 'ragwortspur-deadline-ms': '300' }
    expect(await call(world.nodes[0]!, { headers })).toMatchObject({ status: 504, reason: 'answer_timeout' })
    backend.onCall = (_request, response) => { response.end('next') }
    late!.end('late')
    expect((await call(world.nodes[0]!)).text).toBe('next')
  })

  test.each<[string, (response: ServerResponse) => void, number, string, string]>([
    ['crossed', response => { response.setHeader('ragwortspur-call', 'other').end('other') }, 502, 'answer_crossed', 'unknown'],
    ['truncated', response => {
      response.writeHead(200, { 'content-length': 10 }).write('half', () => { response.destroy() })
    }, 502, 'answer_truncated', 'unknown'],
    ['lost', response => { response.destroy() }, 502, 'connection_lost', 'unknown'],
    ['above the size limit', response => { response.end(Buffer.alloc(1_100_000)) }, 502, 'body_too_large', 'unknown'],
    ['shed', response => {
      response.writeHead(503, { 'ragwortspur-backend-status': 'shed' }).end()
    }, 503, 'backend_shed', 'not_run']
  ])('whose answer is %s causes the matching status and reason', async (_name, answer, status, reason, outcome) => {
    await world.start(1)
    world.backends[0]!.onCall = (_request, response) => answer(response)
    const got = await call(world.nodes[0]!)
    expect(got).toMatchObject({ status, reason })
    expect(got.headers['ragwortspur-outcome']).toBe(outcome)
  })

  test('does not count as down when the node has no free connection to it', async () => {
    await world.start(1, {}, { backendConnectionsMax: 1 })
    const held = await holdCall()
    const headers = { 'ragwortspur-deadline-ms': '300' }
    const refused = await call(world.nodes[0]!, { headers })
    expect(refused).toMatchObject({ status: 503, reason: 'too_many_connections' })
    held.response.end('held')
    expect((await held.answer).text).toBe('held')
    expect((await call(world.nodes[0]!)).status).toBe(200)
  })

  test('that drains gets no new calls, finishes open ones, and gets new calls when it is ready again', async () => {
    await world.start(1)
    const held = await holdCall()
    const backend = world.backends[0]!
    backend.onCall = (_request, response) => { response.setHeader('ragwortspur-backend-status', 'draining').end() }
    backend.health = 'draining'
    await call(world.nodes[0]!)
    const seenCount = backend.receivedHeaders.length
    expect(await call(world.nodes[0]!)).toMatchObject({ status: 503, reason: 'draining' })
    expect(backend.receivedHeaders).toHaveLength(seenCount)
    held.response.end('finished')
    expect((await held.answer).text).toBe('finished')
    backend.onCall = (_request, response) => { response.end('back') }
    backend.health = 'ready'
    world.clock.advanceMs(600)
    expect((await callUntilStatus(200)).text).toBe('back')
  })

  test('that crashes leaves open calls with an unknown outcome, and is used again after a restart', async () => {
    await world.start(1)
    const held = await holdCall()
    world.clock.advanceMs(EARLY_PROBE_MS)
    await world.backends[0]!.kill()
    expect(await held.answer).toMatchObject({ status: 502, reason: 'connection_lost' })
    await callUntilStatus(503)
    expect(await call(world.nodes[0]!)).toMatchObject({ status: 503, reason: 'backend_down' })
    await world.backends[0]!.start()
    expect((await callUntilStatus(200)).text).toBe('whole')
  })

  test('that a request crashes twice does not get that request again', async () => {
    await world.start(1)
    const backend = world.backends[0]!
    const poison = { method: 'POST', path: PATH, body: 'poison' }
    for (let crash = 0; crash < 2; crash++) {
      backend.onCall = () => { void backend.kill() }
      world.clock.advanceMs(EARLY_PROBE_MS)
      expect(await call(world.nodes[0]!, poison)).toMatchObject({ status: 502, reason: 'connection_lost' })
      backend.onCall = (_request, response) => { response.end('whole') }
      await callUntilStatus(503)
      await backend.start()
      await callUntilStatus(200)
    }
    expect(await call(world.nodes[0]!, poison)).toMatchObject({ status: 503, reason: 'quarantined' })
    expect((await call(world.nodes[0]!, { ...poison, body: 'other' })).status).toBe(200)
  })
})

describe('a graceful stop', () => {
  test('finishes calls in flight, refuses new ones, and accepts sub-calls of calls in flight', async () => {
    await world.start(1)
    const node = world.nodes[0]!
    const held = await holdCall()
    const keptOpen = await holdCall()
    const stopped = node.stop()
    expect(await call(node)).toMatchObject({ status: 503, reason: 'draining' })
    const subCall = { from: BACKEND_IP, headers: { 'ragwortspur-call': held.callId } }
    expect((await call(node, subCall)).status).toBe(200)
    const orphan = { from: BACKEND_IP, headers: { 'ragwortspur-call': 'of-no-open-call' } }
    expect(await call(node, orphan)).toMatchObject({ status: 503, reason: 'draining' })
    held.response.end('first')
    expect(await held.answer).toMatchObject({ status: 200, text: 'first' })
    keptOpen.response.end('second')
    expect(await keptOpen.answer).toMatchObject({ status: 200, text: 'second' })
    await stopped
  })
})

describe('calls between nodes', () => {
  test('a call is forwarded when the node\'s own backend server is down, with one record for each role', async () => {
    await world.start(2)
    await world.backends[0]!.kill()
    world.backends[1]!.onCall = (_request, response) => { response.setHeader('set-cookie', ['a=1', 'b=2']).end('by 1') }
    const answer = await callUntilStatus(200)
    expect([answer.text, answer.headers['set-cookie']]).toEqual(['by 1', ['a=1', 'b=2']])
    const callId = String(world.backends[1]!.receivedHeaders.at(-1)?.['ragwortspur-call'])
    const lines = world.records.filter(line => line.includes(`call=${callId}`)).join('\n')
    expect(lines).toContain('role=executor')
    expect(lines).toContain('role=entry')
    await world.backends[0]!.start()
  })

  test('headers for calls between nodes are ignored unless the sender is a listed peer', async () => {
    await world.start(1)
    const forged = {
      'ragwortspur-from-node': 'vm-9', 'ragwortspur-call': 'chosen', 'ragwortspur-level': '0', 'ragwortspur-retry-loan': '9'
    }
    expect((await call(world.nodes[0]!, { headers: forged })).status).toBe(200)
    const seen = world.backends[0]!.receivedHeaders.at(-1)!
    expect(seen['ragwortspur-call']).not.toBe('chosen')
    expect(seen['ragwortspur-level']).toBeUndefined()
    expect(seen['ragwortspur-retry-loan']).toBeUndefined()
    const vital = { ...forged, 'ragwortspur-importance': 'vital' }
    expect((await call(world.nodes[0]!, { headers: vital })).reason).toBe('importance_not_allowed')
    const listedIdElsewhere = { ...vital, 'ragwortspur-from-node': 'vm-0' }
    const answer = await call(world.nodes[0]!, { from: '127.0.0.3', headers: listedIdElsewhere })
    expect(answer.reason).toBe('importance_not_allowed')
  })

  test('a sub-call of a call that has ended gets parent_ended', async () => {
    await world.start(1)
    await call(world.nodes[0]!)
    const callId = String(world.backends[0]!.receivedHeaders.at(-1)?.['ragwortspur-call'])
    const answer = await call(world.nodes[0]!, { from: BACKEND_IP, headers: { 'ragwortspur-call': callId } })
    expect(answer).toMatchObject({ status: 504, reason: 'parent_ended' })
  })
})
