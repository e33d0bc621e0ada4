import { HTTPParser } from 'http-parser-js'
import { StepError, Step } from '../errors/errors.js'
import { isFieldName, isFieldText, trimBlanks } from './fieldSyntax.js'
import { MessageLimit, MessageLimitError } from './messageLimits.js'
import { headerValue } from './messageText.js'

const ON_HEADERS_COMPLETE = HTTPParser.kOnHeadersComplete
const ON_BODY = HTTPParser.kOnBody
const ON_MESSAGE_COMPLETE = HTTPParser.kOnMessageComplete

/** Latin-1 keeps the bytes of header values; any other decoding would change them when they are forwarded. */
HTTPParser.encoding = 'latin1'
/** The library counts whole chunks of the connection as head, so heads are limited here instead. */
HTTPParser.maxHeaderSize = Number.MAX_SAFE_INTEGER

const EMPTY_BYTES = Buffer.alloc(0)
const DIGITS = /^\d{1,15}$/
/** Status codes have three digits and five classes (RFC 9110, section 15). */
const STATUS_LINE = /^HTTP\/(\d)\.(\d) ([1-5]\d\d)(?: (.*))?$/
/** Visible characters, and bytes above 0x7F, which often are in paths although they should be encoded. */
const TARGET = /^[\x21-\x7E\x80-\xFF]+$/
/** Switches the protocol, which no request asks for. */
const SWITCHING_PROTOCOLS = 101
const CHUNK_SIZE_LINE = /^([0-9a-fA-F]{1,12})[ \t]*(;.*)?$/
/** Longest line with the size of a chunk; extensions are rare and short. */
const CHUNK_SIZE_LINE_MAX_BYTES = 4_096
/** Bytes between the chunks of a body that are accepted whatever its length, and besides them for each byte of body. */
const CHUNK_FRAMING_MIN_BYTES = 65_536
const CHUNK_FRAMING_RATIO = 16
/** Steps after which `read` leaves the rest to the next turn of the event loop. A line or a piece of body is one. */
const STEPS_PER_READ_MAX = 512
/** Steps that a whole message counts as besides its lines, since it is handled at once. */
const MESSAGE_STEPS = 32
/** Memory that a header field takes beside its characters: its strings, and parts of texts made from them. */
const FIELD_MEMORY_BYTES = 192
/** Bytes that are parsed between two checks of the steps, unless they are all in one piece of body. */
const SLICE_BYTES = 1_024

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
  /** Declared length of the body, or Infinity if only its end will show it. */
  readonly bodyBytes: number
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
  execute (chunk: Buffer): unknown
  finish (): unknown
  consumeLine (): string | undefined
  parseHeader (line: string, headers: string[]): void
  body_bytes: number | null
  isChunked: boolean
  info: { headers: string[], versionMajor: number, versionMinor: number, statusCode: number, statusMessage: string }
  state: string
  /** Start of a line that is not complete yet. */
  line: string
  offset: number
  end: number
}

/** The library's states by the limit on the lines that are read in them. */
const LIMIT_BY_STATE: Readonly<Record<string, MessageLimit>> = {
  REQUEST_LINE: MessageLimit.Head,
  RESPONSE_LINE: MessageLimit.Head,
  HEADER: MessageLimit.Head,
  BODY_CHUNKHEAD: MessageLimit.ChunkSizeLine,
  BODY_CHUNKTRAILERS: MessageLimit.Trailers
}

const readLine: (this: ParserInternals) => string | undefined =
  (HTTPParser.prototype as unknown as ParserInternals).consumeLine

function parseError (reason: string): StepError {
  return new StepError(Step.ReadMessage, '', reason)
}

