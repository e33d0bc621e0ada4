import type { Millis } from '../clock/clock.js'
import { importanceOfLevel } from '../core/coreTypes.js'
import type { Importance } from '../core/coreTypes.js'
import type { VmEntry } from '../core/membership/membershipTypes.js'
import { getCall, isStopping } from '../core/nodeCore/nodeCoreDb.js'
import type { NodeCoreDb } from '../core/nodeCore/nodeCoreDb.js'
import { nodeCoreDefinition } from '../core/nodeCore/nodeCoreDefinition.js'
import type { IncomingCall, NodeCommand, NodeEvent } from '../core/nodeCore/nodeCoreTypes.js'
import { assertNever } from '../errors/errors.js'
import type { SoakFleet } from './soakFleet.js'
import { SoakGossip } from './soakGossip.js'
import type { NetworkEndpoint } from './soakNetwork.js'
import { FaultStep } from './soakTypes.js'
import type { Delivery, Exchange } from './soakTypes.js'
import { START_WALL_MS } from './soakSimulation.js'

const TICK_PERIOD_MS: Millis = 20
const POLL_PERIOD_MS: Millis = 100
/** Share of events after which the invariants are checked; a check costs more than handling most events. */
const CHECK_RATIO = 0.02

type ForwardCommand = Extract<NodeCommand, { kind: 'forward' }>

/** One node process: the production core, with its commands executed on simulated network and backend servers. */
export class SoakNode {
  readonly endpoint: NetworkEndpoint
  readonly entry: VmEntry
  readonly db: NodeCoreDb
  readonly #fleet: SoakFleet
  readonly gossip: SoakGossip
  readonly #clockSkewMs: Millis
  readonly #deliveries = new Map<string, Delivery>()
  readonly #sends = new Map<string, Exchange>()
  readonly #timerCancellers: Array<() => void> = []
  readonly #inbox: Array<() => void> = []
  #pausedUntilMs: Millis = 0
  isAlive = true
  isStopping = false

