import { Mechanism, settingsWithoutMechanisms } from './mechanisms.js'

describe('mechanisms', () => {
  test('each mechanism switches off one setting and keeps the other settings', () => {
    expect(settingsWithoutMechanisms(Object.values(Mechanism))).toMatchSnapshot()
  })
})
