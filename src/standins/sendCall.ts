import { Pool } from 'undici'
import type { Dispatcher } from 'undici'
import { checkAnswer } from './answerText.js'
import type { LoadStream } from './loadPlan.js'

/** Result of one send from the caller's point of view. */
export enum SendResult {
  /** A complete answer that belongs to this call. */
  Whole = 'whole',
  /** An answer with a status other than 200, in which no refusal or unknown outcome is reported. */
  Failed = 'failed',
  /** The node reported that the call did not run, or the backend server shed it. */
  NotRun = 'not_run',
  /** The node reported that the call may have run. */
  Unknown = 'unknown',
  /** No answer before the timeout, or the connection failed. */
  NoAnswer = 'no_answer',
  /** A cleanly ended answer with status 200 that is damaged or belongs to another call. */
  Wrong = 'wrong'
}

export interface SendEnd {
  readonly result: SendResult
  readonly reason: string
}

export interface SendSpec {
  readonly stream: LoadStream
  readonly rootId: string
  readonly key: string | undefined
  readonly attempt: number
  readonly timeoutMs: number
}

function headerText (value: string | string[] | undefined): string {
  return Array.isArray(value) ? value[0] ?? '' : value ?? ''
}

/**
 * Classifies an answer that ended cleanly.
 *
 * @example
 * classifyAnswer(503, { 'ragwortspur-outcome': 'not_run', 'ragwortspur-reason': 'overload' }, '{}', spec)
 */
export function classifyAnswer (
  status: number, headers: Record<string, string | string[] | undefined>, text: string, spec: SendSpec
): SendEnd {
  const outcome = headerText(headers['ragwortspur-outcome'])
  const reason = headerText(headers['ragwortspur-reason'])
  if (outcome === 'not_run') return { result: SendResult.NotRun, reason }
  if (outcome === 'unknown') return { result: SendResult.Unknown, reason }
  if (status !== 200) {
    const shed = headers['ragwortspur-backend-status'] === 'shed'
    return shed ? { result: SendResult.NotRun, reason: 'backend_shed' } : { result: SendResult.Failed, reason: String(status) }
  }
  const check = checkAnswer(text, spec.rootId, spec.stream.service)
  return check.kind === 'own' ? { result: SendResult.Whole, reason: '' } : { result: SendResult.Wrong, reason: check.kind }
}

function requestHeaders (spec: SendSpec): Record<string, string> {
  const headers: Record<string, string> = {
    'ragwortspur-caller': spec.stream.caller,
    'ragwortspur-service': spec.stream.service,
    'ragwortspur-root': spec.rootId,
    'ragwortspur-attempt': String(spec.attempt),
    'ragwortspur-deadline-ms': String(spec.stream.deadline_ms)
  }
  if (spec.key !== undefined) headers['idempotency-key'] = spec.key
  return headers
}

/** undici handler of one send. Calls `onEnd` once, with the first result, which may be a timeout. */
class SendHandler implements Dispatcher.DispatchHandler {
  readonly #spec: SendSpec
  readonly #onEnd: (end: SendEnd) => void
  readonly #timer: NodeJS.Timeout
  readonly #chunks: Buffer[] = []
  #controller: Dispatcher.DispatchController | undefined
  #status = 0
  #headers: Record<string, string | string[] | undefined> = {}
  #isFinished = false

  constructor (spec: SendSpec, onEnd: (end: SendEnd) => void) {
    this.#spec = spec
    this.#onEnd = onEnd
    this.#timer = setTimeout(() => {
      const { isDispatched } = this
      this.#finish({ result: SendResult.NoAnswer, reason: isDispatched ? 'timeout' : 'not_sent' })
      this.#controller?.abort(new Error('timeout'))
    }, spec.timeoutMs)
  }

  get isDispatched (): boolean {
    return this.#controller !== undefined
  }

  onRequestStart (controller: Dispatcher.DispatchController): void {
    this.#controller = controller
    if (this.#isFinished) controller.abort(new Error('timeout'))
  }

  onResponseStart (
    _controller: Dispatcher.DispatchController, status: number, headers: Record<string, string | string[] | undefined>
  ): void {
    this.#status = status
    this.#headers = headers
  }

  onResponseData (_controller: Dispatcher.DispatchController, chunk: Buffer): void {
    this.#chunks.push(chunk)
  }

  onResponseEnd (): void {
    const [first] = this.#chunks
    const text = this.#chunks.length === 1 && first !== undefined
      ? first.toString('utf8')
      : Buffer.concat(this.#chunks).toString('utf8')
    this.#finish(classifyAnswer(this.#status, this.#headers, text, this.#spec))
  }

  onResponseError (_controller: Dispatcher.DispatchController, error: Error): void {
    this.#finish({ result: SendResult.NoAnswer, reason: (error as { code?: string }).code ?? error.name })
  }

  #finish (end: SendEnd): void {
    if (this.#isFinished) return
    this.#isFinished = true
    clearTimeout(this.#timer)
    this.#onEnd(end)
  }
}

/**
 * Sends calls to nodes, over one connection pool for each target.
 *
 * @example
 * new Sender(['127.0.0.1:8080'], 64).send(0, spec, end => end.result)
 */
export class Sender {
  readonly #pools: Pool[]

  constructor (targets: readonly string[], connectionsPerTargetCount: number) {
    this.#pools = targets.map(target => new Pool(`http://${target}`, {
      connections: connectionsPerTargetCount, pipelining: 1, headersTimeout: 0, bodyTimeout: 0
    }))
  }

  get targetsCount (): number {
    return this.#pools.length
  }

  send (targetIndex: number, spec: SendSpec, onEnd: (end: SendEnd) => void): void {
    const body = spec.stream.method === 'GET' ? null : `{"root":"${spec.rootId}"}`
    this.#pools[targetIndex]?.dispatch({
      method: spec.stream.method as Dispatcher.HttpMethod, path: spec.stream.path, headers: requestHeaders(spec), body
    }, new SendHandler(spec, onEnd))
  }

  async close (): Promise<void> {
    await Promise.all(this.#pools.map(async pool => await pool.destroy()))
  }
}
