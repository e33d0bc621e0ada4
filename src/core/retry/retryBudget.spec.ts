import fc from 'fast-check'
import { Outcome, Reason } from '../coreTypes.js'
import { retryDefinition as retry } from './retryDefinition.js'
import type { RetryDb } from './retryDb.js'
import type { FailedAttempt } from './retryTypes.js'

const MAX_DEPTH = 12
const failedAttempt = (accountId: string, changes: Partial<FailedAttempt> = {}): FailedAttempt => ({
  accountId,
  outcome: Outcome.NotRun,
  reason: Reason.Draining,
  idempotent: true,
  remainingMs: 500,
  expectedMs: 20,
  ...changes
})

interface Call { readonly node: RetryDb, readonly accountId: string, readonly depth: number, from?: Reservation }
/** Budget that `sender` reserved for one call. */
interface Reservation { readonly sender: Call, readonly reservedCount: number }
interface Answer { readonly reservation: Reservation, readonly returnedCount: number }

/** Model of a call tree over five nodes, with requests and answers that may be delayed or lost. */
class CallChain {
  readonly nodes = Array.from({ length: 5 }, () => retry.createDb(retry.defaults))
  readonly open: Call[] = []
  readonly requests: Array<Reservation & { readonly callId: string }> = []
  readonly answers: Answer[] = []
  retriesCount = 0
  callsCount = 0

  openRoot (budgetCount: number): void {
    const node = this.nodes[0]!
    this.open.push({ node, accountId: retry.openRootAccount(node, 'r', budgetCount, 0).accountId, depth: 0 })
  }

  step (action: number, pick: number): void {
    const call = this.open[pick % this.open.length]
    if (action === 0 && call !== undefined && call.depth < MAX_DEPTH) this.send(call)
    if (action === 1) this.receive(pick)
    if (action === 2 && call !== undefined && call.depth > 0) this.answer(call)
    if (action === 3) this.receiveAnswer(pick)
    if (action === 4 && call !== undefined) this.retry(call, pick)
    if (action === 5) this.requests.splice(pick % 7, 1)
    if (action === 6) this.answers.splice(pick % 7, 1)
  }

  send (call: Call): void {
    const reservedCount = retry.reserveBudget(call.node, call.accountId, 0)
    this.requests.push({ sender: call, reservedCount, callId: `c${this.callsCount++}` })
  }

  receive (pick: number): void {
    const [request] = this.requests.splice(pick % Math.max(1, this.requests.length), 1)
    if (request === undefined) return
    const node = this.nodes[pick % this.nodes.length]!
    const opened = retry.openCallAccount(node, request.callId, request.reservedCount, 0)
    this.open.push({ node, accountId: opened.accountId, depth: request.sender.depth + 1, from: request })
  }

  answer (call: Call): void {
    this.open.splice(this.open.indexOf(call), 1)
    this.answers.push({ reservation: call.from!, returnedCount: retry.closeCallAccount(call.node, call.accountId, 0) })
  }

  receiveAnswer (pick: number): void {
    const [answer] = this.answers.splice(pick % Math.max(1, this.answers.length), 1)
    if (answer === undefined) return
    const { sender, reservedCount } = answer.reservation
    retry.settleReservation(sender.node, sender.accountId, reservedCount, answer.returnedCount, 0)
  }

  retry (call: Call, pick: number): void {
    const outcome = pick % 2 === 0 ? Outcome.NotRun : Outcome.Unknown
    const decision = retry.decideRetry(call.node, failedAttempt(call.accountId, { outcome }), 0, () => 0.5)
    if (decision.kind === 'give_up') return
    this.retriesCount++
    this.send(call)
  }

  totalCount (): number {
    const left = this.nodes.flatMap(db => [...db.rootAccounts.values(), ...db.callAccounts.values()])
      .reduce((sum, account) => sum + account.leftCount, 0)
    const down = this.requests.reduce((sum, request) => sum + request.reservedCount, 0)
    const up = this.answers.reduce((sum, answer) => sum + answer.returnedCount, 0)
    return left + down + up + this.retriesCount
  }
}

