import type { Clock, Millis } from '../clock/clock.js'
import type { ListedServer } from '../core/discovery/discoveryTypes.js'
import type { ServerSignals } from '../core/placement/placementTypes.js'
import type { ServiceUsage } from '../core/chainAdmission/chainAdmissionTypes.js'
import { UsageSum } from '../core/chainAdmission/usage.js'
import type { FleetRetryBudgetDb } from '../core/fleetRetryBudget/fleetRetryBudgetDb.js'
import { fleetRetryBudgetDefinition } from '../core/fleetRetryBudget/fleetRetryBudgetDefinition.js'
import { refusedSendsDefinition } from '../core/refusedSends/refusedSendsDefinition.js'
import { rateLimitDefinition } from '../core/rateLimit/rateLimitDefinition.js'
import { LimitChange } from '../core/rateLimit/rateLimitTypes.js'
import type { SlotsDb } from '../core/slots/slotsDb.js'
import { slotsDefinition } from '../core/slots/slotsDefinition.js'
import { SlotRefusal, type WaitingCall } from '../core/slots/slotsTypes.js'
import { BrokenCause, type Exchange, type ExchangePool, type ExchangeResult } from '../http/exchangePool.js'
import type { BackendAnswer, BackendDialect } from './backendDialect.js'
import {
  UnknownOutcomeReason, RefusalReason, type DispatchedCall, type DispatchHandle, type DispatchListener,
  type DispatchResult, type ResultReport
} from './meshTypes.js'
import type { CrashGuard } from './crashGuard.js'
import { isRefusedSend, toForwardedResult } from './dispatchResults.js'
import { LimitLog } from './limitLog.js'
import type { NodeLog } from './nodeLog.js'
import type { NodeMetrics } from './nodeMetrics.js'
import { OwnServer } from './ownServer.js'
import { PaceAverage } from './paceAverage.js'

/** A call with less time left than this cannot be answered in time. */
const REMAINING_MIN_MS: Millis = 2
/** Least time between two connects that check for a crash, since the processor time of each one is billed. */
const CRASH_PROBE_INTERVAL_MS: Millis = 100

export interface ExecutorOptions {
  readonly clock: Clock
  readonly serviceName: string
  readonly pool: ExchangePool
  readonly dialect: BackendDialect
  readonly slots: SlotsDb
  readonly fleetRetryBudget: FleetRetryBudgetDb
  readonly crashGuard: CrashGuard
  readonly log: NodeLog
  readonly metrics: NodeMetrics
  /** Whether results say how many sends the server refuses: where workspaces compete for what it can complete. */
  readonly reportsRefusedSends: () => boolean
}

/** Usage of a result of a call that did not run. */
const NOTHING_USED = { slotMs: 0, callsCount: 0 }

type Stage = 'waiting' | 'running' | 'ended'

/** One call to this node's backend server: it waits for a slot, runs and ends. */
export class Execution implements DispatchHandle {
  readonly #executor: Executor
  readonly call: DispatchedCall
  readonly listener: DispatchListener
  readonly #receivedAtMs: Millis
  readonly #queueEntry: WaitingCall
  #downstreamUsage: UsageSum | null = null
  #hasFailedSubCall = false
  #stage: Stage = 'waiting'
  #startedAtMs: Millis = 0
  #exchange: Exchange | undefined

