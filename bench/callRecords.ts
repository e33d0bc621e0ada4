/** The fields of a node's call record that the bench uses. */
export interface BenchRecord {
  readonly node: string
  readonly role: string
  readonly service: string
  readonly importanceRank: number
  readonly withinPromise: boolean
  readonly outcome: string
  readonly reason: string
  readonly root: string
  readonly retriesCount: number
  readonly arrivedAtMs: number
  readonly queuedMs: number
  readonly totalMs: number
}

/** Importance levels from the most to the least important. */
const IMPORTANCE_NAMES = ['vital', 'high', 'normal', 'low']
const LOOKUP_RANK = IMPORTANCE_NAMES.indexOf('normal')
/** Reasons that the admission control of the executing node gives when it refuses a call under load. */
const LOAD_REASONS = new Set(['overload', 'above_promise'])

/**
 * Parses a call record from a line of a node's log. Returns undefined for other lines.
 *
 * @example
 * parseRecord('event=call_record node=vm-1 role=executor service=invoicing ...')
 */
export function parseCallRecord (line: string): BenchRecord | undefined {
  if (!line.startsWith('event=call_record ')) return undefined
  const fields = new Map(line.split(' ').map(part => {
    const equals = part.indexOf('=')
    return [part.slice(0, equals), part.slice(equals + 1)] as const
  }))
  const fieldText = (name: string): string => fields.get(name) ?? ''
  return {
    node: fieldText('node'),
    role: fieldText('role'),
    service: fieldText('service'),
    importanceRank: IMPORTANCE_NAMES.indexOf(fieldText('importance')),
    withinPromise: fieldText('within_promise') === 'true',
    outcome: fieldText('outcome'),
    reason: fieldText('reason'),
    root: fieldText('root'),
    retriesCount: Number(fieldText('retries_count')),
    arrivedAtMs: Number(fieldText('arrived_at_wall_ms')),
    queuedMs: Number(fieldText('queued_ms')),
    totalMs: Number(fieldText('total_ms'))
  }
}

/** Greatest number of retries that all nodes together made for one root request. */
export function maxRetriesPerRoot (records: readonly BenchRecord[]): number {
  const byRoot = new Map<string, number>()
  let greatest = 0
  for (const { root, retriesCount } of records) {
    if (retriesCount === 0) continue
    const sum = (byRoot.get(root) ?? 0) + retriesCount
    byRoot.set(root, sum)
    greatest = Math.max(greatest, sum)
  }
  return greatest
}

/**
 * Whether a refused call counted as within the promised rate of its caller. The
 * sub-calls of a root request above the promise count as above it too, even if the
 * calling service has promised calls left; they are refused as `above_promise`.
 */
function isRefusedWithinPromise (refused: BenchRecord): boolean {
  return refused.withinPromise && refused.reason !== 'above_promise'
}

/**
 * Whether a lookup was in the queue when a more important call was refused,
 * although the lookup had no better standing by promise. The lookup must have
 * arrived more than 1 ms before the refusal and left the queue more than 1 ms after it.
 */
function isPriorityInversion (lookup: BenchRecord, refused: BenchRecord): boolean {
  const refusedAtMs = refused.arrivedAtMs + refused.totalMs
  const waitedDuringRefusal = lookup.arrivedAtMs < refusedAtMs - 1 &&
    lookup.arrivedAtMs + lookup.queuedMs > refusedAtMs + 1
  return waitedDuringRefusal && (!lookup.withinPromise || isRefusedWithinPromise(refused))
}

/**
 * Counts priority inversions: vital calls that an executing node refused under
 * load while a call of normal or low importance waited in its queue, was not
 * better placed by promise, and completed later.
 *
 * @example
 * importantRefusedBeforeLookups(records) // 0 if priorities are respected
 */
export function importantRefusedBeforeLookups (records: readonly BenchRecord[]): number {
  const byNode = new Map<string, BenchRecord[]>()
  for (const record of records) {
    if (record.role === 'entry') continue
    const list = byNode.get(record.node) ?? []
    list.push(record)
    byNode.set(record.node, list)
  }
  let count = 0
  for (const list of byNode.values()) {
    const lookups = list.filter(one => one.importanceRank >= LOOKUP_RANK && one.outcome === 'done' && one.queuedMs > 0)
    const refused = list.filter(one => one.importanceRank === 0 && LOAD_REASONS.has(one.reason))
    count += refused.filter(one => lookups.some(lookup => isPriorityInversion(lookup, one))).length
  }
  return count
}
