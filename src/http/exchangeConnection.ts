import { connect, type Socket } from 'node:net'
import type { Millis } from '../clock/clock.js'
import { hash32 } from '../core/hash.js'
import { memoryAccountDefinition } from '../core/memoryAccount/memoryAccountDefinition.js'
import { MemoryShare, type MemoryReservation } from '../core/memoryAccount/memoryAccountTypes.js'
import { BodyBuffer } from './bodyBuffer.js'
import type { ExchangePool } from './exchangePool.js'
import { AnswerMatch, BrokenCause, type Exchange, type ExchangeRequest } from './exchangeTypes.js'
import { MessageLimit, MessageLimitError } from './messageLimits.js'
import { MessageParser, type MessageHead } from './messageParser.js'
import { isInPieces } from './messageBody.js'
import { keepAliveSeconds } from './messageText.js'
import { PacedReader } from './pacedReader.js'

/** Largest accepted answer head; no correct backend server sends a larger one. */
const ANSWER_HEAD_MAX_BYTES = 65_536
/** A body is read up to this size without a reservation of memory. */
const UNRESERVED_MAX_BYTES = 64 * 1024
/** First reservation for a body of unknown length; further ones double it. */
const RESERVATION_FIRST_BYTES = 512 * 1024
/** Interim answers and answers to other requests that are skipped before the answer to a request. */
const SKIPPED_ANSWERS_MAX_COUNT = 32
/**
 * How much earlier than the server's keep-alive timeout an idle connection is
 * closed, so that no request is in flight when the server closes it.
 */
const KEEP_ALIVE_MARGIN_MS: Millis = 1_000

/**
 * Refused requests that a connection remembers. It is closed above that, since a connection must not carry a refused
 * request again: the id would not tell a late copy of the refusal from the answer.
 */
const REFUSED_MAX_COUNT = 256
const EMPTY_BYTES = Buffer.alloc(0)

/** One connection of a pool, with at most one request at a time. */
export class ExchangeConnection implements Exchange {
  readonly #pool: ExchangePool
  readonly #socket: Socket
  readonly #parser: MessageParser
  readonly #reader: PacedReader
  readonly #body = new BodyBuffer()
  #request: ExchangeRequest | null = null
  #startedAtMs: Millis = 0
  #head: MessageHead | null = null
  #reservation: MemoryReservation | null = null
  #reservedBytes = 0
  /** What the pool counts for this connection: received or reserved, whichever is more. */
  #countedBytes = 0
  #isSkippingAnswer = false
  #hasSkippedAnswer = false
  #skippedAnswersCount = 0
  #skippedBytes = 0
  #requestsCount = 0
  /** Hashes of the ids of requests that got no success on this connection. */
  readonly #refusedIds = new Set<number>()
  #onProbed: ((isOpen: boolean) => void) | null
  #isOpen = false
  #isClosed = false
  /** Whether an answer has come to the end of the connection, and it is being checked how the server ended that. */
  #isCheckingEnd = false
  idleSinceMs: Millis = 0
  idleMaxMs: Millis

