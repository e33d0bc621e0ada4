import { validate, version } from 'uuid'
import type { KeyLabel } from './idempotencyTypes.js'

const UUID_LENGTH = 36
const ULID_LENGTH = 26
const ULID_TIME_LENGTH = 10
const CROCKFORD = '0123456789ABCDEFGHJKMNPQRSTVWXYZ'
const ULID_PATTERN = /^[0-7][0-9A-HJKMNP-TV-Z]{25}$/i

// A longer run of letters and digits is another kind of key, whose first
// characters only look like an id with a time in it.
function endsAt (text: string, length: number): boolean {
  return text.length === length || !/[0-9a-z]/i.test(text.charAt(length))
}

function uuidLabel (text: string): KeyLabel {
  const id = text.slice(0, UUID_LENGTH)
  if (!validate(id) || version(id) !== 7) return null
  return parseInt(id.slice(0, 8) + id.slice(9, 13), 16)
}

function ulidLabel (text: string): KeyLabel {
  const id = text.slice(0, ULID_LENGTH)
  if (!ULID_PATTERN.test(id)) return null
  let labelMs = 0
  for (const char of id.slice(0, ULID_TIME_LENGTH).toUpperCase()) labelMs = labelMs * 32 + CROCKFORD.indexOf(char)
  return labelMs
}

/**
 * Creation time in a UUIDv7 or ULID at the start of a key, in Unix milliseconds, or null.
 *
 * @example
 * labelOf('018bcfe5-6800-7000-8000-000000000000:invoice') // 1700000000000
 */
export function labelOf (idempotencyKey: string): KeyLabel {
  if (idempotencyKey.charAt(8) === '-') {
    return endsAt(idempotencyKey, UUID_LENGTH) ? uuidLabel(idempotencyKey) : null
  }
  if (idempotencyKey.length < ULID_LENGTH || !endsAt(idempotencyKey, ULID_LENGTH)) return null
  return ulidLabel(idempotencyKey)
}