  constructor (fleet: SoakFleet, entry: VmEntry, incarnation: string) {
    this.#fleet = fleet
    this.entry = entry
    this.endpoint = { dataCentre: entry.dataCentre, endpointId: entry.vmId }
    this.#clockSkewMs = fleet.simulation.randomBetween(-900, 900)
    this.db = nodeCoreDefinition.createDb({
      nodeId: entry.vmId,
      incarnation,
      serviceName: entry.serviceName,
      dataCentre: entry.dataCentre,
      controlEnabled: true
    }, {}, fleet.simulation.random, this.#currentTime())
    this.gossip = new SoakGossip(fleet, this)
    this.#timerCancellers.push(fleet.simulation.scheduleEvery(TICK_PERIOD_MS, () => this.emit({ kind: 'tick' })))
    this.#timerCancellers.push(
      fleet.simulation.scheduleEvery(POLL_PERIOD_MS, () => this.runWhenResumed(() => this.#poll())))
    this.gossip.start()
    fleet.simulation.schedule(5, () => this.emit({ kind: 'backend_seen', status: fleet.backendOf(entry.vmId).status }))
  }

  get isPaused (): boolean {
    return this.#fleet.simulation.nowMs < this.#pausedUntilMs
  }

  /** Calls received and not answered, and sends without a result. */
  get openCount (): number {
    return this.#deliveries.size + this.#sends.size
  }

  pause (forMs: Millis): void {
    this.#pausedUntilMs = Math.max(this.#pausedUntilMs, this.#fleet.simulation.nowMs + forMs)
    this.#fleet.simulation.schedule(forMs, () => this.#drainInbox())
  }

  /** Runs a function now or, if the process is paused, after it resumes, in arrival order. */
  runWhenResumed (run: () => void): void {
    if (!this.isAlive) return
    if (this.isPaused || this.#inbox.length > 0) this.#inbox.push(run)
    else run()
  }

  kill (): void {
    this.isAlive = false
    for (const stop of this.#timerCancellers) stop()
    this.gossip.stop()
    for (const delivery of this.#deliveries.values()) delivery.onDropped()
    this.#deliveries.clear()
  }

  emit (event: NodeEvent): void {
    this.runWhenResumed(() => this.handle(event))
  }

  handle (event: NodeEvent): NodeCommand[] {
    const commands = nodeCoreDefinition.handle(this.db, event, this.#currentTime())
    for (const command of commands) this.#execute(command)
    if (this.#fleet.simulation.randomBool(CHECK_RATIO)) this.checkInvariants()
    if (this.#fleet.onFaultStep !== null) this.#reportReachedSteps(commands)
    return commands
  }

  checkInvariants (): void {
    // A paused process cannot end its calls, so the check uses the time of its last event.
    const nowMs = this.isPaused ? this.db.lastEventAtMs : this.#fleet.simulation.nowMs
    for (const { property, detail } of nodeCoreDefinition.violations(this.db, nowMs)) {
      this.#fleet.checks.addViolation(property, `${this.entry.vmId}: ${detail}`)
    }
  }

  receiveCall (delivery: Delivery): void {
    this.#reportFaultStep(FaultStep.Accept)
    this.runWhenResumed(() => {
      this.#deliveries.set(delivery.call.callId, delivery)
      this.handle({ kind: 'call_received', call: delivery.call })
    })
  }

  handleCallerGone (callId: string): void {
    this.emit({ kind: 'caller_gone', callId })
  }

  #reportFaultStep (step: FaultStep): void {
    this.#fleet.onFaultStep?.(step, this)
  }

  #reportReachedSteps (commands: readonly NodeCommand[]): void {
    const { calls, nodeState, backendState } = this.db
    if ([...calls.values()].some(state => state.chartState === 'queued')) this.#reportFaultStep(FaultStep.Queue)
    if (calls.size > 0 && (isStopping(this.db) || backendState === 'draining')) this.#reportFaultStep(FaultStep.Drain)
    if (nodeState === 'starting') this.#reportFaultStep(FaultStep.Start)
    const hasNewDocument = commands.some(command => command.kind === 'value_offered' &&
      command.key.startsWith('documents/') && command.result.kind === 'accepted')
    if (hasNewDocument) this.#reportFaultStep(FaultStep.DocumentSpread)
  }

  #currentTime (): { nowMs: Millis, wallMs: Millis } {
    const { nowMs } = this.#fleet.simulation
    return { nowMs, wallMs: START_WALL_MS + nowMs + this.#clockSkewMs }
  }

  #drainInbox (): void {
    while (this.isAlive && !this.isPaused) {
      const run = this.#inbox.shift()
      if (run === undefined) return
      run()
    }
  }

  #poll (): void {
    for (const poll of nodeCoreDefinition.duePolls(this.db, this.#fleet.simulation.nowMs)) {
      this.#fleet.platform.read(this.endpoint, poll, value => {
        this.runWhenResumed(() => {
          if (value !== null && value !== 'unchanged') this.gossip.offer(value, true)
          this.handle({ kind: 'poll_answered', key: poll.key, answered: value !== null })
          if (value !== null) this.gossip.notifyReadDone(poll.key)
        })
      })
    }
  }

  #execute (command: NodeCommand): void {
    switch (command.kind) {
      case 'dispatch': return this.#dispatchWhenResumed(command.callId, command.timeoutMs)
      case 'forward': return this.#forward(command)
      case 'answer': {
        const delivery = this.#deliveries.get(command.callId)
        this.#deliveries.delete(command.callId)
        delivery?.onAnswer(command.answer)
        if (delivery?.call.source.kind === 'peer') this.#reportFaultStep(FaultStep.AnsweredNotReported)
        return
      }
      case 'drop': {
        const delivery = this.#deliveries.get(command.callId)
        this.#deliveries.delete(command.callId)
        return delivery?.onDropped()
      }
      case 'abort_send': return this.#sends.get(command.callId)?.abort()
      case 'retry_later':
        this.#fleet.simulation.schedule(command.delayMs, () => this.emit({ kind: 'retry_due', callId: command.callId }))
        return this.#reportFaultStep(FaultStep.ResendWaiting)
      case 'lease_request': return this.gossip.requestLease(command.address, command.request)
      case 'quarantine_hint':
        return this.gossip.broadcast({ kind: 'quarantine_hint', fingerprint: command.fingerprint, forMs: 60_000 })
      case 'draining_notice':
        return this.gossip.broadcast({ kind: 'draining', vmId: this.entry.vmId, isDraining: command.isDraining })
      case 'stopped': return this.#fleet.handleNodeStopped(this)
      case 'value_offered':
      case 'lease_vote':
      case 'record':
      case 'log':
        return undefined
      default: return assertNever(command)
    }
  }

  /** Allows a fault between the core's decision to dispatch and the send. A paused process sends when it resumes. */
  #dispatchWhenResumed (callId: string, timeoutMs: Millis): void {
    this.#reportFaultStep(FaultStep.BeforeDispatch)
    if (!this.isAlive) return
    if (this.isPaused) this.#inbox.push(() => this.#dispatch(callId, timeoutMs))
    else this.#dispatch(callId, timeoutMs)
  }

  #dispatch (callId: string, timeoutMs: Millis): void {
    const call = this.#deliveries.get(callId)?.call ?? getCall(this.db, callId)?.call
    if (call === undefined) return this.#fleet.checks.addViolation('dispatchKnowsCall', callId)
    this.#fleet.checks.recordNodeSend(call.rootId, this.entry.vmId, callId)
    const exchange = this.#fleet.backendOf(this.entry.vmId).run(call, timeoutMs, result => {
      this.#sends.delete(callId)
      if (result.kind === 'answered') this.#reportFaultStep(FaultStep.AnswerUnderWay)
      this.emit({ kind: 'backend_result', callId, result })
    })
    this.#sends.set(callId, exchange)
    this.#reportFaultStep(FaultStep.Dispatched)
  }

  #forward (command: ForwardCommand): void {
    const call = getCall(this.db, command.callId)?.call
    if (call === undefined) return this.#fleet.checks.addViolation('forwardKnowsCall', command.callId)
    this.#fleet.checks.recordNodeSend(call.rootId, this.entry.vmId, command.callId)
    const target = this.#fleet.nodeAt(command.address)
    const exchange = this.#fleet.network.sendCall(
      this.endpoint, target, forwardedCall(call, this.entry.vmId, command), command.timeoutMs, result => {
        this.#sends.delete(command.callId)
        this.emit({ kind: 'peer_result', callId: command.callId, result })
      })
    this.#sends.set(command.callId, exchange)
  }
}

/** Builds the call that the receiving node decodes from the forwarded request. */
function forwardedCall (call: IncomingCall, fromNodeId: string, { headers }: ForwardCommand): IncomingCall {
  const level = Number(headers['ragwortspur-level'])
  return {
    ...call,
    source: {
      kind: 'peer',
      nodeId: fromNodeId,
      importance: (headers['ragwortspur-importance'] as Importance | undefined) ?? importanceOfLevel(level),
      level,
      grantedRetriesCount: Number(headers['ragwortspur-retry-loan']),
      isRoot: headers['ragwortspur-is-root'] === 'true'
    },
    deadlineMs: Number(headers['ragwortspur-deadline-ms']),
    requestedImportance: null
  }
}
