import { connect, type Socket } from 'node:net'
import { systemClock } from '../clock/clock.js'
import { memoryAccountDefinition } from '../core/memoryAccount/memoryAccountDefinition.js'
import { bodyLength } from './messageBody.js'
import { CallerServer, type IncomingRequest } from './callerServer.js'
import { MessageLimit } from './messageLimits.js'

const MIB = 1024 * 1024
const POST = 'POST /a HTTP/1.1\r\nHost: x\r\n'

let server: CallerServer
let port: number
let connectionsMaxCount = 100
const limits: MessageLimit[] = []
const sockets = new Set<Socket>()

async function startServer (onRequest: (request: IncomingRequest) => void): Promise<void> {
  limits.length = 0
  const answer = { statusText: '', headerText: '', body: Buffer.alloc(0), hasLength: true }
  server = new CallerServer({
    host: '127.0.0.1',
    port: 0,
    clock: systemClock,
    connectionsMaxCount: () => connectionsMaxCount,
    memory: memoryAccountDefinition.createDb({ sideBytes: 96 * MIB, connectionsBytes: 8 * MIB }),
    bounds: () => ({ headMaxBytes: 16_384, bodyMaxBytes: 60 * MIB, headTimeoutMs: 5_000, idleTimeoutMs: 5_000 }),
    onRequest,
    errorAnswer: statusCode => ({ ...answer, statusCode }),
    onLimitExceeded: limit => limits.push(limit)
  })
  port = await server.listen()
}

afterEach(() => {
  for (const socket of sockets) socket.destroy()
  server.close()
  server.destroyAllConnections()
})

/** Sends bytes on a new connection and resolves to what was received until it closed. */
function send (...parts: ReadonlyArray<string | Buffer>): Promise<string> {
  return new Promise(resolve => {
    let received = ''
    const socket = connect(port, '127.0.0.1', () => { for (const part of parts) socket.write(part) })
    sockets.add(socket)
    socket.on('data', chunk => { received += chunk.toString('latin1') })
    socket.on('error', () => {})
    socket.on('close', () => resolve(received))
  })
}

function answerWithLength (request: IncomingRequest): void {
  const body = Buffer.from(String(bodyLength(request.body)))
  request.answer({ statusCode: 200, statusText: 'OK', headerText: '', body, hasLength: true })
}

describe('requests without end', () => {
  test.each([
    ['a head', `${POST}a: ${'x'.repeat(MIB)}`, 431, MessageLimit.Head],
    ['a chunk size line', `${POST}Transfer-Encoding: chunked\r\n\r\n1;${'x'.repeat(MIB)}`, 400, MessageLimit.ChunkSizeLine],
    ['a trailer', `${POST}Transfer-Encoding: chunked\r\n\r\n0\r\na: ${'x'.repeat(MIB)}`, 431, MessageLimit.Trailers]
  ])('%s without end is refused and counted', async (_name, text, status, limit) => {
    await startServer(answerWithLength)
    // Closing with unread bytes can reset the connection before the answer arrives.
    expect(['', `HTTP/1.1 ${status} `]).toContain((await send(text)).slice(0, 13))
    expect(limits).toEqual([limit])
  })

  test('bodies of many connections are bounded together, and the request that is refused has not been passed on', async () => {
    let passedOnBytes = 0
    await startServer(request => { passedOnBytes += bodyLength(request.body) })
    const head = `${POST}Content-Length: ${30 * MIB}\r\n\r\n`
    for (let count = 0; count < 6; count++) void send(head, Buffer.alloc(30 * MIB - 1))
    while (limits.length < 3) await new Promise(resolve => setTimeout(resolve, 20))
    expect(new Set(limits)).toEqual(new Set([MessageLimit.Bodies]))
    expect(passedOnBytes).toBe(0)
  })

  test('very many small chunks do not keep the process from other connections', async () => {
    await startServer(answerWithLength)
    const upload = send(`${POST}Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n`, '1\r\nx\r\n'.repeat(300_000), '0\r\n\r\n')
    // Processor time of the process between a request and its answer, which the load of the machine does not affect.
    let longestMs = 0
    for (let count = 0; count < 20; count++) {
      const startedAt = process.cpuUsage()
      expect(await send(`${POST}Connection: close\r\nContent-Length: 1\r\n\r\nx`)).toContain('200 OK')
      longestMs = Math.max(longestMs, process.cpuUsage(startedAt).user / 1_000)
    }
    expect(longestMs).toBeLessThan(100)
    expect(await upload).toContain('300000')
  })

  test('very many small requests are answered in order over several turns', async () => {
    await startServer(answerWithLength)
    let turnsCount = 0
    const timer = setInterval(() => { turnsCount += 1 }, 1)
    const text = await send(`${POST}Content-Length: 0\r\n\r\n`.repeat(2_000) + `${POST}Connection: close\r\n\r\n`)
    clearInterval(timer)
    expect(text.match(/200 OK/g)?.length).toBe(2_001)
    expect(turnsCount).toBeGreaterThan(1)
  })
})

// The head of the second request reopened the connection that the first one had ended, so it was run without an answer.
test('a request after one that is refused is not passed on', async () => {
  let passedOnCount = 0
  await startServer(() => { passedOnCount += 1 })
  const tooLarge = `${POST}Transfer-Encoding: chunked\r\n\r\n3c00001\r\n`
  const chunk = Buffer.alloc(60 * MIB + 1)
  expect((await send(tooLarge, chunk, `\r\n0\r\n\r\n${POST}Content-Length: 0\r\n\r\n`)).slice(0, 12)).toMatch(/^(HTTP\/1.1 413)?$/)
  const declared = `${POST}Content-Length: ${70 * MIB}\r\n\r\n`
  await send(declared)
  expect(passedOnCount).toBe(0)
})

