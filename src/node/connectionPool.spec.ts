import { jest } from '@jest/globals'
import { once } from 'node:events'
import { createServer as createHttpServer, type RequestListener } from 'node:http'
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { ManualClock, systemClock } from '../clock/clock.js'
import { Reason } from '../core/coreTypes.js'
import { ConnectionEvent } from '../core/routing/routingTypes.js'
import { Cancellation, ConnectionPool, type ConnectionPoolOptions, type PoolRequest } from './connectionPool.js'

const NEVER_MS = 60_000
const SHORT_MS = 40

const sockets = new Set<Socket>()
const servers = new Set<Server>()
const pools = new Set<ConnectionPool>()

// Timeouts fire only when a test advances the fake timers, so that results do not depend on the load of the machine.
beforeEach(() => {
  jest.useFakeTimers({
    doNotFake: ['nextTick', 'setImmediate', 'clearImmediate', 'queueMicrotask', 'performance', 'Date', 'hrtime']
  })
})

afterEach(async () => {
  for (const socket of sockets) socket.destroy()
  await Promise.all([...pools].map(async pool => await pool.close()))
  for (const server of servers) server.close()
  for (const known of [sockets, servers, pools]) known.clear()
})

async function listen (server: Server): Promise<string> {
  servers.add(server)
  server.on('connection', (socket: Socket) => {
    sockets.add(socket.on('error', () => {}))
  })
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  return `127.0.0.1:${(server.address() as AddressInfo).port}`
}

/** Starts a TCP server that passes each received request head to `onHead`, with its socket and connection number. */
async function rawServer (onHead: (socket: Socket, head: string, number: number) => void): Promise<string> {
  let count = 0
  return await listen(createServer(socket => {
    const number = ++count
    socket.on('data', data => onHead(socket, String(data), number))
  }))
}

async function httpServer (listener: RequestListener): Promise<string> {
  return await listen(createHttpServer(listener))
}

function poolFor (address: string, options: Partial<ConnectionPoolOptions> = {}): ConnectionPool {
  const pool = new ConnectionPool(address, { clock: systemClock, ...options })
  pools.add(pool)
  return pool
}

function getRequest (path = '/', timeoutMs = NEVER_MS, callId = 'c1'): PoolRequest {
  return { method: 'GET', path, headers: { 'ragwortspur-call': callId }, body: null, timeoutMs }
}

/** Counts events and lets a test wait until a count is reached. */
class Counter {
  #count = 0
  readonly #waiters: Array<{ count: number, resolve: () => void }> = []

