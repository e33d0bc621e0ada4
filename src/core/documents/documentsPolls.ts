import type { Millis } from '../../clock/clock.js'
import { hash32 } from '../hash.js'
import type { DocumentsDb, PollPlan } from './documentsDb.js'
import { isReader, READER_RANKS_COUNT } from './documentsDetector.js'
import { CATALOGUE_KEY, DOCUMENT_KEY_PREFIX, VM_LIST_KEY_PREFIX } from './documentsParse.js'
import type { Confirmation, PollRequest, ReaderView } from './documentsTypes.js'

/** A read without an answer counts as failed after this time, should its result never arrive. */
const POLL_LOST_MS = 10_000
/**
 * Periods grow up to this factor while reads fail. During an outage all three
 * ranks of a key poll, and 3 × 1,600 ÷ 4 stays below the platform's rate when
 * it comes back.
 */
const FAILURE_FACTOR_MAX = 4
/** The own VM list and the catalogue lead the keys and are planned at once. */
const OWN_KEYS_COUNT = 2
/**
 * Keys ranked in one call. Ranking all 401 keys over 190 nodes at once held up
 * the calls of the node for 60 ms on each change of the view.
 */
const KEYS_PER_CALL_COUNT = 16

function sameList (a: readonly string[], b: readonly string[]): boolean {
  return a === b || (a.length === b.length && a.every((entry, index) => entry === b[index]))
}

function sameView (a: ReaderView, b: ReaderView): boolean {
  return a.ownVmId === b.ownVmId && a.ownDataCentre === b.ownDataCentre &&
    sameList(a.dataCentres, b.dataCentres) && sameList(a.liveVmIds, b.liveVmIds)
}

/**
 * Keys that the data centre reads. Before the own VM list is known, a node
 * cannot tell which keys are its own, and only asks for what it needs to do so.
 */
function keysToRead (db: DocumentsDb, view: ReaderView): string[] {
  const ownList = VM_LIST_KEY_PREFIX + view.ownDataCentre
  const { serviceNames = [], dataCentres = [] } = hasOwnList(db, view) ? db.catalogue ?? {} : {}
  // Nodes of other data centres are only known from their lists, so the first copy cannot come from them.
  const otherLists = dataCentres.filter(name => name !== view.ownDataCentre).map(name => VM_LIST_KEY_PREFIX + name)
  return [ownList, CATALOGUE_KEY, ...otherLists, ...serviceNames.map(name => DOCUMENT_KEY_PREFIX + name)]
}

/** The best ranks of a key by rendezvous hashing, best first, without sorting all members. */
function bestRanked (key: string, vmIds: readonly string[]): string[] {
  const best: Array<{ readonly vmId: string, readonly weight: number }> = []
  for (const vmId of vmIds) {
    const weight = hash32(`${key}|${vmId}`)
    const at = best.findIndex(one => weight > one.weight || (weight === one.weight && vmId < one.vmId))
    if (at >= 0) best.splice(at, 0, { vmId, weight })
    else if (best.length < READER_RANKS_COUNT) best.push({ vmId, weight })
    if (best.length > READER_RANKS_COUNT) best.pop()
  }
  return best.map(one => one.vmId)
}

function planOf (db: DocumentsDb, view: ReaderView, key: string, nowMs: Millis): PollPlan | null {
  const ranked = bestRanked(key, view.liveVmIds)
  const rank = ranked.indexOf(view.ownVmId)
  if (rank < 0) return null
  const watchers = ranked.filter(vmId => vmId !== view.ownVmId)
  const known = db.plans.get(key)
  if (known !== undefined) return { ...known, rank, watchers }
  return { key, rank, watchers, periodMs: 0, nextAtMs: null, askedAtMs: null, heardAtMs: nowMs, failuresCount: 0 }
}

function hasOwnList (db: DocumentsDb, view: ReaderView): boolean {
  return db.held.has(VM_LIST_KEY_PREFIX + view.ownDataCentre)
}

function planKey (db: DocumentsDb, view: ReaderView, key: string, nowMs: Millis): void {
  const plan = planOf(db, view, key, nowMs)
  if (plan === null) db.plans.delete(key)
  else db.plans.set(key, plan)
}

/** Notes what the plans are to be made from. Plans of keys that stay are used until their turn comes. */
function beginPlanning (db: DocumentsDb, view: ReaderView, nowMs: Millis): void {
  db.plannedKeys = keysToRead(db, view)
  db.unplannedCount = db.plannedKeys.length
  const keys = new Set(db.plannedKeys)
  for (const key of db.plans.keys()) if (!keys.has(key)) db.plans.delete(key)
  for (const key of db.plannedKeys.slice(0, OWN_KEYS_COUNT)) planKey(db, view, key, nowMs)
  db.plannedView = { ...view, dataCentres: [...view.dataCentres], liveVmIds: [...view.liveVmIds] }
  db.plannedCatalogue = db.catalogue
  db.plannedWithList = hasOwnList(db, view)
}

/** The cursor goes on over changes of the view, so that frequent changes leave no key without a plan. */
function continuePlanning (db: DocumentsDb, view: ReaderView, nowMs: Millis): void {
  for (let left = Math.min(KEYS_PER_CALL_COUNT, db.unplannedCount); left > 0; left -= 1) {
    db.planCursor = (db.planCursor + 1) % db.plannedKeys.length
    db.unplannedCount -= 1
    planKey(db, view, db.plannedKeys[db.planCursor]!, nowMs)
  }
}

