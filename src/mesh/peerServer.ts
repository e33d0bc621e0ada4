import { createServer, type Server, type Socket } from 'node:net'
import type { Clock, Millis } from '../clock/clock.js'
import { FrameKind, type Frame, type Hello } from './frames.js'
import { FrameSocket } from './frameSocket.js'
import {
  LossReason, type PlacedCall, type PlacedHandle, type PlacedListener, type PlacedResult, type ResultReport
} from './meshTypes.js'

/** How long results are kept for a sender whose connection broke while they were on their way. */
const RESULT_KEPT_MS: Millis = 1_500
/** Results kept at most for one sender. */
const RESULTS_MAX_COUNT = 512
/** A sender that does not come back within this time has left its calls behind. */
const ORPHAN_AFTER_MS: Millis = 400
const SWEEP_PERIOD_MS: Millis = 250
/** Ended processes of other nodes whose last call number is remembered. */
const PAST_SESSIONS_MAX_COUNT = 10_000

interface KeptResult {
  readonly result: PlacedResult
  readonly report: ResultReport
  readonly endedAtMs: Millis
}

/** The calls of one process of another node. */
class Session {
  readonly hello: Hello
  readonly running = new Map<number, PlacedHandle>()
  readonly kept = new Map<number, KeptResult>()
  /** Calls are numbered in the order in which they are sent, so a greater number was never received. */
  highestNumber: number
  socket: FrameSocket | null = null
  lostAtMs: Millis = 0

  constructor (hello: Hello, highestNumber: number) {
    this.hello = hello
    this.highestNumber = highestNumber
  }
}

export interface PeerServerOptions {
  readonly host: string
  readonly port: number
  readonly clock: Clock
  readonly hello: Hello
  readonly place: (call: PlacedCall, listener: PlacedListener) => PlacedHandle
  readonly report: () => ResultReport
  readonly onNotice: (text: string, fromIp: string) => void
  /** A process of another node has connected. */
  readonly onPeer: (hello: Hello) => void
}

/** Takes calls from other nodes and sends the results back. */
export class PeerServer {
  readonly #options: PeerServerOptions
  readonly #server: Server
  readonly #sessions = new Map<string, Session>()
  /** Highest call number of processes whose session was dropped. */
  readonly #pastNumbers = new Map<string, number>()
  #sweepTimer: NodeJS.Timeout | null = null

  constructor (options: PeerServerOptions) {
    this.#options = options
    this.#server = createServer({ noDelay: true }, socket => this.#accept(socket))
  }

  async listen (): Promise<number> {
    const { host, port } = this.#options
    await new Promise<void>((resolve, reject) => {
      this.#server.once('error', reject)
      this.#server.listen({ host, port, backlog: 512 }, resolve)
    })
    this.#sweepTimer = setInterval(() => this.#sweep(), SWEEP_PERIOD_MS)
    const address = this.#server.address()
    return typeof address === 'object' && address !== null ? address.port : port
  }

