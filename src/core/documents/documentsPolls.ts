import type { Millis } from '../../clock/clock.js'
import { hash32 } from '../hash.js'
import type { DocumentsDb, PollPlan } from './documentsDb.js'
import { shouldPoll, READER_CANDIDATES_COUNT } from './documentsDetector.js'
import { CATALOGUE_KEY, DOCUMENT_KEY_PREFIX, VM_LIST_KEY_PREFIX } from './documentsParse.js'
import type { ListConfirmation, PollRequest, ReaderView } from './documentsTypes.js'

/** A read whose result has not been reported after this time no longer blocks the next one. */
const POLL_TIMEOUT_MS = 10_000
/**
 * Upper bound of the backoff factor on the poll period while reads fail. During
 * an outage all three candidates of a key poll, so that the platform gets
 * 3 × 1,600 ÷ 4 = 1,200 reads/s when it recovers. That is below the 1,600 reads/s
 * that the fleet plans for (`platformCallsPerS`); the platform takes about 2,000.
 */
const BACKOFF_FACTOR_MAX = 4
/** The first two keys, the VM list of this node's data centre and the catalogue, are planned immediately. */
const PRIORITY_KEYS_COUNT = 2
/**
 * Keys planned in one call. Ranking 190 nodes for all 401 keys in one step
 * blocked the node's calls for 60 ms on each change of the view.
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
 * Keys that the nodes of this data centre read from the platform. Until the node
 * holds its data centre's VM list, it cannot rank the nodes of the data centre and reads
 * only that list and the catalogue.
 */
function keysToRead (db: DocumentsDb, view: ReaderView): string[] {
  const ownList = VM_LIST_KEY_PREFIX + view.ownDataCentre
  const { serviceNames = [], dataCentres = [] } = isOwnListHeld(db, view) ? db.catalogue ?? {} : {}
  // Nodes of another data centre are known only from its list, so the list itself has to come from the platform first.
  const otherLists = dataCentres.filter(name => name !== view.ownDataCentre).map(name => VM_LIST_KEY_PREFIX + name)
  return [ownList, CATALOGUE_KEY, ...otherLists, ...serviceNames.map(name => DOCUMENT_KEY_PREFIX + name)]
}

/** Reader candidates of a key by rendezvous hashing, best first, found without sorting all nodes. */
function readerCandidates (key: string, vmIds: readonly string[]): string[] {
  const best: Array<{ readonly vmId: string, readonly weight: number }> = []
  for (const vmId of vmIds) {
    const weight = hash32(`${key}|${vmId}`)
    const index = best.findIndex(
      better => weight > better.weight || (weight === better.weight && vmId < better.vmId)
    )
    if (index >= 0) best.splice(index, 0, { vmId, weight })
    else if (best.length < READER_CANDIDATES_COUNT) best.push({ vmId, weight })
    if (best.length > READER_CANDIDATES_COUNT) best.pop()
  }
  return best.map(candidate => candidate.vmId)
}

function createOrUpdatePlan (db: DocumentsDb, view: ReaderView, key: string, nowMs: Millis): PollPlan | null {
  const ranked = readerCandidates(key, view.liveVmIds)
  const rank = ranked.indexOf(view.ownVmId)
  if (rank < 0) return null
  const otherReaderIds = ranked.filter(vmId => vmId !== view.ownVmId)
  const known = db.plans.get(key)
  if (known !== undefined) return { ...known, rank, otherReaderIds }
  return {
    key,
    rank,
    otherReaderIds,
    periodMs: 0,
    nextReadAtMs: null,
    pendingSinceMs: null,
    otherReadAtMs: nowMs,
    failuresCount: 0
  }
}

function isOwnListHeld (db: DocumentsDb, view: ReaderView): boolean {
  return db.heldValues.has(VM_LIST_KEY_PREFIX + view.ownDataCentre)
}

function refreshPlan (db: DocumentsDb, view: ReaderView, key: string, nowMs: Millis): void {
  const plan = createOrUpdatePlan(db, view, key, nowMs)
  if (plan === null) db.plans.delete(key)
  else db.plans.set(key, plan)
}

/** Starts planning for a new view or catalogue. Keys that remain keep their old plan until it is refreshed. */
function startPlanning (db: DocumentsDb, view: ReaderView, nowMs: Millis): void {
  db.plannedKeys = keysToRead(db, view)
  db.keysToPlanCount = db.plannedKeys.length
  const keys = new Set(db.plannedKeys)
  for (const key of db.plans.keys()) if (!keys.has(key)) db.plans.delete(key)
  for (const key of db.plannedKeys.slice(0, PRIORITY_KEYS_COUNT)) refreshPlan(db, view, key, nowMs)
  db.plannedView = { ...view, dataCentres: [...view.dataCentres], liveVmIds: [...view.liveVmIds] }
  db.plannedCatalogue = db.catalogue
  db.plannedWithOwnList = isOwnListHeld(db, view)
}

/** The cursor is not reset when the view changes, so that frequent changes leave no key without a plan. */
function continuePlanning (db: DocumentsDb, view: ReaderView, nowMs: Millis): void {
  for (let left = Math.min(KEYS_PER_CALL_COUNT, db.keysToPlanCount); left > 0; left -= 1) {
    db.planCursor = (db.planCursor + 1) % db.plannedKeys.length
    db.keysToPlanCount -= 1
    refreshPlan(db, view, db.plannedKeys[db.planCursor]!, nowMs)
  }
}

function isPlanCurrent (db: DocumentsDb, view: ReaderView): boolean {
  return db.plannedView !== null && db.plannedWithOwnList === isOwnListHeld(db, view) &&
    db.plannedCatalogue === db.catalogue && sameView(db.plannedView, view)
}

