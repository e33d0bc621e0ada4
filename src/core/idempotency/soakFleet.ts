import type { Millis } from '../../clock/clock.js'
import type { IdempotencyDb } from './idempotencyDb.js'
import { idempotencyDefinition as idempotency } from './idempotencyDefinition.js'
import type { LeaseRequest, RequestKey } from './idempotencyTypes.js'
import { ownerOf, votersOf } from './keyOwner.js'
import type { SoakSimulator } from './soakSimulator.js'

export const SOAK_DATA_CENTRE = 'tallinn'
const MAX_CLOCK_SKEW_MS = 1_000
const KNOWN_LISTS_COUNT = 4
const RARE_INTERVAL_MS = 200_000
const MAINTENANCE_INTERVAL_MS = 500
/** Time for the fleet to start up, before the first fault. */
export const STARTUP_MS = 20_000

/** Which kinds of faults a run injects. */
export interface SoakFaults {
  readonly pauses: boolean
  readonly restarts: boolean
  readonly partitions: boolean
  readonly listChanges: boolean
  readonly staleLists: boolean
  readonly lostMessages: boolean
  readonly slowMessages: boolean
  readonly evictions: boolean
}

/** Parameters of a run, drawn from its seed. Rare and frequent faults expose different races. */
interface SoakProfile {
  readonly nodesCount: number
  readonly votersCount: number
  readonly lostRatio: number
  readonly slowRatio: number
  readonly pauseEveryMs: Millis
  readonly restartEveryMs: Millis
  readonly partitionEveryMs: Millis
  readonly listChangeEveryMs: Millis
  readonly staleEveryMs: Millis
  readonly messageFaultsFromMs: Millis
}

function randomProfile (simulator: SoakSimulator): SoakProfile {
  const votersCount = simulator.randomItem([3, 3, 5])
  return {
    votersCount,
    nodesCount: simulator.randomInt(votersCount + 2, 10),
    lostRatio: simulator.randomItem([0.01, 0.08, 0.3]),
    slowRatio: simulator.randomItem([0.02, 0.1, 0.4]),
    pauseEveryMs: simulator.randomItem([6_000, 25_000, RARE_INTERVAL_MS]),
    restartEveryMs: simulator.randomItem([4_000, 25_000, RARE_INTERVAL_MS]),
    partitionEveryMs: simulator.randomItem([10_000, 30_000, RARE_INTERVAL_MS]),
    listChangeEveryMs: simulator.randomItem([3_000, 12_000, 40_000]),
    staleEveryMs: simulator.randomItem([5_000, 20_000, RARE_INTERVAL_MS]),
    messageFaultsFromMs: simulator.randomItem([0, STARTUP_MS, STARTUP_MS, STARTUP_MS])
  }
}

/** A simulated node. */
export interface SoakNode {
  readonly id: string
  readonly db: IdempotencyDb
  skewMs: Millis
  incarnation: number
  pausedUntilMs: Millis
  staleUntilMs: Millis
  partitionId: number
  /** Known list revisions, newest last. */
  revisions: number[]
}

/** Range of key timestamps for which any node held a lease under a revision. */
interface RevisionRange { fromMs: Millis, untilMs: Millis }

/** Simulated nodes, VM lists and messages, with fault injection. */
export class SoakFleet {
  readonly simulator: SoakSimulator
  readonly faults: SoakFaults
  readonly profile: SoakProfile
  readonly nodes: SoakNode[]
  readonly lists = new Map<number, string[]>()
  readonly ranges = new Map<number, RevisionRange>()
  readonly violations: string[] = []
  listRevision = 1

  constructor (simulator: SoakSimulator, faults: SoakFaults) {
    this.simulator = simulator
    this.faults = faults
    this.profile = randomProfile(simulator)
    const { nodesCount, votersCount } = this.profile
    this.nodes = Array.from({ length: nodesCount }, (_, index) => this.#createNode(`n${index}`))
    this.lists.set(1, this.nodes.slice(0, simulator.randomInt(votersCount, nodesCount)).map(node => node.id))
    for (const node of this.nodes) this.#startNode(node)
    this.#scheduleFaults()
  }

  #createNode (id: string): SoakNode {
    const db = idempotency.createDb({ ...idempotency.defaults, votersCount: this.profile.votersCount })
    const skewMs = this.simulator.randomInt(-MAX_CLOCK_SKEW_MS, MAX_CLOCK_SKEW_MS)
    return { id, db, skewMs, incarnation: 0, pausedUntilMs: 0, staleUntilMs: 0, partitionId: 0, revisions: [] }
  }

  wallMsOf (node: SoakNode): Millis {
    return this.simulator.clock.wallMs() + node.skewMs
  }

  nodeOf (nodeId: string): SoakNode {
    const node = this.nodes.find(candidate => candidate.id === nodeId)
    if (node === undefined) throw new RangeError(`no node ${nodeId}`)
    return node
  }

  canReach (from: SoakNode, to: SoakNode): boolean {
    return from.partitionId === to.partitionId
  }

