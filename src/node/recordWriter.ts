import type { Millis } from '../clock/clock.js'

const FLUSH_PERIOD_MS: Millis = 100
const FLUSH_SIZE_CHARS = 32_768

/** Destination of call records, one line each. */
export interface RecordSink {
  write (line: string): void
  close (): Promise<void>
}

/** Writes call records to standard output in batches, since a write per call costs more than building its record. */
export class RecordWriter implements RecordSink {
  #buffer: string[] = []
  #bufferedChars = 0
  readonly #timer = setInterval(() => this.#flush(), FLUSH_PERIOD_MS)

  write (line: string): void {
    this.#buffer.push(line)
    this.#bufferedChars += line.length + 1
    if (this.#bufferedChars >= FLUSH_SIZE_CHARS) this.#flush()
  }

  async close (): Promise<void> {
    clearInterval(this.#timer)
    this.#flush()
    await new Promise<void>(resolve => process.stdout.write('', () => resolve()))
  }

  #flush (): void {
    if (this.#buffer.length === 0) return
    process.stdout.write(`${this.#buffer.join('\n')}\n`)
    this.#buffer = []
    this.#bufferedChars = 0
  }
}
