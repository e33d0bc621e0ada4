import { HTTPParser } from 'http-parser-js'
import { StepError, Step } from '../errors/errors.js'

const ON_HEADERS_COMPLETE = HTTPParser.kOnHeadersComplete
const ON_BODY = HTTPParser.kOnBody
const ON_MESSAGE_COMPLETE = HTTPParser.kOnMessageComplete

/** Header values are bytes; any other decoding changes them on their way. */
HTTPParser.encoding = 'latin1'

const DIGITS = /^\d{1,15}$/
const CHUNK_HEAD = /^([0-9a-fA-F]{1,12})[ \t]*(;.*)?$/

/** Head of an HTTP/1.1 message. `headers` holds names and values in turn, as they came. */
export interface MessageHead {
  readonly method: string
  readonly target: string
  readonly statusCode: number
  readonly statusText: string
  readonly headers: readonly string[]
  readonly keepAlive: boolean
  /** False for a response that ends with its connection. */
  readonly hasLength: boolean
}

export interface ParserCallbacks {
  /** Returns true if the message has no body whatever its headers say, as the answer to HEAD. */
  onHead (head: MessageHead): boolean
  onBody (chunk: Buffer): void
  /** The message is whole. `restBytes` counts the bytes of the same read that follow it. */
  onEnd (restBytes: number): void
}

/**
 * Reads the framing headers strictly, since two readers that disagree about
 * where a message ends let one request hide inside another.
 */
function framingFault (headers: readonly string[]): string {
  let length: string | undefined
  let isChunked = false
  for (let at = 0; at < headers.length; at += 2) {
    const name = headers[at]!.toLowerCase()
    const value = headers[at + 1]!
    if (name === 'content-length') {
      if (length !== undefined && length !== value) return 'two lengths'
      if (!DIGITS.test(value)) return 'length is no number'
      length = value
    } else if (name === 'transfer-encoding') {
      if (isChunked || value.toLowerCase() !== 'chunked') return 'unknown transfer encoding'
      isChunked = true
    }
  }
  return isChunked && length !== undefined ? 'length and chunks' : ''
}

/** The parts of the library's parser that are used or replaced; its declarations leave some of them out. */
interface ParserInternals {
  maxHeaderSize: number
  execute (chunk: Buffer): unknown
  finish (): unknown
  consumeLine (): string | undefined
  parseHeader (line: string, headers: string[]): void
  body_bytes: number | null
  isChunked: boolean
  state: string
  offset: number
  end: number
}

function fault (reason: string): StepError {
  return new StepError(Step.ReadMessage, '', reason)
}

/** The library takes any text for a chunk size and reads a wrong one as the end of the body. */
function readChunkHead (this: ParserInternals): void {
  const line = this.consumeLine()
  if (line === undefined) return
  const match = CHUNK_HEAD.exec(line)
  if (match === null) throw fault('chunk size is no number')
  this.body_bytes = parseInt(match[1]!, 16)
  this.state = this.body_bytes === 0 ? 'BODY_CHUNKTRAILERS' : 'BODY_CHUNK'
}

/** The library skips header lines without a name and joins folded ones. */
function parseHeader (this: ParserInternals, line: string, headers: string[]): void {
  const colonAt = line.indexOf(':')
  if (colonAt <= 0 || line.includes('\r') || line.includes('\0')) throw fault('malformed header line')
  const name = line.slice(0, colonAt)
  if (/[\s"(),/:;<=>?@[\\\]{}]/.test(name)) throw fault('malformed header name')
  headers.push(name, line.slice(colonAt + 1).trim())
}

/**
 * Incremental reader of HTTP/1.1 messages on one connection.
 *
 * @example
 * const parser = new MessageParser('REQUEST', { onHead, onBody, onEnd }, 16_384)
 * const error = parser.read(chunk) // undefined, or why the bytes are no message
 */
export class MessageParser {
  readonly #parser: ParserInternals
  readonly #headMaxBytes: number

  constructor (kind: 'REQUEST' | 'RESPONSE', callbacks: ParserCallbacks, headMaxBytes: number) {
    this.#headMaxBytes = headMaxBytes
    const parser = new HTTPParser(kind) as unknown as ParserInternals & Record<string | number, unknown>
    parser['BODY_CHUNKHEAD'] = readChunkHead
    parser.parseHeader = parseHeader
    parser[ON_HEADERS_COMPLETE] = (info: {
      method: number,
      url: string,
      statusCode: number,
      statusMessage: string
      headers: string[],
      shouldKeepAlive: boolean
    }) => {
      const reason = framingFault(info.headers)
      if (reason !== '') throw fault(reason)
      const isBodiless = callbacks.onHead({
        method: kind === 'REQUEST' ? HTTPParser.methods[info.method] ?? '' : '',
        target: info.url,
        statusCode: info.statusCode,
        statusText: info.statusMessage,
        headers: info.headers,
        keepAlive: info.shouldKeepAlive,
        hasLength: parser.isChunked || parser.body_bytes !== null
      })
      return isBodiless ? 1 : 0
    }
    parser[ON_BODY] = (chunk: Buffer, offset: number, length: number) => {
      callbacks.onBody(chunk.subarray(offset, offset + length))
    }
    parser[ON_MESSAGE_COMPLETE] = () => callbacks.onEnd(parser.end - parser.offset)
    this.#parser = parser
  }

  /** Takes the next bytes of the connection. Returns the fault if they are no message. */
  read (chunk: Buffer): Error | undefined {
    // The library resets its bound after each message.
    this.#parser.maxHeaderSize = this.#headMaxBytes
    try {
      const result: unknown = this.#parser.execute(chunk)
      return result instanceof Error ? result : undefined
    } catch (error) {
      if (error instanceof StepError) return error
      throw error
    }
  }

  /** Whether the end of the connection is a proper end of what was read. */
  finish (): Error | undefined {
    const result: unknown = this.#parser.finish()
    return result instanceof Error ? result : undefined
  }

  /** Whether a message has begun and is not whole. */
  get isInMessage (): boolean {
    const { state } = this.#parser
    return state !== 'REQUEST_LINE' && state !== 'RESPONSE_LINE'
  }
}
