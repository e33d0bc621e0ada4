import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { ManualClock, type Millis } from '../clock/clock.js'
import type { RandomSource } from '../core/coreTypes.js'
import type { ListedServer } from '../core/discovery/discoveryTypes.js'
import type { PlacementDb } from '../core/placement/placementDb.js'
import { placementDefinition as placement } from '../core/placement/placementDefinition.js'
import { SendOutcome, type LoadReport } from '../core/placement/placementTypes.js'
import type { SlotsDb } from '../core/slots/slotsDb.js'
import { slotsDefinition as slots } from '../core/slots/slotsDefinition.js'
import { createListedServer } from './listedServers.js'
import { LoadPolicy, choosers } from './loadPolicies.js'
import { TimedQueue } from './timedQueue.js'

/** A period in which a server takes `factor` times as long. */
export interface SlowPeriod {
  readonly serverIndex: number
  readonly fromMs: Millis
  readonly toMs: Millis
  readonly factor: number
}

/** One case of the model. Ratios are 0 to 1; `loadRatio` is relative to the capacity of the service. */
export interface LoadCase {
  readonly nodesCount: number
  readonly serversCount: number
  readonly loadRatio: number
  readonly durationMs?: Millis
  readonly seed?: number
  /** Amplitude of the demand of each data centre around its mean, with a period of 15 s. */
  readonly swingRatio?: number
  readonly slowPeriods?: readonly SlowPeriod[]
  /** When the last server joins; by default it is there from the start. */
  readonly joinAtMs?: Millis
  readonly lostReportsRatio?: number
  /** Part of the reports that show the load of an earlier time or of a former, idle incarnation. */
  readonly wrongReportsRatio?: number
  /** Pace that the first server states regardless of its speed. */
  readonly liedPaceRatio?: number
}

/** What a run of the model measured, after the first second. */
export interface LoadFigures {
  /** Utilization of the busiest server over the mean of all, averaged over windows of one second. */
  readonly busiestRatio: number
  /** Part of the time in which calls queue at one server while another one has a free slot. */
  readonly unevenTimeRatio: number
  /** Calls that wait although a slot is free elsewhere, on average, relative to all slots. */
  readonly avoidableWaitRatio: number
  readonly p50Ms: Millis
  readonly p99Ms: Millis
  /** Parts of all calls. */
  readonly refusedRatio: number
  readonly awayRatio: number
  /** Messages between nodes for each call. */
  readonly messagesRatio: number
  /** Calls that the server which joined ran in its first second and in the next three, relative to the mean. */
  readonly joinedRatios: readonly number[]
}

const DATA_CENTRES = ['tartu', 'parnu', 'narva']
const SLOTS_COUNT = 16
/** Concurrency limit of a server with this many slots. */
const LIMIT_COUNT = 15
const SERVICE_MEAN_MS: Millis = 140
const SERVICE_SIGMA = 0.5
const HOME_LATENCY_MS: Millis = 0.1
const AWAY_LATENCY_MS: Millis = 0.9
const QUEUE_WAIT_MAX_MS: Millis = 350
const SENDS_MAX_COUNT = 3
const SWING_PERIOD_MS: Millis = 15_000
const TICK_MS: Millis = 10
const WARM_UP_MS: Millis = 3_000
const SETTLING_MS: Millis = 1_000

interface ModelServer {
  readonly entry: ListedServer
  readonly slots: SlotsDb
  readonly speedRatio: number
  busySum: number
  readonly startsAtMs: Millis[]
  /** Load at an earlier time, for reports that arrive late. */
  earlier: LoadReport
}

interface ModelCall {
  readonly node: { readonly db: PlacementDb, readonly dataCentre: string }
  readonly beganAtMs: Millis
  /** Time that the call takes at a server of usual speed. */
  readonly usualMs: Millis
  readonly tried: string[]
}

