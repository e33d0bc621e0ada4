import type { ServerResponse } from 'node:http'
import type { PollRequest, PublishedValue } from '../core/documents/documentsTypes.js'
import { documentValue, vmListValue } from '../testing/documentSamples.js'
import { startValueServer, waitUntil, type ValueServer } from '../testing/valueServer.js'
import { createPlatformReader, type PlatformReader } from './platformReader.js'

const VALUE_TEXT = '{"key":"vms/tartu","revision":9,"value":"{}"}'

/** Writes raw bytes in place of an answer, and resets the connection if `isCut`. */
function writeRaw (response: ServerResponse, fieldLines: string, body: string, isCut: boolean): void {
  response.socket?.write(`HTTP/1.1 200 OK\r\n${fieldLines}\r\n${body}`)
  if (isCut) response.socket?.resetAndDestroy()
}

const heldValues = new Map([documentValue(7, 5), vmListValue('tartu', 3, ['a'])].map(value => [value.key, value]))

describe('reader of the configuration service', () => {
  let server: ValueServer
  let reader: PlatformReader
  let log: string[]
  let values: PublishedValue[]

  async function read (
    polls: readonly PollRequest[], misbehave?: (key: string, response: ServerResponse) => boolean, timeoutMs = 2_000
  ): Promise<void> {
    const waiting = [[...polls]]
    log = []
    values = []
    server = await startValueServer({ pathPrefix: '/v1/values/', valueOf: key => heldValues.get(key), overrideResponse: misbehave })
    reader = createPlatformReader({
      platformUrl: `http://127.0.0.1:${server.port}/`,
      timeoutMs,
      timerPeriodMs: 5,
      inFlightMaxCount: 2,
      duePolls: () => waiting.shift() ?? [],
      onValue: value => { values.push(value); log.push(`value ${value.key}`) },
      onResult: (key, answered) => { log.push(`result ${key} ${answered}`) },
      onError: error => { log.push(error.step) }
    })
    reader.start()
    await waitUntil(() => log.filter(line => line.startsWith('result')).length === polls.length)
  }

  afterEach(async () => {
    await reader.stop()
    await server.stop()
  })

  test('onValue is called for newer values, before onResult', async () => {
    await read([
      { key: 'documents/delivery-booking', afterRevision: 4 }, { key: 'vms/tartu', afterRevision: 3 },
      { key: 'catalogue', afterRevision: 0 }
    ])
    expect(values).toEqual([documentValue(7, 5)])
    expect(log.indexOf('value documents/delivery-booking')).toBeLessThan(log.indexOf('result documents/delivery-booking true'))
    expect(log.filter(line => line.endsWith('true')).length).toBe(3)
    expect([...server.requests].sort()).toMatchSnapshot()
    expect(reader.bytes().receivedBytes).toBeGreaterThan(documentValue(7, 5).text.length)
  })

  test.each([
    ['an error status', (response: ServerResponse) => response.writeHead(500).end()],
    ['a redirect', (response: ServerResponse) => response.writeHead(302, { location: '/v1/values/vms/tartu' }).end()],
    ['no JSON', (response: ServerResponse) => response.end('oops')],
    ['another key', (response: ServerResponse) => response.end('{"key":"catalogue","revision":9,"value":""}')],
    ['an invalid format', (response: ServerResponse) => response.end('{"key":"vms/tartu","revision":"9","value":""}')],
    ['a body above the size limit', (response: ServerResponse) => response.end('x'.repeat(4_000_000))],
    ['a reset', (response: ServerResponse) => response.destroy()],
    ['a reset before the end of the chunks', (response: ServerResponse) => {
      writeRaw(response, 'transfer-encoding: chunked\r\nconnection: close\r\n', `${VALUE_TEXT.length.toString(16)}\r\n${VALUE_TEXT}\r\n`, true)
    }],
    ['a reset of a value without a length', (response: ServerResponse) => writeRaw(response, '', VALUE_TEXT.slice(0, -1), true)],
    ['a blank in a field name', (response: ServerResponse) => {
      writeRaw(response, `a b: c\r\ncontent-length: ${VALUE_TEXT.length}\r\n`, VALUE_TEXT, false)
    }],
    ['a control byte in a field name', (response: ServerResponse) => {
      writeRaw(response, `a\x01: b\r\ncontent-length: ${VALUE_TEXT.length}\r\n`, VALUE_TEXT, false)
    }],
    ['no answer', () => undefined]
  ])('%s counts as a failed read without a value', async (_name, answer) => {
    await read([{ key: 'vms/tartu', afterRevision: 0 }], (_key, response) => { answer(response); return true }, 200)
    expect(log).toEqual(['read_platform', 'result vms/tartu false'])
    expect([reader.counters().failedReadsCount, server.requests.length]).toEqual([1, 1])
  })

  test('a version older than the held one does not count as an answer, since it confirms nothing', async () => {
    const older = JSON.stringify({ key: 'vms/tartu', revision: 2, value: '{}' })
    await read([{ key: 'vms/tartu', afterRevision: 3 }], (_key, response) => { response.end(older); return true })
    expect([log, reader.counters().olderValuesCount]).toEqual([['result vms/tartu false'], 1])
  })
})
