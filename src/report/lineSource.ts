import { createReadStream } from 'node:fs'
import { StringDecoder } from 'node:string_decoder'
import { createGunzip } from 'node:zlib'
import { PassThrough, type Readable } from 'node:stream'

/** A record line has at most some 2,000 characters; longer text without a line end is not kept. */
const LINE_MAX_CHARS = 65_536
const GZIP_MAGIC = [0x1f, 0x8b]

/** A line of a file, and whether its line end was there. */
export type LineReader = (line: string, isEnded: boolean) => void

/** How the reading of one file ended; an error is a file that cannot be read to its end. */
export interface SourceEnd {
  readonly name: string
  readonly bytesCount: number
  readonly tooLongCount: number
  readonly error: string | null
}

function isGzip (chunk: Buffer): boolean {
  return GZIP_MAGIC.every((byte, index) => chunk[index] === byte)
}

async function * whole (input: AsyncIterable<Buffer>): AsyncGenerator<Buffer> {
  let head: Buffer | undefined = Buffer.alloc(0)
  for await (const chunk of input) {
    if (head === undefined) yield chunk
    else {
      // Decides on the first two bytes, which a pipe may deliver one by one.
      head = Buffer.concat([head, chunk])
      if (head.length < GZIP_MAGIC.length) continue
      yield head
      head = undefined
    }
  }
  if (head !== undefined && head.length > 0) yield head
}

async function * unpacked (input: AsyncIterable<Buffer>): AsyncGenerator<Buffer> {
  const chunks = whole(input)
  const first = await chunks.next()
  if (first.done === true) return
  if (!isGzip(first.value)) {
    yield first.value
    yield * chunks
    return
  }
  const packed = new PassThrough()
  const feed = async (): Promise<void> => {
    packed.write(first.value)
    for await (const chunk of chunks) {
      if (!packed.write(chunk)) await new Promise(resolve => packed.once('drain', resolve))
    }
    packed.end()
  }
  const gunzip = createGunzip()
  feed().catch((error: Error) => gunzip.destroy(error))
  yield * packed.pipe(gunzip) as unknown as AsyncIterable<Buffer>
}

class LineSplitter {
  readonly #decoder = new StringDecoder('utf8')
  readonly #read: LineReader
  #rest = ''
  #skipping = false
  tooLongCount = 0

  constructor (read: LineReader) {
    this.#read = read
  }

  push (chunk: Buffer): void {
    const text = this.#rest + this.#decoder.write(chunk)
    let start = 0
    for (let end = text.indexOf('\n'); end !== -1; end = text.indexOf('\n', start)) {
      this.#line(text.slice(start, text.charCodeAt(end - 1) === 13 ? end - 1 : end), true)
      start = end + 1
    }
    this.#rest = text.slice(start)
    if (this.#rest.length <= LINE_MAX_CHARS) return
    if (!this.#skipping) this.tooLongCount += 1
    this.#skipping = true
    this.#rest = ''
  }

  end (): void {
    const rest = this.#rest + this.#decoder.end()
    if (rest !== '') this.#line(rest, false)
  }

  #line (line: string, isEnded: boolean): void {
    if (!this.#skipping) this.#read(line, isEnded)
    this.#skipping = false
  }
}

/**
 * Reads the lines of a file, or of standard input for `-`, in constant memory.
 * Files packed with gzip are told by their content.
 *
 * @example
 * await readLines('node.log.gz', line => console.log(line))
 *
 * Errors: none are thrown; a file that ends in an error is told in the result.
 */
export async function readLines (
  name: string, read: LineReader, input: Readable = name === '-' ? process.stdin : createReadStream(name)
): Promise<SourceEnd> {
  const splitter = new LineSplitter(read)
  let bytesCount = 0
  let error: string | null = null
  try {
    for await (const chunk of unpacked(input as AsyncIterable<Buffer>)) {
      bytesCount += chunk.length
      splitter.push(chunk)
    }
  } catch (caught) {
    error = caught instanceof Error ? caught.message : String(caught)
  }
  splitter.end()
  return { name, bytesCount, tooLongCount: splitter.tooLongCount, error }
}
