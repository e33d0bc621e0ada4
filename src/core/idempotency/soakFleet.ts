import type { Millis } from '../../clock/clock.js'
import type { IdempotencyDb } from './idempotencyDb.js'
import { idempotencyDefinition as idempotency } from './idempotencyDefinition.js'
import type { LeaseRequest, RequestKey } from './idempotencyTypes.js'
import { ownerOf, votersOf } from './keyOwner.js'
import type { SoakWorld } from './soakWorld.js'

export const SOAK_DATA_CENTRE = 'tallinn'
const SKEW_MS = 1_000
const KNOWN_LISTS_COUNT = 4
const RARE_MS = 200_000
const TASK_MS = 500
/** Faults begin when the fleet has started up. */
export const SETTLE_MS = 20_000

/** Kinds of faults, each switched on or off. */
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

/** How hard a run is, drawn from its seed: rare and frequent faults meet different windows. */
interface SoakProfile {
  readonly poolCount: number
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

function drawProfile (world: SoakWorld): SoakProfile {
  const votersCount = world.pick([3, 3, 5])
  return {
    votersCount,
    poolCount: world.between(votersCount + 2, 10),
    lostRatio: world.pick([0.01, 0.08, 0.3]),
    slowRatio: world.pick([0.02, 0.1, 0.4]),
    pauseEveryMs: world.pick([6_000, 25_000, RARE_MS]),
    restartEveryMs: world.pick([4_000, 25_000, RARE_MS]),
    partitionEveryMs: world.pick([10_000, 30_000, RARE_MS]),
    listChangeEveryMs: world.pick([3_000, 12_000, 40_000]),
    staleEveryMs: world.pick([5_000, 20_000, RARE_MS]),
    messageFaultsFromMs: world.pick([0, SETTLE_MS, SETTLE_MS, SETTLE_MS])
  }
}

export interface SoakNode {
  readonly id: string
  readonly db: IdempotencyDb
  skewMs: Millis
  incarnation: number
  pausedUntilMs: Millis
  staleUntilMs: Millis
  group: number
  /** Lists seen, newest last. */
  revisions: number[]
}

/** Label range that any node held under a revision. */
interface RevisionRange { fromMs: Millis, untilMs: Millis }

/** Nodes, lists, messages and their faults. */
export class SoakFleet {
  readonly world: SoakWorld
  readonly faults: SoakFaults
  readonly profile: SoakProfile
  readonly nodes: SoakNode[]
  readonly lists = new Map<number, string[]>()
  readonly ranges = new Map<number, RevisionRange>()
  readonly violations: string[] = []
  listRevision = 1

  constructor (world: SoakWorld, faults: SoakFaults) {
    this.world = world
    this.faults = faults
    this.profile = drawProfile(world)
    const { poolCount, votersCount } = this.profile
    this.nodes = Array.from({ length: poolCount }, (_, index) => this.#newNode(`n${index}`))
    this.lists.set(1, this.nodes.slice(0, world.between(votersCount, poolCount)).map(node => node.id))
    for (const node of this.nodes) this.#startNode(node)
    this.#scheduleFaults()
  }

  #newNode (id: string): SoakNode {
    const db = idempotency.createDb({ ...idempotency.defaults, votersCount: this.profile.votersCount })
    const skewMs = this.world.between(-SKEW_MS, SKEW_MS)
    return { id, db, skewMs, incarnation: 0, pausedUntilMs: 0, staleUntilMs: 0, group: 0, revisions: [] }
  }

  wallOf (node: SoakNode): Millis {
    return this.world.clock.wallMs() + node.skewMs
  }

  nodeOf (nodeId: string): SoakNode {
    const node = this.nodes.find(candidate => candidate.id === nodeId)
    if (node === undefined) throw new RangeError(`no node ${nodeId}`)
    return node
  }

  canReach (from: SoakNode, to: SoakNode): boolean {
    return from.group === to.group
  }

