import type { Socket } from 'node:net'
import { setImmediate as nextTurn, setTimeout as sleep } from 'node:timers/promises'
import { memoryAccountDefinition } from '../core/memoryAccount/memoryAccountDefinition.js'
import { PoolFixture } from '../testing/poolFixture.js'
import { BrokenCause, type ExchangeRequest, type ExchangeResult } from './exchangePool.js'
import { joinBody, type MessageBody } from './messageBody.js'

const MIB = 1024 * 1024
const HEAD = 'HTTP/1.1 200 OK\r\nid: a\r\n'
const PART = `${HEAD}\r\npart`
/** Requests that are open at once. The order of events varies, so each case is tried often. */
const TRIES_COUNT = 20
const SOME_MS = 4
/** Much shorter than the time limit of any request. */
const AT_ONCE_MS = 400

type Reading = 'nothing' | 'some' | 'all'
type Ending = (socket: Socket) => void | Promise<void>

const UPLOADS: ReadonlyArray<readonly [string, MessageBody]> = [
  ['held whole', Buffer.alloc(200_000)],
  ['in pieces', Array.from({ length: 64 }, () => Buffer.alloc(65_536))]
]

const CASES = (['nothing', 'some', 'all'] as const).flatMap(reading => [
  { reading, isLater: false, connection: 'a new' }, { reading, isLater: true, connection: 'a kept' }
])

let fixture: PoolFixture

afterEach(() => fixture.close())

/** Sends uploads to a server that reads as much of them as `reading` says, and ends its answers with `ending`. */
async function upload (
  body: MessageBody, { reading, isLater }: { readonly reading: Reading, readonly isLater: boolean }, ending: Ending
): Promise<readonly ExchangeResult[]> {
  const answering = new WeakSet<Socket>()
  const answer = (socket: Socket): void => {
    if (answering.has(socket)) return
    answering.add(socket)
    if (reading !== 'all') socket.pause()
    void ending(socket)
  }
  fixture = await new PoolFixture((socket, text) => {
    if (!text.startsWith('GET /first')) answer(socket)
    else {
      socket.write('HTTP/1.1 200 OK\r\nid: first\r\nContent-Length: 0\r\n\r\n')
      if (reading === 'nothing') void answerUnread(socket)
    }
  }).start()
  let onSent = (): void => {}
  const sent = new Promise<void>(resolve => { onSent = resolve })
  /** Answers a request that has been sent but not read. */
  const answerUnread = async (socket: Socket): Promise<void> => {
    socket.pause()
    await sent
    await sleep(2 * SOME_MS)
    // The poll phase before this one has opened the connection at the other side.
    await nextTurn()
    answer(socket)
  }
  if (reading === 'nothing' && !isLater) fixture.onConnection = socket => { void answerUnread(socket) }
  const tries = Array.from({ length: TRIES_COUNT })
  if (isLater) await Promise.all(tries.map(() => fixture.send('first')))
  const head = Buffer.from('POST / HTTP/1.1\r\n\r\n')
  const bytes = ArrayBuffer.isView(body) ? Buffer.concat([head, body]) : [head, ...body as readonly Uint8Array[]]
  const results = tries.map(() => sendWithin({ bytes }))
  onSent()
  return await Promise.all(results)
}

/** Sends a request, which has to end at once. */
async function sendWithin (options: Partial<ExchangeRequest>): Promise<ExchangeResult> {
  const result = await Promise.race([fixture.send('a', options), sleep(AT_ONCE_MS, undefined)])
  if (result === undefined) throw new Error(`no result within ${AT_ONCE_MS} ms`)
  return result
}

function kindsOf (results: readonly ExchangeResult[]): string[] {
  return [...new Set(results.map(result => result.kind))]
}

const RESETS: ReadonlyArray<readonly [string, Ending]> = [
  ['at once', socket => {
    socket.write(PART)
    socket.resetAndDestroy()
  }],
  ['some milliseconds later', async socket => {
    socket.write(PART)
    await sleep(SOME_MS)
    socket.resetAndDestroy()
  }],
  ['after another part', async socket => {
    socket.write(PART)
    await sleep(SOME_MS)
    socket.write('another')
    socket.resetAndDestroy()
  }],
  ['on the next write', async socket => {
    socket.write(PART)
    socket.once('data', () => socket.resetAndDestroy())
    await sleep(SOME_MS)
    socket.resume()
    await sleep(SOME_MS)
    socket.resetAndDestroy()
  }]
]