/** Time between two reads of a key by this data centre while the platform answers. */
export function pollPeriodMs (db: DocumentsDb, view: ReaderView, key: string): Millis {
  const { minPollMs, ownListPollMs, platformCallsPerS } = db.settings
  if (key === VM_LIST_KEY_PREFIX + view.ownDataCentre) return ownListPollMs
  const keysCount = (db.catalogue?.serviceNames.length ?? 0) + (db.catalogue?.dataCentres.length ?? 0) + 1
  return Math.max(minPollMs, keysCount * view.dataCentres.length * 1000 / platformCallsPerS)
}

/** Offset of a key's reads within the period: spreads data centres evenly and keys pseudo-randomly. */
function slotOffsetMs (view: ReaderView, key: string, periodMs: Millis): Millis {
  const slotIndex = Math.max(0, [...view.dataCentres].sort().indexOf(view.ownDataCentre))
  const slotsCount = Math.max(1, view.dataCentres.length)
  return periodMs * (slotIndex / slotsCount + (hash32(key) % 997) / 997)
}

function nextSlotMs (view: ReaderView, plan: PollPlan, nowMs: Millis): Millis {
  const offsetMs = slotOffsetMs(view, plan.key, plan.periodMs)
  return offsetMs + (Math.floor((nowMs - offsetMs) / plan.periodMs) + 1) * plan.periodMs
}

/** Time of the first read. All nodes of a fleet may start together, so documents wait for their first slot. */
function firstReadMs (view: ReaderView, plan: PollPlan, nowMs: Millis): Millis {
  const waitsForSlot = plan.rank === 0 && plan.key.startsWith(DOCUMENT_KEY_PREFIX)
  return waitsForSlot ? nextSlotMs(view, plan, nowMs) : nowMs
}

function isDue (db: DocumentsDb, view: ReaderView, plan: PollPlan, nowMs: Millis): boolean {
  plan.periodMs = pollPeriodMs(db, view, plan.key)
  plan.nextReadAtMs ??= firstReadMs(view, plan, nowMs)
  if (
    nowMs < plan.nextReadAtMs ||
    (plan.pendingSinceMs !== null && nowMs - plan.pendingSinceMs < POLL_TIMEOUT_MS)
  ) return false
  return shouldPoll(plan.rank, nowMs - plan.otherReadAtMs, plan.periodMs)
}

/** Time of the read that follows one at `nowMs`. */
function followingReadMs (view: ReaderView, plan: PollPlan, nowMs: Millis): Millis {
  if (plan.failuresCount > 0) return nowMs + plan.periodMs * Math.min(BACKOFF_FACTOR_MAX, 2 ** plan.failuresCount)
  return plan.rank === 0 ? nextSlotMs(view, plan, nowMs) : nowMs + plan.periodMs
}

/** Conditional reads that this node should send now; the caller reports the result of each. */
export function duePolls (db: DocumentsDb, view: ReaderView, nowMs: Millis): PollRequest[] {
  if (!isPlanCurrent(db, view)) startPlanning(db, view, nowMs)
  continuePlanning(db, view, nowMs)
  const due: PollRequest[] = []
  for (const plan of db.plans.values()) {
    if (!isDue(db, view, plan, nowMs)) continue
    plan.pendingSinceMs = nowMs
    plan.nextReadAtMs = followingReadMs(view, plan, nowMs)
    due.push({ key: plan.key, afterRevision: db.seenRevisions.get(plan.key) ?? 0 })
  }
  return due
}

/** Records the result of a read. An answer confirms a held VM list only if no newer revision of it was seen. */
export function recordPollResult (db: DocumentsDb, key: string, answered: boolean, nowMs: Millis): void {
  const plan = db.plans.get(key)
  if (plan !== undefined) {
    if (answered && plan.failuresCount > 0) plan.nextReadAtMs = nowMs + plan.periodMs
    plan.pendingSinceMs = null
    plan.failuresCount = answered ? 0 : plan.failuresCount + 1
  }
  const held = db.heldValues.get(key)
  const isNewest = held !== undefined && held.value.revision === db.seenRevisions.get(key)
  if (answered && isNewest && key.startsWith(VM_LIST_KEY_PREFIX)) db.confirmedAtMs.set(key, nowMs)
}

/** The other reader candidates of a key. */
export function otherReadersOf (db: DocumentsDb, key: string): readonly string[] {
  return db.plans.get(key)?.otherReaderIds ?? []
}

/** Records that another node has read a key. */
export function recordReadByPeer (db: DocumentsDb, key: string, nowMs: Millis): void {
  const plan = db.plans.get(key)
  if (plan !== undefined) plan.otherReadAtMs = nowMs
}

/** Held VM lists that were confirmed within `maxAgeMs`. */
export function confirmations (db: DocumentsDb, maxAgeMs: Millis, nowMs: Millis): ListConfirmation[] {
  return [...db.confirmedAtMs].flatMap(([key, atMs]) => {
    const held = db.heldValues.get(key)
    const ageMs = Math.ceil(nowMs - atMs)
    return held === undefined || ageMs > maxAgeMs ? [] : [{ key, revision: held.value.revision, ageMs }]
  })
}

/** Applies a peer's confirmation if it is for the held revision and later than the known one. */
export function recordConfirmation (db: DocumentsDb, confirmation: ListConfirmation, nowMs: Millis): boolean {
  const held = db.heldValues.get(confirmation.key)
  if (held?.value.revision !== confirmation.revision) return false
  const atMs = nowMs - Math.max(0, confirmation.ageMs)
  if (atMs <= (db.confirmedAtMs.get(confirmation.key) ?? Number.NEGATIVE_INFINITY)) return false
  db.confirmedAtMs.set(confirmation.key, atMs)
  return true
}