// The process ended once the answer was handed to the socket, while its caller was still reading.
test('an answer that its caller has not read counts as unsent until its connection is reset', async () => {
  await startServer(request => request.answer({
    statusCode: 200, statusText: 'OK', headerText: '', body: Buffer.alloc(40 * MIB), hasLength: false
  }))
  const socket = connect(port, '127.0.0.1', () => socket.write(`${POST}Content-Length: 0\r\n\r\n`))
  sockets.add(socket.on('error', () => {}))
  socket.pause()
  while (!server.hasUnsentAnswers) await new Promise(resolve => setTimeout(resolve, 5))
  server.close()
  expect(server.hasUnsentAnswers).toBe(true)
  server.resetUnsentAnswers()
  while (server.hasUnsentAnswers) await new Promise(resolve => setTimeout(resolve, 5))
})

describe('connections above their limit', () => {
  beforeEach(() => { connectionsMaxCount = 3 })
  afterEach(() => { connectionsMaxCount = 100 })

  test('make room for new ones, those first that have been silent for longest', async () => {
    await startServer(answerWithLength)
    const silent = Array.from({ length: 3 }, () => send())
    await new Promise(resolve => setTimeout(resolve, 50))
    expect(await send(`${POST}Connection: close\r\nContent-Length: 1\r\n\r\nx`)).toContain('200 OK')
    expect(await silent[0]).toBe('')
  })

  test('are refused while all others wait for an answer', async () => {
    const requests: IncomingRequest[] = []
    await startServer(request => requests.push(request))
    const waiting = Array.from({ length: 3 }, () => send(`${POST}Connection: close\r\nContent-Length: 1\r\n\r\nx`))
    while (requests.length < 3) await new Promise(resolve => setTimeout(resolve, 5))
    expect(await send(POST)).toBe('')
    for (const request of requests) answerWithLength(request)
    for (const answered of await Promise.all(waiting)) expect(answered).toContain('200 OK')
    expect(limits).toEqual([MessageLimit.Connections])
  })
})

// Each answer was written at once, so that a caller could have any number of them held on one connection.
test('a connection whose answer is not read gets no further one', async () => {
  let passedOnCount = 0
  await startServer(request => {
    passedOnCount += 1
    request.answer({ statusCode: 200, statusText: 'OK', headerText: '', body: Buffer.alloc(20 * MIB), hasLength: true })
  })
  const socket = connect(port, '127.0.0.1', () => {
    for (let count = 0; count < 8; count++) setTimeout(() => socket.write(`${POST}Content-Length: 0\r\n\r\n`), 10 * count)
  })
  sockets.add(socket.on('error', () => {}))
  socket.pause()
  await new Promise(resolve => setTimeout(resolve, 200))
  expect(passedOnCount).toBe(1)
  socket.resume()
  while (socket.bytesRead < 8 * 20 * MIB) await new Promise(resolve => setTimeout(resolve, 5))
  expect(passedOnCount).toBe(8)
})

test('unread answers above the limit close the connections that have kept them for longest, visibly', async () => {
  await startServer(request => request.answer({
    statusCode: 200, statusText: 'OK', headerText: '', body: Buffer.alloc(30 * MIB), hasLength: false
  }))
  const ends: string[] = []
  for (let number = 0; number < 6; number++) {
    const socket = connect({ port, host: '127.0.0.1', allowHalfOpen: true }, () => socket.write(`${POST}Content-Length: 0\r\n\r\n`))
    sockets.add(socket.on('error', () => {}))
    // Node.js can report a reset as an end if bytes are left to read. Only then does a write fail at once.
    socket.pause().on('end', () => socket.write('x', error => ends.push(error == null ? `end ${number}` : `reset ${number}`)))
    await new Promise(resolve => setTimeout(resolve, 50))
  }
  expect(limits).toEqual([MessageLimit.UnreadAnswers, MessageLimit.UnreadAnswers, MessageLimit.UnreadAnswers])
  for (const socket of sockets) socket.resume()
  while (ends.length < 6) await new Promise(resolve => setTimeout(resolve, 5))
  expect(ends.sort()).toEqual(['end 3', 'end 4', 'end 5', 'reset 0', 'reset 1', 'reset 2'])
})

// Elsewhere, such lines changed where the body ends.
test.each([
  ['a blank in the name', 'Content Length: 3\r\n'],
  ['a blank before the colon', 'Content-Length : 3\r\n'],
  ['a control byte in the name', 'Content-Length\x01: 3\r\n'],
  ['a control byte in a name at the end', 'Content-Length: 3\r\na\x7Fb: c\r\n'],
  ['no name', 'Content-Length: 3\r\n: b\r\n'],
  ['no colon', 'Content-Length: 3\r\nab\r\n'],
  ['a folded line', 'Content-Length: 3\r\na: b\r\n c\r\n'],
  ['a control byte in a value', 'Content-Length: 3\r\na: b\x00c\r\n']
])('a request with %s in its fields gets 400 and is not passed on', async (_name, lines) => {
  let passedOnCount = 0
  await startServer(request => {
    passedOnCount += 1
    answerWithLength(request)
  })
  expect(await send(Buffer.from(`${POST}${lines}\r\nabc`, 'latin1'))).toMatch(/^HTTP\/1\.1 400 /)
  const chunked = `${POST}Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n${lines.replace('Content-Length: 3', 'b: c')}\r\n`
  expect(await send(Buffer.from(chunked, 'latin1'))).toMatch(/^HTTP\/1\.1 400 /)
  expect(passedOnCount).toBe(0)
})
