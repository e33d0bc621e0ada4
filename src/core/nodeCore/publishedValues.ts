import { admissionDefinition } from '../admission/admissionDefinition.js'
import { agreementDefinition } from '../agreement/agreementDefinition.js'
import type { PromiseTerms } from '../agreement/agreementTypes.js'
import { assertNever } from '../../errors/errors.js'
import type { Millis } from '../../clock/clock.js'
import { documentsDefinition } from '../documents/documentsDefinition.js'
import type { Confirmation, PollRequest, PublishedValue, ServiceDocument } from '../documents/documentsTypes.js'
import { parseVmList } from '../documents/documentsParse.js'
import { idempotencyDefinition } from '../idempotency/idempotencyDefinition.js'
import { votersOf } from '../idempotency/keyOwner.js'
import { membershipDefinition } from '../membership/membershipDefinition.js'
import { VmState } from '../membership/membershipTypes.js'
import type { VmEntry } from '../membership/membershipTypes.js'
import { routingDefinition } from '../routing/routingDefinition.js'
import { applyGateEvents } from './callExecution.js'
import { listedNodes } from './keyOwners.js'
import { backendAcceptsWork, moveNode } from './nodeCoreDb.js'
import type { NodeCoreDb, Turn } from './nodeCoreDb.js'

/** Lists whose owners are remembered; a lease may be for one that is not the newest. */
const OWNER_HISTORY_COUNT = 4
const LIST_PREFIX = 'vms/'
const DOCUMENT_PREFIX = 'documents/'

/** Takes a published value from the platform or a peer and puts it in force if it is newer. */
export function takeValue (turn: Turn, value: PublishedValue): void {
  const result = documentsDefinition.offer(turn.db.family.documents, value, turn.nowMs)
  turn.commands.push({ kind: 'value_offered', key: value.key, result })
  switch (result.kind) {
    case 'accepted':
      applyValue(turn, value)
      if (result.conflict) logValue(turn, 'document_conflict', value)
      return
    case 'stored':
      applyValue(turn, value)
      return
    case 'rejected':
      logValue(turn, 'document_rejected', value, result.faults.map(fault => `${fault.path}: ${fault.reason}`).join('; '))
      return
    case 'older':
      logValue(turn, 'older_value_ignored', value)
      return
    case 'known':
      confirmList(turn, value.key, value.revision)
      return
    default:
      assertNever(result)
  }
}

/** Takes the word of the platform that nothing newer is published under a key, or that it did not answer. */
export function takePollAnswer (turn: Turn, key: string, answered: boolean): void {
  documentsDefinition.pollAnswered(turn.db.family.documents, key, answered, turn.nowMs)
  const value = documentsDefinition.valueOf(turn.db.family.documents, key)
  if (answered && value !== undefined) confirmList(turn, key, value.revision)
}

/** Takes a peer's word that a list was the newest published one a while ago. */
export function takeConfirmation (turn: Turn, confirmation: Confirmation): void {
  if (documentsDefinition.noteConfirmed(turn.db.family.documents, confirmation, turn.nowMs)) {
    confirmList(turn, confirmation.key, confirmation.revision)
  }
}

function confirmList (turn: Turn, key: string, revision: number): void {
  if (!key.startsWith(LIST_PREFIX)) return
  const dataCentre = key.slice(LIST_PREFIX.length)
  membershipDefinition.confirmList(turn.db.family.membership, dataCentre, revision, turn.nowMs)
}

function logValue (turn: Turn, event: string, value: PublishedValue, detail = ''): void {
  turn.commands.push({ kind: 'log', event, fields: { key: value.key, revision: value.revision, detail } })
}

function applyValue (turn: Turn, value: PublishedValue): void {
  if (value.key.startsWith(LIST_PREFIX)) applyList(turn, value)
  else if (value.key.startsWith(DOCUMENT_PREFIX)) applyDocument(turn, value.key.slice(DOCUMENT_PREFIX.length))
  noteLearned(turn)
}

function applyList (turn: Turn, value: PublishedValue): void {
  const dataCentre = value.key.slice(LIST_PREFIX.length)
  parseVmList(value).caseOf({
    Left: faults => {
      logValue(turn, 'list_rejected', value, faults.map(fault => `${fault.path}: ${fault.reason}`).join('; '))
    },
    Right: list => {
      if (!membershipDefinition.offerList(turn.db.family.membership, list, turn.nowMs)) return
      if (dataCentre === turn.db.settings.dataCentre) applyOwnList(turn, list.revision, list.entries)
      applyTargets(turn)
      applyPromises(turn)
    }
  })
}

