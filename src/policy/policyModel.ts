import type { Millis } from '../clock/clock.js'
import { chainAdmissionDefinition } from '../core/chainAdmission/chainAdmissionDefinition.js'
import type { ChainAdmissionDb } from '../core/chainAdmission/chainAdmissionDb.js'
import type { ServiceUsage } from '../core/chainAdmission/chainAdmissionTypes.js'
import { FLEET_RETRY_BUDGET_MODEL_SETTINGS } from './policySettings.js'
import { fleetRetryBudgetDefinition } from '../core/fleetRetryBudget/fleetRetryBudgetDefinition.js'
import type { FleetRetryBudgetDb } from '../core/fleetRetryBudget/fleetRetryBudgetDb.js'
import type { SlotsDb } from '../core/slots/slotsDb.js'
import { slotsDefinition } from '../core/slots/slotsDefinition.js'
import type { WaitingCall } from '../core/slots/slotsTypes.js'
import { EventQueue } from './eventQueue.js'
import { exponential, seededRandom } from '../standins/randomNumbers.js'
import { PolicyScore } from './policyScore.js'
import {
  Policy, type ModelPlan, type ModelResult, type ModelRoute, type ModelService, type ModelTrouble
} from './policyTypes.js'

/** One way between two nodes of a data centre or of neighbouring ones. */
const HOP_MS: Millis = 1
/** Share of a sub-call's parent time that it may wait for a slot. */
const SUB_CALL_WAIT_RATIO = 0.5
const ROOT_WAIT_RATIO = 1 / 8
const ROOT_RANK_OFFSET = 100
/** Sends of one call at most, refused ones included. */
const SENDS_MAX_COUNT = 3
/** Calls that wait at a server that takes everything in turn. */
const FIRST_COME_QUEUE_COUNT = 200

interface ModelServer {
  readonly service: ModelService
  readonly number: number
  readonly slots: SlotsDb
  /** First come, first served. */
  running: number
  readonly queue: Array<() => void>
}

interface Outcome {
  readonly isServed: boolean
  readonly wasShed: boolean
  readonly usage: ServiceUsage[]
}

interface Root {
  readonly route: ModelRoute
  readonly deadlineAtMs: Millis
  isOver: boolean
  workMs: Millis
}

