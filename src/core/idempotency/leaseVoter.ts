import type { Millis } from '../../clock/clock.js'
import type { IdempotencyDb, VoterState } from './idempotencyDb.js'
import type { LeaseBase, LeaseRequest, LeaseVote, VoterConfig } from './idempotencyTypes.js'

function advanceRevision (voter: VoterState, listRevision: number): void {
  if (listRevision <= voter.highestRevision) return
  voter.maxGrantedOlderMs = Math.max(voter.maxGrantedOlderMs, voter.maxGrantedCurrentMs)
  voter.maxGrantedCurrentMs = -Infinity
  voter.highestRevision = listRevision
}

/** Adopts a base under which a lease was granted; revisions up to it need no more votes. */
export function adoptBase (voter: VoterState, base: LeaseBase): void {
  if (voter.base !== undefined && base.listRevision <= voter.base.listRevision) return
  voter.base = base
  advanceRevision(voter, base.listRevision)
  for (const listRevision of voter.pending.keys()) {
    if (listRevision <= base.listRevision) voter.pending.delete(listRevision)
  }
}

function createRefusal (db: IdempotencyDb, request: LeaseRequest): LeaseVote {
  return {
    kind: 'lease_refused',
    requestId: request.requestId,
    voterId: db.nodeId,
    highestRevision: db.voter.highestRevision
  }
}

function isValidRequest (db: IdempotencyDb, request: LeaseRequest): boolean {
  const { view } = db.holder
  return view !== undefined && view.dataCentre === request.dataCentre &&
    Number.isSafeInteger(request.listRevision) && Number.isFinite(request.untilLabelMs) &&
    request.listRevision >= db.voter.highestRevision
}

function applyRequest (voter: VoterState, request: LeaseRequest): void {
  if (request.base !== undefined && request.base.listRevision <= request.listRevision) adoptBase(voter, request.base)
  advanceRevision(voter, request.listRevision)
  const baseRevision = voter.base?.listRevision ?? -1
  if (request.voterIds !== undefined && request.listRevision > baseRevision) {
    voter.pending.set(request.listRevision, request.voterIds)
  }
}

function pendingConfigsBelow (voter: VoterState, listRevision: number): VoterConfig[] {
  const configs: VoterConfig[] = []
  for (const [revision, voterIds] of voter.pending) {
    if (revision < listRevision) configs.push({ listRevision: revision, voterIds })
  }
  return configs
}

/**
 * Answers a lease request. A grant ends at most the lease length plus the clock skew
 * after the voter's clock. The lower bound of grants after a restart relies on this.
 *
 * @example
 * onLeaseRequest(db, request, nowMs, wallMs).kind // 'lease_granted' or 'lease_refused'
 */
export function onLeaseRequest (
  db: IdempotencyDb, request: LeaseRequest, _nowMs: Millis, wallMs: Millis
): LeaseVote {
  if (!isValidRequest(db, request)) return createRefusal(db, request)
  const { voter, settings } = db
  applyRequest(voter, request)
  const untilLabelMs = Math.min(request.untilLabelMs, wallMs + settings.leaseLengthMs + settings.clockSkewMs)
  voter.maxGrantedCurrentMs = Math.max(voter.maxGrantedCurrentMs, untilLabelMs)
  const baseRevision = voter.base?.listRevision ?? -1
  const pending = pendingConfigsBelow(voter, request.listRevision)
  return {
    kind: 'lease_granted',
    requestId: request.requestId,
    voterId: db.nodeId,
    listRevision: request.listRevision,
    fromLabelMs: Math.max(voter.maxGrantedOlderMs, voter.minTimestampMs),
    untilLabelMs,
    settled: voter.settled,
    baseRevision,
    ...(baseRevision > request.baseRevision ? { base: voter.base } : {}),
    ...(pending.length > 0 ? { pending } : {})
  }
}
