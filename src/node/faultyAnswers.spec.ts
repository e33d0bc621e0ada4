import type { Socket } from 'node:net'
import { Reason } from '../core/coreTypes.js'
import { RawServerPool } from '../testing/rawServerPool.js'
import type { ConnectionPool, PoolRequest } from './connectionPool.js'

const SHED = 'HTTP/1.1 503 Shed\r\nragwortspur-backend-status: shed\r\ncontent-length: 0\r\n'

const raw = new RawServerPool()
let pool: ConnectionPool

afterEach(() => raw.close())

async function startPool (onRequest: (socket: Socket, number: number) => void): Promise<void> {
  pool = await raw.start(onRequest, { identifiesAnswers: true })
}

function requestOf (callId: string): PoolRequest {
  return { method: 'POST', path: '/', headers: { 'ragwortspur-call': callId }, body: null, timeoutMs: 2_000 }
}

describe('an earlier refusal that a server writes once more', () => {
  // It was reported as the refusal of the request that the server was running.
  test('is not taken for the answer to the next request if it names none', async () => {
    await startPool((socket, number) => {
      socket.write(number === 0 ? `${SHED}ragwortspur-call: c1\r\n\r\n` : `${SHED}\r\n`)
    })
    expect(await pool.send(requestOf('c1'))).toMatchObject({ kind: 'answered', status: 503 })
    expect(await pool.send(requestOf('c2'))).toMatchObject({ kind: 'failed', reason: Reason.AnswerCrossed, bytesSent: true })
  })

  test('is not taken for the answer to the next request if it names another one', async () => {
    await startPool(socket => socket.write(`${SHED}ragwortspur-call: c1\r\n\r\n`))
    expect(await pool.send(requestOf('c1'))).toMatchObject({ kind: 'answered', status: 503 })
    expect(await pool.send(requestOf('c2'))).toMatchObject({ kind: 'failed', reason: Reason.AnswerCrossed, bytesSent: true })
  })

  test('answers of a server that names no requests are accepted', async () => {
    await startPool(socket => socket.write(`${SHED}\r\n`))
    for (const callId of ['c1', 'c2']) {
      expect(await pool.send(requestOf(callId))).toMatchObject({ kind: 'answered', status: 503 })
    }
  })
})

// 000 and 099 were skipped like interim answers, and callers waited for their time limit.
describe('an answer with a status that is none fails at once', () => {
  test.each(['000', '099', '100', '101', '150', '600', '999', '1000', '2000', '20', '2x0'])('%s', async status => {
    await startPool(socket => socket.write(`HTTP/1.1 ${status} Odd\r\nragwortspur-call: c1\r\ncontent-length: 2\r\n\r\nok`))
    const result = await pool.send(requestOf('c1'))
    expect(result).toMatchObject({ kind: 'failed', bytesSent: true })
    expect(result.kind === 'failed' && result.reason).not.toBe(Reason.AnswerTimeout)
  })

  test('but one after an interim answer is answered', async () => {
    await startPool(socket => socket.write(`HTTP/1.1 103 Early Hints\r\n\r\n${SHED}ragwortspur-call: c1\r\n\r\n`))
    expect(await pool.send(requestOf('c1'))).toMatchObject({ kind: 'answered', status: 503 })
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
    })
    expect(await pool.send(requestOf('c1'))).toMatchObject({ kind: 'answered' })
    expect(await pool.send(requestOf('c2'))).toMatchObject({ kind: 'failed', bytesSent: true })
  })
})
