import type { Millis } from '../../clock/clock.js'
import type { Violation } from '../coreTypes.js'
import { KeyState, type IdempotencyDb, type KeyRecord } from './idempotencyDb.js'
import type { KeyTimestamp, KeySend, KeyLease } from './idempotencyTypes.js'

/** Whether the leases of this node cover a key. */
export enum Coverage {
  Held = 'held',
  /** Another node owns the key under the revision whose lease covers the timestamp. */
  OtherOwner = 'other_owner',
  NoLease = 'no_lease'
}

function timestampCoverage (
  leases: readonly KeyLease[], timestampMs: Millis, ownerRevisions: readonly number[]
): Coverage {
  for (const lease of leases) {
    if (timestampMs < lease.fromLabelMs || timestampMs >= lease.untilLabelMs) continue
    return ownerRevisions.includes(lease.listRevision) ? Coverage.Held : Coverage.OtherOwner
  }
  return Coverage.NoLease
}

function windowCoverage (
  leases: readonly KeyLease[], fromMs: Millis, untilMs: Millis, ownerRevisions: readonly number[]
): Coverage {
  let coveredMs = fromMs
  for (const lease of leases) {
    if (coveredMs < lease.fromLabelMs || coveredMs >= lease.untilLabelMs) continue
    if (!ownerRevisions.includes(lease.listRevision)) return Coverage.OtherOwner
    coveredMs = lease.untilLabelMs
  }
  return coveredMs > untilMs ? Coverage.Held : Coverage.NoLease
}

/** Earliest time at which a key without a timestamp that may still be resent was created, including clock skew. */
export function windowStartMs (db: IdempotencyDb): Millis {
  return db.maxWallMs - db.settings.resendWindowMs - 2 * db.settings.clockSkewMs
}

/**
 * Whether the leases cover a key's timestamp or, for a key without one, the whole resend window.
 *
 * @example
 * coverageOf(db, send, keyTimestampOf(send.key.idempotencyKey)) === Coverage.Held
 */
export function coverageOf (db: IdempotencyDb, send: KeySend, timestampMs: KeyTimestamp): Coverage {
  const { leases } = db.holder
  if (timestampMs !== null) return timestampCoverage(leases, timestampMs, send.ownerRevisions)
  return windowCoverage(leases, windowStartMs(db), db.maxWallMs, send.ownerRevisions)
}

/** Whether this node's records include every key that it ran with this timestamp, or without one. */
export function isHistoryComplete (db: IdempotencyDb, timestampMs: KeyTimestamp): boolean {
  return timestampMs === null ? windowStartMs(db) >= db.startTimestampMs : timestampMs >= db.recordsCompleteFromMs
}

export function isExpired (db: IdempotencyDb, timestampMs: KeyTimestamp): boolean {
  return timestampMs !== null && timestampMs < db.maxWallMs - db.settings.resendWindowMs
}

export function isFromFuture (db: IdempotencyDb, timestampMs: KeyTimestamp, wallMs: Millis): boolean {
  return timestampMs !== null && timestampMs > wallMs + db.settings.futureToleranceMs
}

/** Whether a record belongs to exactly this send and the send is accepted but not yet dispatched. */
export function isAcceptedSend (record: KeyRecord | undefined, send: KeySend): record is KeyRecord {
  return record?.state === KeyState.Accepted && record.callId === send.callId && record.attempt === send.attempt
}

/** Broken invariants of the idempotency module. */
export function idempotencyViolations (db: IdempotencyDb): Violation[] {
  const found: Violation[] = []
  const { leases } = db.holder
  leases.forEach((lease, index) => {
    const before = leases[index - 1]
    const overlaps = before !== undefined && lease.fromLabelMs < before.untilLabelMs
    if (overlaps || lease.untilLabelMs <= lease.fromLabelMs) {
      found.push({ property: 'atMostOnce', detail: `lease ${JSON.stringify(lease)} after ${JSON.stringify(before)}` })
    }
  })
  if (db.records.size > db.settings.keysCapacityCount) {
    found.push({ property: 'keysBound', detail: `${db.records.size} records` })
  }
  const { voter } = db
  if (voter.base !== undefined && voter.base.listRevision > voter.highestRevision) {
    found.push({ property: 'voterRevision', detail: `base ${voter.base.listRevision} above ${voter.highestRevision}` })
  }
  return found
}
