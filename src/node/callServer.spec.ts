import { call, TestNodeCluster, openRawConnection, SERVICE } from '../testing/testNodeCluster.js'
import type { CallOptions } from '../testing/testNodeCluster.js'
import { waitUntil } from '../testing/valueServer.js'

const SLOW_SENDER = { headTimeoutMs: 60, requestTimeoutMs: 60, senderCheckPeriodMs: 10 }
const HEAD = `GET /${SERVICE}/stock HTTP/1.1\r\nhost: node\r\nragwortspur-caller: dispatchers\r\n`
const POST_HEAD = HEAD.replace('GET', 'POST')

const world = new TestNodeCluster()

afterEach(async () => { await world.stop() })

/** Runs `during` while another valid call is open, and checks that this call gets its own complete answer. */
async function withOpenCall (during: () => Promise<void>): Promise<void> {
  const backend = world.backends[0]!
  let finish = (): void => {}
  const answerAtOnce = backend.onCall
  const seenCount = backend.receivedHeaders.length
  backend.onCall = (_request, response) => { finish = () => { response.end('undisturbed') } }
  const open = call(world.nodes[0]!)
  await waitUntil(() => backend.receivedHeaders.length > seenCount)
  backend.onCall = answerAtOnce
  await during()
  finish()
  expect(await open).toMatchObject({ status: 200, text: 'undisturbed' })
}

describe('an invalid call gets a status and a reason, and a concurrent valid call is not affected', () => {
  const keyed = { method: 'POST', path: `/${SERVICE}/orders` }
  const long = 'x'.repeat(129)
  const cases: Array<[string, CallOptions, number, string]> = [
    ['unknown service', { path: '/nobody/stock' }, 404, 'unknown_service'],
    ['unknown route', { path: `/${SERVICE}/other` }, 404, 'unknown_route'],
    ['missing caller', { headers: { 'ragwortspur-caller': '' } }, 400, 'caller_missing'],
    ['importance above the allowed maximum', { headers: { 'ragwortspur-importance': 'vital' } }, 403, 'importance_not_allowed'],
    ['unknown importance', { headers: { 'ragwortspur-importance': 'urgent' } }, 400, 'malformed_call'],
    ['negative deadline', { headers: { 'ragwortspur-deadline-ms': '-5' } }, 400, 'malformed_call'],
    ['missing idempotency key', keyed, 400, 'idempotency_key_missing'],
    ['root id above the length limit', { headers: { 'ragwortspur-root': long } }, 400, 'malformed_call'],
    ['idempotency key above the length limit', { ...keyed, headers: { 'idempotency-key': long.repeat(4) } }, 400, 'malformed_call'],
    ['body above the size limit', { method: 'POST', body: Buffer.alloc(3_000_000) }, 413, 'body_too_large'],
    ['unsupported expectation', { headers: { expect: 'tea' } }, 400, 'malformed_call'],
    ['read of a value whose key has an invalid encoding', { path: '/ragwortspur/values/%E0' }, 400, 'malformed_call']
  ]

  test.each(cases)('%s', async (_name, options, status, reason) => {
    await world.start(1)
    await withOpenCall(async () => {
      const answer = await call(world.nodes[0]!, options)
      expect(answer).toMatchObject({ status, reason })
      expect(answer.headers['ragwortspur-outcome']).toBe('not_run')
      expect(JSON.parse(answer.text)).toMatchObject({ outcome: 'not_run', reason })
    })
  })

  test.each([
    ['oversized head', `${HEAD}x-long: ${'x'.repeat(200_000)}\r\n\r\n`, '431', 'head_too_large'],
    ['malformed head', 'this is no request\r\n\r\n', '400', 'malformed_call'],
    ['blank in a name', `${HEAD}a b: c\r\n\r\n`, '400', 'malformed_call'],
    ['blank before the colon', `${HEAD}content-length : 3\r\n\r\n`, '400', 'malformed_call'],
    ['control byte in a name', `${HEAD}content-length\x01: 3\r\n\r\n`, '400', 'malformed_call'],
    ['no name', `${HEAD}: b\r\n\r\n`, '400', 'malformed_call'],
    ['no colon', `${HEAD}ab\r\n\r\n`, '400', 'malformed_call'],
    ['folded line', `${HEAD}a: b\r\n c\r\n\r\n`, '400', 'malformed_call'],
    ['control byte in a value', `${HEAD}a: b\0c\r\n\r\n`, '400', 'malformed_call'],
    ['other control byte in a value', `${HEAD}a: b\x1Bc\r\n\r\n`, '400', 'malformed_call'],
    ['malformed trailer', `${POST_HEAD}transfer-encoding: chunked\r\n\r\n1\r\na\r\n0\r\na b: c\r\n\r\n`, '400', 'malformed_call'],
    ['oversized chunked body',
      `${POST_HEAD}transfer-encoding: chunked\r\n\r\n1e8480\r\n${'x'.repeat(2_000_000)}\r\n0\r\n\r\n`, '413', 'body_too_large'],
    ['slow sender of a head', HEAD, '408', 'slow_sender'],
    ['slow sender of a body', `${POST_HEAD}content-length: 10\r\n\r\nhalf`, '408', 'slow_sender']
  ])('%s', async (_name, text, status, reason) => {
    await world.start(1, SLOW_SENDER)
    await withOpenCall(async () => {
      const answer = await openRawConnection(world.nodes[0]!, text).readUntilClosed()
      expect(answer).toContain(`HTTP/1.1 ${status} `)
      expect(answer).toContain(`ragwortspur-reason: ${reason}`)
    })
  })

  test('too many connections', async () => {
    await world.start(1, {}, { connectionsMax: 2 })
    await withOpenCall(async () => {
      const second = openRawConnection(world.nodes[0]!, HEAD)
      await waitUntil(() => !second.socket.connecting)
      expect(await call(world.nodes[0]!)).toMatchObject({ status: 503, reason: 'too_many_connections' })
      second.socket.destroy()
    })
  })
})

