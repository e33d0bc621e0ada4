import type { Clock, Millis } from '../clock/clock.js'
import { chainAdmissionDefinition } from '../core/chainAdmission/chainAdmissionDefinition.js'
import { SENDS_MAX_COUNT } from '../core/chainAdmission/completion.js'
import { mayRepeat } from '../core/configuration/requestKind.js'
import type { DiscoveryDb } from '../core/discovery/discoveryDb.js'
import { discoveryDefinition } from '../core/discovery/discoveryDefinition.js'
import type { ListedServer } from '../core/discovery/discoveryTypes.js'
import type { PlacementDb } from '../core/placement/placementDb.js'
import { placementDefinition } from '../core/placement/placementDefinition.js'
import { SendOutcome } from '../core/placement/placementTypes.js'
import { fleetRetryBudgetDefinition } from '../core/fleetRetryBudget/fleetRetryBudgetDefinition.js'
import type { IncomingRequest } from '../http/callerServer.js'
import { AwaySends } from './awaySends.js'
import { OwnAnswer, type CallerDialect, type CallerRequest } from './callerDialect.js'
import { EntryCall, type Attempt } from './entryCall.js'
import {
  UnknownOutcomeReason, RefusalReason, type DispatchedCall, type DispatchHandle, type DispatchListener,
  type DispatchResult, type ResultReport
} from './meshTypes.js'
import type { NodeLog } from './nodeLog.js'
import type { NodeMetrics } from './nodeMetrics.js'
import { identifyProven, RequestGate, retryAfterRefusalMs, type Refusal, type RequestGateOptions } from './requestGate.js'

/** Used for a request that states no timeout. */
const REQUEST_TIMEOUT_DEFAULT_MS: Millis = 30_000
/** Nodes tried one after the other before a call is refused; each costs a round trip. */
const REFUSALS_MAX_COUNT = 3
/** Timeouts are rounded up to this granularity, so that several expire in one wake-up of the event loop. */
const TIMER_GRANULARITY_MS: Millis = 5
/** Longest wait of a root request for a slot, as a share of its latency objective; after that it is refused. */
const ROOT_QUEUE_WAIT_RATIO = 1 / 8
/** Longest wait of a sub-call, as a share of its remaining time: it waits longer, since its root already did work. */
const SUB_CALL_QUEUE_WAIT_RATIO = 0.5
/** Added to the rank of root requests, so that the sub-calls of running requests start before them. */
const ROOT_RANK_OFFSET = 100
/** Utilization of a service whose servers are all at the limits that they name. */
const SATURATED_UTILIZATION_RATIO = 1.5
/** First status of server errors (RFC 9110, section 15.6). */
const SERVER_ERROR_STATUS_MIN = 500

type AnsweredResult = Extract<DispatchResult, { kind: 'answered' }>

export interface EntryTaskOptions extends RequestGateOptions {
  readonly clock: Clock
  readonly log: NodeLog
  readonly dialect: CallerDialect
  readonly discovery: DiscoveryDb
  readonly placement: PlacementDb
  readonly metrics: NodeMetrics
  /** When servers have to answer what is sent to them now, by the monotonic clock: before a stopping process ends. */
  readonly answerByMs: () => Millis
  /** Sends a call to the node of a backend server, or to this node's backend server. */
  readonly dispatch: (server: ListedServer, call: DispatchedCall, listener: DispatchListener) => DispatchHandle
}

/** Routes the requests of callers on this VM to backend servers, retries them and answers the callers. */
export class EntryTask {
  readonly #options: EntryTaskOptions
  readonly #gate: RequestGate
  readonly #awaySends: AwaySends
  readonly #calls = new Set<EntryCall>()

  constructor (options: EntryTaskOptions) {
    this.#options = options
    this.#gate = new RequestGate(options)
    this.#awaySends = new AwaySends(options)
  }

  /** When the last request arrived. */
  lastReceivedAtMs: Millis = -Infinity

