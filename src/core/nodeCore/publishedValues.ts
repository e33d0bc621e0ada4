import { admissionDefinition } from '../admission/admissionDefinition.js'
import { agreementDefinition } from '../agreement/agreementDefinition.js'
import type { RatePromise } from '../agreement/agreementTypes.js'
import { assertNever } from '../../errors/errors.js'
import type { Millis } from '../../clock/clock.js'
import { documentsDefinition } from '../documents/documentsDefinition.js'
import type { ListConfirmation, PollRequest, PublishedValue, ServiceDocument } from '../documents/documentsTypes.js'
import { parseVmList } from '../documents/documentsParse.js'
import { idempotencyDefinition } from '../idempotency/idempotencyDefinition.js'
import { votersOf } from '../idempotency/keyOwner.js'
import { membershipDefinition } from '../membership/membershipDefinition.js'
import { VmState } from '../membership/membershipTypes.js'
import type { VmEntry } from '../membership/membershipTypes.js'
import { routingDefinition } from '../routing/routingDefinition.js'
import { applyGateEvents } from './callExecution.js'
import { liveNodesOfService } from './keyOwners.js'
import { backendAcceptsWork, transitionNode } from './nodeCoreDb.js'
import type { NodeCoreDb, EventContext } from './nodeCoreDb.js'

/** Number of VM list revisions whose key owners are kept, since a lease may be for an older revision. */
const OWNER_LIST_HISTORY_COUNT = 4
const LIST_PREFIX = 'vms/'
const DOCUMENT_PREFIX = 'documents/'

/** Handles a published value from the platform or a peer: stores and applies it if it is valid and newer. */
export function handlePublishedValue (context: EventContext, value: PublishedValue): void {
  const result = documentsDefinition.offerValue(context.db.modules.documents, value, context.nowMs)
  context.commands.push({ kind: 'value_offered', key: value.key, result })
  switch (result.kind) {
    case 'accepted':
      applyValue(context, value)
      if (result.conflict) logPublishedValue(context, 'document_conflict', value)
      return
    case 'stored':
      applyValue(context, value)
      return
    case 'rejected':
      logPublishedValue(context, 'document_rejected', value, result.faults.map(fault => `${fault.path}: ${fault.reason}`).join('; '))
      return
    case 'older':
      logPublishedValue(context, 'older_value_ignored', value)
      return
    case 'known':
      confirmVmList(context, value.key, value.revision)
      return
    default:
      assertNever(result)
  }
}

/** Handles the result of a poll: the platform has no newer value for the key (`answered`), or did not answer. */
export function handlePollAnswer (context: EventContext, key: string, answered: boolean): void {
  documentsDefinition.recordPollResult(context.db.modules.documents, key, answered, context.nowMs)
  const value = documentsDefinition.valueOf(context.db.modules.documents, key)
  if (answered && value !== undefined) confirmVmList(context, key, value.revision)
}

/** Handles a peer's confirmation that a VM list was the newest published one at an earlier time. */
export function handleConfirmation (context: EventContext, confirmation: ListConfirmation): void {
  if (documentsDefinition.recordConfirmation(context.db.modules.documents, confirmation, context.nowMs)) {
    confirmVmList(context, confirmation.key, confirmation.revision)
  }
}

function confirmVmList (context: EventContext, key: string, revision: number): void {
  if (!key.startsWith(LIST_PREFIX)) return
  const dataCentre = key.slice(LIST_PREFIX.length)
  membershipDefinition.confirmList(context.db.modules.membership, dataCentre, revision, context.nowMs)
}

function logPublishedValue (context: EventContext, event: string, value: PublishedValue, detail = ''): void {
  context.commands.push({ kind: 'log', event, fields: { key: value.key, revision: value.revision, detail } })
}

function applyValue (context: EventContext, value: PublishedValue): void {
  if (value.key.startsWith(LIST_PREFIX)) applyVmList(context, value)
  else if (value.key.startsWith(DOCUMENT_PREFIX)) applyDocument(context, value.key.slice(DOCUMENT_PREFIX.length))
  startServingIfInitialized(context)
}

function applyVmList (context: EventContext, value: PublishedValue): void {
  const dataCentre = value.key.slice(LIST_PREFIX.length)
  parseVmList(value).caseOf({
    Left: faults => {
      logPublishedValue(context, 'list_rejected', value, faults.map(fault => `${fault.path}: ${fault.reason}`).join('; '))
    },
    Right: list => {
      if (!membershipDefinition.acceptListIfNewer(context.db.modules.membership, list, context.nowMs)) return
      if (dataCentre === context.db.settings.dataCentre) applyOwnVmList(context, list.revision, list.entries)
      updateRoutingTargets(context)
      updatePromises(context)
    }
  })
}

