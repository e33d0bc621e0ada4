import { readFileSync } from 'node:fs'
import { schemaPage } from './documentsSchemaPage.js'
import { checkDocuments, reportLines, type DocumentFile } from './documentsTogether.js'

/** Callees of the service and promised rates of its callers. */
interface DocumentOptions {
  readonly calls?: readonly string[]
  readonly callers?: Readonly<Record<string, number>>
}

function file (service: string, { calls = [], callers = {} }: DocumentOptions = {}, name = service): DocumentFile {
  const callerEntries = Object.entries(callers)
    .map(([caller, rate]) => ({ name: caller, promised_calls_per_s: rate, max_importance: 'low' }))
  const text = `service: ${service}
team: t
version: 1
backend: { slots_count: 1, connections_count: 1 }
capacity_calls_per_s: 100
data_centres: [{ name: tartu, weight_ratio: 1 }]
routes:
  - { name: r, method: GET, path_prefix: /, importance: low, idempotent: true, deadline_ms: 9, callees: [${calls.join(', ')}] }
callers: ${JSON.stringify(callerEntries)}
default_caller: { promised_calls_per_s: 1, max_importance: low }
`
  return { name: `${name}.yaml`, text }
}

describe('checks across documents', () => {
  test.each([
    ['consistent documents', [file('a', { calls: ['b'] }), file('b', { callers: { a: 99 } })]],
    ['promises above the capacity', [file('a', { callers: { x: 50, y: 49.5 } })]],
    ['an unknown callee', [file('a', { calls: ['nowhere'] }), file('b')]],
    ['a call without a promise', [file('a', { calls: ['b'] }), file('b', { callers: { c: 1 } })]],
    ['a cycle that is reached through a chain', [
      file('a', { calls: ['b'] }), file('b', { calls: ['c'], callers: { a: 1, d: 1 } }),
      file('c', { calls: ['d'], callers: { b: 1 } }), file('d', { calls: ['b'], callers: { c: 1 } })
    ]],
    ['two paths to one service without a cycle', [
      file('a', { calls: ['b', 'c'] }), file('b', { calls: ['c'], callers: { a: 1 } }), file('c', { callers: { a: 1, b: 1 } })
    ]],
    ['two documents of one service', [file('a'), file('a', {}, 'copy')]],
    ['a document that is invalid on its own', [
      { name: 'a.yaml', text: file('a').text.replace('weight_ratio: 1', 'weight_ratio: 0.9').replace('team: t', 'team: t\nmore: 1') },
      file('b', { calls: ['a'] })
    ]],
    ['no files', []]
  ])('%s', (_name, files) => {
    expect(reportLines(checkDocuments(files))).toMatchSnapshot()
  })

  test('the page of the published formats is up to date with `npm run schema`', () => {
    expect(readFileSync(new URL('../../../docs/documentSchema.md', import.meta.url), 'utf8')).toBe(schemaPage())
  })
})
