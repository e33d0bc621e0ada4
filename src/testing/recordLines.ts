import { Importance, Outcome, Reason } from '../core/coreTypes.js'
import { ledgerDefinition } from '../core/ledger/ledgerDefinition.js'
import type { LedgerDb } from '../core/ledger/ledgerDb.js'
import { RecordRole, type CallRecord } from '../core/ledger/ledgerTypes.js'
import { sampleExponential, pickRandomMember, seededRandom } from '../standins/randomNumbers.js'

const START_WALL_MS = 1_800_000_000_000
const CALLERS = ['dispatchers', 'drivers', 'customers', 'delivery-booking']
const SERVICES = ['delivery-booking', 'depot-stock', 'invoicing']
const REFUSALS = [Reason.ShareUsed, Reason.Overload, Reason.AbovePromise, Reason.ChainOverload]

/** Record of a call that was executed at its entry node; tests override single fields of it. */
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

/** Creates the ledger of a node. The record lines written through it have consecutive sequence numbers. */
export function createTestLedger (nodeId: string, incarnation = 'i1'): LedgerDb {
  return ledgerDefinition.createDb({ nodeId, incarnation })
}

/**
 * Generates record lines in the format of the nodes' ledgers; equal seeds give
 * equal lines. A call has either one line with both roles or two lines, one of
 * its executor and one of its entry node, which may be cut off at the end.
 *
 * @example
 * [...generatedLines(1, 1_000, 8)].length // 1000
 */
export function * generateRecordLines (seed: number, linesCount: number, nodesCount: number): Generator<string> {
  const random = seededRandom(seed)
  const ledgers = Array.from({ length: nodesCount }, (_, index) => createTestLedger(`vm-${index}`))
  for (let lineIndex = 0, callIndex = 0; lineIndex < linesCount; callIndex += 1) {
    const record = generateRecord(random, callIndex)
    const roles = random() < 0.5 ? [RecordRole.Both] : [RecordRole.Executor, RecordRole.Entry]
    for (const role of roles.slice(0, linesCount - lineIndex)) {
      yield ledgerDefinition.recordCall(pickRandomMember(random, ledgers), { ...record, role })
      lineIndex += 1
    }
  }
}

function generateRecord (random: () => number, callIndex: number): CallRecord {
  const isRefused = random() < 0.2
  const callerName = pickRandomMember(random, CALLERS)
  const servedMs = sampleExponential(random, 8)
  return {
    ...DONE_RECORD,
    callerName,
    serviceName: pickRandomMember(random, SERVICES),
    importance: pickRandomMember(random, Object.values(Importance)),
    withinPromise: random() < 0.9,
    outcome: isRefused ? Outcome.NotRun : Outcome.Done,
    reason: isRefused ? pickRandomMember(random, REFUSALS) : Reason.None,
    limitedBy: isRefused ? callerName : '',
    // Every tenth call has the root id of the call before it, as a resend of the same request has.
    rootId: `root-${callIndex % 10 === 9 ? callIndex - 1 : callIndex}`,
    callId: `call-${callIndex}`,
    arrivedAtWallMs: START_WALL_MS + callIndex * 3,
    servedMs: isRefused ? 0 : servedMs,
    totalMs: isRefused ? 0.2 : servedMs + 0.6
  }
}