  get openCount (): number {
    return this.#calls.size
  }

  receive (incoming: IncomingRequest): void {
    const { clock, dialect } = this.#options
    const nowMs = clock.monotonicMs()
    this.lastReceivedAtMs = nowMs
    const request = dialect.readRequest(incoming.head)
    const decision = this.#gate.decide(request, nowMs)
    if (decision.kind === 'refuse') {
      this.#refuse(incoming, request, decision)
      return
    }
    const timeoutMs = Math.min(request.timeoutMs ?? REQUEST_TIMEOUT_DEFAULT_MS, decision.rule.timeoutMs ?? Infinity)
    const call = new EntryCall(incoming, request, decision, nowMs, incoming.beganAtMs + timeoutMs)
    this.#calls.add(call)
    incoming.onCallerGone = () => this.#onCallerGone(call)
    const delayMs = Math.max(0, Math.ceil((call.deadlineAtMs - nowMs) / TIMER_GRANULARITY_MS) * TIMER_GRANULARITY_MS)
    call.timer = setTimeout(() => this.#timeOut(call), delayMs)
    this.#startAttempt(call)
  }

  /** Answers a request that starts no call. */
  #refuse (incoming: IncomingRequest, request: CallerRequest, refusal: Refusal): void {
    const { answer, reason, retryAfterMs, rule, fields } = refusal
    const { configuration, dialect, log, metrics } = this.#options
    log.requestFailed(rule === null ? 'refused' : answer, {
      request: request.requestId,
      ...(rule === null ? {} : { route: rule.name }),
      reason,
      ...fields,
      version: configuration.current?.version ?? 0
    })
    if (rule !== null) metrics.incrementCounter('answers', { kind: answer, route: rule.name })
    metrics.incrementCounter('own_answers', { reason })
    if (reason === RefusalReason.ConfigurationUnproven) {
      metrics.incrementCounter('unproven_refusals', { workspace: String(fields['workspace']) })
    }
    incoming.answer(dialect.createOwnAnswer(answer, reason, retryAfterMs))
  }

