import type { Millis } from '../clock/clock.js'
import type { ChainAdmissionDb } from '../core/chainAdmission/chainAdmissionDb.js'
import { chainAdmissionDefinition as admission } from '../core/chainAdmission/chainAdmissionDefinition.js'
import type { RootRequest, ServiceUsage } from '../core/chainAdmission/chainAdmissionTypes.js'
import { SENDS_MAX_COUNT } from '../core/chainAdmission/completion.js'
import { UsageSum } from '../core/chainAdmission/usage.js'
import type { FleetRetryBudgetDb } from '../core/fleetRetryBudget/fleetRetryBudgetDb.js'
import { fleetRetryBudgetDefinition as retryBudget } from '../core/fleetRetryBudget/fleetRetryBudgetDefinition.js'
import type { RefusedSendsDb } from '../core/refusedSends/refusedSendsDb.js'
import { refusedSendsDefinition as refusedSends } from '../core/refusedSends/refusedSendsDefinition.js'
import { EventQueue } from '../policy/eventQueue.js'
import { sampleExponential, seededRandom } from '../standins/randomNumbers.js'

/** Kind of root request: `callsCount` calls of the deep service, made by a server of the front service or by itself. */
export interface ChainKind {
  readonly name: string
  readonly importanceRank: number
  readonly ratePerS: number
  readonly callsCount: number
  readonly runsAtDeep: boolean
  /** Workspaces and the share of the requests that each sends. */
  readonly workspaces?: Readonly<Record<string, number>>
}

export interface ChainFleetPlan {
  readonly seed: number
  readonly nodesCount: number
  readonly deepServersCount: number
  readonly kinds: readonly ChainKind[]
  /** Share of its calls that a server of the deep service refuses while the disturbance lasts. */
  readonly refusedRatio: (server: number) => number
  readonly disturbance: { readonly fromMs: Millis, readonly toMs: Millis }
  readonly durationMs: Millis
  /** Whether nodes report the refusals of their servers, as those of an older build do not. */
  readonly reportsRefusals: boolean
  /** Refusal ratio that a node reports instead of the measured one. */
  readonly reported?: (server: number, ratio: number | null) => number | null
  /** When all nodes of callers start anew, without knowledge of the chains. */
  readonly restartAtMs?: Millis
}

export interface KindResult {
  offered: number
  inTime: number
  failedAfterWork: number
  refusedBeforeWork: number
}

export interface ChainFleetResult {
  /** Root requests that were first sent during the disturbance, by kind. */
  readonly kinds: Readonly<Record<string, KindResult>>
  readonly workspaces: Readonly<Record<string, KindResult>>
  /** Largest excess of repeated arrivals over the budget in any window. */
  readonly worstExcess: number
  readonly budgetCount: number
  /** Root requests that were refused by the node where they entered, by tenth of a second. */
  readonly refusedPerStep: readonly number[]
  readonly failedPerStep: readonly number[]
}

interface Root extends RootRequest {
  readonly kind: ChainKind
  readonly node: number
  readonly firstSentAtMs: Millis
  readonly isResend: boolean
}

const BUDGET = { budgetRatio: 0.2, slackCount: 96, windowMs: 10_000 }
const HOP_MS: Millis = 1
const WORK_MS: Millis = 40
const SLOTS_COUNT = 28
const OBJECTIVE_MS: Millis = 1_500
const STEP_MS: Millis = 100
/** Nodes beside servers of the front service; their servers make the calls of the deep one. */
const FRONT_NODES_COUNT = 6
/** What the front service, which refuses nothing, reports. */
const NO_REFUSALS = { refusedRatio: 0, reportsCount: 1 }
/** Weight by which an average refusal ratio of a server keeps calls away from it, as in placement. */
const SHED_WEIGHT_RATIO = 0.1

/** Discrete-event model of a fleet whose deep service refuses calls. The modules of src/core decide. */
export class ChainFleet {
  readonly #plan: ChainFleetPlan
  readonly #events = new EventQueue()
  readonly #random: () => number
  readonly #admissions: ChainAdmissionDb[]
  readonly #budgets: FleetRetryBudgetDb[]
  readonly #servers: RefusedSendsDb[]
  readonly #running: number[]
  /** Refusals by node and server, as placement keeps them. */
  readonly #shedRatios: number[][]
  readonly #kinds: Record<string, KindResult> = {}
  readonly #workspaces: Record<string, KindResult> = {}
  readonly #requests: number[]
  readonly #repeats: number[]
  readonly #refused: number[]
  readonly #failed: number[]
  #rootsCount = 0

