import type { Millis } from '../../clock/clock.js'
import type { GrantedVote, HolderState, IdempotencyDb, LeaseRound } from './idempotencyDb.js'
import type { LabelLease, LeaseBase, LeaseRequest, LeaseVote, VoterConfig, VoterView } from './idempotencyTypes.js'
import { quorumRange, type LabelRange, type QuorumRule } from './leaseQuorum.js'
import { adoptBase, onLeaseRequest } from './leaseVoter.js'

// After this time without a lease, although every listed voter answers, the voters of
// the old list are taken for lost. It exceeds any partition that the platform rides out.
const LOST_BASE_MS = 600_000

/** Takes the voters of the node's own data centre; older revisions are ignored. */
export function setVoters (db: IdempotencyDb, view: VoterView, _nowMs: Millis, _wallMs: Millis): void {
  const { holder } = db
  if (holder.view !== undefined && view.listRevision <= holder.view.listRevision) return
  holder.view = view
  holder.round = undefined
}

function requestFor (db: IdempotencyDb, voterId: string, view: VoterView, wallMs: Millis): LeaseRequest {
  const { base, voterBases, round } = db.holder
  const baseRevision = base?.listRevision ?? -1
  return {
    kind: 'lease_request',
    requestId: round?.requestId ?? 0,
    dataCentre: view.dataCentre,
    nodeId: db.nodeId,
    listRevision: view.listRevision,
    untilLabelMs: wallMs + db.settings.leaseAheadMs,
    baseRevision,
    ...(base !== undefined && voterBases.get(voterId) !== baseRevision ? { base } : {}),
    ...(baseRevision === view.listRevision ? {} : { voterIds: view.voterIds })
  }
}

/** Everyone whose vote counts: the voters of the list, of the base and of what lies between. */
function voterIdsToAsk (holder: HolderState, view: VoterView): Set<string> {
  const ids = new Set(view.voterIds)
  for (const config of requiredConfigs(holder, view)) for (const voterId of config.voterIds) ids.add(voterId)
  return ids
}

function waitAfter (db: IdempotencyDb, round: LeaseRound): Millis {
  return round.gaveLease ? db.settings.leaseRenewMs : db.settings.leaseRetryMs
}