  /** Calls of other nodes that are still running. */
  get runningCount (): number {
    let count = 0
    for (const session of this.#sessions.values()) count += session.running.size
    return count
  }

  /** Sends a notice to all nodes that are connected, but for those that get it in another way. */
  notifyAll (text: string, isReached: (ip: string) => boolean = () => false): void {
    for (const { hello, socket } of this.#sessions.values()) {
      if (!isReached(hello.ip)) socket?.send({ kind: FrameKind.Notice, text })
    }
  }

  /** Sends a notice to the processes of one node that are connected; false if there is none. */
  notify (ip: string, text: string): boolean {
    let isSent = false
    for (const session of this.#sessions.values()) {
      if (session.hello.ip !== ip || session.socket === null) continue
      session.socket.send({ kind: FrameKind.Notice, text })
      isSent = true
    }
    return isSent
  }

  close (): void {
    if (this.#sweepTimer !== null) clearInterval(this.#sweepTimer)
    this.#server.close()
    for (const session of this.#sessions.values()) session.socket?.end()
  }

  /** Drops all connections at once. */
  abort (): void {
    if (this.#sweepTimer !== null) clearInterval(this.#sweepTimer)
    this.#server.close()
    for (const session of this.#sessions.values()) session.socket?.destroy()
  }

  #accept (socket: Socket): void {
    let session: Session | null = null
    const frames = new FrameSocket(socket, frame => {
      if (frame.kind === FrameKind.Hello) session = this.#open(frame.hello, frames)
      else if (session !== null && session.socket === frames) this.#onFrame(session, frame)
    }, () => {
      if (session === null || session.socket !== frames) return
      session.socket = null
      session.lostAtMs = this.#options.clock.monotonicMs()
    })
  }

  #open (hello: Hello, frames: FrameSocket): Session {
    let session = this.#sessions.get(hello.incarnation)
    if (session === undefined) {
      session = new Session(hello, this.#pastNumbers.get(hello.incarnation) ?? 0)
      this.#sessions.set(hello.incarnation, session)
    }
    // What was still unread on an older connection is dropped with it, so a call is never read from both.
    session.socket?.destroy()
    session.socket = frames
    frames.send({ kind: FrameKind.Hello, hello: this.#options.hello })
    this.#options.onPeer(hello)
    return session
  }

  #onFrame (session: Session, frame: Frame): void {
    switch (frame.kind) {
      case FrameKind.Call: return this.#onCall(session, frame.number, frame.call)
      case FrameKind.Cancel:
        session.running.get(frame.number)?.cancel()
        session.running.delete(frame.number)
        return
      case FrameKind.Resume: return this.#resume(session, frame.numbers)
      case FrameKind.Ping: return session.socket?.send({ kind: FrameKind.Pong })
      case FrameKind.Notice: return this.#options.onNotice(frame.text, session.hello.ip)
      case FrameKind.Hello:
      case FrameKind.Answer:
      case FrameKind.Refusal:
      case FrameKind.Loss:
      case FrameKind.Pong:
      case FrameKind.NotReceived:
    }
  }

  #onCall (session: Session, number: number, call: PlacedCall): void {
    let isEnded = false
    session.highestNumber = Math.max(session.highestNumber, number)
    const handle = this.#options.place(call, {
      onResult: (result, known) => {
        isEnded = true
        session.running.delete(number)
        const report = known ?? this.#options.report()
        this.#keep(session, number, { result, report, endedAtMs: this.#options.clock.monotonicMs() })
        this.#sendResult(session, number, result, report)
      },
      onSilent: () => {}
    })
    if (!isEnded) session.running.set(number, handle)
  }

  #keep (session: Session, number: number, kept: KeptResult): void {
    session.kept.set(number, kept)
    if (session.kept.size > RESULTS_MAX_COUNT) session.kept.delete(session.kept.keys().next().value!)
  }

  #sendResult (session: Session, number: number, result: PlacedResult, report: ResultReport): void {
    switch (result.kind) {
      case 'answered': return session.socket?.send({ kind: FrameKind.Answer, number, result, report })
      case 'not_run': return session.socket?.send({ kind: FrameKind.Refusal, number, result, report })
      case 'unknown': return session.socket?.send({ kind: FrameKind.Loss, number, result, report })
    }
  }

  /** Repeats results that may have been lost and names the calls that never came. */
  #resume (session: Session, numbers: readonly number[]): void {
    for (const number of numbers) {
      const kept = session.kept.get(number)
      if (kept !== undefined) this.#sendResult(session, number, kept.result, kept.report)
      else if (session.running.has(number)) continue
      else if (number > session.highestNumber) session.socket?.send({ kind: FrameKind.NotReceived, number })
      // It may have run: its result is no longer kept.
      else {
        this.#sendResult(session, number, { kind: 'unknown', reason: LossReason.PeerLost }, this.#options.report())
      }
    }
    const asked = new Set(numbers)
    for (const [number, handle] of session.running) {
      if (asked.has(number)) continue
      handle.cancel()
      session.running.delete(number)
    }
  }

  #sweep (): void {
    const nowMs = this.#options.clock.monotonicMs()
    for (const [incarnation, session] of this.#sessions) {
      for (const [number, kept] of session.kept) {
        if (nowMs - kept.endedAtMs < RESULT_KEPT_MS) break
        session.kept.delete(number)
      }
      if (session.socket !== null || nowMs - session.lostAtMs < ORPHAN_AFTER_MS) continue
      for (const handle of session.running.values()) handle.cancel()
      session.running.clear()
      if (nowMs - session.lostAtMs >= RESULT_KEPT_MS) this.#drop(incarnation, session)
    }
  }

  #drop (incarnation: string, session: Session): void {
    this.#sessions.delete(incarnation)
    this.#pastNumbers.set(incarnation, session.highestNumber)
    if (this.#pastNumbers.size <= PAST_SESSIONS_MAX_COUNT) return
    this.#pastNumbers.delete(this.#pastNumbers.keys().next().value!)
  }
}
