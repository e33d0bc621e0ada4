import { once } from 'node:events'
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { systemClock } from '../clock/clock.js'
import { Reason } from '../core/coreTypes.js'
import { ConnectionPool, type PoolRequest } from './connectionPool.js'

const SHED = 'HTTP/1.1 503 Shed\r\nragwortspur-backend-status: shed\r\ncontent-length: 0\r\n'

let server: Server
const sockets = new Set<Socket>()
let pool: ConnectionPool

afterEach(async () => {
  for (const socket of sockets) socket.destroy()
  server.close()
  await pool.close()
})

async function startPool (
  onRequest: (socket: Socket, number: number) => void, identifiesAnswers: boolean
): Promise<void> {
  server = createServer(socket => {
    let number = 0
    sockets.add(socket.on('error', () => {}))
    socket.on('data', () => onRequest(socket, number++))
  })
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  const { port } = server.address() as AddressInfo
  pool = new ConnectionPool(`127.0.0.1:${port}`, { clock: systemClock, identifiesAnswers })
}

function requestOf (callId: string): PoolRequest {
  return { method: 'POST', path: '/', headers: { 'ragwortspur-call': callId }, body: null, timeoutMs: 2_000 }
}

describe('an earlier refusal that a server writes once more', () => {
  // It was reported as the refusal of the request that the server was running.
  test('is not taken for the answer to the next request if it names none', async () => {
    await startPool((socket, number) => {
      socket.write(number === 0 ? `${SHED}ragwortspur-call: c1\r\n\r\n` : `${SHED}\r\n`)
    }, true)
    expect(await pool.send(requestOf('c1'))).toMatchObject({ kind: 'answered', status: 503 })
    expect(await pool.send(requestOf('c2'))).toMatchObject({ kind: 'failed', reason: Reason.AnswerCrossed, bytesSent: true })
  })

  test('is not taken for the answer to the next request if it names another one', async () => {
    await startPool(socket => socket.write(`${SHED}ragwortspur-call: c1\r\n\r\n`), true)
    expect(await pool.send(requestOf('c1'))).toMatchObject({ kind: 'answered', status: 503 })
    expect(await pool.send(requestOf('c2'))).toMatchObject({ kind: 'failed', reason: Reason.AnswerCrossed, bytesSent: true })
  })

  test('answers of a server that names no requests are accepted', async () => {
    await startPool(socket => socket.write(`${SHED}\r\n`), true)
    for (const callId of ['c1', 'c2']) {
      expect(await pool.send(requestOf(callId))).toMatchObject({ kind: 'answered', status: 503 })
    }
  })
})

// Elsewhere, callers got 200 with an empty or short body, framed as whole.
describe('an answer whose server closes in the middle of the head is no answer', () => {
  const WHOLE = 'HTTP/1.1 200 OK\r\nserver: x\r\ncontent-length: 2\r\n\r\n'

  test.each([
    ['in the start line', WHOLE.slice(0, 12)],
    ['in a header line', WHOLE.slice(0, 24)],
    ['in the length', 'HTTP/1.1 200 OK\r\ncontent-length: 1'],
    ['after the last header line', WHOLE.slice(0, -2)],
    ['after the head', WHOLE],
    ['in a chunk size', 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2']
  ])('%s', async (_name, text) => {
    await startPool((socket, number) => {
      if (number === 0) socket.write(`${WHOLE}ok`)
      else socket.end(text)
    }, true)
    expect(await pool.send(requestOf('c1'))).toMatchObject({ kind: 'answered' })
    expect(await pool.send(requestOf('c2'))).toMatchObject({ kind: 'failed', bytesSent: true })
  })
})
