import * as fc from 'fast-check'
import { documentsDefinition as documents } from '../core/documents/documentsDefinition.js'
import { isNewer, type VersionOrder } from '../core/documents/documentsDetector.js'
import { assertNever } from '../errors/errors.js'
import { documentValue } from '../testing/documentSamples.js'
import { SpreadSimulation, type PlatformMode, type SimulatedNode } from '../testing/spreadSimulation.js'

const SERVICES = ['booking', 'schedule', 'stock', 'billing']
const DATA_CENTRES = ['tallinn', 'tartu', 'parnu']
const FAULTS_UNTIL_MS = 20_000
/** Time within which an accepted document must be in force on all connected nodes. */
const AGREE_WITHIN_MS = 11_000
const RUNS_COUNT = Number(process.env['SPREAD_RUNS_COUNT'] ?? 5)
const SEED = Number(process.env['SPREAD_SEED'] ?? 20_261_204)

type Action =
  | { readonly kind: 'edit', readonly edit: 'newer' | 'same_version' | 'older' | 'invalid', readonly service: number }
  | { readonly kind: 'platform', readonly mode: PlatformMode }
  | { readonly kind: 'cut_platform' | 'part' | 'join', readonly dataCentre: number }
  | { readonly kind: 'restart' | 'isolate', readonly node: number }
  | { readonly kind: 'pause', readonly node: number, readonly forMs: number }
  | { readonly kind: 'loss', readonly ratio: number }

const service = fc.nat(SERVICES.length - 1)
const dataCentre = fc.nat(DATA_CENTRES.length - 1)
const node = fc.nat(29)
const edit = fc.constantFrom('newer' as const, 'newer' as const, 'same_version' as const, 'older' as const, 'invalid' as const)
const action: fc.Arbitrary<Action> = fc.oneof(
  { weight: 4, arbitrary: fc.record({ kind: fc.constant('edit' as const), edit, service }) },
  fc.record({
    kind: fc.constant('platform' as const),
    mode: fc.constantFrom<PlatformMode[]>('ok', 'down', 'stale', 'older')
  }),
  fc.record({ kind: fc.constantFrom('cut_platform' as const, 'part' as const, 'join' as const), dataCentre }),
  { weight: 2, arbitrary: fc.record({ kind: fc.constantFrom('restart' as const, 'isolate' as const), node }) },
  fc.record({ kind: fc.constant('pause' as const), node, forMs: fc.integer({ min: 100, max: 8_000 }) }),
  fc.record({ kind: fc.constant('loss' as const), ratio: fc.constantFrom(0, 0.1, 0.4) })
)
const runPlan = fc.record({
  seed: fc.nat(),
  actions: fc.array(fc.tuple(fc.integer({ min: 500, max: FAULTS_UNTIL_MS }), action), { minLength: 20, maxLength: 40 }),
  staysParted: fc.boolean(),
  staysCut: fc.boolean()
})

/** A simulated fleet, the valid published texts, and the highest version that each node has had in force. */
class GossipRun {
  readonly world: SpreadSimulation
  readonly validTexts = new Map<string, string>()
  readonly versions = new Map(SERVICES.map(name => [name, 1]))
  readonly #highestVersions = new Map<string, VersionOrder>()

  constructor (seed: number) {
    this.world = new SpreadSimulation(seed, DATA_CENTRES, 10, SERVICES)
    for (const name of SERVICES) this.publish(name, 1)
    this.world.afterEvent = one => { this.#check(one) }
  }

  publish (name: string, version: number, team = 'booking'): void {
    const value = documentValue(version, 0, name)
    const published = this.world.publish({ ...value, text: value.text.replace('team: booking', `team: ${team}`) })
    this.validTexts.set(`${published.key} ${published.revision}`, published.text)
  }

  edit (name: string, kind: Extract<Action, { kind: 'edit' }>['edit']): void {
    const version = this.versions.get(name)!
    switch (kind) {
      case 'newer':
        this.versions.set(name, version + 1)
        return this.publish(name, version + 1)
      case 'same_version': return this.publish(name, version, `team-${this.world.nowMs}`)
      case 'older': return this.publish(name, Math.max(1, version - 1))
      case 'invalid': {
        const value = documentValue(version + 1, 0, name)
        this.world.publish({ ...value, text: value.text.replace('weight_ratio: 0.4', 'weight_ratio: 0.7') })
        return undefined
      }
      default: return assertNever(kind)
    }
  }

  /** Checks that no version goes back while a node runs and that only valid documents are in force. */
  #check (one: SimulatedNode): void {
    for (const held of documents.documents(one.db)) {
      const { serviceName, version } = held.document
      const place = `${one.vmId} ${one.incarnation} ${serviceName}`
      const order = { version, revision: held.revision }
      const before = this.#highestVersions.get(place)
      if (before !== undefined && isNewer(before, order)) throw new Error(`${place} went back to ${version}`)
      this.#highestVersions.set(place, order)
      if (this.validTexts.get(`documents/${serviceName} ${held.revision}`) !== held.text) {
        throw new Error(`${place} holds a text that was not published as valid`)
      }
    }
    const violations = documents.violations(one.db, this.world.nowMs)
    if (violations.length > 0) throw new Error(JSON.stringify(violations))
  }
}

