import type { ServiceDocument } from '../documents/documentsTypes.js'
import { idempotencyDefinition } from '../idempotency/idempotencyDefinition.js'
import type { OwnerCandidate, RequestKey } from '../idempotency/idempotencyTypes.js'
import { membershipDefinition } from '../membership/membershipDefinition.js'
import { VmState, type VmEntry } from '../membership/membershipTypes.js'
import type { EventContext } from './nodeCoreDb.js'

/** Entries of the live VMs of a service; leaving VMs are left out. */
export function liveNodesOfService (entries: readonly VmEntry[], serviceName: string): VmEntry[] {
  return entries.filter(entry => entry.serviceName === serviceName && entry.state === VmState.Live)
}

/**
 * Nodes of each data centre that can own idempotency keys of a service. They depend on the published VM lists
 * and the service document alone, so that nodes with the same lists and document agree on the owner.
 */
export function ownerCandidatesOf (context: EventContext, document: ServiceDocument): readonly OwnerCandidate[] {
  const cached = context.db.ownerCandidates.get(document.serviceName)
  if (cached !== undefined) return cached
  const candidates = Object.entries(document.dataCentreWeights).map(([dataCentre, weight]) => {
    const list = membershipDefinition.listOf(context.db.modules.membership, dataCentre)
    const nodeIds = liveNodesOfService(list?.entries ?? [], document.serviceName).map(entry => entry.vmId)
    return { dataCentre, weight, nodeIds }
  })
  context.db.ownerCandidates.set(document.serviceName, candidates)
  return candidates
}

/** Recent revisions of the VM list of this node's data centre at which this node owns a key. */
export function ownerRevisionsOf (context: EventContext, key: RequestKey, document: ServiceDocument): number[] {
  const { db } = context
  const candidates = ownerCandidatesOf(context, document)
  return db.keyOwnerListHistory
    .filter(({ nodeIds }) => {
      const candidatesAtRevision = candidates.map(candidate =>
        candidate.dataCentre === db.settings.dataCentre ? { ...candidate, nodeIds } : candidate)
      return idempotencyDefinition.ownerOf(key, candidatesAtRevision).nodeId === db.settings.nodeId
    })
    .map(({ listRevision }) => listRevision)
}