describe('retry budget', () => {
  test('lost messages, resends and fan-out never increase the total budget of a call chain', () => {
    const steps = fc.array(fc.tuple(fc.integer({ min: 0, max: 7 }), fc.nat(1000)), { maxLength: 300 })
    fc.assert(fc.property(fc.nat(40), steps, (budgetCount, actions) => {
      const chain = new CallChain()
      chain.openRoot(budgetCount)
      for (const [action, pick] of actions) {
        if (action === 7) chain.openRoot(budgetCount)
        else chain.step(action, pick)
        expect(chain.totalCount()).toBeLessThanOrEqual(budgetCount)
        expect(chain.nodes.flatMap(db => retry.violations(db, 0))).toEqual([])
      }
    }), { seed: 11, numRuns: 300 })
  })

  test('of the default budget of 2, one is reserved for the call and one kept, so that the sender of a failed call can still retry', () => {
    const db = retry.createDb(retry.defaults)
    const { accountId } = retry.openRootAccount(db, 'r', 2, 0)
    expect([retry.reserveBudget(db, accountId, 0), retry.reserveBudget(db, accountId, 0)]).toEqual([1, 0])
    expect(retry.decideRetry(db, failedAttempt(accountId), 0, () => 0)).toEqual({ kind: 'retry', delayMs: 0 })
    expect(retry.decideRetry(db, failedAttempt(accountId), 0, () => 0)).toEqual({ kind: 'give_up' })
  })

  test('an answer that returns more than was reserved, or arrives twice, does not increase the budget', () => {
    const db = retry.createDb(retry.defaults)
    const { accountId } = retry.openRootAccount(db, 'r', 4, 0)
    retry.reserveBudget(db, accountId, 0)
    retry.settleReservation(db, accountId, 2, 99, 0)
    retry.settleReservation(db, accountId, 2, 2, 0)
    expect(retry.findBudget(db, accountId)?.budgetCount).toBe(4)
  })

  test('a root id that equals a call id does not give access to the account of that call', () => {
    const db = retry.createDb(retry.defaults)
    retry.openCallAccount(db, 'x', 3, 0)
    expect(retry.openRootAccount(db, 'x', 1, 0).budgetCount).toBe(1)
    expect(retry.closeCallAccount(db, 'x', 0)).toBe(3)
    expect(retry.openRootAccount(db, 'x', 5, 0).budgetCount).toBe(1)
  })

  test('accounts expire after their last use, which bounds the memory', () => {
    const db = retry.createDb(retry.defaults)
    retry.openRootAccount(db, 'old', 2, 0)
    retry.openRootAccount(db, 'used', 2, 0)
    retry.openRootAccount(db, 'used', 2, 60_000)
    retry.tick(db, 120_000)
    expect([...db.rootAccounts.keys()]).toEqual(['root/used'])
  })

  test.each([
    ['a refusal for overload', { reason: Reason.Overload }],
    ['chain overload', { reason: Reason.ChainOverload }],
    ['a quarantined request', { reason: Reason.Quarantined }],
    ['an unknown outcome of a non-idempotent call', { outcome: Outcome.Unknown, idempotent: false }],
    ['a used-up share at the owner node of an idempotency key', { reason: Reason.ShareUsed, idempotent: false }],
    ['a deadline that leaves no time for another attempt', { remainingMs: 20 }]
  ])('%s is not retried and costs no budget', (_name, changes) => {
    const db = retry.createDb(retry.defaults)
    const { accountId } = retry.openRootAccount(db, 'r', 2, 0)
    expect(retry.decideRetry(db, failedAttempt(accountId, changes), 0, () => 0).kind).toBe('give_up')
    expect(retry.findBudget(db, accountId)?.budgetCount).toBe(2)
  })
})