/** Closing a connection with unread bytes resets it. */
const CLOSE_UNREAD: readonly [string, Ending] = ['by closing it with unread bytes', socket => {
  socket.write(PART)
  socket.destroy()
}]

// Callers got the part as a whole answer: after a reset, only the write that was under way reported it.
describe.each(CASES)('an answer without a length to an upload of which the server reads $reading, on $connection connection', at => {
  test.each(at.reading === 'all' ? RESETS : [...RESETS, CLOSE_UNREAD])('is broken if the server resets it %s', async (_name, ending) => {
    for (const [, body] of UPLOADS) {
      const results = await upload(body, at, ending)
      fixture.close()
      expect(kindsOf(results)).toEqual(['broken'])
      for (const result of results) expect(result).toMatchObject({ cause: BrokenCause.ConnectionLost })
    }
  })

  test.each([
    ['and reads on', (socket: Socket) => {
      socket.end(`${PART} and rest`)
      socket.resume()
    }],
    ['and reads nothing more', (socket: Socket) => { socket.end(`${PART} and rest`) }],
    ['and resets the connection afterwards', async (socket: Socket) => {
      socket.end(`${PART} and rest`)
      await sleep(SOME_MS)
      socket.resetAndDestroy()
    }],
    ['and resets the connection at once', (socket: Socket) => {
      socket.end(`${PART} and rest`, () => socket.resetAndDestroy())
    }]
  ] as ReadonlyArray<readonly [string, Ending]>)('is whole if the server ends it in order %s', async (_name, ending) => {
    for (const [, body] of UPLOADS) {
      const results = await upload(body, at, ending)
      fixture.close()
      expect(kindsOf(results)).toEqual(['answered'])
      for (const result of results) {
        if (result.kind === 'answered') expect(Buffer.from(joinBody(result.body)).toString()).toBe('part and rest')
      }
    }
  })
})

describe.each(CASES)('an answer with its own end to an upload of which the server reads $reading, on $connection connection', at => {
  const WHOLE = ['Content-Length: 5\r\n\r\nwhole', 'Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n']

  test.each([
    ['at once', 0],
    ['some milliseconds later', SOME_MS]
  ])('is whole as soon as it is complete, and broken if it is cut, when the server resets it %s', async (_name, delayMs) => {
    for (const [, body] of UPLOADS) {
      for (const text of [...WHOLE, ...WHOLE.map(whole => whole.slice(0, -2))]) {
        const results = await upload(body, at, async socket => {
          socket.write(HEAD + text)
          if (delayMs > 0) await sleep(delayMs)
          socket.resetAndDestroy()
        })
        fixture.close()
        expect([text, kindsOf(results)]).toEqual([text, [WHOLE.includes(text) ? 'answered' : 'broken']])
      }
    }
  })
})

test('an answer without a length to a request without a body is broken if the server resets it at once', async () => {
  for (const [, ending] of RESETS.slice(0, 3)) {
    fixture = await new PoolFixture(socket => { void ending(socket) }).start()
    const results = await Promise.all(Array.from({ length: TRIES_COUNT }, () => sendWithin({})))
    fixture.close()
    expect(kindsOf(results)).toEqual(['broken'])
  }
})

test('answers without a length that wait for memory are broken if the server resets them', async () => {
  fixture = await new PoolFixture(async socket => {
    socket.write(`${HEAD}\r\n`)
    socket.write(Buffer.alloc(3 * MIB))
    await sleep(SOME_MS)
    socket.resetAndDestroy()
  }).start()
  const timer = setInterval(() => memoryAccountDefinition.sweep(fixture.memory), 1)
  const results = await Promise.all(Array.from({ length: 12 }, () => fixture.send('a')))
  clearInterval(timer)
  expect(kindsOf(results)).toEqual(['broken'])
  expect([fixture.pool.heldBytes, fixture.memory.waiting.size]).toEqual([0, 0])
})
