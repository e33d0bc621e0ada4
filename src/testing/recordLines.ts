import { Importance, Outcome, Reason } from '../core/coreTypes.js'
import { ledgerDefinition } from '../core/ledger/ledgerDefinition.js'
import type { LedgerDb } from '../core/ledger/ledgerDb.js'
import { RecordRole, type CallRecord } from '../core/ledger/ledgerTypes.js'
import { exponential, pickOne, seededRandom } from '../standins/randomNumbers.js'

const START_WALL_MS = 1_800_000_000_000
const CALLERS = ['dispatchers', 'drivers', 'customers', 'delivery-booking']
const SERVICES = ['delivery-booking', 'depot-stock', 'invoicing']
const REFUSALS = [Reason.ShareUsed, Reason.Overload, Reason.AbovePromise, Reason.ChainOverload]

/** Record of a call that was done at its entry node, to be changed by tests. */
export const DONE_RECORD: CallRecord = {
  role: RecordRole.Both,
  callerName: 'dispatchers',
  serviceName: 'delivery-booking',
  routeName: 'book',
  importance: Importance.Vital,
  withinPromise: true,
  documentVersion: 7,
  outcome: Outcome.Done,
  reason: Reason.None,
  limitedBy: '',
  rootId: 'root-1',
  callId: 'call-1',
  parentId: '',
  attempt: 1,
  retriesCount: 0,
  arrivedAtWallMs: START_WALL_MS,
  queuedMs: 0.5,
  servedMs: 10,
  totalMs: 11
}

/** A node's ledger, whose lines have consecutive sequence numbers. */
export function ledgerOf (nodeId: string, incarnation = 'i1'): LedgerDb {
  return ledgerDefinition.createDb({ nodeId, incarnation })
}

/**
 * Lines as the nodes' ledgers write them, the same for the same seed; one call
 * is an entry line and an executor line, or one line of both roles.
 *
 * @example
 * [...generatedLines(1, 1_000, 8)].length // 1000
 */
export function * generatedLines (seed: number, linesCount: number, nodesCount: number): Generator<string> {
  const random = seededRandom(seed)
  const ledgers = Array.from({ length: nodesCount }, (_, index) => ledgerOf(`vm-${index}`))
  for (let line = 0, call = 0; line < linesCount; call += 1) {
    const record = generatedRecord(random, call)
    const roles = random() < 0.5 ? [RecordRole.Both] : [RecordRole.Executor, RecordRole.Entry]
    for (const role of roles.slice(0, linesCount - line)) {
      yield ledgerDefinition.recordCall(pickOne(random, ledgers), { ...record, role })
      line += 1
    }
  }
}

function generatedRecord (random: () => number, call: number): CallRecord {
  const isRefused = random() < 0.2
  const callerName = pickOne(random, CALLERS)
  const servedMs = exponential(random, 8)
  return {
    ...DONE_RECORD,
    callerName,
    serviceName: pickOne(random, SERVICES),
    importance: pickOne(random, Object.values(Importance)),
    withinPromise: random() < 0.9,
    outcome: isRefused ? Outcome.NotRun : Outcome.Done,
    reason: isRefused ? pickOne(random, REFUSALS) : Reason.None,
    limitedBy: isRefused ? callerName : '',
    // Every tenth call is a resend of the request before it.
    rootId: `root-${call % 10 === 9 ? call - 1 : call}`,
    callId: `call-${call}`,
    arrivedAtWallMs: START_WALL_MS + call * 3,
    servedMs: isRefused ? 0 : servedMs,
    totalMs: isRefused ? 0.2 : servedMs + 0.6
  }
}
