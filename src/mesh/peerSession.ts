import type { Millis } from '../clock/clock.js'
import { bodyLength } from '../http/messageBody.js'
import type { FrameSocket } from './frameSocket.js'
import type { Hello } from './frames.js'
import { IncomingBody } from './incomingBody.js'
import type { DispatchedCall, DispatchHandle, DispatchResult, ResultReport } from './meshTypes.js'

/** Limit on retained results of one session. */
const RETAINED_RESULTS_MAX_COUNT = 512

/** A result that can be sent again, or whose body the peer has not asked for yet. */
export interface RetainedResult {
  readonly result: DispatchResult
  readonly report: ResultReport
  readonly bytes: number
  /** Whether all of it has been handed to a connection. */
  isSent: boolean
  /** When the call ended, or when more of the result was sent. */
  progressAtMs: Millis
}

/** A call whose body has not arrived completely. */
export interface IncompleteCall {
  readonly call: DispatchedCall
  readonly body: IncomingBody
  readonly receivedAtMs: Millis
}

interface RunningCall {
  readonly handle: DispatchHandle
  readonly bytes: number
}

/** What all sessions hold for other nodes. */
export class PeerHoldings {
  callsBytes = 0
  resultsBytes = 0
}

/** Calls received from one process of another node; a session outlives its connections. */
export class Session {
  readonly hello: Hello
  readonly #holdings: PeerHoldings
  readonly #runningCalls = new Map<number, RunningCall>()
  readonly #incompleteCalls = new Map<number, IncompleteCall>()
  /** Results by call number, retained for some time after they were sent. */
  readonly results = new Map<number, RetainedResult>()
  /** Calls are numbered in the order of sending, so calls with a higher number were never received. */
  highestCallNumber: number
  socket: FrameSocket | null = null
  disconnectedAtMs: Millis = 0

  constructor (hello: Hello, highestNumber: number, holdings: PeerHoldings) {
    this.hello = hello
    this.highestCallNumber = highestNumber
    this.#holdings = holdings
  }

  get runningCount (): number {
    return this.#runningCalls.size
  }

  isRunning (number: number): boolean {
    return this.#runningCalls.has(number)
  }

  addRunning (number: number, handle: DispatchHandle, bytes: number): void {
    this.#runningCalls.set(number, { handle, bytes })
    this.#holdings.callsBytes += bytes
  }

  endRunning (number: number): void {
    const running = this.#runningCalls.get(number)
    if (running === undefined) return
    this.#runningCalls.delete(number)
    this.#holdings.callsBytes -= running.bytes
  }

  /** Ends a call whose caller has left, whether it is incomplete, running or its result is not taken yet. */
  cancelCall (number: number): void {
    this.endIncomplete(number)
    this.#runningCalls.get(number)?.handle.cancel()
    this.endRunning(number)
    this.socket?.cancelBody(number)
    if (this.results.get(number)?.isSent === false) this.dropResult(number)
  }

  /** Cancels all running calls except those with the given numbers. */
  cancelAllExcept (numbers: ReadonlySet<number>): void {
    for (const number of [...this.#runningCalls.keys()]) if (!numbers.has(number)) this.cancelCall(number)
  }

  addIncomplete (number: number, call: DispatchedCall, bodyBytes: number, nowMs: Millis): void {
    this.#incompleteCalls.set(number, { call, body: new IncomingBody(bodyBytes), receivedAtMs: nowMs })
    this.#holdings.callsBytes += bodyBytes
  }

  incompleteCall (number: number): IncompleteCall | undefined {
    return this.#incompleteCalls.get(number)
  }

  /** Returns whether there was such a call. */
  endIncomplete (number: number): boolean {
    const incomplete = this.#incompleteCalls.get(number)
    if (incomplete === undefined) return false
    this.#incompleteCalls.delete(number)
    this.#holdings.callsBytes -= incomplete.body.expectedBytes
    return true
  }

  /** Numbers of incomplete calls whose time is up. */
  overdueNumbers (nowMs: Millis): number[] {
    if (this.#incompleteCalls.size === 0) return []
    return [...this.#incompleteCalls].filter(([, { call, receivedAtMs }]) => {
      return nowMs - receivedAtMs >= call.remainingMs
    }).map(([number]) => number)
  }

  retainResult (number: number, result: DispatchResult, report: ResultReport, nowMs: Millis): RetainedResult {
    const bytes = result.kind === 'answered' ? bodyLength(result.body) : 0
    const retained: RetainedResult = { result, report, bytes, isSent: false, progressAtMs: nowMs }
    this.results.set(number, retained)
    this.#holdings.resultsBytes += bytes
    if (this.results.size > RETAINED_RESULTS_MAX_COUNT) this.dropResult(this.results.keys().next().value!)
    return retained
  }

  dropResult (number: number): void {
    const retained = this.results.get(number)
    if (retained === undefined) return
    this.results.delete(number)
    this.#holdings.resultsBytes -= retained.bytes
  }

  /** Ends everything that the session holds. */
  clear (): void {
    for (const number of [...this.#incompleteCalls.keys()]) this.endIncomplete(number)
    this.cancelAllExcept(new Set())
    for (const number of [...this.results.keys()]) this.dropResult(number)
  }
}
