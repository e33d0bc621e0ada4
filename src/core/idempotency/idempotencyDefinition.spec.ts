import { Outcome } from '../coreTypes.js'
import { idempotencyDefinition as idempotency } from './idempotencyDefinition.js'
import type { IdempotencyDb } from './idempotencyDb.js'
import type { IdempotencySettings, KeyDecision, KeySend, LeaseRequest } from './idempotencyTypes.js'

const WALL_MS = 1_700_000_000_000
const view = (listRevision: number, voterIds: string[]) => ({ dataCentre: 'tartu', listRevision, voterIds })

/** State of a node that is the only voter of its list, `ageMs` after its start. */
function soleVoterAfter (ageMs: number, changes: Partial<IdempotencySettings> = {}): IdempotencyDb {
  const db = idempotency.createDb({ ...idempotency.defaults, ...changes })
  idempotency.start(db, 'n1', 0, WALL_MS)
  idempotency.setVoters(db, view(1, ['n1']), 0, WALL_MS)
  for (let nowMs = 0; nowMs <= ageMs; nowMs += 2_000) idempotency.leaseRequests(db, nowMs, WALL_MS + nowMs)
  return db
}

const uuidAt = (nowMs: number, tail = '0123456789ab') => {
  const hex = (WALL_MS + nowMs).toString(16).padStart(12, '0')
  return `${hex.slice(0, 8)}-${hex.slice(8)}-7000-8000-${tail}`
}

const send = (idempotencyKey: string, attempt = 1, changes: Partial<KeySend> = {}): KeySend => ({
  key: { callerName: 'c', serviceName: 's', idempotencyKey },
  callId: `call-${attempt}`,
  attempt,
  isOwner: true,
  ownerRevisions: [1],
  ...changes
})

const describeDecision = (decision: KeyDecision): string =>
  decision.kind === 'refuse' ? `${decision.outcome} ${decision.reason}` : decision.kind
const admitAt = (db: IdempotencyDb, keySend: KeySend, nowMs: number) =>
  describeDecision(idempotency.admitSend(db, keySend, nowMs, WALL_MS + nowMs))
const dispatchAt = (db: IdempotencyDb, keySend: KeySend, nowMs: number) =>
  describeDecision(idempotency.beforeDispatch(db, keySend, nowMs, WALL_MS + nowMs))

describe('key records', () => {
  test('a resend gets the stored answer and never runs again', () => {
    const db = soleVoterAfter(20_000)
    const key = uuidAt(20_000)
    const answer = { status: 201, headers: { a: 'b' }, body: new Uint8Array(3) }
    expect([admitAt(db, send(key), 20_000), dispatchAt(db, send(key), 20_010)]).toEqual(['run', 'run'])
    expect(admitAt(db, send(key, 2), 20_020)).toBe('unknown still_running')
    idempotency.recordResult(db, send(key), Outcome.Done, answer, 20_030)
    expect(idempotency.admitSend(db, send(key, 2), 20_040, WALL_MS + 20_040)).toEqual({ kind: 'answer', answer })
    idempotency.tick(db, 145_000)
    expect([db.records.size, db.storedAnswersBytes]).toEqual([0, 0])
    expect(admitAt(db, send(key, 4), 145_000)).toBe('unknown idempotency_key_expired')
  })

  test('a delayed earlier send cannot run after a later one was refused; a higher attempt can', () => {
    const db = soleVoterAfter(20_000)
    const key = uuidAt(20_000)
    admitAt(db, send(key, 2), 20_000)
    idempotency.recordRefusal(db, send(key, 2), 20_010)
    expect(dispatchAt(db, send(key, 2), 20_020)).toBe('unknown idempotency_key_unknown_history')
    expect(admitAt(db, send(key, 1), 20_030)).toBe('not_run already_refused')
    expect(admitAt(db, send(key, 3), 20_040)).toBe('run')
    expect(dispatchAt(db, send(key, 3), 20_050)).toBe('run')
  })

  test('at the capacity for records new keys are refused and old records are kept', () => {
    const db = soleVoterAfter(20_000, { keysCapacityCount: 1 })
    expect(admitAt(db, send(uuidAt(20_000)), 20_000)).toBe('run')
    expect(admitAt(db, send(uuidAt(20_001)), 20_001)).toBe('not_run overload')
    expect(admitAt(db, send(uuidAt(20_001), 2), 20_002)).toBe('unknown idempotency_key_unknown_history')
    expect(idempotency.violations(db, 20_002)).toEqual([])
  })

  test.each([
    ['a timestamp before the start', uuidAt(1_000), {}, 'not_run lease_not_held'],
    ['a timestamp too far ahead', uuidAt(23_000), {}, 'not_run idempotency_key_from_future'],
    ['a resend with a timestamp too far ahead', uuidAt(23_000), { attempt: 2 }, 'unknown idempotency_key_unknown_history'],
    ['a key of another owner', uuidAt(20_000), { ownerRevisions: [], isOwner: false }, 'not_run not_owner'],
    ['an owner only under a list without a lease', uuidAt(20_000), { ownerRevisions: [2] }, 'not_run not_owner'],
    ['a key without a timestamp', 'order-1', {}, 'not_run lease_not_held']
  ])('%s is refused with the right outcome and reason', (_name, key, changes, expected) => {
    expect(admitAt(soleVoterAfter(20_000), send(key, 1, changes), 20_000)).toBe(expected)
  })

  test('a key without a timestamp runs once the lease covers the resend window', () => {
    const db = soleVoterAfter(160_000)
    expect([admitAt(db, send('order-1'), 160_000), dispatchAt(db, send('order-1'), 160_010)]).toEqual(['run', 'run'])
  })

  test('a dropped record does not end the coverage of keys without a timestamp', () => {
    const db = soleVoterAfter(160_000)
    const key = uuidAt(40_000)
    expect([admitAt(db, send(key), 40_000), dispatchAt(db, send(key), 40_010)]).toEqual(['run', 'run'])
    idempotency.recordResult(db, send(key), Outcome.Done, null, 40_020)
    idempotency.admitSend(db, send('x', 1, { ownerRevisions: [] }), 161_000, WALL_MS + 161_000)
    idempotency.tick(db, 161_000)
    expect(db.records.size).toBe(0)
    expect(admitAt(db, send('order-1'), 161_000)).toBe('run')
  })

  test('an accepted key without a timestamp does not run when the lease has ended in the meantime', () => {
    const db = soleVoterAfter(160_000)
    expect(admitAt(db, send('order-1'), 160_000)).toBe('run')
    expect(dispatchAt(db, send('order-1'), 171_000)).toBe('not_run lease_not_held')
    expect(admitAt(db, send('order-1'), 171_000)).toBe('not_run already_refused')
  })
})

