import type { Socket } from 'node:net'
import type { Millis } from '../clock/clock.js'
import { AnswerWriter } from './answerWriter.js'
import { BodyBuffer } from './bodyBuffer.js'
import type { CallerServer } from './callerServer.js'
import type { CallerBounds, IncomingRequest, OutgoingAnswer, ParsedRequest, RejectionStatus } from './callerServerTypes.js'
import { bodyLength } from './messageBody.js'
import { MessageLimit, MessageLimitError } from './messageLimits.js'
import { MessageParser, type MessageHead } from './messageParser.js'
import { headerValue, joinMessage } from './messageText.js'
import { PacedReader } from './pacedReader.js'

const EMPTY_BODY = Buffer.alloc(0)
/**
 * How long a connection is kept after its last answer: closing it with unread
 * bytes can reset it before the answer arrives.
 */
const LINGER_MS: Millis = 500
/** Pipelined requests that may wait on one connection. Small, since the platform's callers do not pipeline. */
const PIPELINED_MAX_COUNT = 16
/** Memory that a connection takes without a message. */
const CONNECTION_MEMORY_BYTES = 12 * 1024
/** Bytes of a body that the operating system may have received before they are read. */
const UNREAD_BODY_MAX_BYTES = 64 * 1024
/** A caller that takes nothing of its answer for this long, or a longer idle timeout, has left. */
const UNREAD_ANSWER_MAX_MS: Millis = 30_000

type ConnectionPhase = 'idle' | 'head' | 'body' | 'waiting' | 'sending' | 'closing'

/** One connection of a caller. Handles one request at a time and answers in the order of the requests. */
export class CallerConnection {
  readonly #server: CallerServer
  readonly #socket: Socket
  readonly #parser: MessageParser
  readonly #reader: PacedReader
  readonly #writer: AnswerWriter
  readonly #body = new BodyBuffer()
  readonly #pipelinedRequests: ParsedRequest[] = []
  readonly id: number
  #phase: ConnectionPhase = 'idle'
  #phaseStartedAtMs: Millis
  /** When the last byte of a request arrived. */
  #receivedAtMs: Millis
  #head: MessageHead | null = null
  /** Memory of the heads of open requests. */
  #openHeadsBytes = 0
  /** Memory of the head that is being received, and of the one whose body is. */
  #headBytes = 0
  /** Memory of the head whose body is being received. */
  #completeHeadBytes = 0
  /** Bytes in the bodies of this connection's open requests. */
  #heldBytes = 0
  /** Length of the body that is being received, as far as it is known. */
  #expectedBodyBytes = 0
  /** What is counted for the body that is being received. */
  #receivingBytes = 0
  #countedMemoryBytes = 0
  #currentRequest: IncomingRequest | null = null
  #currentParsed: ParsedRequest | null = null
  #keepsAlive = true
  #isClosed = false

