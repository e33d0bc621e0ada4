import type { Millis } from '../../clock/clock.js'
import type { IdempotencyDb, VoterState } from './idempotencyDb.js'
import type { LeaseBase, LeaseRequest, LeaseVote, VoterConfig } from './idempotencyTypes.js'

function adoptRevision (voter: VoterState, listRevision: number): void {
  if (listRevision <= voter.highestRevision) return
  voter.grantedOldMs = Math.max(voter.grantedOldMs, voter.grantedCurrentMs)
  voter.grantedCurrentMs = -Infinity
  voter.highestRevision = listRevision
}

/** Takes a base that a lease confirmed; what lies below it needs no more votes. */
export function adoptBase (voter: VoterState, base: LeaseBase): void {
  if (voter.base !== undefined && base.listRevision <= voter.base.listRevision) return
  voter.base = base
  adoptRevision(voter, base.listRevision)
  for (const listRevision of voter.pending.keys()) {
    if (listRevision <= base.listRevision) voter.pending.delete(listRevision)
  }
}

function refuse (db: IdempotencyDb, request: LeaseRequest): LeaseVote {
  return {
    kind: 'lease_refused',
    requestId: request.requestId,
    voterId: db.nodeId,
    highestRevision: db.voter.highestRevision
  }
}

function isUsable (db: IdempotencyDb, request: LeaseRequest): boolean {
  const { view } = db.holder
  return view !== undefined && view.dataCentre === request.dataCentre &&
    Number.isSafeInteger(request.listRevision) && Number.isFinite(request.untilLabelMs) &&
    request.listRevision >= db.voter.highestRevision
}

function takeRequest (voter: VoterState, request: LeaseRequest): void {
  if (request.base !== undefined && request.base.listRevision <= request.listRevision) adoptBase(voter, request.base)
  adoptRevision(voter, request.listRevision)
  const baseRevision = voter.base?.listRevision ?? -1
  if (request.voterIds !== undefined && request.listRevision > baseRevision) {
    voter.pending.set(request.listRevision, request.voterIds)
  }
}

function pendingBelow (voter: VoterState, listRevision: number): VoterConfig[] {
  const configs: VoterConfig[] = []
  for (const [revision, voterIds] of voter.pending) {
    if (revision < listRevision) configs.push({ listRevision: revision, voterIds })
  }
  return configs
}

/**
 * Answers a lease request. A grant never reaches further than the voter's clock
 * plus the lease length and the clock skew: the floor after a restart relies on it.
 *
 * @example
 * onLeaseRequest(db, request, nowMs, wallMs).kind // 'lease_granted' or 'lease_refused'
 */
export function onLeaseRequest (
  db: IdempotencyDb, request: LeaseRequest, _nowMs: Millis, wallMs: Millis
): LeaseVote {
  if (!isUsable(db, request)) return refuse(db, request)
  const { voter, settings } = db
  takeRequest(voter, request)
  const untilLabelMs = Math.min(request.untilLabelMs, wallMs + settings.leaseAheadMs + settings.clockSkewMs)
  voter.grantedCurrentMs = Math.max(voter.grantedCurrentMs, untilLabelMs)
  const baseRevision = voter.base?.listRevision ?? -1
  const pending = pendingBelow(voter, request.listRevision)
  return {
    kind: 'lease_granted',
    requestId: request.requestId,
    voterId: db.nodeId,
    listRevision: request.listRevision,
    fromLabelMs: Math.max(voter.grantedOldMs, voter.floorLabelMs),
    untilLabelMs,
    settled: voter.settled,
    baseRevision,
    ...(baseRevision > request.baseRevision ? { base: voter.base } : {}),
    ...(pending.length > 0 ? { pending } : {})
  }
}