function apply (run: GossipRun, one: Action): void {
  const { world } = run
  switch (one.kind) {
    case 'edit': return run.edit(SERVICES[one.service]!, one.edit)
    case 'platform': return world.setPlatformMode(one.mode)
    case 'cut_platform': world.cutFromPlatform.add(DATA_CENTRES[one.dataCentre]!); return
    case 'part': world.partitionIds.set(DATA_CENTRES[one.dataCentre]!, one.dataCentre + 1); return
    case 'join': world.partitionIds.set(DATA_CENTRES[one.dataCentre]!, 0); return
    case 'restart': return world.restart(world.nodes[one.node]!, 700)
    case 'isolate': world.isolatedVmIds.add(world.nodes[one.node]!.vmId); return
    case 'pause': world.nodes[one.node]!.pausedUntilMs = Math.min(FAULTS_UNTIL_MS, world.nowMs + one.forMs); return
    case 'loss': world.lossRatio = one.ratio; return
    default: assertNever(one)
  }
}

/** Version of a service's document that the platform serves now, or undefined if that document is invalid. */
function publishedVersionIfValid (run: GossipRun, name: string): VersionOrder | undefined {
  const shown = run.world.platformHistory.get(`documents/${name}`)!.at(-1)!
  const isValid = run.validTexts.has(`documents/${name} ${shown.revision}`)
  return isValid ? { version: Number(/version: (\d+)/.exec(shown.text)![1]), revision: shown.revision } : undefined
}

function assertAgreement (run: GossipRun): void {
  const partitions = new Map<number, SimulatedNode[]>()
  for (const one of run.world.nodes) {
    const partition = run.world.partitionIds.get(one.dataCentre)!
    partitions.set(partition, [...partitions.get(partition) ?? [], one])
  }
  for (const members of partitions.values()) {
    const digests = new Set(members.map(one => documents.digest(one.db)))
    const hasPlatform = members.some(one => run.world.canReachPlatform(one))
    expect({ digests: digests.size, members: members.length }).toEqual({ digests: 1, members: members.length })
    for (const name of hasPlatform ? SERVICES : []) {
      const shown = publishedVersionIfValid(run, name)
      const held = documents.documentOf(members[0]!.db, name)
      expect(held).toBeDefined()
      const order = { version: held!.document.version, revision: held!.revision }
      expect([name, shown !== undefined && isNewer(shown, order)]).toEqual([name, false])
    }
  }
}

describe('gossip under random faults', () => {
  test('no version goes back, no invalid document is in force, and connected nodes agree within 11 s', async () => {
    await fc.assert(fc.asyncProperty(runPlan, async ({ seed, actions, staysParted, staysCut }) => {
      const run = new GossipRun(seed)
      for (const [atMs, one] of actions) run.world.schedule(atMs, () => { apply(run, one) })
      await run.world.runUntil(FAULTS_UNTIL_MS)
      run.world.setPlatformMode('ok')
      run.world.lossRatio = 0
      run.world.isolatedVmIds.clear()
      if (!staysCut) run.world.cutFromPlatform.clear()
      if (!staysParted) for (const name of DATA_CENTRES) run.world.partitionIds.set(name, 0)
      await run.world.runUntil(FAULTS_UNTIL_MS + AGREE_WITHIN_MS)
      assertAgreement(run)
    }), { seed: SEED, numRuns: RUNS_COUNT, endOnFailure: true })
  }, 600_000)

  test('a fleet without changes stays within the limits on platform reads and control bytes', async () => {
    const run = new GossipRun(1)
    await run.world.runUntil(10_000)
    const before = run.world.nodes.map(one => one.bytes)
    run.world.platformReadsCount = 0
    await run.world.runUntil(20_000)
    // Each of 3 data centres reads 4 documents, the catalogue and 2 other VM lists every 500 ms, and its own VM list
    // every second.
    expect(run.world.platformReadsCount / 10).toBeLessThanOrEqual(3 * (7 * 2 + 1) + 1)
    const bytesPerS = run.world.nodes.map((one, index) => (one.bytes - before[index]!) / 10)
    expect(Math.max(...bytesPerS)).toBeLessThan(20_000)
    if (process.env['SPREAD_RUNS_COUNT'] !== undefined) {
      const meanBytesPerS = bytesPerS.reduce((sum, one) => sum + one, 0) / bytesPerS.length
      process.stdout.write(`reads/s ${run.world.platformReadsCount / 10}, bytes/s mean ${meanBytesPerS}, max ${Math.max(...bytesPerS)}\n`)
    }
    assertAgreement(run)
  })
})