  constructor (pool: ExchangePool, onProbed: ((isOpen: boolean) => void) | null) {
    this.#pool = pool
    this.#onProbed = onProbed
    this.idleMaxMs = pool.options.idleMaxMs
    const { host, port, connectTimeoutMs } = pool.options
    this.#parser = new MessageParser('RESPONSE', {
      onHead: head => this.#onHead(head),
      onBody: chunk => this.#onBody(chunk),
      onEnd: restBytes => this.#onEnd(restBytes)
    }, ANSWER_HEAD_MAX_BYTES)
    // Half-open, so that something can be written after the end.
    this.#socket = connect({ host, port, noDelay: true, allowHalfOpen: true })
    this.#reader = new PacedReader(this.#socket, this.#parser, error => this.#onMalformed(error))
    const timer = setTimeout(() => this.#fail('connect timed out'), connectTimeoutMs)
    this.#socket.on('connect', () => {
      clearTimeout(timer)
      this.#isOpen = true
      if (this.#request !== null) this.#writeRequest()
      else {
        this.idleSinceMs = pool.options.clock.monotonicMs()
        pool.addIdle(this)
      }
      this.#reportProbe(true)
    })
    this.#socket.on('data', (chunk: Buffer) => this.#onData(chunk))
    this.#socket.on('end', () => this.#onFin())
    this.#socket.on('error', (error: NodeJS.ErrnoException) => this.#onSocketError(error))
    this.#socket.on('close', () => {
      clearTimeout(timer)
      this.#fail('closed')
    })
  }

  start (request: ExchangeRequest): void {
    this.#request = request
    this.#startedAtMs = this.#pool.options.clock.monotonicMs()
    this.#requestsCount += 1
    this.#skippedAnswersCount = 0
    this.#skippedBytes = 0
    if (this.#isOpen) this.#writeRequest()
  }

  cancel (): void {
    this.#request = null
    this.close()
  }

  close (): void {
    this.#fail('closed')
    this.#socket.destroy()
  }

  #reportProbe (isOpen: boolean): void {
    const onProbed = this.#onProbed
    this.#onProbed = null
    onProbed?.(isOpen)
  }

  #writeRequest (): void {
    const bytes = this.#request?.bytes
    if (bytes === undefined) return
    if (!isInPieces(bytes)) this.#socket.write(bytes)
    else for (const piece of bytes) this.#socket.write(piece)
  }

  #onData (chunk: Buffer): void {
    if (this.#request === null) {
      // After unsolicited bytes, later answers can no longer be matched to their requests.
      this.close()
      return
    }
    this.#reader.read(chunk)
  }

  #onMalformed (error: Error): void {
    if (error instanceof MessageLimitError) this.failByLimit(error.limit, error.message)
    else this.#fail(error.message, BrokenCause.Malformed)
  }

  /** Ends the connection because the server sent more than a limit allows. */
  failByLimit (limit: MessageLimit, reason = `${limit} above the limit`): void {
    if (this.#isClosed) return
    this.#pool.options.onLimitExceeded(limit)
    this.#fail(reason, BrokenCause.LimitExceeded)
  }

  /** Bytes that are held or reserved for the answer's body. */
  get countedBytes (): number {
    return this.#countedBytes
  }

  #countBytes (): void {
    const bytes = this.#isClosed ? 0 : Math.max(this.#reservedBytes, this.#body.lengthBytes)
    const addedBytes = bytes - this.#countedBytes
    this.#countedBytes = bytes
    this.#pool.addBodyBytes(addedBytes)
  }

  /** Reserves memory for the body up to this size. Nothing more is read until there is room. */
  #reserve (bytes: number): void {
    const { memory } = this.#pool.options
    if (!memoryAccountDefinition.canHold(memory, bytes)) {
      this.failByLimit(MessageLimit.Bodies)
      return
    }
    const reservation: MemoryReservation = {
      share: MemoryShare.ServerAnswers,
      bytes: bytes - this.#countedBytes,
      isPreferred: () => this.#pool.isOldestGrowing(this),
      onGranted: () => {
        this.#reservation = null
        this.#reservedBytes = bytes
        this.#countBytes()
        this.#reader.release()
      }
    }
    this.#reservation = reservation
    memoryAccountDefinition.reserve(memory, reservation)
    if (this.#reservation !== null) this.#reader.hold()
  }

  #endReservation (): void {
    if (this.#reservation !== null) memoryAccountDefinition.cancel(this.#pool.options.memory, this.#reservation)
    this.#reservation = null
    this.#reservedBytes = 0
    this.#pool.removeGrowing(this)
  }

  #onHead (head: MessageHead): boolean {
    const request = this.#request
    if (request === null) return false
    if (head.statusCode < 200) this.#skipAnswer()
    else this.#matchAnswer(request, head)
    return request.isHead
  }

  #matchAnswer (request: ExchangeRequest, head: MessageHead): void {
    const match = request.matchAnswer(head)
    if (match !== AnswerMatch.Own) this.#pool.options.onForeignAnswer(match)
    switch (match) {
      case AnswerMatch.Own:
        this.#isSkippingAnswer = false
        this.#head = head
        if (!request.isHead && head.bodyBytes < Infinity) this.#reserveDeclared(head.bodyBytes)
        return
      case AnswerMatch.OtherRequest:
        this.#hasSkippedAnswer = true
        this.#skipAnswer()
        return
      case AnswerMatch.Unidentified:
        this.#isSkippingAnswer = false
        if (this.#requestsCount === 1 && !this.#hasSkippedAnswer) this.#head = head
        else this.#fail('answer names no request', BrokenCause.Malformed)
    }
  }

  #reserveDeclared (lengthBytes: number): void {
    if (lengthBytes > this.#pool.options.answerMaxBytes) this.failByLimit(MessageLimit.Body)
    else if (lengthBytes > UNRESERVED_MAX_BYTES) this.#reserve(lengthBytes)
  }

  #skipAnswer (): void {
    this.#isSkippingAnswer = true
    this.#skippedAnswersCount += 1
    if (this.#skippedAnswersCount > SKIPPED_ANSWERS_MAX_COUNT) this.failByLimit(MessageLimit.SkippedAnswers)
  }

  /** Whether a request with this id was sent on this connection and may be sent once more. */
  hasRefused (requestId: string): boolean {
    return this.#refusedIds.size > 0 && this.#refusedIds.has(hash32(requestId))
  }

  #onBody (chunk: Buffer): void {
    if (this.#request === null) return
    const { answerMaxBytes } = this.#pool.options
    if (this.#isSkippingAnswer) {
      this.#skippedBytes += chunk.length
      if (this.#skippedBytes > answerMaxBytes) this.failByLimit(MessageLimit.SkippedBytes)
    } else if (this.#body.lengthBytes + chunk.length > answerMaxBytes) this.failByLimit(MessageLimit.Body)
    else {
      this.#body.append(chunk)
      this.#request.onProgress?.()
      this.#pool.options.memory.onArrival(chunk.length)
      this.#countBytes()
      const { lengthBytes } = this.#body
      if (lengthBytes > UNRESERVED_MAX_BYTES && lengthBytes > this.#reservedBytes && this.#reservation === null) {
        this.#pool.addGrowing(this)
        this.#reserve(Math.min(answerMaxBytes, Math.max(RESERVATION_FIRST_BYTES, 2 * lengthBytes)))
      }
    }
  }

  #onEnd (restBytes: number): void {
    const request = this.#request
    const head = this.#head
    if (this.#isSkippingAnswer) {
      this.#isSkippingAnswer = false
      return
    }
    if (request === null || head === null) return
    const nowMs = this.#pool.options.clock.monotonicMs()
    this.#request = null
    this.#head = null
    const body = this.#body.takeBody()
    this.#endReservation()
    this.#countBytes()
    const seconds = keepAliveSeconds(head)
    if (seconds !== undefined) this.idleMaxMs = Math.max(0, seconds * 1000 - KEEP_ALIVE_MARGIN_MS)
    if (request.requestId !== null && head.statusCode >= 300) this.#refusedIds.add(hash32(request.requestId))
    // The connection is also not reusable if the answer arrived before the request body was completely written.
    const isReusable = head.keepAlive && head.hasLength && restBytes === 0 && !this.#hasSkippedAnswer &&
      this.#socket.writableLength === 0 && this.#refusedIds.size <= REFUSED_MAX_COUNT && !this.#isClosed
    if (isReusable) {
      this.idleSinceMs = nowMs
      this.#pool.addIdle(this)
    } else {
      this.#isClosed = true
      this.#pool.removeConnection(this)
      this.#socket.destroy()
    }
    request.onResult({ kind: 'answered', head, body, tookMs: nowMs - this.#startedAtMs })
  }

  #onFin (): void {
    this.#reader.finish(() => {
      if (this.#head === null || this.#head.hasLength) this.#fail('closed by peer')
      else this.#checkEnd()
    })
  }

  /**
   * Checks whether the server ended an answer without a length in order. libuv also reports the end of a connection
   * that was reset if it has read its last bytes and the reset is already known. Only a write returns the error then.
   */
  #checkEnd (): void {
    this.#isCheckingEnd = true
    this.#socket.write(EMPTY_BYTES)
    // The error of a write that is under way is reported in the next poll phase of the event loop at the latest.
    setImmediate(() => setImmediate(() => this.#endAnswer()))
  }

  #endAnswer (): void {
    if (!this.#isClosed && this.#parser.finish() !== undefined) this.#fail('closed by peer')
  }

  #onSocketError ({ code = 'error' }: NodeJS.ErrnoException): void {
    // A connection that was reset without an orderly end before returns ECONNRESET first.
    if (this.#isCheckingEnd && code === 'EPIPE') this.#endAnswer()
    else this.#fail(code)
  }

  #fail (reason: string, cause = BrokenCause.ConnectionLost): void {
    if (this.#isClosed) return
    this.#isClosed = true
    this.#body.clear()
    this.#endReservation()
    this.#countBytes()
    const request = this.#request
    this.#request = null
    this.#pool.removeConnection(this)
    this.#socket.destroy()
    if (!this.#isOpen) this.#reportProbe(false)
    if (request === null) return
    if (!this.#isOpen) request.onResult({ kind: 'not_sent', reason })
    else {
      const onReused = this.#requestsCount > 1
      request.onResult({ kind: 'broken', cause, reason, onReused, answerBegan: this.#head !== null })
    }
  }
}
