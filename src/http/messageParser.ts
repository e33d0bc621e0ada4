import { HTTPParser } from 'http-parser-js'
import { StepError, Step } from '../errors/errors.js'

const ON_HEADERS_COMPLETE = HTTPParser.kOnHeadersComplete
const ON_BODY = HTTPParser.kOnBody
const ON_MESSAGE_COMPLETE = HTTPParser.kOnMessageComplete

/** Latin-1 keeps the bytes of header values; any other decoding would change them when they are forwarded. */
HTTPParser.encoding = 'latin1'

const DIGITS = /^\d{1,15}$/
const CHUNK_SIZE_LINE = /^([0-9a-fA-F]{1,12})[ \t]*(;.*)?$/

/** Head of an HTTP/1.1 message. `headers` alternates names and values, as they were received. */
export interface MessageHead {
  readonly method: string
  readonly target: string
  readonly statusCode: number
  readonly statusText: string
  readonly headers: readonly string[]
  readonly keepAlive: boolean
  /** False for a response that ends when its connection closes. */
  readonly hasLength: boolean
}

export interface ParserCallbacks {
  /** Returns true if the message has no body regardless of its headers, such as the answer to HEAD. */
  onHead (head: MessageHead): boolean
  onBody (chunk: Buffer): void
  /** Called when the message is complete. `restBytes` is the number of bytes after it in the same chunk. */
  onEnd (restBytes: number): void
}

/**
 * Returns why the framing headers are invalid, or an empty string. The check is
 * strict: if two parsers disagree about where a message ends, a request can be
 * smuggled inside another one.
 */
function findFramingError (headers: readonly string[]): string {
  let length: string | undefined
  let isChunked = false
  for (let at = 0; at < headers.length; at += 2) {
    const name = headers[at]!.toLowerCase()
    const value = headers[at + 1]!
    if (name === 'content-length') {
      if (length !== undefined && length !== value) return 'conflicting content-length values'
      if (!DIGITS.test(value)) return 'content-length is not a number'
      length = value
    } else if (name === 'transfer-encoding') {
      if (isChunked || value.toLowerCase() !== 'chunked') return 'unsupported transfer encoding'
      isChunked = true
    }
  }
  return isChunked && length !== undefined ? 'both content-length and transfer-encoding' : ''
}

/** Members of the library's parser that are used or replaced; its type declarations omit some of them. */
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

function parseError (reason: string): StepError {
  return new StepError(Step.ReadMessage, '', reason)
}

/** Replaces the library's method, which treats an invalid chunk size as the end of the body. */
function parseChunkSizeLine (this: ParserInternals): void {
  const line = this.consumeLine()
  if (line === undefined) return
  const match = CHUNK_SIZE_LINE.exec(line)
  if (match === null) throw parseError('chunk size is not a hexadecimal number')
  this.body_bytes = parseInt(match[1]!, 16)
  this.state = this.body_bytes === 0 ? 'BODY_CHUNKTRAILERS' : 'BODY_CHUNK'
}

/** Replaces the library's method, which skips header lines without a name and joins folded lines. */
function parseHeader (this: ParserInternals, line: string, headers: string[]): void {
  const colonAt = line.indexOf(':')
  if (colonAt <= 0 || line.includes('\r') || line.includes('\0')) throw parseError('malformed header line')
  const name = line.slice(0, colonAt)
  if (/[\s"(),/:;<=>?@[\\\]{}]/.test(name)) throw parseError('malformed header name')
  headers.push(name, line.slice(colonAt + 1).trim())
}

/**
 * Incremental parser of the HTTP/1.1 messages on one connection.
 *
 * @example
 * const parser = new MessageParser('REQUEST', { onHead, onBody, onEnd }, 16_384)
 * const error = parser.read(chunk) // undefined, or why the bytes are not a valid message
 */
export class MessageParser {
  readonly #parser: ParserInternals
  readonly #headMaxBytes: number

  constructor (kind: 'REQUEST' | 'RESPONSE', callbacks: ParserCallbacks, headMaxBytes: number) {
    this.#headMaxBytes = headMaxBytes
    const parser = new HTTPParser(kind) as unknown as ParserInternals & Record<string | number, unknown>
    parser['BODY_CHUNKHEAD'] = parseChunkSizeLine
    parser.parseHeader = parseHeader
    parser[ON_HEADERS_COMPLETE] = (info: {
      method: number,
      url: string,
      statusCode: number,
      statusMessage: string
      headers: string[],
      shouldKeepAlive: boolean
    }) => {
      const reason = findFramingError(info.headers)
      if (reason !== '') throw parseError(reason)
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

  /** Parses the next bytes of the connection. Returns an error if they are not a valid message. */
  read (chunk: Buffer): Error | undefined {
    // The library resets its limit after each message.
    this.#parser.maxHeaderSize = this.#headMaxBytes
    try {
      const result: unknown = this.#parser.execute(chunk)
      return result instanceof Error ? result : undefined
    } catch (error) {
      if (error instanceof StepError) return error
      throw error
    }
  }

  /** Called when the connection ends. Returns an error if a message is incomplete. */
  finish (): Error | undefined {
    const result: unknown = this.#parser.finish()
    return result instanceof Error ? result : undefined
  }

  /** Whether a message has begun and is not complete. */
  get isInMessage (): boolean {
    const { state } = this.#parser
    return state !== 'REQUEST_LINE' && state !== 'RESPONSE_LINE'
  }
}