function applyOwnVmList (context: EventContext, revision: number, entries: readonly VmEntry[]): void {
  const { db } = context
  const { votersCount } = db.modules.idempotency.settings
  const voterIds = votersOf(db.settings.dataCentre, entries.map(entry => entry.vmId), votersCount)
  const view = { dataCentre: db.settings.dataCentre, listRevision: revision, voterIds }
  idempotencyDefinition.setVoters(db.modules.idempotency, view, context.nowMs, context.wallMs)
  const nodeIds = liveNodesOfService(entries, db.settings.serviceName).map(entry => entry.vmId)
  const ownerList = { listRevision: revision, nodeIds }
  db.keyOwnerListHistory = [ownerList, ...db.keyOwnerListHistory].slice(0, OWNER_LIST_HISTORY_COUNT)
  const own = entries.find(entry => entry.vmId === db.settings.nodeId)
  const wasLeaving = db.isListedAsLeaving
  db.isListedAsLeaving = own?.state === VmState.Leaving
  if (db.isListedAsLeaving !== wasLeaving) updateGateCapacity(context)
}

/**
 * Passes all VMs that are not leaving to the routing module as targets. Services whose targets did not change
 * are not affected.
 */
export function updateRoutingTargets (context: EventContext): void {
  const { db, nowMs } = context
  db.ownerCandidates.clear()
  const targets = membershipDefinition.lists(db.modules.membership)
    .flatMap(list => list.entries)
    .filter(entry => !membershipDefinition.isEntryLeaving(db.modules.membership, entry, nowMs))
    .map(entry => ({
      nodeId: entry.vmId,
      address: entry.callAddress,
      serviceName: entry.serviceName,
      dataCentre: entry.dataCentre
    }))
  routingDefinition.setTargets(db.modules.routing, targets, nowMs)
}

function applyDocument (context: EventContext, serviceName: string): void {
  context.db.ownerCandidates.delete(serviceName)
  if (serviceName !== context.db.settings.serviceName) return
  updateGateCapacity(context)
  updatePromises(context)
}

/** Passes the slot count and the readiness of this node's backend server to the admission gate. */
export function updateGateCapacity (context: EventContext): void {
  const { db, nowMs } = context
  const inForce = documentsDefinition.documentOf(db.modules.documents, db.settings.serviceName)
  if (inForce === undefined) return
  const draining = db.backendState === 'draining' || db.isListedAsLeaving
  applyGateEvents(context, admissionDefinition.setCapacity(db.modules.admission, {
    slotsCount: inForce.document.backendSlotsCount, acceptsWork: backendAcceptsWork(db), draining
  }, nowMs))
}

/** Sets this node's share of the call rate that its service promises to each caller. */
export function updatePromises (context: EventContext): void {
  const { db, nowMs } = context
  const { serviceName, dataCentre } = db.settings
  const inForce = documentsDefinition.documentOf(db.modules.documents, serviceName)
  if (inForce === undefined) return
  const { document } = inForce
  const list = membershipDefinition.listOf(db.modules.membership, dataCentre)
  const liveNodesCount = Math.max(1, liveNodesOfService(list?.entries ?? [], serviceName).length)
  agreementDefinition.setPromises(db.modules.agreement, serviceName, promisesOf(document), {
    documentVersion: document.version,
    listRevision: list?.revision ?? 0,
    dataCentreWeight: document.dataCentreWeights[dataCentre] ?? 0,
    liveNodesCount,
    isListConfirmed: membershipDefinition.isConfirmed(db.modules.membership, dataCentre, nowMs)
  }, nowMs)
}

function promisesOf (document: ServiceDocument): RatePromise[] {
  const namedPromises = document.callers.map(caller => ({
    callerName: caller.name, serviceName: document.serviceName, promisedCallsPerS: caller.promisedCallsPerS
  }))
  const defaultPolicy = documentsDefinition.callerPolicyOf(document, '')
  return [...namedPromises, {
    callerName: defaultPolicy.name,
    serviceName: document.serviceName,
    promisedCallsPerS: defaultPolicy.promisedCallsPerS
  }]
}

/** Moves the node to `serving` once it has its service document and the VM list of its data centre. */
function startServingIfInitialized (context: EventContext): void {
  const { db } = context
  const hasDocument = documentsDefinition.documentOf(db.modules.documents, db.settings.serviceName) !== undefined
  const hasList = membershipDefinition.listOf(db.modules.membership, db.settings.dataCentre) !== undefined
  if (hasDocument && hasList) transitionNode(db, 'LEARNED')
}

/** Conditional reads that are due and that this node should now send to the platform. */
export function duePolls (db: NodeCoreDb, nowMs: Millis): PollRequest[] {
  const { nodeId, dataCentre } = db.settings
  const liveVmIds = membershipDefinition.entriesOf(db.modules.membership, dataCentre)
    .filter(entry => !membershipDefinition.isEntryLeaving(db.modules.membership, entry, nowMs))
    .map(entry => entry.vmId)
  return documentsDefinition.duePolls(db.modules.documents, {
    ownVmId: nodeId,
    ownDataCentre: dataCentre,
    dataCentres: dataCentresOf(db),
    liveVmIds: liveVmIds.includes(nodeId) ? liveVmIds : [...liveVmIds, nodeId]
  }, nowMs)
}

function dataCentresOf (db: NodeCoreDb): string[] {
  const published = documentsDefinition.catalogue(db.modules.documents)?.dataCentres ?? []
  return [...new Set([db.settings.dataCentre, ...published])].sort()
}
