import { connect } from 'node:net'
import type { Clock, Millis } from '../clock/clock.js'
import { FrameKind, type Frame, type Hello } from './frames.js'
import { FrameSocket } from './frameSocket.js'
import { LossReason, RefusalReason, type PlacedCall, type PlacedHandle, type PlacedListener } from './meshTypes.js'

/** A round trip between data centres takes a few ms; a busy node answers within this time. */
const SILENT_BEFORE_PING_MS: Millis = 250
/** After a ping without any answer the connection counts as silent. */
const PING_TIMEOUT_MS: Millis = 250
const CONNECT_TIMEOUT_MS: Millis = 500
/** Pause between connects to a node that does not answer. */
const RECONNECT_PAUSE_MS: Millis = 300

interface OpenCall {
  readonly call: PlacedCall
  readonly listener: PlacedListener
  isSent: boolean
}

export interface PeerLinkOptions {
  readonly ip: string
  readonly port: number
  readonly clock: Clock
  readonly hello: Hello
  /** The node gives no sign of life, or is heard again. */
  readonly onSilent: (isSilent: boolean) => void
  readonly onNotice: (text: string) => void
  readonly onUp: () => void
}

/**
 * The calls of this node at one other node, over one connection. A connection
 * that is lost or goes silent is replaced, and the calls go on over the new one:
 * the other node says which of them it never received.
 */
export class PeerLink {
  readonly #options: PeerLinkOptions
  readonly #calls = new Map<number, OpenCall>()
  #socket: FrameSocket | null = null
  /** The connection that is being opened, until the other node has greeted on it. */
  #next: FrameSocket | null = null
  #nextTimer: NodeJS.Timeout | null = null
  #peerIncarnation = ''
  #lastNumber = 0
  #heardAtMs: Millis
  /** When the oldest run of calls without a pause began; silence before it means nothing. */
  #busySinceMs: Millis = -Infinity
  #pingedAtMs: Millis = -Infinity
  #isSilent = false
  #retryTimer: NodeJS.Timeout | null = null
  #isClosed = false

  constructor (options: PeerLinkOptions) {
    this.#options = options
    this.#heardAtMs = options.clock.monotonicMs()
  }

  get isOpen (): boolean {
    return this.#socket !== null
  }

  get outstandingCount (): number {
    return this.#calls.size
  }

