import { createServer, type Server, type Socket } from 'node:net'
import type { Clock, Millis } from '../clock/clock.js'
import { FrameKind, type Frame, type Hello, type SpreadCopy } from './frames.js'
import { FrameSocket } from './frameSocket.js'
import {
  UnknownOutcomeReason, type DispatchedCall, type DispatchHandle, type DispatchListener, type DispatchResult,
  type ResultReport
} from './meshTypes.js'

/** How long results are retained, to be sent again if the connection broke while they were in transit. */
const RESULT_RETENTION_MS: Millis = 1_500
/** Limit on retained results of one session. */
const RETAINED_RESULTS_MAX_COUNT = 512
/** The running calls of a peer that does not reconnect within this time are cancelled. */
const ORPHAN_TIMEOUT_MS: Millis = 400
const SWEEP_PERIOD_MS: Millis = 250
/** Limit on dropped sessions whose highest call number is remembered. */
const DROPPED_SESSIONS_MAX_COUNT = 10_000

interface RetainedResult {
  readonly result: DispatchResult
  readonly report: ResultReport
  readonly endedAtMs: Millis
}

/** Calls received from one process of another node; a session outlives its connections. */
class Session {
  readonly hello: Hello
  readonly runningCalls = new Map<number, DispatchHandle>()
  /** Results by call number, retained for some time after they were sent. */
  readonly results = new Map<number, RetainedResult>()
  /** Calls are numbered in the order of sending, so calls with a higher number were never received. */
  highestCallNumber: number
  socket: FrameSocket | null = null
  disconnectedAtMs: Millis = 0

  constructor (hello: Hello, highestNumber: number) {
    this.hello = hello
    this.highestCallNumber = highestNumber
  }
}

export interface PeerServerOptions {
  readonly host: string
  readonly port: number
  readonly clock: Clock
  readonly hello: Hello
  readonly dispatch: (call: DispatchedCall, listener: DispatchListener) => DispatchHandle
  readonly createReport: () => ResultReport
  readonly onNotice: (text: string, fromIp: string) => void
  readonly onSpreadCopy: (copy: SpreadCopy, fromIp: string) => void
  /** Called after the handshake of another node's process. */
  readonly onPeerConnected: (hello: Hello) => void
}

/** Receives calls from other nodes, dispatches them and sends the results back. */
export class PeerServer {
  readonly #options: PeerServerOptions
  readonly #server: Server
  readonly #sessions = new Map<string, Session>()
  /** Highest call numbers of dropped sessions by incarnation, so that a late resume is answered correctly. */
  readonly #droppedSessionNumbers = new Map<string, number>()
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

