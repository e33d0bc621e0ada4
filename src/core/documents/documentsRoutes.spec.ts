import { documentValue } from '../../testing/documentSamples.js'
import { documentsDefinition as documents } from './documentsDefinition.js'
import { parseServiceDocument } from './documentsParse.js'

const document = parseServiceDocument(documentValue(7, 1)).unsafeCoerce()

describe('routes and caller policies', () => {
  test.each([
    ['POST', '/bookings', 'book'],
    ['POST', '/bookings/17', 'book'],
    ['POST', '/bookings?full=1', 'book'],
    ['POST', '/bookings/import/3', 'import'],
    ['POST', '/bookings/imports', 'book'],
    ['POST', '/bookingsx', undefined],
    ['GET', '/bookings', undefined],
    ['POST', '/bookings/.hidden', 'book'],
    ['POST', '/bookings/import/..', undefined],
    ['POST', '/bookings/import/%2e%2E/3', undefined],
    ['POST', '/bookings/import%2f..%2f3', undefined]
  ])('%s %s has the route %s', (method, path, name) => {
    expect(documents.matchRoute(document, method, path)?.name).toBe(name)
  })

  test('callers that are not listed share one promise, also when their name is that of an object property', () => {
    expect(documents.callerPolicyOf(document, 'dispatchers').promisedCallsPerS).toBe(100)
    expect(documents.callerPolicyOf(document, 'constructor')).toBe(documents.callerPolicyOf(document, 'someone'))
    expect(documents.callerPolicyOf(document, 'someone')).toMatchObject({ name: 'default_caller', promisedCallsPerS: 1 })
  })
})
