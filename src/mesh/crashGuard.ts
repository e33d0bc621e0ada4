import type { Clock, Millis } from '../clock/clock.js'
import { hashBytes32 } from '../core/hash.js'
import { retryDefinition } from '../core/retry/retryDefinition.js'
import type { Fingerprint } from '../core/retry/retryTypes.js'
import type { PlacedCall } from './meshTypes.js'
import type { NodeLog } from './nodeLog.js'

/** Calls whose connections broke this shortly before a connect was refused were running when the server crashed. */
const BROKEN_BEFORE_CRASH_MS: Millis = 400

interface BrokenCall {
  readonly call: PlacedCall
  readonly atMs: Millis
}

export interface CrashGuardOptions {
  readonly clock: Clock
  readonly log: NodeLog
  /** Calls that were running when the own backend server crashed. */
  readonly onCrash: (fingerprints: readonly Fingerprint[]) => void
}

/** What a request is, without the ids that differ each time it is sent. */
export function fingerprintOf (call: PlacedCall): Fingerprint {
  return {
    serviceName: call.serviceName, routeName: `${call.method} ${call.target}`, bodyHash: hashBytes32(call.body)
  }
}

/** Finds requests that crash each backend server that runs them, and keeps them from the next one. */
export class CrashGuard {
  readonly #options: CrashGuardOptions
  readonly #retry = retryDefinition.createDb(retryDefinition.defaults)
  #broken: BrokenCall[] = []

  constructor (options: CrashGuardOptions) {
    this.#options = options
  }

  /** Whether a call must not run because requests like it crashed backend servers. */
  refuses (call: PlacedCall): boolean {
    if (this.#retry.quarantine.size === 0) return false
    return retryDefinition.verdict(this.#retry, fingerprintOf(call), this.#options.clock.monotonicMs()).kind === 'refuse'
  }

  /** The connection of a running call broke. */
  broke (call: PlacedCall): void {
    const nowMs = this.#options.clock.monotonicMs()
    this.#broken = this.#broken.filter(broken => nowMs - broken.atMs < BROKEN_BEFORE_CRASH_MS)
    this.#broken.push({ call, atMs: nowMs })
  }

  /** The own backend server takes no connection: it crashed if calls broke just before. */
  unreachable (): void {
    const nowMs = this.#options.clock.monotonicMs()
    const suspects = this.#broken.filter(broken => nowMs - broken.atMs < BROKEN_BEFORE_CRASH_MS)
    this.#broken = []
    if (suspects.length === 0) return
    const fingerprints = suspects.map(({ call }) => fingerprintOf(call))
    this.#options.log.event('backend_crashed', { running: suspects.length, request: suspects[0]!.call.requestId })
    this.accuse(fingerprints)
    this.#options.onCrash(fingerprints)
  }

  /** Takes the requests that were running in a crash, here or at another node. */
  accuse (fingerprints: readonly Fingerprint[]): void {
    const nowMs = this.#options.clock.monotonicMs()
    for (const [at, fingerprint] of fingerprints.entries()) {
      retryDefinition.dispatched(this.#retry, String(at), fingerprint, nowMs)
    }
    for (const fingerprint of retryDefinition.crashed(this.#retry, nowMs)) {
      this.#options.log.event('request_quarantined', {
        service: fingerprint.serviceName, route: fingerprint.routeName, body_hash: fingerprint.bodyHash
      })
    }
  }

  sweep (): void {
    retryDefinition.tick(this.#retry, this.#options.clock.monotonicMs())
  }
}
