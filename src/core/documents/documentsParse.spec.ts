import { BOOKING_TEXT, documentValue, vmListValue } from '../../testing/documentSamples.js'
import { parseCatalogue, parseServiceDocument, parseVmList } from './documentsParse.js'

function faultsOf (text: string): unknown {
  return parseServiceDocument({ key: 'documents/delivery-booking', revision: 1, text }).swap().extract()
}

describe('published formats', () => {
  test('the example document maps to the internal form, including defaults', () => {
    expect(parseServiceDocument(documentValue(7, 1)).extract()).toMatchSnapshot()
  })

  test('a data centre that is not listed has no weight, even if its name is that of an object property', () => {
    const document = parseServiceDocument(documentValue(7, 1)).unsafeCoerce()
    expect([document.dataCentreWeights['tartu'], document.dataCentreWeights['constructor']]).toEqual([0.3, undefined])
  })

  test.each([
    ['unknown fields', BOOKING_TEXT.replace('team: booking', 'team: booking\nteem: x').replace('name: dispatchers', 'nam: d')],
    ['values of wrong types and ranges', BOOKING_TEXT.replace('version: 7', 'version: 7.5')
      .replace('importance: vital', 'importance: urgent').replace('slots_count: 220', 'slots_count: -1')
      .replace('method: POST', 'method: post').replace('idempotent: false', 'idempotent: "no"')],
    ['weights that do not sum to 1', BOOKING_TEXT.replace('weight_ratio: 0.4', 'weight_ratio: 0.5')],
    ['repeated names and routes', BOOKING_TEXT.replace('name: import', 'name: book')
      .replace('/bookings/import', '/bookings').replace('[delivery-schedule,', '[invoicing,').replace('name: tartu', 'name: parnu')],
    ['its own service as callee and a reserved caller name', BOOKING_TEXT.replace('depot-stock', 'delivery-booking')
      .replace('name: dispatchers', 'name: default_caller')],
    ['another service name than in the key', BOOKING_TEXT.replace('service: delivery-booking', 'service: booking')],
    ['a repeated field', `${BOOKING_TEXT}team: other\n`],
    ['no valid YAML syntax', 'service: [unclosed'],
    ['a list', '- 1'],
    ['nothing in it', ''],
    ['expanding aliases', `a: &a [1,1,1,1,1,1,1,1,1]\n${['b', 'c', 'd', 'e', 'f'].map((name, index) =>
      `${name}: &${name} [${`*${'abcdef'[index]}, `.repeat(9)}]`).join('\n')}\n`],
    ['more than 1 MB', `# ${'x'.repeat(1_048_576)}\n${BOOKING_TEXT}`]
  ])('a document with %s is refused with path, line and what is allowed', (_name, text) => {
    expect(faultsOf(text)).toMatchSnapshot()
  })

  test('a VM list maps to entries of its data centre', () => {
    expect(parseVmList(vmListValue('tartu', 4, ['vm-1'])).extract()).toMatchSnapshot()
  })

  test('wrong VM entries are refused: address, state, data centre, repeated id', () => {
    const text = vmListValue('tartu', 4, ['vm-1', 'vm-1', 'vm-3']).text
      .replace('127.0.0.1:9000', 'localhost:9000').replace('"live"', '"gone"')
    expect(parseVmList({ key: 'vms/tartu', revision: 4, text }).swap().extract()).toMatchSnapshot()
    expect(parseVmList(vmListValue('parnu', 4, ['vm-1'])).map(list => list.entries.length).extract()).toBe(1)
    const moved = { ...vmListValue('parnu', 4, ['vm-1', 'vm-1']), key: 'vms/tartu' }
    expect(parseVmList(moved).swap().extract()).toMatchSnapshot()
  })

  test('a catalogue with a repeated service is refused, since its reads would be planned twice', () => {
    const text = '{"services": ["a", "a"], "data_centres": ["tartu"]}'
    expect(parseCatalogue({ key: 'catalogue', revision: 1, text }).swap().extract()).toMatchSnapshot()
  })
})