  constructor (plan: ChainFleetPlan) {
    this.#plan = plan
    this.#random = seededRandom(plan.seed)
    const nodes = Array.from({ length: plan.nodesCount }, (_, node) => node)
    this.#admissions = nodes.map(() => admission.createDb(admission.defaults))
    this.#budgets = nodes.map(() => retryBudget.createDb(BUDGET, -BUDGET.windowMs))
    for (const db of this.#budgets) retryBudget.setNodesCount(db, plan.nodesCount)
    this.#servers = Array.from({ length: plan.deepServersCount }, () => refusedSends.createDb())
    this.#running = this.#servers.map(() => 0)
    this.#shedRatios = nodes.map(() => this.#servers.map(() => 0))
    const createSteps = (): number[] => new Array<number>(Math.ceil(plan.durationMs / STEP_MS) + 1).fill(0)
    this.#requests = createSteps()
    this.#repeats = createSteps()
    this.#refused = createSteps()
    this.#failed = createSteps()
  }

  run (): ChainFleetResult {
    for (const kind of this.#plan.kinds) this.#scheduleArrival(kind)
    const { restartAtMs } = this.#plan
    if (restartAtMs !== undefined) {
      this.#events.scheduleAt(restartAtMs, () => {
        for (const db of this.#admissions.slice(FRONT_NODES_COUNT)) admission.clear(db)
      })
    }
    this.#events.runUntil(this.#plan.durationMs)
    return {
      kinds: this.#kinds,
      workspaces: this.#workspaces,
      ...this.#budgetUse(),
      refusedPerStep: this.#refused,
      failedPerStep: this.#failed
    }
  }

  get #step (): number {
    return Math.floor(this.#events.nowMs / STEP_MS)
  }

  #isDisturbed (nowMs: Millis): boolean {
    const { fromMs, toMs } = this.#plan.disturbance
    return nowMs >= fromMs && nowMs < toMs
  }

