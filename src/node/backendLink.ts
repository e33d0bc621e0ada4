import type { Clock, Millis } from '../clock/clock.js'
import { Reason } from '../core/coreTypes.js'
import { BackendStatus } from '../core/nodeCore/nodeCoreTypes.js'
import { ConnectionPool } from './connectionPool.js'
import type { NodeHoldings } from './holdings.js'
import type { Cancellation, PoolRequest, PoolResult } from './connectionPool.js'

const PROBE_PERIOD_MS: Millis = 500
const PROBE_TIMEOUT_MS: Millis = 250
/** Unanswered probes in a row until the backend server counts as down; a short pause of it leaves some unanswered. */
const UNANSWERED_PROBES_TO_DOWN_COUNT = 4
/** Shortest time between probes after lost connections; a probe costs the backend server several ms. */
const EARLY_PROBE_PERIOD_MS: Millis = 50

export interface BackendLinkOptions {
  readonly address: string
  readonly clock: Clock
  readonly connectionsMaxCount: number
  readonly holdings?: NodeHoldings
  readonly onStatus: (status: BackendStatus) => void
  /** Called when connections were lost and no new one can be opened. */
  readonly onCrash: () => void
}

function parseStatus (body: Uint8Array): BackendStatus {
  try {
    const { status } = JSON.parse(Buffer.from(body).toString()) as { status?: unknown }
    if (status === BackendStatus.Draining || status === BackendStatus.Warming) return status
  } catch { /* The backend server answered, even if its body is not JSON. */ }
  return BackendStatus.Ready
}

/** Owns the connections to the node's backend server and monitors its state with health probes. */
export class BackendLink {
  readonly #options: BackendLinkOptions
  readonly #pool: ConnectionPool
  #timer: NodeJS.Timeout | null = null
  #earlyTimer: NodeJS.Timeout | null = null
  #unansweredProbesCount = 0
  #lastAnswerAtMs: Millis = -Infinity
  #lastProbeAtMs: Millis = -Infinity
  #hasLostConnection = false
  #isUp = false
  #stopped = false

  constructor (options: BackendLinkOptions) {
    this.#options = options
    this.#pool = new ConnectionPool(options.address, {
      clock: options.clock,
      connectionsMaxCount: options.connectionsMaxCount,
      identifiesAnswers: true,
      ...(options.holdings === undefined ? {} : { holdings: options.holdings })
    })
  }

  start (): void {
    this.#timer = setInterval(() => this.#probeIfIdle(), PROBE_PERIOD_MS)
    void this.#probe()
  }

  async send (request: PoolRequest, cancellation: Cancellation): Promise<PoolResult> {
    const result = await this.#pool.send(request, cancellation)
    this.#recordResult(result)
    return result
  }

  async stop (): Promise<void> {
    if (this.#timer !== null) clearInterval(this.#timer)
    if (this.#earlyTimer !== null) clearTimeout(this.#earlyTimer)
    this.#stopped = true
    await this.#pool.close()
  }

  #recordResult (result: PoolResult): void {
    if (result.kind === 'answered') {
      this.#lastAnswerAtMs = this.#options.clock.monotonicMs()
      this.#unansweredProbesCount = 0
      if (result.headers['ragwortspur-backend-status'] === BackendStatus.Draining) {
        this.#options.onStatus(BackendStatus.Draining)
      }
    } else if (result.reason === Reason.ConnectionLost || result.reason === Reason.AnswerTruncated ||
      (result.reason === Reason.ConnectFailed && !result.poolBusy)) {
      this.#hasLostConnection ||= result.reason !== Reason.ConnectFailed
      this.#probeEarly()
    }
  }

  #probeIfIdle (): void {
    const idleMs = this.#options.clock.monotonicMs() - this.#lastAnswerAtMs
    if (idleMs >= PROBE_PERIOD_MS || !this.#isUp) void this.#probe()
  }

  /**
   * Probes the backend server at once, or as soon as the shortest time between
   * probes has passed. Without an early probe, a quick restart could hide a crash.
   */
  #probeEarly (): void {
    if (this.#earlyTimer !== null || this.#stopped) return
    const waitMs = EARLY_PROBE_PERIOD_MS - (this.#options.clock.monotonicMs() - this.#lastProbeAtMs)
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
    this.#lastProbeAtMs = this.#options.clock.monotonicMs()
    const result = await this.#pool.probe('/health', PROBE_TIMEOUT_MS)
    if (result.kind === 'answered') this.#onProbeAnswered(parseStatus(result.body))
    else if (!result.poolBusy) this.#onProbeFailed(result.reason)
  }

  #onProbeAnswered (status: BackendStatus): void {
    this.#isUp = true
    this.#hasLostConnection = false
    this.#unansweredProbesCount = 0
    this.#lastAnswerAtMs = this.#options.clock.monotonicMs()
    this.#options.onStatus(status)
  }

  #reportDown (): void {
    this.#isUp = false
    if (this.#hasLostConnection) this.#options.onCrash()
    this.#hasLostConnection = false
    this.#options.onStatus(BackendStatus.Down)
  }

  #onProbeFailed (reason: Reason): void {
    if (reason === Reason.ConnectFailed) {
      this.#reportDown()
      return
    }
    // The probe used an old connection that was just lost; only a new one shows whether the backend server is up.
    if (reason === Reason.ConnectionLost || reason === Reason.AnswerTruncated) this.#probeEarly()
    this.#unansweredProbesCount += 1
    if (this.#unansweredProbesCount < UNANSWERED_PROBES_TO_DOWN_COUNT) return
    this.#isUp = false
    this.#options.onStatus(BackendStatus.Down)
  }
}
