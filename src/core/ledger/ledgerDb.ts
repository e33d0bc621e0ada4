import { build, type Histogram } from 'hdr-histogram-js'
import { IMPORTANCE_ORDER, importanceRank, type Importance, type Outcome } from '../coreTypes.js'
import { RecordRole, type CallRecord, type LedgerSettings } from './ledgerTypes.js'

/** Name of the caller and the service under which tenants beyond the capacity count; no document allows it. */
export const OTHER_NAME = '(other)'

/** At 4 importances and 2 roles that is at most 808 histograms, some 10 MB in all. */
const TENANTS_CAPACITY_COUNT = 100
/** Ids remembered in each of two generations, to find a second record of one call. */
const RECENT_IDS_COUNT = 4_096
/** Nodes make ids of 36 characters; longer ones are not remembered, which bounds the memory. */
const ID_MAX_LENGTH = 100
const ROLES: readonly RecordRole[] = [RecordRole.Entry, RecordRole.Executor, RecordRole.Both]
/** Histograms hold whole steps of 10 microseconds, since added latency is a fraction of a millisecond. */
export const STEPS_PER_MS = 100
const SIGNIFICANT_DIGITS = 2

/** Counts and histogram of one caller, service, importance and role. */
export interface Series {
  readonly callerName: string
  readonly serviceName: string
  readonly importance: Importance
  readonly role: RecordRole
  readonly counts: Record<Outcome, number>
  readonly totalSteps: Histogram
}

export interface LedgerDb {
  readonly settings: LedgerSettings
  /** Series of a tenant by importance and role; made when the first record needs one. */
  readonly tenants: Map<string, Map<string, Array<Series | undefined>>>
  tenantsCount: number
  /** Sequence number of the last line. */
  sequence: number
  recordsCount: number
  duplicatesCount: number
  readonly recentIds: Record<RecordRole, { current: Set<string>, previous: Set<string> }>
}

function emptyIds (): LedgerDb['recentIds'][RecordRole] {
  return { current: new Set(), previous: new Set() }
}

/** Makes the family's empty state. */
export function createDb (settings: LedgerSettings): LedgerDb {
  return {
    settings,
    tenants: new Map(),
    tenantsCount: 0,
    sequence: 0,
    recordsCount: 0,
    duplicatesCount: 0,
    recentIds: { [RecordRole.Entry]: emptyIds(), [RecordRole.Executor]: emptyIds(), [RecordRole.Both]: emptyIds() }
  }
}

/** Empties the state. The sequence number goes on, because a reset would look like lost lines. */
export function clear (db: LedgerDb): void {
  db.tenants.clear()
  db.tenantsCount = 0
  db.recordsCount = 0
  db.duplicatesCount = 0
  for (const role of ROLES) db.recentIds[role] = emptyIds()
}

function setTenant (db: LedgerDb, callerName: string, serviceName: string): Array<Series | undefined> {
  const services = db.tenants.get(callerName) ?? new Map<string, Array<Series | undefined>>()
  const made: Array<Series | undefined> = []
  services.set(serviceName, made)
  db.tenants.set(callerName, services)
  db.tenantsCount += 1
  return made
}

function seriesOfTenant (db: LedgerDb, callerName: string, serviceName: string): Array<Series | undefined> {
  const known = db.tenants.get(callerName)?.get(serviceName)
  if (known !== undefined) return known
  const capacityCount = db.settings.tenantsCapacityCount ?? TENANTS_CAPACITY_COUNT
  if (db.tenantsCount < capacityCount) return setTenant(db, callerName, serviceName)
  return db.tenants.get(OTHER_NAME)?.get(OTHER_NAME) ?? setTenant(db, OTHER_NAME, OTHER_NAME)
}

function makeSeries (db: LedgerDb, record: CallRecord, siblings: Array<Series | undefined>): Series {
  const isOther = siblings === db.tenants.get(OTHER_NAME)?.get(OTHER_NAME)
  return {
    callerName: isOther ? OTHER_NAME : record.callerName,
    serviceName: isOther ? OTHER_NAME : record.serviceName,
    importance: record.importance,
    role: record.role,
    counts: { done: 0, not_run: 0, unknown: 0, cancelled: 0 },
    totalSteps: build({ autoResize: true, numberOfSignificantValueDigits: SIGNIFICANT_DIGITS, bitBucketSize: 32 })
  }
}

/** Series that a record counts in. */
export function seriesOf (db: LedgerDb, record: CallRecord): Series {
  const siblings = seriesOfTenant(db, record.callerName, record.serviceName)
  const index = importanceRank(record.importance) * ROLES.length + ROLES.indexOf(record.role)
  const known = siblings[index]
  if (known !== undefined) return known
  const made = makeSeries(db, record, siblings)
  siblings[index] = made
  return made
}

/** All series, in the order of caller, service, importance and role. */
export function allSeries (db: LedgerDb): Series[] {
  const found = [...db.tenants.values()].flatMap(services => [...services.values()])
    .flatMap(siblings => siblings.filter(series => series !== undefined))
  const keyOf = (series: Series): string =>
    `${series.callerName} ${series.serviceName} ${IMPORTANCE_ORDER.indexOf(series.importance)} ${series.role}`
  return found.map(series => ({ series, key: keyOf(series) }))
    .sort((a, b) => a.key < b.key ? -1 : 1).map(entry => entry.series)
}

/** Remembers the id of a record. */
export function rememberId (db: LedgerDb, role: RecordRole, callId: string): void {
  if (callId === '' || callId.length > ID_MAX_LENGTH) return
  const ids = db.recentIds[role]
  if (ids.current.size >= RECENT_IDS_COUNT) {
    ids.previous = ids.current
    ids.current = new Set()
  }
  ids.current.add(callId)
}