  /** Revisions under which a node is the owner of a key, of the lists it has seen. */
  ownerRevisions (node: SoakNode, key: RequestKey): number[] {
    return node.revisions.filter(revision => this.ownerUnder(revision, key) === node.id)
  }

  ownerUnder (revision: number, key: RequestKey): string | undefined {
    const nodeIds = this.lists.get(revision) ?? []
    return ownerOf(key, [{ dataCentre: SOAK_DATA_CENTRE, weight: 1, nodeIds }]).nodeId
  }

  /** Runs a step on a node after a delay; a paused node runs it later, a restarted one never. */
  later (node: SoakNode, delayMs: Millis, run: () => void): void {
    const { incarnation } = node
    const attempt = (): void => {
      if (node.incarnation !== incarnation) return
      if (node.pausedUntilMs <= this.world.nowMs) run()
      else this.world.after(node.pausedUntilMs - this.world.nowMs + this.world.between(0, 20), attempt)
    }
    this.world.after(delayMs, attempt)
  }

  /** Delivers a message, perhaps late, twice or never; the receiver handles it when it runs. */
  send (from: SoakNode, to: SoakNode, mayRepeat: boolean, run: () => void): void {
    const { world, faults } = this
    const mayLose = faults.lostMessages && this.#messageFaultsBegan()
    if (mayLose && world.chance(this.profile.lostRatio)) return
    this.#deliver(from, to, run)
    if (mayRepeat && mayLose && world.chance(0.05)) this.#deliver(from, to, run)
  }