  constructor (executor: Executor, call: DispatchedCall, listener: DispatchListener) {
    this.#executor = executor
    this.call = call
    this.listener = listener
    this.#receivedAtMs = executor.options.clock.monotonicMs()
    this.#queueEntry = {
      call: {
        rank: call.rank,
        arrivedAtMs: this.#receivedAtMs,
        startByMs: this.#receivedAtMs + Math.min(call.queueWaitMaxMs, call.remainingMs)
      },
      start: () => this.#start(),
      refuse: reason => this.#onSlotRefused(reason)
    }
  }

  /** Requests a slot of the backend server. */
  enqueue (nowMs: Millis): void {
    slotsDefinition.requestSlot(this.#executor.options.slots, this.#queueEntry, nowMs)
  }

  cancel (): void {
    const { slots, clock } = this.#executor.options
    if (this.#stage === 'waiting') slotsDefinition.removeWaitingCall(slots, this.#queueEntry)
    const wasRunning = this.#stage === 'running'
    this.#stage = 'ended'
    this.#exchange?.cancel()
    if (wasRunning) slotsDefinition.releaseSlot(slots, clock.monotonicMs() - this.#startedAtMs, clock.monotonicMs())
  }

  /** Writes the request. The deadline is checked here, since the process may have been paused before. */
  #start (): void {
    const { clock, dialect, fleetRetryBudget, pool, slots } = this.#executor.options
    this.#stage = 'running'
    this.#startedAtMs = clock.monotonicMs()
    this.#executor.runningById.set(this.call.requestId, this)
    const remainingMs = this.call.remainingMs - (clock.monotonicMs() - this.#receivedAtMs)
    if (remainingMs < REMAINING_MIN_MS) {
      this.#finishAndReleaseSlot({ kind: 'not_run', reason: RefusalReason.DeadlinePassed, reachedBackend: false })
      return
    }
    fleetRetryBudgetDefinition.recordArrival(fleetRetryBudget, this.call.traceContext.isRetry, this.#startedAtMs)
    rateLimitDefinition.recordSend(slots.rateLimit, this.call.traceContext.isRetry, this.#startedAtMs)
    this.#exchange = pool.send({
      bytes: dialect.encodeRequest(this.call, remainingMs, this.#executor.ownServer.expectedIdFor(this.call)),
      isHead: this.call.method === 'HEAD',
      requestId: this.call.requestId,
      matchAnswer: head => dialect.matchAnswer(head, this.call.requestId),
      onResult: result => this.#onResult(result)
    })
    if (this.#exchange === undefined) {
      this.#finishAndReleaseSlot({ kind: 'not_run', reason: RefusalReason.NoRoom, reachedBackend: false })
    }
  }

  /** Adds the usage of a sub-call that the backend server made while it ran this call. */
  addDownstreamUsage (usage: readonly ServiceUsage[]): void {
    this.#downstreamUsage ??= new UsageSum()
    this.#downstreamUsage.add(usage)
  }

  /** Records that a sub-call failed. A server error of this call is then not the refusal of its own server. */
  recordFailedSubCall (): void {
    this.#hasFailedSubCall = true
  }

  #onSlotRefused (reason: SlotRefusal): void {
    this.#stage = 'ended'
    this.#finish({ kind: 'not_run', reason: this.#executor.toRefusalReason(reason), reachedBackend: false })
  }

  #onResult (result: ExchangeResult): void {
    if (this.#stage === 'ended') return
    const { crashGuard } = this.#executor.options
    if (result.kind === 'broken') {
      this.#executor.logBrokenAnswer(this.call, result)
      crashGuard.recordBrokenCall(this.call)
      this.#executor.probeForCrash()
    } else if (result.kind === 'not_sent') crashGuard.recordConnectFailure()
    const dispatchResult = this.#executor.toDispatchResult(result)
    this.#executor.recordSendOutcome(dispatchResult, this.#hasFailedSubCall)
    this.#finishAndReleaseSlot(dispatchResult)
  }

  #finishAndReleaseSlot (result: DispatchResult): void {
    this.#stage = 'ended'
    // The result is delivered before the slot is released, so that it does not wait for the call that starts next.
    this.#finish(result)
    const nowMs = this.#executor.options.clock.monotonicMs()
    slotsDefinition.releaseSlot(this.#executor.options.slots, nowMs - this.#startedAtMs, nowMs)
  }

  #finish (result: DispatchResult): void {
    this.#executor.remove(this)
    this.#executor.options.metrics.incrementCounter('runs', { result: result.kind === 'answered' ? 'answered' : result.reason })
    const slotMs = this.#startedAtMs === 0 ? 0 : this.#executor.options.clock.monotonicMs() - this.#startedAtMs
    this.listener.onResult(result, this.#executor.createReport(
      { slotMs, callsCount: result.kind === 'answered' ? 1 : 0 }, this.#downstreamUsage?.list()
    ))
  }
}

/**
 * Runs calls on this node's backend server. No other component opens connections to
 * it, so the executor knows exactly which slots are in use and which calls did not run.
 */
export class Executor {
  readonly options: ExecutorOptions
  /** Executions that wait for a slot or run. */
  readonly openExecutions = new Set<Execution>()
  /** Executions that hold a slot, by request id. */
  readonly runningById = new Map<string, Execution>()
  /** How many of the recent sends the backend server refused. */
  readonly refusedSends = refusedSendsDefinition.createDb()
  readonly ownServer: OwnServer
  /** Executions submitted in this turn of the event loop, not yet enqueued for a slot. */
  #submitted: Execution[] = []
  #isStopping = false
  #lastProbeAtMs: Millis = -Infinity
  readonly #limitLog: LimitLog
  #isServerDeparting = false
  readonly #pace = new PaceAverage()

  constructor (options: ExecutorOptions) {
    this.options = options
    this.#limitLog = new LimitLog(options.log)
    this.ownServer = new OwnServer(options.log)
  }

