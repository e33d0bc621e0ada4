import type { Logger } from 'pino'
import pino from 'pino/browser.js'
import type { Clock, Millis } from '../clock/clock.js'

/** Rate limit on lines about single requests: 10 KB/s at 250 bytes a line. */
const REQUEST_LINES_PER_S = 40
/** Lines are buffered for at most this long, so that many are written in one system call. */
const FLUSH_PERIOD_MS: Millis = 200
/** Lines beyond this much buffered text are dropped. */
const UNFLUSHED_MAX_BYTES = 256 * 1024

export type LogFields = Readonly<Record<string, string | number | boolean | null | undefined>>

/** A value that contains white space, an equals sign or a quote has to be quoted. */
const NEEDS_QUOTES = /[\s="]/

function formatFields (fields: Record<string, unknown>): string {
  let text = ''
  for (const [name, value] of Object.entries(fields)) {
    if (value === undefined || name === 'level' || name === 'time') continue
    const valueText = String(value)
    text += ` ${name}=${valueText === '' || NEEDS_QUOTES.test(valueText) ? JSON.stringify(valueText) : valueText}`
  }
  return text
}

export interface NodeLogOptions {
  readonly clock: Clock
  /** Writes text; returns false while the output cannot take more. */
  readonly write: (text: string) => boolean
}

/**
 * The structured log of a node: one line of key=value pairs for each event. Lines
 * about single requests are rate-limited, and the number of omitted lines is logged.
 * Logging must not block the node, so lines are dropped when the buffer is full.
 *
 * @example
 * log.event('configuration_in_force', { version: 7, replaced: 5 })
 * log.requestFailed('refused', { request: id, reason, load: 0.97 })
 */
export class NodeLog {
  readonly #options: NodeLogOptions
  readonly #logger: Logger
  #unflushedText = ''
  #timer: NodeJS.Timeout | null = null
  #tokens = REQUEST_LINES_PER_S
  #refilledAtMs: Millis
  #omittedCount = 0

  constructor (options: NodeLogOptions) {
    this.#options = options
    this.#refilledAtMs = options.clock.monotonicMs()
    this.#logger = pino({
      level: 'info',
      browser: { write: (line: object) => this.#append(line as Record<string, unknown>) }
    })
  }

  /** Logs a change of the node's state, such as a start, a stop, a reload or a lost dependency. Not rate-limited. */
  event (event: string, fields: LogFields = {}): void {
    this.#logger.info({ event, ...fields })
  }

  /** Logs a request that was refused or failed. */
  requestFailed (event: string, fields: LogFields): void {
    this.#writeRateLimited(event, fields, 1)
  }

  /** Logs a request that was served. These lines use at most half of the rate limit; the rest is for failures. */
  requestServed (event: string, fields: LogFields): void {
    this.#writeRateLimited(event, fields, REQUEST_LINES_PER_S / 2)
  }

  #writeRateLimited (event: string, fields: LogFields, tokensMin: number): void {
    if (!this.#tryTakeToken(tokensMin)) {
      this.#omittedCount += 1
      return
    }
    this.#logger.info({ event, ...fields })
  }

  /** Writes the buffered lines. */
  flush (): void {
    if (this.#timer !== null) clearTimeout(this.#timer)
    this.#timer = null
    if (this.#omittedCount > 0) {
      const omitted = this.#omittedCount
      this.#omittedCount = 0
      this.event('decisions_omitted', { count: omitted })
    }
    const text = this.#unflushedText
    this.#unflushedText = ''
    if (text !== '') this.#options.write(text)
  }

  #tryTakeToken (tokensMin: number): boolean {
    const nowMs = this.#options.clock.monotonicMs()
    const refilled = this.#tokens + (nowMs - this.#refilledAtMs) * REQUEST_LINES_PER_S / 1000
    this.#tokens = Math.min(REQUEST_LINES_PER_S, refilled)
    this.#refilledAtMs = nowMs
    if (this.#tokens < tokensMin) return false
    this.#tokens -= 1
    return true
  }

  #append (fields: Record<string, unknown>): void {
    if (this.#unflushedText.length > UNFLUSHED_MAX_BYTES) {
      this.#omittedCount += 1
      return
    }
    this.#unflushedText += `at_ms=${this.#options.clock.wallMs()}${formatFields(fields)}\n`
    this.#timer ??= setTimeout(() => this.flush(), FLUSH_PERIOD_MS)
  }
}
