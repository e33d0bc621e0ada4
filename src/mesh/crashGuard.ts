import type { Clock, Millis } from '../clock/clock.js'
import { hashBytes32 } from '../core/hash.js'
import { retryDefinition } from '../core/retry/retryDefinition.js'
import type { Fingerprint } from '../core/retry/retryTypes.js'
import { joinBody } from '../http/messageBody.js'
import type { DispatchedCall } from './meshTypes.js'
import type { NodeLog } from './nodeLog.js'

/** Calls whose connections broke within this time before a connect failed count as running at the crash. */
const CRASH_SUSPECT_WINDOW_MS: Millis = 400

/** A quarantined request and how much longer it is. */
export interface QuarantineHint extends Fingerprint {
  readonly forMs: Millis
}

interface BrokenCall {
  readonly call: DispatchedCall
  readonly brokenAtMs: Millis
}

export interface CrashGuardOptions {
  readonly clock: Clock
  readonly log: NodeLog
  /** Called with the requests that were running when this node's backend server crashed. */
  readonly onCrash: (fingerprints: readonly Fingerprint[]) => void
}

/** Identifies a request by its content, without the ids that differ each time it is sent. */
export function fingerprintOf (call: DispatchedCall): Fingerprint {
  return {
    serviceName: call.serviceName, routeName: `${call.method} ${call.target}`, bodyHash: hashBytes32(joinBody(call.body))
  }
}

/** Detects requests that crash the backend servers that run them, and quarantines them. */
export class CrashGuard {
  readonly #options: CrashGuardOptions
  readonly #retryDb = retryDefinition.createDb(retryDefinition.defaults)
  #brokenCalls: BrokenCall[] = []

  constructor (options: CrashGuardOptions) {
    this.#options = options
  }

  /** Whether a call must not run because requests with the same fingerprint crashed backend servers. */
  isQuarantined (call: DispatchedCall): boolean {
    if (this.#retryDb.quarantine.size === 0) return false
    return retryDefinition.checkQuarantine(this.#retryDb, fingerprintOf(call), this.#options.clock.monotonicMs()).kind === 'refuse'
  }

  /** Records that the connection of a running call broke. */
  recordBrokenCall (call: DispatchedCall): void {
    const nowMs = this.#options.clock.monotonicMs()
    this.#brokenCalls = this.#brokenCalls.filter(broken => nowMs - broken.brokenAtMs < CRASH_SUSPECT_WINDOW_MS)
    this.#brokenCalls.push({ call, brokenAtMs: nowMs })
  }

  /** Handles a failed connect to this node's backend server, which means a crash if calls broke just before. */
  recordConnectFailure (): void {
    const nowMs = this.#options.clock.monotonicMs()
    const suspects = this.#brokenCalls.filter(broken => nowMs - broken.brokenAtMs < CRASH_SUSPECT_WINDOW_MS)
    this.#brokenCalls = []
    if (suspects.length === 0) return
    const fingerprints = suspects.map(({ call }) => fingerprintOf(call))
    this.#options.log.event('backend_crashed', { running: suspects.length, request: suspects[0]!.call.requestId })
    this.recordCrash(fingerprints)
    this.#options.onCrash(fingerprints)
  }

  /** Records the requests that were running in a crash of this node's or another node's backend server. */
  recordCrash (fingerprints: readonly Fingerprint[]): void {
    const nowMs = this.#options.clock.monotonicMs()
    for (const [index, fingerprint] of fingerprints.entries()) {
      retryDefinition.recordDispatch(this.#retryDb, String(index), fingerprint, nowMs)
    }
    for (const fingerprint of retryDefinition.recordCrash(this.#retryDb, nowMs)) {
      this.#options.log.event('request_quarantined', {
        service: fingerprint.serviceName, route: fingerprint.routeName, body_hash: fingerprint.bodyHash
      })
    }
  }

  /** Quarantined requests with the time left, for a node that has just started and does not know them. */
  listQuarantined (): QuarantineHint[] {
    const nowMs = this.#options.clock.monotonicMs()
    return retryDefinition.listQuarantined(this.#retryDb, nowMs).map(({ fingerprint, untilMs }) => {
      return { ...fingerprint, forMs: Math.round(untilMs - nowMs) }
    })
  }

  /** Quarantines requests that another node has in quarantine. */
  addHints (hints: readonly QuarantineHint[]): void {
    const nowMs = this.#options.clock.monotonicMs()
    for (const { forMs, ...fingerprint } of hints) {
      retryDefinition.addQuarantineHint(this.#retryDb, fingerprint, forMs, nowMs)
    }
  }

  expireQuarantines (): void {
    retryDefinition.tick(this.#retryDb, this.#options.clock.monotonicMs())
  }
}
