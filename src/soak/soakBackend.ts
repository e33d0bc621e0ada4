import type { Millis } from '../clock/clock.js'
import { Outcome, Reason } from '../core/coreTypes.js'
import { BackendStatus } from '../core/nodeCore/nodeCoreTypes.js'
import type { Answer, IncomingCall, SendResult } from '../core/nodeCore/nodeCoreTypes.js'
import type { SoakFleet } from './soakFleet.js'
import type { SoakNode } from './soakNode.js'
import type { Exchange, OnResult } from './soakTypes.js'

const MEAN_SERVICE_MS: Millis = 8
const RESTART_AFTER_MS: Millis = 700
/** Hash of a request body that crashes each `schedule` backend server that runs it. */
export const CRASHING_BODY_HASH = 666

/** Services that each service calls, in order, to serve a request. */
export const CALLEES: Readonly<Record<string, readonly string[]>> = {
  booking: ['schedule', 'invoicing'], schedule: [], invoicing: []
}

interface RunningCall {
  readonly call: IncomingCall
  readonly onResult: OnResult
  subCall: Exchange | null
  isEnded: boolean
}

/** Simulated backend server: takes time to serve, calls other services through its node, can crash and drain. */
export class SoakBackend {
  readonly serviceName: string
  readonly #fleet: SoakFleet
  readonly #vmId: string
  readonly #running = new Set<RunningCall>()
  slowFactor = 1
  status = BackendStatus.Ready
  /** Status in the health report if it differs from the real status, otherwise null. */
  reportedStatus: BackendStatus | null = null
  #pausedUntilMs: Millis = 0

  constructor (fleet: SoakFleet, vmId: string, serviceName: string) {
    this.#fleet = fleet
    this.#vmId = vmId
    this.serviceName = serviceName
  }

  get runningCount (): number {
    return this.#running.size
  }

  pause (forMs: Millis): void {
    this.#pausedUntilMs = this.#fleet.simulation.nowMs + forMs
  }

  /** Starts serving a request that the node dispatched. */
  run (call: IncomingCall, timeoutMs: Millis, onResult: OnResult): Exchange {
    const { simulation } = this.#fleet
    const running: RunningCall = { call, onResult, subCall: null, isEnded: false }
    if (this.status === BackendStatus.Down) {
      simulation.schedule(1, () => this.#end(running, failed(Reason.ConnectFailed, false)))
      return { abort: () => this.#end(running, failed(Reason.CallerCancelled, false)) }
    }
    this.#running.add(running)
    this.#fleet.checks.checkBackendRun(this.#fleet, {
      rootId: call.rootId,
      serviceName: call.serviceName,
      idempotencyKey: call.idempotencyKey,
      attempt: call.attempt,
      callId: call.callId,
      vmId: this.#vmId,
      startedAtMs: simulation.nowMs
    }, this)
    simulation.schedule(timeoutMs, () => this.#cancel(running, Reason.AnswerTimeout))
    simulation.schedule(this.#randomServiceMs(), () => this.#continueCall(running, 0))
    return { abort: () => this.#cancel(running, Reason.CallerCancelled) }
  }

  /** Drops all connections and restarts the process after `RESTART_AFTER_MS`. */
  crash (): void {
    this.status = BackendStatus.Down
    for (const running of [...this.#running]) {
      running.subCall?.abort()
      this.#end(running, failed(Reason.ConnectionLost, true))
    }
    const node = this.#fleet.aliveNodeOf(this.#vmId)
    node?.emit({ kind: 'backend_crashed' })
    node?.emit({ kind: 'backend_seen', status: BackendStatus.Down })
    this.#fleet.simulation.schedule(RESTART_AFTER_MS, () => this.setStatus(BackendStatus.Ready))
  }

  setStatus (status: BackendStatus): void {
    this.status = status
    const reported = this.reportedStatus ?? status
    const { checks, simulation } = this.#fleet
    if (reported === BackendStatus.Draining) checks.recordVmLeaving(this.#vmId, 'server', simulation.nowMs)
    else checks.clearVmLeaving(this.#vmId, 'server')
    this.#fleet.aliveNodeOf(this.#vmId)?.emit({ kind: 'backend_seen', status: reported })
  }

  #randomServiceMs (): Millis {
    const { simulation } = this.#fleet
    const waitMs = Math.max(0, this.#pausedUntilMs - simulation.nowMs)
    return waitMs - Math.log(1 - simulation.random()) * MEAN_SERVICE_MS * this.slowFactor
  }

  #continueCall (running: RunningCall, subCallIndex: number): void {
    if (running.isEnded) return
    if (running.call.bodyHash === CRASHING_BODY_HASH && running.call.serviceName === 'schedule') return this.crash()
    const callee = CALLEES[this.serviceName]?.[subCallIndex]
    const node = this.#fleet.aliveNodeOf(this.#vmId)
    if (callee === undefined) this.#answer(running, 200)
    else if (node === undefined) this.#answer(running, 500)
    else this.#sendSubCall(running, node, callee, subCallIndex)
  }

  #sendSubCall (running: RunningCall, node: SoakNode, callee: string, subCallIndex: number): void {
    const { call } = running
    const requiresIdempotencyKey = callee === 'invoicing'
    const subCall: IncomingCall = {
      callId: this.#fleet.nextId('s'),
      source: { kind: 'backend_server', parentCallId: call.callId },
      callerName: this.serviceName,
      serviceName: callee,
      method: requiresIdempotencyKey ? 'POST' : 'GET',
      path: '/',
      rootId: call.rootId,
      parentId: call.callId,
      deadlineMs: null,
      idempotencyKey: requiresIdempotencyKey && call.idempotencyKey !== null ? `${call.idempotencyKey}:${callee}` : null,
      attempt: call.attempt,
      requestedImportance: null,
      bodyHash: call.bodyHash
    }
    this.#fleet.checks.recordSubCallSend(subCall, this.#fleet.simulation.nowMs)
    running.subCall = this.#fleet.network.sendCall(node.endpoint, node, subCall, 2_000, result => {
      if (running.isEnded) return
      running.subCall = null
      this.#fleet.checks.checkAnswer(subCall, result, this.#fleet.simulation.nowMs)
      const isDone = result.kind === 'answered' && result.headers['ragwortspur-outcome'] === Outcome.Done &&
        result.status === 200
      if (isDone) this.#continueCall(running, subCallIndex + 1)
      else this.#answer(running, 500)
    })
  }

  #answer (running: RunningCall, status: number): void {
    const answer: Answer = { status, headers: { 'x-root': running.call.rootId }, body: new Uint8Array() }
    this.#end(running, { kind: 'answered', ...answer, tookMs: 0 })
  }

  /** Stops serving a request whose connection was closed, and aborts its sub-call. */
  #cancel (running: RunningCall, reason: Reason): void {
    if (running.isEnded) return
    running.subCall?.abort()
    this.#end(running, failed(reason, true))
  }

  #end (running: RunningCall, result: SendResult): void {
    if (running.isEnded) return
    running.isEnded = true
    this.#running.delete(running)
    running.onResult(result)
  }
}

function failed (reason: Reason, bytesSent: boolean): SendResult {
  return { kind: 'failed', reason, bytesSent, tookMs: 0 }
}
