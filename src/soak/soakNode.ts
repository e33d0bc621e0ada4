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
import type { Place } from './soakNetwork.js'
import { FaultStep } from './soakTypes.js'
import type { Delivery, Exchange } from './soakTypes.js'
import { START_WALL_MS } from './soakWorld.js'

const TICK_PERIOD_MS: Millis = 20
const POLL_PERIOD_MS: Millis = 100
/** Invariants are checked after each event at this ratio; the check costs more than most events. */
const CHECK_RATIO = 0.02

type ForwardCommand = Extract<NodeCommand, { kind: 'forward' }>

/** One node process: the real core with its commands carried out in memory. */
export class SoakNode {
  readonly place: Place
  readonly entry: VmEntry
  readonly db: NodeCoreDb
  readonly #fleet: SoakFleet
  readonly gossip: SoakGossip
  readonly #skewMs: Millis
  readonly #deliveries = new Map<string, Delivery>()
  readonly #sends = new Map<string, Exchange>()
  readonly #stops: Array<() => void> = []
  readonly #inbox: Array<() => void> = []
  #pausedUntilMs: Millis = 0
  isAlive = true
  isStopping = false

  constructor (fleet: SoakFleet, entry: VmEntry, incarnation: string) {
    this.#fleet = fleet
    this.entry = entry
    this.place = { dataCentre: entry.dataCentre, placeId: entry.vmId }
    this.#skewMs = fleet.world.between(-900, 900)
    this.db = nodeCoreDefinition.createDb({
      nodeId: entry.vmId,
      incarnation,
      serviceName: entry.serviceName,
      dataCentre: entry.dataCentre,
      controlEnabled: true
    }, {}, fleet.world.random, this.#time())
    this.gossip = new SoakGossip(fleet, this)
    this.#stops.push(fleet.world.every(TICK_PERIOD_MS, () => this.emit({ kind: 'tick' })))
    this.#stops.push(fleet.world.every(POLL_PERIOD_MS, () => this.whenAwake(() => this.#poll())))
    this.gossip.start()
    fleet.world.after(5, () => this.emit({ kind: 'backend_seen', status: fleet.backendOf(entry.vmId).status }))
  }

  get isPaused (): boolean {
    return this.#fleet.world.nowMs < this.#pausedUntilMs
  }

  /** Calls received and not answered, and sends without a result. */
  get openCount (): number {
    return this.#deliveries.size + this.#sends.size
  }

  pause (forMs: Millis): void {
    this.#pausedUntilMs = Math.max(this.#pausedUntilMs, this.#fleet.world.nowMs + forMs)
    this.#fleet.world.after(forMs, () => this.#drainInbox())
  }

  /** Runs a function now, or in order when the process wakes up. */
  whenAwake (run: () => void): void {
    if (!this.isAlive) return
    if (this.isPaused || this.#inbox.length > 0) this.#inbox.push(run)
    else run()
  }

  kill (): void {
    this.isAlive = false
    for (const stop of this.#stops) stop()
    this.gossip.stop()
    for (const delivery of this.#deliveries.values()) delivery.onDropped()
    this.#deliveries.clear()
  }

  emit (event: NodeEvent): void {
    this.whenAwake(() => this.handle(event))
  }

  handle (event: NodeEvent): NodeCommand[] {
    const commands = nodeCoreDefinition.handle(this.db, event, this.#time())
    for (const command of commands) this.#run(command)
    if (this.#fleet.world.chance(CHECK_RATIO)) this.checkInvariants()
    if (this.#fleet.onStep !== null) this.#noteSteps(commands)
    return commands
  }

  checkInvariants (): void {
    // A paused process cannot end its calls, so it is checked as of its last event.
    const nowMs = this.isPaused ? this.db.lastEventAtMs : this.#fleet.world.nowMs
    for (const { property, detail } of nodeCoreDefinition.violations(this.db, nowMs)) {
      this.#fleet.checks.violation(property, `${this.entry.vmId}: ${detail}`)
    }
  }

  receive (delivery: Delivery): void {
    this.#reached(FaultStep.Accept)
    this.whenAwake(() => {
      this.#deliveries.set(delivery.call.callId, delivery)
      this.handle({ kind: 'call_received', call: delivery.call })
    })
  }

  callerGone (callId: string): void {
    this.emit({ kind: 'caller_gone', callId })
  }

  #reached (step: FaultStep): void {
    this.#fleet.onStep?.(step, this)
  }

  #noteSteps (commands: readonly NodeCommand[]): void {
    const { calls, nodeState, backendState } = this.db
    if ([...calls.values()].some(state => state.chartState === 'queued')) this.#reached(FaultStep.Queue)
    if (calls.size > 0 && (isStopping(this.db) || backendState === 'draining')) this.#reached(FaultStep.Drain)
    if (nodeState === 'starting') this.#reached(FaultStep.Start)
    const hasNewDocument = commands.some(command => command.kind === 'value_offered' &&
      command.key.startsWith('documents/') && command.result.kind === 'accepted')
    if (hasNewDocument) this.#reached(FaultStep.DocumentSpread)
  }

  #time (): { nowMs: Millis, wallMs: Millis } {
    const { nowMs } = this.#fleet.world
    return { nowMs, wallMs: START_WALL_MS + nowMs + this.#skewMs }
  }

  #drainInbox (): void {
    while (this.isAlive && !this.isPaused) {
      const run = this.#inbox.shift()
      if (run === undefined) return
      run()
    }
  }

  #poll (): void {
    for (const poll of nodeCoreDefinition.duePolls(this.db, this.#fleet.world.nowMs)) {
      this.#fleet.platform.read(this.place, poll, value => {
        this.whenAwake(() => {
          if (value !== null && value !== 'unchanged') this.gossip.offer(value, true)
          this.handle({ kind: 'poll_answered', key: poll.key, answered: value !== null })
          if (value !== null) this.gossip.readDone(poll.key)
        })
      })
    }
  }

  #run (command: NodeCommand): void {
    switch (command.kind) {
      case 'dispatch': return this.#dispatchWhenAwake(command.callId, command.timeoutMs)
      case 'forward': return this.#forward(command)
      case 'answer': {
        const delivery = this.#deliveries.get(command.callId)
        this.#deliveries.delete(command.callId)
        delivery?.onAnswer(command.answer)
        if (delivery?.call.source.kind === 'peer') this.#reached(FaultStep.AnsweredNotReported)
        return
      }
      case 'drop': {
        const delivery = this.#deliveries.get(command.callId)
        this.#deliveries.delete(command.callId)
        return delivery?.onDropped()
      }
      case 'abort_send': return this.#sends.get(command.callId)?.abort()
      case 'retry_later':
        this.#fleet.world.after(command.delayMs, () => this.emit({ kind: 'retry_due', callId: command.callId }))
        return this.#reached(FaultStep.ResendWaiting)
      case 'lease_request': return this.gossip.requestLease(command.address, command.request)
      case 'quarantine_hint':
        return this.gossip.tell({ kind: 'quarantine_hint', fingerprint: command.fingerprint, forMs: 60_000 })
      case 'draining_notice':
        return this.gossip.tell({ kind: 'draining', vmId: this.entry.vmId, isDraining: command.isDraining })
      case 'stopped': return this.#fleet.nodeStopped(this)
      case 'value_offered':
      case 'lease_vote':
      case 'record':
      case 'log':
        return undefined
      default: return assertNever(command)
    }
  }

  /** A fault may strike between the decision of the core and the send; a paused process sends when it wakes up. */
  #dispatchWhenAwake (callId: string, timeoutMs: Millis): void {
    this.#reached(FaultStep.BeforeDispatch)
    if (!this.isAlive) return
    if (this.isPaused) this.#inbox.push(() => this.#dispatch(callId, timeoutMs))
    else this.#dispatch(callId, timeoutMs)
  }

