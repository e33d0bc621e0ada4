import type { Logger } from 'pino'
import pino from 'pino/browser.js'
import type { Clock, Millis } from '../clock/clock.js'

/** Decision lines a second; a line of 250 bytes at this rate is 10 KB a second. */
const DECISIONS_PER_S = 40
/** Lines wait for at most this long, so that many leave in one system call. */
const FLUSH_PERIOD_MS: Millis = 200
/** Text that waits for a reader of standard output that does not read. */
const PENDING_MAX_BYTES = 256 * 1024

export type LogFields = Readonly<Record<string, string | number | boolean | null | undefined>>

/** Values of a line that need quotes: spaces, equals signs, quotes and control characters. */
const NEEDS_QUOTES = /[\s="]/

function lineOf (fields: Record<string, unknown>): string {
  let text = ''
  for (const [name, value] of Object.entries(fields)) {
    if (value === undefined || name === 'level' || name === 'time') continue
    const shown = String(value)
    text += ` ${name}=${shown === '' || NEEDS_QUOTES.test(shown) ? JSON.stringify(shown) : shown}`
  }
  return text
}

export interface NodeLogOptions {
  readonly clock: Clock
  /** Takes text; returns false while it cannot take more. */
  readonly write: (text: string) => boolean
}

/**
 * The structured log of a node: one line of key=value pairs for each event. Lines
 * about single requests are bounded in number, with a count of what was left out.
 * Writing never blocks: lines are dropped while nobody reads them.
 *
 * @example
 * log.event('configuration_in_force', { version: 7, replaced: 5 })
 * log.decision('refused', { request: id, reason, load: 0.97 })
 */
export class NodeLog {
  readonly #options: NodeLogOptions
  readonly #logger: Logger
  #pending = ''
  #timer: NodeJS.Timeout | null = null
  #tokens = DECISIONS_PER_S
  #tokensAtMs: Millis
  #omittedCount = 0

  constructor (options: NodeLogOptions) {
    this.#options = options
    this.#tokensAtMs = options.clock.monotonicMs()
    this.#logger = pino({
      level: 'info',
      browser: { write: (line: object) => this.#append(line as Record<string, unknown>) }
    })
  }

  /** A start, stop, reload, change of belief, or a dependency lost or regained. */
  event (event: string, fields: LogFields = {}): void {
    this.#logger.info({ event, ...fields })
  }

  /** A decision by which a request failed. */
  decision (event: string, fields: LogFields): void {
    this.#bounded(event, fields, 1)
  }

  /** A request that was served; such lines leave half of the bound to those that were not. */
  served (event: string, fields: LogFields): void {
    this.#bounded(event, fields, DECISIONS_PER_S / 2)
  }

  #bounded (event: string, fields: LogFields, leastTokens: number): void {
    if (!this.#takeToken(leastTokens)) {
      this.#omittedCount += 1
      return
    }
    this.#logger.info({ event, ...fields })
  }

  /** Writes what is pending. */
  flush (): void {
    if (this.#timer !== null) clearTimeout(this.#timer)
    this.#timer = null
    if (this.#omittedCount > 0) {
      const omitted = this.#omittedCount
      this.#omittedCount = 0
      this.event('decisions_omitted', { count: omitted })
    }
    const text = this.#pending
    this.#pending = ''
    if (text !== '') this.#options.write(text)
  }

  #takeToken (leastTokens: number): boolean {
    const nowMs = this.#options.clock.monotonicMs()
    const refilled = this.#tokens + (nowMs - this.#tokensAtMs) * DECISIONS_PER_S / 1000
    this.#tokens = Math.min(DECISIONS_PER_S, refilled)
    this.#tokensAtMs = nowMs
    if (this.#tokens < leastTokens) return false
    this.#tokens -= 1
    return true
  }

  #append (fields: Record<string, unknown>): void {
    if (this.#pending.length > PENDING_MAX_BYTES) {
      this.#omittedCount += 1
      return
    }
    this.#pending += `at_ms=${this.#options.clock.wallMs()}${lineOf(fields)}\n`
    this.#timer ??= setTimeout(() => this.flush(), FLUSH_PERIOD_MS)
  }
}
