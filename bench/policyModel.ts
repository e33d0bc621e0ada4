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

/** Mean service time of one call. */
export const SERVICE_MS = 40
const DEADLINE_MS = 1000
const SHORT_DEADLINE_MS = 150
const STEP_MS = 0.1
const RESENDS_COUNT = 3
const RESEND_AFTER_MS = 30
const CHAIN = ['schedule', 'stock', 'invoicing']
/** The example services of section 2 of the design document, with a tenth of their slots. */
const SERVICES: ReadonlyArray<{ name: string, nodesCount: number, slotsCount: number, heldMs: Millis }> = [
  { name: 'booking', nodesCount: 3, slotsCount: 22, heldMs: 4 * SERVICE_MS },
  { name: 'schedule', nodesCount: 3, slotsCount: 22, heldMs: SERVICE_MS },
  { name: 'stock', nodesCount: 4, slotsCount: 17, heldMs: SERVICE_MS },
  { name: 'invoicing', nodesCount: 3, slotsCount: 4, heldMs: SERVICE_MS }
]
/** Each caller's part of the promised calls and of the offered calls. */
export const CALLERS = [
  { name: 'dispatchers', promisedRatio: 0.5, offeredRatio: 0.25 },
  { name: 'customers', promisedRatio: 0.3, offeredRatio: 0.6 },
  { name: 'drivers', promisedRatio: 0.2, offeredRatio: 0.15 }
]
/** Invoicing limits the rate of bookings; lookups get the capacity of the stock service that bookings leave. */
export const BOOKINGS_PER_S = 3 * 4 * 1000 / SERVICE_MS
export const STOCK_PER_S = 4 * 17 * 1000 / SERVICE_MS

/** A combination of mechanisms, as settings that differ from the defaults. */
export interface Variant {
  readonly name: string
  readonly admission?: Partial<AdmissionSettings>
  readonly agreement?: Partial<AgreementSettings>
  /** All calls count as within promise. */
  readonly noPromises?: boolean
  /** Part of the slots of the stock service that is reserved for bookings, in place of priorities. */
  readonly reservedRatio?: number
}

/** Event queue of a discrete-event simulation in steps of 0.1 ms; first in, first out within a step. */
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

interface RootRequest { readonly id: string, readonly caller: string, readonly importance: Importance, sends: number }
interface CallAnswer { readonly ok: boolean, readonly cutLevel: number }
interface PendingCall {
  readonly root: RootRequest
  readonly node: BackendNode
  readonly level: number
  readonly deadlineAtMs: Millis
  readonly returnsToken: boolean
  readonly answer: (answer: CallAnswer) => void
}
interface BackendNode {
  readonly service: string
  readonly gates: Array<{ readonly db: AdmissionDb, readonly trueSlotsCount: number }>
  readonly promises: AgreementDb
}

/**
 * Discrete-event simulation of the example services, whose nodes run the real
 * admission and promise code.
 */
