import type { Millis } from '../../clock/clock.js'
import {
  createConfigurationProofDb, type ConfigurationProofDb, type PendingProof
} from './configurationProofDb.js'
import {
  isLater, isYoungEnough, needsQuestion, needsRead, openQuestion, readAfterMs
} from './configurationProofDetector.js'
import type {
  AddressedAnswer, AnswerResult, ClockTimes, ConfirmedRead, ProofAnswer, ProofQuestion, StorePosition
} from './configurationProofTypes.js'

/**
 * Divergences up to this are not counted until they add up to more: the wall clock is read in whole milliseconds, and
 * counting each rounding would make the proof clock run fast.
 */
const CLOCK_ROUNDING_MS: Millis = 5
/** Longest wait for the answer to this node's own question before a peer is answered, as a share of the bound. */
const DEFER_MAX_RATIO = 0.06
/** Least time between two questions, as a share of the bound. */
const QUESTION_INTERVAL_RATIO = 0.05
/**
 * Least time between two questions if a peer asks, as a share of the bound. With the longer one, a node that has just
 * asked answers with an old proof, which adds up along the trees: in the model up to 2.4 s without any fault.
 */
const FORWARD_INTERVAL_RATIO = 0.01
/** Longest wait of the store for a change, as a share of the bound: its answer proves the time of the request only. */
const WATCH_WAIT_MAX_RATIO = 0.1
/** Questions whose answers are accepted. Answers to older ones would make the proof no younger. */
const QUESTIONS_KEPT_COUNT = 16
/** Peers that are asked in turn while none of them has a younger proof. */
const PUBLISHERS_KEPT_COUNT = 3
/**
 * Delay of a read that the age of the proof requires, as a share of the delay in the takeover order of the list. With
 * 21 nodes in a data centre the last one reads 1.1 s after the first, before its proof expires.
 */
const TAKEOVER_DELAY_RATIO = 0.06

/**
 * Reads the proof clock, which never runs slow: the monotonic clock plus each forward divergence of the wall clock
 * from it. A process that was suspended notices that here, so it has to be read at each decision. Steps of the wall
 * clock backward have no effect.
 *
 * @example
 * readClockMs(db, { monotonicMs: 100, wallMs: 1_700_000_004_100 }) // 4_100 after a suspension of 4 s
 */
function readClockMs (db: ConfigurationProofDb, { monotonicMs, wallMs }: ClockTimes): Millis {
  const divergenceMs = wallMs - monotonicMs - db.wallOffsetMs
  if (Math.abs(divergenceMs) > CLOCK_ROUNDING_MS) {
    db.wallOffsetMs += divergenceMs
    db.aheadMs += Math.max(0, divergenceMs)
  }
  return monotonicMs + db.aheadMs
}

/** Age of the proof; infinite without one. */
function ageMs (db: ConfigurationProofDb, times: ClockTimes): Millis {
  return readClockMs(db, times) - db.provenAtMs
}

/** Whether a key of the configuration in force may be accepted now. */
function acceptsKeys (db: ConfigurationProofDb, times: ClockTimes): boolean {
  return isYoungEnough(db, ageMs(db, times))
}

function advance (db: ConfigurationProofDb, { provenAtMs, source, position }: Omit<PendingProof, 'version'>): boolean {
  // A lower era counts if this node has read it from the store itself, as it does for the list.
  const isOwnEra = source.kind === 'store' && db.completeTo?.era !== position.era
  if (isOwnEra || isLater(position, db.completeTo)) db.completeTo = position
  if (provenAtMs <= db.provenAtMs) return false
  db.provenAtMs = provenAtMs
  db.source = source
  return true
}

/** Records a read of the store, after its configuration was put in force. */
function recordRead (db: ConfigurationProofDb, { sentAtMs, position, isStale }: ConfirmedRead): void {
  advance(db, { provenAtMs: isStale ? -Infinity : sentAtMs, source: { kind: 'store' }, position })
}

