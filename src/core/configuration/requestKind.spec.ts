import { findUnrecognizedKinds, mayRepeat, type RequestKind } from './requestKind.js'

test.each<[RequestKind, boolean]>([
  [{ kind: 'repeatable' }, true],
  [{ kind: 'at_most_once' }, false],
  [{ kind: 'upload' }, false],
  [{ kind: 'unrecognized', name: 'stream' }, false]
])('whether a request of %j may be repeated: %s', (requestKind, expected) => {
  expect(mayRepeat(requestKind)).toBe(expected)
})

test('a route with an unrecognized kind is found with its value and a remedy', () => {
  expect(findUnrecognizedKinds([
    { name: 'look-up', requestKind: { kind: 'repeatable' } },
    { name: 'watch', requestKind: { kind: 'unrecognized', name: 'stream' } }
  ])).toMatchSnapshot()
})
