import { rateLimitDefinition as rateLimit } from './rateLimitDefinition.js'

describe('rate limit of the own backend server', () => {
  test('is lifted only by the answer to a request that was sent after the limit was named', () => {
    const db = rateLimit.createDb()
    const changes = [
      rateLimit.recordAnswer(db, { limitPerS: null, sentAtMs: 0 }, 100),
      rateLimit.recordAnswer(db, { limitPerS: 20, sentAtMs: 50 }, 200),
      rateLimit.recordAnswer(db, { limitPerS: null, sentAtMs: 60 }, 210),
      rateLimit.recordAnswer(db, { limitPerS: 10, sentAtMs: 150 }, 300),
      rateLimit.recordAnswer(db, { limitPerS: null, sentAtMs: 310 }, 400)
    ]
    expect(changes).toEqual(['none', 'named', 'none', 'changed', 'lifted'])
  })

  test('is adopted from a peer only until the server has answered', () => {
    const db = rateLimit.createDb()
    expect(rateLimit.adoptLimit(db, 5, 0)).toBe(true)
    expect(rateLimit.mayStart(db, 0)).toBe(false)
    expect(rateLimit.adoptLimit(db, 8, 10)).toBe(false)
    rateLimit.recordAnswer(db, { limitPerS: null, sentAtMs: 20 }, 30)
    expect(rateLimit.adoptLimit(db, 5, 40)).toBe(false)
    expect(db.limitPerS).toBeNull()
  })

  test('lets a request through now and then at a limit of nothing, since only answers can lift it', () => {
    const db = rateLimit.createDb()
    rateLimit.recordAnswer(db, { limitPerS: 0, sentAtMs: 0 }, 0)
    expect([0, 1_000, 3_999, 4_000].map(nowMs => rateLimit.mayStart(db, nowMs))).toEqual([false, false, false, true])
  })

  test('allows a small burst after a pause, and the wait grows with the queue', () => {
    const db = rateLimit.createDb()
    rateLimit.recordAnswer(db, { limitPerS: 20, sentAtMs: 0 }, 0)
    let startedCount = 0
    for (; rateLimit.mayStart(db, 60_000); startedCount++) rateLimit.takeToken(db, 60_000)
    expect(startedCount).toBe(5)
    expect([0, 1, 4].map(queuedCount => rateLimit.startDelayMs(db, queuedCount, 60_000))).toEqual([50, 100, 250])
  })
})
