import { parseDocumentText, parseVmList } from './documentsParse.js'
import { NESTING_MAX_COUNT } from './publishedText.js'

const DEPTH = 100_000
const TOO_DEEP = [{ path: '(root)', line: null, reason: 'is nested more than 100 levels deep' }]

// The process ended while it reported the value: with a full stack, or an error of the engine that can't be caught.
describe.each([
  ['a list in JSON', '['.repeat(DEPTH) + ']'.repeat(DEPTH)],
  ['a list that does not end', '['.repeat(DEPTH)],
  ['maps in JSON', '{"a":'.repeat(DEPTH) + '1' + '}'.repeat(DEPTH)],
  ['a field of a list entry', `{"vms":[{"id":${'['.repeat(DEPTH)}${']'.repeat(DEPTH)}}]}`],
  ['strings with brackets between the levels', '["]",'.repeat(DEPTH) + ']'.repeat(DEPTH)],
  ['lists in YAML', '- '.repeat(DEPTH) + 'a'],
  ['maps in YAML', Array.from({ length: 1_000 }, (_, at) => `${' '.repeat(at)}a:`).join('\n')]
])('a value that is nested very deeply: %s', (_name, text) => {
  test('is refused as a VM list', () => {
    expect(parseVmList({ key: 'vms/tartu', revision: 1, text }).swap().extract()).toEqual(TOO_DEEP)
  })

  test('is refused as a document', () => {
    expect(parseDocumentText(text).swap().extract()).toEqual(TOO_DEEP)
  })
})

test('a value with as many levels as are accepted gets the faults of its fields', () => {
  const text = `{"vms":${'['.repeat(NESTING_MAX_COUNT - 2)}${']'.repeat(NESTING_MAX_COUNT - 2)}}`
  for (const faults of [parseVmList({ key: 'vms/tartu', revision: 1, text }).swap().extract(), parseDocumentText(text).swap().extract()]) {
    expect(faults).not.toEqual(TOO_DEEP)
  }
})
