import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { systemClock, type Clock, type Millis } from '../clock/clock.js'
import type { RandomSource } from '../core/coreTypes.js'
import { answerText } from './answerText.js'
import {
  AnswerFault, backendControlSchema, HealthStatus, NO_FAULTS, ServiceTimeKind,
  type BackendConfig, type BackendControl, type BackendRoute
} from './backendTypes.js'
import { readBody, sendJson } from './httpTools.js'
import { sampleExponential, seededRandom } from './randomNumbers.js'
import { SlotQueue } from './slotQueue.js'
import { SubCallClient } from './subCalls.js'

/** Log event for the start or the end of a run. */
export interface RunEvent {
  readonly event: 'run_started' | 'run_ended'
  readonly service: string
  readonly root: string
  readonly key: string
  readonly call: string
  readonly at_ms: Millis
  /** `started` at the start, otherwise the result of the run. */
  readonly state: RunState
}

export enum RunState {
  Started = 'started',
  Done = 'done',
  Failed = 'failed',
  Cancelled = 'cancelled'
}

interface Run {
  readonly route: BackendRoute
  readonly request: IncomingMessage
  readonly response: ServerResponse
  readonly rootId: string
  readonly key: string | undefined
  readonly callId: string
  readonly deadlineAtMs: Millis | undefined
  readonly abort: AbortController
}

export interface BackendServerOptions {
  readonly config: BackendConfig
  /** Call address of the node on the same VM; without it, no sub-calls are made. */
  readonly nodeAddress: string | undefined
  readonly onRunEvent: (event: RunEvent) => void
  /** Replaces the exit of the process on a crash marker. */
  readonly crash?: () => void
  readonly clock?: Clock
}

function firstHeaderValue (request: IncomingMessage, name: string): string | undefined {
  const value = request.headers[name]
  return Array.isArray(value) ? value[0] : value
}

/**
 * Stand-in backend server. Runs calls in a limited number of slots, makes their
 * sub-calls through the node on its VM and injects faults on request.
 */
