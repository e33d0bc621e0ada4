import type { Socket } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { Reason } from '../core/coreTypes.js'
import { RawServerPool } from '../testing/rawServerPool.js'
import type { ConnectionPool, PoolRequest, PoolResult } from './connectionPool.js'

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

// After a transfer coding that undici does not know, the end of the connection ended the body, also after a reset.
describe('an answer that is cut is no answer', () => {
  const TRIES_COUNT = 20
  const HEAD = 'HTTP/1.1 200 OK\r\nragwortspur-call: c1\r\n'
  const FRAMINGS = [
    ['with a length', 'content-length: 9\r\n\r\npart'],
    ['in chunks', 'transfer-encoding: chunked\r\n\r\n4\r\npart\r\n'],
    ['before its last line', 'transfer-encoding: chunked\r\n\r\n4\r\npart\r\n0\r\n'],
    ['with another transfer coding', 'transfer-encoding: x-chunked\r\n\r\n4\r\npart\r\n0\r\n\r\n'],
    ['with a transfer coding before a tab', 'transfer-encoding: chunked\t\r\n\r\n4\r\npart\r\n0\r\n\r\n'],
    ['with a transfer coding before the chunks', 'transfer-encoding: gzip, chunked\r\n\r\n4\r\npart\r\n0\r\n\r\n'],
    ['without a length', '\r\npart'],
    ['in its head', 'content-length: 0\r\n'],
    ['in the head after an interim answer', '\r\nHTTP/1.1 200 OK\r\n'],
    ['after an interim answer', '\r\n']
  ] as const
  const ENDINGS: ReadonlyArray<readonly [string, (socket: Socket) => void | Promise<void>]> = [
    ['resets it at once', socket => { socket.resetAndDestroy() }],
    ['resets it some milliseconds later', async socket => {
      await sleep(4)
      socket.resetAndDestroy()
    }],
    ['closes it with unread bytes', socket => { socket.destroy() }],
    ['ends it', socket => { socket.end() }]
  ]

  async function sendOften (
    request: PoolRequest, text: string, ending: (socket: Socket) => void | Promise<void>
  ): Promise<PoolResult[]> {
    const answered = new WeakSet<Socket>()
    await startPool(socket => {
      if (answered.has(socket)) return
      answered.add(socket)
      if (request.body !== null) socket.pause()
      socket.write(text)
      void ending(socket)
    })
    const results = await Promise.all(Array.from({ length: TRIES_COUNT }, () => pool.send(request)))
    await raw.close()
    return results
  }

  describe.each([['an upload', Buffer.alloc(900_000)], ['a request without a body', null]])('to %s', (_name, body) => {
    test.each(ENDINGS)('when the server %s', async (_ending, ending) => {
      for (const [framing, rest] of FRAMINGS) {
        for (const connection of ['close', 'keep-alive']) {
          const head = framing.endsWith('interim answer') ? HEAD.replace('200 OK', '103 Early Hints') : HEAD
          const results = await sendOften({ ...requestOf('c1'), body }, `${head}connection: ${connection}\r\n${rest}`, ending)
          const seen = new Set(results.map(result => result.kind === 'failed' && result.bytesSent && result.reason !== Reason.AnswerTimeout))
          expect([framing, connection, ...seen]).toEqual([framing, connection, true])
        }
      }
    })

    test('but one that is whole before the reset is', async () => {
      const chunks = '5\r\nwhole\r\n0\r\n\r\n'
      for (const rest of [
        'content-length: 5\r\n\r\nwhole', `transfer-encoding: chunked\r\n\r\n${chunks}`, `transfer-encoding: \tCHUNKED \r\n\r\n${chunks}`
      ]) {
        for (const [, ending] of ENDINGS) {
          const results = await sendOften({ ...requestOf('c1'), body }, `${HEAD}connection: close\r\n${rest}`, ending)
          expect(results.map(result => result.kind === 'answered' ? Buffer.from(result.body).toString() : result.reason))
            .toEqual(Array(TRIES_COUNT).fill('whole'))
        }
      }
    })
  })
})

describe('an answer with a malformed field line fails at once', () => {
  test.each([
    'a b: c', 'a : b', 'content-length : 2', 'content-length\x01: 2', 'a\x01: b', '\x7Fa: b', 'a\xE9: b', ': b', 'ab',
    ' a: b', 'a: b\r\n c', 'a: b\0c', 'a: b\rc', 'a: b\x01c', 'a: b\x7Fc'
  ])('%j', async line => {
    for (const text of [
      `HTTP/1.1 200 OK\r\n${line}\r\ncontent-length: 2\r\n\r\nok`,
      `HTTP/1.1 200 OK\r\ncontent-length: 2\r\n${line}\r\n\r\nok`,
      `HTTP/1.1 103 Early Hints\r\n${line}\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok`,
      `HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n${line}\r\n\r\n`
    ]) {
      await startPool(socket => socket.write(text, 'latin1'))
      const result = await pool.send(requestOf('c1'))
      await raw.close()
      expect([text, result]).toMatchObject([text, { kind: 'failed', bytesSent: true }])
      expect(result.kind === 'failed' && result.reason).not.toBe(Reason.AnswerTimeout)
    }
  })
})
