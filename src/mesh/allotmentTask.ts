import type { Clock, Millis } from '../clock/clock.js'
import { allotmentDefinition } from '../core/allotment/allotmentDefinition.js'
import type {
  AllotmentDecision, AllotmentMember, AllotmentRule, QuotaSettings
} from '../core/allotment/allotmentTypes.js'
import type { WorkspaceRule } from '../core/configuration/configurationTypes.js'
import type { RandomSource } from '../core/coreTypes.js'
import type { NodeMetrics } from './nodeMetrics.js'
import { encodeNotice, type AllotmentNotice } from './notices.js'

/** Least delay of the timer, so that an overdue report does not occupy the event loop. */
const TIMER_MIN_MS: Millis = 20

export interface AllotmentTaskOptions {
  readonly clock: Clock
  readonly random: RandomSource
  readonly own: AllotmentMember
  readonly quota: QuotaSettings | null
  readonly metrics: NodeMetrics
  /** The nodes of the server list. A node may be listed several times. */
  readonly members: () => Iterable<AllotmentMember>
  readonly isUsable: (ip: string) => boolean
  /** Sends a notice to a node, and connects to it if necessary. */
  readonly sendTo: (ip: string, text: string) => void
}

/**
 * Keeps workspaces within their limits over all nodes: counts requests, reports them to the coordinator of the data
 * centre, and is the coordinator if other nodes report here. Without limits in the configuration it does nothing.
 */
export class AllotmentTask {
  readonly #options: AllotmentTaskOptions
  readonly #db
  #timer: NodeJS.Timeout | null = null
  #areMembersStale = true

  constructor (options: AllotmentTaskOptions) {
    this.#options = options
    const { own, quota, random, metrics } = options
    this.#db = allotmentDefinition.createDb({ own, quota, random })
    metrics.registerGauge('workspaces_limited', () => {
      return [...this.#db.allotments.values()].filter(({ admittedRatio }) => admittedRatio < 1).length
    })
  }

  get #nowMs (): Millis {
    return this.#options.clock.monotonicMs()
  }

  /** Applies the limits of a new configuration; the timer runs only if there are any. */
  setWorkspaces (workspaces: ReadonlyMap<string, WorkspaceRule>): void {
    const rules: AllotmentRule[] = []
    for (const { name, ratePerS, burstCount } of workspaces.values()) {
      if (ratePerS !== null) rules.push({ name, ratePerS, burstCount })
    }
    if (rules.length === 0 && this.#db.allotments.size === 0) return
    this.#syncMembers()
    allotmentDefinition.setRules(this.#db, rules, this.#nowMs)
    if (rules.length === 0) this.stop()
    else if (this.#timer === null) this.#schedule()
  }

  /** Notes that the server list has changed. It is read at the next report. */
  markMembersStale (): void {
    this.#areMembersStale = true
  }

  /** Decides whether a root request of a workspace is within its allotment, and counts it. */
  decide (workspaceName: string, nowMs: Millis): AllotmentDecision {
    if (!this.#db.allotments.has(workspaceName)) return { kind: 'within' }
    const decision = allotmentDefinition.decide(this.#db, workspaceName, nowMs)
    this.#count(workspaceName, decision.kind === 'within' ? 'granted' : 'refused')
    if (this.#db.isReportWanted && nowMs >= allotmentDefinition.reportDueAtMs(this.#db)) this.#report(nowMs)
    return decision
  }

  /** Takes back a granted request that no backend server ran. */
  giveBack (workspaceName: string): void {
    if (!this.#db.allotments.has(workspaceName)) return
    allotmentDefinition.giveBack(this.#db, workspaceName, this.#nowMs)
    this.#count(workspaceName, 'refunded')
  }

  receiveNotice (notice: AllotmentNotice, fromIp: string): void {
    const nowMs = this.#nowMs
    // A coordinator that does not know the limits yet gives no answer, so that the sender chooses another one.
    if (this.#db.allotments.size === 0) return
    switch (notice.method) {
      case 'allotment_report':
        allotmentDefinition.acceptReport(this.#db, fromIp, notice, nowMs)
        this.#answer(fromIp, nowMs)
        break
      case 'allotment_answer': return allotmentDefinition.acceptAnswer(this.#db, notice, nowMs)
      case 'allotment_sums': allotmentDefinition.acceptSums(this.#db, fromIp, notice, nowMs)
    }
    this.#pushIfDue(nowMs)
  }

  stop (): void {
    if (this.#timer !== null) clearTimeout(this.#timer)
    this.#timer = null
  }

  #count (workspace: string, kind: string): void {
    this.#options.metrics.incrementCounter('allotment_requests', { workspace, kind })
  }

  #syncMembers (): void {
    if (!this.#areMembersStale) return
    this.#areMembersStale = false
    allotmentDefinition.setMembers(this.#db, this.#options.members())
  }

  #schedule (): void {
    const nowMs = this.#nowMs
    const periodMs = allotmentDefinition.reportPeriodMs(this.#db)
    // A coordinator exchanges sums more often than it reports in a large data centre.
    const tickMs = this.#db.coordinator === null ? periodMs : Math.min(periodMs, 300)
    const dueMs = Math.min(tickMs, allotmentDefinition.reportDueAtMs(this.#db) - nowMs)
    this.#timer = setTimeout(() => this.#tick(), Math.max(TIMER_MIN_MS, dueMs))
  }

  #tick (): void {
    const nowMs = this.#nowMs
    if (nowMs >= allotmentDefinition.reportDueAtMs(this.#db)) this.#report(nowMs)
    if (allotmentDefinition.isExchangeDue(this.#db, nowMs)) this.#exchange(nowMs)
    this.#pushIfDue(nowMs)
    this.#schedule()
  }

  #report (nowMs: Millis): void {
    const { own, isUsable, sendTo } = this.#options
    this.#syncMembers()
    const ip = allotmentDefinition.chooseCoordinator(this.#db, isUsable, nowMs)
    if (ip === null) return
    const report = allotmentDefinition.createReport(this.#db, ip, nowMs)
    if (ip === own.ip) this.receiveNotice({ method: 'allotment_report', ...report }, ip)
    else sendTo(ip, encodeNotice({ method: 'allotment_report', ...report }))
  }

  #exchange (nowMs: Millis): void {
    const { isUsable, sendTo } = this.#options
    allotmentDefinition.refreshHeld(this.#db, nowMs)
    const targets = allotmentDefinition.exchangeTargets(this.#db, isUsable, nowMs)
    const text = encodeNotice({ method: 'allotment_sums', ...allotmentDefinition.createSums(this.#db, nowMs) })
    for (const ip of targets) sendTo(ip, text)
  }

  #pushIfDue (nowMs: Millis): void {
    if (!allotmentDefinition.takePush(this.#db, nowMs)) return
    for (const ip of allotmentDefinition.heardNodeIps(this.#db, nowMs)) this.#answer(ip, nowMs)
  }

  #answer (ip: string, nowMs: Millis): void {
    const answer = allotmentDefinition.createAnswer(this.#db, nowMs)
    if (ip === this.#options.own.ip) allotmentDefinition.acceptAnswer(this.#db, answer, nowMs)
    else this.#options.sendTo(ip, encodeNotice({ method: 'allotment_answer', ...answer }))
  }
}