export class BackendServer {
  readonly server: Server
  readonly #options: BackendServerOptions
  readonly #clock: Clock
  readonly #random: RandomSource
  readonly #slotQueue: SlotQueue
  readonly #subCalls: SubCallClient | undefined
  readonly #startedAtMs: Millis
  readonly #counts = {
    calls_count: 0, runs_count: 0, done_count: 0, failed_count: 0, cancelled_count: 0, shed_count: 0
  }

  #control: BackendControl = NO_FAULTS
  #previousAnswer: { callId: string, text: string } | undefined

  constructor (options: BackendServerOptions) {
    const { config, nodeAddress } = options
    this.#options = options
    this.#clock = options.clock ?? systemClock
    this.#random = seededRandom(config.seed)
    this.#slotQueue = new SlotQueue(config.slots_count, config.queue_count)
    this.#subCalls = nodeAddress === undefined ? undefined : new SubCallClient(nodeAddress, config.service)
    this.#startedAtMs = this.#clock.monotonicMs()
    this.server = createServer({ keepAliveTimeout: 60_000 }, (request, response) => {
      this.#handleRequest(request, response).catch(() => { response.destroy() })
    })
    this.server.maxConnections = config.connections_count
  }

  /** Applies a test control. Throws a ZodError if the input does not match the schema. */
  applyControl (input: unknown): void {
    this.#control = { ...this.#control, ...backendControlSchema.parse(input) }
  }

  /** Counters, slot usage and the current control, for tests. */
  state (): Record<string, unknown> {
    return {
      ...this.#counts,
      slots_used_count: this.#slotQueue.usedCount,
      waiting_count: this.#slotQueue.waitingCount,
      control: this.#control
    }
  }

  async close (): Promise<void> {
    this.server.close()
    this.server.closeAllConnections()
    await this.#subCalls?.close()
  }

  async #handleRequest (request: IncomingMessage, response: ServerResponse): Promise<void> {
    if (this.#control.refuse) {
      request.socket.resetAndDestroy()
      return
    }
    if (request.url === '/health') return this.#serveHealth(response)
    this.#counts.calls_count += 1
    const path = request.url ?? '/'
    const route = this.#options.config.routes
      .find(candidate => candidate.method === request.method && path.startsWith(candidate.path_prefix))
    const abort = new AbortController()
    response.on('close', () => { if (!response.writableFinished) abort.abort() })
    const body = await readBody(request)
    this.#crashOnMarker(body)
    if (route === undefined) return sendJson(response, 404, { fault: 'no such route' })
    this.#enqueue(this.#createRun(route, request, response, abort))
  }

  #serveHealth (response: ServerResponse): void {
    const occupancyCount = this.#slotQueue.usedCount + this.#slotQueue.waitingCount
    const { reported_load_ratio: loadRatio, reported_status: status } = this.#control
    sendJson(response, 200, {
      status: status ?? this.#healthStatus(),
      load_ratio: loadRatio ?? occupancyCount / this.#slotQueue.slotsCount,
      slots_used_count: this.#slotQueue.usedCount
    })
  }

  #healthStatus (): HealthStatus {
    if (this.#control.draining) return HealthStatus.Draining
    return this.#isCold() ? HealthStatus.Warming : HealthStatus.Ready
  }

  #isCold (): boolean {
    return this.#clock.monotonicMs() - this.#startedAtMs < this.#options.config.cold_start_ms
  }

  #crashOnMarker (body: Buffer): void {
    const marker = this.#control.crash_marker
    if (marker !== null && body.includes(marker)) (this.#options.crash ?? (() => process.exit(70)))()
  }

  #createRun (
    route: BackendRoute, request: IncomingMessage, response: ServerResponse, abort: AbortController
  ): Run {
    const deadlineMs = Number(firstHeaderValue(request, 'ragwortspur-deadline-ms') ?? Number.NaN)
    return {
      route,
      request,
      response,
      abort,
      rootId: firstHeaderValue(request, 'ragwortspur-root') ?? '',
      key: firstHeaderValue(request, 'idempotency-key'),
      callId: firstHeaderValue(request, 'ragwortspur-call') ?? '',
      deadlineAtMs: Number.isFinite(deadlineMs) ? this.#clock.monotonicMs() + deadlineMs : undefined
    }
  }

  #enqueue (run: Run): void {
    const cancelWait = this.#slotQueue.acquire(() => {
      this.#executeRun(run).catch(() => { run.response.destroy() }).finally(() => { this.#slotQueue.release() })
    })
    if (cancelWait === undefined) return this.#sendShed(run)
    run.abort.signal.addEventListener('abort', cancelWait)
  }

  #sendShed (run: Run): void {
    this.#counts.shed_count += 1
    run.response.setHeader('ragwortspur-backend-status', 'shed')
    this.#sendResponse(run, 503, JSON.stringify({ fault: 'shed' }))
  }

  async #executeRun (run: Run): Promise<void> {
    if (run.abort.signal.aborted) return
    if (this.#remainingMs(run) <= 0) return this.#sendShed(run)
    this.#counts.runs_count += 1
    this.#reportRunEvent(run, 'run_started', RunState.Started)
    const state = await this.#performWork(run)
    this.#reportRunEvent(run, 'run_ended', state)
    switch (state) {
      case RunState.Done:
        this.#counts.done_count += 1
        return await this.#sendAnswer(run)
      case RunState.Cancelled:
        this.#counts.cancelled_count += 1
        return
      case RunState.Failed:
      case RunState.Started:
        this.#counts.failed_count += 1
        run.response.setHeader('ragwortspur-backend-status', 'failed')
        return this.#sendResponse(run, 500, JSON.stringify({ fault: 'failed', root: run.rootId }))
    }
  }

  async #performWork (run: Run): Promise<RunState> {
    const { signal } = run.abort
    for (const call of this.#subCalls === undefined ? [] : run.route.sub_calls) {
      const remainingMs = run.deadlineAtMs === undefined ? undefined : this.#remainingMs(run)
      const { rootId, key } = run
      const hasSucceeded = await this.#subCalls?.call(call, {
        rootId, key, headers: run.request.headers, remainingMs, signal
      })
      if (signal.aborted) return RunState.Cancelled
      if (hasSucceeded !== true) return RunState.Failed
    }
    const workMs = this.#serviceTimeMs(run.route)
    await this.#sleep(Math.min(workMs, this.#remainingMs(run)), signal)
    if (signal.aborted) return RunState.Cancelled
    return this.#remainingMs(run) <= 0 ? RunState.Failed : RunState.Done
  }

  #remainingMs (run: Run): Millis {
    return run.deadlineAtMs === undefined ? Infinity : run.deadlineAtMs - this.#clock.monotonicMs()
  }

  #serviceTimeMs (route: BackendRoute): Millis {
    const coldFactor = this.#isCold() ? this.#options.config.cold_factor : 1
    const mean = route.service_time_ms * this.#control.slow_factor * coldFactor
    switch (route.service_time_kind) {
      case ServiceTimeKind.Fixed: return mean
      case ServiceTimeKind.Exponential: return sampleExponential(this.#random, mean)
    }
  }

  async #sleep (durationMs: Millis, signal: AbortSignal): Promise<void> {
    if (durationMs <= 0 || signal.aborted) return
    await new Promise<void>(resolve => {
      const finish = (): void => {
        clearTimeout(timer)
        signal.removeEventListener('abort', finish)
        resolve()
      }
      const timer = setTimeout(finish, durationMs)
      signal.addEventListener('abort', finish)
    })
  }

  #reportRunEvent (run: Run, event: RunEvent['event'], state: RunState): void {
    if (run.key === undefined) return
    this.#options.onRunEvent({
      event,
      service: this.#options.config.service,
      root: run.rootId,
      key: run.key,
      call: run.callId,
      at_ms: this.#clock.wallMs(),
      state
    })
  }

  async #sendAnswer (run: Run): Promise<void> {
    const text = answerText({
      rootId: run.rootId,
      serviceName: this.#options.config.service,
      runNumber: Math.floor(this.#random() * 1e9)
    })
    const previous = this.#previousAnswer
    this.#previousAnswer = { callId: run.callId, text }
    const fault = this.#random() < this.#control.fault_ratio ? this.#control.answer_fault : AnswerFault.None
    switch (fault) {
      case AnswerFault.None: return this.#sendResponse(run, 200, text)
      case AnswerFault.Late:
        await this.#sleep(this.#control.late_ms, run.abort.signal)
        return this.#sendResponse(run, 200, text)
      case AnswerFault.Crossed:
        return this.#sendResponse(run, 200, previous?.text ?? text, previous?.callId ?? run.callId)
      case AnswerFault.Truncated:
        run.response.writeHead(200, { 'content-length': text.length, 'ragwortspur-call': run.callId })
        run.response.write(text.slice(0, text.length / 2), () => { run.response.destroy() })
    }
  }

  #sendResponse (run: Run, status: number, text: string, callId = run.callId): void {
    if (this.#control.draining) run.response.setHeader('ragwortspur-backend-status', 'draining')
    run.response.writeHead(status, {
      'content-type': 'application/json', 'content-length': Buffer.byteLength(text), 'ragwortspur-call': callId
    })
    run.response.end(text)
  }
}