  /** Load of this node's backend server and the usage of one call: its slot time here and that of its sub-calls. */
  createReport (used = NOTHING_USED, downstream: readonly ServiceUsage[] = []): ResultReport {
    const { slots, clock, fleetRetryBudget, serviceName } = this.options
    const nowMs = clock.monotonicMs()
    const reading = slotsDefinition.getLoadReport(slots)
    const load = {
      ...reading, acceptsWork: reading.acceptsWork && !this.#isStopping, paceRatio: this.#pace.read(nowMs)
    }
    const utilizationRatio = slotsDefinition.getUtilizationRatio(slots, nowMs)
    const refusedRatio = this.options.reportsRefusedSends()
      ? refusedSendsDefinition.refusedRatio(this.refusedSends, nowMs)
      : null
    const isServerRefusing = refusedRatio !== null && refusedRatio > 0
    const arrivals = fleetRetryBudgetDefinition.arrivalReport(fleetRetryBudget, nowMs, isServerRefusing)
    const signals = this.#getSignals(nowMs)
    const own = { serviceName, ...used, utilizationRatio, refusedRatio, reportsCount: 1 }
    return { load, usage: [own, ...downstream], arrivals, signals }
  }

  /** Records whether the backend server refused a send although it had a free slot for it. */
  recordSendOutcome (result: DispatchResult, hasFailedSubCall: boolean): void {
    const isRefused = isRefusedSend(result, hasFailedSubCall)
    if (isRefused !== null) {
      refusedSendsDefinition.recordSend(this.refusedSends, isRefused, this.options.clock.monotonicMs())
    }
  }

  #getSignals (nowMs: Millis): ServerSignals {
    const { rateLimit, queue } = this.options.slots
    const { limitPerS, hasAnswered } = rateLimit
    const { listedId, startedAtWallMs } = this.ownServer
    const server = { serverId: listedId, startedAtWallMs }
    if (this.#isServerDeparting) return { kind: 'departing', ...server }
    if (limitPerS === null) return { kind: hasAnswered ? 'none' : 'unknown' }
    return {
      kind: 'limited',
      ...server,
      limitPerS,
      startDelayMs: rateLimitDefinition.startDelayMs(rateLimit, queue.length, nowMs)
    }
  }

  /** Takes over the list entry of this node's backend server. What a former incarnation asked for no longer holds. */
  setListedServer (server: ListedServer): void {
    if (this.ownServer.setListed(server)) this.#resetSignals()
  }