/** Calls of many nodes to the servers of one service, on a simulated clock and without network. */
class LoadModel {
  readonly #plan: LoadCase
  readonly #policy: LoadPolicy
  readonly #clock = new ManualClock()
  readonly #queue = new TimedQueue()
  readonly #random: RandomSource
  /** Source of the arrivals and of the work of each call, so that all policies get the same demand. */
  readonly #demandRandom: RandomSource
  readonly #servers: ModelServer[]
  readonly #nodes: Array<ModelCall['node']>
  #listed: ListedServer[]
  readonly #tookMs: Millis[] = []
  readonly #counts = { calls: 0, refused: 0, away: 0, sends: 0, ticks: 0, unevenTicks: 0, avoidable: 0 }
  readonly #busiest: number[] = []

  constructor (plan: LoadCase, policy: LoadPolicy) {
    this.#plan = plan
    this.#policy = policy
    const generators = [0, 1_000].map(offset => xoroshiro128plus((plan.seed ?? 1) + offset))
    this.#random = () => uniformFloat64(generators[0]!)
    this.#demandRandom = () => uniformFloat64(generators[1]!)
    this.#servers = Array.from({ length: plan.serversCount }, (_, index) => this.#createServer(index))
    this.#listed = this.#servers.map(({ entry }) => entry)
    if (plan.joinAtMs !== undefined) this.#listed = this.#listed.slice(0, -1)
    this.#nodes = Array.from({ length: plan.nodesCount }, (_, index) => {
      const dataCentre = DATA_CENTRES[index % DATA_CENTRES.length]!
      return {
        dataCentre,
        db: placement.createDb({
          ownDataCentre: dataCentre, ownIp: '', remotePenaltyRatio: 0.4, remotePathMs: 2 * AWAY_LATENCY_MS
        })
      }
    })
  }

  #createServer (index: number): ModelServer {
    const db = slots.createDb({ ...slots.defaults })
    slots.setSlotsCount(db, SLOTS_COUNT, 0)
    // Speeds 0.5 to 1.5 in an order that gives each data centre slow and fast servers.
    const speedRatio = 0.5 + ((index * 0.618) % 1)
    const dataCentre = DATA_CENTRES[index % DATA_CENTRES.length]!
    const entry = createListedServer({ serverId: String(index), dataCentre, slotsCount: SLOTS_COUNT })
    return { entry, slots: db, speedRatio, busySum: 0, startsAtMs: [], earlier: slots.getLoadReport(db) }
  }

  run (): LoadFigures {
    const durationMs = this.#plan.durationMs ?? 6_000
    const speedSum = this.#servers.reduce((sum, { speedRatio }) => sum + speedRatio, 0)
    const callsPerMs = this.#plan.loadRatio * speedSum * LIMIT_COUNT / SERVICE_MEAN_MS
    for (const [index] of DATA_CENTRES.entries()) this.#scheduleArrival(index, callsPerMs / DATA_CENTRES.length)
    this.#scheduleTick()
    const { joinAtMs } = this.#plan
    if (joinAtMs !== undefined) this.#queue.add(joinAtMs, () => this.#join())
    for (let next = this.#queue.take(); next !== undefined && next.atMs <= durationMs; next = this.#queue.take()) {
      this.#clock.advanceMs(Math.max(0, next.atMs - this.#nowMs))
      next.run()
    }
    return this.#figures(durationMs)
  }

  get #nowMs (): Millis {
    return this.#clock.monotonicMs()
  }

  #join (): void {
    const entry = { ...this.#servers.at(-1)!.entry, warmingMs: WARM_UP_MS }
    this.#listed = [...this.#listed, entry]
    for (const { db } of this.#nodes) placement.markWarmingUp(db, entry, this.#nowMs)
  }

  #scheduleArrival (dataCentreIndex: number, perMs: number): void {
    const { swingRatio = 0 } = this.#plan
    const phase = 2 * Math.PI * (this.#nowMs / SWING_PERIOD_MS + dataCentreIndex / DATA_CENTRES.length)
    const gapMs = -Math.log(1 - this.#demandRandom()) / (perMs * (1 + swingRatio * Math.sin(phase)))
    this.#queue.add(this.#nowMs + gapMs, () => {
      this.#scheduleArrival(dataCentreIndex, perMs)
      const own = this.#nodes.filter((_, index) => index % DATA_CENTRES.length === dataCentreIndex)
      if (this.#nowMs > SETTLING_MS) this.#counts.calls += 1
      const node = own[Math.floor(this.#demandRandom() * own.length)]!
      this.#send({ node, beganAtMs: this.#nowMs, usualMs: this.#drawWorkMs(), tried: [] })
    })
  }

  /** Time that a call takes at a server of usual speed, log-normal. */
  #drawWorkMs (): Millis {
    const random = this.#demandRandom
    const normal = Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random())
    return SERVICE_MEAN_MS * Math.exp(SERVICE_SIGMA * normal - SERVICE_SIGMA ** 2 / 2)
  }

  #send (call: ModelCall): void {
    const { db } = call.node
    const request = { servers: this.#listed, triedServerIds: call.tried }
    const target = call.tried.length >= SENDS_MAX_COUNT
      ? undefined
      : choosers[this.#policy](db, request, this.#nowMs, this.#random)
    if (target === undefined) {
      if (this.#nowMs > SETTLING_MS) this.#counts.refused += 1
      return
    }
    const isAway = target.dataCentre !== call.node.dataCentre
    const latencyMs = isAway ? AWAY_LATENCY_MS : HOME_LATENCY_MS
    if (this.#nowMs > SETTLING_MS) {
      this.#counts.sends += 1
      if (isAway) this.#counts.away += 1
    }
    call.tried.push(target.serverId)
    placement.recordSend(db, target)
    const server = this.#servers[Number(target.serverId)]!
    this.#queue.add(this.#nowMs + latencyMs, () => this.#arrive(call, server, target, latencyMs))
  }

  #arrive (call: ModelCall, server: ModelServer, target: ListedServer, latencyMs: Millis): void {
    const arrivedAtMs = this.#nowMs
    const answer = (outcome: SendOutcome, slotMs: Millis): void => {
      const report = this.#report(server)
      this.#queue.add(this.#nowMs + latencyMs, () => {
        const { db } = call.node
        if (report !== null) placement.recordLoadReport(db, target, report, this.#nowMs, slotMs)
        placement.recordOutcome(db, target, outcome, this.#nowMs)
        if (outcome === SendOutcome.Refused) this.#send(call)
        else if (call.beganAtMs > SETTLING_MS) this.#tookMs.push(this.#nowMs - call.beganAtMs)
      })
    }
    slots.requestSlot(server.slots, {
      call: { rank: 0, arrivedAtMs, startByMs: arrivedAtMs + QUEUE_WAIT_MAX_MS },
      refuse: () => answer(SendOutcome.Refused, 0),
      start: () => {
        server.startsAtMs.push(this.#nowMs)
        const slotMs = call.usualMs * this.#paceOf(server)
        this.#queue.add(this.#nowMs + slotMs, () => {
          answer(SendOutcome.Served, slotMs)
          slots.releaseSlot(server.slots, slotMs, this.#nowMs)
        })
      }
    }, arrivedAtMs)
  }

  #paceOf (server: ModelServer): number {
    const { slowPeriods = [], joinAtMs } = this.#plan
    const isWarming = joinAtMs !== undefined && server === this.#servers.at(-1) && this.#nowMs < joinAtMs + WARM_UP_MS
    return slowPeriods.reduce((pace, { serverIndex, fromMs, toMs, factor }) => {
      const isSlow = this.#servers[serverIndex] === server && this.#nowMs >= fromMs && this.#nowMs < toMs
      return isSlow ? pace * factor : pace
    }, (isWarming ? 2 : 1) / server.speedRatio)
  }

  #report (server: ModelServer): LoadReport | null {
    const { lostReportsRatio = 0, wrongReportsRatio = 0, liedPaceRatio } = this.#plan
    if (lostReportsRatio > 0 && this.#random() < lostReportsRatio) return null
    const isStated = this.#policy === LoadPolicy.Even
    const stated = server === this.#servers[0] && liedPaceRatio !== undefined ? liedPaceRatio : this.#paceOf(server)
    const load = slots.getLoadReport(server.slots)
    const wrong = wrongReportsRatio > 0 && this.#random() < wrongReportsRatio
      ? (this.#random() < 0.5 ? server.earlier : { ...load, runningCount: 0, queuedCount: 0 })
      : load
    return { ...wrong, paceRatio: isStated ? Math.min(10, Math.max(0.1, stated)) : null }
  }

  #scheduleTick (): void {
    this.#queue.add(this.#nowMs + TICK_MS, () => {
      this.#scheduleTick()
      const tick = Math.round(this.#nowMs / TICK_MS)
      const servers = this.#servers.slice(0, this.#listed.length)
      for (const server of servers) {
        slots.refuseExpiredCalls(server.slots, this.#nowMs)
        server.busySum += server.slots.runningCount + server.slots.queue.length
        if (tick % 30 === 0) server.earlier = slots.getLoadReport(server.slots)
      }
      if (this.#nowMs <= SETTLING_MS) return
      this.#counts.ticks += 1
      const freeCount = servers.reduce((sum, { slots: { runningCount } }) => sum + LIMIT_COUNT - runningCount, 0)
      const waitingCount = servers.reduce((sum, server) => sum + server.slots.queue.length, 0)
      if (Math.min(freeCount, waitingCount) > 0) this.#counts.unevenTicks += 1
      this.#counts.avoidable += Math.min(freeCount, waitingCount) / (LIMIT_COUNT * servers.length)
      if (tick % (1_000 / TICK_MS) !== 0) return
      const busy = servers.map(({ busySum }) => busySum)
      this.#busiest.push(Math.max(...busy) * busy.length / busy.reduce((sum, one) => sum + one, 0))
      for (const server of servers) server.busySum = 0
    })
  }

  #figures (durationMs: Millis): LoadFigures {
    const { calls, refused, away, sends, ticks, unevenTicks, avoidable } = this.#counts
    const sorted = this.#tookMs.sort((one, other) => one - other)
    const at = (quantile: number): Millis => sorted[Math.floor(sorted.length * quantile)]!
    const joinAtMs = this.#plan.joinAtMs ?? durationMs
    const joinedRatios = [[0, 1_000], [1_000, 4_000]].map(([from, to]) => {
      const counts = this.#servers.map(({ startsAtMs }) => {
        return startsAtMs.filter(atMs => atMs >= joinAtMs + from! && atMs < joinAtMs + to!).length
      })
      return counts.at(-1)! * counts.length / counts.reduce((sum, one) => sum + one, 0)
    })
    return {
      busiestRatio: this.#busiest.reduce((sum, one) => sum + one, 0) / this.#busiest.length,
      unevenTimeRatio: unevenTicks / ticks,
      avoidableWaitRatio: avoidable / ticks,
      p50Ms: at(0.5),
      p99Ms: at(0.99),
      refusedRatio: refused / calls,
      awayRatio: away / calls,
      messagesRatio: 2 * sends / calls,
      joinedRatios
    }
  }
}

/**
 * Runs one case of the model with a policy.
 *
 * @example
 * runLoadModel({ nodesCount: 13, serversCount: 4, loadRatio: 0.8 }, LoadPolicy.Even).busiestRatio
 */
export function runLoadModel (plan: LoadCase, policy: LoadPolicy): LoadFigures {
  return new LoadModel(plan, policy).run()
}
