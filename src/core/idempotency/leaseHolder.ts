import type { Millis } from '../../clock/clock.js'
import type { GrantedVote, HolderState, IdempotencyDb, LeaseRound } from './idempotencyDb.js'
import type { KeyLease, LeaseBase, LeaseRequest, LeaseVote, VoterConfig, VoterView } from './idempotencyTypes.js'
import { quorumRange, type TimestampRange, type QuorumRule } from './leaseQuorum.js'
import { adoptBase, onLeaseRequest } from './leaseVoter.js'

// After this time without a lease, although every voter of the current list answers, the
// voters of the base are considered lost. It exceeds any partition that the platform survives.
const BASE_LOST_AFTER_MS = 600_000

/** Sets the voters of the node's own data centre; revisions that are not newer are ignored. */
export function setVoters (db: IdempotencyDb, view: VoterView, _nowMs: Millis, _wallMs: Millis): void {
  const { holder } = db
  if (holder.view !== undefined && view.listRevision <= holder.view.listRevision) return
  holder.view = view
  holder.round = undefined
}

function createLeaseRequest (db: IdempotencyDb, voterId: string, view: VoterView, wallMs: Millis): LeaseRequest {
  const { base, voterBases, round } = db.holder
  const baseRevision = base?.listRevision ?? -1
  return {
    kind: 'lease_request',
    requestId: round?.requestId ?? 0,
    dataCentre: view.dataCentre,
    nodeId: db.nodeId,
    listRevision: view.listRevision,
    untilLabelMs: wallMs + db.settings.leaseLengthMs,
    baseRevision,
    ...(base !== undefined && voterBases.get(voterId) !== baseRevision ? { base } : {}),
    ...(baseRevision === view.listRevision ? {} : { voterIds: view.voterIds })
  }
}

/** All voters whose votes count: those of the current list, of the base and of pending revisions. */
function voterIdsToAsk (holder: HolderState, view: VoterView): Set<string> {
  const ids = new Set(view.voterIds)
  for (const config of requiredConfigs(holder, view)) for (const voterId of config.voterIds) ids.add(voterId)
  return ids
}

function roundIntervalMs (db: IdempotencyDb, round: LeaseRound): Millis {
  return round.grantedLease ? db.settings.leaseRenewMs : db.settings.leaseRetryMs
}

/**
 * Lease requests that are due, each with the voter to send it to. If the node is a
 * voter itself, its own vote is counted here and needs no message.
 *
 * @example
 * for (const { voterId, request } of leaseRequests(db, nowMs, wallMs)) send(voterId, request)
 */
export function leaseRequests (
  db: IdempotencyDb, nowMs: Millis, wallMs: Millis
): Array<{ readonly voterId: string, readonly request: LeaseRequest }> {
  const { holder } = db
  const { view, round } = holder
  if (view === undefined) return []
  if (round !== undefined && nowMs - round.sentMs < roundIntervalMs(db, round)) return []
  holder.round = {
    requestId: holder.nextRequestId++, sentMs: nowMs, sentWallMs: wallMs, votes: new Map(), grantedLease: false
  }
  const due: Array<{ readonly voterId: string, readonly request: LeaseRequest }> = []
  for (const voterId of voterIdsToAsk(holder, view)) {
    const request = createLeaseRequest(db, voterId, view, wallMs)
    if (voterId !== db.nodeId) due.push({ voterId, request })
    else onLeaseVote(db, onLeaseRequest(db, request, nowMs, wallMs), nowMs, wallMs)
  }
  return due
}

function mergeVoterConfigs (holder: HolderState, vote: GrantedVote, viewRevision: number): void {
  holder.voterBases.set(vote.voterId, vote.baseRevision)
  const { base } = vote
  if (base !== undefined && base.listRevision <= viewRevision) advanceBase(holder, base)
  for (const config of vote.pending ?? []) {
    if (config.listRevision > (holder.base?.listRevision ?? -1)) {
      holder.pending.set(config.listRevision, config.voterIds)
    }
  }
}

function advanceBase (holder: HolderState, base: LeaseBase): void {
  if (holder.base !== undefined && base.listRevision <= holder.base.listRevision) return
  holder.base = base
  for (const listRevision of holder.pending.keys()) {
    if (listRevision <= base.listRevision) holder.pending.delete(listRevision)
  }
}

function requiredConfigs (holder: HolderState, view: VoterView): VoterConfig[] {
  const configs: VoterConfig[] = holder.base === undefined ? [] : [holder.base]
  for (const [listRevision, voterIds] of holder.pending) {
    if (listRevision < view.listRevision) configs.push({ listRevision, voterIds })
  }
  return configs
}

/** Range that the votes of this round grant, or undefined while some configuration has no quorum. */
function grantedRange (holder: HolderState, view: VoterView, withoutId?: string): TimestampRange | undefined {
  const votes = holder.round?.votes ?? new Map<string, GrantedVote>()
  const { base } = holder
  const needed: Array<{ voterIds: readonly string[], rule: QuorumRule }> = requiredConfigs(holder, view)
    .map(({ voterIds }) => ({ voterIds, rule: base === undefined ? 'any_majority' : 'settled_majority' }))
  if (base?.listRevision !== view.listRevision) {
    needed.push({ voterIds: view.voterIds, rule: base === undefined ? 'all' : 'any_majority' })
  }
  let fromLabelMs = base?.fromLabelMs ?? -Infinity
  let untilLabelMs = Infinity
  for (const { voterIds, rule } of needed) {
    const range = quorumRange(voterIds, votes, rule, withoutId)
    if (range === undefined) return undefined
    fromLabelMs = Math.max(fromLabelMs, range.fromLabelMs)
    untilLabelMs = Math.min(untilLabelMs, range.untilLabelMs)
  }
  return { fromLabelMs, untilLabelMs }
}