  #resetSignals (): void {
    rateLimitDefinition.clear(this.options.slots.rateLimit)
    this.#isServerDeparting = false
    this.#pace.clear()
    refusedSendsDefinition.clear(this.refusedSends)
  }

  toRefusalReason (refusal: SlotRefusal): RefusalReason {
    const { clock, slots } = this.options
    if (refusal === SlotRefusal.NotAccepting) return RefusalReason.NotAccepting
    return slotsDefinition.isRateLimited(slots, clock.monotonicMs()) ? RefusalReason.ServerLimit : RefusalReason.NoRoom
  }

  remove (execution: Execution): void {
    this.openExecutions.delete(execution)
    if (this.runningById.get(execution.call.requestId) === execution) this.runningById.delete(execution.call.requestId)
  }

  /**
   * Accepts a call. It is enqueued at the end of this turn of the event loop, so that
   * a cancellation read in the same turn takes effect: after a pause of the process,
   * calls and their cancellations are buffered in the sockets together.
   */
  submit (call: DispatchedCall, listener: DispatchListener): DispatchHandle {
    const refusal = this.#refusalReason(call)
    if (refusal !== null) {
      const timer = setImmediate(() => {
        listener.onResult({ kind: 'not_run', reason: refusal, reachedBackend: false }, this.createReport())
      })
      return { cancel: () => clearImmediate(timer) }
    }
    this.#adoptLimit(call)
    const execution = new Execution(this, call, listener)
    this.openExecutions.add(execution)
    if (this.#submitted.length === 0) setImmediate(() => this.#enqueueSubmitted())
    this.#submitted.push(execution)
    return {
      cancel: () => {
        if (!this.openExecutions.has(execution)) return
        this.remove(execution)
        execution.cancel()
      }
    }
  }

  /** Adopts the limit that the sender knows, while this process has no answer of the server yet. */
  #adoptLimit ({ knownLimitPerS, serverId }: DispatchedCall): void {
    const { clock, log, slots } = this.options
    if (knownLimitPerS === null || (this.ownServer.listedId !== '' && serverId !== this.ownServer.listedId)) return
    if (!rateLimitDefinition.adoptLimit(slots.rateLimit, knownLimitPerS, clock.monotonicMs())) return
    log.event('server_limit', { change: 'adopted', server: serverId, limit_per_s: knownLimitPerS, before: 'none' })
  }

  #refusalReason (call: DispatchedCall): RefusalReason | null {
    if (call.serviceName !== this.options.serviceName) return RefusalReason.WrongService
    if (this.#isStopping) return RefusalReason.NotAccepting
    return this.options.crashGuard.isQuarantined(call) ? RefusalReason.CrashSuspect : null
  }

  /**
   * Checks after the connection of a running call broke whether the backend server still
   * accepts connections. A crash must be detected before the request that caused it is
   * sent to the next backend server.
   */
  probeForCrash (): void {
    const { clock, pool, crashGuard } = this.options
    const nowMs = clock.monotonicMs()
    if (nowMs - this.#lastProbeAtMs < CRASH_PROBE_INTERVAL_MS) return
    this.#lastProbeAtMs = nowMs
    pool.probeConnect(isOpen => {
      if (!isOpen) crashGuard.recordConnectFailure()
    })
  }

  logBrokenAnswer ({ requestId }: DispatchedCall, { cause, reason }: Extract<ExchangeResult, { kind: 'broken' }>): void {
    this.options.log.requestFailed('answer_broken', { request: requestId, server: this.ownServer.listedId, cause, reason })
  }

  /** Whether the process goes on and the backend server has not said that it leaves, whatever its list entry says. */
  get acceptsCalls (): boolean {
    return !this.#isStopping && !this.#isServerDeparting
  }

  /** Refuses new and waiting calls because the process stops, so that other nodes run them. Running calls go on. */
  stopAccepting (): void {
    this.#isStopping = true
    slotsDefinition.setAcceptsWork(this.options.slots, false)
  }

  /** Starts or refuses waiting calls as time passes, and closes idle connections. */
  sweep (): void {
    const { clock, slots } = this.options
    slotsDefinition.refuseExpiredCalls(slots, clock.monotonicMs())
    slotsDefinition.startWaitingCalls(slots, clock.monotonicMs())
    this.options.pool.closeStaleConnections()
    this.#limitLog.write(slots.rateLimit, this.ownServer.listedId, clock.monotonicMs())
  }

  /** Applies the limit that the backend server names, and stops sending to it once it says that it leaves. */
  #recordSignals (answer: BackendAnswer, tookMs: Millis): void {
    const { clock, log, slots } = this.options
    const { rateLimit } = slots
    const nowMs = clock.monotonicMs()
    const before = rateLimit.limitPerS
    this.#pace.record(answer.paceRatio, nowMs)
    const change = rateLimitDefinition.recordAnswer(
      rateLimit, { limitPerS: answer.limitPerS, sentAtMs: nowMs - tookMs }, nowMs
    )
    switch (change) {
      case LimitChange.Named:
      case LimitChange.Lifted:
        log.event('server_limit', { change, server: this.ownServer.listedId, limit_per_s: answer.limitPerS ?? 'none', before: before ?? 'none' })
        break
      case LimitChange.Changed:
      case LimitChange.None:
    }
    if (!answer.isLeaving || this.#isServerDeparting) return
    this.#isServerDeparting = true
    log.event('server_departing', { server: this.ownServer.listedId })
    slotsDefinition.setAcceptsWork(slots, false)
  }

  toDispatchResult (result: ExchangeResult): DispatchResult {
    switch (result.kind) {
      case 'not_sent': return { kind: 'not_run', reason: RefusalReason.ConnectFailed, reachedBackend: false }
      case 'broken': {
        const isLost = result.cause === BrokenCause.ConnectionLost
        return { kind: 'unknown', reason: isLost ? UnknownOutcomeReason.ConnectionLost : UnknownOutcomeReason.MalformedAnswer }
      }
      case 'answered': {
        const answer = this.options.dialect.readAnswer(result.head)
        this.ownServer.recordNamed(answer.serverId)
        // What else it says may concern another service.
        if (answer.isOtherServer) return { kind: 'not_run', reason: RefusalReason.ServerReplaced, reachedBackend: true }
        if (answer.slotsCount > 0) {
          slotsDefinition.setSlotsCount(this.options.slots, answer.slotsCount, this.options.clock.monotonicMs())
        }
        this.#recordSignals(answer, result.tookMs)
        if (answer.notExecuted) return { kind: 'not_run', reason: RefusalReason.BackendShed, reachedBackend: true }
        return toForwardedResult(answer, result)
      }
    }
  }

  #enqueueSubmitted (): void {
    const submitted = this.#submitted
    this.#submitted = []
    const nowMs = this.options.clock.monotonicMs()
    for (const execution of submitted) if (this.openExecutions.has(execution)) execution.enqueue(nowMs)
  }
}