/**
 * Lease requests that are due, each with the voter it goes to. The node's own
 * vote is counted inside and needs no message.
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
  if (round !== undefined && nowMs - round.sentMs < waitAfter(db, round)) return []
  holder.round = {
    requestId: holder.nextRequestId++, sentMs: nowMs, sentWallMs: wallMs, votes: new Map(), gaveLease: false
  }
  const due: Array<{ readonly voterId: string, readonly request: LeaseRequest }> = []
  for (const voterId of voterIdsToAsk(holder, view)) {
    const request = requestFor(db, voterId, view, wallMs)
    if (voterId !== db.nodeId) due.push({ voterId, request })
    else onLeaseVote(db, onLeaseRequest(db, request, nowMs, wallMs), nowMs, wallMs)
  }
  return due
}

function learnConfigs (holder: HolderState, vote: GrantedVote, viewRevision: number): void {
  holder.voterBases.set(vote.voterId, vote.baseRevision)
  const { base } = vote
  if (base !== undefined && base.listRevision <= viewRevision) raiseBase(holder, base)
  for (const config of vote.pending ?? []) {
    if (config.listRevision > (holder.base?.listRevision ?? -1)) {
      holder.pending.set(config.listRevision, config.voterIds)
    }
  }
}

function raiseBase (holder: HolderState, base: LeaseBase): void {
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

/** Range that the votes of this round give, or undefined while a majority is missing somewhere. */
function leasedRange (holder: HolderState, view: VoterView, withoutId?: string): LabelRange | undefined {
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

function rangeAfterLoss (db: IdempotencyDb, view: VoterView, nowMs: Millis, wallMs: Millis): LabelRange | undefined {
  const { holder, settings } = db
  if (nowMs - holder.confirmedMs < LOST_BASE_MS || holder.round === undefined) return undefined
  const range = quorumRange(view.voterIds, holder.round.votes, 'all')
  if (range === undefined) return undefined
  const floorMs = Math.max(holder.base?.fromLabelMs ?? 0, wallMs + settings.leaseAheadMs + settings.clockSkewMs)
  return { fromLabelMs: Math.max(range.fromLabelMs, floorMs), untilLabelMs: range.untilLabelMs }
}

function touches (a: LabelLease, b: LabelLease): boolean {
  return a.listRevision === b.listRevision && a.fromLabelMs <= b.untilLabelMs && b.fromLabelMs <= a.untilLabelMs
}

/**
 * Adds a range. Each range stays valid for its revision, so that ranges of one
 * revision that touch become one; a later round may start earlier than the last.
 */
function addLease (holder: HolderState, range: LabelLease): void {
  const { leases } = holder
  let merged = range
  for (let last = leases.at(-1); last !== undefined && touches(last, merged); last = leases.at(-1)) {
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
 * A node that got a lease without its own vote has heard of everything that its
 * votes before a restart took part in. It waits for the lease length first, so
 * that no round that counted such a vote is still open.
 */
function settleVoter (db: IdempotencyDb, view: VoterView, base: LeaseBase, nowMs: Millis): void {
  adoptBase(db.voter, base)
  if (db.voter.settled || nowMs - db.startMs < db.settings.leaseAheadMs + db.settings.clockSkewMs) return
  if (leasedRange(db.holder, view, db.nodeId) !== undefined) db.voter.settled = true
}

function confirm (db: IdempotencyDb, view: VoterView, range: LabelRange, nowMs: Millis): void {
  const { holder } = db
  holder.confirmedMs = nowMs
  if (holder.round !== undefined) holder.round.gaveLease = true
  const { listRevision, voterIds } = view
  addLease(holder, { listRevision, ...range })
  const base = { listRevision, voterIds, fromLabelMs: range.fromLabelMs }
  settleVoter(db, view, base, nowMs)
  raiseBase(holder, base)
}

// The monotonic clock of a suspended VM stands still, its wall clock does not.
function isOpen (round: LeaseRound, nowMs: Millis, wallMs: Millis, openMs: Millis): boolean {
  return nowMs - round.sentMs <= openMs && Math.abs(wallMs - round.sentWallMs) <= openMs
}

/**
 * Counts a vote for the request under way. A vote for an earlier request, another
 * revision, or one that comes later than the retry time is not counted.
 *
 * @example
 * onLeaseVote(db, vote, nowMs, wallMs)
 */
export function onLeaseVote (db: IdempotencyDb, vote: LeaseVote, nowMs: Millis, wallMs: Millis): void {
  const { view, round } = db.holder
  if (vote.kind === 'lease_refused' || view === undefined || round === undefined) return
  if (vote.requestId !== round.requestId || vote.listRevision !== view.listRevision) return
  if (!isOpen(round, nowMs, wallMs, db.settings.leaseRetryMs)) return
  round.votes.set(vote.voterId, vote)
  learnConfigs(db.holder, vote, view.listRevision)
  const range = leasedRange(db.holder, view) ?? rangeAfterLoss(db, view, nowMs, wallMs)
  if (range !== undefined) confirm(db, view, range, nowMs)
}

/** Newest lease, or null. */
export function lease (db: IdempotencyDb): LabelLease | null {
  return db.holder.leases.at(-1) ?? null
}

/**
 * Whether this node is among the voters of its list, of a base or of a revision
 * between them. Such a node has to ask for leases itself to become settled.
 *
 * @example
 * if (isVoter(db)) send(leaseRequests(db, nowMs, wallMs))
 */
export function isVoter (db: IdempotencyDb): boolean {
  const { holder, voter, nodeId } = db
  const listed = [holder.view, holder.base, voter.base].some(config => config?.voterIds.includes(nodeId))
  return listed || [...holder.pending.values(), ...voter.pending.values()].some(ids => ids.includes(nodeId))
}
