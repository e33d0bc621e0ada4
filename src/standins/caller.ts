import { v7 as uuidV7 } from 'uuid'
import { systemClock, type Clock, type Millis } from '../clock/clock.js'
import type { RandomSource } from '../core/coreTypes.js'
import { ReportCollector, type CallerReport, type RootRequest } from './callerReport.js'
import { phaseAt, rateInPhase, type LoadPlan, type LoadStream } from './loadPlan.js'
import { sampleExponential, seededRandom } from './randomNumbers.js'
import { SendResult, type SendEnd, type SendSpec } from './sendCall.js'

/** Interval between checks for due arrivals. */
const ARRIVAL_CHECK_PERIOD_MS = 2

/** The members of `Sender` that `Caller` uses. */
export interface CallSender {
  readonly targetsCount: number
  send (targetIndex: number, spec: SendSpec, onEnd: (end: SendEnd) => void): void
}

interface ArrivalState {
  readonly stream: LoadStream
  nextAtMs: Millis
  phaseIndex: number
}

/**
 * Whether a root request is resent after this result. Only a complete answer and
 * a wrong one end it at once; a wrong answer is a fault of the system under test.
 */
export function shouldResend (result: SendResult): boolean {
  switch (result) {
    case SendResult.Whole:
    case SendResult.Wrong: return false
    case SendResult.Failed:
    case SendResult.NotRun:
    case SendResult.Unknown:
    case SendResult.NoAnswer: return true
  }
}

/**
 * Open-loop load generator: arrivals follow the load plan and do not wait for answers.
 *
 * @example
 * const caller = new Caller(plan, new Sender(plan.targets, 64))
 * const report = await caller.run()
 */
export class Caller {
  readonly reportCollector: ReportCollector
  readonly #plan: LoadPlan
  readonly #sender: CallSender
  readonly #clock: Clock
  readonly #random: RandomSource
  readonly #arrivals: ArrivalState[]
  readonly #rootPrefix: string
  #startedAtMs = 0
  #rootsCount = 0
  #openCount = 0
  #resolveRun: (() => void) | undefined

  constructor (plan: LoadPlan, sender: CallSender, clock: Clock = systemClock) {
    this.#plan = plan
    this.#sender = sender
    this.#clock = clock
    this.#random = seededRandom(plan.seed)
    this.reportCollector = new ReportCollector(plan)
    this.#rootPrefix = `${plan.seed}-${clock.wallMs().toString(36)}`
    this.#arrivals = plan.streams.map(stream => ({ stream, nextAtMs: 0, phaseIndex: -1 }))
  }

  get openCount (): number {
    return this.#openCount
  }

  /** Runs the load plan and resolves once every root request has ended. */
  async run (): Promise<CallerReport> {
    const cpuAtStart = process.cpuUsage()
    this.start()
    await new Promise<void>(resolve => {
      const timer = setInterval(() => {
        if (this.openDueRoots()) return
        clearInterval(timer)
        this.#resolveRun = resolve
        this.#resolveWhenIdle()
      }, ARRIVAL_CHECK_PERIOD_MS)
    })
    const cpu = process.cpuUsage(cpuAtStart)
    const durationMs = this.#clock.monotonicMs() - this.#startedAtMs
    return this.reportCollector.buildReport((cpu.user + cpu.system) / 10 / durationMs)
  }

  start (): void {
    this.#startedAtMs = this.#clock.monotonicMs()
  }

  /** Opens a root request for each due arrival. Returns false after the last phase. */
  openDueRoots (): boolean {
    const sinceStartMs = this.#clock.monotonicMs() - this.#startedAtMs
    for (const arrivals of this.#arrivals) this.#openDueRootsOfStream(arrivals, sinceStartMs)
    return phaseAt(this.#plan.phases, sinceStartMs) !== undefined
  }

  #openDueRootsOfStream (arrivals: ArrivalState, sinceStartMs: Millis): void {
    for (;;) {
      const current = phaseAt(this.#plan.phases, arrivals.nextAtMs)
      if (current === undefined || arrivals.nextAtMs > sinceStartMs) return
      const rate = rateInPhase(arrivals.stream, current.phase)
      const isNewPhase = current.index !== arrivals.phaseIndex
      arrivals.phaseIndex = current.index
      // Exponential gaps are memoryless, so the arrivals stay a Poisson process
      // when a new gap is drawn at the start of each phase.
      if (!isNewPhase && rate > 0) this.#openRoot(arrivals.stream, current.index, this.#startedAtMs + arrivals.nextAtMs)
      const nextAtMs = rate > 0 ? arrivals.nextAtMs + sampleExponential(this.#random, 1000 / rate) : current.endMs
      arrivals.nextAtMs = Math.min(nextAtMs, current.endMs)
    }
  }

  #openRoot (stream: LoadStream, phaseIndex: number, arrivedAtMs: Millis): void {
    const id = this.#rootsCount++
    const key = stream.keyed ? uuidV7() : undefined
    const root: RootRequest = {
      stream,
      phaseIndex,
      rootId: `${this.#rootPrefix}-${id}`,
      key,
      arrivedAtMs,
      arrivedWallMs: this.#clock.wallMs() - this.#clock.monotonicMs() + arrivedAtMs,
      sendsCount: 0,
      notRunCount: 0
    }
    this.#openCount += 1
    this.reportCollector.recordOffered(root)
    this.#send(root, Math.floor(this.#random() * this.#sender.targetsCount))
  }

  #send (root: RootRequest, targetIndex: number): void {
    root.sendsCount += 1
    this.reportCollector.recordSend(root)
    const { stream, rootId, key, sendsCount: attempt } = root
    const timeoutMs = stream.deadline_ms + this.#plan.timeout_slack_ms
    this.#sender.send(targetIndex, { stream, rootId, key, attempt, timeoutMs }, end => {
      this.#handleSendEnd(root, targetIndex, end)
    })
  }

  #handleSendEnd (root: RootRequest, targetIndex: number, end: SendEnd): void {
    if (end.result === SendResult.NotRun) root.notRunCount += 1
    if (shouldResend(end.result) && root.sendsCount <= this.#plan.resends_count) {
      const otherTargetsCount = Math.max(1, this.#sender.targetsCount - 1)
      const nextIndex = (targetIndex + 1 + Math.floor(this.#random() * otherTargetsCount)) % this.#sender.targetsCount
      setTimeout(() => { this.#send(root, nextIndex) }, this.#plan.resend_pause_ms * (0.5 + this.#random()))
      return
    }
    this.#openCount -= 1
    this.reportCollector.recordEnd(root, end, this.#clock.monotonicMs() - root.arrivedAtMs, this.#clock.wallMs())
    this.#resolveWhenIdle()
  }

  #resolveWhenIdle (): void {
    if (this.#openCount === 0) this.#resolveRun?.()
  }
}
