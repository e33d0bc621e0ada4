import { Mechanism, settingsWithout } from './mechanisms.js'

describe('mechanisms', () => {
  test('each mechanism switches off one setting and keeps those of the others', () => {
    expect(settingsWithout(Object.values(Mechanism))).toMatchSnapshot()
  })
})
