import type { Millis } from '../../clock/clock.js'
import type { PublishedMark, RejectedEdit } from './documentsTypes.js'

/** Ranks by rendezvous hashing that may poll a key: its reader and two that stand in for it. */
export const READER_RANKS_COUNT = 3

/** Periods of silence of a better rank before the next one polls too. */
const SILENT_PERIODS_PER_RANK = 2

/** Order of a published value: by version, then by revision. */
export type Order = Pick<PublishedMark, 'version' | 'revision'>

/**
 * Whether one published value goes before another: the greater version, then
 * the greater revision.
 *
 * @example
 * isNewer({ version: 8, revision: 1 }, { version: 7, revision: 9 }) // true
 */
export function isNewer (offered: Order, held: Order): boolean {
  return offered.version > held.version || (offered.version === held.version && offered.revision > held.revision)
}

/** Whether two documents claim the same version with different texts. */
export function isConflict (offered: PublishedMark, held: PublishedMark): boolean {
  return offered.version === held.version && offered.version > 0 && offered.hash !== held.hash
}

/** Whether a node of this rank polls a key, given how long the better ranks have been silent. */
export function isReader (rank: number, silentMs: Millis, periodMs: Millis): boolean {
  return rank < READER_RANKS_COUNT && (rank === 0 || silentMs >= rank * SILENT_PERIODS_PER_RANK * periodMs)
}

/** Whether a rejected edit matters to operators: it came after what is in force. */
export function isPendingRejection (edit: RejectedEdit, heldRevision: number): boolean {
  return edit.revision > heldRevision
}

const SLASH = 47
const QUESTION_MARK = 63

/** Whether a prefix covers whole leading segments of a path. */
export function isPrefixOfPath (prefix: string, path: string): boolean {
  if (!path.startsWith(prefix)) return false
  if (path.length === prefix.length || prefix.charCodeAt(prefix.length - 1) === SLASH) return true
  const next = path.charCodeAt(prefix.length)
  return next === SLASH || next === QUESTION_MARK
}

/** Whether a path has a `.` or `..` segment, also in percent encoding. */
export function leavesItsPrefix (path: string): boolean {
  if (!path.includes('/.') && !path.includes('%')) return false
  return /(?:\/|%2f)(?:\.|%2e){1,2}(?:\/|%2f|\?|$)/i.test(path)
}
