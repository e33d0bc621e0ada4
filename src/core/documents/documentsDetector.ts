import type { Millis } from '../../clock/clock.js'
import type { ValueSummary, RejectedEdit } from './documentsTypes.js'

/** Nodes per data centre that may poll a key, by rendezvous rank: its reader and two standbys. */
export const READER_CANDIDATES_COUNT = 3

/** Poll periods without a read by another candidate, per rank, after which a standby polls too. */
const TAKEOVER_PERIODS_PER_RANK = 2

/** The fields that order published values of one key: version first, then revision. */
export type VersionOrder = Pick<ValueSummary, 'version' | 'revision'>

/**
 * Whether an offered value replaces the held one: the greater version wins, then
 * the greater revision.
 *
 * @example
 * isNewer({ version: 8, revision: 1 }, { version: 7, revision: 9 }) // true
 */
export function isNewer (offered: VersionOrder, held: VersionOrder): boolean {
  return offered.version > held.version || (offered.version === held.version && offered.revision > held.revision)
}

/** Whether two documents have the same version but different texts. */
export function isConflict (offered: ValueSummary, held: ValueSummary): boolean {
  return offered.version === held.version && offered.version > 0 && offered.hash !== held.hash
}

/** Whether a candidate polls a key, given its rank and the time since another candidate last read the key. */
export function shouldPoll (rank: number, silentMs: Millis, periodMs: Millis): boolean {
  return rank < READER_CANDIDATES_COUNT && (rank === 0 || silentMs >= rank * TAKEOVER_PERIODS_PER_RANK * periodMs)
}

/** Whether a rejected edit is newer than the value in force, so that operators have to see it. */
export function isNewerThanHeld (edit: RejectedEdit, heldRevision: number): boolean {
  return edit.revision > heldRevision
}

const SLASH = 47
const QUESTION_MARK = 63

/** Whether a path begins with a prefix that ends at a segment boundary or the query string. */
export function coversPath (prefix: string, path: string): boolean {
  if (!path.startsWith(prefix)) return false
  if (path.length === prefix.length || prefix.charCodeAt(prefix.length - 1) === SLASH) return true
  const next = path.charCodeAt(prefix.length)
  return next === SLASH || next === QUESTION_MARK
}

/** Whether a path has a `.` or `..` segment, also in percent encoding. */
export function hasDotSegments (path: string): boolean {
  if (!path.includes('/.') && !path.includes('%')) return false
  return /(?:\/|%2f)(?:\.|%2e){1,2}(?:\/|%2f|\?|$)/i.test(path)
}
