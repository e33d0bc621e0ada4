import { v7 as uuidV7 } from 'uuid'
import type { Millis } from '../clock/clock.js'
import { Outcome } from '../core/coreTypes.js'
import type { IncomingCall, SendResult } from '../core/nodeCore/nodeCoreTypes.js'
import { CRASHING_BODY_HASH } from './soakBackend.js'
import type { SoakFleet } from './soakFleet.js'
import type { Place } from './soakNetwork.js'
import { START_WALL_MS } from './soakWorld.js'

const RESENDS_MAX_COUNT = 3
const SEND_TIMEOUT_MS: Millis = 1_500
/** A root request is forgotten by the checks when nothing of it can happen any more. */
const FORGET_AFTER_MS: Millis = 400_000
const KEYED_RATIO = 0.5
/** Most resends come at once; a late one meets restarted nodes, newer lists and other owner nodes. */
const LATE_RESEND_RATIO = 0.2
const LATE_RESEND_MAX_MS: Millis = 30_000
const RESEND_MAX_MS: Millis = 60

interface Root {
  readonly rootId: string
  readonly serviceName: string
  readonly key: string | null
  readonly isNumbered: boolean
  readonly bodyHash: number
}

/** A caller in one data centre that sends root requests at random times and resends them hard. */
export class SoakCaller {
  readonly #fleet: SoakFleet
  readonly #place: Place
  readonly #name: string
  readonly #skewMs: Millis
  meanPeriodMs: Millis
  /** A quiet caller sends no new root requests. */
  isQuiet = false
  rootsCount = 0
  readonly outcomes = { done: 0, notRun: 0, unknown: 0 }

  constructor (fleet: SoakFleet, name: string, dataCentre: string, meanPeriodMs: Millis) {
    this.#fleet = fleet
    this.#name = name
    this.#place = { dataCentre, placeId: name }
    this.meanPeriodMs = meanPeriodMs
    this.#skewMs = fleet.world.between(-900, 900)
    this.#scheduleNext()
  }

  /** Sends one request that crashes the backend servers that run it. */
  sendCrashing (): void {
    this.#sendRoot(CRASHING_BODY_HASH)
  }

  #scheduleNext (): void {
    const { world } = this.#fleet
    world.after(-Math.log(1 - world.random()) * this.meanPeriodMs, () => {
      if (!this.isQuiet) this.#sendRoot(Math.floor(world.random() * 500))
      this.#scheduleNext()
    })
  }

  #sendRoot (bodyHash: number): void {
    const { world } = this.#fleet
    this.rootsCount += 1
    const isKeyed = world.chance(KEYED_RATIO)
    const root: Root = {
      rootId: this.#fleet.nextId('r'),
      serviceName: isKeyed ? 'booking' : 'schedule',
      key: isKeyed ? this.#newKey() : null,
      isNumbered: world.chance(0.5),
      bodyHash
    }
    world.after(FORGET_AFTER_MS, () => this.#fleet.checks.forget(root.rootId))
    this.#send(root, 1)
  }

  #newKey (): string {
    const { world } = this.#fleet
    const random = Uint8Array.from({ length: 16 }, () => Math.floor(world.random() * 256))
    return uuidV7({ msecs: Math.floor(START_WALL_MS + world.nowMs + this.#skewMs), random })
  }

  #send (root: Root, attempt: number): void {
    const { world, network, checks } = this.#fleet
    const call: IncomingCall = {
      callId: this.#fleet.nextId('c'),
      source: { kind: 'caller' },
      callerName: this.#name,
      serviceName: root.serviceName,
      method: root.key === null ? 'GET' : 'POST',
      path: '/',
      rootId: root.rootId,
      parentId: '',
      deadlineMs: 1_000,
      idempotencyKey: root.key,
      attempt: root.isNumbered ? attempt : null,
      requestedImportance: null,
      bodyHash: root.bodyHash
    }
    checks.rootSent(call, world.nowMs)
    network.exchange(this.#place, world.pick(this.#fleet.nodes), call, SEND_TIMEOUT_MS, result => {
      checks.answered(call, result, world.nowMs)
      this.#takeResult(root, attempt, result)
    })
  }

  #takeResult (root: Root, attempt: number, result: SendResult): void {
    const { world } = this.#fleet
    const outcome = result.kind === 'answered' ? result.headers['ragwortspur-outcome'] : Outcome.Unknown
    if (outcome === Outcome.Done) {
      this.outcomes.done += 1
    } else if (attempt <= RESENDS_MAX_COUNT) {
      const delayMaxMs = world.chance(LATE_RESEND_RATIO) ? LATE_RESEND_MAX_MS : RESEND_MAX_MS
      world.after(world.between(0, delayMaxMs), () => this.#send(root, attempt + 1))
    } else if (outcome === Outcome.NotRun) {
      this.outcomes.notRun += 1
    } else {
      this.outcomes.unknown += 1
    }
  }
}