  constructor (server: CallerServer, socket: Socket, id: number, nowMs: Millis) {
    this.#server = server
    this.#socket = socket
    this.id = id
    this.#phaseStartedAtMs = this.#receivedAtMs = nowMs
    this.#parser = new MessageParser('REQUEST', {
      onHead: head => this.#onHead(head),
      onBody: chunk => this.#onBody(chunk),
      onEnd: () => this.#onEnd()
    }, server.options.bounds().headMaxBytes)
    this.#reader = new PacedReader(
      socket, this.#parser, error => this.#onMalformed(error), () => this.#countMemory()
    )
    this.#writer = new AnswerWriter(socket, server.options.clock, addedBytes => server.addUnsentBytes(addedBytes))
    socket.on('data', (chunk: Buffer) => this.#onData(chunk))
    socket.on('end', () => this.#onEndOfRequests())
    socket.on('error', () => this.#onCallerGone())
    socket.on('close', () => this.#onClose())
  }

  get isIdle (): boolean {
    return this.#phase === 'idle' && this.#currentRequest === null
  }

  /** Whether a request has begun to arrive and is not complete. */
  get isReceiving (): boolean {
    return this.#phase === 'head' || this.#phase === 'body'
  }

  #enterPhase (phase: ConnectionPhase): void {
    this.#phase = phase
    this.#phaseStartedAtMs = this.#server.options.clock.monotonicMs()
  }

  #onData (chunk: Buffer): void {
    if (this.#phase === 'closing') return
    const nowMs = this.#server.options.clock.monotonicMs()
    this.#receivedAtMs = nowMs
    if (this.#phase === 'idle') {
      this.#phase = 'head'
      this.#phaseStartedAtMs = nowMs
    }
    this.#reader.read(chunk)
  }

  #onMalformed (error: Error): void {
    if (!(error instanceof MessageLimitError)) this.#rejectRequest(400)
    else {
      const isFieldLimit = error.limit === MessageLimit.Head || error.limit === MessageLimit.Trailers
      this.#rejectByLimit(error.limit, isFieldLimit ? 431 : 400)
    }
  }

  #rejectByLimit (limit: MessageLimit, statusCode: RejectionStatus): void {
    this.#server.options.onLimitExceeded(limit)
    this.#rejectRequest(statusCode)
  }

  /** Rejects the request that is being received, since what all requests together hold is above its limit. */
  rejectForMemory (limit: MessageLimit): void {
    this.#rejectByLimit(limit, 503)
  }

  /** Bytes of bodies that have not been passed on: of the one that is being received and of pipelined requests. */
  get undeliveredBytes (): number {
    if (this.#phase === 'closing') return 0
    return this.#receivingBytes + this.#pipelinedRequests.reduce((sum, { bodyBytes }) => sum + bodyBytes, 0)
  }

  /** Memory of the head that is being received; its request has not been passed on. */
  get receivingHeadBytes (): number {
    return this.#phase === 'head' ? this.#headBytes : 0
  }

  get unsentBytes (): number {
    return this.#writer.unsentBytes
  }

  /** Whether the caller waits for an answer or still takes one. */
  get isAwaited (): boolean {
    return this.#currentRequest !== null || this.#writer.unsentBytes > 0
  }

  /** How long the caller has taken nothing of its answer. */
  unsentStalledMs (nowMs: Millis): Millis {
    return this.#writer.stalledMs(nowMs)
  }

  /** How long the caller has sent nothing. */
  silentMs (nowMs: Millis): Millis {
    return nowMs - this.#receivedAtMs
  }

  #hold (bytes: number): void {
    this.#heldBytes += bytes
    this.#server.addHeldBytes(bytes)
  }

  /** Counts the body that is being received, with what the operating system may hold of it. */
  #countBody (): void {
    const { lengthBytes } = this.#body
    const unreadBytes = Math.min(UNREAD_BODY_MAX_BYTES, Math.max(0, this.#expectedBodyBytes - lengthBytes))
    const addedBytes = lengthBytes + unreadBytes - this.#receivingBytes
    this.#receivingBytes += addedBytes
    this.#hold(addedBytes)
  }

  /** Counts the memory of the connection and of the heads of its open requests. */
  #countMemory (): void {
    const isOver = this.#phase === 'closing' || this.#isClosed
    this.#headBytes = isOver ? 0 : this.#parser.headMemoryBytes
    const bytes = this.#isClosed ? 0 : CONNECTION_MEMORY_BYTES + this.#openHeadsBytes + this.#headBytes
    const addedBytes = bytes - this.#countedMemoryBytes
    this.#countedMemoryBytes = bytes
    if (addedBytes !== 0) this.#server.addConnectionBytes(addedBytes)
  }

  #onHead (head: MessageHead): boolean {
    // Bytes after a rejected request may look like another one.
    if (this.#phase === 'closing') return false
    this.#head = head
    this.#completeHeadBytes = this.#parser.headMemoryBytes
    if (this.#phase !== 'waiting' && this.#phase !== 'sending') this.#enterPhase('body')
    const declaredBytes = head.bodyBytes === Infinity ? 0 : head.bodyBytes
    if (declaredBytes > this.#server.options.bounds().bodyMaxBytes) this.#rejectByLimit(MessageLimit.Body, 413)
    else if (!this.#server.acceptsBodyLength(declaredBytes)) this.#rejectByLimit(MessageLimit.Bodies, 503)
    else {
      if (headerValue(head.headers, 'expect')?.toLowerCase() === '100-continue') {
        this.#socket.write('HTTP/1.1 100 Continue\r\n\r\n')
      }
      this.#expectedBodyBytes = head.bodyBytes
      if (head.bodyBytes > 0) this.#countBody()
    }
    return false
  }

  #onBody (chunk: Buffer): void {
    if (this.#phase === 'closing') return
    const bytes = this.#body.lengthBytes + chunk.length
    if (bytes > this.#server.options.bounds().bodyMaxBytes) this.#rejectByLimit(MessageLimit.Body, 413)
    else if (!this.#server.acceptsBodyLength(bytes)) this.#rejectByLimit(MessageLimit.Bodies, 503)
    else {
      this.#body.append(chunk)
      this.#countBody()
    }
  }

  #onEnd (): void {
    const head = this.#head
    if (head === null || this.#phase === 'closing') return
    const bodyBytes = this.#body.lengthBytes
    this.#expectedBodyBytes = bodyBytes
    this.#countBody()
    this.#receivingBytes = 0
    const body = bodyBytes === 0 ? EMPTY_BODY : this.#body.takeBody()
    const headMemoryBytes = this.#completeHeadBytes
    this.#openHeadsBytes += headMemoryBytes
    const parsed = { head, body, bodyBytes, headMemoryBytes, beganAtMs: this.#phaseStartedAtMs }
    this.#head = null
    if (this.#currentRequest === null && this.#phase !== 'sending') this.#deliverRequest(parsed)
    else if (this.#pipelinedRequests.length < PIPELINED_MAX_COUNT) this.#pipelinedRequests.push(parsed)
    else this.#rejectRequest(400)
  }

  #deliverRequest (parsed: ParsedRequest): void {
    const { head, body, beganAtMs } = parsed
    this.#enterPhase('waiting')
    this.#keepsAlive = head.keepAlive
    const request: IncomingRequest = {
      head,
      body,
      beganAtMs,
      remoteIp: this.#socket.remoteAddress ?? '',
      connectionId: this.id,
      onCallerGone: null,
      answer: answer => this.#answerRequest(request, answer),
      closeWithoutAnswer: () => {
        if (this.#currentRequest === request) this.destroy()
      }
    }
    this.#currentRequest = request
    this.#currentParsed = parsed
    this.#server.options.onRequest(request)
  }

  #answerRequest (request: IncomingRequest, answer: OutgoingAnswer): void {
    if (this.#currentRequest !== request || this.#isClosed) return
    const { bodyBytes, headMemoryBytes } = this.#currentParsed!
    this.#currentRequest = null
    this.#currentParsed = null
    this.#openHeadsBytes -= headMemoryBytes
    this.#hold(-bodyBytes)
    const keepsAlive = this.#keepsAlive && answer.hasLength && !this.#server.isStopping && this.#phase !== 'closing'
    if (!keepsAlive) {
      this.#writeLastAnswer(answer, request.head.method === 'HEAD')
      return
    }
    // Nothing more is read while the caller does not take this answer.
    this.#phase = 'sending'
    this.#writeAnswer(answer, true, request.head.method === 'HEAD', () => this.#onAnswerSent())
    if (this.#writer.unsentBytes > 0) this.#reader.hold()
    this.#countMemory()
  }

  #onAnswerSent (): void {
    if (this.#phase !== 'sending') return
    this.#enterPhase('idle')
    this.#reader.release()
    const next = this.#pipelinedRequests.shift()
    if (next !== undefined) this.#deliverRequest(next)
    else if (this.#head !== null) this.#enterPhase('body')
    else if (this.#parser.isInMessage) this.#enterPhase('head')
    else if (this.#server.isStopping) this.#endConnection()
  }

  #writeAnswer (answer: OutgoingAnswer, keepsAlive: boolean, isHead: boolean, onSent: () => void): void {
    const connection = keepsAlive ? '' : 'Connection: close\r\n'
    const headText = `HTTP/1.1 ${answer.statusCode} ${answer.statusText}\r\n${answer.headerText}` +
      `${connection}${answer.hasLength ? `Content-Length: ${bodyLength(answer.body)}\r\n` : ''}\r\n`
    this.#writer.write(joinMessage(headText, isHead ? EMPTY_BODY : answer.body), onSent)
  }

  #writeLastAnswer (answer: OutgoingAnswer, isHead: boolean): void {
    this.#releaseRequests()
    this.#enterPhase('closing')
    // A connection that has begun to end can no longer be reset.
    this.#writeAnswer(answer, false, isHead, () => this.#endSocket())
    this.#countMemory()
  }

  #endSocket (): void {
    if (this.#socket.writableLength === 0) this.#socket.end()
    else this.#socket.write('', () => this.#socket.end())
  }

  /**
   * Answers an invalid request and closes the connection. While another request
   * is open, the caller would take the answer for that one's, so the connection is
   * closed without an answer.
   */
  #rejectRequest (statusCode: RejectionStatus): void {
    if (this.#phase === 'closing') return
    if (this.#currentRequest !== null || this.#pipelinedRequests.length > 0 || this.#phase === 'sending') {
      this.destroy()
      return
    }
    this.#writeLastAnswer(this.#server.options.errorAnswer(statusCode), false)
  }

  #endConnection (): void {
    this.#releaseRequests()
    this.#enterPhase('closing')
    this.#endSocket()
    this.#countMemory()
  }

  #releaseRequests (): void {
    this.#pipelinedRequests.length = 0
    this.#body.clear()
    this.#parser.discard()
    this.#openHeadsBytes = 0
    this.#receivingBytes = 0
    this.#hold(-this.#heldBytes)
  }

  /** The caller sends nothing more. It may still read what is unsent. */
  #onEndOfRequests (): void {
    if (this.#phase === 'closing') return
    const hasUnsent = this.#writer.unsentBytes > 0
    this.#onCallerGone()
    if (!hasUnsent) this.#endSocket()
    else this.#writer.write([], () => this.#endSocket())
  }

  #onCallerGone (): void {
    const current = this.#currentRequest
    this.#currentRequest = null
    this.#currentParsed = null
    this.#releaseRequests()
    if (this.#phase !== 'closing') this.#enterPhase('closing')
    this.#countMemory()
    current?.onCallerGone?.()
  }

  #onClose (): void {
    if (this.#isClosed) return
    this.#isClosed = true
    this.#writer.clear()
    this.#onCallerGone()
    this.#server.removeConnection(this)
  }

  enforceTimeouts (nowMs: Millis, bounds: CallerBounds): void {
    const ageMs = nowMs - this.#phaseStartedAtMs
    const isUnsent = this.#writer.unsentBytes > 0
    if (isUnsent && this.#writer.stalledMs(nowMs) >= Math.max(UNREAD_ANSWER_MAX_MS, bounds.idleTimeoutMs)) {
      this.closeByLimit(MessageLimit.StallTime)
    } else if (this.#phase === 'idle' && ageMs >= bounds.idleTimeoutMs) this.#endConnection()
    else if (this.#phase === 'head' && ageMs >= bounds.headTimeoutMs) this.#rejectRequest(408)
    else if (this.#phase === 'body' && this.silentMs(nowMs) >= bounds.idleTimeoutMs) {
      this.#rejectByLimit(MessageLimit.StallTime, 408)
    } else if (this.#phase === 'closing' && ageMs >= LINGER_MS && !isUnsent && this.#socket.writableLength === 0) {
      this.destroy()
    }
  }

  closeIfIdle (): void {
    if (this.isIdle) this.#endConnection()
  }

  /** Closes the connection. It is reset if an answer is unsent, so that a truncated one does not look complete. */
  destroy (): void {
    const isCut = this.hasUnsentBytes
    this.#onClose()
    if (isCut) this.#socket.resetAndDestroy()
    else this.#socket.destroy()
  }

  /** Closes the connection because of a limit on what peers make the process hold. */
  closeByLimit (limit: MessageLimit): void {
    this.#server.options.onLimitExceeded(limit)
    this.destroy()
  }

  /** Whether bytes of an answer wait for the caller to read. */
  get hasUnsentBytes (): boolean {
    return this.#writer.unsentBytes > 0 || (!this.#isClosed && this.#socket.writableLength > 0)
  }

  /** Counts the new connection. */
  open (): void {
    this.#countMemory()
  }
}
