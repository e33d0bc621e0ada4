import { Reason } from '../core/coreTypes.js'
import { RawServerPool } from '../testing/rawServerPool.js'
import type { ConnectionPoolOptions, PoolResult } from './connectionPool.js'

const MEMORY_MAX_BYTES = 64 * 1024 * 1024
const CHUNKED = 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n'

const raw = new RawServerPool()

afterEach(() => raw.close())

/** Sends a request to a server that answers with `head`, then with `unit` over and over until its peer closes. */
async function sendToEndlessServer (
  head: string, unit: string, options: Partial<ConnectionPoolOptions> = {}, timeoutMs = 20_000
): Promise<PoolResult> {
  const text = unit.repeat(Math.ceil(65_536 / unit.length))
  const pool = await raw.start(socket => {
    const write = (): void => {
      while (!socket.destroyed && socket.write(text));
    }
    socket.on('drain', () => setImmediate(write))
    socket.write(head)
    write()
  }, options)
  return await pool.send({ method: 'GET', path: '/', headers: { 'ragwortspur-call': 'c1' }, body: null, timeoutMs })
}

function usedBytes (): number {
  const { arrayBuffers, heapUsed } = process.memoryUsage()
  return arrayBuffers + heapUsed
}

describe('answers without end', () => {
  // Each piece of a body was kept as an object, with all bytes that were read together.
  test.each([
    ['in one long chunk', `${CHUNKED}fffffff\r\n`, 'x'],
    ['in very many small chunks', CHUNKED, '1\r\nx\r\n']
  ])('a body %s is too large at its limit, and takes little more memory than that', async (_name, head, unit) => {
    const beforeBytes = usedBytes()
    const result = await sendToEndlessServer(head, unit, { answerMaxBytes: 500_000 })
    expect(result).toMatchObject({ kind: 'failed', reason: Reason.BodyTooLarge })
    expect(usedBytes() - beforeBytes).toBeLessThan(MEMORY_MAX_BYTES)
  })

  test.each([
    ['a head', 'HTTP/1.1 200 OK\r\na: '],
    ['a trailer', `${CHUNKED}0\r\na: `]
  ])('%s without end breaks the connection', async (_name, head) => {
    expect(await sendToEndlessServer(head, 'x')).toMatchObject({ kind: 'failed', reason: expect.not.stringContaining('timeout') })
  })

  test('a chunk size line without end takes no memory until the request times out', async () => {
    const beforeBytes = usedBytes()
    expect((await sendToEndlessServer(`${CHUNKED}1;`, 'x', {}, 500)).kind).toBe('failed')
    expect(usedBytes() - beforeBytes).toBeLessThan(MEMORY_MAX_BYTES)
  })
})
