import { ManualClock, systemClock } from './clock.js'

describe('clock', () => {
  test('a manual clock advances both times by the same step', () => {
    const clock = new ManualClock(10, 1000)
    clock.advanceMs(5)
    expect([clock.monotonicMs(), clock.wallMs()]).toEqual([15, 1015])
  })

  test('a manual clock rejects a negative step, since deadlines need a monotonic clock', () => {
    expect(() => new ManualClock().advanceMs(-1)).toThrow(RangeError)
  })

  test('the monotonic time of the system clock does not go back', () => {
    const first = systemClock.monotonicMs()
    expect(systemClock.monotonicMs()).toBeGreaterThanOrEqual(first)
  })
})