/** Range granted by all voters of the current list once the voters of the base are considered lost. */
function rangeAfterBaseLoss (
  db: IdempotencyDb, view: VoterView, nowMs: Millis, wallMs: Millis
): TimestampRange | undefined {
  const { holder, settings } = db
  if (nowMs - holder.lastLeaseAtMs < BASE_LOST_AFTER_MS || holder.round === undefined) return undefined
  const range = quorumRange(view.voterIds, holder.round.votes, 'all')
  if (range === undefined) return undefined
  const minFromMs = Math.max(holder.base?.fromLabelMs ?? 0, wallMs + settings.leaseLengthMs + settings.clockSkewMs)
  return { fromLabelMs: Math.max(range.fromLabelMs, minFromMs), untilLabelMs: range.untilLabelMs }
}

function overlapsOrAdjoins (a: KeyLease, b: KeyLease): boolean {
  return a.listRevision === b.listRevision && a.fromLabelMs <= b.untilLabelMs && b.fromLabelMs <= a.untilLabelMs
}

/**
 * Adds a lease. Leases of the same revision that overlap or adjoin are merged, since
 * a later round may grant an earlier start than the previous one. A lease that would
 * overlap one of another revision is dropped.
 */
function addLease (holder: HolderState, added: KeyLease): void {
  const { leases } = holder
  let merged = added
  for (let last = leases.at(-1); last !== undefined && overlapsOrAdjoins(last, merged); last = leases.at(-1)) {
    leases.pop()
    merged = {
      listRevision: merged.listRevision,
      fromLabelMs: Math.min(last.fromLabelMs, merged.fromLabelMs),
      untilLabelMs: Math.max(last.untilLabelMs, merged.untilLabelMs)
    }
  }
  const isAfterLast = merged.fromLabelMs >= (leases.at(-1)?.untilLabelMs ?? -Infinity)
  if (merged.untilLabelMs > merged.fromLabelMs && isAfterLast) leases.push(merged)
}

/**
 * Marks this node's votes as settled once it gets a lease without its own vote: it
 * then knows every base that its votes before a restart may have helped to confirm.
 * It first waits for the lease length plus the clock skew, so that no round that
 * counted such a vote is still open.
 */
function settleVoter (db: IdempotencyDb, view: VoterView, base: LeaseBase, nowMs: Millis): void {
  adoptBase(db.voter, base)
  if (db.voter.settled || nowMs - db.startMs < db.settings.leaseLengthMs + db.settings.clockSkewMs) return
  if (grantedRange(db.holder, view, db.nodeId) !== undefined) db.voter.settled = true
}

function applyLease (db: IdempotencyDb, view: VoterView, range: TimestampRange, nowMs: Millis): void {
  const { holder } = db
  holder.lastLeaseAtMs = nowMs
  if (holder.round !== undefined) holder.round.grantedLease = true
  const { listRevision, voterIds } = view
  addLease(holder, { listRevision, ...range })
  const base = { listRevision, voterIds, fromLabelMs: range.fromLabelMs }
  settleVoter(db, view, base, nowMs)
  advanceBase(holder, base)
}

// Checks both clocks, since the monotonic clock of a suspended VM stands still and its wall clock does not.
function isRoundOpen (round: LeaseRound, nowMs: Millis, wallMs: Millis, maxAgeMs: Millis): boolean {
  return nowMs - round.sentMs <= maxAgeMs && Math.abs(wallMs - round.sentWallMs) <= maxAgeMs
}

/**
 * Counts a vote for the current round. A vote for an earlier round or another
 * revision, or one that arrives after the retry time, is ignored.
 *
 * @example
 * onLeaseVote(db, vote, nowMs, wallMs)
 */
export function onLeaseVote (db: IdempotencyDb, vote: LeaseVote, nowMs: Millis, wallMs: Millis): void {
  const { view, round } = db.holder
  if (vote.kind === 'lease_refused' || view === undefined || round === undefined) return
  if (vote.requestId !== round.requestId || vote.listRevision !== view.listRevision) return
  if (!isRoundOpen(round, nowMs, wallMs, db.settings.leaseRetryMs)) return
  round.votes.set(vote.voterId, vote)
  mergeVoterConfigs(db.holder, vote, view.listRevision)
  const range = grantedRange(db.holder, view) ?? rangeAfterBaseLoss(db, view, nowMs, wallMs)
  if (range !== undefined) applyLease(db, view, range, nowMs)
}

/** Newest lease, or null. */
export function newestLease (db: IdempotencyDb): KeyLease | null {
  return db.holder.leases.at(-1) ?? null
}

/**
 * Whether this node is a voter of its list, of a base or of a pending revision. Such
 * a node has to request leases itself, since only a lease of its own settles its votes.
 *
 * @example
 * if (isVoter(db)) send(leaseRequests(db, nowMs, wallMs))
 */
export function isVoter (db: IdempotencyDb): boolean {
  const { holder, voter, nodeId } = db
  const listed = [holder.view, holder.base, voter.base].some(config => config?.voterIds.includes(nodeId))
  return listed || [...holder.pending.values(), ...voter.pending.values()].some(ids => ids.includes(nodeId))
}
