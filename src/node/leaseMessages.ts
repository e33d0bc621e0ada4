import { Either, Left, Right } from 'purify-ts'
import { z } from 'zod'
import type { LeaseBase, LeaseRequest, LeaseVote, VoterConfig } from '../core/idempotency/idempotencyTypes.js'
import { assertNever } from '../errors/errors.js'

/** Larger than the number of voters of any data centre; rejects longer lists from a faulty peer. */
const VOTERS_MAX_COUNT = 15
const PENDING_MAX_COUNT = 8

const wholeNumber = z.int().nonnegative()
const nameSchema = z.string().min(1).max(100)
const timestampMs = z.number().nonnegative()
const voters = z.array(nameSchema).max(VOTERS_MAX_COUNT)

const configTuple = z.tuple([wholeNumber, voters])
  .transform(([listRevision, voterIds]): VoterConfig => ({ listRevision, voterIds }))
const baseTuple = z.tuple([wholeNumber, voters, timestampMs])
  .transform(([listRevision, voterIds, fromLabelMs]): LeaseBase => ({ listRevision, voterIds, fromLabelMs }))

// Requests and votes are most of a voter's control traffic, so they are encoded as tuples without field names.
const leaseRequestSchema = z.tuple([
  wholeNumber, nameSchema, nameSchema, wholeNumber, timestampMs, z.int().min(-1), baseTuple.nullable(),
  voters.nullable()
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
  z.literal('granted'), wholeNumber, nameSchema, wholeNumber, timestampMs, timestampMs, z.boolean(),
  z.int().min(-1), baseTuple.nullable(), z.array(configTuple).max(PENDING_MAX_COUNT)
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

const refusalSchema = z.tuple([z.literal('refused'), wholeNumber, nameSchema, wholeNumber])
  .transform(([, requestId, voterId, highestRevision]): LeaseVote => ({
    kind: 'lease_refused', requestId, voterId, highestRevision
  }))

const voteSchema = z.union([grantSchema, refusalSchema])

function parseWith<T> (schema: z.ZodType<T>, value: unknown): Either<string, T> {
  const result = schema.safeParse(value)
  return result.success ? Right(result.data) : Left(result.error.issues[0]?.message ?? 'invalid value')
}

function encodeBase (base: LeaseBase): [number, string[], number] {
  return [base.listRevision, [...base.voterIds], base.fromLabelMs]
}

/** Decodes the parameters of a lease request. Errors: the first validation error. */
export function readLeaseRequest (params: unknown): Either<string, LeaseRequest> {
  return parseWith(leaseRequestSchema, params)
}

/** Decodes a voter's answer. Errors: the first validation error. */
export function readVote (result: unknown): Either<string, LeaseVote> {
  return parseWith(voteSchema, result)
}

/** Encodes the parameters of a lease request. */
export function encodeLeaseRequest (request: LeaseRequest): z.input<typeof leaseRequestSchema> {
  const { requestId, dataCentre, nodeId, listRevision, untilLabelMs, baseRevision, base, voterIds } = request
  return [
    requestId, dataCentre, nodeId, listRevision, untilLabelMs, baseRevision,
    base === undefined ? null : encodeBase(base), voterIds === undefined ? null : [...voterIds]
  ]
}

/** Encodes a voter's answer. */
export function encodeVote (vote: LeaseVote): z.input<typeof voteSchema> {
  switch (vote.kind) {
    case 'lease_granted': return [
      'granted', vote.requestId, vote.voterId, vote.listRevision, vote.fromLabelMs, vote.untilLabelMs, vote.settled,
      vote.baseRevision, vote.base === undefined ? null : encodeBase(vote.base),
      (vote.pending ?? []).map((one): [number, string[]] => [one.listRevision, [...one.voterIds]])
    ]
    case 'lease_refused': return ['refused', vote.requestId, vote.voterId, vote.highestRevision]
    default: return assertNever(vote)
  }
}