export class PolicyModel {
  readonly events = new EventQueue()
  /** Counts in bins of 100 ms: root requests done, bookings done, and calls started at the stock service by caller. */
  readonly bins = new Map<string, number[]>()
  importantRefusedFirstCount = 0
  violationsCount = 0
  readonly #variant: Variant
  readonly #random: () => number
  readonly #nodes = new Map<string, BackendNode[]>()
  readonly #pending = new Map<string, PendingCall>()
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
    this.#scheduleArrivals()
    this.#pollGates()
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
    const capacityPerS = service.nodesCount * service.slotsCount * 1000 / service.heldMs
    const promisedPerS = service.name === 'booking' ? BOOKINGS_PER_S : capacityPerS
    const liveNodesCount = service.nodesCount
    const basis = { documentVersion: 1, listRevision: 1, dataCentreWeight: 1, liveNodesCount, isListConfirmed: true }
    agreement.setPromises(promises, service.name, CALLERS.map(({ name, promisedRatio }) =>
      ({ callerName: name, serviceName: service.name, promisedCallsPerS: promisedRatio * promisedPerS })),
    basis, 0)
    return { service: service.name, gates, promises }
  }

  #pollGates (): void {
    const nowMs = this.events.nowMs
    for (const { gates, promises } of [...this.#nodes.values()].flat()) {
      for (const { db } of gates) this.#applyGateEvents(admission.processQueue(db, nowMs))
      for (const { db } of gates) this.violationsCount += admission.violations(db, nowMs).length
      this.violationsCount += agreement.violations(promises, nowMs).length
    }
    this.events.at(nowMs + 10, () => this.#pollGates())
  }

  /** Open-loop load with Poisson arrivals: new root requests do not wait for answers to earlier ones. */
  #scheduleArrivals (): void {
    const ratePerS = this.offeredRatio * STOCK_PER_S
    const booking = this.#random() < BOOKINGS_PER_S / STOCK_PER_S
    let draw = this.#random()
    const caller = CALLERS.find(({ offeredRatio }) => (draw -= offeredRatio) < 0) ?? CALLERS[0]!
    const importance = booking && this.bookingsOffered ? Importance.Vital : Importance.Normal
    this.#sendRootRequest({ id: `r${this.#rootsCount++}`, caller: caller.name, importance, sends: 0 })
    this.events.at(this.events.nowMs - Math.log(1 - this.#random()) * 1000 / ratePerS, () => this.#scheduleArrivals())
  }

  /** Sends a root request, and resends it a limited number of times if it fails or passes its deadline. */
  #sendRootRequest (root: RootRequest): void {
    root.sends += 1
    let settled = false
    const hasShortDeadline = this.shortDeadlines && Number(root.id.slice(1)) % 2 === 0
    const deadlineAtMs = this.events.nowMs + (hasShortDeadline ? SHORT_DEADLINE_MS : DEADLINE_MS)
    const settle = (ok: boolean): void => {
      if (settled) return
      settled = true
      if (ok) this.#countInBin('done')
      if (ok && root.importance === Importance.Vital) this.#countInBin('bookings')
      if (!ok && root.sends <= RESENDS_COUNT) {
        this.events.at(this.events.nowMs + RESEND_AFTER_MS, () => this.#sendRootRequest(root))
      }
    }
    this.events.at(deadlineAtMs, () => settle(false))
    const first = root.importance === Importance.Vital ? 'booking' : 'stock'
    this.#sendCall(first, root, 0, deadlineAtMs, ({ ok }) => settle(ok))
  }

  #countInBin (name: string): void {
    const bins = this.bins.get(name) ?? []
    this.bins.set(name, bins)
    const bin = Math.floor(this.events.nowMs / 100)
    bins[bin] = (bins[bin] ?? 0) + 1
  }

  /**
   * Sends one call to a random node of a service: takes a promise token, computes the
   * admission level, checks the cut levels of the downstream services and offers the call to the gate.
   */
  #sendCall (
    service: string, root: RootRequest, rootLevel: number, deadlineAtMs: Millis, answer: PendingCall['answer']
  ): void {
    const nowMs = this.events.nowMs
    const nodes = this.#nodes.get(service) ?? []
    const node = nodes[Math.floor(this.#random() * nodes.length)]!
    const tenant = { callerName: root.caller, serviceName: service }
    const isWithinPromise = this.#variant.noPromises === true ||
      agreement.takeToken(node.promises, tenant, root.importance, nowMs)
    const ownLevel = admissionLevel({
      withinPromise: isWithinPromise, importance: root.importance, rootHash: hash32(root.id)
    })
    const level = Math.max(rootLevel, ownLevel)
    const callId = `c${this.#callsCount++}`
    const pending = { root, node, level, deadlineAtMs, returnsToken: isWithinPromise, answer }
    const { db } = this.#gateOf(pending)
    this.#pending.set(callId, pending)
    const isAdmitted = service !== 'booking' ||
      admission.admitsRootRequest(db, service, 'book', level, nowMs, this.#random)
    const call = { callId, callerName: root.caller, level, arrivedAtMs: nowMs, deadlineAtMs, routeName: service }
    this.#applyGateEvents(isAdmitted
      ? admission.offerCall(db, call, nowMs)
      : [{ kind: 'refuse', callId, reason: Reason.ChainOverload }])
  }

  #applyGateEvents (events: GateEvent[]): void {
    for (const event of events) {
      const pending = this.#pending.get(event.callId)
      if (pending === undefined || event.kind === 'queued') continue
      if (event.kind === 'start') this.#startCall(event.callId, pending)
      else this.#refuseCall(event.callId, pending, event.reason)
    }
  }

  #gateOf ({ node, root }: PendingCall): BackendNode['gates'][number] {
    return node.gates[root.importance === Importance.Vital ? node.gates.length - 1 : 0]!
  }

  #refuseCall (callId: string, pending: PendingCall, reason: Reason): void {
    const { node, root, returnsToken, level } = pending
    this.#pending.delete(callId)
    const tenant = { callerName: root.caller, serviceName: node.service }
    if (returnsToken) agreement.returnToken(node.promises, tenant, this.events.nowMs)
    const isForLoad = reason === Reason.Overload || reason === Reason.AbovePromise
    const lowerPriorityWaits = node.gates.some(
      ({ db }) => db.queue.some(({ call }) => call.level - call.level % 32 > level)
    )
    if (isForLoad && root.importance === Importance.Vital && lowerPriorityWaits) this.importantRefusedFirstCount += 1
    pending.answer({
      ok: false, cutLevel: admission.getGateReading(this.#gateOf(pending).db, this.events.nowMs).cutLevel
    })
  }

  #startCall (callId: string, pending: PendingCall): void {
    const startedAtMs = this.events.nowMs
    const { db, trueSlotsCount } = this.#gateOf(pending)
    const shed = { ok: false, cutLevel: WORST_LEVEL }
    if (db.inFlight.size > trueSlotsCount) return this.#finishCall(callId, pending, ReleaseKind.Shed, startedAtMs, shed)
    if (pending.node.service === 'stock') this.#countInBin(pending.root.caller)
    const meanMs = SERVICE_MS * (this.slowService === pending.node.service ? 10 : 1)
    const downstreamServices = pending.node.service === 'booking' ? CHAIN : []
    this.events.at(startedAtMs - Math.log(1 - this.#random()) * meanMs, () =>
      this.#callDownstream(pending, downstreamServices, WORST_LEVEL, answer =>
        this.#finishCall(callId, pending, ReleaseKind.Done, startedAtMs, answer)))
  }

  /** Calls the downstream services one after the other, while the calling service keeps its slot. */
  #callDownstream (
    pending: PendingCall, downstreamServices: readonly string[], cutLevel: number, done: PendingCall['answer']
  ): void {
    const [service, ...rest] = downstreamServices
    if (service === undefined) return done({ ok: true, cutLevel })
    this.#sendCall(service, pending.root, pending.level, pending.deadlineAtMs, answer => {
      const strictest = Math.min(cutLevel, answer.cutLevel)
      if (answer.ok) this.#callDownstream(pending, rest, strictest, done)
      else done({ ok: false, cutLevel: strictest })
    })
  }

  #finishCall (
    callId: string, pending: PendingCall, kind: ReleaseKind, startedAtMs: Millis, answer: CallAnswer
  ): void {
    const { db } = this.#gateOf(pending)
    const nowMs = this.events.nowMs
    this.#pending.delete(callId)
    const { cutLevel } = admission.getGateReading(db, nowMs)
    if (pending.node.service === 'booking') admission.recordCutLevel(db, 'booking', 'book', answer.cutLevel, nowMs)
    const next = admission.releaseSlot(db, callId, kind, nowMs - startedAtMs, nowMs)
    pending.answer({ ok: answer.ok, cutLevel: Math.min(cutLevel, answer.cutLevel) })
    this.#applyGateEvents(next)
  }
}