  #startAttempt (call: EntryCall): void {
    const { clock, discovery, placement, random, dispatch } = this.#options
    if (!this.#checkKey(call)) {
      this.#answerWithoutResult(call)
      return
    }
    const nowMs = clock.monotonicMs()
    if (nowMs >= this.#options.answerByMs()) {
      call.lastRefusal = RefusalReason.Stopping
      this.#answerWithoutResult(call)
      return
    }
    const servers = discoveryDefinition.serversOf(discovery, call.serviceName)
    const choice = placementDefinition.choose(placement, call.hasReachedAllServers
      ? { servers: servers.filter(({ serverId }) => call.refusedByServerIds.has(serverId)), triedServerIds: [] }
      : { servers, triedServerIds: call.triedServerIds }, nowMs, random)
    if (choice === undefined) {
      this.#answerWithoutResult(call)
      return
    }
    const { server, awayReason } = choice
    if (awayReason !== null) this.#awaySends.record(call.serviceName, awayReason)
    call.triedServerIds.push(server.serverId)
    const attempt: Attempt = { server, startedAtMs: nowMs, handle: null, isUnresponsive: false }
    call.attempts.push(attempt)
    placementDefinition.recordSend(placement, server)
    const handle = dispatch(server, this.#dispatchedCall(call, server, nowMs), {
      onResult: (result, report) => this.#onResult(call, attempt, result, report),
      onUnresponsive: () => this.#onUnresponsive(call, attempt)
    })
    attempt.handle = handle
  }

  /**
   * Checks before each send of a call with a workspace that its key is still one of the configuration in force, where
   * strict revocation is demanded: it may have been taken away since the request arrived.
   */
  #checkKey (call: EntryCall): boolean {
    if (this.#options.proof === null || call.identity.kind !== 'workspace') return true
    const identity = identifyProven(this.#options, {
      key: call.request.key, allowsAnonymous: call.rule.allowsAnonymous, isSubCall: false
    })
    switch (identity.kind) {
      case 'workspace':
      case 'anonymous':
        call.identity = identity
        return true
      case 'unknown':
        call.lastRefusal = RefusalReason.UnknownKey
        return false
      case 'unproven':
        call.lastRefusal = RefusalReason.ConfigurationUnproven
        return false
    }
  }

  #dispatchedCall (call: EntryCall, server: ListedServer, nowMs: Millis): DispatchedCall {
    const remainingMs = Math.min(call.deadlineAtMs, this.#options.answerByMs()) - nowMs
    return {
      serviceName: call.serviceName,
      serverId: server.serverId,
      requestId: call.request.requestId,
      method: call.incoming.head.method,
      target: call.incoming.head.target,
      headerText: call.request.headerText,
      body: call.incoming.body,
      remainingMs,
      queueWaitMaxMs: call.parent === null
        ? call.rule.latencyObjectiveMs * ROOT_QUEUE_WAIT_RATIO
        : remainingMs * SUB_CALL_QUEUE_WAIT_RATIO,
      rank: call.traceContext.rootImportanceRank + (call.parent === null ? ROOT_RANK_OFFSET : 0),
      mayRepeat: mayRepeat(call.rule.requestKind),
      knownLimitPerS: placementDefinition.limitOf(this.#options.placement, server),
      workspaceName: call.workspaceName,
      traceContext: call.reachedSendsCount > 0 ? { ...call.traceContext, isRetry: true } : call.traceContext
    }
  }

  #onResult (call: EntryCall, attempt: Attempt, result: DispatchResult, report: ResultReport | null): void {
    const { clock, placement } = this.#options
    const nowMs = clock.monotonicMs()
    attempt.handle = null
    if (report !== null) this.#applyReport(call, attempt, result, report, nowMs)
    placementDefinition.recordOutcome(placement, attempt.server, toSendOutcome(result), nowMs)
    if (call.isEnded) return
    switch (result.kind) {
      case 'answered':
        this.#forwardAnswer(call, result, nowMs)
        return
      case 'not_run':
        call.lastRefusal = result.reason
        if (result.reachedBackend) call.recordRefusedBy(attempt.server, result.reason)
        this.#retryAfterRefusal(call, result.reachedBackend)
        return
      case 'unknown':
        call.recordReached(attempt.server)
        call.mayHaveRun = true
        call.lastUnknownReason = result.reason
        this.#retryAfterUnknownOutcome(call)
    }
  }

  #forwardAnswer (call: EntryCall, result: AnsweredResult, nowMs: Millis): void {
    const { configuration, log, metrics } = this.#options
    const { name } = call.rule
    const fields = {
      request: call.request.requestId,
      route: name,
      servers: call.triedServerIds.join(','),
      status: result.statusCode,
      took_ms: Math.round(nowMs - call.arrivedAtMs),
      version: configuration.current?.version,
      revision: this.#options.discovery.revision
    }
    const isFailed = result.statusCode >= SERVER_ERROR_STATUS_MIN
    if (isFailed) call.parent?.recordFailedSubCall()
    if (isFailed) log.requestFailed('answered', fields)
    else log.requestServed('answered', fields)
    metrics.incrementCounter('answers', { kind: 'backend', route: name })
    metrics.observeDuration('request_ms', { route: name }, nowMs - call.arrivedAtMs)
    metrics.observeDuration('added_ms', {}, nowMs - call.arrivedAtMs - result.servedMs)
    this.#close(call)
    call.incoming.answer(result)
  }

  #applyReport (
    call: EntryCall, attempt: Attempt, result: DispatchResult, report: ResultReport, nowMs: Millis
  ): void {
    const { load, usage, arrivals, signals } = report
    const { chainAdmission, fleetRetryBudget, placement } = this.#options
    fleetRetryBudgetDefinition.recordArrivalReport(
      fleetRetryBudget, call.serviceName, attempt.server.serverId, arrivals, nowMs
    )
    placementDefinition.recordLoadReport(placement, attempt.server, load, nowMs, usage[0]?.slotMs)
    placementDefinition.recordSignals(placement, attempt.server, signals, nowMs)
    chainAdmissionDefinition.recordUtilization(chainAdmission, usage, nowMs)
    if (call.parent !== null) {
      call.parent.addDownstreamUsage(usage)
      return
    }
    if (result.kind === 'answered' && result.statusCode < SERVER_ERROR_STATUS_MIN) {
      chainAdmissionDefinition.recordRequestCost(chainAdmission, call.rootRequest, usage, nowMs)
    } else if (usage.some(({ refusedRatio }) => refusedRatio !== null && refusedRatio > 0)) {
      chainAdmissionDefinition.recordFailedRequestCost(chainAdmission, call.rootRequest, usage, nowMs)
    }
  }

  /**
   * Tries another backend server after a refusal. An attempt that reached no backend
   * server costs the fleet nothing, so it does not use up the retry budget.
   */
  #retryAfterRefusal (call: EntryCall, reachedBackend: boolean): void {
    if (call.openAttempts.length > 0) return
    call.refusalsCount += 1
    const mayRetry = reachedBackend ? this.#tryTakeRetry(call) : call.refusalsCount < REFUSALS_MAX_COUNT
    if (mayRetry) this.#startAttempt(call)
    else this.#answerWithoutResult(call)
  }

  /** Retries a call that may have run, if its route allows repeats. */
  #retryAfterUnknownOutcome (call: EntryCall): void {
    if (call.openAttempts.length > 0) return
    if (mayRepeat(call.rule.requestKind) && this.#tryTakeRetry(call)) this.#startAttempt(call)
    else this.#answerWithoutResult(call)
  }

  /** Whether the call may be sent to a backend server once more; if so, deducts it from the service's retry budget. */
  #tryTakeRetry (call: EntryCall): boolean {
    const nowMs = this.#options.clock.monotonicMs()
    if (nowMs >= call.deadlineAtMs || call.reachedSendsCount >= SENDS_MAX_COUNT) return false
    if (call.hasReachedAllServers && call.refusedByServerIds.size === 0) return false
    const isAllowed = fleetRetryBudgetDefinition.tryTakeRetry(this.#options.fleetRetryBudget, {
      serviceName: call.serviceName,
      serversCount: discoveryDefinition.serversOf(this.#options.discovery, call.serviceName).length,
      isServiceRefusing: chainAdmissionDefinition.isRefusing(this.#options.chainAdmission, call.serviceName, nowMs),
      ...call.traceContext
    }, nowMs)
    this.#options.metrics.incrementCounter('second_sends', { allowed: String(isAllowed), service: call.serviceName })
    return isAllowed
  }

  /** Retries a repeatable call on another backend server while the unresponsive node may still answer. */
  #onUnresponsive (call: EntryCall, attempt: Attempt): void {
    if (call.isEnded || attempt.isUnresponsive) return
    attempt.isUnresponsive = true
    if (!mayRepeat(call.rule.requestKind) || call.openAttempts.some(open => !open.isUnresponsive)) return
    call.mayHaveRun = true
    call.recordReached(attempt.server)
    if (this.#tryTakeRetry(call)) this.#startAttempt(call)
  }

  /** Sends an answer of the node itself for a call that is not retried, unless another attempt is still open. */
  #answerWithoutResult (call: EntryCall): void {
    if (call.openAttempts.length > 0) return
    if (call.lastRefusal === RefusalReason.ServerLimit) this.#recordSaturation(call)
    if (call.mayHaveRun) this.#sendOwnAnswer(call, OwnAnswer.UnknownOutcome, call.lastUnknownReason ?? 'unknown')
    else if (call.lastRefusal === RefusalReason.UnknownKey) {
      this.#sendOwnAnswer(call, OwnAnswer.UnknownKey, call.lastRefusal)
    } else this.#sendOwnAnswer(call, OwnAnswer.NotRunRetryLater, call.lastRefusal)
  }

  /**
   * Records that the limits of a service's servers leave no room for a call, so that root requests whose chains
   * contain the service are refused before they cause work. A single server at its limit says nothing of the others.
   */
  #recordSaturation (call: EntryCall): void {
    const usage = [{
      serviceName: call.serviceName,
      slotMs: 0,
      utilizationRatio: SATURATED_UTILIZATION_RATIO,
      callsCount: 0,
      refusedRatio: null,
      reportsCount: 0
    }]
    const { chainAdmission, clock } = this.#options
    chainAdmissionDefinition.recordUtilization(chainAdmission, usage, clock.monotonicMs())
    call.parent?.addDownstreamUsage(usage)
  }

  #timeOut (call: EntryCall): void {
    if (call.isEnded) return
    const mayHaveRun = call.mayHaveRun || call.openAttempts.length > 0
    if (mayHaveRun) this.#sendOwnAnswer(call, OwnAnswer.TimedOut, UnknownOutcomeReason.TimedOut)
    else this.#sendOwnAnswer(call, OwnAnswer.NotRunRetryLater, call.lastRefusal)
  }

  #sendOwnAnswer (call: EntryCall, answer: OwnAnswer, reason: string): void {
    const { clock, dialect, discovery, log, configuration } = this.#options
    const nowMs = clock.monotonicMs()
    log.requestFailed(answer, {
      request: call.request.requestId,
      route: call.rule.name,
      service: call.serviceName,
      reason,
      servers: call.triedServerIds.join(',') || 'none',
      held_ms: Math.round(nowMs - call.arrivedAtMs),
      left_ms: Math.round(call.deadlineAtMs - nowMs),
      version: configuration.current?.version,
      revision: discovery.revision,
      list_age_ms: Math.round(nowMs - discovery.newestReadAtMs)
    })
    call.parent?.recordFailedSubCall()
    this.#options.metrics.incrementCounter('answers', { kind: answer, route: call.rule.name })
    this.#options.metrics.incrementCounter('own_answers', { reason })
    this.#close(call)
    const isRetryLater = answer === OwnAnswer.NotRunRetryLater
    if (isRetryLater && call.workspaceName !== null) this.#options.allotment.giveBack(call.workspaceName)
    const retryAfterMs = isRetryLater ? retryAfterRefusalMs(call.rule, this.#options.random) : null
    call.incoming.answer(dialect.createOwnAnswer(answer, reason, retryAfterMs))
  }

  #onCallerGone (call: EntryCall): void {
    if (call.isEnded) return
    this.#options.log.requestFailed('caller_left', {
      request: call.request.requestId,
      route: call.rule.name,
      held_ms: Math.round(this.#options.clock.monotonicMs() - call.arrivedAtMs)
    })
    this.#close(call)
  }

  /** Ends the call and cancels its open attempts. */
  #close (call: EntryCall): void {
    call.isEnded = true
    this.#calls.delete(call)
    if (call.timer !== null) clearTimeout(call.timer)
    const nowMs = this.#options.clock.monotonicMs()
    for (const attempt of call.openAttempts) {
      attempt.handle?.cancel()
      attempt.handle = null
      placementDefinition.recordOutcome(this.#options.placement, attempt.server, SendOutcome.Cancelled, nowMs)
    }
  }
}

function toSendOutcome (result: DispatchResult): SendOutcome {
  switch (result.kind) {
    case 'answered': return result.statusCode >= SERVER_ERROR_STATUS_MIN ? SendOutcome.Failed : SendOutcome.Served
    case 'not_run': {
      if (result.reason === RefusalReason.ServerReplaced) return SendOutcome.Lost
      if (result.reachedBackend) return SendOutcome.Shed
      return result.reason === RefusalReason.ConnectFailed ? SendOutcome.Lost : SendOutcome.Refused
    }
    case 'unknown': return SendOutcome.Lost
  }
}