/** Records that a read of the store failed: the store may be unavailable for all, so the next read waits its turn. */
function recordReadFailed (db: ConfigurationProofDb, times: ClockTimes): void {
  db.lastReadFailedAtMs = readClockMs(db, times)
}

/** Records that a configuration was put in force, which may make an earlier answer of a peer valid. */
function recordVersion (db: ConfigurationProofDb, version: number): void {
  if (db.pending === null || db.pending.version > version) return
  advance(db, db.pending)
  db.pending = null
}

/** Records that a peer has sent what was read from the store. It is asked first from now on. */
function recordPublisher (db: ConfigurationProofDb, ip: string, times: ClockTimes): void {
  if (db.publisherIps[0] === ip) return
  db.publisherIps = [ip, ...db.publisherIps.filter(known => known !== ip)].slice(0, PUBLISHERS_KEPT_COUNT)
  db.fruitlessCount = 0
  if (needsRead(db, ageMs(db, times))) db.nextQuestionAtMs = -Infinity
}

/** Moves a peer that has not answered behind the others, so that it is asked only while they have no younger proof. */
function recordSilence (db: ConfigurationProofDb, silentIp: string): void {
  if (!db.publisherIps.includes(silentIp)) return
  db.publisherIps = [...db.publisherIps.filter(ip => ip !== silentIp), silentIp]
  db.fruitlessCount = 0
}

/**
 * The question to send now, or null: the proof is young enough, an answer is expected or no peer is known.
 *
 * @example
 * takeQuestion(db, times) // { ip: '10.1.0.8', stampMs: 211_106_232_534 }
 */
function takeQuestion (db: ConfigurationProofDb, times: ClockTimes): ProofQuestion | null {
  const nowMs = readClockMs(db, times)
  if (!needsQuestion(db, nowMs - db.provenAtMs) || nowMs < db.nextQuestionAtMs) return null
  if (openQuestion(db, nowMs) !== undefined) return null
  const last = db.questions.at(-1)
  if (last?.isAnswered === false) recordSilence(db, last.ip)
  // A peer that is itself waiting for this node is not left out: if it alone reads the store, no other one helps.
  const ip = db.publisherIps[db.fruitlessCount % db.publisherIps.length]
  if (ip === undefined) return null
  const question = { ip, stampMs: db.stampBaseMs + nowMs }
  db.questions = [...db.questions, { ...question, sentAtMs: nowMs, isAnswered: false }].slice(-QUESTIONS_KEPT_COUNT)
  db.nextQuestionAtMs = nowMs + QUESTION_INTERVAL_RATIO * db.settings.boundMs
  return question
}

/**
 * Records the answer of a peer. It proves the time at which the question was sent less the age of the peer's proof,
 * however late it arrives, if this node's configuration is not older than the peer's.
 */
function recordAnswer (
  db: ConfigurationProofDb, ip: string, answer: ProofAnswer, ownVersion: number, times: ClockTimes
): AnswerResult {
  const nowMs = readClockMs(db, times)
  const question = db.questions.find(sent => sent.ip === ip && sent.stampMs === answer.stampMs)
  if (question === undefined || !(answer.ageMs >= 0)) return { kind: 'unknown_question' }
  question.isAnswered = true
  db.lastAnswerAtMs = nowMs
  const proof: PendingProof = {
    provenAtMs: question.sentAtMs - answer.ageMs,
    version: answer.configurationVersion,
    source: { kind: 'peer', ip },
    position: { era: answer.era, revision: answer.revision }
  }
  if (proof.version > ownVersion) {
    if (db.pending === null || proof.provenAtMs > db.pending.provenAtMs) db.pending = proof
    return { kind: 'lacks_configuration' }
  }
  const isYounger = advance(db, proof)
  db.fruitlessCount = needsQuestion(db, nowMs - db.provenAtMs) ? db.fruitlessCount + 1 : 0
  return { kind: isYounger ? 'proven' : 'not_younger' }
}