  add (): void {
    this.#count++
    for (const waiter of this.#waiters) if (waiter.count <= this.#count) waiter.resolve()
  }

  async reaches (count: number): Promise<void> {
    if (this.#count < count) await new Promise<void>(resolve => { this.#waiters.push({ count, resolve }) })
  }
}

const completeResponse = (body: string, headers = ''): string =>
  `HTTP/1.1 200 OK\r\ncontent-length: ${body.length}\r\n${headers}\r\n${body}`

async function untilClosed (socket: Socket): Promise<void> {
  if (!socket.closed) await once(socket, 'close')
}

describe('complete answers', () => {
  test('an answer arrives with status, headers, cookies and body, and the connection is reused', async () => {
    const ports = new Set<number | undefined>()
    const place = await httpServer((request, response) => {
      ports.add(request.socket.remotePort)
      response.writeHead(201, { 'x-a': ['1', '2'], 'set-cookie': ['a=1', 'b=2'] })
      request.pipe(response)
    })
    const pool = poolFor(place)
    for (const text of ['first', 'second']) {
      const result = await pool.send({ ...getRequest(), method: 'POST', body: Buffer.from(text) })
      expect(result).toMatchObject({ kind: 'answered', status: 201, setCookies: ['a=1', 'b=2'] })
      if (result.kind !== 'answered') throw new Error('no answer')
      expect([result.headers['x-a'], Buffer.from(result.body).toString()]).toEqual(['1, 2', text])
    }
    expect(ports.size).toBe(1)
  })

  test.each([
    ['content length not reached', 'HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nhalf'],
    ['content length not reached on a closing connection',
      'HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 10\r\n\r\nhalf'],
    ['final chunk missing', 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n'],
    ['end marked only by the end of the connection', 'HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nhalf']
  ])('a truncated answer is never returned as complete: %s', async (_name, text) => {
    const pool = poolFor(await rawServer(socket => socket.end(text)))
    expect(await pool.send(getRequest())).toMatchObject({ kind: 'failed', reason: Reason.AnswerTruncated, bytesSent: true })
  })

  test.each([
    ['content length', completeResponse('x'.repeat(101))],
    ['chunked', `HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n65\r\n${'x'.repeat(101)}\r\n0\r\n\r\n`]
  ])('an answer above the size limit fails instead of filling the memory: %s', async (_name, text) => {
    const pool = poolFor(await rawServer(socket => socket.write(text)), { answerMaxBytes: 100 })
    expect(await pool.send(getRequest())).toMatchObject({ kind: 'failed', reason: Reason.BodyTooLarge, bytesSent: true })
  })
})

describe('answers to other calls', () => {
  test('a call fails if its answer has the id of another call, and the connection is closed', async () => {
    const seen: Socket[] = []
    const place = await rawServer(socket => {
      seen.push(socket)
      socket.write(completeResponse('other', 'ragwortspur-call: c2\r\n'))
    })
    expect(await poolFor(place).send(getRequest())).toMatchObject({ reason: Reason.AnswerCrossed, bytesSent: true })
    await untilClosed(seen[0]!)
  })

  test('a late answer does not reach the next call', async () => {
    const seen: Socket[] = []
    const arrivals = new Counter()
    const place = await rawServer((socket, head, number) => {
      seen.push(socket)
      arrivals.add()
      if (number > 1) socket.write(completeResponse('own'))
    })
    const events: ConnectionEvent[] = []
    const pool = poolFor(place, { onEvent: (_place, event) => events.push(event) })
    const call = pool.send(getRequest('/', SHORT_MS))
    await arrivals.reaches(1)
    jest.advanceTimersByTime(SHORT_MS)
    expect(await call).toMatchObject({ reason: Reason.AnswerTimeout, bytesSent: true })
    seen[0]!.write(completeResponse('late'))
    const next = await pool.send(getRequest('/', NEVER_MS, 'c2'))
    expect(next.kind === 'answered' && Buffer.from(next.body).toString()).toBe('own')
    expect(events).toEqual([ConnectionEvent.Opened, ConnectionEvent.TimedOut, ConnectionEvent.Opened,
      ConnectionEvent.Answered])
  })

  test('unsolicited bytes after an answer do not become the next answer', async () => {
    const place = await rawServer((socket, _head, number) => {
      socket.write(number === 1 ? completeResponse('a') + completeResponse('stray') : completeResponse('own'))
    })
    const pool = poolFor(place)
    const first = pool.send(getRequest())
    const results = [await first, await pool.send(getRequest('/', NEVER_MS, 'c2'))]
    const bodies = results.map(result => result.kind === 'answered' ? Buffer.from(result.body).toString() : result)
    expect(bodies).toEqual(['a', 'own'])
  })
})

describe('connections that fail', () => {
  test('a request whose connect is refused is reported as not sent', async () => {
    const server = createServer()
    const place = await listen(server)
    server.close()
    await once(server, 'close')
    expect(await poolFor(place).send(getRequest())).toMatchObject({
      reason: Reason.ConnectFailed, bytesSent: false, poolBusy: false
    })
  })

  test('a request whose connection is reset after the write is reported as sent', async () => {
    const events: ConnectionEvent[] = []
    const place = await rawServer(socket => socket.resetAndDestroy())
    const pool = poolFor(place, { onEvent: (_place, event) => events.push(event) })
    expect(await pool.send(getRequest())).toMatchObject({ reason: Reason.ConnectionLost, bytesSent: true })
    expect(events).toEqual([ConnectionEvent.Opened, ConnectionEvent.Reset])
  })

  test('an idle connection that the server has closed is replaced without a second send', async () => {
    const heads: string[] = []
    const seen: Socket[] = []
    const place = await rawServer((socket, head) => {
      heads.push(head.split(' ')[1]!)
      seen.push(socket)
      socket.write(completeResponse('ok'))
    })
    const pool = poolFor(place)
    await pool.send(getRequest('/a'))
    // After setImmediate, the event loop polls sockets next: the reset is detected after `send` but before the write.
    await new Promise(resolve => setImmediate(resolve))
    seen[0]!.resetAndDestroy()
    expect(await pool.send(getRequest('/b', NEVER_MS, 'c2'))).toMatchObject({ kind: 'answered' })
    expect(heads).toEqual(['/a', '/b'])
  })

  test('a malformed request fails as not sent and is not retried', async () => {
    const pool = poolFor(await rawServer(socket => socket.write(completeResponse('ok'))))
    expect(await pool.send(getRequest('no slash'))).toMatchObject({ reason: Reason.ConnectFailed, bytesSent: false })
  })

  test('bytes that arrive before the first request of a connection are not taken for an answer', async () => {
    const closes = new Counter()
    let count = 0
    const place = await listen(createServer(socket => {
      if (++count === 1) socket.write(completeResponse('early'))
      socket.on('data', () => socket.write(completeResponse('own')))
      socket.on('close', () => closes.add())
    }))
    const pool = poolFor(place)
    const abort = new Cancellation()
    const cancelled = pool.send(getRequest(), abort)
    abort.cancel()
    expect(await cancelled).toMatchObject({ reason: Reason.CallerCancelled, bytesSent: false })
    await closes.reaches(1)
    const next = await pool.send(getRequest('/', NEVER_MS, 'c2'))
    expect(next.kind === 'answered' && Buffer.from(next.body).toString()).toBe('own')
  })
})

describe('unresponsive connections', () => {
  test.each([
    ['probed after a timeout if it has received nothing for longer than the limit', 1001, ['/silent', '/health', '/next']],
    ['used at once after a timeout if it has received data recently', 1000, ['/silent', '/next']]
  ])('an idle connection is %s', async (_name, silentMs, expected) => {
    const clock = new ManualClock()
    const arrivals = new Counter()
    const paths: string[] = []
    const held: Socket[] = []
    const place = await rawServer((socket, head) => {
      const path = head.split(' ')[1]!
      if (path === '/hold') held.push(socket)
      else paths.push(path)
      if (held.length === 2) held.splice(0).forEach(each => each.write(completeResponse('held')))
      if (path === '/health' || path === '/next') socket.write(completeResponse('ok'))
      if (path === '/silent') arrivals.add()
    })
    const pool = poolFor(place, { clock, connectionsMaxCount: 2, concurrentProbesMaxCount: 1 })
    await Promise.all([pool.send(getRequest('/hold')), pool.send(getRequest('/hold'))])
    clock.advanceMs(silentMs)
    const silent = pool.send(getRequest('/silent', SHORT_MS))
    await arrivals.reaches(1)
    jest.advanceTimersByTime(SHORT_MS)
    await silent
    expect(await pool.send(getRequest('/next'))).toMatchObject({ kind: 'answered' })
    expect(paths.slice(0, 2)).toEqual(expected.slice(0, 2))
    expect(paths.includes('/health')).toBe(expected.includes('/health'))
  })

  test('a call is answered over a new connection while the old one is unresponsive', async () => {
    const clock = new ManualClock()
    const events: ConnectionEvent[] = []
    const probes = new Counter()
    let isSilent = false
    const place = await rawServer((socket, head, number) => {
      if (head.startsWith('GET /health')) probes.add()
      if (!isSilent || number > 1) socket.write(completeResponse('ok'))
    })
    const onEvent = (_place: string, event: ConnectionEvent): void => { events.push(event) }
    const pool = poolFor(place, { clock, onEvent, connectionsMaxCount: 2 })
    await pool.send(getRequest())
    isSilent = true
    clock.advanceMs(5001)
    expect(await pool.send(getRequest())).toMatchObject({ kind: 'answered' })
    await probes.reaches(1)
    jest.advanceTimersByTime(250)
    const { Opened, Answered, ProbeTimedOut } = ConnectionEvent
    expect(events).toEqual([Opened, Answered, Opened, Answered, ProbeTimedOut])
  })

  test('an unresponsive connection is replaced when the pool is full', async () => {
    const clock = new ManualClock()
    let isSilent = false
    const place = await rawServer((socket, _head, number) => {
      if (!isSilent || number > 1) socket.write(completeResponse('ok'))
    })
    const pool = poolFor(place, { clock, connectionsMaxCount: 1, concurrentProbesMaxCount: 0 })
    await pool.send(getRequest())
    isSilent = true
    clock.advanceMs(5001)
    expect(await pool.send(getRequest())).toMatchObject({ kind: 'answered' })
  })

  test('connects are rate-limited', async () => {
    const arrivals = new Counter()
    const place = await rawServer(() => arrivals.add())
    const pool = poolFor(place, { clock: new ManualClock(), connectBurstCount: 2, connectsPerS: 1 })
    const calls = [1, 2, 3].map(async n => await pool.send(getRequest('/', SHORT_MS, `c${n}`)))
    await arrivals.reaches(2)
    jest.advanceTimersByTime(SHORT_MS)
    const results = await Promise.all(calls)
    expect(results.map(result => result.kind === 'failed' && result.bytesSent)).toEqual([true, true, false])
    expect(results[2]).toMatchObject({ reason: Reason.ConnectFailed, poolBusy: true })
  })
})

describe('cancellation and close', () => {
  test('a cancelled call closes its connection, so that the server notices', async () => {
    const abort = new Cancellation()
    const seen: Socket[] = []
    const place = await rawServer(socket => {
      seen.push(socket)
      abort.cancel()
    })
    expect(await poolFor(place).send(getRequest(), abort)).toMatchObject({
      reason: Reason.CallerCancelled, bytesSent: true
    })
    await untilClosed(seen[0]!)
  })

  test('a call that is cancelled while it waits for a connection is reported as not sent', async () => {
    const abort = new Cancellation()
    const place = await rawServer(() => abort.cancel())
    const pool = poolFor(place, { connectionsMaxCount: 1 })
    const first = pool.send(getRequest('/', SHORT_MS))
    const waiting = await pool.send(getRequest('/waiting', NEVER_MS, 'c2'), abort)
    expect(waiting).toMatchObject({ reason: Reason.CallerCancelled, bytesSent: false })
    jest.advanceTimersByTime(SHORT_MS)
    expect(await first).toMatchObject({ reason: Reason.AnswerTimeout })
  })

  test('close waits for calls in flight and accepts no new ones', async () => {
    const arrived: Socket[] = []
    const arrivals = new Counter()
    const place = await rawServer(socket => {
      arrived.push(socket)
      arrivals.add()
    })
    const pool = poolFor(place)
    const call = pool.send(getRequest())
    await arrivals.reaches(1)
    let isClosed = false
    const closing = pool.close().then(() => { isClosed = true })
    expect(await pool.send(getRequest())).toMatchObject({ reason: Reason.ConnectFailed, bytesSent: false })
    expect(isClosed).toBe(false)
    arrived[0]!.write(completeResponse('done'))
    expect(await call).toMatchObject({ kind: 'answered' })
    await closing
    expect(pool.connectionsCount).toBe(0)
  })
})
