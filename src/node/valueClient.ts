import { Agent } from 'node:http'
import { got } from 'got'
import { Either, Left, Right } from 'purify-ts'
import { z } from 'zod'
import type { Millis } from '../clock/clock.js'
import { VALUE_MAX_BYTES } from '../core/documents/publishedText.js'
import type { PublishedValue } from '../core/documents/documentsTypes.js'
import { Step, StepError } from '../errors/errors.js'
import type { ControlBytes } from './controlBytes.js'

/** Enough for a value of the greatest size whose line ends and quotes are escaped in JSON. */
const ANSWER_MAX_BYTES = 2.5 * VALUE_MAX_BYTES

const answerSchema = z.object({
  key: z.string().min(1).max(100),
  revision: z.int().nonnegative(),
  value: z.union([z.string(), z.record(z.string(), z.unknown())])
}).transform(({ key, revision, value }): PublishedValue =>
  ({ key, revision, text: typeof value === 'string' ? value : JSON.stringify(value) }))

/** Approximate size of the request line and headers that got sends besides the URL. */
const REQUEST_HEAD_BYTES = 130
const STATUS_LINE_BYTES = 17

/** Result of a conditional read. */
export type ValueAnswer =
  | { readonly kind: 'newer', readonly value: PublishedValue }
  | { readonly kind: 'unchanged' }
  /** The revision is not newer than `afterRevision`, for example because the platform serves an old version. */
  | { readonly kind: 'older', readonly revision: number }

export interface ValueReadRequest {
  /** URL up to and including the slash before the key. */
  readonly baseUrl: string
  readonly key: string
  readonly afterRevision: number
  readonly step: Step
}

export interface ValueClientOptions {
  readonly timeoutMs: Millis
  readonly connectionsPerPeerCount: number
  /** Whether connections stay open for the next read from the same peer. */
  readonly keepAlive: boolean
}

/** HTTP client for conditional reads of published values from the platform or a peer. */
export class ValueClient {
  readonly bytes: ControlBytes = { sentBytes: 0, receivedBytes: 0 }
  readonly #options: ValueClientOptions
  readonly #agent: Agent
  readonly #abortController = new AbortController()

  constructor (options: ValueClientOptions) {
    this.#options = options
    this.#agent = new Agent({
      keepAlive: options.keepAlive, maxSockets: options.connectionsPerPeerCount, maxFreeSockets: 8, timeout: 60_000
    })
  }

  /** Sends one read without retries. Errors: no complete answer in time, an unexpected status or an invalid body. */
  async read (read: ValueReadRequest): Promise<Either<StepError, ValueAnswer>> {
    try {
      const { statusCode, body } = await this.#sendGet(read)
      if (statusCode === 204) return Right({ kind: 'unchanged' })
      if (statusCode !== 200) return Left(this.#readError(read, `unexpected status ${statusCode}`))
      const value = answerSchema.parse(JSON.parse(body))
      if (value.key !== read.key) return Left(this.#readError(read, `the answer is for the key ${value.key}`))
      if (value.revision <= read.afterRevision) return Right({ kind: 'older', revision: value.revision })
      return Right({ kind: 'newer', value })
    } catch (error) {
      return Left(this.#readError(read, error instanceof z.ZodError ? 'the answer has an invalid format' : String(error)))
    }
  }

  /** Aborts all reads and closes all connections. */
  close (): void {
    this.#abortController.abort()
    this.#agent.destroy()
  }

  #readError (read: ValueReadRequest, reason: string): StepError {
    return new StepError(read.step, read.baseUrl, `cannot read ${read.key}: ${reason}`)
  }

  async #sendGet (read: ValueReadRequest): Promise<{ statusCode: number, body: string }> {
    const sizeLimitAbort = new AbortController()
    const url = `${read.baseUrl}${read.key}?after=${read.afterRevision}&wait_ms=0`
    this.bytes.sentBytes += url.length + REQUEST_HEAD_BYTES
    const request = got(url, {
      agent: { http: this.#agent },
      timeout: { request: this.#options.timeoutMs },
      retry: { limit: 0 },
      throwHttpErrors: false,
      followRedirect: false,
      decompress: false,
      signal: AbortSignal.any([this.#abortController.signal, sizeLimitAbort.signal])
    })
    request.on('downloadProgress', progress => {
      if (progress.transferred > ANSWER_MAX_BYTES) sizeLimitAbort.abort()
    })
    const response = await request
    const headBytes = response.rawHeaders.reduce((sum, text) => sum + text.length + 2, STATUS_LINE_BYTES)
    this.bytes.receivedBytes += response.rawBody.length + headBytes
    return { statusCode: response.statusCode, body: response.body }
  }
}

/** Options of a client that reads from peers. Reads from one peer are too rare to keep connections open. */
export const PEER_CLIENT_DEFAULTS: ValueClientOptions = {
  timeoutMs: 2_000, connectionsPerPeerCount: 4, keepAlive: false
}

/** Path prefix, before the key, under which a node serves published values on its call port. */
export const PEER_VALUES_PATH = '/ragwortspur/values/'

/**
 * Reads a value from the call port of a peer.
 *
 * @example
 * await readFromPeer(client, '10.0.0.7:7400', 'documents/invoicing')
 *
 * Errors: as for `ValueClient.read`.
 */
export function readFromPeer (
  client: ValueClient, callAddress: string, key: string
): Promise<Either<StepError, ValueAnswer>> {
  const baseUrl = `http://${callAddress}${PEER_VALUES_PATH}`
  return client.read({ baseUrl, key, afterRevision: 0, step: Step.PeerMessage })
}
