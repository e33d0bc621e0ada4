import type { Millis } from '../../clock/clock.js'
import type { ConfigurationProofDb, SentQuestion } from './configurationProofDb.js'
import type { StorePosition } from './configurationProofTypes.js'

/** Age from which keys are refused, as a share of the bound: watches of the store may miss changes for a second. */
const ACCEPT_MAX_RATIO = 0.75
/** Age from which a node asks a peer, as a share of the bound. */
const ASK_AFTER_RATIO = 0.2
/** Age from which a node reads the store although its list looks fresh, as a share of the bound. */
const READ_AFTER_RATIO = 0.5
/** Time after which another peer is asked, as a share of the bound. It is longer than peers defer their answers. */
const QUESTION_TIMEOUT_RATIO = 0.1

export function isYoungEnough ({ settings }: ConfigurationProofDb, ageMs: Millis): boolean {
  return ageMs < ACCEPT_MAX_RATIO * settings.boundMs
}

/** Whether the proof is so old that a peer is asked. */
export function needsQuestion ({ settings }: ConfigurationProofDb, ageMs: Millis): boolean {
  return ageMs > ASK_AFTER_RATIO * settings.boundMs
}

/** Whether the proof is so old that this node reads the store itself. */
export function needsRead (db: ConfigurationProofDb, ageMs: Millis): boolean {
  return ageMs >= readAfterMs(db)
}

/** Age of the proof from which this node reads the store itself, unless others come first. */
export function readAfterMs ({ settings }: ConfigurationProofDb): Millis {
  return READ_AFTER_RATIO * settings.boundMs
}

/** The last question, if its answer can still be expected. */
export function openQuestion ({ questions, settings }: ConfigurationProofDb, nowMs: Millis): SentQuestion | undefined {
  const last = questions.at(-1)
  if (last === undefined || last.isAnswered) return undefined
  return nowMs - last.sentAtMs < QUESTION_TIMEOUT_RATIO * settings.boundMs ? last : undefined
}

/** Whether a position is later than another; one of a higher era is. */
export function isLater (position: StorePosition, other: StorePosition | null): boolean {
  if (other === null) return true
  return position.era === other.era ? position.revision > other.revision : position.era > other.era
}
