import { Either, Left, Right } from 'purify-ts'
import { z } from 'zod'
import type { LeaseBase, LeaseRequest, LeaseVote, VoterConfig } from '../core/idempotency/idempotencyTypes.js'
import { assertNever } from '../errors/errors.js'

/** More voters than any data centre has, so that a faulty peer cannot send long lists. */
const VOTERS_MAX_COUNT = 15
const PENDING_MAX_COUNT = 8

const whole = z.int().nonnegative()
const name = z.string().min(1).max(100)
const labelMs = z.number().nonnegative()
const voters = z.array(name).max(VOTERS_MAX_COUNT)

const configTuple = z.tuple([whole, voters])
  .transform(([listRevision, voterIds]): VoterConfig => ({ listRevision, voterIds }))
const baseTuple = z.tuple([whole, voters, labelMs])
  .transform(([listRevision, voterIds, fromLabelMs]): LeaseBase => ({ listRevision, voterIds, fromLabelMs }))

// Requests and votes are most of the control bytes of a voter, so they travel as tuples without field names.
const leaseRequestSchema = z.tuple([
  whole, name, name, whole, labelMs, z.int().min(-1), baseTuple.nullable(), voters.nullable()
]).transform(([
  requestId, dataCentre, nodeId, listRevision, untilLabelMs, baseRevision, base, voterIds
]): LeaseRequest => ({
  kind: 'lease_request',
  requestId,
  dataCentre,
  nodeId,
  listRevision,
  untilLabelMs,
  baseRevision,
  ...(base === null ? {} : { base }),
  ...(voterIds === null ? {} : { voterIds })
}))

const grantSchema = z.tuple([
  z.literal('granted'), whole, name, whole, labelMs, labelMs, z.boolean(), z.int().min(-1), baseTuple.nullable(),
  z.array(configTuple).max(PENDING_MAX_COUNT)
]).transform(([
  , requestId, voterId, listRevision, fromLabelMs, untilLabelMs, settled, baseRevision, base, pending
]): LeaseVote => ({
  kind: 'lease_granted',
  requestId,
  voterId,
  listRevision,
  fromLabelMs,
  untilLabelMs,
  settled,
  baseRevision,
  ...(base === null ? {} : { base }),
  ...(pending.length === 0 ? {} : { pending })
}))

const refusalSchema = z.tuple([z.literal('refused'), whole, name, whole])
  .transform(([, requestId, voterId, highestRevision]): LeaseVote => ({
    kind: 'lease_refused', requestId, voterId, highestRevision
  }))

const voteSchema = z.union([grantSchema, refusalSchema])

function checked<T> (schema: z.ZodType<T>, value: unknown): Either<string, T> {
  const result = schema.safeParse(value)
  return result.success ? Right(result.data) : Left(result.error.issues[0]?.message ?? 'wrong')
}

function baseOnWire (base: LeaseBase): [number, string[], number] {
  return [base.listRevision, [...base.voterIds], base.fromLabelMs]
}

/** Checks the parameters of a lease request. Errors: what is wrong. */
export function readLeaseRequest (params: unknown): Either<string, LeaseRequest> {
  return checked(leaseRequestSchema, params)
}

/** Checks a voter's answer. Errors: what is wrong. */
export function readVote (result: unknown): Either<string, LeaseVote> {
  return checked(voteSchema, result)
}

/** Parameters of a lease request on the wire. */
export function leaseRequestParams (request: LeaseRequest): z.input<typeof leaseRequestSchema> {
  const { requestId, dataCentre, nodeId, listRevision, untilLabelMs, baseRevision, base, voterIds } = request
  return [
    requestId, dataCentre, nodeId, listRevision, untilLabelMs, baseRevision,
    base === undefined ? null : baseOnWire(base), voterIds === undefined ? null : [...voterIds]
  ]
}

/** A voter's answer on the wire. */
export function voteResult (vote: LeaseVote): z.input<typeof voteSchema> {
  switch (vote.kind) {
    case 'lease_granted': return [
      'granted', vote.requestId, vote.voterId, vote.listRevision, vote.fromLabelMs, vote.untilLabelMs, vote.settled,
      vote.baseRevision, vote.base === undefined ? null : baseOnWire(vote.base),
      (vote.pending ?? []).map((one): [number, string[]] => [one.listRevision, [...one.voterIds]])
    ]
    case 'lease_refused': return ['refused', vote.requestId, vote.voterId, vote.highestRevision]
    default: return assertNever(vote)
  }
}
