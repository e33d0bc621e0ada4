import { v7 as uuidV7 } from 'uuid'
import { systemClock, type Clock, type Millis } from '../clock/clock.js'
import type { RandomSource } from '../core/coreTypes.js'
import { ReportBook, type CallerReport, type Root } from './callerReport.js'
import { phaseAt, rateInPhase, type LoadPlan, type LoadStream } from './loadPlan.js'
import { exponential, seededRandom } from './randomNumbers.js'
import { SendResult, type SendEnd, type SendSpec } from './sendCall.js'

/** Pause between two looks at the arrivals that are due. */
const ARRIVAL_STEP_MS = 2

/** The part of `Sender` that the caller uses. */
export interface SendsCalls {
  readonly targetsCount: number
  send (targetIndex: number, spec: SendSpec, onEnd: (end: SendEnd) => void): void
}

interface Arrivals {
  readonly stream: LoadStream
  nextAtMs: Millis
  phaseIndex: number
}

/**
 * Whether the caller sends again after this result. Only a whole answer and a
 * wrong one, which is a fault of the system, end a root request at once.
 */
export function isResent (result: SendResult): boolean {
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
 * Open-loop load generator: arrivals do not wait for answers.
 *
 * @example
 * const caller = new Caller(plan, new Sender(plan.targets, 64))
 * const report = await caller.run()
 */
export class Caller {
  readonly book: ReportBook
  readonly #plan: LoadPlan
  readonly #sender: SendsCalls
  readonly #clock: Clock
  readonly #random: RandomSource
  readonly #arrivals: Arrivals[]
  readonly #rootPrefix: string
  #startedAtMs = 0
  #rootsCount = 0
  #openCount = 0
  #finished: (() => void) | undefined

  constructor (plan: LoadPlan, sender: SendsCalls, clock: Clock = systemClock) {
    this.#plan = plan
    this.#sender = sender
    this.#clock = clock
    this.#random = seededRandom(plan.seed)
    this.book = new ReportBook(plan)
    this.#rootPrefix = `${plan.seed}-${clock.wallMs().toString(36)}`
    this.#arrivals = plan.streams.map(stream => ({ stream, nextAtMs: 0, phaseIndex: -1 }))
  }

  get openCount (): number {
    return this.#openCount
  }

  /** Runs the plan and waits until each root request has ended. */
  async run (): Promise<CallerReport> {
    const cpuAtStart = process.cpuUsage()
    this.start()
    await new Promise<void>(resolve => {
      const timer = setInterval(() => {
        if (this.step()) return
        clearInterval(timer)
        this.#finished = resolve
        this.#resolveWhenIdle()
      }, ARRIVAL_STEP_MS)
    })
    const cpu = process.cpuUsage(cpuAtStart)
    const durationMs = this.#clock.monotonicMs() - this.#startedAtMs
    return this.book.report((cpu.user + cpu.system) / 10 / durationMs)
  }

  start (): void {
    this.#startedAtMs = this.#clock.monotonicMs()
  }

  /** Sends what is due; false once the plan is over. */
  step (): boolean {
    const sinceStartMs = this.#clock.monotonicMs() - this.#startedAtMs
    for (const arrivals of this.#arrivals) this.#sendDue(arrivals, sinceStartMs)
    return phaseAt(this.#plan.phases, sinceStartMs) !== undefined
  }

  #sendDue (arrivals: Arrivals, untilMs: Millis): void {
    for (;;) {
      const at = phaseAt(this.#plan.phases, arrivals.nextAtMs)
      if (at === undefined || arrivals.nextAtMs > untilMs) return
      const rate = rateInPhase(arrivals.stream, at.phase)
      const entered = at.index !== arrivals.phaseIndex
      arrivals.phaseIndex = at.index
      // The exponential distribution has no memory, so a fresh gap from the
      // start of a phase keeps the arrivals Poisson.
      if (!entered && rate > 0) this.#openRoot(arrivals.stream, at.index, this.#startedAtMs + arrivals.nextAtMs)
      const nextAtMs = rate > 0 ? arrivals.nextAtMs + exponential(this.#random, 1000 / rate) : at.endMs
      arrivals.nextAtMs = Math.min(nextAtMs, at.endMs)
    }
  }

  #openRoot (stream: LoadStream, phaseIndex: number, arrivedAtMs: Millis): void {
    const id = this.#rootsCount++
    const key = stream.keyed ? uuidV7() : undefined
    const root: Root = {
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
    this.book.offered(root)
    this.#send(root, Math.floor(this.#random() * this.#sender.targetsCount))
  }

  #send (root: Root, targetIndex: number): void {
    root.sendsCount += 1
    this.book.sent(root)
    const { stream, rootId, key, sendsCount: attempt } = root
    const timeoutMs = stream.deadline_ms + this.#plan.timeout_slack_ms
    this.#sender.send(targetIndex, { stream, rootId, key, attempt, timeoutMs }, end => {
      this.#sendEnded(root, targetIndex, end)
    })
  }

  #sendEnded (root: Root, targetIndex: number, end: SendEnd): void {
    if (end.result === SendResult.NotRun) root.notRunCount += 1
    if (isResent(end.result) && root.sendsCount <= this.#plan.resends_count) {
      const others = Math.max(1, this.#sender.targetsCount - 1)
      const nextIndex = (targetIndex + 1 + Math.floor(this.#random() * others)) % this.#sender.targetsCount
      setTimeout(() => { this.#send(root, nextIndex) }, this.#plan.resend_pause_ms * (0.5 + this.#random()))
      return
    }
    this.#openCount -= 1
    this.book.ended(root, end, this.#clock.monotonicMs() - root.arrivedAtMs, this.#clock.wallMs())
    this.#resolveWhenIdle()
  }

  #resolveWhenIdle (): void {
    if (this.#openCount === 0) this.#finished?.()
  }
}
