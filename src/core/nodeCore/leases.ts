import { documentsDefinition } from '../documents/documentsDefinition.js'
import { idempotencyDefinition } from '../idempotency/idempotencyDefinition.js'
import type { LeaseRequest } from '../idempotency/idempotencyTypes.js'
import { membershipDefinition } from '../membership/membershipDefinition.js'
import type { Turn } from './nodeCoreDb.js'

/**
 * Only a node that may have to run keys needs a lease. A voter asks as well,
 * since a restarted one becomes settled through a lease of its own.
 */
function needsLease ({ db }: Turn): boolean {
  const inForce = documentsDefinition.documentOf(db.family.documents, db.settings.serviceName)
  const runsKeys = inForce?.document.routes.some(route => !route.idempotent) ?? false
  return runsKeys || idempotencyDefinition.isVoter(db.family.idempotency)
}

/** Sends the lease requests that are due; the node's own vote needs no message. */
export function sendLeaseRequests (turn: Turn): void {
  const { db, nowMs, wallMs } = turn
  if (!needsLease(turn)) return
  for (const { voterId, request } of idempotencyDefinition.leaseRequests(db.family.idempotency, nowMs, wallMs)) {
    if (voterId === db.settings.nodeId) {
      const vote = idempotencyDefinition.onLeaseRequest(db.family.idempotency, request, nowMs, wallMs)
      idempotencyDefinition.onLeaseVote(db.family.idempotency, vote, nowMs, wallMs)
      continue
    }
    const voter = membershipDefinition.entryOf(db.family.membership, voterId)
    if (voter !== undefined) turn.commands.push({ kind: 'lease_request', address: voter.controlAddress, request })
  }
}

/** Votes on another node's lease request. */
export function takeLeaseRequest (turn: Turn, request: LeaseRequest): void {
  const vote = idempotencyDefinition.onLeaseRequest(turn.db.family.idempotency, request, turn.nowMs, turn.wallMs)
  turn.commands.push({ kind: 'lease_vote', vote })
}
