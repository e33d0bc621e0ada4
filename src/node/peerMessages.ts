import { createJSONRPCNotification } from 'json-rpc-2.0'
import { Either, Left, Right } from 'purify-ts'
import { z } from 'zod'
import type { Millis } from '../clock/clock.js'
import { BUCKETS_COUNT } from '../core/documents/documentsDb.js'
import type { GossipMessage } from '../core/documents/documentsTypes.js'
import type { Fingerprint } from '../core/retry/retryTypes.js'
import { assertNever } from '../errors/errors.js'

/** Largest datagram; small enough to pass common networks without IP fragmentation. */
export const DATAGRAM_MAX_BYTES = 1_200

/** A one-way message between nodes. */
export type PeerMessage =
  /** `callPort` is the sender's call port, on which it serves values. */
  | (Extract<GossipMessage, { kind: 'marks' }> & { readonly callPort: number })
  | Exclude<GossipMessage, { kind: 'marks' }>
  | { readonly kind: 'draining', readonly vmId: string, readonly isDraining: boolean }
  | { readonly kind: 'quarantine_hint', readonly fingerprint: Fingerprint, readonly forMs: Millis }

const wholeNumber = z.int().nonnegative()
const uint32 = z.int().min(0).max(0xffff_ffff)
const nameSchema = z.string().min(1).max(100)
const boundedList = <T extends z.ZodType>(element: T): z.ZodArray<T> => z.array(element).max(200)

const summaryTuple = z.tuple([nameSchema, wholeNumber, wholeNumber, uint32])
  .transform(([key, version, revision, hash]) => ({ key, version, revision, hash }))
const confirmationTuple = z.tuple([nameSchema, wholeNumber, wholeNumber])
  .transform(([key, revision, ageMs]) => ({ key, revision, ageMs }))

// List entries are encoded as tuples without field names, which halves the bytes of a digest exchange.
const schemas = {
  marks: z.strictObject({ marks: boundedList(summaryTuple), call_port: z.int().min(1).max(65_535) })
    .transform((found): PeerMessage => ({ kind: 'marks', marks: found.marks, callPort: found.call_port })),
  digest: z.strictObject({
    digest: uint32,
    count: wholeNumber,
    buckets: z.array(uint32).length(BUCKETS_COUNT).optional(),
    confirmed: boundedList(confirmationTuple).optional()
  }).transform((found): PeerMessage => ({ kind: 'digest', ...found })),
  want: z.strictObject({
    keys: boundedList(nameSchema), buckets: boundedList(z.int().min(0).max(BUCKETS_COUNT - 1)).optional()
  })
    .transform((found): PeerMessage => ({ kind: 'want', ...found })),
  read: z.strictObject({ keys: boundedList(nameSchema) }).transform((found): PeerMessage => ({ kind: 'read', ...found })),
  draining: z.strictObject({ vm_id: nameSchema, is_draining: z.boolean() })
    .transform((found): PeerMessage => ({ kind: 'draining', vmId: found.vm_id, isDraining: found.is_draining })),
  quarantine_hint: z.strictObject({
    service: nameSchema, route: nameSchema, body_hash: uint32, for_ms: z.number().min(0).max(600_000)
  }).transform((found): PeerMessage => ({
    kind: 'quarantine_hint',
    fingerprint: { serviceName: found.service, routeName: found.route, bodyHash: found.body_hash },
    forMs: found.for_ms
  }))
} as const

function parseWith<T> (schema: z.ZodType<T>, value: unknown): Either<string, T> {
  const result = schema.safeParse(value)
  return result.success ? Right(result.data) : Left(result.error.issues[0]?.message ?? 'invalid value')
}

/** JSON-RPC methods of the one-way messages. */
export const MESSAGE_METHODS = Object.keys(schemas) as ReadonlyArray<keyof typeof schemas>

/** Validates the parameters of a message. Errors: the first validation error. */
export function readMessage (method: keyof typeof schemas, params: unknown): Either<string, PeerMessage> {
  return parseWith<PeerMessage>(schemas[method] as z.ZodType<PeerMessage>, params)
}

/** Largest encoded list; the rest of the datagram holds the JSON-RPC envelope and the other parameters. */
const LIST_MAX_BYTES = DATAGRAM_MAX_BYTES - 120

function splitBySize<T> (entries: readonly T[]): T[][] {
  const parts: T[][] = []
  let sizeBytes = LIST_MAX_BYTES
  for (const entry of entries) {
    const entryBytes = Buffer.byteLength(JSON.stringify(entry)) + 1
    if (sizeBytes + entryBytes > LIST_MAX_BYTES) {
      parts.push([])
      sizeBytes = 0
    }
    parts.at(-1)!.push(entry)
    sizeBytes += entryBytes
  }
  return parts
}

function encodeParams (message: PeerMessage): object[] {
  switch (message.kind) {
    case 'marks':
      return splitBySize(message.marks.map(mark => [mark.key, mark.version, mark.revision, mark.hash]))
        .map(marks => ({ marks, call_port: message.callPort }))
    case 'digest': {
      const { digest, count, buckets } = message
      const confirmed = message.confirmed?.map(one => [one.key, one.revision, Math.round(one.ageMs)])
      return [{ digest, count, buckets, confirmed }]
    }
    case 'want': {
      const parts = splitBySize(message.keys)
      const buckets = message.buckets ?? []
      if (parts.length === 0) return [{ keys: [], buckets }]
      return parts.map((keys, index) => ({ keys, buckets: index === 0 ? buckets : [] }))
    }
    case 'read': return splitBySize(message.keys).map(keys => ({ keys }))
    case 'draining': return [{ vm_id: message.vmId, is_draining: message.isDraining }]
    case 'quarantine_hint': {
      const { serviceName, routeName, bodyHash } = message.fingerprint
      return [{ service: serviceName, route: routeName, body_hash: bodyHash, for_ms: message.forMs }]
    }
    default: return assertNever(message)
  }
}

/**
 * Encodes a message as datagrams; a long list is split over several.
 *
 * @example
 * encodeMessage({ kind: 'read', keys: ['catalogue'] }) // one datagram
 */
export function encodeMessage (message: PeerMessage): string[] {
  return encodeParams(message).map(params => JSON.stringify(createJSONRPCNotification(message.kind, params)))
}
