import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import type { Millis } from '../src/clock/clock.js'
import type { AdmissionDb } from '../src/core/admission/admissionDb.js'
import { admissionDefinition as admission } from '../src/core/admission/admissionDefinition.js'
import { ReleaseKind, type AdmissionSettings, type GateEvent } from '../src/core/admission/admissionTypes.js'
import type { AgreementDb } from '../src/core/agreement/agreementDb.js'
import { agreementDefinition as agreement } from '../src/core/agreement/agreementDefinition.js'
import type { AgreementSettings } from '../src/core/agreement/agreementTypes.js'
import { admissionLevel, Importance, WORST_LEVEL, Reason } from '../src/core/coreTypes.js'
import { hash32 } from '../src/core/hash.js'

export const SERVICE_MS = 40
const DEADLINE_MS = 1000
const SHORT_DEADLINE_MS = 150
const STEP_MS = 0.1
const RESENDS_COUNT = 3
const RESEND_AFTER_MS = 30
const CHAIN = ['schedule', 'stock', 'invoicing']
/** Services of section 2 of the design page with a tenth of the slots. */
const SERVICES: ReadonlyArray<{ name: string, nodesCount: number, slotsCount: number, heldMs: Millis }> = [
  { name: 'booking', nodesCount: 3, slotsCount: 22, heldMs: 4 * SERVICE_MS },
  { name: 'schedule', nodesCount: 3, slotsCount: 22, heldMs: SERVICE_MS },
  { name: 'stock', nodesCount: 4, slotsCount: 17, heldMs: SERVICE_MS },
  { name: 'invoicing', nodesCount: 3, slotsCount: 4, heldMs: SERVICE_MS }
]
/** Parts of the promised and of the offered calls. */
export const CALLERS = [
  { name: 'dispatchers', promisedRatio: 0.5, offeredRatio: 0.25 },
  { name: 'customers', promisedRatio: 0.3, offeredRatio: 0.6 },
  { name: 'drivers', promisedRatio: 0.2, offeredRatio: 0.15 }
]
/** Bookings are bound by invoicing; lookups take what bookings leave of the stock service. */
export const BOOKINGS_PER_S = 3 * 4 * 1000 / SERVICE_MS
export const STOCK_PER_S = 4 * 17 * 1000 / SERVICE_MS

export interface Variant {
  readonly name: string
  readonly admission?: Partial<AdmissionSettings>
  readonly agreement?: Partial<AgreementSettings>
  /** All calls count as within promise. */
  readonly noPromises?: boolean
  /** Part of the stock slots that only bookings may use, instead of priorities across all slots. */
  readonly reservedRatio?: number
}

/** Callbacks by time in steps of 0.1 ms, in order of entry within a step. */
class EventQueue {
  readonly #steps = new Map<number, Array<() => void>>()
  #step = 0

