import { readFileSync } from 'node:fs'
import { schemaPage } from './documentsSchemaPage.js'
import { checkTogether, reportLines, type DocumentFile } from './documentsTogether.js'

interface Terms {
  readonly calls?: readonly string[]
  readonly callers?: Readonly<Record<string, number>>
}

function file (service: string, { calls = [], callers = {} }: Terms = {}, name = service): DocumentFile {
  const terms = Object.entries(callers)
    .map(([caller, rate]) => ({ name: caller, promised_calls_per_s: rate, max_importance: 'low' }))
  const text = `service: ${service}
team: t
version: 1
backend: { slots_count: 1, connections_count: 1 }
capacity_calls_per_s: 100
data_centres: [{ name: tartu, weight_ratio: 1 }]
routes:
  - { name: r, method: GET, path_prefix: /, importance: low, idempotent: true, deadline_ms: 9, callees: [${calls.join(', ')}] }
callers: ${JSON.stringify(terms)}
default_caller: { promised_calls_per_s: 1, max_importance: low }
`
  return { name: `${name}.yaml`, text }
}

describe('check of documents together', () => {
  test.each([
    ['documents that agree', [file('a', { calls: ['b'] }), file('b', { callers: { a: 99 } })]],
    ['promises above the capacity', [file('a', { callers: { x: 50, y: 49.5 } })]],
    ['an unknown callee', [file('a', { calls: ['nowhere'] }), file('b')]],
    ['a call without a promise', [file('a', { calls: ['b'] }), file('b', { callers: { c: 1 } })]],
    ['a cycle behind a chain', [
      file('a', { calls: ['b'] }), file('b', { calls: ['c'], callers: { a: 1, d: 1 } }),
      file('c', { calls: ['d'], callers: { b: 1 } }), file('d', { calls: ['b'], callers: { c: 1 } })
    ]],
    ['two paths to one service, which are no cycle', [
      file('a', { calls: ['b', 'c'] }), file('b', { calls: ['c'], callers: { a: 1 } }), file('c', { callers: { a: 1, b: 1 } })
    ]],
    ['two documents of one service', [file('a'), file('a', {}, 'copy')]],
    ['a document with faults of its own', [
      { name: 'a.yaml', text: file('a').text.replace('weight_ratio: 1', 'weight_ratio: 0.9').replace('team: t', 'team: t\nmore: 1') },
      file('b', { calls: ['a'] })
    ]],
    ['no files', []]
  ])('%s', (_name, files) => {
    expect(reportLines(checkTogether(files))).toMatchSnapshot()
  })

  test('the page of the published formats is what `npm run schema` writes', () => {
    expect(readFileSync(new URL('../../../docs/documentSchema.md', import.meta.url), 'utf8')).toBe(schemaPage())
  })
})
