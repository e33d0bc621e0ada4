import type { Millis } from '../clock/clock.js'

const FLUSH_PERIOD_MS: Millis = 100
const FLUSH_SIZE_CHARS = 32_768

/** Where the lines of records go. */
export interface RecordSink {
  write (line: string): void
  close (): Promise<void>
}

/** Writes the records of calls to standard output in batches; one write per call would cost more than the record. */
export class RecordWriter implements RecordSink {
  #buffer: string[] = []
  #sizeChars = 0
  readonly #timer = setInterval(() => this.#flush(), FLUSH_PERIOD_MS)

  write (line: string): void {
    this.#buffer.push(line)
    this.#sizeChars += line.length + 1
    if (this.#sizeChars >= FLUSH_SIZE_CHARS) this.#flush()
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
    this.#sizeChars = 0
  }
}