  #deliver (from: SoakNode, to: SoakNode, run: () => void): void {
    this.world.after(this.#delayMs(), () => {
      if (this.canReach(from, to)) this.later(to, 0, run)
    })
  }

  #messageFaultsBegan (): boolean {
    return this.world.nowMs >= this.profile.messageFaultsFromMs
  }

  #delayMs (): Millis {
    const { world, faults } = this
    const maySlow = faults.slowMessages && this.#messageFaultsBegan()
    if (!maySlow || !world.chance(this.profile.slowRatio)) return world.between(1, 5)
    return world.chance(0.7) ? world.between(5, 3_000) : world.between(3_000, 90_000)
  }

  #startNode (node: SoakNode): void {
    const { db, world } = { db: node.db, world: this.world }
    idempotency.clear(db)
    node.incarnation++
    node.pausedUntilMs = 0
    node.revisions = []
    idempotency.start(db, node.id, world.nowMs, this.wallOf(node))
    this.#takeList(node, this.#firstList(node))
    this.later(node, world.between(0, TASK_MS), () => this.#runTask(node))
  }

  /** A starting node may get an old list from a stale configuration service, for long. */
  #firstList (node: SoakNode): number {
    const { world, listRevision } = this
    if (!this.faults.staleLists || world.chance(0.5)) return listRevision
    node.staleUntilMs = world.nowMs + world.between(1_000, 100_000)
    return world.between(Math.max(1, listRevision - 3), listRevision)
  }

  #takeList (node: SoakNode, revision: number): void {
    if (revision <= (node.revisions.at(-1) ?? 0)) return
    node.revisions = [...node.revisions, revision].slice(-KNOWN_LISTS_COUNT)
    const voterIds = votersOf(SOAK_DATA_CENTRE, this.lists.get(revision) ?? [], this.profile.votersCount)
    const view = { dataCentre: SOAK_DATA_CENTRE, listRevision: revision, voterIds }
    idempotency.setVoters(node.db, view, this.world.nowMs, this.wallOf(node))
  }

  #runTask (node: SoakNode): void {
    const { world } = this
    idempotency.tick(node.db, world.nowMs)
    if (node.staleUntilMs <= world.nowMs && world.chance(0.5)) this.#takeList(node, this.listRevision)
    const due = idempotency.leaseRequests(node.db, world.nowMs, this.wallOf(node))
    for (const { voterId, request } of due) this.#ask(node, this.nodeOf(voterId), request)
    this.checkNode(node)
    this.later(node, world.between(TASK_MS / 2, TASK_MS), () => this.#runTask(node))
  }

  #ask (node: SoakNode, voter: SoakNode, request: LeaseRequest): void {
    this.send(node, voter, true, () => {
      const vote = idempotency.onLeaseRequest(voter.db, request, this.world.nowMs, this.wallOf(voter))
      this.send(voter, node, true, () => {
        idempotency.onLeaseVote(node.db, vote, this.world.nowMs, this.wallOf(node))
        this.checkLease(node)
      })
    })
  }

  /** Ranges of a lower revision must end before those of a higher one begin. */
  checkLease (node: SoakNode): void {
    const lease = idempotency.lease(node.db)
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
          `${this.world.nowMs} ms: leases overlap: revision ${lease.listRevision} [${fromMs}, ${untilMs}) ` +
          `at ${node.id}, revision ${revision} [${range.fromMs}, ${range.untilMs})`
        )
      }
    }
  }

  checkNode (node: SoakNode): void {
    for (const { property, detail } of idempotency.violations(node.db, this.world.nowMs)) {
      this.violations.push(`${this.world.nowMs} ms: ${property} at ${node.id}: ${detail}`)
    }
  }

  #scheduleFaults (): void {
    const { faults } = this
    const { profile } = this
    if (faults.pauses) this.#repeat(profile.pauseEveryMs, () => this.#pause())
    if (faults.restarts) this.#repeat(profile.restartEveryMs, () => this.#restart())
    if (faults.partitions) this.#repeat(profile.partitionEveryMs, () => this.#partition())
    if (faults.listChanges) this.#repeat(profile.listChangeEveryMs, () => this.#changeList())
    if (faults.staleLists) this.#repeat(profile.staleEveryMs, () => this.#holdList())
    if (faults.slowMessages) this.#repeat(15_000, () => this.#stepClock())
  }

  #repeat (everyMs: Millis, run: () => void): void {
    const again = (): void => {
      run()
      this.world.after(this.world.between(0, 2 * everyMs), again)
    }
    this.world.after(SETTLE_MS + this.world.between(0, everyMs), again)
  }

  #pause (): void {
    const { world } = this
    const durationMs = world.chance(0.3) ? world.between(60_000, 100_000) : world.between(100, 20_000)
    world.pick(this.nodes).pausedUntilMs = world.nowMs + durationMs
  }

  /** Restarts a node unless the memory of a majority of voters would be lost at once. */
  #restart (): void {
    const emptyCount = this.nodes.filter(node => !node.db.voter.settled).length
    if (emptyCount + 1 < this.profile.votersCount / 2) this.#startNode(this.world.pick(this.nodes))
  }

  #partition (): void {
    const { world } = this
    const ratio = world.pick([0.2, 0.5])
    for (const node of this.nodes) node.group = world.chance(ratio) ? 1 : 0
    if (this.faults.restarts && world.chance(0.3)) this.#restart()
    world.after(world.between(1_000, 70_000), () => {
      for (const node of this.nodes) node.group = 0
    })
  }

  /** A new list without some living nodes or with others, fewer than half of the voters new. */
  #changeList (): void {
    const { world } = this
    const old = this.lists.get(this.listRevision) ?? []
    const next = new Set(old)
    for (let count = world.between(1, 2); count > 0; count--) {
      const { id } = world.pick(this.nodes)
      if (!next.delete(id)) next.add(id)
    }
    const oldVoters = votersOf(SOAK_DATA_CENTRE, old, this.profile.votersCount)
    const voters = votersOf(SOAK_DATA_CENTRE, [...next], this.profile.votersCount)
    const newCount = voters.filter(voterId => !oldVoters.includes(voterId)).length
    if (next.size < this.profile.votersCount || newCount >= this.profile.votersCount / 2) return
    this.lists.set(++this.listRevision, [...next])
  }

  #holdList (): void {
    const { world } = this
    world.pick(this.nodes).staleUntilMs = world.nowMs + world.between(20_000, 200_000)
  }

  #stepClock (): void {
    const { world } = this
    world.pick(this.nodes).skewMs = world.between(-SKEW_MS, SKEW_MS)
  }
}
