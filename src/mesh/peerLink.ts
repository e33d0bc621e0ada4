import { connect } from 'node:net'
import type { Clock, Millis } from '../clock/clock.js'
import type { MemoryAccountDb } from '../core/memoryAccount/memoryAccountDb.js'
import { bodyLength } from '../http/messageBody.js'
import { MessageLimit, type LimitListener } from '../http/messageLimits.js'
import { FrameKind, type Frame, type Hello, type SpreadCopy } from './frames.js'
import { FrameSocket } from './frameSocket.js'
import { isSentInParts } from './incomingBody.js'
import { LongAnswer } from './longAnswer.js'
import { UnknownOutcomeReason, RefusalReason, type DispatchedCall, type DispatchHandle, type DispatchListener } from './meshTypes.js'

const EMPTY_BODY = Buffer.alloc(0)
/** A ping is sent after this time without a frame. Round trips between data centres take a few ms. */
const PING_AFTER_IDLE_MS: Millis = 250
/** The peer counts as unresponsive if no frame arrives within this time after a ping. */
const PING_TIMEOUT_MS: Millis = 250
/** A permanent connection is checked after this time without a frame, since a peer rarely sends on it. */
const PERMANENT_PING_AFTER_IDLE_MS: Millis = 700
const CONNECT_TIMEOUT_MS: Millis = 500
/** A call that has waited this long for a connection is refused as not run, so that another server can be tried. */
const UNSENT_WAIT_MAX_MS: Millis = 150
/** Delay before the next connect after a failed one; it doubles up to the maximum. */
const RECONNECT_DELAY_FIRST_MS: Millis = 300
const RECONNECT_DELAY_MAX_MS: Millis = 1_200
/** A connection without calls is closed after this time, unless it is permanent. */
const IDLE_CLOSE_MS: Millis = 15_000
/** Notices that wait for a connection; the newest ones are kept, since they replace older ones. */
const WAITING_NOTICES_MAX_COUNT = 16

/** A call without a result yet. */
interface OpenCall {
  readonly call: DispatchedCall
  readonly listener: DispatchListener
  isSent: boolean
  /** An announced answer whose body has not arrived completely. */
  longAnswer: LongAnswer | null
}

export interface PeerLinkOptions {
  readonly ip: string
  readonly port: number
  readonly clock: Clock
  readonly hello: Hello
  /** Account in which the bodies of long answers are held while they arrive. */
  readonly memory: MemoryAccountDb
  /** Counts what is held for answers that arrive. */
  readonly onHeldBytes: (addedBytes: number) => void
  readonly onLimitExceeded: LimitListener
  /** Numbers of calls are unique in a process, so that those of a closed link are never used again. */
  readonly nextCallNumber: () => number
  /** Called when the peer becomes unresponsive and when it responds again. */
  readonly onUnresponsive: (isUnresponsive: boolean) => void
  readonly onNotice: (text: string) => void
  readonly onSpreadCopy: (copy: SpreadCopy) => void
  /** Called after the handshake on each new connection. */
  readonly onConnected: (isNewProcess: boolean) => void
}

/**
 * Sends calls and notices to one peer over one connection, which is opened on first use. When the
 * connection is lost or the peer becomes unresponsive, a new connection is opened and the open calls
 * are resumed on it: the peer names those that it never received, and they are sent again.
 */
export class PeerLink {
  readonly #options: PeerLinkOptions
  readonly #calls = new Map<number, OpenCall>()
  #socket: FrameSocket | null = null
  /** The connection that is being opened, until the peer's handshake arrives on it. */
  #connectingSocket: FrameSocket | null = null
  #connectTimer: NodeJS.Timeout | null = null
  #connectStartedAtMs: Millis = 0
  #failedConnectsCount = 0
  #waitingNotices: Frame[] = []
  #isPermanent = false
  #lastUsedAtMs: Millis
  #peerIncarnation = ''
  #peerAcceptsParts = false
  #lastReceivedAtMs: Millis
  /** Since when there has been an open call without interruption; silence before that time is normal. */
  #busySinceMs: Millis = -Infinity
  #unansweredPingAtMs: Millis = -Infinity
  #isUnresponsive = false
  #reconnectTimer: NodeJS.Timeout | null = null
  #isClosed = false