  /** Number of calls of other nodes that are running or waiting. */
  get runningCount (): number {
    let count = 0
    for (const session of this.#sessions.values()) count += session.runningCalls.size
    return count
  }

  /** Sends a notice to connected nodes that are not reached along the trees. */
  sendToUnreached (text: string, isReachedOtherwise: (ip: string) => boolean): void {
    for (const { hello, socket } of this.#sessions.values()) {
      if (!isReachedOtherwise(hello.ip)) socket?.send({ kind: FrameKind.Notice, text })
    }
  }

  /** Sends a notice to the connected processes of a node. Returns false if there are none. */
  sendNotice (ip: string, text: string): boolean {
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
    const frameSocket = new FrameSocket(socket, frame => {
      if (frame.kind === FrameKind.Hello) session = this.#openSession(frame.hello, frameSocket)
      else if (session !== null && session.socket === frameSocket) this.#onFrame(session, frame)
    }, () => {
      if (session === null || session.socket !== frameSocket) return
      session.socket = null
      session.disconnectedAtMs = this.#options.clock.monotonicMs()
    })
  }

  #openSession (hello: Hello, frameSocket: FrameSocket): Session {
    let session = this.#sessions.get(hello.incarnation)
    if (session === undefined) {
      session = new Session(hello, this.#droppedSessionNumbers.get(hello.incarnation) ?? 0)
      this.#sessions.set(hello.incarnation, session)
    }
    // Unread data of the old connection is discarded with it, so that no call is read from both connections.
    session.socket?.destroy()
    session.socket = frameSocket
    frameSocket.send({ kind: FrameKind.Hello, hello: this.#options.hello })
    this.#options.onPeerConnected(hello)
    return session
  }

  #onFrame (session: Session, frame: Frame): void {
    switch (frame.kind) {
      case FrameKind.Call: return this.#onCall(session, frame.number, frame.call)
      case FrameKind.Cancel:
        session.runningCalls.get(frame.number)?.cancel()
        session.runningCalls.delete(frame.number)
        return
      case FrameKind.Resume: return this.#onResume(session, frame.numbers)
      case FrameKind.Ping: return session.socket?.send({ kind: FrameKind.Pong })
      case FrameKind.Notice: return this.#options.onNotice(frame.text, session.hello.ip)
      case FrameKind.Spread: return this.#options.onSpreadCopy(frame.copy, session.hello.ip)
      case FrameKind.Hello:
      case FrameKind.Answered:
      case FrameKind.NotRun:
      case FrameKind.UnknownOutcome:
      case FrameKind.Pong:
      case FrameKind.NotReceived:
    }
  }

  #onCall (session: Session, number: number, call: DispatchedCall): void {
    let isEnded = false
    session.highestCallNumber = Math.max(session.highestCallNumber, number)
    const handle = this.#options.dispatch(call, {
      onResult: (result, resultReport) => {
        isEnded = true
        session.runningCalls.delete(number)
        const report = resultReport ?? this.#options.createReport()
        this.#retainResult(session, number, { result, report, endedAtMs: this.#options.clock.monotonicMs() })
        this.#sendResult(session, number, result, report)
      },
      onUnresponsive: () => {}
    })
    if (!isEnded) session.runningCalls.set(number, handle)
  }

  #retainResult (session: Session, number: number, retained: RetainedResult): void {
    session.results.set(number, retained)
    if (session.results.size > RETAINED_RESULTS_MAX_COUNT) session.results.delete(session.results.keys().next().value!)
  }

  #sendResult (session: Session, number: number, result: DispatchResult, report: ResultReport): void {
    switch (result.kind) {
      case 'answered': return session.socket?.send({ kind: FrameKind.Answered, number, result, report })
      case 'not_run': return session.socket?.send({ kind: FrameKind.NotRun, number, result, report })
      case 'unknown': return session.socket?.send({ kind: FrameKind.UnknownOutcome, number, result, report })
    }
  }

  /**
   * Handles the list of the peer's open calls after a reconnect: sends their retained results again, names
   * those that were never received and cancels running calls that are not in the list.
   */
  #onResume (session: Session, numbers: readonly number[]): void {
    for (const number of numbers) {
      const retained = session.results.get(number)
      if (retained !== undefined) this.#sendResult(session, number, retained.result, retained.report)
      else if (session.runningCalls.has(number)) continue
      else if (number > session.highestCallNumber) session.socket?.send({ kind: FrameKind.NotReceived, number })
      // The call may have run; its result is no longer retained.
      else {
        this.#sendResult(session, number, { kind: 'unknown', reason: UnknownOutcomeReason.PeerLost }, this.#options.createReport())
      }
    }
    const openNumbers = new Set(numbers)
    for (const [number, handle] of session.runningCalls) {
      if (openNumbers.has(number)) continue
      handle.cancel()
      session.runningCalls.delete(number)
    }
  }

  #sweep (): void {
    const nowMs = this.#options.clock.monotonicMs()
    for (const [incarnation, session] of this.#sessions) {
      for (const [number, retained] of session.results) {
        if (nowMs - retained.endedAtMs < RESULT_RETENTION_MS) break
        session.results.delete(number)
      }
      if (session.socket !== null || nowMs - session.disconnectedAtMs < ORPHAN_TIMEOUT_MS) continue
      for (const handle of session.runningCalls.values()) handle.cancel()
      session.runningCalls.clear()
      if (nowMs - session.disconnectedAtMs >= RESULT_RETENTION_MS) this.#dropSession(incarnation, session)
    }
  }

  #dropSession (incarnation: string, session: Session): void {
    this.#sessions.delete(incarnation)
    this.#droppedSessionNumbers.set(incarnation, session.highestCallNumber)
    if (this.#droppedSessionNumbers.size <= DROPPED_SESSIONS_MAX_COUNT) return
    this.#droppedSessionNumbers.delete(this.#droppedSessionNumbers.keys().next().value!)
  }
}
