import type { Millis } from '../clock/clock.js'
import { pickRandomMember, sampleExponential, seededRandom } from '../standins/randomNumbers.js'
import type { RandomSource } from '../core/coreTypes.js'
import { tokensAfterRefill } from '../core/tokenBucket.js'
import type { AllotmentDb } from '../core/allotment/allotmentDb.js'
import { allotmentDefinition as allotment } from '../core/allotment/allotmentDefinition.js'
import type { AllotmentMember, AllotmentRule } from '../core/allotment/allotmentTypes.js'

const STEP_MS: Millis = 2
const BIN_MS: Millis = 20
const WINDOW_MS: Millis = 5_000
const OVER_RATIO = 0.25
const SLACK_COUNT = 20
/** After this time without a connection a node counts as not usable, as with the pings of the links. */
const LINK_LOST_AFTER_MS: Millis = 500
/** What is refused is measured after the first start of the whole fleet. */
const MEASURED_FROM_MS: Millis = 2_000
const USUAL_MIN_PER_S = 3.75
const USUAL_MAX_PER_NODE_PER_S = 2.2
const LIMIT_RATIO = 1.6
/** Large, middle and small workspaces: first index, and the one after the last. */
const SIZE_CLASSES = [[0, 5], [5, 30], [30, 85]] as const

/** What happens in a run. All functions are of the time since the start of the run. */
export interface ModelCase {
  readonly name: string
  readonly runMs: Millis
  readonly burstRatio?: number
  /** Demand of the workspace with this index, in multiples of the usual one. */
  readonly demandRatio?: (workspaceAt: number, nowMs: Millis) => number
  /** Nodes at which the workspace enters; all of them if null. */
  readonly entryNodes?: (workspaceAt: number, nowMs: Millis, nodesCount: number) => readonly number[] | null
  /** Limit in multiples of the usual one; nodes learn it within a second. */
  readonly limitRatio?: (workspaceAt: number, nowMs: Millis) => number
  /** Side of a partition on which a node is; messages pass within a side only. */
  readonly sideOf?: (node: ModelNode, fleet: FleetModel, nowMs: Millis) => number
  /** Nodes whose process is replaced at this time, and how long that takes. */
  readonly restarts?: readonly ModelRestart[]
}

export interface ModelRestart {
  readonly atMs: Millis
  readonly downMs: Millis
  readonly select: (node: ModelNode, fleet: FleetModel) => boolean
}

export interface ModelNode {
  readonly at: number
  readonly member: AllotmentMember
  db: AllotmentDb
  startsAtMs: Millis
  /** When its next report is due, as of its last request or report. */
  dueAtMs: Millis
  rules: readonly AllotmentRule[]
}

interface ModelWorkspace {
  readonly name: string
  readonly usualPerS: number
  readonly ranByBin: Float64Array
  readonly limitByBin: Float64Array
  nextArrivalMs: Millis
  referenceTokensCount: number
  referenceAtMs: Millis
  referenceCount: number
  grantedCount: number
  refusedWithinCount: number
}

/** Result of one run. */
export interface ModelResult {
  /** Largest count in a window in proportion to the bound, over all workspaces. */
  readonly worstRatio: number
  readonly worstWorkspace: string
  /** Requests refused that one bucket over all nodes would have admitted, in proportion to those it admits. */
  readonly refusedWithinRatio: number
  /** The same for the large, middle and small workspaces together, whichever is highest. */
  readonly refusedBySizeRatio: number
  /** The same for the single workspace for which it is highest; of a small one, a single request is 2%. */
  readonly refusedWithinMaxRatio: number
  /** Requests by which fewer were admitted in total than by one bucket over all nodes. */
  readonly shortRatio: number
  readonly largestReportsPerS: number
  readonly messagesPerNodePerS: number
  readonly textBytesPerNodePerS: number
}

/** A fleet that exchanges messages as values, with a clock that the run moves. */
export class FleetModel {
  readonly nodes: ModelNode[] = []
  readonly #random: RandomSource
  readonly #case: ModelCase
  readonly #workspaces: ModelWorkspace[] = []
  readonly #inbox = new Map<number, Array<() => void>>()
  readonly #nodeByIp = new Map<string, ModelNode>()
  readonly #sideByAt: Int8Array
  readonly #splitSinceMs: Float64Array
  readonly #reportsByIp = new Map<string, number>()
  #ordered: AllotmentDb | null = null
  #messagesCount = 0
  #textBytes = 0
  #nowMs: Millis = 0

