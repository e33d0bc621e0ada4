import { createServer, type Server, type Socket } from 'node:net'
import type { Clock, Millis } from '../clock/clock.js'
import type { MemoryAccountDb } from '../core/memoryAccount/memoryAccountDb.js'
import { memoryAccountDefinition } from '../core/memoryAccount/memoryAccountDefinition.js'
import { MemoryShare, STALLED_MIN_MS, type MemoryHolder } from '../core/memoryAccount/memoryAccountTypes.js'
import { bodyLength } from '../http/messageBody.js'
import { MessageLimit, type LimitListener } from '../http/messageLimits.js'
import { FrameKind, type Frame, type Hello, type SpreadCopy } from './frames.js'
import { FrameSocket } from './frameSocket.js'
import { isSentInParts } from './incomingBody.js'
import {
  RefusalReason, UnknownOutcomeReason, type DispatchedCall, type DispatchHandle, type DispatchListener,
  type DispatchResult, type ResultReport
} from './meshTypes.js'
import { PeerHoldings, Session, type RetainedResult } from './peerSession.js'

const EMPTY_BODY = Buffer.alloc(0)
/** How long results are retained, to be sent again if the connection broke while they were in transit. */
const RESULT_RETENTION_MS: Millis = 1_500
/** How long a result is retained whose body the peer has not asked for. */
const UNSENT_RESULT_RETENTION_MS: Millis = 10_000
/** Time for the handshake on a new connection. */
const HANDSHAKE_TIMEOUT_MS: Millis = 2_000
/** The running calls of a peer that does not reconnect within this time are cancelled. */
const ORPHAN_TIMEOUT_MS: Millis = 400
const SWEEP_PERIOD_MS: Millis = 250
/** Limit on dropped sessions whose highest call number is remembered. */
const DROPPED_SESSIONS_MAX_COUNT = 10_000

export interface PeerServerOptions {
  readonly host: string
  readonly port: number
  readonly clock: Clock
  readonly hello: Hello
  /** Account of what is held for other nodes. */
  readonly memory: MemoryAccountDb
  /** Limit on open connections. */
  readonly connectionsMaxCount: number
  readonly onLimitExceeded: LimitListener
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
  readonly #holdings = new PeerHoldings()
  /** Highest call numbers of dropped sessions by incarnation, so that a late resume is answered correctly. */
  readonly #droppedSessionNumbers = new Map<string, number>()
  #sweepTimer: NodeJS.Timeout | null = null

