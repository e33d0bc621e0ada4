import { DATAGRAM_MAX_BYTES, encodeMessage, MESSAGE_METHODS, readMessage, type PeerMessage } from './peerMessages.js'

const fingerprint = { serviceName: 'invoicing', routeName: 'issue', bodyHash: 9 }
const messages: PeerMessage[] = [
  { kind: 'marks', marks: [{ key: 'documents/a', version: 3, revision: 4, hash: 5 }], callPort: 7400 },
  { kind: 'digest', digest: 1, count: 2, confirmed: [{ key: 'vms/tartu', revision: 3, ageMs: 40 }] },
  { kind: 'digest', digest: 1, count: 2, buckets: new Array<number>(32).fill(0xffff_ffff) },
  { kind: 'want', keys: ['documents/a'], buckets: [31] },
  { kind: 'read', keys: ['catalogue'] },
  { kind: 'draining', vmId: 'vm-1', isDraining: true },
  { kind: 'quarantine_hint', fingerprint, forMs: 60_000 }
]

function decode (text: string): { method: typeof MESSAGE_METHODS[number], params: unknown } {
  return JSON.parse(text) as { method: typeof MESSAGE_METHODS[number], params: unknown }
}

describe('messages between nodes', () => {
  test.each(messages)('$kind is decoded as it was encoded', message => {
    const [text, ...others] = encodeMessage(message)
    const { method, params } = decode(text!)
    expect(others).toEqual([])
    expect(text).toMatchSnapshot()
    expect(readMessage(method, params).extract()).toEqual(message)
  })

  test('the summaries of a whole fleet are split into datagrams of bounded size without loss', () => {
    const marks = Array.from({ length: 431 }, (_, index) => ({
      key: `documents/service-with-a-long-name-${index}`, version: 1000 + index, revision: 2_000_000 + index, hash: 4_000_000_000
    }))
    const texts = encodeMessage({ kind: 'marks', marks, callPort: 65_535 })
    expect(Math.max(...texts.map(text => Buffer.byteLength(text)))).toBeLessThanOrEqual(DATAGRAM_MAX_BYTES)
    const back = texts.flatMap(text => {
      const message = readMessage('marks', decode(text).params).unsafeCoerce()
      return message.kind === 'marks' ? message.marks : []
    })
    expect(back).toEqual(marks)
    expect(texts.length).toBeLessThanOrEqual(35)
  })

  test('a digest with the most confirmations and the longest names fits into one datagram', () => {
    const confirmed = Array.from({ length: 8 }, () =>
      ({ key: `vms/${'x'.repeat(63)}`, revision: Number.MAX_SAFE_INTEGER, ageMs: 30_000 }))
    const [text] = encodeMessage({ kind: 'digest', digest: 0xffff_ffff, count: 2_000, confirmed })
    expect(Buffer.byteLength(text!)).toBeLessThanOrEqual(DATAGRAM_MAX_BYTES)
  })

  test.each([
    ['marks', { marks: [['documents/a', -1, 4, 5]], call_port: 1 }],
    ['marks', { marks: [], call_port: 70_000 }],
    ['digest', { digest: 1, count: 2, buckets: [1] }],
    ['want', { keys: [1] }],
    ['read', { keys: ['a'], more: 1 }],
    ['draining', { vm_id: 'vm-1' }],
    ['quarantine_hint', { service: 'a', route: 'b', body_hash: 1, for_ms: 1e9 }]
  ] as const)('%s with invalid parameters %j is rejected', (method, params) => {
    expect(readMessage(method, params).isLeft()).toBe(true)
  })
})