/**
 * Records the question of a peer, to be answered by `takeAnswers`. It waits for the answer to this node's own question,
 * so that the age does not grow with each node on the way from the reader.
 */
function recordQuestion (db: ConfigurationProofDb, { ip, stampMs }: ProofQuestion, times: ClockTimes): void {
  db.deferredByIp.set(ip, { stampMs, receivedAtMs: readClockMs(db, times) })
  const soonestMs = (db.questions.at(-1)?.sentAtMs ?? -Infinity) + FORWARD_INTERVAL_RATIO * db.settings.boundMs
  db.nextQuestionAtMs = Math.min(db.nextQuestionAtMs, soonestMs)
}

/**
 * The answers to send now. They state the age of the proof at the arrival of the question, which was sent before, so
 * that waiting makes the peer's proof no older. A node that has no proof does not answer. Two nodes that ask each other
 * do not wait for each other. Call it after `takeQuestion`.
 */
function takeAnswers (db: ConfigurationProofDb, version: number, times: ClockTimes): AddressedAnswer[] {
  if (db.deferredByIp.size === 0) return []
  const nowMs = readClockMs(db, times)
  const open = needsQuestion(db, nowMs - db.provenAtMs) ? openQuestion(db, nowMs) : undefined
  const deferMaxMs = DEFER_MAX_RATIO * db.settings.boundMs
  const answers: AddressedAnswer[] = []
  for (const [ip, { stampMs, receivedAtMs }] of db.deferredByIp) {
    if (open !== undefined && open.ip !== ip && nowMs - receivedAtMs < deferMaxMs) continue
    db.deferredByIp.delete(ip)
    if (db.completeTo === null || db.provenAtMs === -Infinity) continue
    const proofAgeMs = Math.max(0, Math.ceil(receivedAtMs - db.provenAtMs))
    const answer = { stampMs, ageMs: proofAgeMs, configurationVersion: version, ...db.completeTo }
    answers.push({ ip, answer })
  }
  return answers
}

/**
 * Time until this node reads the store although its list looks fresh. Nodes whose peers answer, with old proofs, read
 * in the takeover order, since the store may be unavailable for all. A node that gets no answers does not wait for
 * others.
 *
 * @param takeoverDelayMs Age of the list at which this node would read the store.
 */
function untilReadMs (db: ConfigurationProofDb, takeoverDelayMs: Millis, times: ClockTimes): Millis {
  const nowMs = readClockMs(db, times)
  const baseMs = Math.max(db.provenAtMs, db.startedAtMs)
  const inTurnMs = Math.max(baseMs, db.lastReadFailedAtMs) + takeoverDelayMs * TAKEOVER_DELAY_RATIO
  return Math.min(inTurnMs, Math.max(baseMs, db.lastAnswerAtMs)) + readAfterMs(db) - nowMs
}

/** Limits how long a watch of the store may wait for a change; a proof that is getting old needs an answer at once. */
function limitWatchMs (db: ConfigurationProofDb, waitMs: Millis, times: ClockTimes): Millis {
  return needsRead(db, ageMs(db, times)) ? 0 : Math.min(waitMs, WATCH_WAIT_MAX_RATIO * db.settings.boundMs)
}

/**
 * The revision after which changes have to be read so that they prove the configuration: the list may be known
 * further than the configuration. Null if that is not known in the era of the list; everything has to be read then.
 */
function watchAfterRevision ({ completeTo }: ConfigurationProofDb, list: StorePosition): number | null {
  return completeTo === null || completeTo.era !== list.era ? null : Math.min(completeTo.revision, list.revision)
}

/** Proof of the configuration's age: until when the configuration in force is known to have been the newest. */
export const configurationProofDefinition = {
  createDb: createConfigurationProofDb,
  readClockMs,
  ageMs,
  acceptsKeys,
  recordRead,
  recordReadFailed,
  recordVersion,
  recordPublisher,
  takeQuestion,
  recordAnswer,
  recordQuestion,
  takeAnswers,
  untilReadMs,
  limitWatchMs,
  watchAfterRevision
}
