import type { Clock, Millis } from '../clock/clock.js'
import type { ServiceUsage } from '../core/chainAdmission/chainAdmissionTypes.js'
import type { SlotsDb } from '../core/slots/slotsDb.js'
import { slotsDefinition } from '../core/slots/slotsDefinition.js'
import type { SlotRefusal, Waiting } from '../core/slots/slotsTypes.js'
import type { Exchange, ExchangePool, ExchangeResult } from '../http/exchangePool.js'
import type { BackendDialect } from './backendDialect.js'
import {
  LossReason, RefusalReason, type PlacedCall, type PlacedHandle, type PlacedListener, type PlacedResult,
  type ResultReport
} from './meshTypes.js'
import type { CrashGuard } from './crashGuard.js'
import type { NodeLog } from './nodeLog.js'
import type { NodeMetrics } from './nodeMetrics.js'

/** A call with less time left than this cannot be answered in time. */
const REMAINING_MIN_MS: Millis = 2
/** Connects that look for a crash are at least this far apart; each is charged. */
const PROBE_PAUSE_MS: Millis = 100

export interface ExecutorOptions {
  readonly clock: Clock
  readonly serviceName: string
  readonly pool: ExchangePool
  readonly dialect: BackendDialect
  readonly slots: SlotsDb
  readonly crashGuard: CrashGuard
  readonly log: NodeLog
  readonly metrics: NodeMetrics
}

type Stage = 'waiting' | 'running' | 'ended'

/** One call at the own backend server. */
export class Execution implements PlacedHandle {
  readonly #executor: Executor
  readonly call: PlacedCall
  readonly listener: PlacedListener
  readonly #receivedAtMs: Millis
  readonly #waiting: Waiting
  readonly #usageBelow = new Map<string, ServiceUsage>()
  #stage: Stage = 'waiting'
  #startedAtMs: Millis = 0
  #exchange: Exchange | undefined

  constructor (executor: Executor, call: PlacedCall, listener: PlacedListener) {
    this.#executor = executor
    this.call = call
    this.listener = listener
    this.#receivedAtMs = executor.options.clock.monotonicMs()
    this.#waiting = {
      call: {
        rank: call.rank,
        arrivedAtMs: this.#receivedAtMs,
        startByMs: this.#receivedAtMs + Math.min(call.waitMaxMs, call.remainingMs)
      },
      start: () => this.#start(),
      refuse: reason => this.#refuse(reason)
    }
  }

  offer (nowMs: Millis): void {
    slotsDefinition.offer(this.#executor.options.slots, this.#waiting, nowMs)
  }

  cancel (): void {
    const { slots, clock } = this.#executor.options
    if (this.#stage === 'waiting') slotsDefinition.withdraw(slots, this.#waiting)
    const wasRunning = this.#stage === 'running'
    this.#stage = 'ended'
    this.#exchange?.cancel()
    if (wasRunning) slotsDefinition.release(slots, clock.monotonicMs() - this.#startedAtMs, clock.monotonicMs())
  }

  /** Writes the request. The time left is checked here, since the process may have been paused before. */
  #start (): void {
    const { clock, dialect, pool } = this.#executor.options
    this.#stage = 'running'
    this.#startedAtMs = clock.monotonicMs()
    this.#executor.running.set(this.call.requestId, this)
    const remainingMs = this.call.remainingMs - (clock.monotonicMs() - this.#receivedAtMs)
    if (remainingMs < REMAINING_MIN_MS) {
      this.#end({ kind: 'not_run', reason: RefusalReason.DeadlinePassed, reachedBackend: false })
      return
    }
    this.#exchange = pool.send({
      bytes: dialect.requestBytes(this.call, remainingMs, this.#executor.serverId),
      isHead: this.call.method === 'HEAD',
      isOwnAnswer: head => dialect.isAnswerOf(head, this.call.requestId),
      needsFreshConnection: !this.call.isIdempotent,
      onResult: result => this.#onResult(result)
    })
    if (this.#exchange === undefined) {
      this.#end({ kind: 'not_run', reason: RefusalReason.NoRoom, reachedBackend: false })
    }
  }

  /** Adds what a call that the backend server made for this one used. */
  addUsage (usage: readonly ServiceUsage[]): void {
    for (const entry of usage) {
      const known = this.#usageBelow.get(entry.serviceName)
      this.#usageBelow.set(entry.serviceName, known === undefined
        ? entry
        : { ...entry, slotMs: known.slotMs + entry.slotMs })
    }
  }

  #refuse (reason: SlotRefusal): void {
    this.#stage = 'ended'
    const isClosed = reason === 'not_accepting'
    this.#finish({
      kind: 'not_run', reason: isClosed ? RefusalReason.NotAccepting : RefusalReason.NoRoom, reachedBackend: false
    })
  }

  #onResult (result: ExchangeResult): void {
    if (this.#stage === 'ended') return
    const { crashGuard } = this.#executor.options
    if (result.kind === 'broken') {
      crashGuard.broke(this.call)
      this.#executor.suspectCrash()
    } else if (result.kind === 'not_sent') crashGuard.unreachable()
    this.#end(this.#executor.read(result))
  }

  #end (result: PlacedResult): void {
    this.#stage = 'ended'
    // The result goes first: it must not wait for the calls that the free slot starts.
    this.#finish(result)
    const nowMs = this.#executor.options.clock.monotonicMs()
    slotsDefinition.release(this.#executor.options.slots, nowMs - this.#startedAtMs, nowMs)
  }

  #finish (result: PlacedResult): void {
    this.#executor.forget(this)
    this.#executor.options.metrics.count('runs', { result: result.kind === 'answered' ? 'answered' : result.reason })
    const slotMs = this.#startedAtMs === 0 ? 0 : this.#executor.options.clock.monotonicMs() - this.#startedAtMs
    this.listener.onResult(result, this.#executor.report(slotMs, [...this.#usageBelow.values()]))
  }
}

