import type { Clock, Millis } from '../clock/clock.js'
import { configurationProofDefinition } from '../core/configurationProof/configurationProofDefinition.js'
import type { ConfigurationProofDb } from '../core/configurationProof/configurationProofDb.js'
import type {
  AnswerResult, ClockTimes, ConfirmedRead, ProofAnswer, StorePosition
} from '../core/configurationProof/configurationProofTypes.js'
import type { RandomSource } from '../core/coreTypes.js'
import type { NodeLog } from './nodeLog.js'
import { encodeNotice } from './notices.js'
import type { StoreReadProof } from './storeTask.js'

export interface ConfigurationProofTaskOptions {
  readonly clock: Clock
  readonly random: RandomSource
  readonly log: NodeLog
  /** Time after the store's confirmation from which no request with a removed key may run. */
  readonly boundMs: Millis
  /** Version of the configuration in force, or 0. */
  readonly configurationVersion: () => number
  readonly sendTo: (ip: string, text: string) => void
}

/**
 * Keeps the proof that the configuration in force is the newest, where the settings demand strict revocation: from
 * reads of the store and by questions to the nodes that publish them.
 */
export class ConfigurationProofTask implements StoreReadProof {
  readonly #options: ConfigurationProofTaskOptions
  readonly #db: ConfigurationProofDb
  #wasProven = false

  constructor (options: ConfigurationProofTaskOptions) {
    this.#options = options
    this.#db = configurationProofDefinition.createDb({ boundMs: options.boundMs }, this.#times, options.random)
  }

  get #times (): ClockTimes {
    const { clock } = this.#options
    return { monotonicMs: clock.monotonicMs(), wallMs: clock.wallMs() }
  }

  /** Whether a key of the configuration in force may be accepted now. */
  get isProven (): boolean {
    const isProven = configurationProofDefinition.acceptsKeys(this.#db, this.#times)
    if (isProven !== this.#wasProven) this.#recordChange(isProven)
    return isProven
  }

  /** Age of the proof; infinite without one. */
  get ageMs (): Millis {
    return configurationProofDefinition.ageMs(this.#db, this.#times)
  }

  /** Asks a peer if the proof needs it, and answers the peers whose wait has ended. Called several times a second. */
  sweep (): void {
    this.#sendQuestion()
    this.#sendAnswers()
    // Logs the loss of the proof also while no request arrives.
    void this.isProven
  }

  recordPublisher (ip: string): void {
    configurationProofDefinition.recordPublisher(this.#db, ip, this.#times)
    this.#sendQuestion()
  }

  /** Records that a configuration was put in force. */
  recordVersion (): void {
    configurationProofDefinition.recordVersion(this.#db, this.#options.configurationVersion())
    this.#sendAnswers()
  }

  receiveQuestion (ip: string, stampMs: Millis): void {
    configurationProofDefinition.recordQuestion(this.#db, { ip, stampMs }, this.#times)
    this.#sendQuestion()
    this.#sendAnswers()
  }

  receiveAnswer (ip: string, answer: ProofAnswer): AnswerResult {
    const version = this.#options.configurationVersion()
    const result = configurationProofDefinition.recordAnswer(this.#db, ip, answer, version, this.#times)
    this.#sendAnswers()
    void this.isProven
    return result
  }

  nowMs (): Millis {
    return configurationProofDefinition.readClockMs(this.#db, this.#times)
  }

  untilReadMs (readAfterMs: Millis): Millis {
    return configurationProofDefinition.untilReadMs(this.#db, readAfterMs, this.#times)
  }

  limitWatchMs (waitMs: Millis): Millis {
    return configurationProofDefinition.limitWatchMs(this.#db, waitMs, this.#times)
  }

  watchAfterRevision (list: StorePosition): number | null {
    return configurationProofDefinition.watchAfterRevision(this.#db, list)
  }

  recordRead ({ sentAtMs, position: { era, revision }, isStale }: ConfirmedRead): void {
    configurationProofDefinition.recordRead(this.#db, { sentAtMs, position: { era, revision }, isStale })
    this.#sendAnswers()
    void this.isProven
  }

  recordReadFailed (): void {
    configurationProofDefinition.recordReadFailed(this.#db, this.#times)
  }

  #sendQuestion (): void {
    const question = configurationProofDefinition.takeQuestion(this.#db, this.#times)
    if (question === null) return
    this.#options.sendTo(question.ip, encodeNotice({ method: 'prove', stampMs: question.stampMs }))
  }

  #sendAnswers (): void {
    const version = this.#options.configurationVersion()
    for (const { ip, answer } of configurationProofDefinition.takeAnswers(this.#db, version, this.#times)) {
      this.#options.sendTo(ip, encodeNotice({ method: 'proof', ...answer }))
    }
  }

  #recordChange (isProven: boolean): void {
    this.#wasProven = isProven
    const { source } = this.#db
    this.#options.log.event(isProven ? 'configuration_proven' : 'configuration_proof_lost', {
      age_ms: Math.round(this.ageMs),
      version: this.#options.configurationVersion(),
      source: source.kind === 'peer' ? source.ip : source.kind
    })
  }
}