  constructor (options: PeerServerOptions) {
    this.#options = options
    this.#server = createServer({ noDelay: true }, socket => this.#accept(socket))
    this.#server.maxConnections = options.connectionsMaxCount
    this.#server.on('drop', () => options.onLimitExceeded(MessageLimit.Connections))
    for (const holder of this.#createHolders()) memoryAccountDefinition.addHolder(options.memory, holder)
  }

  #createHolders (): MemoryHolder[] {
    const holdings = this.#holdings
    return [{
      share: MemoryShare.ServerAnswers,
      get heldBytes () { return holdings.resultsBytes },
      shed: () => this.#dropOldestResult(Infinity),
      shedStalled: () => this.#dropOldestResult(STALLED_MIN_MS)
    }, {
      share: MemoryShare.PeerCalls,
      get heldBytes () { return holdings.callsBytes },
      shed: () => false,
      shedStalled: () => false
    }]
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
    for (const session of this.#sessions.values()) count += session.runningCount
    return count
  }

  /** Connections that the sessions use. */
  get connectionsCount (): number {
    let count = 0
    for (const { socket } of this.#sessions.values()) if (socket !== null) count += 1
    return count
  }

  /** Whether a connected node has not taken all results. */
  get hasUnsentResults (): boolean {
    for (const { socket, results } of this.#sessions.values()) {
      if (socket === null) continue
      if (socket.hasUnsent) return true
      for (const { isSent } of results.values()) if (!isSent) return true
    }
    return false
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
    const timer = setTimeout(() => {
      if (session === null) frameSocket.destroy()
    }, HANDSHAKE_TIMEOUT_MS)
    const frameSocket = new FrameSocket(socket, frame => {
      if (frame.kind === FrameKind.Hello) session = this.#openSession(frame.hello, frameSocket)
      else if (session !== null && session.socket === frameSocket) this.#onFrame(session, frame)
    }, () => {
      clearTimeout(timer)
      if (session === null || session.socket !== frameSocket) return
      session.socket = null
      session.disconnectedAtMs = this.#options.clock.monotonicMs()
    })
  }

  #openSession (hello: Hello, frameSocket: FrameSocket): Session {
    let session = this.#sessions.get(hello.incarnation)
    if (session === undefined) {
      session = new Session(hello, this.#droppedSessionNumbers.get(hello.incarnation) ?? 0, this.#holdings)
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
      case FrameKind.LongCall: return this.#onLongCall(session, frame.number, frame.call, frame.bodyBytes)
      case FrameKind.BodyPart: return this.#onBodyPart(session, frame.number, frame.bytes)
      case FrameKind.Pull: return this.#onPull(session, frame.number)
      case FrameKind.Cancel: return session.cancelCall(frame.number)
      case FrameKind.Resume: return this.#onResume(session, frame.numbers)
      case FrameKind.Ping: return session.socket?.send({ kind: FrameKind.Pong })
      case FrameKind.Notice: return this.#options.onNotice(frame.text, session.hello.ip)
      case FrameKind.Spread: return this.#options.onSpreadCopy(frame.copy, session.hello.ip)
      case FrameKind.Hello:
      case FrameKind.Answered:
      case FrameKind.LongAnswer:
      case FrameKind.NotRun:
      case FrameKind.UnknownOutcome:
      case FrameKind.Pong:
      case FrameKind.NotReceived:
    }
  }

  #onCall (session: Session, number: number, call: DispatchedCall): void {
    session.highestCallNumber = Math.max(session.highestCallNumber, number)
    const bytes = bodyLength(call.body)
    if (this.#refuseWithoutRoom(session, number, bytes)) return
    this.#dispatch(session, number, call, bytes)
  }

  /** Refuses a call for whose body there is no memory. Nothing of it has reached the backend server. */
  #refuseWithoutRoom (session: Session, number: number, bytes: number): boolean {
    if (bytes === 0 || memoryAccountDefinition.hasRoomForRequest(this.#options.memory, bytes)) return false
    this.#options.onLimitExceeded(MessageLimit.Bodies)
    this.#finishCall(session, number, { kind: 'not_run', reason: RefusalReason.MemoryFull, reachedBackend: false }, null)
    return true
  }

  #dispatch (session: Session, number: number, call: DispatchedCall, bytes: number): void {
    let isEnded = false
    const handle = this.#options.dispatch(call, {
      onResult: (result, report) => {
        isEnded = true
        session.endRunning(number)
        this.#finishCall(session, number, result, report)
      },
      onUnresponsive: () => {}
    })
    if (!isEnded) session.addRunning(number, handle, bytes)
  }

  #finishCall (session: Session, number: number, result: DispatchResult, resultReport: ResultReport | null): void {
    const report = resultReport ?? this.#options.createReport()
    const retained = session.retainResult(number, result, report, this.#options.clock.monotonicMs())
    this.#sendResult(session, number, retained)
    memoryAccountDefinition.recordHeld(this.#options.memory, retained.bytes)
  }

  #onLongCall (session: Session, number: number, call: DispatchedCall, bodyBytes: number): void {
    session.highestCallNumber = Math.max(session.highestCallNumber, number)
    if (this.#refuseWithoutRoom(session, number, bodyBytes)) return
    session.addIncomplete(number, call, bodyBytes, this.#options.clock.monotonicMs())
    session.socket?.send({ kind: FrameKind.Pull, number })
  }

  #onBodyPart (session: Session, number: number, bytes: Uint8Array): void {
    const incomplete = session.incompleteCall(number)
    if (incomplete === undefined) return
    try {
      this.#options.memory.onArrival(bytes.length)
      const body = incomplete.body.append(bytes)
      if (body === null) return
      session.endIncomplete(number)
      const { call, receivedAtMs, body: { expectedBytes } } = incomplete
      const elapsedMs = this.#options.clock.monotonicMs() - receivedAtMs
      this.#dispatch(session, number, { ...call, body, remainingMs: call.remainingMs - elapsedMs }, expectedBytes)
    } catch (error) {
      if (!(error instanceof RangeError)) throw error
      session.endIncomplete(number)
      session.socket?.destroy()
    }
  }

  #onPull (session: Session, number: number): void {
    const retained = session.results.get(number)
    if (retained === undefined) {
      this.#sendUnknown(session, number)
      return
    }
    if (retained.result.kind !== 'answered') return
    session.socket?.sendBody(number, retained.result.body, isLast => {
      retained.progressAtMs = this.#options.clock.monotonicMs()
      retained.isSent = isLast
    })
  }