/**
 * The task that runs calls on the own backend server. It alone opens connections
 * to it, so what it says of slots and of calls that did not run is first-hand.
 */
export class Executor {
  readonly options: ExecutorOptions
  readonly open = new Set<Execution>()
  /** Calls that the backend server has, by the id of their request. */
  readonly running = new Map<string, Execution>()
  /** Id of the present incarnation of the own backend server, or empty while it is not known. */
  serverId = ''
  #received: Execution[] = []
  #isStopping = false
  #probedAtMs: Millis = -Infinity

  constructor (options: ExecutorOptions) {
    this.options = options
  }

  /** Load of the own backend server, with what one call held here and below. */
  report (slotMs: Millis = 0, below: readonly ServiceUsage[] = []): ResultReport {
    const { slots, clock, serviceName } = this.options
    const reading = slotsDefinition.reading(slots)
    const load = this.#isStopping ? { ...reading, acceptsWork: false } : reading
    const utilizationRatio = slotsDefinition.utilization(slots, clock.monotonicMs())
    return { load, usage: [{ serviceName, slotMs, utilizationRatio }, ...below] }
  }

  forget (execution: Execution): void {
    this.open.delete(execution)
    if (this.running.get(execution.call.requestId) === execution) this.running.delete(execution.call.requestId)
  }

  /**
   * Takes a call. It starts at the end of this turn of the event loop, so that a
   * cancellation that was read in the same turn is honoured: after a pause of the
   * process, calls and their cancellations wait side by side in the sockets.
   */
  place (call: PlacedCall, listener: PlacedListener): PlacedHandle {
    const refusal = this.#refusalOf(call)
    if (refusal !== null) {
      const timer = setImmediate(() => {
        listener.onResult({ kind: 'not_run', reason: refusal, reachedBackend: false }, this.report())
      })
      return { cancel: () => clearImmediate(timer) }
    }
    const execution = new Execution(this, call, listener)
    this.open.add(execution)
    if (this.#received.length === 0) setImmediate(() => this.#offerReceived())
    this.#received.push(execution)
    return {
      cancel: () => {
        if (!this.open.has(execution)) return
        this.forget(execution)
        execution.cancel()
      }
    }
  }

  #learnServerId (serverId: string): void {
    this.options.log.event('own_server_changed', { server: serverId, before: this.serverId })
    this.serverId = serverId
  }

  #refusalOf (call: PlacedCall): RefusalReason | null {
    if (call.serviceName !== this.options.serviceName) return RefusalReason.WrongService
    if (this.#isStopping) return RefusalReason.NotAccepting
    return this.options.crashGuard.refuses(call) ? RefusalReason.CrashSuspect : null
  }

  /**
   * After running calls broke, looks whether the backend server still takes
   * connections. A crash must be known before its cause is sent to the next server.
   */
  suspectCrash (): void {
    const { clock, pool, crashGuard } = this.options
    const nowMs = clock.monotonicMs()
    if (nowMs - this.#probedAtMs < PROBE_PAUSE_MS) return
    this.#probedAtMs = nowMs
    pool.probe(isOpen => {
      if (!isOpen) crashGuard.unreachable()
    })
  }

  /** Takes no more calls, since the process ends soon; calls that have been taken go on. */
  beginStop (): void {
    this.#isStopping = true
  }

  /** Ends the waiting of calls whose time to start has passed. */
  sweep (): void {
    slotsDefinition.expire(this.options.slots, this.options.clock.monotonicMs())
    this.options.pool.sweep()
  }

  read (result: ExchangeResult): PlacedResult {
    switch (result.kind) {
      case 'not_sent': return { kind: 'not_run', reason: RefusalReason.ConnectFailed, reachedBackend: false }
      case 'broken': {
        const isMalformed = result.reason === 'malformed answer'
        return { kind: 'unknown', reason: isMalformed ? LossReason.MalformedAnswer : LossReason.ConnectionLost }
      }
      case 'answered': {
        const answer = this.options.dialect.readAnswer(result.head)
        if (answer.slotsCount > 0) {
          slotsDefinition.setSlots(this.options.slots, answer.slotsCount, this.options.clock.monotonicMs())
        }
        if (answer.serverId !== '' && answer.serverId !== this.serverId) this.#learnServerId(answer.serverId)
        if (answer.notExecuted) return { kind: 'not_run', reason: RefusalReason.BackendShed, reachedBackend: true }
        const isSuccess = result.head.statusCode < 300
        if (answer.isEncoded || (isSuccess && !answer.isSigned)) {
          return { kind: 'unknown', reason: LossReason.MalformedAnswer }
        }
        return {
          kind: 'answered',
          statusCode: result.head.statusCode,
          statusText: result.head.statusText,
          headerText: answer.headerText,
          body: result.body,
          hasLength: result.head.hasLength,
          servedMs: result.tookMs
        }
      }
    }
  }

  #offerReceived (): void {
    const received = this.#received
    this.#received = []
    const nowMs = this.options.clock.monotonicMs()
    for (const execution of received) if (this.open.has(execution)) execution.offer(nowMs)
  }
}
