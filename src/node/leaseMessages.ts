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

const leaseRequestSchema = z.strictObject({
  request_id: whole,
  data_centre: name,
  node_id: name,
  list_revision: whole,
  until_label_ms: labelMs,
  base_revision: z.int().min(-1),
  base: baseTuple.optional(),
  voters: voters.optional()
}).transform((found): LeaseRequest => ({
  kind: 'lease_request',
  requestId: found.request_id,
  dataCentre: found.data_centre,
  nodeId: found.node_id,
  listRevision: found.list_revision,
  untilLabelMs: found.until_label_ms,
  baseRevision: found.base_revision,
  ...(found.base === undefined ? {} : { base: found.base }),
  ...(found.voters === undefined ? {} : { voterIds: found.voters })
}))

const grantSchema = z.strictObject({
  vote: z.literal('granted'),
  request_id: whole,
  voter_id: name,
  list_revision: whole,
  from_label_ms: labelMs,
  until_label_ms: labelMs,
  settled: z.boolean(),
  base_revision: z.int().min(-1),
  base: baseTuple.optional(),
  pending: z.array(configTuple).max(PENDING_MAX_COUNT).optional()
})

const refusalSchema = z.strictObject({
  vote: z.literal('refused'), request_id: whole, voter_id: name, highest_revision: whole
})

const voteSchema = z.discriminatedUnion('vote', [grantSchema, refusalSchema])
  .transform((found): LeaseVote => found.vote === 'granted'
    ? {
        kind: 'lease_granted',
        requestId: found.request_id,
        voterId: found.voter_id,
        listRevision: found.list_revision,
        fromLabelMs: found.from_label_ms,
        untilLabelMs: found.until_label_ms,
        settled: found.settled,
        baseRevision: found.base_revision,
        ...(found.base === undefined ? {} : { base: found.base }),
        ...(found.pending === undefined ? {} : { pending: found.pending })
      }
    : {
        kind: 'lease_refused',
        requestId: found.request_id,
        voterId: found.voter_id,
        highestRevision: found.highest_revision
      })

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
  return {
    request_id: request.requestId,
    data_centre: request.dataCentre,
    node_id: request.nodeId,
    list_revision: request.listRevision,
    until_label_ms: request.untilLabelMs,
    base_revision: request.baseRevision,
    ...(request.base === undefined ? {} : { base: baseOnWire(request.base) }),
    ...(request.voterIds === undefined ? {} : { voters: [...request.voterIds] })
  }
}

/** A voter's answer on the wire. */
export function voteResult (vote: LeaseVote): z.input<typeof voteSchema> {
  switch (vote.kind) {
    case 'lease_granted': return {
      vote: 'granted',
      request_id: vote.requestId,
      voter_id: vote.voterId,
      list_revision: vote.listRevision,
      from_label_ms: vote.fromLabelMs,
      until_label_ms: vote.untilLabelMs,
      settled: vote.settled,
      base_revision: vote.baseRevision,
      ...(vote.base === undefined ? {} : { base: baseOnWire(vote.base) }),
      ...(vote.pending === undefined
        ? {}
        : { pending: vote.pending.map((one): [number, string[]] => [one.listRevision, [...one.voterIds]]) })
    }
    case 'lease_refused': return {
      vote: 'refused', request_id: vote.requestId, voter_id: vote.voterId, highest_revision: vote.highestRevision
    }
    default: return assertNever(vote)
  }
}
