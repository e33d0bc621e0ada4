import { got } from 'got'
import { Either, Left, Right } from 'purify-ts'
import { z } from 'zod'

/** Status answers grow with the number of documents and callers; about 400 services stay well below this limit. */
const ANSWER_MAX_BYTES = 16 * 2 ** 20

const statusSchema = z.object({
  node_id: z.string(),
  service: z.string(),
  data_centre: z.string(),
  incarnation: z.string(),
  state: z.string(),
  backend_server: z.string(),
  gate: z.object({
    inFlightCount: z.number(),
    queuedCount: z.number(),
    limitCount: z.number(),
    cutLevel: z.number(),
    saturated: z.boolean()
  }),
  documents: z.array(z.object({
    service: z.string(), version: z.number(), revision: z.number(), in_force_for_ms: z.number()
  })),
  rejected_documents: z.array(z.object({
    key: z.string(),
    revision: z.number(),
    faults: z.array(z.object({ path: z.string(), line: z.number().nullable(), reason: z.string() }))
  })),
  leaving_vms: z.array(z.string()),
  quarantined: z.array(z.object({
    fingerprint: z.object({ serviceName: z.string(), routeName: z.string(), bodyHash: z.number() }),
    untilMs: z.number()
  })),
  lease: z.object({ listRevision: z.number(), fromLabelMs: z.number(), untilLabelMs: z.number() }).nullable(),
  control_bytes_per_s: z.number()
})

/** The fields of a node's `/status` that are displayed or compared. */
export type NodeStatus = z.infer<typeof statusSchema>

/** Status of one node, or the reason why it is not available. */
export interface NodeAnswer {
  readonly address: string
  readonly result: Either<string, NodeStatus>
}

async function fetchStatus (address: string, timeoutMs: number): Promise<Either<string, NodeStatus>> {
  const aborter = new AbortController()
  try {
    const request = got(`http://${address}/status`, {
      timeout: { request: timeoutMs }, retry: { limit: 0 }, followRedirect: false, signal: aborter.signal
    })
    // Aborts an endless answer before it exhausts the memory.
    void request.on('downloadProgress', ({ transferred }) => {
      if (transferred > ANSWER_MAX_BYTES) aborter.abort()
    })
    const parsed = statusSchema.safeParse(JSON.parse(await request.text()))
    if (parsed.success) return Right(parsed.data)
    const [issue] = parsed.error.issues
    return Left(`not the status of a node: ${issue?.path.join('.')}: ${issue?.message}`)
  } catch (error) {
    if (aborter.signal.aborted) return Left('the answer is larger than 16 MB')
    if (error instanceof SyntaxError) return Left('the answer is not JSON')
    return Left(error instanceof Error ? error.message : String(error))
  }
}

/**
 * Requests the status of nodes from their operator addresses, with a limited number
 * of concurrent requests. The results are in the order of the addresses.
 *
 * @example
 * const asked = await requestNodeStatuses(['10.0.0.1:9100'], { timeoutMs: 2_000, atOnceCount: 32 })
 *
 * Errors: if the answer is missing, late or invalid, the result of that node is a Left with the reason.
 */
export async function requestNodeStatuses (
  addresses: readonly string[], { timeoutMs, atOnceCount }: { readonly timeoutMs: number, readonly atOnceCount: number }
): Promise<NodeAnswer[]> {
  const answers = new Array<NodeAnswer>(addresses.length)
  const queue = addresses.entries()
  const fetchRemaining = async (): Promise<void> => {
    for (const [index, address] of queue) answers[index] = { address, result: await fetchStatus(address, timeoutMs) }
  }
  await Promise.all(Array.from({ length: Math.min(atOnceCount, addresses.length) }, fetchRemaining))
  return answers
}
