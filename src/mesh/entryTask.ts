import type { Clock, Millis } from '../clock/clock.js'
import type { ChainAdmissionDb } from '../core/chainAdmission/chainAdmissionDb.js'
import { chainAdmissionDefinition } from '../core/chainAdmission/chainAdmissionDefinition.js'
import type { ConfigurationDb } from '../core/configuration/configurationDb.js'
import { configurationDefinition } from '../core/configuration/configurationDefinition.js'
import type { RouteRule } from '../core/configuration/configurationTypes.js'
import type { RandomSource } from '../core/coreTypes.js'
import type { DiscoveryDb } from '../core/discovery/discoveryDb.js'
import { discoveryDefinition } from '../core/discovery/discoveryDefinition.js'
import type { ListedServer } from '../core/discovery/discoveryTypes.js'
import type { PlacementDb } from '../core/placement/placementDb.js'
import { placementDefinition } from '../core/placement/placementDefinition.js'
import { SendOutcome } from '../core/placement/placementTypes.js'
import type { SecondSendsDb } from '../core/secondSends/secondSendsDb.js'
import { secondSendsDefinition } from '../core/secondSends/secondSendsDefinition.js'
import type { IncomingRequest } from '../http/callerServer.js'
import { OwnAnswer, type CallerDialect } from './callerDialect.js'
import { EntryCall, type Send } from './entryCall.js'
import type { Execution } from './executor.js'
import {
  LossReason, RefusalReason, type PlacedCall, type PlacedHandle, type PlacedListener, type PlacedResult,
  type ResultReport
} from './meshTypes.js'
import type { LogFields, NodeLog } from './nodeLog.js'
import type { NodeMetrics } from './nodeMetrics.js'

/** Time given to a request whose caller names none. */
const PATIENCE_DEFAULT_MS: Millis = 30_000
/** Nodes asked in turn before a call is refused for lack of room; each costs a round trip. */
const REFUSALS_MAX_COUNT = 3
/** Timers that fire within the same slice share one wake-up. */
const TIMER_SLICE_MS: Millis = 5
/** Part of its objective for which a request from outside may wait for a slot; later it is better refused. */
const ROOT_WAIT_RATIO = 1 / 8
/** Part of its time for which a call may wait on whose behalf work was done already. */
const SUB_CALL_WAIT_RATIO = 0.5
/** Ranks of requests from outside begin here, behind all calls that running requests need. */
const ROOT_RANK_OFFSET = 100
/** A refused request comes back after this part of its objective, so that it can still be answered within it. */
const RETRY_AFTER_LEAST_RATIO = 0.25
/** Spread of the return of refused requests, as a part of the objective. */
const RETRY_AFTER_SPREAD_RATIO = 0.25
/** Answers from here on say that the server failed (RFC 9110, section 15.6). */
const FAILED_STATUS = 500
/** Used where no route tells an objective. */
const RETRY_AFTER_DEFAULT_MS: Millis = 500

type AnsweredResult = Extract<PlacedResult, { kind: 'answered' }>

export interface EntryTaskOptions {
  readonly clock: Clock
  readonly random: RandomSource
  readonly log: NodeLog
  readonly dialect: CallerDialect
  readonly configuration: ConfigurationDb
  readonly discovery: DiscoveryDb
  readonly placement: PlacementDb
  readonly secondSends: SecondSendsDb
  readonly chainAdmission: ChainAdmissionDb
  readonly metrics: NodeMetrics
  /** The call that the own backend server is running for a request id, if any. */
  readonly runningCall: (requestId: string) => Execution | undefined
  /** Hands a call to a server's node, or to the own backend server. */
  readonly place: (server: ListedServer, call: PlacedCall, listener: PlacedListener) => PlacedHandle
}

/** The task that takes requests of callers on this VM and sees to their answers. */
export class EntryTask {
  readonly #options: EntryTaskOptions
  readonly #calls = new Set<EntryCall>()