function isPlanCurrent (db: DocumentsDb, view: ReaderView): boolean {
  return db.plannedView !== null && db.plannedWithList === hasOwnList(db, view) &&
    db.plannedCatalogue === db.catalogue && sameView(db.plannedView, view)
}

/** Time between two reads of a key by the data centre while the platform answers. */
export function pollPeriodMs (db: DocumentsDb, view: ReaderView, key: string): Millis {
  const { minPollMs, ownListPollMs, platformCallsPerS } = db.settings
  if (key === VM_LIST_KEY_PREFIX + view.ownDataCentre) return ownListPollMs
  const keysCount = (db.catalogue?.serviceNames.length ?? 0) + (db.catalogue?.dataCentres.length ?? 0) + 1
  return Math.max(minPollMs, keysCount * view.dataCentres.length * 1000 / platformCallsPerS)
}

/** Phase of a key: data centres take turns within a period, and keys are spread between the turns. */
function phaseMs (view: ReaderView, key: string, periodMs: Millis): Millis {
  const turn = Math.max(0, [...view.dataCentres].sort().indexOf(view.ownDataCentre))
  const turns = Math.max(1, view.dataCentres.length)
  return periodMs * (turn / turns + (hash32(key) % 997) / 997)
}

function nextTurnMs (view: ReaderView, plan: PollPlan, nowMs: Millis): Millis {
  const phase = phaseMs(view, plan.key, plan.periodMs)
  return phase + (Math.floor((nowMs - phase) / plan.periodMs) + 1) * plan.periodMs
}

/** All nodes of a fleet may start together, so documents wait for their first turn. */
function firstReadMs (view: ReaderView, plan: PollPlan, nowMs: Millis): Millis {
  const waits = plan.rank === 0 && plan.key.startsWith(DOCUMENT_KEY_PREFIX)
  return waits ? nextTurnMs(view, plan, nowMs) : nowMs
}

function isDue (db: DocumentsDb, view: ReaderView, plan: PollPlan, nowMs: Millis): boolean {
  plan.periodMs = pollPeriodMs(db, view, plan.key)
  plan.nextAtMs ??= firstReadMs(view, plan, nowMs)
  if (nowMs < plan.nextAtMs || (plan.askedAtMs !== null && nowMs - plan.askedAtMs < POLL_LOST_MS)) return false
  return isReader(plan.rank, nowMs - plan.heardAtMs, plan.periodMs)
}

/** Time of the next read after one at `nowMs`. */
function afterRead (view: ReaderView, plan: PollPlan, nowMs: Millis): Millis {
  if (plan.failuresCount > 0) return nowMs + plan.periodMs * Math.min(FAILURE_FACTOR_MAX, 2 ** plan.failuresCount)
  return plan.rank === 0 ? nextTurnMs(view, plan, nowMs) : nowMs + plan.periodMs
}

/** Conditional reads that this node should send now; each is answered by `pollAnswered`. */
export function duePolls (db: DocumentsDb, view: ReaderView, nowMs: Millis): PollRequest[] {
  if (!isPlanCurrent(db, view)) beginPlanning(db, view, nowMs)
  continuePlanning(db, view, nowMs)
  const due: PollRequest[] = []
  for (const plan of db.plans.values()) {
    if (!isDue(db, view, plan, nowMs)) continue
    plan.askedAtMs = nowMs
    plan.nextAtMs = afterRead(view, plan, nowMs)
    due.push({ key: plan.key, afterRevision: db.seenRevisions.get(plan.key) ?? 0 })
  }
  return due
}

/** Notes the result of a read. A list counts as confirmed only while no newer revision of it was seen. */
export function pollAnswered (db: DocumentsDb, key: string, answered: boolean, nowMs: Millis): void {
  const plan = db.plans.get(key)
  if (plan !== undefined) {
    if (answered && plan.failuresCount > 0) plan.nextAtMs = nowMs + plan.periodMs
    plan.askedAtMs = null
    plan.failuresCount = answered ? 0 : plan.failuresCount + 1
  }
  const held = db.held.get(key)
  const isNewest = held !== undefined && held.value.revision === db.seenRevisions.get(key)
  if (answered && isNewest && key.startsWith(VM_LIST_KEY_PREFIX)) db.confirmedAtMs.set(key, nowMs)
}

/** Nodes to tell after a successful read. */
export function watchersOf (db: DocumentsDb, key: string): readonly string[] {
  return db.plans.get(key)?.watchers ?? []
}

/** Notes that another node has read a key. */
export function readerHeard (db: DocumentsDb, key: string, nowMs: Millis): void {
  const plan = db.plans.get(key)
  if (plan !== undefined) plan.heardAtMs = nowMs
}

/** VM lists held that were confirmed within `maxAgeMs`. */
export function confirmations (db: DocumentsDb, maxAgeMs: Millis, nowMs: Millis): Confirmation[] {
  return [...db.confirmedAtMs].flatMap(([key, atMs]) => {
    const held = db.held.get(key)
    const ageMs = Math.ceil(nowMs - atMs)
    return held === undefined || ageMs > maxAgeMs ? [] : [{ key, revision: held.value.revision, ageMs }]
  })
}

/** Takes a peer's confirmation of the list that this node holds. */
export function noteConfirmed (db: DocumentsDb, confirmation: Confirmation, nowMs: Millis): boolean {
  const held = db.held.get(confirmation.key)
  if (held?.value.revision !== confirmation.revision) return false
  const atMs = nowMs - Math.max(0, confirmation.ageMs)
  if (atMs <= (db.confirmedAtMs.get(confirmation.key) ?? Number.NEGATIVE_INFINITY)) return false
  db.confirmedAtMs.set(confirmation.key, atMs)
  return true
}
