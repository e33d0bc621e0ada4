import type { Millis } from '../clock/clock.js'
import { chainAdmissionDefinition } from '../core/chainAdmission/chainAdmissionDefinition.js'
import type { ChainAdmissionDb } from '../core/chainAdmission/chainAdmissionDb.js'
import type { RootRequest, ServiceUsage } from '../core/chainAdmission/chainAdmissionTypes.js'
import { UsageSum } from '../core/chainAdmission/usage.js'
import { FLEET_RETRY_BUDGET_MODEL_SETTINGS } from './policySettings.js'
import { fleetRetryBudgetDefinition } from '../core/fleetRetryBudget/fleetRetryBudgetDefinition.js'
import type { FleetRetryBudgetDb } from '../core/fleetRetryBudget/fleetRetryBudgetDb.js'
import type { RefusedSendsDb } from '../core/refusedSends/refusedSendsDb.js'
import { refusedSendsDefinition } from '../core/refusedSends/refusedSendsDefinition.js'
import type { SlotsDb } from '../core/slots/slotsDb.js'
import { slotsDefinition } from '../core/slots/slotsDefinition.js'
import type { WaitingCall } from '../core/slots/slotsTypes.js'
import { EventQueue } from './eventQueue.js'
import { sampleExponential, seededRandom } from '../standins/randomNumbers.js'
import { PolicyScore } from './policyScore.js'
import {
  Policy, type ModelPlan, type ModelResult, type ModelRoute, type ModelService, type ModelDisturbance
} from './policyTypes.js'

/** One-way network latency between two nodes of one data centre or of neighbouring ones. */
const HOP_MS: Millis = 1
/** Fraction of the time left until the root request's deadline that a sub-call may wait for a slot. */
const SUB_CALL_WAIT_RATIO = 0.5
/** Fraction of its latency objective that a root request may wait for a slot. */
const ROOT_WAIT_RATIO = 1 / 8
/** Ranks all root requests below sub-calls. */
const ROOT_RANK_OFFSET = 100
/** Maximum number of sends of one call, including refused ones. */
const SENDS_MAX_COUNT = 3
/** Queue length at which a server refuses calls under `Policy.FirstCome`. */
const FIRST_COME_QUEUE_MAX_COUNT = 200

interface ModelServer {
  readonly service: ModelService
  readonly number: number
  readonly slots: SlotsDb
  readonly refusedSends: RefusedSendsDb
  /** Running and queued calls under `Policy.FirstCome`, where calls hold no slots of `slots`. */
  firstComeRunningCount: number
  readonly firstComeQueue: Array<() => void>
}

interface Outcome {
  readonly isServed: boolean
  readonly wasShed: boolean
  readonly usage: ServiceUsage[]
}

interface RootRequestState {
  readonly id: string
  readonly route: ModelRoute
  readonly deadlineAtMs: Millis
  isOver: boolean
  workMs: Millis
}

/**
 * Discrete-event simulation of a fleet with call chains, slots and callers that resend.
 * Admission, slots and retry budgets are decided by the modules of src/core that the product uses.
 *
 * @example
 * runModel(lampOilUnion(2, { policy: Policy.Chain })).goodputRatio
 */
export function runModel (plan: ModelPlan): ModelResult {
  return new PolicyModel(plan).run()
}

class PolicyModel {
  readonly #plan: ModelPlan
  readonly #events = new EventQueue()
  readonly #random: () => number
  readonly #servers = new Map<string, ModelServer[]>()
  readonly #routes: ReadonlyMap<string, ModelRoute>
  readonly #admissions: ChainAdmissionDb[]
  readonly #retryBudgets: FleetRetryBudgetDb[]
  readonly #score: PolicyScore
  #rootsCount = 0

