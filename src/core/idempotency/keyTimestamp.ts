import { validate, version } from 'uuid'
import type { KeyTimestamp } from './idempotencyTypes.js'

const UUID_LENGTH = 36
const ULID_LENGTH = 26
const ULID_TIME_LENGTH = 10
/** Alphabet of Crockford's base 32. */
const CROCKFORD = '0123456789ABCDEFGHJKMNPQRSTVWXYZ'
const ULID_PATTERN = /^[0-7][0-9A-HJKMNP-TV-Z]{25}$/i

// More letters or digits after the id mean that the key has another format and
// only happens to begin like a UUID or ULID.
function isIdBoundary (text: string, length: number): boolean {
  return text.length === length || !/[0-9a-z]/i.test(text.charAt(length))
}

function uuidTimestamp (text: string): KeyTimestamp {
  const id = text.slice(0, UUID_LENGTH)
  if (!validate(id) || version(id) !== 7) return null
  return parseInt(id.slice(0, 8) + id.slice(9, 13), 16)
}

function ulidTimestamp (text: string): KeyTimestamp {
  const id = text.slice(0, ULID_LENGTH)
  if (!ULID_PATTERN.test(id)) return null
  let timestampMs = 0
  for (
    const char of id.slice(0, ULID_TIME_LENGTH).toUpperCase()
  ) timestampMs = timestampMs * 32 + CROCKFORD.indexOf(char)
  return timestampMs
}

/**
 * Timestamp of the UUIDv7 or ULID at the start of a key, in Unix milliseconds, or null.
 *
 * @example
 * keyTimestampOf('018bcfe5-6800-7000-8000-000000000000:invoice') // 1700000000000
 */
export function keyTimestampOf (idempotencyKey: string): KeyTimestamp {
  if (idempotencyKey.charAt(8) === '-') {
    return isIdBoundary(idempotencyKey, UUID_LENGTH) ? uuidTimestamp(idempotencyKey) : null
  }
  if (idempotencyKey.length < ULID_LENGTH || !isIdBoundary(idempotencyKey, ULID_LENGTH)) return null
  return ulidTimestamp(idempotencyKey)
}