  constructor (options: PeerLinkOptions) {
    this.#options = options
    this.#lastReceivedAtMs = options.clock.monotonicMs()
    this.#lastUsedAtMs = this.#lastReceivedAtMs
  }

  get isOpen (): boolean {
    return this.#socket !== null
  }

  /** Whether the peer did not answer or could not be connected to. */
  get isUnresponsive (): boolean {
    return this.#isUnresponsive
  }

  /** Keeps the connection open without calls, or no longer. */
  setPermanent (isPermanent: boolean): void {
    this.#isPermanent = isPermanent
    if (isPermanent && this.#socket === null) this.connect()
  }

  get outstandingCount (): number {
    return this.#calls.size
  }

  /** Sends a call to the peer. The listener gets its result, unless the call is cancelled before. */
  dispatch (call: DispatchedCall, listener: DispatchListener): DispatchHandle {
    const number = this.#options.nextCallNumber()
    this.#lastUsedAtMs = this.#options.clock.monotonicMs()
    const openCall: OpenCall = { call, listener, isSent: false, longAnswer: null }
    if (this.#calls.size === 0) this.#busySinceMs = this.#lastUsedAtMs
    this.#calls.set(number, openCall)
    if (this.#socket !== null) this.#sendCall(number, openCall)
    else this.connect()
    return { cancel: () => this.#cancel(number) }
  }

  sendNotice (text: string): void {
    this.#sendOrKeep({ kind: FrameKind.Notice, text })
  }

  sendSpreadCopy (copy: SpreadCopy): void {
    this.#sendOrKeep({ kind: FrameKind.Spread, copy })
  }

  /** Sends a frame, or keeps it until the connection is open. */
  #sendOrKeep (frame: Frame): void {
    this.#lastUsedAtMs = this.#options.clock.monotonicMs()
    if (this.#socket !== null) {
      this.#socket.send(frame)
      return
    }
    this.#waitingNotices.push(frame)
    if (this.#waitingNotices.length > WAITING_NOTICES_MAX_COUNT) this.#waitingNotices.shift()
    this.connect()
  }

  /** Skips the reconnect delay, because the peer has connected to this node and so is up. */
  connectWithoutDelay (): void {
    if (this.#reconnectTimer === null) return
    clearTimeout(this.#reconnectTimer)
    this.#reconnectTimer = null
    if (this.#socket === null) this.connect()
  }

  /** Opens a connection that replaces the current one after its handshake, if none is being opened. */
  connect (): void {
    if (this.#isClosed || this.#connectingSocket !== null || this.#reconnectTimer !== null) return
    const { ip, port } = this.#options
    const socket = connect({ host: ip, port, noDelay: true })
    const next: FrameSocket = new FrameSocket(socket, frame => this.#onFrame(next, frame), () => this.#onClosed(next))
    this.#connectingSocket = next
    this.#connectStartedAtMs = this.#options.clock.monotonicMs()
    this.#connectTimer = setTimeout(() => next.destroy(), CONNECT_TIMEOUT_MS)
    socket.once('connect', () => next.send({ kind: FrameKind.Hello, hello: this.#options.hello }))
  }

  /** Closes the link. Open calls that were sent end with an unknown outcome, the others as not run. */
  close (): void {
    this.#isClosed = true
    for (const timer of [this.#reconnectTimer, this.#connectTimer]) if (timer !== null) clearTimeout(timer)
    this.#connectingSocket?.destroy()
    this.#socket?.destroy()
    this.#failAll()
  }

  #sendCall (number: number, openCall: OpenCall): void {
    openCall.isSent = true
    const { call } = openCall
    const bodyBytes = bodyLength(call.body)
    const isLong = this.#peerAcceptsParts && isSentInParts(bodyBytes, this.#socket?.isBacklogged === true)
    if (!isLong) this.#socket?.send({ kind: FrameKind.Call, number, call })
    else this.#socket?.send({ kind: FrameKind.LongCall, number, call: { ...call, body: EMPTY_BODY }, bodyBytes })
  }

  /** Removes a call that has ended, and what is held of its answer. */
  #takeCall (number: number): OpenCall | undefined {
    const openCall = this.#calls.get(number)
    this.#calls.delete(number)
    openCall?.longAnswer?.end()
    this.#socket?.cancelBody(number)
    return openCall
  }

  #cancel (number: number): void {
    const openCall = this.#takeCall(number)
    if (openCall?.isSent === true) this.#socket?.send({ kind: FrameKind.Cancel, number })
  }

  #onLongAnswer (frame: Extract<Frame, { kind: FrameKind.LongAnswer }>): void {
    const { number } = frame
    const openCall = this.#calls.get(number)
    if (openCall === undefined) return
    openCall.longAnswer?.end()
    const { memory, onHeldBytes } = this.#options
    openCall.longAnswer = new LongAnswer(frame, {
      memory, onHeldBytes, pull: () => this.#socket?.send({ kind: FrameKind.Pull, number })
    })
    if (openCall.longAnswer.request()) return
    this.#cancel(number)
    openCall.listener.onResult({ kind: 'unknown', reason: UnknownOutcomeReason.AnswerTooLong }, frame.report)
    this.#options.onLimitExceeded(MessageLimit.Bodies)
  }

  #onBodyPart (from: FrameSocket, number: number, bytes: Uint8Array): void {
    const openCall = this.#calls.get(number)
    const longAnswer = openCall?.longAnswer
    if (openCall === undefined || longAnswer === undefined || longAnswer === null) return
    try {
      const result = longAnswer.append(bytes)
      if (result === null) return
      this.#takeCall(number)
      openCall.listener.onResult(result, longAnswer.report)
    } catch (error) {
      if (!(error instanceof RangeError)) throw error
      from.destroy()
    }
  }

  #onFrame (from: FrameSocket, frame: Frame): void {
    this.#recordReceipt()
    switch (frame.kind) {
      case FrameKind.Hello: return this.#onHello(from, frame.hello)
      case FrameKind.Answered:
      case FrameKind.NotRun:
      case FrameKind.UnknownOutcome: {
        this.#takeCall(frame.number)?.listener.onResult(frame.result, frame.report)
        return
      }
      case FrameKind.LongAnswer: return this.#onLongAnswer(frame)
      case FrameKind.BodyPart: return this.#onBodyPart(from, frame.number, frame.bytes)
      case FrameKind.Pull: {
        const openCall = this.#calls.get(frame.number)
        if (openCall !== undefined) from.sendBody(frame.number, openCall.call.body)
        return
      }
      case FrameKind.NotReceived: {
        const openCall = this.#calls.get(frame.number)
        if (openCall !== undefined) this.#sendCall(frame.number, openCall)
        return
      }
      case FrameKind.Notice: return this.#options.onNotice(frame.text)
      case FrameKind.Spread: return this.#options.onSpreadCopy(frame.copy)
      case FrameKind.Ping: return from.send({ kind: FrameKind.Pong })
      case FrameKind.Pong:
      case FrameKind.Call:
      case FrameKind.LongCall:
      case FrameKind.Cancel:
      case FrameKind.Resume:
    }
  }

  #recordReceipt (): void {
    this.#lastReceivedAtMs = this.#options.clock.monotonicMs()
    this.#unansweredPingAtMs = -Infinity
    if (!this.#isUnresponsive) return
    this.#isUnresponsive = false
    this.#options.onUnresponsive(false)
  }

  /** Handles the peer's handshake: moves the open calls to the new connection. */
  #onHello (from: FrameSocket, hello: Hello): void {
    if (from !== this.#connectingSocket) return
    if (this.#connectTimer !== null) clearTimeout(this.#connectTimer)
    const previous = this.#socket
    this.#connectingSocket = null
    this.#socket = from
    previous?.destroy()
    const isNewProcess = this.#peerIncarnation !== '' && this.#peerIncarnation !== hello.incarnation
    if (isNewProcess) this.#failSent()
    this.#peerIncarnation = hello.incarnation
    this.#peerAcceptsParts = hello.acceptsParts
    this.#failedConnectsCount = 0
    // Answers that are not complete are announced again.
    for (const openCall of this.#calls.values()) {
      openCall.longAnswer?.end()
      openCall.longAnswer = null
    }
    const sentNumbers = [...this.#calls].filter(([, openCall]) => openCall.isSent).map(([number]) => number)
    if (sentNumbers.length > 0) from.send({ kind: FrameKind.Resume, numbers: sentNumbers })
    for (const [number, openCall] of this.#calls) if (!openCall.isSent) this.#sendCall(number, openCall)
    for (const notice of this.#waitingNotices.splice(0)) from.send(notice)
    this.#options.onConnected(isNewProcess)
  }

  #onClosed (socket: FrameSocket): void {
    if (socket === this.#socket) {
      this.#socket = null
      if (this.#isPermanent || this.#calls.size > 0) this.connect()
      return
    }
    if (socket !== this.#connectingSocket) return
    this.#connectingSocket = null
    if (this.#connectTimer !== null) clearTimeout(this.#connectTimer)
    if (this.#isClosed) return
    this.#waitingNotices = []
    this.#failUnsent()
    // There is no connection on which open calls could be answered.
    if (this.#socket === null) this.#markUnresponsive()
    const delayMs = Math.min(RECONNECT_DELAY_MAX_MS, RECONNECT_DELAY_FIRST_MS * 2 ** this.#failedConnectsCount)
    this.#failedConnectsCount += 1
    this.#reconnectTimer = setTimeout(() => {
      this.#reconnectTimer = null
      this.connect()
    }, delayMs)
  }

  /** Detects an unresponsive peer, and closes an unused connection. To be called several times a second. */
  checkLiveness (): void {
    const nowMs = this.#options.clock.monotonicMs()
    if (this.#socket === null) {
      this.#refuseLongUnsent(nowMs)
      return
    }
    const isIdle = this.#calls.size === 0
    if (isIdle && !this.#isPermanent) {
      if (nowMs - this.#lastUsedAtMs >= IDLE_CLOSE_MS) this.#closeIdleSocket()
      return
    }
    const pingAfterMs = isIdle ? PERMANENT_PING_AFTER_IDLE_MS : PING_AFTER_IDLE_MS
    if (nowMs - Math.max(this.#lastReceivedAtMs, isIdle ? -Infinity : this.#busySinceMs) < pingAfterMs) return
    if (this.#unansweredPingAtMs === -Infinity) {
      this.#unansweredPingAtMs = nowMs
      this.#socket.send({ kind: FrameKind.Ping })
    } else if (nowMs - this.#unansweredPingAtMs >= PING_TIMEOUT_MS) {
      this.#markUnresponsive()
      this.connect()
    }
  }

  /** Refuses calls of which no byte was sent while the connection takes too long to open. */
  #refuseLongUnsent (nowMs: Millis): void {
    if (this.#calls.size === 0 || nowMs - this.#connectStartedAtMs < UNSENT_WAIT_MAX_MS) return
    this.#failUnsent()
    this.#markUnresponsive()
  }

  #closeIdleSocket (): void {
    const socket = this.#socket
    this.#socket = null
    socket?.destroy()
  }

  #markUnresponsive (): void {
    if (!this.#isUnresponsive) {
      this.#isUnresponsive = true
      this.#options.onUnresponsive(true)
    }
    for (const openCall of [...this.#calls.values()]) openCall.listener.onUnresponsive()
  }

  #failUnsent (): void {
    for (const [number, openCall] of [...this.#calls]) {
      if (openCall.isSent) continue
      this.#takeCall(number)
      openCall.listener.onResult({ kind: 'not_run', reason: RefusalReason.ConnectFailed, reachedBackend: false }, null)
    }
  }

  #failSent (): void {
    for (const [number, openCall] of [...this.#calls]) {
      if (!openCall.isSent) continue
      this.#takeCall(number)
      openCall.listener.onResult({ kind: 'unknown', reason: UnknownOutcomeReason.PeerLost }, null)
    }
  }

  #failAll (): void {
    this.#failUnsent()
    this.#failSent()
  }
}
