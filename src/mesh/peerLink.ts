import { connect } from 'node:net'
import type { Clock, Millis } from '../clock/clock.js'
import { FrameKind, type Frame, type Hello } from './frames.js'
import { FrameSocket } from './frameSocket.js'
import { UnknownOutcomeReason, RefusalReason, type DispatchedCall, type DispatchHandle, type DispatchListener } from './meshTypes.js'

/** A ping is sent after this time without a frame. Round trips between data centres take a few ms. */
const PING_AFTER_IDLE_MS: Millis = 250
/** The peer counts as unresponsive if no frame arrives within this time after a ping. */
const PING_TIMEOUT_MS: Millis = 250
const CONNECT_TIMEOUT_MS: Millis = 500
/** Delay before the next connect after a failed one. */
const RECONNECT_DELAY_MS: Millis = 300

/** A call without a result yet. */
interface OpenCall {
  readonly call: DispatchedCall
  readonly listener: DispatchListener
  isSent: boolean
}

export interface PeerLinkOptions {
  readonly ip: string
  readonly port: number
  readonly clock: Clock
  readonly hello: Hello
  /** Called when the peer becomes unresponsive and when it responds again. */
  readonly onUnresponsive: (isUnresponsive: boolean) => void
  readonly onNotice: (text: string) => void
  /** Called after the handshake on each new connection. */
  readonly onConnected: () => void
}

/**
 * Sends calls to one peer over one connection. When the connection is lost or the
 * peer becomes unresponsive, a new connection is opened and the open calls are
 * resumed on it: the peer names those that it never received, and they are sent again.
 */
export class PeerLink {
  readonly #options: PeerLinkOptions
  readonly #calls = new Map<number, OpenCall>()
  #socket: FrameSocket | null = null
  /** The connection that is being opened, until the peer's handshake arrives on it. */
  #connectingSocket: FrameSocket | null = null
  #connectTimer: NodeJS.Timeout | null = null
  #peerIncarnation = ''
  #lastNumber = 0
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
  }

  get isOpen (): boolean {
    return this.#socket !== null
  }

  get outstandingCount (): number {
    return this.#calls.size
  }

  /** Sends a call to the peer. The listener gets its result, unless the call is cancelled before. */
  dispatch (call: DispatchedCall, listener: DispatchListener): DispatchHandle {
    const number = ++this.#lastNumber
    const openCall: OpenCall = { call, listener, isSent: false }
    if (this.#calls.size === 0) this.#busySinceMs = this.#options.clock.monotonicMs()
    this.#calls.set(number, openCall)
    if (this.#socket !== null) this.#sendCall(number, openCall)
    else this.connect()
    return { cancel: () => this.#cancel(number) }
  }

  sendNotice (text: string): void {
    this.#socket?.send({ kind: FrameKind.Notice, text })
  }

  /** Skips the reconnect delay, because the peer has connected to this node and so is up. */
  connectWithoutDelay (): void {
    if (this.#reconnectTimer !== null) clearTimeout(this.#reconnectTimer)
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
    this.#socket?.send({ kind: FrameKind.Call, number, call: openCall.call })
  }

  #cancel (number: number): void {
    const openCall = this.#calls.get(number)
    if (openCall === undefined) return
    this.#calls.delete(number)
    if (openCall.isSent) this.#socket?.send({ kind: FrameKind.Cancel, number })
  }

  #onFrame (from: FrameSocket, frame: Frame): void {
    this.#recordReceipt()
    switch (frame.kind) {
      case FrameKind.Hello: return this.#onHello(from, frame.hello)
      case FrameKind.Answered:
      case FrameKind.NotRun:
      case FrameKind.UnknownOutcome: {
        const openCall = this.#calls.get(frame.number)
        this.#calls.delete(frame.number)
        openCall?.listener.onResult(frame.result, frame.report)
        return
      }
      case FrameKind.NotReceived: {
        const openCall = this.#calls.get(frame.number)
        if (openCall !== undefined) this.#sendCall(frame.number, openCall)
        return
      }
      case FrameKind.Notice: return this.#options.onNotice(frame.text)
      case FrameKind.Ping: return from.send({ kind: FrameKind.Pong })
      case FrameKind.Pong:
      case FrameKind.Call:
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
    if (this.#peerIncarnation !== '' && this.#peerIncarnation !== hello.incarnation) this.#failSent()
    this.#peerIncarnation = hello.incarnation
    const sentNumbers = [...this.#calls].filter(([, openCall]) => openCall.isSent).map(([number]) => number)
    if (sentNumbers.length > 0) from.send({ kind: FrameKind.Resume, numbers: sentNumbers })
    for (const [number, openCall] of this.#calls) if (!openCall.isSent) this.#sendCall(number, openCall)
    this.#options.onConnected()
  }

  #onClosed (socket: FrameSocket): void {
    if (socket === this.#socket) {
      this.#socket = null
      this.connect()
      return
    }
    if (socket !== this.#connectingSocket) return
    this.#connectingSocket = null
    if (this.#connectTimer !== null) clearTimeout(this.#connectTimer)
    if (this.#isClosed) return
    this.#failUnsent()
    // There is no connection on which open calls could be answered.
    if (this.#socket === null) this.#markUnresponsive()
    this.#reconnectTimer = setTimeout(() => {
      this.#reconnectTimer = null
      this.connect()
    }, RECONNECT_DELAY_MS)
  }

  /** Detects an unresponsive peer while calls are open. To be called several times a second. */
  checkLiveness (): void {
    const nowMs = this.#options.clock.monotonicMs()
    if (this.#calls.size === 0 || this.#socket === null) return
    if (nowMs - Math.max(this.#lastReceivedAtMs, this.#busySinceMs) < PING_AFTER_IDLE_MS) return
    if (this.#unansweredPingAtMs === -Infinity) {
      this.#unansweredPingAtMs = nowMs
      this.#socket.send({ kind: FrameKind.Ping })
    } else if (nowMs - this.#unansweredPingAtMs >= PING_TIMEOUT_MS) {
      this.#markUnresponsive()
      this.connect()
    }
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
      this.#calls.delete(number)
      openCall.listener.onResult({ kind: 'not_run', reason: RefusalReason.ConnectFailed, reachedBackend: false }, null)
    }
  }

  #failSent (): void {
    for (const [number, openCall] of [...this.#calls]) {
      if (!openCall.isSent) continue
      this.#calls.delete(number)
      openCall.listener.onResult({ kind: 'unknown', reason: UnknownOutcomeReason.PeerLost }, null)
    }
  }

  #failAll (): void {
    this.#failUnsent()
    this.#failSent()
  }
}
