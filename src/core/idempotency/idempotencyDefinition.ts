import type { Millis } from '../../clock/clock.js'
import { ModuleId } from '../coreTypes.js'
import {
  clearIdempotencyDb, createIdempotencyDb, IDEMPOTENCY_DEFAULTS, startIdempotency, type IdempotencyDb
} from './idempotencyDb.js'
import { idempotencyViolations } from './idempotencyDetector.js'
import type { IdempotencyModule } from './idempotencyTypes.js'
import { keyTimestampOf } from './keyTimestamp.js'
import { admitSend, beforeDispatch, expireKeys, recordResult, recordRefusal } from './keyRecords.js'
import { ownerOf } from './keyOwner.js'
import { isVoter, newestLease, leaseRequests, onLeaseVote, setVoters } from './leaseHolder.js'
import { onLeaseRequest } from './leaseVoter.js'

/**
 * The idempotency module. Invariants: `atMostOnce` (the leases of a node do not
 * overlap), `keysBound` (the number of key records stays within the capacity) and
 * `voterRevision` (a voter's base is not above the highest revision it has seen).
 *
 * @example
 * const db = idempotencyDefinition.createDb(idempotencyDefinition.defaults)
 * idempotencyDefinition.start(db, 'n1', clock.monotonicMs(), clock.wallMs())
 */
export const idempotencyDefinition: IdempotencyModule<IdempotencyDb> = {
  id: ModuleId.Idempotency,
  defaults: IDEMPOTENCY_DEFAULTS,
  createDb: createIdempotencyDb,
  clear: clearIdempotencyDb,
  tick (db: IdempotencyDb, nowMs: Millis): void {
    expireKeys(db, nowMs)
  },
  violations: idempotencyViolations,
  keyTimestampOf,
  ownerOf,
  start: startIdempotency,
  setVoters,
  leaseRequests,
  onLeaseRequest,
  onLeaseVote,
  newestLease,
  isVoter,
  admitSend,
  beforeDispatch,
  recordResult,
  recordRefusal
}