  constructor (options: EntryTaskOptions) {
    this.#options = options
  }

  /** When the last request came. */
  lastReceivedAtMs: Millis = -Infinity

  get openCount (): number {
    return this.#calls.size
  }

  receive (incoming: IncomingRequest): void {
    const { clock, configuration, dialect, random } = this.#options
    const nowMs = clock.monotonicMs()
    this.lastReceivedAtMs = nowMs
    const request = dialect.readRequest(incoming.head)
    if (configuration.current === null) {
      this.#refuseUnplanned(incoming, OwnAnswer.NotRunRetryLater, RefusalReason.NoConfiguration, request.requestId)
      return
    }
    const rule = configurationDefinition.matchRoute(configuration, request.host, request.path)
    if (rule === undefined) {
      this.#refuseUnplanned(incoming, OwnAnswer.NoRoute, 'no_route', request.requestId)
      return
    }
    const patienceMs = Math.min(request.patienceMs ?? PATIENCE_DEFAULT_MS, rule.timeoutMs ?? Infinity)
    const serviceName = configurationDefinition.choosePart(configuration, rule, random)
    const parent = request.parentRequestId === '' ? undefined : this.#options.runningCall(request.parentRequestId)
    const call = new EntryCall(
      incoming, request, rule, serviceName, nowMs, incoming.beganAtMs + patienceMs, parent ?? null
    )
    secondSendsDefinition.request(this.#options.secondSends, serviceName, nowMs)
    if (call.lineage.isRepeat) secondSendsDefinition.repeated(this.#options.secondSends, serviceName, nowMs)
    if (!this.#mayEnter(call, nowMs)) return
    this.#calls.add(call)
    incoming.onGone = () => this.#abandon(call)
    const delayMs = Math.max(0, Math.ceil((call.deadlineAtMs - nowMs) / TIMER_SLICE_MS) * TIMER_SLICE_MS)
    call.timer = setTimeout(() => this.#timeOut(call), delayMs)
    this.#send(call)
  }

  /** Asks for a request from outside whether its chain of services has room; refuses it at once if not. */
  #mayEnter (call: EntryCall, nowMs: Millis): boolean {
    if (call.parent !== null) return true
    const { chainAdmission, random } = this.#options
    const verdict = chainAdmissionDefinition.ask(
      chainAdmission, { routeName: call.rule.name, importanceRank: call.rule.importanceRank }, nowMs, random
    )
    if (verdict.kind === 'admit') return true
    this.#finish(call, OwnAnswer.NotRunRetryLater, RefusalReason.ChainOverload, {
      limited_by: verdict.limitedBy,
      admitted_ratio: Number(verdict.admittedRatio.toFixed(2)),
      utilization: Number(verdict.utilizationRatio.toFixed(2))
    })
    return false
  }

  #refuseUnplanned (incoming: IncomingRequest, answer: OwnAnswer, reason: string, requestId: string): void {
    this.#options.log.decision('refused', {
      request: requestId, reason, version: this.#options.configuration.current?.version ?? 0
    })
    incoming.answer(this.#options.dialect.ownAnswer(
      answer, reason, answer === OwnAnswer.NotRunRetryLater ? this.#retryAfterMs(null) : null
    ))
  }

  #send (call: EntryCall): void {
    const { clock, discovery, placement, random, place } = this.#options
    const nowMs = clock.monotonicMs()
    const server = placementDefinition.choose(placement, {
      servers: discoveryDefinition.serversOf(discovery, call.serviceName), triedServerIds: call.triedServerIds
    }, nowMs, random)
    if (server === undefined) {
      this.#giveUp(call)
      return
    }
    call.triedServerIds.push(server.serverId)
    const send: Send = { server, sentAtMs: nowMs, handle: null, isSilent: false }
    call.sends.push(send)
    placementDefinition.sent(placement, server)
    const handle = place(server, this.#placedCall(call, server, nowMs), {
      onResult: (result, report) => this.#onResult(call, send, result, report),
      onSilent: () => this.#onSilent(call, send)
    })
    send.handle = handle
  }

  #placedCall (call: EntryCall, server: ListedServer, nowMs: Millis): PlacedCall {
    const remainingMs = call.deadlineAtMs - nowMs
    return {
      serviceName: call.serviceName,
      serverId: server.serverId,
      requestId: call.request.requestId,
      method: call.incoming.head.method,
      target: call.incoming.head.target,
      headerText: call.request.headerText,
      body: call.incoming.body,
      remainingMs,
      waitMaxMs: call.parent === null
        ? call.rule.latencyObjectiveMs * ROOT_WAIT_RATIO
        : remainingMs * SUB_CALL_WAIT_RATIO,
      rank: call.lineage.rootRank + (call.parent === null ? ROOT_RANK_OFFSET : 0),
      isIdempotent: call.rule.isIdempotent,
      lineage: call.mayHaveRun ? { ...call.lineage, isRepeat: true } : call.lineage
    }
  }

  #onResult (call: EntryCall, send: Send, result: PlacedResult, report: ResultReport | null): void {
    const { clock, placement } = this.#options
    const nowMs = clock.monotonicMs()
    send.handle = null
    if (report !== null) this.#takeReport(call, send, result, report, nowMs)
    placementDefinition.ended(placement, send.server, outcomeOf(result), nowMs)
    if (call.isEnded) return
    switch (result.kind) {
      case 'answered':
        this.#deliver(call, result, nowMs)
        return
      case 'not_run':
        call.lastRefusal = result.reason
        if (result.reachedBackend) call.reachedCount += 1
        this.#afterRefusal(call, result.reachedBackend)
        return
      case 'unknown':
        call.reachedCount += 1
        call.mayHaveRun = true
        call.lastLoss = result.reason
        this.#afterLoss(call)
    }
  }

  #deliver (call: EntryCall, result: AnsweredResult, nowMs: Millis): void {
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
    if (result.statusCode >= FAILED_STATUS) log.decision('answered', fields)
    else log.served('answered', fields)
    metrics.count('answers', { kind: 'backend', route: name })
    metrics.time('request_ms', { route: name }, nowMs - call.arrivedAtMs)
    metrics.time('added_ms', {}, nowMs - call.arrivedAtMs - result.servedMs)
    this.#end(call)
    call.incoming.answer(result)
  }

  #takeReport (call: EntryCall, send: Send, result: PlacedResult, { load, usage }: ResultReport, nowMs: Millis): void {
    const { chainAdmission, placement } = this.#options
    placementDefinition.report(placement, send.server, load, nowMs)
    chainAdmissionDefinition.observe(chainAdmission, usage, nowMs)
    if (call.parent !== null) call.parent.addUsage(usage)
    else if (result.kind === 'answered' && result.statusCode < FAILED_STATUS) {
      const { name, importanceRank } = call.rule
      chainAdmissionDefinition.learn(chainAdmission, { routeName: name, importanceRank }, usage, nowMs)
    }
  }

  /** Another server may have room; a send that reached no backend server costs the fleet nothing. */
  #afterRefusal (call: EntryCall, reachedBackend: boolean): void {
    if (call.openSends.length > 0) return
    call.refusalsCount += 1
    const mayGoOn = reachedBackend ? this.#mayRepeat(call) : call.refusalsCount < REFUSALS_MAX_COUNT
    if (mayGoOn) this.#send(call)
    else this.#giveUp(call)
  }

  #afterLoss (call: EntryCall): void {
    if (call.openSends.length > 0) return
    if (call.rule.isIdempotent && this.#mayRepeat(call)) this.#send(call)
    else this.#giveUp(call)
  }

  #mayRepeat (call: EntryCall): boolean {
    const nowMs = this.#options.clock.monotonicMs()
    if (call.reachedCount >= call.rule.attemptsMaxCount || nowMs >= call.deadlineAtMs) return false
    const isAllowed = secondSendsDefinition.take(this.#options.secondSends, call.serviceName, nowMs)
    this.#options.metrics.count('second_sends', { allowed: String(isAllowed), service: call.serviceName })
    return isAllowed
  }

  #onSilent (call: EntryCall, send: Send): void {
    if (call.isEnded || send.isSilent) return
    send.isSilent = true
    if (!call.rule.isIdempotent || call.openSends.some(open => !open.isSilent)) return
    call.mayHaveRun = true
    call.reachedCount += 1
    if (this.#mayRepeat(call)) this.#send(call)
  }

  /** No server is left to ask: answers at once. */
  #giveUp (call: EntryCall): void {
    if (call.openSends.length > 0) return
    if (call.mayHaveRun) this.#finish(call, OwnAnswer.UnknownOutcome, call.lastLoss ?? 'unknown')
    else this.#finish(call, OwnAnswer.NotRunRetryLater, call.lastRefusal)
  }

  #timeOut (call: EntryCall): void {
    if (call.isEnded) return
    const mayHaveRun = call.mayHaveRun || call.openSends.length > 0
    if (mayHaveRun) this.#finish(call, OwnAnswer.TimedOut, LossReason.TimedOut)
    else this.#finish(call, OwnAnswer.NotRunRetryLater, call.lastRefusal)
  }

  #finish (call: EntryCall, answer: OwnAnswer, reason: string, inputs: LogFields = {}): void {
    const { clock, dialect, discovery, log, configuration } = this.#options
    const nowMs = clock.monotonicMs()
    log.decision(answer, {
      request: call.request.requestId,
      route: call.rule.name,
      service: call.serviceName,
      reason,
      servers: call.triedServerIds.join(',') || 'none',
      held_ms: Math.round(nowMs - call.arrivedAtMs),
      left_ms: Math.round(call.deadlineAtMs - nowMs),
      ...inputs,
      version: configuration.current?.version,
      revision: discovery.revision,
      list_age_ms: Math.round(nowMs - discovery.freshAtMs)
    })
    this.#options.metrics.count('answers', { kind: answer, route: call.rule.name })
    this.#options.metrics.count('own_answers', { reason })
    this.#end(call)
    const retryAfterMs = answer === OwnAnswer.NotRunRetryLater ? this.#retryAfterMs(call.rule) : null
    call.incoming.answer(dialect.ownAnswer(answer, reason, retryAfterMs))
  }

  #retryAfterMs (rule: RouteRule | null): Millis {
    if (rule === null) return RETRY_AFTER_DEFAULT_MS
    return rule.latencyObjectiveMs * (RETRY_AFTER_LEAST_RATIO + this.#options.random() * RETRY_AFTER_SPREAD_RATIO)
  }

  #abandon (call: EntryCall): void {
    if (call.isEnded) return
    this.#options.log.decision('caller_left', {
      request: call.request.requestId,
      route: call.rule.name,
      held_ms: Math.round(this.#options.clock.monotonicMs() - call.arrivedAtMs)
    })
    this.#end(call)
  }

  #end (call: EntryCall): void {
    call.isEnded = true
    this.#calls.delete(call)
    if (call.timer !== null) clearTimeout(call.timer)
    const nowMs = this.#options.clock.monotonicMs()
    for (const send of call.openSends) {
      send.handle?.cancel()
      send.handle = null
      placementDefinition.ended(this.#options.placement, send.server, SendOutcome.Cancelled, nowMs)
    }
  }
}

function outcomeOf (result: PlacedResult): SendOutcome {
  switch (result.kind) {
    case 'answered': return result.statusCode >= FAILED_STATUS ? SendOutcome.Failed : SendOutcome.Served
    case 'not_run': {
      if (result.reachedBackend) return SendOutcome.Shed
      return result.reason === RefusalReason.ConnectFailed ? SendOutcome.Lost : SendOutcome.Refused
    }
    case 'unknown': return SendOutcome.Lost
  }
}
