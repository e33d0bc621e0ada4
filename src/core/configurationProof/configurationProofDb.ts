import type { Millis } from '../../clock/clock.js'
import type { RandomSource } from '../coreTypes.js'
import type { ClockTimes, ProofQuestion, ProofSource, StorePosition } from './configurationProofTypes.js'

export interface ConfigurationProofSettings {
  /** Time after the store's confirmation from which no request with a removed key may run. */
  readonly boundMs: Millis
}

/** A question to a peer that has not been answered, or whose answer is late. */
export interface SentQuestion extends ProofQuestion {
  /** Reading of the proof clock when it was sent. */
  readonly sentAtMs: Millis
  isAnswered: boolean
}

/** A peer's question that is answered once this node's own question is. */
export interface DeferredQuestion {
  readonly stampMs: Millis
  readonly receivedAtMs: Millis
}

/** A proof that holds as soon as this node has at least this version of the configuration. */
export interface PendingProof {
  readonly provenAtMs: Millis
  readonly version: number
  readonly source: ProofSource
  readonly position: StorePosition
}

/** State of the proof of the configuration's age. All times are readings of the proof clock. */
export interface ConfigurationProofDb {
  readonly settings: ConfigurationProofSettings
  /**
   * Added to the clock in the stamps of questions. It is random, so that no answer to a question of a former process
   * at this address can match one of this process.
   */
  readonly stampBaseMs: Millis
  readonly startedAtMs: Millis
  /** Difference of the wall clock and the monotonic clock up to which forward divergences are counted. */
  wallOffsetMs: Millis
  /** Sum of the forward divergences of the wall clock from the monotonic clock. */
  aheadMs: Millis
  /** When the configuration in force was known to be the newest; negative infinity without a proof. */
  provenAtMs: Millis
  source: ProofSource
  /** Up to where in the store the configuration in force is complete, or null if that is not known. */
  completeTo: StorePosition | null
  pending: PendingProof | null
  /** Nodes that have sent `published` notices lately, the last one first. */
  publisherIps: string[]
  /** The last questions, the newest one last. */
  questions: SentQuestion[]
  /** Questions in a row that did not make the proof young enough. */
  fruitlessCount: number
  /** Time before which no further question is sent. */
  nextQuestionAtMs: Millis
  lastAnswerAtMs: Millis
  lastReadFailedAtMs: Millis
  deferredByIp: Map<string, DeferredQuestion>
}

/** Above what the clocks of a node reach in the lifetime of a process, and exact in a double together with them. */
const STAMP_BASE_MAX_MS: Millis = 2 ** 48

/** Creates the state of a process that has just started. */
export function createConfigurationProofDb (
  settings: ConfigurationProofSettings, { monotonicMs, wallMs }: ClockTimes, random: RandomSource
): ConfigurationProofDb {
  return {
    settings,
    stampBaseMs: Math.floor(random() * STAMP_BASE_MAX_MS),
    startedAtMs: monotonicMs,
    wallOffsetMs: wallMs - monotonicMs,
    aheadMs: 0,
    provenAtMs: -Infinity,
    source: { kind: 'none' },
    completeTo: null,
    pending: null,
    publisherIps: [],
    questions: [],
    fruitlessCount: 0,
    nextQuestionAtMs: -Infinity,
    lastAnswerAtMs: -Infinity,
    lastReadFailedAtMs: -Infinity,
    deferredByIp: new Map()
  }
}
