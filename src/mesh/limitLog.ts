import type { Millis } from '../clock/clock.js'
import type { RateLimitDb } from '../core/rateLimit/rateLimitDb.js'
import { rateLimitDefinition } from '../core/rateLimit/rateLimitDefinition.js'
import type { NodeLog } from './nodeLog.js'

/** Interval between two log lines on the requests sent under a limit. */
const LIMIT_LOG_INTERVAL_MS: Millis = 1_000

/** Logs what is sent to a backend server while it names a limit. */
export class LimitLog {
  readonly #log: NodeLog
  #lastWrittenAtMs: Millis = -Infinity

  constructor (log: NodeLog) {
    this.#log = log
  }

  write (rateLimit: RateLimitDb, serverId: string, nowMs: Millis): void {
    if (nowMs - this.#lastWrittenAtMs < LIMIT_LOG_INTERVAL_MS) return
    const report = rateLimitDefinition.getReport(rateLimit, nowMs)
    if (report === null) return
    this.#lastWrittenAtMs = nowMs
    this.#log.event('sends_under_limit', {
      server: serverId,
      limit_per_s: report.limitPerS,
      sent: report.sentCount,
      repeated: report.repeatedCount,
      window_ms: report.windowMs
    })
  }
}