function applyOwnList (turn: Turn, revision: number, entries: readonly VmEntry[]): void {
  const { db } = turn
  const { votersCount } = db.family.idempotency.settings
  const voterIds = votersOf(db.settings.dataCentre, entries.map(entry => entry.vmId), votersCount)
  const view = { dataCentre: db.settings.dataCentre, listRevision: revision, voterIds }
  idempotencyDefinition.setVoters(db.family.idempotency, view, turn.nowMs, turn.wallMs)
  const nodeIds = listedNodes(entries, db.settings.serviceName).map(entry => entry.vmId)
  const listed = { listRevision: revision, nodeIds }
  db.ownerHistory = [listed, ...db.ownerHistory].slice(0, OWNER_HISTORY_COUNT)
  const own = entries.find(entry => entry.vmId === db.settings.nodeId)
  const wasLeaving = db.listedLeaving
  db.listedLeaving = own?.state === VmState.Leaving
  if (db.listedLeaving !== wasLeaving) applyCapacity(turn)
}

/** Tells routing which nodes take calls; services without a change are not affected. */
export function applyTargets (turn: Turn): void {
  const { db, nowMs } = turn
  db.ownerCandidates.clear()
  const targets = membershipDefinition.lists(db.family.membership)
    .flatMap(list => list.entries)
    .filter(entry => !membershipDefinition.isEntryLeaving(db.family.membership, entry, nowMs))
    .map(entry => ({
      nodeId: entry.vmId,
      address: entry.callAddress,
      serviceName: entry.serviceName,
      dataCentre: entry.dataCentre
    }))
  routingDefinition.setTargets(db.family.routing, targets, nowMs)
}

function applyDocument (turn: Turn, serviceName: string): void {
  turn.db.ownerCandidates.delete(serviceName)
  if (serviceName !== turn.db.settings.serviceName) return
  applyCapacity(turn)
  applyPromises(turn)
}

/** Passes slots and readiness of the own backend server on to the gate. */
export function applyCapacity (turn: Turn): void {
  const { db, nowMs } = turn
  const inForce = documentsDefinition.documentOf(db.family.documents, db.settings.serviceName)
  if (inForce === undefined) return
  const draining = db.backendState === 'draining' || db.listedLeaving
  applyGateEvents(turn, admissionDefinition.setCapacity(db.family.admission, {
    slotsCount: inForce.document.backendSlotsCount, acceptsWork: backendAcceptsWork(db), draining
  }, nowMs))
}

/** Sets this node's part of each promise of its own service. */
export function applyPromises (turn: Turn): void {
  const { db, nowMs } = turn
  const { serviceName, dataCentre } = db.settings
  const inForce = documentsDefinition.documentOf(db.family.documents, serviceName)
  if (inForce === undefined) return
  const { document } = inForce
  const list = membershipDefinition.listOf(db.family.membership, dataCentre)
  const liveNodesCount = Math.max(1, listedNodes(list?.entries ?? [], serviceName).length)
  agreementDefinition.setPromises(db.family.agreement, serviceName, promisesOf(document), {
    documentVersion: document.version,
    listRevision: list?.revision ?? 0,
    dataCentreWeight: document.dataCentreWeights[dataCentre] ?? 0,
    liveNodesCount,
    confirmed: membershipDefinition.isConfirmed(db.family.membership, dataCentre, nowMs)
  }, nowMs)
}

function promisesOf (document: ServiceDocument): PromiseTerms[] {
  const named = document.callers.map(caller => ({
    callerName: caller.name, serviceName: document.serviceName, promisedCallsPerS: caller.promisedCallsPerS
  }))
  const unnamed = documentsDefinition.termsOf(document, '')
  return [...named, {
    callerName: unnamed.name, serviceName: document.serviceName, promisedCallsPerS: unnamed.promisedCallsPerS
  }]
}

/** The node serves once it knows its own document and the list of its data centre. */
function noteLearned (turn: Turn): void {
  const { db } = turn
  const hasDocument = documentsDefinition.documentOf(db.family.documents, db.settings.serviceName) !== undefined
  const hasList = membershipDefinition.listOf(db.family.membership, db.settings.dataCentre) !== undefined
  if (hasDocument && hasList) moveNode(db, 'LEARNED')
}

/** Conditional reads of the platform that this node should send now. */
export function duePolls (db: NodeCoreDb, nowMs: Millis): PollRequest[] {
  const { nodeId, dataCentre } = db.settings
  const live = membershipDefinition.entriesOf(db.family.membership, dataCentre)
    .filter(entry => !membershipDefinition.isEntryLeaving(db.family.membership, entry, nowMs))
    .map(entry => entry.vmId)
  return documentsDefinition.duePolls(db.family.documents, {
    ownVmId: nodeId,
    ownDataCentre: dataCentre,
    dataCentres: dataCentresOf(db),
    liveVmIds: live.includes(nodeId) ? live : [...live, nodeId]
  }, nowMs)
}

function dataCentresOf (db: NodeCoreDb): string[] {
  const published = documentsDefinition.catalogue(db.family.documents)?.dataCentres ?? []
  return [...new Set([db.settings.dataCentre, ...published])].sort()
}
