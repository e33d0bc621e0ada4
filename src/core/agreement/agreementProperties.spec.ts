import { deepEqual, ok } from 'node:assert/strict'
import fc from 'fast-check'
import { IMPORTANCE_ORDER } from '../coreTypes.js'
import type { AgreementDb } from './agreementDb.js'
import { agreementDefinition as agreement } from './agreementDefinition.js'

const PROPERTY_RUNS = { seed: 20_261_204, numRuns: 300 }
const tenant = { callerName: 'clerks', serviceName: 'invoicing' }
const PROMISED_CALLS_PER_S = 300
const STEP_MS = 250
/** Longest time after which a node receives a list: less than the growth delay by one step of the test. */
const LIST_DELAY_MAX_MS = agreement.defaults.shareGrowthDelayMs - STEP_MS - 1

function setPromise (
  db: AgreementDb, promisedCallsPerS: number, liveNodesCount: number, nowMs: number, confirmed = true
): void {
  agreement.setPromises(db, 'invoicing', [{ ...tenant, promisedCallsPerS }],
    { documentVersion: 1, listRevision: 1, dataCentreWeight: 1, liveNodesCount, isListConfirmed: confirmed }, nowMs)
}

const stepArbitrary = fc.oneof(
  { weight: 6, arbitrary: fc.record({ kind: fc.constant('take' as const), importance: fc.constantFrom(...IMPORTANCE_ORDER) }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('return' as const) }) },
  { weight: 4, arbitrary: fc.record({ kind: fc.constant('wait' as const), stepMs: fc.constantFrom(1, 30, 900, 12_000, 70_000) }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('setPromise' as const), promised: fc.nat(500), nodes: fc.nat(5), confirmed: fc.boolean() }) }
)

interface ListChange { readonly atMs: number, readonly nodesCount: number, readonly delaysMs: readonly number[] }

const listChangesArbitrary = fc.array(fc.record({
  gapMs: fc.integer({ min: 1, max: 25_000 }),
  nodesCount: fc.integer({ min: 1, max: 5 }),
  delaysMs: fc.array(fc.nat(LIST_DELAY_MAX_MS), { minLength: 5, maxLength: 5 })
}), { minLength: 1, maxLength: 8 }).map(changes => {
  let atMs = 0
  return changes.map(({ gapMs, ...change }): ListChange => {
    atMs += gapMs
    return { ...change, atMs }
  })
})

/** List updates that a node receives, with their times. A node that joins starts empty and knows the list at once. */
function listUpdatesOfNode (
  changes: ListChange[], node: number
): Array<{ atMs: number, nodesCount: number, isNewNode: boolean }> {
  return changes.map((change, index) => {
    const isNewNode = node < change.nodesCount && node >= (changes[index - 1]?.nodesCount ?? 0)
    return {
      atMs: change.atMs + (isNewNode ? 0 : change.delaysMs[node] ?? 0), nodesCount: change.nodesCount, isNewNode
    }
  }).filter((_, index) => node < (changes[index]?.nodesCount ?? 0))
}

/** Largest sum of the shares of all listed nodes while the list changes. */
function maxShareSum (changes: ListChange[], growthDelayMs: number): number {
  const settings = { ...agreement.defaults, shareGrowthDelayMs: growthDelayMs }
  const nodes = [0, 1, 2, 3, 4].map(node => (
    { listUpdates: listUpdatesOfNode(changes, node), db: agreement.createDb(settings) }
  ))
  let maxSum = 0
  const endMs = (changes.at(-1)?.atMs ?? 0) + 30_000
  for (let nowMs = 0; nowMs <= endMs; nowMs += STEP_MS) {
    const listedNodesCount = changes.filter(change => change.atMs <= nowMs).at(-1)?.nodesCount ?? 0
    let sum = 0
    nodes.forEach((node, index) => {
      while (node.listUpdates[0] !== undefined && node.listUpdates[0].atMs <= nowMs) {
        const { isNewNode, nodesCount } = node.listUpdates[0]
        node.listUpdates.shift()
        if (isNewNode) node.db = agreement.createDb(settings)
        setPromise(node.db, PROMISED_CALLS_PER_S, nodesCount, nowMs)
      }
      if (index < listedNodesCount) sum += agreement.shareReadings(node.db, nowMs)[0]?.shareCallsPerS ?? 0
    })
    maxSum = Math.max(maxSum, sum)
  }
  return maxSum
}

describe('agreement properties', () => {
  test('shares and tokens stay within their bounds over random sequences with pauses', () => {
    fc.assert(fc.property(fc.array(stepArbitrary, { minLength: 30, maxLength: 100, size: 'max' }), steps => {
      const db = agreement.createDb(agreement.defaults)
      let nowMs = 0
      for (const step of steps) {
        if (step.kind === 'take') agreement.takeToken(db, tenant, step.importance, nowMs)
        else if (step.kind === 'return') agreement.returnToken(db, tenant, nowMs)
        else if (step.kind === 'setPromise') setPromise(db, step.promised, step.nodes, nowMs, step.confirmed)
        else nowMs += step.stepMs
        deepEqual(agreement.violations(db, nowMs), [])
      }
    }), PROPERTY_RUNS)
  })

  test('if lists reach all nodes within the growth delay, the shares of a fleet never exceed the promise', () => {
    fc.assert(fc.property(listChangesArbitrary, changes => {
      const sum = maxShareSum(changes, agreement.defaults.shareGrowthDelayMs)
      expect(sum).toBeLessThanOrEqual(PROMISED_CALLS_PER_S + 1e-6)
    }), PROPERTY_RUNS)
  })

  test('no more tokens are taken in any second than the share and one burst', () => {
    fc.assert(fc.property(fc.array(fc.integer({ min: 0, max: 300 }), { minLength: 50, maxLength: 400, size: 'max' }), gapsMs => {
      const db = agreement.createDb({ ...agreement.defaults, shareGrowthDelayMs: 0 })
      setPromise(db, PROMISED_CALLS_PER_S, 3, 0)
      let nowMs = 0
      const takenAtMs: number[] = []
      for (const gapMs of gapsMs) {
        nowMs += gapMs / 20
        while (agreement.takeToken(db, tenant, IMPORTANCE_ORDER[0]!, nowMs)) takenAtMs.push(nowMs)
        ok(takenAtMs.filter(atMs => atMs > nowMs - 1000).length <= 100 + 20 + 1)
      }
    }), PROPERTY_RUNS)
  })
})