  /** Known list revisions of a node under which it owns a key. */
  ownerRevisions (node: SoakNode, key: RequestKey): number[] {
    return node.revisions.filter(revision => this.ownerUnder(revision, key) === node.id)
  }

  ownerUnder (revision: number, key: RequestKey): string | undefined {
    const nodeIds = this.lists.get(revision) ?? []
    return ownerOf(key, [{ dataCentre: SOAK_DATA_CENTRE, weight: 1, nodeIds }]).nodeId
  }

  /** Runs a task on a node after a delay: after the pause if the node is paused, never if it has restarted. */
  scheduleOnNode (node: SoakNode, delayMs: Millis, run: () => void): void {
    const { incarnation } = node
    const attempt = (): void => {
      if (node.incarnation !== incarnation) return
      if (node.pausedUntilMs <= this.simulator.nowMs) run()
      else this.simulator.schedule(node.pausedUntilMs - this.simulator.nowMs + this.simulator.randomInt(0, 20), attempt)
    }
    this.simulator.schedule(delayMs, attempt)
  }

  /** Sends a message, which may be lost, delayed or duplicated; a paused receiver handles it after its pause. */
  send (from: SoakNode, to: SoakNode, mayDuplicate: boolean, run: () => void): void {
    const { simulator, faults } = this
    const mayLose = faults.lostMessages && this.#haveMessageFaultsBegun()
    if (mayLose && simulator.randomBool(this.profile.lostRatio)) return
    this.#deliver(from, to, run)
    if (mayDuplicate && mayLose && simulator.randomBool(0.05)) this.#deliver(from, to, run)
  }