  /** Gives up the result that was sent longest ago, or else one of which nothing was taken for some time. */
  #dropOldestResult (unsentMinMs: Millis): boolean {
    const nowMs = this.#options.clock.monotonicMs()
    let oldest: { session: Session, number: number, retained: RetainedResult } | undefined
    for (const session of this.#sessions.values()) {
      for (const [number, retained] of session.results) {
        if (retained.bytes === 0 || (!retained.isSent && nowMs - retained.progressAtMs < unsentMinMs)) continue
        const isWorse = oldest === undefined || (retained.isSent === oldest.retained.isSent
          ? retained.progressAtMs < oldest.retained.progressAtMs
          : retained.isSent)
        if (isWorse) oldest = { session, number, retained }
      }
    }
    if (oldest === undefined) return false
    const { session, number, retained } = oldest
    session.dropResult(number)
    if (retained.isSent) return true
    this.#options.onLimitExceeded(MessageLimit.UnreadAnswers)
    session.socket?.cancelBody(number)
    this.#sendUnknown(session, number)
    return true
  }

  #sendUnknown (session: Session, number: number): void {
    session.socket?.send({
      kind: FrameKind.UnknownOutcome,
      number,
      result: { kind: 'unknown', reason: UnknownOutcomeReason.PeerLost },
      report: this.#options.createReport()
    })
  }

  #sendResult (session: Session, number: number, retained: RetainedResult): void {
    const { hello, socket } = session
    const { result, report, bytes } = retained
    switch (result.kind) {
      case 'answered':
        if (hello.acceptsParts && isSentInParts(bytes, socket?.isBacklogged === true)) {
          const headResult = { ...result, body: EMPTY_BODY }
          socket?.send({ kind: FrameKind.LongAnswer, number, result: headResult, report, bodyBytes: bytes })
          return
        }
        socket?.send({ kind: FrameKind.Answered, number, result, report })
        break
      case 'not_run':
        socket?.send({ kind: FrameKind.NotRun, number, result, report })
        break
      case 'unknown': socket?.send({ kind: FrameKind.UnknownOutcome, number, result, report })
    }
    retained.isSent = true
  }

  /**
   * Handles the list of the peer's open calls after a reconnect: sends their retained results again, names
   * those that were never received and cancels running calls that are not in the list.
   */
  #onResume (session: Session, numbers: readonly number[]): void {
    for (const number of numbers) {
      const retained = session.results.get(number)
      if (retained !== undefined) this.#sendResult(session, number, retained)
      else if (session.isRunning(number)) continue
      // A call whose body did not arrive completely has not run.
      else if (session.endIncomplete(number) || number > session.highestCallNumber) {
        session.socket?.send({ kind: FrameKind.NotReceived, number })
      } else this.#sendUnknown(session, number)
    }
    session.cancelAllExcept(new Set(numbers))
  }

  #sweep (): void {
    const nowMs = this.#options.clock.monotonicMs()
    for (const [incarnation, session] of this.#sessions) {
      if (session.results.size > 0) this.#expireResults(session, nowMs)
      for (const number of session.overdueNumbers(nowMs)) session.endIncomplete(number)
      if (session.socket !== null || nowMs - session.disconnectedAtMs < ORPHAN_TIMEOUT_MS) continue
      session.cancelAllExcept(new Set())
      if (nowMs - session.disconnectedAtMs >= RESULT_RETENTION_MS) this.#dropSession(incarnation, session)
    }
  }

  #expireResults (session: Session, nowMs: Millis): void {
    for (const [number, { isSent, progressAtMs }] of session.results) {
      const retentionMs = isSent ? RESULT_RETENTION_MS : UNSENT_RESULT_RETENTION_MS
      if (nowMs - progressAtMs >= retentionMs) session.dropResult(number)
    }
  }

  #dropSession (incarnation: string, session: Session): void {
    session.clear()
    this.#sessions.delete(incarnation)
    this.#droppedSessionNumbers.set(incarnation, session.highestCallNumber)
    if (this.#droppedSessionNumbers.size <= DROPPED_SESSIONS_MAX_COUNT) return
    this.#droppedSessionNumbers.delete(this.#droppedSessionNumbers.keys().next().value!)
  }
}