// Bodies had a limit each and none together: 4,000 connections could hold 4 GB.
test('bodies that stall on many connections are bounded together, and ordinary calls are served meanwhile', async () => {
  await world.start(1, {}, { memoryMb: 150 })
  const raws = Array.from({ length: 40 }, () => {
    return openRawConnection(world.nodes[0]!, `${POST_HEAD}content-length: 1000001\r\n\r\n${'x'.repeat(1_000_000)}`)
  })
  const refusedCount = (): number => raws.filter(raw => raw.read().includes('ragwortspur-reason: memory_full')).length
  await waitUntil(() => refusedCount() >= 20)
  expect(await call(world.nodes[0]!)).toMatchObject({ status: 200 })
  for (const raw of raws) raw.socket.destroy()
})

test('the body of a request that offers an upgrade arrives whole', async () => {
  await world.start(1)
  world.backends[0]!.onCall = (_request, response, body) => { response.end(`got ${body.toString()}`) }
  const lines = 'connection: close, upgrade\r\nupgrade: h2c\r\ntransfer-encoding: chunked\r\n'
  const raw = openRawConnection(world.nodes[0]!, `${POST_HEAD}${lines}\r\n3\r\nabc\r\n0\r\n\r\n`)
  expect(await raw.readUntilClosed()).toContain('got abc')
})

test('a body in very many small chunks is read over several turns and arrives whole', async () => {
  await world.start(1)
  world.backends[0]!.onCall = (_request, response, body) => { response.end(`got ${body.length}`) }
  const raw = openRawConnection(world.nodes[0]!, `${POST_HEAD}connection: close\r\ntransfer-encoding: chunked\r\n\r\n`)
  raw.socket.write('1\r\nx\r\n'.repeat(100_000) + '0\r\n\r\n')
  expect(await raw.readUntilClosed()).toContain('got 100000')
})

test('an unknown caller is served under the policy of the default caller', async () => {
  await world.start(1)
  const headers = { 'ragwortspur-caller': 'nobody' }
  expect((await call(world.nodes[0]!, { headers })).status).toBe(200)
  const asking = { ...headers, 'ragwortspur-importance': 'high' }
  expect((await call(world.nodes[0]!, { headers: asking })).reason).toBe('importance_not_allowed')
})

// The caller would take an answer to the invalid bytes for that of its open call, which would then be reported as not
// run although it is running.
test('invalid bytes after an open call close the connection without an answer', async () => {
  await world.start(1)
  const backend = world.backends[0]!
  const seenCount = backend.receivedHeaders.length
  backend.onCall = () => {}
  const raw = openRawConnection(world.nodes[0]!, `${HEAD}\r\n`)
  await waitUntil(() => backend.receivedHeaders.length > seenCount)
  raw.socket.write('this is no request\r\n\r\n')
  expect(await raw.readUntilClosed()).toBe('')
})

describe('request and answer formats', () => {
  test('a chunked body and a body sent after 100-continue arrive complete', async () => {
    await world.start(1)
    world.backends[0]!.onCall = (_request, response, body) => { response.end(`got ${body.toString()}`) }
    const chunked = { method: 'POST', headers: { 'transfer-encoding': 'chunked' }, body: 'in chunks' }
    expect((await call(world.nodes[0]!, chunked)).text).toBe('got in chunks')
    const raw = openRawConnection(world.nodes[0]!, `${POST_HEAD}connection: close\r\nexpect: 100-continue\r\ncontent-length: 4\r\n\r\n`)
    await waitUntil(() => raw.read().startsWith('HTTP/1.1 100 Continue'))
    raw.socket.write('body')
    expect(await raw.readUntilClosed()).toContain('got body')
  })

  test('bytes above 0x7F in the values of an answer stay as they were', async () => {
    await world.start(1)
    world.backends[0]!.onCall = (request, response) => {
      const call = String(request.headers['ragwortspur-call'])
      const head = `HTTP/1.1 200 OK\r\nragwortspur-call: ${call}\r\nx-a: voil\xC3\xA0\r\nx-b: \xE9\r\ncontent-length: 2\r\n\r\n`
      response.socket?.write(Buffer.from(`${head}ok`, 'latin1'))
    }
    const { status, headers } = await call(world.nodes[0]!)
    expect([status, headers['x-a'], headers['x-b']]).toEqual([200, 'voil\xC3\xA0', '\xE9'])
  })

  test('every set-cookie header of an answer is forwarded', async () => {
    await world.start(1)
    world.backends[0]!.onCall = (_request, response) => { response.setHeader('set-cookie', ['a=1', 'b=2']).end('x') }
    expect((await call(world.nodes[0]!)).headers['set-cookie']).toEqual(['a=1', 'b=2'])
  })

  test('answers without a body keep the content length of the backend server', async () => {
    await world.start(1)
    const [node, backend] = [world.nodes[0]!, world.backends[0]!]
    backend.onCall = (_request, response) => { response.setHeader('content-length', 5).end('12345') }
    const head = await call(node, { method: 'HEAD' })
    expect([head.status, head.headers['content-length'], head.text]).toEqual([200, '5', ''])
    for (const status of [204, 304]) {
      backend.onCall = (_request, response) => { response.writeHead(status).end() }
      const answer = await call(node)
      expect([answer.status, answer.headers['content-length'], answer.text]).toEqual([status, undefined, ''])
    }
  })
})
