import fc from 'fast-check'
import { ALL_FAULTS, NO_FAULTS, runIdempotencySoak } from './idempotencySoak.js'

describe('idempotency under faults', () => {
  test.each([1, 2, 3, 4, 5, 6, 7, 8])('seed %i: no key runs twice, and a key that is reported not_run did not run', seed => {
    const result = runIdempotencySoak({ seed, steps: 20_000 })
    expect(result.violations).toEqual([])
    expect(result.stepsCount).toBe(20_000)
    expect(result.runsCount).toBeGreaterThan(0)
  })

  test('both properties hold under any combination of faults', () => {
    const faults = fc.record(Object.fromEntries(
      Object.keys(ALL_FAULTS).map(name => [name, fc.boolean()])
    ) as { [name in keyof typeof ALL_FAULTS]: fc.Arbitrary<boolean> })
    fc.assert(fc.property(fc.nat(1e6), faults, fc.integer({ min: 1, max: 15_000 }), (seed, mix, steps) => {
      expect(runIdempotencySoak({ seed, steps, faults: mix }).violations).toEqual([])
    }), { seed: 23, numRuns: 25 })
  })

  test('without faults all calls with keys run, including keys without a timestamp', () => {
    const result = runIdempotencySoak({ seed: 9, steps: 40_000, faults: NO_FAULTS, callsFromMs: 150_000 })
    expect(result.violations).toEqual([])
    expect(result.notRunCount).toBe(0)
    expect(result.neverRunCount).toBe(0)
    expect(result.keysCount).toBeGreaterThan(100)
  })
})