  #scheduleArrival (kind: ChainKind): void {
    this.#events.scheduleIn(sampleExponential(this.#random, 1000 / kind.ratePerS), () => {
      this.#scheduleArrival(kind)
      let left = this.#random()
      const workspaceName = Object.entries(kind.workspaces ?? {}).find(([, share]) => (left -= share) < 0)?.[0] ?? null
      const firstSentAtMs = this.#events.nowMs
      this.#count({ kind, workspaceName, firstSentAtMs }, 'offered')
      this.#enter(kind, workspaceName, firstSentAtMs, false)
    })
  }

  #count (root: Pick<Root, 'kind' | 'workspaceName' | 'firstSentAtMs'>, what: keyof KindResult): void {
    if (!this.#isDisturbed(root.firstSentAtMs)) return
    const create = (): KindResult => ({ offered: 0, inTime: 0, failedAfterWork: 0, refusedBeforeWork: 0 })
    const result = this.#kinds[root.kind.name] ??= create()
    result[what] += 1
    if (root.workspaceName !== null) (this.#workspaces[root.workspaceName] ??= create())[what] += 1
  }

  #enter (kind: ChainKind, workspaceName: string | null, firstSentAtMs: Millis, isResend: boolean): void {
    const { nowMs } = this.#events
    const root: Root = {
      routeName: kind.name,
      serviceName: kind.runsAtDeep ? 'deep' : 'front',
      rootId: `root-${this.#plan.seed}-${this.#rootsCount++}`,
      importanceRank: kind.importanceRank,
      workspaceName,
      kind,
      node: Math.floor(this.#random() * this.#plan.nodesCount),
      firstSentAtMs,
      isResend
    }
    const db = this.#admissions[root.node]!
    if (kind.runsAtDeep) this.#recordRequest(root.node)
    if (admission.decideRootRequest(db, root, this.#budgets[root.node]!, nowMs, this.#random).kind === 'refuse') {
      this.#refused[this.#step]! += 1
      this.#endRefused(root)
      return
    }
    const usage = new UsageSum()
    const finish = (isServed: boolean): void => {
      const list = usage.list()
      if (!kind.runsAtDeep) {
        admission.recordUtilization(db, list, this.#events.nowMs)
        list.push({ serviceName: 'front', slotMs: WORK_MS, utilizationRatio: 0.3, callsCount: 1, ...NO_REFUSALS })
      }
      if (isServed) admission.recordRequestCost(db, root, list, this.#events.nowMs)
      else if (list.some(entry => (entry.refusedRatio ?? 0) > 0)) {
        admission.recordFailedRequestCost(db, root, list, this.#events.nowMs)
      }
      this.#end(root, isServed)
    }
    if (kind.runsAtDeep) {
      this.#call(root, root.node, usage, finish)
      return
    }
    const front = Math.floor(this.#random() * FRONT_NODES_COUNT)
    this.#events.scheduleIn(HOP_MS + WORK_MS, () => this.#callNext(root, front, 0, usage, finish))
  }

  #end (root: Root, isServed: boolean): void {
    if (isServed) {
      if (this.#events.nowMs - root.firstSentAtMs <= OBJECTIVE_MS) this.#count(root, 'inTime')
    } else if (root.kind.runsAtDeep) this.#endRefused(root)
    else {
      this.#failed[this.#step]! += 1
      this.#count(root, 'failedAfterWork')
    }
  }

  /** A refused request returns once, after a quarter to three quarters of its objective. */
  #endRefused (root: Root): void {
    if (root.isResend) {
      this.#count(root, 'refusedBeforeWork')
      return
    }
    const delayMs = OBJECTIVE_MS * (0.25 + 0.5 * this.#random())
    this.#events.scheduleIn(delayMs, () => this.#enter(root.kind, root.workspaceName, root.firstSentAtMs, true))
  }

  #callNext (root: Root, node: number, madeCount: number, usage: UsageSum, finish: (isServed: boolean) => void): void {
    if (madeCount >= root.kind.callsCount) {
      finish(true)
      return
    }
    this.#recordRequest(node)
    this.#call(root, node, usage, isServed => {
      if (isServed) this.#callNext(root, node, madeCount + 1, usage, finish)
      else finish(false)
    })
  }

  #recordRequest (node: number): void {
    this.#requests[this.#step]! += 1
    retryBudget.recordRequest(this.#budgets[node]!, 'deep', this.#events.nowMs)
  }

  /** Sends one call of the deep service from a node, and again while it is refused and the budget allows it. */
  #call (root: Root, node: number, usage: UsageSum, onEnd: (isServed: boolean) => void, sendsCount = 1): void {
    const shedRatios = this.#shedRatios[node]!
    const costs = this.#running.map((count, server) => count / SLOTS_COUNT + shedRatios[server]! + this.#random() * 0.2)
    const server = costs.indexOf(Math.min(...costs))
    this.#arrive(server, sendsCount > 1)
    const isRefused = this.#isDisturbed(this.#events.nowMs) && this.#random() < this.#plan.refusedRatio(server)
    if (!isRefused) this.#running[server]! += 1
    this.#events.scheduleIn(2 * HOP_MS + (isRefused ? 0 : WORK_MS), () => {
      const { nowMs } = this.#events
      if (!isRefused) this.#running[server]! -= 1
      refusedSends.recordSend(this.#servers[server]!, isRefused, nowMs)
      shedRatios[server]! += ((isRefused ? 1 : 0) - shedRatios[server]!) * SHED_WEIGHT_RATIO
      const report = this.#createUsage(server, isRefused)
      usage.add(report)
      admission.recordUtilization(this.#admissions[node]!, report, nowMs)
      const isServerRefusing = this.#plan.reportsRefusals && this.#isDisturbed(nowMs)
      const arrivals = retryBudget.arrivalReport(this.#serverBudget(server), nowMs, isServerRefusing)
      retryBudget.recordArrivalReport(this.#budgets[node]!, 'deep', String(server), arrivals, nowMs)
      const mayRetry = isRefused && sendsCount < SENDS_MAX_COUNT && retryBudget.tryTakeRetry(this.#budgets[node]!, {
        serviceName: 'deep',
        serversCount: this.#servers.length,
        rootId: root.rootId,
        rootImportanceRank: root.importanceRank,
        isServiceRefusing: admission.isRefusing(this.#admissions[node]!, 'deep', nowMs)
      }, nowMs)
      if (mayRetry) this.#call(root, node, usage, onEnd, sendsCount + 1)
      else onEnd(!isRefused)
    })
  }

  /** The nodes beside the deep servers are the last ones. */
  #serverBudget (server: number): FleetRetryBudgetDb {
    return this.#budgets[(this.#plan.nodesCount - 1 - server + this.#plan.nodesCount) % this.#plan.nodesCount]!
  }

  #arrive (server: number, isRepeated: boolean): void {
    if (isRepeated) this.#repeats[this.#step]! += 1
    retryBudget.recordArrival(this.#serverBudget(server), isRepeated, this.#events.nowMs)
  }

  #createUsage (server: number, isRefused: boolean): ServiceUsage[] {
    const measured = this.#plan.reportsRefusals
      ? refusedSends.refusedRatio(this.#servers[server]!, this.#events.nowMs)
      : null
    const refusedRatio = this.#plan.reported === undefined ? measured : this.#plan.reported(server, measured)
    return [{
      serviceName: 'deep',
      slotMs: isRefused ? 0 : WORK_MS,
      utilizationRatio: this.#running[server]! / SLOTS_COUNT,
      callsCount: isRefused ? 0 : 1,
      refusedRatio,
      reportsCount: 1
    }]
  }

  /** The budget of a window counts the requests of this window or of the one before it. */
  #budgetUse (): { worstExcess: number, budgetCount: number } {
    const windowSteps = BUDGET.windowMs / STEP_MS
    const sum = (list: readonly number[], from: number): number => {
      return list.slice(Math.max(0, from), Math.max(0, from + windowSteps)).reduce((a, b) => a + b, 0)
    }
    let worstExcess = -Infinity
    let budgetCount = 0
    for (let from = 0; from + windowSteps <= this.#requests.length; from++) {
      const counted = Math.max(...[0, windowSteps / 2, windowSteps].map(back => sum(this.#requests, from - back)))
      const allowed = BUDGET.budgetRatio * counted + BUDGET.slackCount
      if (sum(this.#repeats, from) - allowed <= worstExcess) continue
      worstExcess = sum(this.#repeats, from) - allowed
      budgetCount = allowed
    }
    return { worstExcess, budgetCount }
  }
}