/** Returns a number of bytes that is within a limit; throws if it is above. */
function checkLimit (limit: MessageLimit, bytes: number, maxBytes: number): number {
  if (bytes > maxBytes) throw new MessageLimitError(limit, maxBytes)
  return bytes
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

/** Replaces the library's method, which accepts any three digits, also as the start of a longer number. */
function parseStatusLine (this: ParserInternals): void {
  const line = this.consumeLine()
  if (line === undefined || line === '') return
  const match = STATUS_LINE.exec(line)
  if (match === null || !isFieldText(match[4] ?? '')) throw parseError('malformed status line')
  const statusCode = Number(match[3])
  Object.assign(this.info, {
    versionMajor: Number(match[1]), versionMinor: Number(match[2]), statusCode, statusMessage: match[4] ?? ''
  })
  if (statusCode < 200 || statusCode === 204 || statusCode === 304) this.body_bytes = 0
  this.state = 'HEADER'
}

/** Whether a head with a status below 200 is no interim answer: it has a body, or the final answer never follows. */
function isInvalidInterim (statusCode: number, headers: readonly string[]): boolean {
  if (statusCode >= 200) return false
  return statusCode === SWITCHING_PROTOCOLS || headerValue(headers, 'content-length') !== undefined ||
    headerValue(headers, 'transfer-encoding') !== undefined
}

/** Replaces the library's method, which skips header lines without a name, joins folded lines and accepts any bytes. */
function parseHeader (this: ParserInternals, line: string, headers: string[]): void {
  const colonAt = line.indexOf(':')
  if (colonAt < 0) throw parseError('header line without a colon')
  const name = line.slice(0, colonAt)
  if (!isFieldName(name)) throw parseError('header name is not a token')
  const value = line.slice(colonAt + 1)
  if (!isFieldText(value)) throw parseError('control byte in a header value')
  headers.push(name, trimBlanks(value))
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
  #headBytes = 0
  #trailersBytes = 0
  #chunkSizeLineBytes = 0
  #chunkFramingBytes = 0
  #bodyBytes = 0
  #stepsCount = 0
  /** Bytes of the connection that are not parsed yet. */
  #unread: Buffer = EMPTY_BYTES
  #headLinesCount = 0
  /** While true, `readMore` stops after the bytes that it is parsing. */
  isHeld = false

  constructor (kind: 'REQUEST' | 'RESPONSE', callbacks: ParserCallbacks, headMaxBytes: number) {
    this.#headMaxBytes = headMaxBytes
    const parser = new HTTPParser(kind) as unknown as ParserInternals & Record<string | number, unknown>
    parser['BODY_CHUNKHEAD'] = parseChunkSizeLine
    parser['RESPONSE_LINE'] = parseStatusLine
    parser.parseHeader = parseHeader
    parser.consumeLine = () => this.#consumeLine()
    parser[ON_HEADERS_COMPLETE] = (info: {
      method: number,
      url: string,
      statusCode: number,
      statusMessage: string
      headers: string[],
      shouldKeepAlive: boolean
      upgrade: boolean
    }) => {
      if (kind === 'REQUEST' && !TARGET.test(info.url)) throw parseError('malformed request target')
      const reason = findFramingError(info.headers)
      if (reason !== '') throw parseError(reason)
      if (kind === 'RESPONSE' && isInvalidInterim(info.statusCode, info.headers)) {
        throw parseError('status below 200 in a final answer')
      }
      // No upgrade is ever accepted. The library would drop the chunked coding and leave the body to the caller.
      if (info.upgrade) {
        info.upgrade = false
        parser.isChunked = headerValue(info.headers, 'transfer-encoding') !== undefined
      }
      const isBodiless = callbacks.onHead({
        method: kind === 'REQUEST' ? HTTPParser.methods[info.method] ?? '' : '',
        target: info.url,
        statusCode: info.statusCode,
        statusText: info.statusMessage,
        headers: info.headers,
        keepAlive: info.shouldKeepAlive,
        hasLength: parser.isChunked || parser.body_bytes !== null,
        bodyBytes: parser.isChunked ? Infinity : parser.body_bytes ?? Infinity
      })
      return isBodiless ? 1 : 0
    }
    parser[ON_BODY] = (chunk: Buffer, offset: number, length: number) => {
      this.#stepsCount += 1
      this.#bodyBytes += length
      callbacks.onBody(chunk.subarray(offset, offset + length))
    }
    parser[ON_MESSAGE_COMPLETE] = () => {
      this.#stepsCount += MESSAGE_STEPS
      this.#headBytes = this.#headLinesCount = this.#trailersBytes = this.#chunkFramingBytes = this.#bodyBytes = 0
      callbacks.onEnd(parser.end - parser.offset + this.#unread.length)
    }
    this.#parser = parser
  }

  /**
   * Replaces the library's method, which collects a line without a limit. The bytes between the chunks of a body are
   * limited in sum as well, since a body can consist of very many small chunks.
   */
  #consumeLine (): string | undefined {
    const parser = this.#parser
    const { state, offset } = parser
    const line = readLine.call(parser)
    const readBytes = parser.offset - offset
    this.#stepsCount += 1
    switch (LIMIT_BY_STATE[state]) {
      case MessageLimit.Head:
        this.#headBytes = checkLimit(MessageLimit.Head, this.#headBytes + readBytes, this.#headMaxBytes)
        this.#headLinesCount += 1
        break
      case MessageLimit.Trailers:
        this.#trailersBytes = checkLimit(MessageLimit.Trailers, this.#trailersBytes + readBytes, this.#headMaxBytes)
        break
      case MessageLimit.ChunkSizeLine: {
        const lineBytes = this.#chunkSizeLineBytes + readBytes
        checkLimit(MessageLimit.ChunkSizeLine, lineBytes, CHUNK_SIZE_LINE_MAX_BYTES)
        this.#chunkSizeLineBytes = line === undefined ? lineBytes : 0
        const framingMaxBytes = CHUNK_FRAMING_MIN_BYTES + CHUNK_FRAMING_RATIO * this.#bodyBytes
        this.#chunkFramingBytes = checkLimit(
          MessageLimit.ChunkFraming, this.#chunkFramingBytes + readBytes, framingMaxBytes
        )
        break
      }
      default:
        // The line after a chunk is empty, or the state is one without lines.
        if (parser.line !== '' && parser.line !== '\r') throw parseError('bytes after the end of a chunk')
    }
    return line
  }

  /**
   * Parses the next bytes of the connection. Returns an error if they are not a valid message. Very many small pieces
   * are not all parsed at once: if `hasUnread` is true then, `readMore` is to be called in the next turn of the event
   * loop, and the connection is not to be read before.
   */
  read (bytes: Buffer): Error | undefined {
    this.defer(bytes)
    return this.readMore()
  }

  /** Adds bytes of the connection without parsing them yet. */
  defer (bytes: Buffer): void {
    this.#unread = this.#unread.length === 0 ? bytes : Buffer.concat([this.#unread, bytes])
  }

  /** Whether bytes are left that have not been parsed. */
  get hasUnread (): boolean {
    return this.#unread.length > 0
  }

  /** Memory that the head of the message takes that is being received, since each field is two strings. */
  get headMemoryBytes (): number {
    return 2 * this.#headBytes + this.#headLinesCount * FIELD_MEMORY_BYTES
  }

  /** Parses more of the unread bytes. */
  readMore (): Error | undefined {
    this.#stepsCount = 0
    while (this.#unread.length > 0 && this.#stepsCount < STEPS_PER_READ_MAX && !this.isHeld) {
      const error = this.#readSlice()
      if (error !== undefined) return error
    }
    return undefined
  }

  #readSlice (): Error | undefined {
    const bytes = this.#unread
    const { state, body_bytes: bodyBytes } = this.#parser
    // A sized or unlimited body needs no checks between its bytes.
    const pieceBytes = state === 'BODY_SIZED' || state === 'BODY_CHUNK' ? bodyBytes ?? 0 : state === 'BODY_RAW' ? Infinity : 0
    const slice = bytes.subarray(0, Math.max(SLICE_BYTES, pieceBytes))
    this.#unread = bytes.subarray(slice.length)
    try {
      const result: unknown = this.#parser.execute(slice)
      return result instanceof Error ? result : undefined
    } catch (error) {
      if (error instanceof StepError) return error
      throw error
    }
  }

  /** Drops what is kept of the message that is being received. Nothing may be read afterwards. */
  discard (): void {
    this.#unread = EMPTY_BYTES
    this.#headBytes = this.#headLinesCount = 0
    this.#parser.line = ''
    this.#parser.info.headers = []
  }

  /** Called when the connection ends and all bytes are parsed. Returns an error if a message is incomplete. */
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