  constructor (modelCase: ModelCase, nodesCount: number, dataCentresCount: number, seed: number) {
    this.#case = modelCase
    this.#random = seededRandom(seed)
    this.#sideByAt = new Int8Array(nodesCount)
    this.#splitSinceMs = new Float64Array(nodesCount).fill(Infinity)
    const binsCount = Math.ceil(modelCase.runMs / BIN_MS) + 1
    for (let at = 0; at < 85; at++) {
      const usualPerS = Math.max(USUAL_MIN_PER_S, USUAL_MAX_PER_NODE_PER_S * nodesCount / (at + 1) ** 0.9)
      this.#workspaces.push({
        name: `workspace-${at}`,
        usualPerS,
        ranByBin: new Float64Array(binsCount),
        limitByBin: new Float64Array(binsCount),
        nextArrivalMs: 0,
        referenceTokensCount: usualPerS * LIMIT_RATIO * (modelCase.burstRatio ?? 1),
        referenceAtMs: 0,
        referenceCount: 0,
        grantedCount: 0,
        refusedWithinCount: 0
      })
    }
    for (let at = 0; at < nodesCount; at++) {
      const member = { ip: `10.0.${at >> 8}.${at & 255}`, dataCentre: `dc-${at % dataCentresCount}` }
      const db = null as unknown as AllotmentDb
      const node = { at, member, db, startsAtMs: this.#random() * 300, dueAtMs: 0, rules: [] }
      this.nodes.push(node)
      this.#nodeByIp.set(member.ip, node)
    }
    for (const node of this.nodes) this.#startProcess(node)
  }

  /** Whether the node is the coordinator of its data centre. */
  isCoordinator (node: ModelNode): boolean {
    return node.db.orderByDataCentre.get(node.member.dataCentre)?.[0] === node.member.ip
  }

  run (): ModelResult {
    const { runMs, restarts = [] } = this.#case
    for (; this.#nowMs < runMs; this.#nowMs += STEP_MS) {
      const nowMs = this.#nowMs
      const step = Math.round(nowMs / STEP_MS)
      for (const deliver of this.#inbox.get(step) ?? []) deliver()
      this.#inbox.delete(step)
      if (nowMs % BIN_MS === 0) this.#startBin()
      for (const { atMs, downMs, select } of restarts) {
        if (nowMs !== atMs) continue
        for (const node of this.nodes.filter(candidate => select(candidate, this))) {
          node.startsAtMs = nowMs + downMs + this.#random() * 200
          this.#startProcess(node)
        }
      }
      for (const node of this.nodes) this.#tick(node)
      for (const [at, workspace] of this.#workspaces.entries()) this.#offer(workspace, at)
    }
    return this.#result()
  }

  #startProcess (node: ModelNode): void {
    node.db = allotment.createDb({
      own: node.member,
      quota: { windowMs: WINDOW_MS, overRatio: OVER_RATIO, slackCount: SLACK_COUNT },
      random: this.#random
    })
    // Each node computes the same order from the same list; it is computed once to save time.
    if (this.#ordered === null) {
      allotment.setMembers(node.db, this.nodes.map(({ member }) => member))
      this.#ordered = node.db
    }
    const { orderByDataCentre, nodesCount } = this.#ordered
    Object.assign(node.db, { orderByDataCentre, nodesCount })
    node.rules = []
    node.dueAtMs = 0
    this.#syncRules(node)
  }

  #ruleOf (workspace: ModelWorkspace, at: number, atMs: Millis): AllotmentRule {
    const limitPerS = workspace.usualPerS * LIMIT_RATIO * (this.#case.limitRatio?.(at, atMs) ?? 1)
    return { name: workspace.name, ratePerS: limitPerS, burstCount: limitPerS * (this.#case.burstRatio ?? 1) }
  }

  /** A node learns a change of a limit up to a second late. */
  #syncRules (node: ModelNode): void {
    if (node.rules.length > 0 && this.#case.limitRatio === undefined) return
    const atMs = Math.max(0, this.#nowMs - node.at % 10 * 100)
    node.rules = this.#workspaces.map((workspace, at) => this.#ruleOf(workspace, at, atMs))
    allotment.setRules(node.db, node.rules, this.#nowMs)
  }

  #startBin (): void {
    const nowMs = this.#nowMs
    const bin = nowMs / BIN_MS
    for (const [at, workspace] of this.#workspaces.entries()) {
      const { ratePerS, burstCount } = this.#ruleOf(workspace, at, nowMs)
      workspace.limitByBin[bin] = (ratePerS * WINDOW_MS / 1000 + burstCount) * (1 + OVER_RATIO) + SLACK_COUNT
    }
    if (this.#case.limitRatio !== undefined && nowMs % 500 === 0) for (const node of this.nodes) this.#syncRules(node)
    const { sideOf } = this.#case
    if (sideOf === undefined) return
    for (const node of this.nodes) {
      const side = sideOf(node, this, nowMs)
      if (side !== this.#sideByAt[node.at]) this.#splitSinceMs[node.at] = nowMs
      this.#sideByAt[node.at] = side
    }
  }

  #isUp (node: ModelNode): boolean {
    return this.#nowMs >= node.startsAtMs
  }

  #mayPass (from: ModelNode, to: ModelNode): boolean {
    return this.#isUp(to) && this.#sideByAt[from.at] === this.#sideByAt[to.at]
  }

  #isUsable (from: ModelNode, ip: string): boolean {
    const to = this.#nodeByIp.get(ip)!
    if (!this.#isUp(to)) return this.#nowMs < to.startsAtMs - 1_500 + LINK_LOST_AFTER_MS
    if (this.#sideByAt[from.at] === this.#sideByAt[to.at]) return true
    return this.#nowMs < Math.min(this.#splitSinceMs[from.at]!, this.#splitSinceMs[to.at]!) + LINK_LOST_AFTER_MS
  }

  /** Delivers a message after 1 to 5 ms, if both ends are connected then. */
  #send (from: ModelNode, toIp: string, message: object, receive: (to: ModelNode) => void): void {
    const to = this.#nodeByIp.get(toIp)!
    this.#messagesCount += 1
    if (this.#messagesCount % 50 === 0) this.#textBytes += JSON.stringify(message).length * 50
    const db = to.db
    const step = Math.round((this.#nowMs + 1 + this.#random() * 4) / STEP_MS) + 1
    const entries = this.#inbox.get(step) ?? []
    this.#inbox.set(step, entries)
    entries.push(() => { if (this.#mayPass(from, to) && to.db === db) receive(to) })
  }

  #tick (node: ModelNode): void {
    const nowMs = this.#nowMs
    const { db } = node
    if (nowMs < node.dueAtMs && db.coordinator === null) return
    if (!this.#isUp(node)) return
    if (nowMs >= node.dueAtMs) {
      this.#report(node)
      node.dueAtMs = allotment.reportDueAtMs(db)
    }
    if (db.coordinator === null) return
    if (allotment.isExchangeDue(db, nowMs)) {
      allotment.refreshHeld(db, nowMs)
      const sums = allotment.createSums(db, nowMs)
      for (const ip of allotment.exchangeTargets(db, target => this.#isUsable(node, target), nowMs)) {
        this.#send(node, ip, sums, to => allotment.acceptSums(to.db, node.member.ip, sums, this.#nowMs))
      }
    }
    if (allotment.takePush(db, nowMs)) {
      for (const ip of allotment.heardNodeIps(db, nowMs)) this.#sendAnswer(node, ip)
    }
  }

  #report (node: ModelNode): void {
    const nowMs = this.#nowMs
    const { db, member } = node
    const ip = allotment.chooseCoordinator(db, target => this.#isUsable(node, target), nowMs)
    if (ip === null) return
    const report = allotment.createReport(db, ip, nowMs)
    if (ip === member.ip) {
      allotment.acceptReport(db, ip, report, nowMs)
      allotment.acceptAnswer(db, allotment.createAnswer(db, nowMs), nowMs)
      return
    }
    this.#reportsByIp.set(ip, (this.#reportsByIp.get(ip) ?? 0) + 1)
    this.#send(node, ip, report, to => {
      allotment.acceptReport(to.db, member.ip, report, this.#nowMs)
      this.#sendAnswer(to, member.ip)
    })
  }

  #sendAnswer (node: ModelNode, ip: string): void {
    const answer = allotment.createAnswer(node.db, this.#nowMs)
    if (ip === node.member.ip) allotment.acceptAnswer(node.db, answer, this.#nowMs)
    else this.#send(node, ip, answer, to => allotment.acceptAnswer(to.db, answer, this.#nowMs))
  }

  #offer (workspace: ModelWorkspace, at: number): void {
    const endMs = this.#nowMs + STEP_MS
    for (; workspace.nextArrivalMs < endMs;) {
      const demandPerS = workspace.usualPerS * (this.#case.demandRatio?.(at, this.#nowMs) ?? 1)
      workspace.nextArrivalMs += sampleExponential(this.#random, 1000 / demandPerS)
      const entries = this.#case.entryNodes?.(at, this.#nowMs, this.nodes.length) ?? null
      const node = entries === null
        ? pickRandomMember(this.#random, this.nodes)
        : this.nodes[pickRandomMember(this.#random, entries)]!
      if (this.#isUp(node)) this.#offerOne(workspace, at, node)
    }
    // The workspace may have been idle; its next request follows changed demand.
    workspace.nextArrivalMs = Math.min(workspace.nextArrivalMs, endMs + 2_000)
  }

  #offerOne (workspace: ModelWorkspace, at: number, node: ModelNode): void {
    const { ratePerS, burstCount } = this.#ruleOf(workspace, at, this.#nowMs)
    const level = { tokensCount: workspace.referenceTokensCount, refilledAtMs: workspace.referenceAtMs }
    const tokensCount = tokensAfterRefill(level, ratePerS, Math.max(1, burstCount), this.#nowMs)
    const isWithin = tokensCount >= 1
    workspace.referenceTokensCount = tokensCount - (isWithin ? 1 : 0)
    workspace.referenceAtMs = this.#nowMs
    const isMeasured = this.#nowMs >= MEASURED_FROM_MS
    workspace.referenceCount += isWithin && isMeasured ? 1 : 0
    const decision = allotment.decide(node.db, workspace.name, this.#nowMs)
    node.dueAtMs = allotment.reportDueAtMs(node.db)
    if (decision.kind === 'within') {
      workspace.grantedCount += isMeasured ? 1 : 0
      workspace.ranByBin[Math.floor(this.#nowMs / BIN_MS)]! += 1
    } else if (isWithin && isMeasured) workspace.refusedWithinCount += 1
  }

  #worstRatioOf ({ ranByBin, limitByBin }: ModelWorkspace): number {
    const binsCount = WINDOW_MS / BIN_MS
    let sum = 0
    let worst = 0
    for (let end = 0; end < ranByBin.length - 1; end++) {
      sum += ranByBin[end]! - (end >= binsCount ? ranByBin[end - binsCount]! : 0)
      // A lowered limit binds one window after all nodes know it, which takes a second.
      const start = Math.max(0, end - binsCount + 1)
      const knownAt = Math.max(0, start - 1_500 / BIN_MS)
      let limit = 0
      for (let bin = knownAt; bin <= end; bin += 5) limit = Math.max(limit, limitByBin[bin]!)
      worst = Math.max(worst, sum / limit)
    }
    return worst
  }

  #result (): ModelResult {
    const workspaces = this.#workspaces
    const sum = (of: (workspace: ModelWorkspace) => number): number => {
      return workspaces.reduce((total, one) => total + of(one), 0)
    }
    const ranked = workspaces.map(workspace => ({ workspace, ratio: this.#worstRatioOf(workspace) }))
      .sort((a, b) => b.ratio - a.ratio)
    const referenceCount = sum(one => one.referenceCount)
    const seconds = this.#case.runMs / 1000
    return {
      worstRatio: ranked[0]!.ratio,
      worstWorkspace: ranked[0]!.workspace.name,
      refusedWithinRatio: sum(one => one.refusedWithinCount) / referenceCount,
      refusedBySizeRatio: Math.max(...SIZE_CLASSES.map(([first, end]) => {
        const members = workspaces.slice(first, end)
        const refusedCount = members.reduce((total, one) => total + one.refusedWithinCount, 0)
        return refusedCount / members.reduce((total, one) => total + one.referenceCount, 0)
      })),
      refusedWithinMaxRatio: Math.max(...workspaces.map(one => {
        return one.refusedWithinCount / Math.max(1, one.referenceCount)
      })),
      shortRatio: sum(one => Math.max(0, one.referenceCount - one.grantedCount)) / referenceCount,
      largestReportsPerS: Math.max(0, ...this.#reportsByIp.values()) / seconds,
      messagesPerNodePerS: this.#messagesCount / this.nodes.length / seconds,
      textBytesPerNodePerS: this.#textBytes / this.nodes.length / seconds
    }
  }
}
