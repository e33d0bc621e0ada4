import type { ServiceDocument } from '../documents/documentsTypes.js'
import { idempotencyDefinition } from '../idempotency/idempotencyDefinition.js'
import type { OwnerCandidates, RequestKey } from '../idempotency/idempotencyTypes.js'
import { membershipDefinition } from '../membership/membershipDefinition.js'
import { VmState, type VmEntry } from '../membership/membershipTypes.js'
import type { Turn } from './nodeCoreDb.js'

/** Entries of live VMs that run a service. */
export function listedNodes (entries: readonly VmEntry[], serviceName: string): VmEntry[] {
  return entries.filter(entry => entry.serviceName === serviceName && entry.state === VmState.Live)
}

/** Candidates for the owner of a key, by the published lists and the document alone. */
export function ownerCandidatesOf (turn: Turn, document: ServiceDocument): readonly OwnerCandidates[] {
  const known = turn.db.ownerCandidates.get(document.serviceName)
  if (known !== undefined) return known
  const candidates = Object.entries(document.dataCentreWeights).map(([dataCentre, weight]) => {
    const list = membershipDefinition.listOf(turn.db.family.membership, dataCentre)
    const nodeIds = listedNodes(list?.entries ?? [], document.serviceName).map(entry => entry.vmId)
    return { dataCentre, weight, nodeIds }
  })
  turn.db.ownerCandidates.set(document.serviceName, candidates)
  return candidates
}

/** Revisions of the own data centre's list under which this node owns a key. */
export function ownerRevisionsOf (turn: Turn, key: RequestKey, document: ServiceDocument): number[] {
  const { db } = turn
  const candidates = ownerCandidatesOf(turn, document)
  return db.ownerHistory
    .filter(({ nodeIds }) => {
      const under = candidates.map(one => one.dataCentre === db.settings.dataCentre ? { ...one, nodeIds } : one)
      return idempotencyDefinition.ownerOf(key, under).nodeId === db.settings.nodeId
    })
    .map(({ listRevision }) => listRevision)
}
