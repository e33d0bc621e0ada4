import { createJSONRPCNotification } from 'json-rpc-2.0'
import { Either, Left, Right } from 'purify-ts'
import { z } from 'zod'
import type { Millis } from '../clock/clock.js'
import { BUCKETS_COUNT } from '../core/documents/documentsDb.js'
import type { GossipMessage } from '../core/documents/documentsTypes.js'
import type { Fingerprint } from '../core/retry/retryTypes.js'
import { assertNever } from '../errors/errors.js'

/** Largest datagram: it passes every common link without fragments. */
export const DATAGRAM_MAX_BYTES = 1_200

/** A message that needs no answer. */
export type PeerMessage =
  /** `callPort` is the sender's call port, from which values can be pulled. */
  | (Extract<GossipMessage, { kind: 'marks' }> & { readonly callPort: number })
  | Exclude<GossipMessage, { kind: 'marks' }>
  | { readonly kind: 'draining', readonly vmId: string, readonly isDraining: boolean }
  | { readonly kind: 'quarantine_hint', readonly fingerprint: Fingerprint, readonly forMs: Millis }

const whole = z.int().nonnegative()
const uint32 = z.int().min(0).max(0xffff_ffff)
const name = z.string().min(1).max(100)
const list = <T extends z.ZodType>(element: T): z.ZodArray<T> => z.array(element).max(200)

const markTuple = z.tuple([name, whole, whole, uint32])
  .transform(([key, version, revision, hash]) => ({ key, version, revision, hash }))
const confirmationTuple = z.tuple([name, whole, whole])
  .transform(([key, revision, ageMs]) => ({ key, revision, ageMs }))

// Lists travel as tuples without field names, which halves the bytes of a digest exchange.
const schemas = {
  marks: z.strictObject({ marks: list(markTuple), call_port: z.int().min(1).max(65_535) })
    .transform((found): PeerMessage => ({ kind: 'marks', marks: found.marks, callPort: found.call_port })),
  digest: z.strictObject({
    digest: uint32,
    count: whole,
    buckets: z.array(uint32).length(BUCKETS_COUNT).optional(),
    confirmed: list(confirmationTuple).optional()
  }).transform((found): PeerMessage => ({ kind: 'digest', ...found })),
  want: z.strictObject({ keys: list(name), buckets: list(z.int().min(0).max(BUCKETS_COUNT - 1)).optional() })
    .transform((found): PeerMessage => ({ kind: 'want', ...found })),
  read: z.strictObject({ keys: list(name) }).transform((found): PeerMessage => ({ kind: 'read', ...found })),
  draining: z.strictObject({ vm_id: name, is_draining: z.boolean() })
    .transform((found): PeerMessage => ({ kind: 'draining', vmId: found.vm_id, isDraining: found.is_draining })),
  quarantine_hint: z.strictObject({
    service: name, route: name, body_hash: uint32, for_ms: z.number().min(0).max(600_000)
  }).transform((found): PeerMessage => ({
    kind: 'quarantine_hint',
    fingerprint: { serviceName: found.service, routeName: found.route, bodyHash: found.body_hash },
    forMs: found.for_ms
  }))
} as const

function checked<T> (schema: z.ZodType<T>, value: unknown): Either<string, T> {
  const result = schema.safeParse(value)
  return result.success ? Right(result.data) : Left(result.error.issues[0]?.message ?? 'wrong')
}

/** Methods whose messages need no answer. */
export const MESSAGE_METHODS = Object.keys(schemas) as ReadonlyArray<keyof typeof schemas>

/** Checks the parameters of a message. Errors: what is wrong. */
export function readMessage (method: keyof typeof schemas, params: unknown): Either<string, PeerMessage> {
  return checked<PeerMessage>(schemas[method] as z.ZodType<PeerMessage>, params)
}

/** Room for the envelope and the other parameters beside a list. */
const LIST_MAX_BYTES = DATAGRAM_MAX_BYTES - 120

function chunks<T> (entries: readonly T[]): T[][] {
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

function paramsOf (message: PeerMessage): object[] {
  switch (message.kind) {
    case 'marks':
      return chunks(message.marks.map(mark => [mark.key, mark.version, mark.revision, mark.hash]))
        .map(marks => ({ marks, call_port: message.callPort }))
    case 'digest': {
      const { digest, count, buckets } = message
      const confirmed = message.confirmed?.map(one => [one.key, one.revision, Math.round(one.ageMs)])
      return [{ digest, count, buckets, confirmed }]
    }
    case 'want': {
      const parts = chunks(message.keys)
      const buckets = message.buckets ?? []
      if (parts.length === 0) return [{ keys: [], buckets }]
      return parts.map((keys, index) => ({ keys, buckets: index === 0 ? buckets : [] }))
    }
    case 'read': return chunks(message.keys).map(keys => ({ keys }))
    case 'draining': return [{ vm_id: message.vmId, is_draining: message.isDraining }]
    case 'quarantine_hint': {
      const { serviceName, routeName, bodyHash } = message.fingerprint
      return [{ service: serviceName, route: routeName, body_hash: bodyHash, for_ms: message.forMs }]
    }
    default: return assertNever(message)
  }
}

/**
 * Datagrams of a message; a long list is split over several.
 *
 * @example
 * encodeMessage({ kind: 'read', keys: ['catalogue'] }) // one datagram
 */
export function encodeMessage (message: PeerMessage): string[] {
  return paramsOf(message).map(params => JSON.stringify(createJSONRPCNotification(message.kind, params)))
}
