import type { Millis } from '../clock/clock.js'
import { Outcome, Reason } from '../core/coreTypes.js'
import { BackendStatus } from '../core/nodeCore/nodeCoreTypes.js'
import type { Answer, IncomingCall, SendResult } from '../core/nodeCore/nodeCoreTypes.js'
import type { SoakFleet } from './soakFleet.js'
import type { SoakNode } from './soakNode.js'
import type { Exchange, OnResult } from './soakTypes.js'

const MEAN_SERVICE_MS: Millis = 8
const RESTART_AFTER_MS: Millis = 700
/** Hash of a request body that crashes each backend server that runs it. */
export const CRASHING_BODY_HASH = 666

/** Services that a service calls for each of its requests, in order. */
export const CALLEES: Readonly<Record<string, readonly string[]>> = {
  booking: ['schedule', 'invoicing'], schedule: [], invoicing: []
}

interface Running {
  readonly call: IncomingCall
  readonly onResult: OnResult
  subCall: Exchange | null
  ended: boolean
}

/** A backend server: runs requests for a while, calls other services through its node, can crash and drain. */
export class SoakBackend {
  readonly serviceName: string
  readonly #fleet: SoakFleet
  readonly #vmId: string
  readonly #running = new Set<Running>()
  slowFactor = 1
  status = BackendStatus.Ready
  /** What the health report says, when it differs from the truth. */
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
    this.#pausedUntilMs = this.#fleet.world.nowMs + forMs
  }

  /** Starts a request that the node dispatched. */
  run (call: IncomingCall, timeoutMs: Millis, onResult: OnResult): Exchange {
    const { world } = this.#fleet
    const running: Running = { call, onResult, subCall: null, ended: false }
    if (this.status === BackendStatus.Down) {
      world.after(1, () => this.#end(running, failed(Reason.ConnectFailed, false)))
      return { abort: () => this.#end(running, failed(Reason.CallerCancelled, false)) }
    }
    this.#running.add(running)
    this.#fleet.checks.ran(this.#fleet, {
      rootId: call.rootId,
      serviceName: call.serviceName,
      idempotencyKey: call.idempotencyKey,
      attempt: call.attempt,
      callId: call.callId,
      vmId: this.#vmId,
      startedAtMs: world.nowMs
    }, this)
    world.after(timeoutMs, () => this.#cancel(running, Reason.AnswerTimeout))
    world.after(this.#serviceMs(), () => this.#work(running, 0))
    return { abort: () => this.#cancel(running, Reason.CallerCancelled) }
  }

  /** All connections are lost; the process restarts after a while. */
  crash (): void {
    this.status = BackendStatus.Down
    for (const running of [...this.#running]) {
      running.subCall?.abort()
      this.#end(running, failed(Reason.ConnectionLost, true))
    }
    const node = this.#fleet.nodeOf(this.#vmId)
    node?.emit({ kind: 'backend_crashed' })
    node?.emit({ kind: 'backend_seen', status: BackendStatus.Down })
    this.#fleet.world.after(RESTART_AFTER_MS, () => this.setStatus(BackendStatus.Ready))
  }

  setStatus (status: BackendStatus): void {
    this.status = status
    const reported = this.reportedStatus ?? status
    const { checks, world } = this.#fleet
    if (reported === BackendStatus.Draining) checks.vmLeaves(this.#vmId, 'server', world.nowMs)
    else checks.vmStays(this.#vmId, 'server')
    this.#fleet.nodeOf(this.#vmId)?.emit({ kind: 'backend_seen', status: reported })
  }

  #serviceMs (): Millis {
    const { world } = this.#fleet
    const waitMs = Math.max(0, this.#pausedUntilMs - world.nowMs)
    return waitMs - Math.log(1 - world.random()) * MEAN_SERVICE_MS * this.slowFactor
  }

  #work (running: Running, subCallIndex: number): void {
    if (running.ended) return
    if (running.call.bodyHash === CRASHING_BODY_HASH && running.call.serviceName === 'schedule') return this.crash()
    const callee = CALLEES[this.serviceName]?.[subCallIndex]
    const node = this.#fleet.nodeOf(this.#vmId)
    if (callee === undefined) this.#answer(running, 200)
    else if (node === undefined) this.#answer(running, 500)
    else this.#callOn(running, node, callee, subCallIndex)
  }

  #callOn (running: Running, node: SoakNode, callee: string, subCallIndex: number): void {
    const { call } = running
    const isKeyed = callee === 'invoicing'
    const subCall: IncomingCall = {
      callId: this.#fleet.nextId('s'),
      source: { kind: 'backend_server', parentCallId: call.callId },
      callerName: this.serviceName,
      serviceName: callee,
      method: isKeyed ? 'POST' : 'GET',
      path: '/',
      rootId: call.rootId,
      parentId: call.callId,
      deadlineMs: null,
      idempotencyKey: isKeyed && call.idempotencyKey !== null ? `${call.idempotencyKey}:${callee}` : null,
      attempt: call.attempt,
      requestedImportance: null,
      bodyHash: call.bodyHash
    }
    this.#fleet.checks.subCallSent(subCall, this.#fleet.world.nowMs)
    running.subCall = this.#fleet.network.exchange(node.place, node, subCall, 2_000, result => {
      if (running.ended) return
      running.subCall = null
      this.#fleet.checks.answered(subCall, result, this.#fleet.world.nowMs)
      const isDone = result.kind === 'answered' && result.headers['ragwortspur-outcome'] === Outcome.Done &&
        result.status === 200
      if (isDone) this.#work(running, subCallIndex + 1)
      else this.#answer(running, 500)
    })
  }

  #answer (running: Running, status: number): void {
    const answer: Answer = { status, headers: { 'x-root': running.call.rootId }, body: new Uint8Array() }
    this.#end(running, { kind: 'answered', ...answer, tookMs: 0 })
  }

  /** The connection was closed: the server stops the work, and the sub-call with it. */
  #cancel (running: Running, reason: Reason): void {
    if (running.ended) return
    running.subCall?.abort()
    this.#end(running, failed(reason, true))
  }

  #end (running: Running, result: SendResult): void {
    if (running.ended) return
    running.ended = true
    this.#running.delete(running)
    running.onResult(result)
  }
}

function failed (reason: Reason, bytesSent: boolean): SendResult {
  return { kind: 'failed', reason, bytesSent, tookMs: 0 }
}