  /** Hands a call over. The listener hears of its end, unless it is cancelled before. */
  place (call: PlacedCall, listener: PlacedListener): PlacedHandle {
    const number = ++this.#lastNumber
    const open: OpenCall = { call, listener, isSent: false }
    if (this.#calls.size === 0) this.#busySinceMs = this.#options.clock.monotonicMs()
    this.#calls.set(number, open)
    if (this.#socket !== null) this.#sendCall(number, open)
    else this.connect()
    return { cancel: () => this.#cancel(number) }
  }

  notify (text: string): void {
    this.#socket?.send({ kind: FrameKind.Notice, text })
  }

  /** Opens a connection at once, without the pause after a failure: the other node has shown that it is up. */
  reconnect (): void {
    if (this.#retryTimer !== null) clearTimeout(this.#retryTimer)
    this.#retryTimer = null
    if (this.#socket === null) this.connect()
  }

  /** Opens a connection beside the present one, if none is being opened. */
  connect (): void {
    if (this.#isClosed || this.#next !== null || this.#retryTimer !== null) return
    const { ip, port } = this.#options
    const socket = connect({ host: ip, port, noDelay: true })
    const next: FrameSocket = new FrameSocket(socket, frame => this.#onFrame(next, frame), () => this.#onClosed(next))
    this.#next = next
    this.#nextTimer = setTimeout(() => next.destroy(), CONNECT_TIMEOUT_MS)
    socket.once('connect', () => next.send({ kind: FrameKind.Hello, hello: this.#options.hello }))
  }

  /** Ends the link; calls that are still open end as unknown. */
  close (): void {
    this.#isClosed = true
    for (const timer of [this.#retryTimer, this.#nextTimer]) if (timer !== null) clearTimeout(timer)
    this.#next?.destroy()
    this.#socket?.destroy()
    this.#failAll()
  }

  #sendCall (number: number, open: OpenCall): void {
    open.isSent = true
    this.#socket?.send({ kind: FrameKind.Call, number, call: open.call })
  }

  #cancel (number: number): void {
    const open = this.#calls.get(number)
    if (open === undefined) return
    this.#calls.delete(number)
    if (open.isSent) this.#socket?.send({ kind: FrameKind.Cancel, number })
  }

  #onFrame (from: FrameSocket, frame: Frame): void {
    this.#heard()
    switch (frame.kind) {
      case FrameKind.Hello: return this.#onHello(from, frame.hello)
      case FrameKind.Answer:
      case FrameKind.Refusal:
      case FrameKind.Loss: {
        const open = this.#calls.get(frame.number)
        this.#calls.delete(frame.number)
        open?.listener.onResult(frame.result, frame.report)
        return
      }
      case FrameKind.NotReceived: {
        const open = this.#calls.get(frame.number)
        if (open !== undefined) this.#sendCall(frame.number, open)
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

  #heard (): void {
    this.#heardAtMs = this.#options.clock.monotonicMs()
    this.#pingedAtMs = -Infinity
    if (!this.#isSilent) return
    this.#isSilent = false
    this.#options.onSilent(false)
  }

  /** The other node has greeted: calls move to this connection. */
  #onHello (from: FrameSocket, hello: Hello): void {
    if (from !== this.#next) return
    if (this.#nextTimer !== null) clearTimeout(this.#nextTimer)
    const previous = this.#socket
    this.#next = null
    this.#socket = from
    previous?.destroy()
    if (this.#peerIncarnation !== '' && this.#peerIncarnation !== hello.incarnation) this.#failSent()
    this.#peerIncarnation = hello.incarnation
    const sentNumbers = [...this.#calls].filter(([, open]) => open.isSent).map(([number]) => number)
    if (sentNumbers.length > 0) from.send({ kind: FrameKind.Resume, numbers: sentNumbers })
    for (const [number, open] of this.#calls) if (!open.isSent) this.#sendCall(number, open)
    this.#options.onUp()
  }

  #onClosed (socket: FrameSocket): void {
    if (socket === this.#socket) {
      this.#socket = null
      this.connect()
      return
    }
    if (socket !== this.#next) return
    this.#next = null
    if (this.#nextTimer !== null) clearTimeout(this.#nextTimer)
    if (this.#isClosed) return
    this.#failUnsent()
    // Without any connection the other node is gone: nobody is left to answer.
    if (this.#socket === null) this.#setSilent()
    this.#retryTimer = setTimeout(() => {
      this.#retryTimer = null
      this.connect()
    }, RECONNECT_PAUSE_MS)
  }

  /** Looks for silence while calls are open; to be called several times a second. */
  check (): void {
    const nowMs = this.#options.clock.monotonicMs()
    if (this.#calls.size === 0 || this.#socket === null) return
    if (nowMs - Math.max(this.#heardAtMs, this.#busySinceMs) < SILENT_BEFORE_PING_MS) return
    if (this.#pingedAtMs === -Infinity) {
      this.#pingedAtMs = nowMs
      this.#socket.send({ kind: FrameKind.Ping })
    } else if (nowMs - this.#pingedAtMs >= PING_TIMEOUT_MS) {
      this.#setSilent()
      this.connect()
    }
  }

  #setSilent (): void {
    if (!this.#isSilent) {
      this.#isSilent = true
      this.#options.onSilent(true)
    }
    for (const open of [...this.#calls.values()]) open.listener.onSilent()
  }

  #failUnsent (): void {
    for (const [number, open] of [...this.#calls]) {
      if (open.isSent) continue
      this.#calls.delete(number)
      open.listener.onResult({ kind: 'not_run', reason: RefusalReason.ConnectFailed, reachedBackend: false }, null)
    }
  }

  #failSent (): void {
    for (const [number, open] of [...this.#calls]) {
      if (!open.isSent) continue
      this.#calls.delete(number)
      open.listener.onResult({ kind: 'unknown', reason: LossReason.PeerLost }, null)
    }
  }

  #failAll (): void {
    this.#failUnsent()
    this.#failSent()
  }
}