describe('voter', () => {
  const request = (changes: Partial<LeaseRequest>): LeaseRequest => ({
    kind: 'lease_request',
    requestId: 1,
    dataCentre: 'tartu',
    nodeId: 'n2',
    listRevision: 1,
    untilLabelMs: WALL_MS + 30_000,
    baseRevision: -1,
    voterIds: ['n1', 'n2', 'n3'],
    ...changes
  })
  const requestLease = (db: IdempotencyDb, changes: Partial<LeaseRequest>) =>
    idempotency.onLeaseRequest(db, request(changes), 20_000, WALL_MS + 20_000)

  test('a newer revision starts after every timestamp granted under older ones, which get no further grants', () => {
    const db = soleVoterAfter(20_000)
    requestLease(db, { listRevision: 1, untilLabelMs: WALL_MS + 31_000 })
    expect(requestLease(db, { listRevision: 3 }))
      .toMatchObject({ kind: 'lease_granted', fromLabelMs: WALL_MS + 31_000 })
    expect(requestLease(db, { listRevision: 2 })).toMatchObject({ kind: 'lease_refused', highestRevision: 3 })
  })

  test('a granted revision above the base is reported to later ones, which have to ask its voters as well', () => {
    const db = soleVoterAfter(20_000)
    requestLease(db, { listRevision: 2, voterIds: ['n1', 'n8', 'n9'] })
    expect(requestLease(db, { listRevision: 3 })).toMatchObject({
      base: { listRevision: 1 }, pending: [{ listRevision: 2, voterIds: ['n1', 'n8', 'n9'] }]
    })
  })

  test('a grant ends at most at the lease length plus the clock skew, since the lower bound after a restart relies on it', () => {
    expect(requestLease(soleVoterAfter(20_000), { untilLabelMs: WALL_MS + 9e9 }))
      .toMatchObject({ untilLabelMs: WALL_MS + 32_000 })
  })

  test('a request from another data centre or with invalid numbers is refused', () => {
    const db = soleVoterAfter(20_000)
    expect(requestLease(db, { dataCentre: 'parnu' }).kind).toBe('lease_refused')
    expect(requestLease(db, { listRevision: NaN }).kind).toBe('lease_refused')
    expect(requestLease(db, { untilLabelMs: Infinity }).kind).toBe('lease_refused')
  })

  test('a restarted voter grants no timestamp that it may have granted before the restart', () => {
    const db = idempotency.createDb(idempotency.defaults)
    idempotency.start(db, 'n1', 0, WALL_MS)
    idempotency.setVoters(db, view(1, ['n1', 'n2', 'n3']), 0, WALL_MS)
    expect(requestLease(db, {})).toMatchObject({ settled: false, fromLabelMs: WALL_MS + 12_000 })
  })

  test('a vote for an earlier request gives no lease', () => {
    const db = idempotency.createDb(idempotency.defaults)
    idempotency.start(db, 'n1', 0, WALL_MS)
    idempotency.setVoters(db, view(1, ['n2']), 0, WALL_MS)
    const voter = soleVoterAfter(20_000)
    const [first] = idempotency.leaseRequests(db, 0, WALL_MS)
    idempotency.leaseRequests(db, 2_000, WALL_MS + 2_000)
    const vote = idempotency.onLeaseRequest(voter, first!.request, 2_000, WALL_MS + 2_000)
    idempotency.onLeaseVote(db, { ...vote, voterId: 'n2' }, 2_001, WALL_MS + 2_001)
    expect(idempotency.newestLease(db)).toBeNull()
  })
})

