import type { Clock, Millis } from '../clock/clock.js'
import { Reason } from '../core/coreTypes.js'
import { BackendStatus } from '../core/nodeCore/nodeCoreTypes.js'
import { ConnectionPool } from './connectionPool.js'
import type { Cancellation, PoolRequest, PoolResult } from './connectionPool.js'

const PROBE_PERIOD_MS: Millis = 500
const PROBE_TIMEOUT_MS: Millis = 250
/** A paused backend server answers no probe for a moment; only longer silence means that it is down. */
const SILENT_PROBES_TO_DOWN_COUNT = 4
/** How often lost connections may lead to a probe ahead of time; a probe costs the backend server several ms. */
const EARLY_PROBE_PERIOD_MS: Millis = 50

export interface BackendLinkOptions {
  readonly address: string
  readonly clock: Clock
  readonly connectionsMaxCount: number
  readonly onStatus: (status: BackendStatus) => void
  /** Connections were lost and no new one can be opened. */
  readonly onCrash: () => void
}

function statusIn (body: Uint8Array): BackendStatus {
  try {
    const { status } = JSON.parse(Buffer.from(body).toString()) as { status?: unknown }
    if (status === BackendStatus.Draining || status === BackendStatus.Warming) return status
  } catch { /* A body that is no JSON still shows that the backend server answers. */ }
  return BackendStatus.Ready
}

/** The task that owns the connections to the node's backend server and watches its state. */
export class BackendLink {
  readonly #options: BackendLinkOptions
  readonly #pool: ConnectionPool
  #timer: NodeJS.Timeout | null = null
  #earlyTimer: NodeJS.Timeout | null = null
  #silentProbesCount = 0
  #heardAtMs: Millis = -Infinity
  #probedAtMs: Millis = -Infinity
  #hasLost = false
  #isUp = false
  #stopped = false

  constructor (options: BackendLinkOptions) {
    this.#options = options
    this.#pool = new ConnectionPool(options.address, {
      clock: options.clock, connectionsMaxCount: options.connectionsMaxCount
    })
  }

  start (): void {
    this.#timer = setInterval(() => this.#probeIfQuiet(), PROBE_PERIOD_MS)
    void this.#probe()
  }

  async send (request: PoolRequest, cancellation: Cancellation): Promise<PoolResult> {
    const result = await this.#pool.send(request, cancellation)
    this.#note(result)
    return result
  }

  async stop (): Promise<void> {
    if (this.#timer !== null) clearInterval(this.#timer)
    if (this.#earlyTimer !== null) clearTimeout(this.#earlyTimer)
    this.#stopped = true
    await this.#pool.close()
  }

  #note (result: PoolResult): void {
    if (result.kind === 'answered') {
      this.#heardAtMs = this.#options.clock.monotonicMs()
      this.#silentProbesCount = 0
      if (result.headers['ragwortspur-backend-status'] === BackendStatus.Draining) {
        this.#options.onStatus(BackendStatus.Draining)
      }
    } else if (result.reason === Reason.ConnectionLost || result.reason === Reason.AnswerTruncated ||
      (result.reason === Reason.ConnectFailed && !result.poolBusy)) {
      this.#hasLost ||= result.reason !== Reason.ConnectFailed
      this.#probeEarly()
    }
  }

  #probeIfQuiet (): void {
    const quietMs = this.#options.clock.monotonicMs() - this.#heardAtMs
    if (quietMs >= PROBE_PERIOD_MS || !this.#isUp) void this.#probe()
  }

  /**
   * Asks whether the backend server lives, at once or as soon as the period
   * allows; a quick restart must not hide a crash.
   */
  #probeEarly (): void {
    if (this.#earlyTimer !== null || this.#stopped) return
    const waitMs = EARLY_PROBE_PERIOD_MS - (this.#options.clock.monotonicMs() - this.#probedAtMs)
    if (waitMs <= 0) {
      void this.#probe()
      return
    }
    this.#earlyTimer = setTimeout(() => {
      this.#earlyTimer = null
      void this.#probe()
    }, waitMs)
  }

  async #probe (): Promise<void> {
    this.#probedAtMs = this.#options.clock.monotonicMs()
    const result = await this.#pool.probe('/health', PROBE_TIMEOUT_MS)
    if (result.kind === 'answered') this.#up(statusIn(result.body))
    else if (!result.poolBusy) this.#unanswered(result.reason)
  }

  #up (status: BackendStatus): void {
    this.#isUp = true
    this.#hasLost = false
    this.#silentProbesCount = 0
    this.#heardAtMs = this.#options.clock.monotonicMs()
    this.#options.onStatus(status)
  }

  #down (): void {
    this.#isUp = false
    if (this.#hasLost) this.#options.onCrash()
    this.#hasLost = false
    this.#options.onStatus(BackendStatus.Down)
  }

  #unanswered (reason: Reason): void {
    if (reason === Reason.ConnectFailed) {
      this.#down()
      return
    }
    // The probe met an old connection that was just lost; only a new one shows whether the backend server lives.
    if (reason === Reason.ConnectionLost || reason === Reason.AnswerTruncated) this.#probeEarly()
    this.#silentProbesCount += 1
    if (this.#silentProbesCount < SILENT_PROBES_TO_DOWN_COUNT) return
    this.#isUp = false
    this.#options.onStatus(BackendStatus.Down)
  }
}
