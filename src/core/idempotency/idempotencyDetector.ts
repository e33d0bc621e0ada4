import type { Millis } from '../../clock/clock.js'
import type { Violation } from '../coreTypes.js'
import { KeyState, type IdempotencyDb, type KeyRecord } from './idempotencyDb.js'
import type { KeyLabel, KeySend, LabelLease } from './idempotencyTypes.js'

/** How the leases held by this node cover a key. */
export enum Coverage {
  Held = 'held',
  /** Another node is the owner under the revision that the label belongs to. */
  OtherOwner = 'other_owner',
  NoLease = 'no_lease'
}

function labelCoverage (leases: readonly LabelLease[], labelMs: Millis, ownerRevisions: readonly number[]): Coverage {
  for (const lease of leases) {
    if (labelMs < lease.fromLabelMs || labelMs >= lease.untilLabelMs) continue
    return ownerRevisions.includes(lease.listRevision) ? Coverage.Held : Coverage.OtherOwner
  }
  return Coverage.NoLease
}

function windowCoverage (
  leases: readonly LabelLease[], fromMs: Millis, untilMs: Millis, ownerRevisions: readonly number[]
): Coverage {
  let coveredMs = fromMs
  for (const lease of leases) {
    if (coveredMs < lease.fromLabelMs || coveredMs >= lease.untilLabelMs) continue
    if (!ownerRevisions.includes(lease.listRevision)) return Coverage.OtherOwner
    coveredMs = lease.untilLabelMs
  }
  return coveredMs > untilMs ? Coverage.Held : Coverage.NoLease
}

/** Start of the time in which a key without a creation time may have been made, clock skew included. */
export function windowStartMs (db: IdempotencyDb): Millis {
  return db.maxWallMs - db.settings.resendWindowMs - 2 * db.settings.clockSkewMs
}

/**
 * Whether this node may run a label, or for a key without one the whole resend window.
 *
 * @example
 * coverageOf(db, send, labelOf(send.key.idempotencyKey)) === Coverage.Held
 */
export function coverageOf (db: IdempotencyDb, send: KeySend, labelMs: KeyLabel): Coverage {
  const { leases } = db.holder
  if (labelMs !== null) return labelCoverage(leases, labelMs, send.ownerRevisions)
  return windowCoverage(leases, windowStartMs(db), db.maxWallMs, send.ownerRevisions)
}

/** Whether the memory of this node reaches back to a label. */
export function isRemembered (db: IdempotencyDb, labelMs: KeyLabel): boolean {
  return labelMs === null ? windowStartMs(db) >= db.startLabelMs : labelMs >= db.memoryFromMs
}

export function isExpired (db: IdempotencyDb, labelMs: KeyLabel): boolean {
  return labelMs !== null && labelMs < db.maxWallMs - db.settings.resendWindowMs
}

export function isFromFuture (db: IdempotencyDb, labelMs: KeyLabel, wallMs: Millis): boolean {
  return labelMs !== null && labelMs > wallMs + db.settings.futureLabelMs
}

/** Whether a record is that of this very send, accepted and not dispatched. */
export function isAcceptedSend (record: KeyRecord | undefined, send: KeySend): record is KeyRecord {
  return record?.state === KeyState.Accepted && record.callId === send.callId && record.attempt === send.attempt
}

/** Broken invariants of the idempotency family. */
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