  constructor (plan: ModelPlan) {
    this.#plan = plan
    this.#random = seededRandom(plan.seed)
    this.#routes = new Map(plan.routes.map(route => [route.name, route]))
    this.#score = new PolicyScore(plan)
    for (const service of plan.services) this.#servers.set(service.name, this.#createServers(service))
    const settings = { ...chainAdmissionDefinition.defaults, ...plan.admission }
    this.#admissions = Array.from({ length: plan.entryNodesCount }, () => chainAdmissionDefinition.createDb(settings))
    this.#retryBudgets = Array.from({ length: plan.entryNodesCount }, () => {
      const db = fleetRetryBudgetDefinition.createDb(FLEET_RETRY_BUDGET_MODEL_SETTINGS, 0)
      fleetRetryBudgetDefinition.setNodesCount(db, plan.entryNodesCount)
      return db
    })
  }

  run (): ModelResult {
    for (const route of this.#plan.routes) if (route.ratePerS > 0) this.#scheduleNextArrival(route)
    this.#events.runUntil(this.#plan.durationMs)
    return this.#score.createResult()
  }

  #createServers (service: ModelService): ModelServer[] {
    return service.speeds.map((_speed, number) => {
      const slots = slotsDefinition.createDb(slotsDefinition.defaults)
      slotsDefinition.setSlotsCount(slots, service.slotsCount, 0)
      return {
        service,
        number,
        slots,
        refusedSends: refusedSendsDefinition.createDb(),
        firstComeRunningCount: 0,
        firstComeQueue: []
      }
    })
  }

  #activeDisturbances<K extends ModelDisturbance['kind']> (kind: K): Array<Extract<ModelDisturbance, { kind: K }>> {
    const { nowMs } = this.#events
    return this.#plan.disturbances.filter((disturbance): disturbance is Extract<ModelDisturbance, { kind: K }> => {
      return disturbance.kind === kind && nowMs >= disturbance.fromMs && nowMs < disturbance.toMs
    })
  }

  #scheduleNextArrival (route: ModelRoute): void {
    const factor = this.#activeDisturbances('burst').reduce((product, disturbance) => product * disturbance.factor, 1)
    this.#events.scheduleIn(sampleExponential(this.#random, 1000 / (route.ratePerS * factor)), () => {
      this.#score.recordOffered(route, this.#events.nowMs)
      this.#sendRootRequest(route, this.#events.nowMs, 0)
      this.#scheduleNextArrival(route)
    })
  }

  /** Sends one attempt of a caller's request to a random entry node. */
  #sendRootRequest (route: ModelRoute, firstSentAtMs: Millis, attempt: number): void {
    const entryIndex = Math.floor(this.#random() * this.#plan.entryNodesCount)
    const { nowMs } = this.#events
    const admission = this.#admissions[entryIndex]!
    const id = String(this.#rootsCount++)
    const admissionRequest: RootRequest = {
      routeName: route.name,
      serviceName: route.service,
      rootId: id,
      importanceRank: route.importanceRank,
      workspaceName: null
    }
    if (this.#plan.policy === Policy.Chain && chainAdmissionDefinition.decideRootRequest(
      admission, admissionRequest, this.#retryBudgets[entryIndex]!, nowMs, this.#random
    ).kind === 'refuse') {
      this.#handleRequestEnd(route, firstSentAtMs, attempt, 'refused')
      return
    }
    const root: RootRequestState = {
      id, route, deadlineAtMs: nowMs + route.timeoutMs, isOver: false, workMs: 0
    }
    const endRequest = (kind: 'served' | 'refused' | 'failed'): void => {
      if (root.isOver) return
      root.isOver = true
      this.#score.recordWork(root.workMs, kind === 'served')
      this.#handleRequestEnd(route, firstSentAtMs, attempt, kind)
    }
    this.#events.scheduleAt(root.deadlineAtMs, () => endRequest('failed'))
    for (const { afterMs, share } of this.#activeDisturbances('give_up')) {
      if (this.#random() < share) this.#events.scheduleIn(afterMs, () => endRequest('failed'))
    }
    this.#sendCall(entryIndex, route, root, 0, outcome => {
      if (outcome.isServed && !root.isOver) {
        chainAdmissionDefinition.recordRequestCost(admission, admissionRequest, outcome.usage, this.#events.nowMs)
      }
      endRequest(outcome.isServed ? 'served' : outcome.wasShed && root.workMs === 0 ? 'refused' : 'failed')
    })
  }

  #handleRequestEnd (
    route: ModelRoute, firstSentAtMs: Millis, attempt: number, kind: 'served' | 'refused' | 'failed'
  ): void {
    const { nowMs } = this.#events
    if (kind === 'served') {
      this.#score.recordServed(route, firstSentAtMs, nowMs)
      return
    }
    const immediateResend = this.#activeDisturbances('resend_at_once')[0]
    const mayResend = kind === 'refused' || route.isIdempotent
    if (mayResend && attempt < (immediateResend?.timesCount ?? 1)) {
      const delayMs = immediateResend === undefined && kind === 'refused' ? route.objectiveMs * (0.25 + 0.25 * this.#random()) : 0
      this.#events.scheduleIn(delayMs + HOP_MS, () => this.#sendRootRequest(route, firstSentAtMs, attempt + 1))
    } else {
      this.#score.recordLost(route, kind)
    }
  }

  /** Sends a call to a server of its service; if it is shed, resends it to another one within the retry budget. */
  #sendCall (
    entryIndex: number, route: ModelRoute, root: RootRequestState, depth: number, onDone: (outcome: Outcome) => void
  ): void {
    fleetRetryBudgetDefinition.recordRequest(this.#retryBudgets[entryIndex]!, route.service, this.#events.nowMs)
    const triedServers: ModelServer[] = []
    const send = (): void => {
      const server = this.#chooseServer(route.service, triedServers)
      triedServers.push(server)
      this.#events.scheduleIn(HOP_MS, () => this.#submitToServer(server, route, root, depth, outcome => {
        chainAdmissionDefinition.recordUtilization(this.#admissions[entryIndex]!, outcome.usage, this.#events.nowMs)
        const mayResend = outcome.wasShed && !root.isOver && this.#plan.policy === Policy.Chain &&
          triedServers.length < SENDS_MAX_COUNT &&
          fleetRetryBudgetDefinition.tryTakeRetry(this.#retryBudgets[entryIndex]!, {
            serviceName: route.service,
            serversCount: 0,
            rootId: root.id,
            rootImportanceRank: root.route.importanceRank,
            isServiceRefusing: chainAdmissionDefinition.isRefusing(
              this.#admissions[entryIndex]!, route.service, this.#events.nowMs
            )
          }, this.#events.nowMs)
        if (mayResend) send()
        else onDone(outcome)
      }))
    }
    send()
  }

  #chooseServer (serviceName: string, triedServers: readonly ModelServer[]): ModelServer {
    const all = this.#servers.get(serviceName)!
    const untriedServers = all.filter(server => !triedServers.includes(server))
    const candidates = untriedServers.length > 0 ? untriedServers : all
    const getOpenCallsCount = (server: ModelServer): number => this.#plan.policy === Policy.FirstCome
      ? server.firstComeRunningCount + server.firstComeQueue.length
      : server.slots.runningCount + server.slots.queue.length
    return candidates.reduce((best, server) => {
      return getOpenCallsCount(server) + this.#random() * 2 < getOpenCallsCount(best) + this.#random() * 2
        ? server
        : best
    })
  }

  #submitToServer (
    server: ModelServer, route: ModelRoute, root: RootRequestState, depth: number, onDone: (outcome: Outcome) => void
  ): void {
    const refuse = (): void => onDone({ isServed: false, wasShed: true, usage: this.#createUsage(server, 0, 0, []) })
    if (root.isOver) return onDone({ isServed: false, wasShed: false, usage: [] })
    if (this.#plan.policy === Policy.FirstCome) {
      this.#submitFirstCome(server, () => this.#runOnServer(server, route, root, depth, onDone), refuse)
      return
    }
    const { nowMs } = this.#events
    const waitMs = depth === 0 ? route.objectiveMs * ROOT_WAIT_RATIO : (root.deadlineAtMs - nowMs) * SUB_CALL_WAIT_RATIO
    const isRanked = this.#plan.policy === Policy.Chain
    const waiting: WaitingCall = {
      call: {
        rank: isRanked ? root.route.importanceRank + (depth === 0 ? ROOT_RANK_OFFSET : 0) : 0,
        arrivedAtMs: nowMs,
        startByMs: nowMs + waitMs
      },
      start: () => this.#runOnServer(server, route, root, depth, onDone),
      refuse
    }
    slotsDefinition.requestSlot(server.slots, waiting, nowMs)
  }

  #submitFirstCome (server: ModelServer, start: () => void, refuse: () => void): void {
    if (server.firstComeRunningCount < server.service.slotsCount) {
      server.firstComeRunningCount += 1
      start()
    } else if (server.firstComeQueue.length < FIRST_COME_QUEUE_MAX_COUNT) server.firstComeQueue.push(start)
    else refuse()
  }

  #release (server: ModelServer, slotMs: Millis): void {
    if (this.#plan.policy !== Policy.FirstCome) {
      slotsDefinition.releaseSlot(server.slots, slotMs, this.#events.nowMs)
      return
    }
    const next = server.firstComeQueue.shift()
    if (next === undefined) server.firstComeRunningCount -= 1
    else next()
  }

  #runOnServer (
    server: ModelServer, route: ModelRoute, root: RootRequestState, depth: number, onDone: (outcome: Outcome) => void
  ): void {
    const startedAtMs = this.#events.nowMs
    const finish = (isServed: boolean, wasShed: boolean, downstreamUsage: ServiceUsage[]): void => {
      const slotMs = this.#events.nowMs - startedAtMs
      const usage = this.#createUsage(server, slotMs, wasShed ? 0 : 1, downstreamUsage)
      this.#release(server, slotMs)
      this.#events.scheduleIn(HOP_MS, () => onDone({ isServed, wasShed, usage }))
    }
    if (root.isOver) return finish(false, false, [])
    for (const { service, servers, share } of this.#activeDisturbances('shed')) {
      if (service === server.service.name && servers.includes(server.number) && this.#random() < share) {
        refusedSendsDefinition.recordSend(server.refusedSends, true, this.#events.nowMs)
        return finish(false, true, [])
      }
    }
    refusedSendsDefinition.recordSend(server.refusedSends, false, this.#events.nowMs)
    const workMs = this.#drawWorkMs(server, route)
    root.workMs += workMs
    this.#events.scheduleIn(workMs, () => {
      this.#makeSubCalls(server, route, root, depth, 0, [],
        (areAllServed, usage) => finish(areAllServed, false, usage))
    })
  }

  /** Makes the sub-calls of a request one after another and stops at the first that fails. */
  #makeSubCalls (
    server: ModelServer, route: ModelRoute, root: RootRequestState, depth: number, callIndex: number,
    usage: ServiceUsage[],
    onDone: (areAllServed: boolean, usage: ServiceUsage[]) => void
  ): void {
    if (route.calls === undefined || callIndex >= route.calls.timesCount) return onDone(true, usage)
    if (root.isOver) return onDone(false, usage)
    const entryIndex = server.number % this.#plan.entryNodesCount
    this.#sendCall(entryIndex, this.#routes.get(route.calls.route)!, root, depth + 1, outcome => {
      const mergedUsage = mergeUsage(usage, outcome.usage)
      if (outcome.isServed) this.#makeSubCalls(server, route, root, depth, callIndex + 1, mergedUsage, onDone)
      else onDone(false, mergedUsage)
    })
  }

  #drawWorkMs (server: ModelServer, route: ModelRoute): Millis {
    const { service, number } = server
    const slowdownFactor = this.#activeDisturbances('slow')
      .filter(disturbance => disturbance.service === service.name && disturbance.servers.includes(number))
      .reduce((product, disturbance) => product * disturbance.factor, 1)
    const runningCount = this.#plan.policy === Policy.FirstCome
      ? server.firstComeRunningCount
      : server.slots.runningCount
    const isBeyondKnee = service.knee !== undefined && runningCount > service.knee.ratio * service.slotsCount
    const randomFactor = 0.5 + this.#random()
    return route.workMs * randomFactor * slowdownFactor * (isBeyondKnee ? service.knee!.slowdown : 1) /
      service.speeds[number]!
  }

  #createUsage (
    server: ModelServer, slotMs: Millis, callsCount: number, downstreamUsage: ServiceUsage[]
  ): ServiceUsage[] {
    const { nowMs } = this.#events
    const utilizationRatio = slotsDefinition.getUtilizationRatio(server.slots, nowMs)
    const refusedRatio = refusedSendsDefinition.refusedRatio(server.refusedSends, nowMs)
    const { name } = server.service
    const own = { serviceName: name, slotMs, utilizationRatio, callsCount, refusedRatio, reportsCount: 1 }
    return mergeUsage([own], downstreamUsage)
  }
}

function mergeUsage (left: readonly ServiceUsage[], right: readonly ServiceUsage[]): ServiceUsage[] {
  const sum = new UsageSum()
  sum.add(left)
  sum.add(right)
  return sum.list()
}
