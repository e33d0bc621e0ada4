import fc from 'fast-check'
import { keyTimestampOf } from './keyTimestamp.js'
import { keyText, ownerOf, votersOf } from './keyOwner.js'

const uuid = '018bcfe5-6800-7000-8000-0123456789ab'
const ulid = '01HF7YAT000123456789ABCDEF'

describe('key timestamps', () => {
  test.each([
    [uuid, 1_700_000_000_000], [`${uuid}:invoice`, 1_700_000_000_000], [uuid.toUpperCase(), 1_700_000_000_000],
    [ulid, 1_700_000_000_000], [`${ulid}/2`, 1_700_000_000_000], [ulid.toLowerCase(), 1_700_000_000_000]
  ])('%s carries its timestamp', (key, timestampMs) => {
    expect(keyTimestampOf(key)).toBe(timestampMs)
  })

  test.each([
    '', 'order-17', '018bcfe5-6800-4000-8000-0123456789ab', `${uuid}7`, `${ulid}X`,
    '81HF7YAT000123456789ABCDEF', '01HF7YAT00U123456789ABCDEF', '018bcfe5-6800-7000-8000-0123456789'
  ])('"%s" is not read as a key with a timestamp', key => {
    expect(keyTimestampOf(key)).toBeNull()
  })

  test('any text is accepted without an error, since keys come from callers', () => {
    fc.assert(fc.property(fc.string(), text => {
      const timestampMs = keyTimestampOf(text)
      return timestampMs === null || Number.isSafeInteger(timestampMs)
    }), { seed: 5 })
  })
})

describe('key owner', () => {
  const key = (index: number) => ({ callerName: 'c', serviceName: 's', idempotencyKey: `k${index}` })
  const dataCentre = (name: string, weight: number, nodeIds: string[]) => ({ dataCentre: name, weight, nodeIds })

  test('data centres get keys in proportion to their weights, whichever nodes they list', () => {
    const counts = { a: 0, b: 0 }
    for (let index = 0; index < 4_000; index++) {
      const owner = ownerOf(key(index), [dataCentre('a', 0.75, []), dataCentre('b', 0.25, ['n1'])])
      counts[owner.dataCentre as 'a' | 'b']++
      expect(owner.nodeId).toBe(owner.dataCentre === 'a' ? undefined : 'n1')
    }
    expect(counts.a / 4_000).toBeCloseTo(0.75, 1)
  })

  test('the order of candidates does not matter, so that all nodes compute the same owner', () => {
    const candidates = [dataCentre('a', 0.5, ['n1', 'n2']), dataCentre('b', 0.5, ['n3'])]
    for (let index = 0; index < 200; index++) {
      expect(ownerOf(key(index), candidates)).toEqual(ownerOf(key(index), [...candidates].reverse()))
    }
  })

  test('the parts of a key are unambiguous, so that two requests never share a record', () => {
    const texts = [['a', 'bc', 'd'], ['ab', 'c', 'd'], ['a', 'b', 'cd'], ['1', '1|a', ''], ['1|1', 'a', '']]
      .map(([callerName = '', serviceName = '', idempotencyKey = '']) =>
        keyText({ callerName, serviceName, idempotencyKey }))
    expect(new Set(texts).size).toBe(texts.length)
  })

  test('an owner requires a data centre, and the number of voters is limited', () => {
    expect(() => ownerOf(key(1), [])).toThrow(RangeError)
    expect(votersOf('a', ['n1', 'n2', 'n3'], 2)).toHaveLength(2)
  })
})