/**
 * Model of a fleet on a manual clock: chains of calls, slots, resending callers.
 * The families that decide are those of the product.
 *
 * @example
 * runModel({ ...lampOilUnion, policy: Policy.Chain }).worthRatio
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
  readonly #seconds: FleetRetryBudgetDb[]
  readonly #score: PolicyScore

  constructor (plan: ModelPlan) {
    this.#plan = plan
    this.#random = seededRandom(plan.seed)
    this.#routes = new Map(plan.routes.map(route => [route.name, route]))
    this.#score = new PolicyScore(plan)
    for (const service of plan.services) this.#servers.set(service.name, this.#serversOf(service))
    const settings = { ...chainAdmissionDefinition.defaults, ...plan.admission }
    this.#admissions = Array.from({ length: plan.entriesCount }, () => chainAdmissionDefinition.createDb(settings))
    this.#seconds = Array.from({ length: plan.entriesCount }, () => {
      const db = fleetRetryBudgetDefinition.createDb(FLEET_RETRY_BUDGET_MODEL_SETTINGS, 0)
      fleetRetryBudgetDefinition.setNodesCount(db, plan.entriesCount)
      return db
    })
  }

  run (): ModelResult {
    for (const route of this.#plan.routes) if (route.ratePerS > 0) this.#arrive(route)
    this.#events.runUntil(this.#plan.lengthMs)
    return this.#score.result()
  }

  #serversOf (service: ModelService): ModelServer[] {
    return service.speeds.map((_speed, number) => {
      const slots = slotsDefinition.createDb(slotsDefinition.defaults)
      slotsDefinition.setSlotsCount(slots, service.slotsCount, 0)
      return { service, number, slots, running: 0, queue: [] }
    })
  }

  #troubles<K extends ModelTrouble['kind']> (kind: K): Array<Extract<ModelTrouble, { kind: K }>> {
    const { nowMs } = this.#events
    return this.#plan.troubles.filter((trouble): trouble is Extract<ModelTrouble, { kind: K }> => {
      return trouble.kind === kind && nowMs >= trouble.fromMs && nowMs < trouble.toMs
    })
  }

  #arrive (route: ModelRoute): void {
    const factor = this.#troubles('burst').reduce((product, trouble) => product * trouble.factor, 1)
    this.#events.in(exponential(this.#random, 1000 / (route.ratePerS * factor)), () => {
      this.#score.asked(route, this.#events.nowMs)
      this.#request(route, this.#events.nowMs, 0)
      this.#arrive(route)
    })
  }

  /** One attempt of a caller. */
  #request (route: ModelRoute, firstAtMs: Millis, attempt: number): void {
    const entry = Math.floor(this.#random() * this.#plan.entriesCount)
    const { nowMs } = this.#events
    const admission = this.#admissions[entry]!
    const question = { routeName: route.name, importanceRank: route.rank }
    if (this.#plan.policy === Policy.Chain &&
      chainAdmissionDefinition.decideRootRequest(admission, question, nowMs, this.#random).kind === 'refuse') {
      this.#ended(route, firstAtMs, attempt, 'refused')
      return
    }
    const root: Root = { route, deadlineAtMs: nowMs + route.timeoutMs, isOver: false, workMs: 0 }
    const end = (kind: 'served' | 'refused' | 'failed'): void => {
      if (root.isOver) return
      root.isOver = true
      this.#score.worked(root.workMs, kind === 'served')
      this.#ended(route, firstAtMs, attempt, kind)
    }
    this.#events.at(root.deadlineAtMs, () => end('failed'))
    for (const { afterMs, share } of this.#troubles('give_up')) {
      if (this.#random() < share) this.#events.in(afterMs, () => end('failed'))
    }
    this.#call(entry, route, root, 0, outcome => {
      if (outcome.isServed && !root.isOver) {
        chainAdmissionDefinition.recordRequestCost(admission, question, outcome.usage, this.#events.nowMs)
      }
      end(outcome.isServed ? 'served' : outcome.wasShed && root.workMs === 0 ? 'refused' : 'failed')
    })
  }

  #ended (route: ModelRoute, firstAtMs: Millis, attempt: number, kind: 'served' | 'refused' | 'failed'): void {
    const { nowMs } = this.#events
    if (kind === 'served') {
      this.#score.served(route, firstAtMs, nowMs)
      return
    }
    const abuse = this.#troubles('resend_at_once')[0]
    const mayResend = kind === 'refused' || route.isIdempotent
    if (mayResend && attempt < (abuse?.timesCount ?? 1)) {
      const delayMs = abuse === undefined && kind === 'refused' ? route.objectiveMs * (0.25 + 0.25 * this.#random()) : 0
      this.#events.in(delayMs + HOP_MS, () => this.#request(route, firstAtMs, attempt + 1))
    } else {
      this.#score.lost(route, kind)
    }
  }

  /** One call at a server of its service, with a second send if it was refused. */
  #call (entry: number, route: ModelRoute, root: Root, depth: number, done: (outcome: Outcome) => void): void {
    fleetRetryBudgetDefinition.recordRequest(this.#seconds[entry]!, route.service, this.#events.nowMs)
    const tried: ModelServer[] = []
    const send = (): void => {
      const server = this.#chooseServer(route.service, tried)
      tried.push(server)
      this.#events.in(HOP_MS, () => this.#place(server, route, root, depth, outcome => {
        chainAdmissionDefinition.recordUtilization(this.#admissions[entry]!, outcome.usage, this.#events.nowMs)
        const mayResend = outcome.wasShed && !root.isOver && this.#plan.policy === Policy.Chain &&
          tried.length < SENDS_MAX_COUNT &&
          fleetRetryBudgetDefinition.tryTakeRetry(this.#seconds[entry]!, route.service, this.#events.nowMs)
        if (mayResend) send()
        else done(outcome)
      }))
    }
    send()
  }

  #chooseServer (serviceName: string, tried: readonly ModelServer[]): ModelServer {
    const all = this.#servers.get(serviceName)!
    const left = all.filter(server => !tried.includes(server))
    const pool = left.length > 0 ? left : all
    const load = (server: ModelServer): number => this.#plan.policy === Policy.FirstCome
      ? server.running + server.queue.length
      : server.slots.runningCount + server.slots.queue.length
    return pool.reduce((best, server) => {
      return load(server) + this.#random() * 2 < load(best) + this.#random() * 2 ? server : best
    })
  }

  #place (
    server: ModelServer, route: ModelRoute, root: Root, depth: number, done: (outcome: Outcome) => void
  ): void {
    const refuse = (): void => done({ isServed: false, wasShed: true, usage: this.#usage(server, 0, []) })
    if (root.isOver) return done({ isServed: false, wasShed: false, usage: [] })
    if (this.#plan.policy === Policy.FirstCome) {
      this.#placeInTurn(server, () => this.#run(server, route, root, depth, done), refuse)
      return
    }
    const { nowMs } = this.#events
    const waitMs = depth === 0 ? route.objectiveMs * ROOT_WAIT_RATIO : (root.deadlineAtMs - nowMs) * SUB_CALL_WAIT_RATIO
    const isRanked = this.#plan.policy === Policy.Chain
    const waiting: WaitingCall = {
      call: {
        rank: isRanked ? root.route.rank + (depth === 0 ? ROOT_RANK_OFFSET : 0) : 0,
        arrivedAtMs: nowMs,
        startByMs: nowMs + waitMs
      },
      start: () => this.#run(server, route, root, depth, done),
      refuse
    }
    slotsDefinition.requestSlot(server.slots, waiting, nowMs)
  }

  #placeInTurn (server: ModelServer, start: () => void, refuse: () => void): void {
    if (server.running < server.service.slotsCount) {
      server.running += 1
      start()
    } else if (server.queue.length < FIRST_COME_QUEUE_COUNT) server.queue.push(start)
    else refuse()
  }

  #release (server: ModelServer, slotMs: Millis): void {
    if (this.#plan.policy !== Policy.FirstCome) {
      slotsDefinition.releaseSlot(server.slots, slotMs, this.#events.nowMs)
      return
    }
    const next = server.queue.shift()
    if (next === undefined) server.running -= 1
    else next()
  }

  #run (server: ModelServer, route: ModelRoute, root: Root, depth: number, done: (outcome: Outcome) => void): void {
    const startedAtMs = this.#events.nowMs
    const finish = (isServed: boolean, wasShed: boolean, below: ServiceUsage[]): void => {
      const slotMs = this.#events.nowMs - startedAtMs
      const usage = this.#usage(server, slotMs, below)
      this.#release(server, slotMs)
      this.#events.in(HOP_MS, () => done({ isServed, wasShed, usage }))
    }
    if (root.isOver) return finish(false, false, [])
    for (const { service, servers, share } of this.#troubles('shed')) {
      if (service === server.service.name && servers.includes(server.number) && this.#random() < share) {
        return finish(false, true, [])
      }
    }
    const workMs = this.#workMs(server, route)
    root.workMs += workMs
    this.#events.in(workMs, () => {
      this.#callOthers(server, route, root, depth, 0, [], (isWhole, usage) => finish(isWhole, false, usage))
    })
  }

  /** Calls of a request to others, one after the other; the first that fails ends it. */
  #callOthers (
    server: ModelServer, route: ModelRoute, root: Root, depth: number, at: number, usage: ServiceUsage[],
    done: (isWhole: boolean, usage: ServiceUsage[]) => void
  ): void {
    if (route.calls === undefined || at >= route.calls.timesCount) return done(true, usage)
    if (root.isOver) return done(false, usage)
    const entry = server.number % this.#plan.entriesCount
    this.#call(entry, this.#routes.get(route.calls.route)!, root, depth + 1, outcome => {
      const both = merge(usage, outcome.usage)
      if (outcome.isServed) this.#callOthers(server, route, root, depth, at + 1, both, done)
      else done(false, both)
    })
  }

  #workMs (server: ModelServer, route: ModelRoute): Millis {
    const { service, number } = server
    const slow = this.#troubles('slow')
      .filter(trouble => trouble.service === service.name && trouble.servers.includes(number))
      .reduce((product, trouble) => product * trouble.factor, 1)
    const running = this.#plan.policy === Policy.FirstCome ? server.running : server.slots.runningCount
    const isBeyondKnee = service.knee !== undefined && running > service.knee.ratio * service.slotsCount
    const spread = 0.5 + this.#random()
    return route.workMs * spread * slow * (isBeyondKnee ? service.knee!.slowdown : 1) / service.speeds[number]!
  }

  #usage (server: ModelServer, slotMs: Millis, below: ServiceUsage[]): ServiceUsage[] {
    const utilizationRatio = slotsDefinition.getUtilizationRatio(server.slots, this.#events.nowMs)
    return merge([{ serviceName: server.service.name, slotMs, utilizationRatio }], below)
  }
}

function merge (left: readonly ServiceUsage[], right: readonly ServiceUsage[]): ServiceUsage[] {
  const merged = new Map<string, ServiceUsage>()
  for (const entry of [...left, ...right]) {
    const known = merged.get(entry.serviceName)
    merged.set(entry.serviceName, known === undefined ? entry : { ...entry, slotMs: known.slotMs + entry.slotMs })
  }
  return [...merged.values()]
}
