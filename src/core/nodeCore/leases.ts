import { documentsDefinition } from '../documents/documentsDefinition.js'
import { idempotencyDefinition } from '../idempotency/idempotencyDefinition.js'
import type { LeaseRequest } from '../idempotency/idempotencyTypes.js'
import { membershipDefinition } from '../membership/membershipDefinition.js'
import type { EventContext } from './nodeCoreDb.js'

/**
 * Whether this node needs a lease for new idempotency keys. Nodes of a service with non-idempotent
 * routes need one to run calls. A voter needs one too: after a restart its votes count only once
 * it has obtained a lease of its own.
 */
function needsLease ({ db }: EventContext): boolean {
  const inForce = documentsDefinition.documentOf(db.modules.documents, db.settings.serviceName)
  const hasKeyedRoutes = inForce?.document.routes.some(route => !route.idempotent) ?? false
  return hasKeyedRoutes || idempotencyDefinition.isVoter(db.modules.idempotency)
}

/** Sends the lease requests that are due to the voters; a vote of this node itself is handled directly. */
export function sendLeaseRequests (context: EventContext): void {
  const { db, nowMs, wallMs } = context
  if (!needsLease(context)) return
  for (const { voterId, request } of idempotencyDefinition.leaseRequests(db.modules.idempotency, nowMs, wallMs)) {
    if (voterId === db.settings.nodeId) {
      const vote = idempotencyDefinition.onLeaseRequest(db.modules.idempotency, request, nowMs, wallMs)
      idempotencyDefinition.onLeaseVote(db.modules.idempotency, vote, nowMs, wallMs)
      continue
    }
    const voter = membershipDefinition.entryOf(db.modules.membership, voterId)
    if (voter !== undefined) context.commands.push({ kind: 'lease_request', address: voter.controlAddress, request })
  }
}

/** Answers another node's lease request with this node's vote. */
export function handleLeaseRequest (context: EventContext, request: LeaseRequest): void {
  const vote = idempotencyDefinition.onLeaseRequest(
    context.db.modules.idempotency, request, context.nowMs, context.wallMs
  )
  context.commands.push({ kind: 'lease_vote', vote })
}