describe('lease holder', () => {
  /** A node at revision 3 whose voters report base 1, and a function that delivers a vote to it. */
  function holderAtThree () {
    const db = idempotency.createDb(idempotency.defaults)
    idempotency.start(db, 'n1', 0, WALL_MS)
    idempotency.setVoters(db, view(3, ['e', 'f', 'g']), 0, WALL_MS)
    const [due] = idempotency.leaseRequests(db, 20_000, WALL_MS + 20_000)
    const base = { listRevision: 1, voterIds: ['a', 'b', 'c'], fromLabelMs: WALL_MS + 5 }
    const vote = (voterId: string, changes = {}) => idempotency.onLeaseVote(db, {
      kind: 'lease_granted',
      requestId: due!.request.requestId,
      voterId,
      listRevision: 3,
      fromLabelMs: WALL_MS,
      untilLabelMs: WALL_MS + 30_000,
      settled: true,
      baseRevision: 1,
      base,
      ...changes
    }, 20_001, WALL_MS + 20_001)
    return { db, vote }
  }

  test('votes of all voters of the current list are not enough without a majority of the voters of the base that a vote reports', () => {
    const { db, vote } = holderAtThree()
    for (const voterId of ['e', 'f', 'g', 'a']) vote(voterId)
    expect(idempotency.newestLease(db)).toBeNull()
    vote('b')
    expect(idempotency.newestLease(db)).toEqual({
      listRevision: 3, fromLabelMs: WALL_MS + 5, untilLabelMs: WALL_MS + 30_000
    })
  })

  test('leases of one revision that overlap or adjoin are merged and never overlap', () => {
    const db = idempotency.createDb({ ...idempotency.defaults, leaseRenewMs: 2_000 })
    idempotency.start(db, 'n1', 0, WALL_MS)
    idempotency.setVoters(db, view(1, ['e']), 0, WALL_MS)
    for (const [round, fromMs, untilMs] of [[0, 0, 30], [1, 40, 50], [2, 0, 60]] as const) {
      const [due] = idempotency.leaseRequests(db, round * 2_000, WALL_MS + round * 2_000)
      idempotency.onLeaseVote(db, {
        kind: 'lease_granted',
        requestId: due!.request.requestId,
        voterId: 'e',
        listRevision: 1,
        fromLabelMs: WALL_MS + fromMs,
        untilLabelMs: WALL_MS + untilMs,
        settled: true,
        baseRevision: -1
      }, round * 2_000, WALL_MS + round * 2_000)
      expect(idempotency.violations(db, 0)).toEqual([])
    }
    expect(db.holder.leases).toEqual([{ listRevision: 1, fromLabelMs: WALL_MS, untilLabelMs: WALL_MS + 60 }])
  })

  test('a round without a lease is followed by another one before the renewal is due, so that a lease survives lost votes', () => {
    const { db, vote } = holderAtThree()
    const sends = (nowMs: number) => idempotency.leaseRequests(db, nowMs, WALL_MS + nowMs).length > 0
    expect([sends(21_999), sends(22_000)]).toEqual([false, true])
    const renewed = holderAtThree()
    for (const voterId of ['e', 'f', 'g', 'a', 'b']) renewed.vote(voterId)
    const renews = (nowMs: number) => idempotency.leaseRequests(renewed.db, nowMs, WALL_MS + nowMs).length > 0
    expect([renews(24_999), renews(25_000)]).toEqual([false, true])
    vote('e')
    expect(idempotency.newestLease(db)).toBeNull()
  })

  test('a restarted voter does not count for the base, since it may have lost its grants under a newer list', () => {
    const { db, vote } = holderAtThree()
    for (const voterId of ['e', 'f', 'a']) vote(voterId)
    vote('b', { settled: false })
    expect(idempotency.newestLease(db)).toBeNull()
  })

  test('a majority of the voters of a pending revision has to agree as well, since it may have become a base', () => {
    const { db, vote } = holderAtThree()
    for (const voterId of ['e', 'f', 'a']) vote(voterId)
    vote('b', { pending: [{ listRevision: 2, voterIds: ['b', 'c', 'd'] }] })
    expect(idempotency.newestLease(db)).toBeNull()
    vote('d')
    expect(idempotency.newestLease(db)?.listRevision).toBe(3)
  })
})
