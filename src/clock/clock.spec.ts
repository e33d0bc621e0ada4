import { ManualClock, systemClock } from './clock.js'

describe('clock', () => {
  test('a manual clock moves both readings by the same step', () => {
    const clock = new ManualClock(10, 1000)
    clock.advanceMs(5)
    expect([clock.monotonicMs(), clock.wallMs()]).toEqual([15, 1015])
  })

  test('a manual clock refuses to move back, which would break every deadline', () => {
    expect(() => new ManualClock().advanceMs(-1)).toThrow(RangeError)
  })

  test('the monotonic reading of the system clock does not go back', () => {
    const first = systemClock.monotonicMs()
    expect(systemClock.monotonicMs()).toBeGreaterThanOrEqual(first)
  })
})