  #dispatch (callId: string, timeoutMs: Millis): void {
    const call = this.#deliveries.get(callId)?.call ?? getCall(this.db, callId)?.call
    if (call === undefined) return this.#fleet.checks.violation('dispatchKnowsCall', callId)
    this.#fleet.checks.sent(call.rootId, this.entry.vmId, callId)
    const exchange = this.#fleet.backendOf(this.entry.vmId).run(call, timeoutMs, result => {
      this.#sends.delete(callId)
      if (result.kind === 'answered') this.#reached(FaultStep.AnswerUnderWay)
      this.emit({ kind: 'backend_result', callId, result })
    })
    this.#sends.set(callId, exchange)
    this.#reached(FaultStep.Dispatched)
  }

  #forward (command: ForwardCommand): void {
    const call = getCall(this.db, command.callId)?.call
    if (call === undefined) return this.#fleet.checks.violation('forwardKnowsCall', command.callId)
    this.#fleet.checks.sent(call.rootId, this.entry.vmId, command.callId)
    const target = this.#fleet.nodeAt(command.address)
    const exchange = this.#fleet.network.exchange(
      this.place, target, forwardedCall(call, this.entry.vmId, command), command.timeoutMs, result => {
        this.#sends.delete(command.callId)
        this.emit({ kind: 'peer_result', callId: command.callId, result })
      })
    this.#sends.set(command.callId, exchange)
  }
}

/** The call as the receiving node reads it from the request. */
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
