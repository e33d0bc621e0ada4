import { createReadStream } from 'node:fs'
import { StringDecoder } from 'node:string_decoder'
import { createGunzip } from 'node:zlib'
import { PassThrough, type Readable } from 'node:stream'

/** Record lines have at most about 2,000 characters; text beyond this limit without a line end is discarded. */
const LINE_MAX_CHARS = 65_536
const GZIP_MAGIC = [0x1f, 0x8b]

/** Receives a line of a file, and whether it ended with a line break. */
export type LineHandler = (line: string, hasLineEnd: boolean) => void

/** Result of reading one file; `error` is not null if the file could not be read completely. */
export interface FileReadResult {
  readonly name: string
  readonly bytesCount: number
  readonly tooLongCount: number
  readonly error: string | null
}

function isGzip (chunk: Buffer): boolean {
  return GZIP_MAGIC.every((byte, index) => chunk[index] === byte)
}

async function * withCompleteMagic (input: AsyncIterable<Buffer>): AsyncGenerator<Buffer> {
  let firstBytes: Buffer | undefined = Buffer.alloc(0)
  for await (const chunk of input) {
    if (firstBytes === undefined) yield chunk
    else {
      // The gzip check needs the first two bytes, which a pipe may deliver one at a time.
      firstBytes = Buffer.concat([firstBytes, chunk])
      if (firstBytes.length < GZIP_MAGIC.length) continue
      yield firstBytes
      firstBytes = undefined
    }
  }
  if (firstBytes !== undefined && firstBytes.length > 0) yield firstBytes
}

async function * decompressed (input: AsyncIterable<Buffer>): AsyncGenerator<Buffer> {
  const chunks = withCompleteMagic(input)
  const first = await chunks.next()
  if (first.done === true) return
  if (!isGzip(first.value)) {
    yield first.value
    yield * chunks
    return
  }
  const compressed = new PassThrough()
  const writeCompressed = async (): Promise<void> => {
    compressed.write(first.value)
    for await (const chunk of chunks) {
      if (!compressed.write(chunk)) await new Promise(resolve => compressed.once('drain', resolve))
    }
    compressed.end()
  }
  const gunzip = createGunzip()
  writeCompressed().catch((error: Error) => gunzip.destroy(error))
  yield * compressed.pipe(gunzip) as unknown as AsyncIterable<Buffer>
}

class LineSplitter {
  readonly #decoder = new StringDecoder('utf8')
  readonly #onLine: LineHandler
  #partialLine = ''
  #isSkipping = false
  tooLongCount = 0

  constructor (onLine: LineHandler) {
    this.#onLine = onLine
  }

  push (chunk: Buffer): void {
    const text = this.#partialLine + this.#decoder.write(chunk)
    let start = 0
    for (let end = text.indexOf('\n'); end !== -1; end = text.indexOf('\n', start)) {
      this.#emitLine(text.slice(start, text.charCodeAt(end - 1) === 13 ? end - 1 : end), true)
      start = end + 1
    }
    this.#partialLine = text.slice(start)
    if (this.#partialLine.length <= LINE_MAX_CHARS) return
    if (!this.#isSkipping) this.tooLongCount += 1
    this.#isSkipping = true
    this.#partialLine = ''
  }

  end (): void {
    const lastLine = this.#partialLine + this.#decoder.end()
    if (lastLine !== '') this.#emitLine(lastLine, false)
  }

  #emitLine (line: string, hasLineEnd: boolean): void {
    if (!this.#isSkipping) this.#onLine(line, hasLineEnd)
    this.#isSkipping = false
  }
}

/**
 * Reads the lines of a file, or of standard input for `-`, in constant memory.
 * Files compressed with gzip are recognized by their first bytes.
 *
 * @example
 * await readLines('node.log.gz', line => console.log(line))
 *
 * Errors: none are thrown; a read error is returned in the result.
 */
export async function readLines (
  name: string, onLine: LineHandler, input: Readable = name === '-' ? process.stdin : createReadStream(name)
): Promise<FileReadResult> {
  const splitter = new LineSplitter(onLine)
  let bytesCount = 0
  let error: string | null = null
  try {
    for await (const chunk of decompressed(input as AsyncIterable<Buffer>)) {
      bytesCount += chunk.length
      splitter.push(chunk)
    }
  } catch (caught) {
    error = caught instanceof Error ? caught.message : String(caught)
  }
  splitter.end()
  return { name, bytesCount, tooLongCount: splitter.tooLongCount, error }
}