  get nowMs (): Millis { return this.#step * STEP_MS }

  at (atMs: Millis, run: () => void): void {
    const step = Math.max(this.#step + 1, Math.round(atMs / STEP_MS))
    const runs = this.#steps.get(step)
    if (runs === undefined) this.#steps.set(step, [run])
    else runs.push(run)
  }

  runUntil (untilMs: Millis): void {
    for (; this.#step <= untilMs / STEP_MS; this.#step++) {
      for (const run of this.#steps.get(this.#step) ?? []) run()
      this.#steps.delete(this.#step)
    }
  }
}

interface Root { readonly id: string, readonly caller: string, readonly importance: Importance, sends: number }
interface Answer { readonly ok: boolean, readonly cutLevel: number }
interface Pending {
  readonly root: Root
  readonly node: BackendNode
  readonly level: number
  readonly deadlineAtMs: Millis
  readonly giveBack: boolean
  readonly answer: (answer: Answer) => void
}
interface BackendNode {
  readonly service: string
  readonly gates: Array<{ readonly db: AdmissionDb, readonly trueSlotsCount: number }>
  readonly promises: AgreementDb
}

export class PolicyModel {
  readonly events = new EventQueue()
  /** Counts in bins of 100 ms: roots done, bookings done, calls started at stock for each caller. */
  readonly bins = new Map<string, number[]>()
  importantRefusedFirstCount = 0
  violationsCount = 0
  readonly #variant: Variant
  readonly #random: () => number
  readonly #nodes = new Map<string, BackendNode[]>()
  readonly #pending = new Map<string, Pending>()
  #callsCount = 0
  #rootsCount = 0
  slowService = ''
  offeredRatio = 0.8
  bookingsOffered = true
  shortDeadlines = false

  constructor (variant: Variant, seed: number, trueSlotsRatio: number) {
    const generator = xoroshiro128plus(seed)
    this.#variant = variant
    this.#random = () => uniformFloat64(generator)
    for (const service of SERVICES) {
      const { name, nodesCount: length } = service
      this.#nodes.set(name, Array.from({ length }, () => this.#makeNode(service, trueSlotsRatio)))
    }
    this.#arrive()
    this.#poll()
  }

  #makeNode (service: typeof SERVICES[number], trueSlotsRatio: number): BackendNode {
    const { reservedRatio = 0 } = this.#variant
    const reserved = service.name === 'stock' ? Math.round(service.slotsCount * reservedRatio) : 0
    const gates = [service.slotsCount - reserved, reserved].filter(count => count > 0).map(slotsCount => {
      const db = admission.createDb({ ...admission.defaults, ...this.#variant.admission })
      admission.setCapacity(db, { slotsCount, acceptsWork: true, draining: false }, 0)
      return { db, trueSlotsCount: slotsCount * trueSlotsRatio }
    })
    const promises = agreement.createDb({ ...agreement.defaults, shareGrowthDelayMs: 0, ...this.#variant.agreement })
    const ownPerS = service.nodesCount * service.slotsCount * 1000 / service.heldMs
    const perS = service.name === 'booking' ? BOOKINGS_PER_S : ownPerS
    const liveNodesCount = service.nodesCount
    const basis = { documentVersion: 1, listRevision: 1, dataCentreWeight: 1, liveNodesCount, isListConfirmed: true }
    agreement.setPromises(promises, service.name, CALLERS.map(({ name, promisedRatio }) =>
      ({ callerName: name, serviceName: service.name, promisedCallsPerS: promisedRatio * perS })),
    basis, 0)
    return { service: service.name, gates, promises }
  }

  #poll (): void {
    const nowMs = this.events.nowMs
    for (const { gates, promises } of [...this.#nodes.values()].flat()) {
      for (const { db } of gates) this.#apply(admission.processQueue(db, nowMs))
      for (const { db } of gates) this.violationsCount += admission.violations(db, nowMs).length
      this.violationsCount += agreement.violations(promises, nowMs).length
    }
    this.events.at(nowMs + 10, () => this.#poll())
  }

  /** Open load: arrivals do not wait for answers. */
  #arrive (): void {
    const ratePerS = this.offeredRatio * STOCK_PER_S
    const booking = this.#random() < BOOKINGS_PER_S / STOCK_PER_S
    let pick = this.#random()
    const caller = CALLERS.find(({ offeredRatio }) => (pick -= offeredRatio) < 0) ?? CALLERS[0]!
    const importance = booking && this.bookingsOffered ? Importance.Vital : Importance.Normal
    this.#send({ id: `r${this.#rootsCount++}`, caller: caller.name, importance, sends: 0 })
    this.events.at(this.events.nowMs - Math.log(1 - this.#random()) * 1000 / ratePerS, () => this.#arrive())
  }

  #send (root: Root): void {
    root.sends += 1
    let settled = false
    const short = this.shortDeadlines && Number(root.id.slice(1)) % 2 === 0
    const deadlineAtMs = this.events.nowMs + (short ? SHORT_DEADLINE_MS : DEADLINE_MS)
    const settle = (ok: boolean): void => {
      if (settled) return
      settled = true
      if (ok) this.#count('done')
      if (ok && root.importance === Importance.Vital) this.#count('bookings')
      if (!ok && root.sends <= RESENDS_COUNT) {
        this.events.at(this.events.nowMs + RESEND_AFTER_MS, () => this.#send(root))
      }
    }
    this.events.at(deadlineAtMs, () => settle(false))
    const first = root.importance === Importance.Vital ? 'booking' : 'stock'
    this.#call(first, root, 0, deadlineAtMs, ({ ok }) => settle(ok))
  }

  #count (name: string): void {
    const bins = this.bins.get(name) ?? []
    this.bins.set(name, bins)
    const bin = Math.floor(this.events.nowMs / 100)
    bins[bin] = (bins[bin] ?? 0) + 1
  }

  /** One call to a service: its standing, its level, the chain below and the gate. */
  #call (service: string, root: Root, rootLevel: number, deadlineAtMs: Millis, answer: Pending['answer']): void {
    const nowMs = this.events.nowMs
    const nodes = this.#nodes.get(service) ?? []
    const node = nodes[Math.floor(this.#random() * nodes.length)]!
    const tenant = { callerName: root.caller, serviceName: service }
    const within = this.#variant.noPromises === true ||
      agreement.takeToken(node.promises, tenant, root.importance, nowMs)
    const own = admissionLevel({ withinPromise: within, importance: root.importance, rootHash: hash32(root.id) })
    const level = Math.max(rootLevel, own)
    const callId = `c${this.#callsCount++}`
    const pending = { root, node, level, deadlineAtMs, giveBack: within, answer }
    const { db } = this.#gateOf(pending)
    this.#pending.set(callId, pending)
    const passes = service !== 'booking' || admission.admitsRootRequest(db, service, 'book', level, nowMs, this.#random)
    const call = { callId, callerName: root.caller, level, arrivedAtMs: nowMs, deadlineAtMs, routeName: service }
    this.#apply(passes ? admission.offerCall(db, call, nowMs) : [{ kind: 'refuse', callId, reason: Reason.ChainOverload }])
  }

  #apply (events: GateEvent[]): void {
    for (const event of events) {
      const pending = this.#pending.get(event.callId)
      if (pending === undefined || event.kind === 'queued') continue
      if (event.kind === 'start') this.#start(event.callId, pending)
      else this.#refuse(event.callId, pending, event.reason)
    }
  }

  #gateOf ({ node, root }: Pending): BackendNode['gates'][number] {
    return node.gates[root.importance === Importance.Vital ? node.gates.length - 1 : 0]!
  }

  #refuse (callId: string, pending: Pending, reason: Reason): void {
    const { node, root, giveBack, level } = pending
    this.#pending.delete(callId)
    const tenant = { callerName: root.caller, serviceName: node.service }
    if (giveBack) agreement.returnToken(node.promises, tenant, this.events.nowMs)
    const forLoad = reason === Reason.Overload || reason === Reason.AbovePromise
    const worseWaits = node.gates.some(({ db }) => db.queue.some(({ call }) => call.level - call.level % 32 > level))
    if (forLoad && root.importance === Importance.Vital && worseWaits) this.importantRefusedFirstCount += 1
    pending.answer({
      ok: false, cutLevel: admission.getGateReading(this.#gateOf(pending).db, this.events.nowMs).cutLevel
    })
  }

  #start (callId: string, pending: Pending): void {
    const startedAtMs = this.events.nowMs
    const { db, trueSlotsCount } = this.#gateOf(pending)
    const shed = { ok: false, cutLevel: WORST_LEVEL }
    if (db.inFlight.size > trueSlotsCount) return this.#release(callId, pending, ReleaseKind.Shed, startedAtMs, shed)
    if (pending.node.service === 'stock') this.#count(pending.root.caller)
    const meanMs = SERVICE_MS * (this.slowService === pending.node.service ? 10 : 1)
    const steps = pending.node.service === 'booking' ? CHAIN : []
    this.events.at(startedAtMs - Math.log(1 - this.#random()) * meanMs, () =>
      this.#callBelow(pending, steps, WORST_LEVEL, answer =>
        this.#release(callId, pending, ReleaseKind.Done, startedAtMs, answer)))
  }

  /** A slot stays taken while the services below work, one after the other. */
  #callBelow (pending: Pending, steps: readonly string[], cutLevel: number, done: Pending['answer']): void {
    const [service, ...rest] = steps
    if (service === undefined) return done({ ok: true, cutLevel })
    this.#call(service, pending.root, pending.level, pending.deadlineAtMs, answer => {
      const strictest = Math.min(cutLevel, answer.cutLevel)
      if (answer.ok) this.#callBelow(pending, rest, strictest, done)
      else done({ ok: false, cutLevel: strictest })
    })
  }

  #release (callId: string, pending: Pending, kind: ReleaseKind, startedAtMs: Millis, answer: Answer): void {
    const { db } = this.#gateOf(pending)
    const nowMs = this.events.nowMs
    this.#pending.delete(callId)
    const { cutLevel } = admission.getGateReading(db, nowMs)
    if (pending.node.service === 'booking') admission.recordCutLevel(db, 'booking', 'book', answer.cutLevel, nowMs)
    const next = admission.releaseSlot(db, callId, kind, nowMs - startedAtMs, nowMs)
    pending.answer({ ok: answer.ok, cutLevel: Math.min(cutLevel, answer.cutLevel) })
    this.#apply(next)
  }
}