  #deliver (from: SoakNode, to: SoakNode, run: () => void): void {
    this.simulator.schedule(this.#delayMs(), () => {
      if (this.canReach(from, to)) this.scheduleOnNode(to, 0, run)
    })
  }

  #haveMessageFaultsBegun (): boolean {
    return this.simulator.nowMs >= this.profile.messageFaultsFromMs
  }

  #delayMs (): Millis {
    const { simulator, faults } = this
    const maySlow = faults.slowMessages && this.#haveMessageFaultsBegun()
    if (!maySlow || !simulator.randomBool(this.profile.slowRatio)) return simulator.randomInt(1, 5)
    return simulator.randomBool(0.7) ? simulator.randomInt(5, 3_000) : simulator.randomInt(3_000, 90_000)
  }

  #startNode (node: SoakNode): void {
    const { db, simulator } = { db: node.db, simulator: this.simulator }
    idempotency.clear(db)
    node.incarnation++
    node.pausedUntilMs = 0
    node.revisions = []
    idempotency.start(db, node.id, simulator.nowMs, this.wallMsOf(node))
    this.#applyList(node, this.#initialListRevision(node))
    this.scheduleOnNode(node, simulator.randomInt(0, MAINTENANCE_INTERVAL_MS), () => this.#runMaintenance(node))
  }

  /** A starting node may get an old list from a stale configuration service and keep it for a long time. */
  #initialListRevision (node: SoakNode): number {
    const { simulator, listRevision } = this
    if (!this.faults.staleLists || simulator.randomBool(0.5)) return listRevision
    node.staleUntilMs = simulator.nowMs + simulator.randomInt(1_000, 100_000)
    return simulator.randomInt(Math.max(1, listRevision - 3), listRevision)
  }

  #applyList (node: SoakNode, revision: number): void {
    if (revision <= (node.revisions.at(-1) ?? 0)) return
    node.revisions = [...node.revisions, revision].slice(-KNOWN_LISTS_COUNT)
    const voterIds = votersOf(SOAK_DATA_CENTRE, this.lists.get(revision) ?? [], this.profile.votersCount)
    const view = { dataCentre: SOAK_DATA_CENTRE, listRevision: revision, voterIds }
    idempotency.setVoters(node.db, view, this.simulator.nowMs, this.wallMsOf(node))
  }

  #runMaintenance (node: SoakNode): void {
    const { simulator } = this
    idempotency.tick(node.db, simulator.nowMs)
    if (node.staleUntilMs <= simulator.nowMs && simulator.randomBool(0.5)) this.#applyList(node, this.listRevision)
    const due = idempotency.leaseRequests(node.db, simulator.nowMs, this.wallMsOf(node))
    for (const { voterId, request } of due) this.#sendLeaseRequest(node, this.nodeOf(voterId), request)
    this.checkNode(node)
    this.scheduleOnNode(
      node, simulator.randomInt(MAINTENANCE_INTERVAL_MS / 2, MAINTENANCE_INTERVAL_MS), () => this.#runMaintenance(node)
    )
  }

  #sendLeaseRequest (node: SoakNode, voter: SoakNode, request: LeaseRequest): void {
    this.send(node, voter, true, () => {
      const vote = idempotency.onLeaseRequest(voter.db, request, this.simulator.nowMs, this.wallMsOf(voter))
      this.send(voter, node, true, () => {
        idempotency.onLeaseVote(node.db, vote, this.simulator.nowMs, this.wallMsOf(node))
        this.checkLease(node)
      })
    })
  }

  /** Checks that the leases of each revision end before those of higher revisions begin. */
  checkLease (node: SoakNode): void {
    const lease = idempotency.newestLease(node.db)
    if (lease === null) return
    const known = this.ranges.get(lease.listRevision)
    const fromMs = Math.min(known?.fromMs ?? Infinity, lease.fromLabelMs)
    const untilMs = Math.max(known?.untilMs ?? -Infinity, lease.untilLabelMs)
    if (known?.fromMs === fromMs && known.untilMs === untilMs) return
    this.ranges.set(lease.listRevision, { fromMs, untilMs })
    for (const [revision, range] of this.ranges) {
      const overlaps = revision < lease.listRevision ? range.untilMs > fromMs : range.fromMs < untilMs
      if (revision !== lease.listRevision && overlaps) {
        this.violations.push(
          `${this.simulator.nowMs} ms: leases overlap: revision ${lease.listRevision} [${fromMs}, ${untilMs}) ` +
          `at ${node.id}, revision ${revision} [${range.fromMs}, ${range.untilMs})`
        )
      }
    }
  }

  checkNode (node: SoakNode): void {
    for (const { property, detail } of idempotency.violations(node.db, this.simulator.nowMs)) {
      this.violations.push(`${this.simulator.nowMs} ms: ${property} at ${node.id}: ${detail}`)
    }
  }

  #scheduleFaults (): void {
    const { faults } = this
    const { profile } = this
    if (faults.pauses) this.#scheduleRepeatedly(profile.pauseEveryMs, () => this.#pauseNode())
    if (faults.restarts) this.#scheduleRepeatedly(profile.restartEveryMs, () => this.#restartNode())
    if (faults.partitions) this.#scheduleRepeatedly(profile.partitionEveryMs, () => this.#partitionNodes())
    if (faults.listChanges) this.#scheduleRepeatedly(profile.listChangeEveryMs, () => this.#changeList())
    if (faults.staleLists) this.#scheduleRepeatedly(profile.staleEveryMs, () => this.#makeNodeStale())
    if (faults.slowMessages) this.#scheduleRepeatedly(15_000, () => this.#changeClockSkew())
  }

  #scheduleRepeatedly (everyMs: Millis, run: () => void): void {
    const again = (): void => {
      run()
      this.simulator.schedule(this.simulator.randomInt(0, 2 * everyMs), again)
    }
    this.simulator.schedule(STARTUP_MS + this.simulator.randomInt(0, everyMs), again)
  }

  #pauseNode (): void {
    const { simulator } = this
    const durationMs = simulator.randomBool(0.3)
      ? simulator.randomInt(60_000, 100_000)
      : simulator.randomInt(100, 20_000)
    simulator.randomItem(this.nodes).pausedUntilMs = simulator.nowMs + durationMs
  }

  /** Restarts a node unless a majority of voters could then be without their records at the same time. */
  #restartNode (): void {
    const emptyCount = this.nodes.filter(node => !node.db.voter.settled).length
    if (emptyCount + 1 < this.profile.votersCount / 2) this.#startNode(this.simulator.randomItem(this.nodes))
  }

  #partitionNodes (): void {
    const { simulator } = this
    const ratio = simulator.randomItem([0.2, 0.5])
    for (const node of this.nodes) node.partitionId = simulator.randomBool(ratio) ? 1 : 0
    if (this.faults.restarts && simulator.randomBool(0.3)) this.#restartNode()
    simulator.schedule(simulator.randomInt(1_000, 70_000), () => {
      for (const node of this.nodes) node.partitionId = 0
    })
  }

  /** Publishes a list with nodes added or removed, unless half or more of its voters would be new. */
  #changeList (): void {
    const { simulator } = this
    const old = this.lists.get(this.listRevision) ?? []
    const next = new Set(old)
    for (let count = simulator.randomInt(1, 2); count > 0; count--) {
      const { id } = simulator.randomItem(this.nodes)
      if (!next.delete(id)) next.add(id)
    }
    const oldVoters = votersOf(SOAK_DATA_CENTRE, old, this.profile.votersCount)
    const voters = votersOf(SOAK_DATA_CENTRE, [...next], this.profile.votersCount)
    const newCount = voters.filter(voterId => !oldVoters.includes(voterId)).length
    if (next.size < this.profile.votersCount || newCount >= this.profile.votersCount / 2) return
    this.lists.set(++this.listRevision, [...next])
  }

  #makeNodeStale (): void {
    const { simulator } = this
    simulator.randomItem(this.nodes).staleUntilMs = simulator.nowMs + simulator.randomInt(20_000, 200_000)
  }

  #changeClockSkew (): void {
    const { simulator } = this
    simulator.randomItem(this.nodes).skewMs = simulator.randomInt(-MAX_CLOCK_SKEW_MS, MAX_CLOCK_SKEW_MS)
  }
}
