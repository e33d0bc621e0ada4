import { Pool } from 'undici'
import type { Dispatcher } from 'undici'
import { checkAnswer } from './answerText.js'
import type { LoadStream } from './loadPlan.js'

/** How one send ended, as the caller sees it. */
export enum SendResult {
  /** A whole answer of the caller's own call. */
  Whole = 'whole',
  /** The backend server answered that the call failed. */
  Failed = 'failed',
  /** The node reported that the call did not run. */
  NotRun = 'not_run',
  /** The node reported that the call may have run. */
  Unknown = 'unknown',
  /** No answer in time, or the connection broke. */
  NoAnswer = 'no_answer',
  /** An answer that is another call's or damaged, yet ended as if it were whole. */
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

function textOf (value: string | string[] | undefined): string {
  return Array.isArray(value) ? value[0] ?? '' : value ?? ''
}

/**
 * Classifies a complete answer.
 *
 * @example
 * classifyAnswer(503, { 'ragwortspur-outcome': 'not_run', 'ragwortspur-reason': 'overload' }, '{}', spec)
 */
export function classifyAnswer (
  status: number, headers: Record<string, string | string[] | undefined>, text: string, spec: SendSpec
): SendEnd {
  const outcome = textOf(headers['ragwortspur-outcome'])
  const reason = textOf(headers['ragwortspur-reason'])
  if (outcome === 'not_run') return { result: SendResult.NotRun, reason }
  if (outcome === 'unknown') return { result: SendResult.Unknown, reason }
  if (status !== 200) {
    const shed = headers['ragwortspur-backend-status'] === 'shed'
    return shed ? { result: SendResult.NotRun, reason: 'backend_shed' } : { result: SendResult.Failed, reason: String(status) }
  }
  const check = checkAnswer(text, spec.rootId, spec.stream.service)
  return check.kind === 'own' ? { result: SendResult.Whole, reason: '' } : { result: SendResult.Wrong, reason: check.kind }
}

function headersOf (spec: SendSpec): Record<string, string> {
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

/** One send as an undici handler; ends once, with a result. */
class SendHandler implements Dispatcher.DispatchHandler {
  readonly #spec: SendSpec
  readonly #onEnd: (end: SendEnd) => void
  readonly #timer: NodeJS.Timeout
  readonly #chunks: Buffer[] = []
  #controller: Dispatcher.DispatchController | undefined
  #status = 0
  #headers: Record<string, string | string[] | undefined> = {}
  #ended = false

  constructor (spec: SendSpec, onEnd: (end: SendEnd) => void) {
    this.#spec = spec
    this.#onEnd = onEnd
    this.#timer = setTimeout(() => {
      const { started } = this
      this.#end({ result: SendResult.NoAnswer, reason: started ? 'timeout' : 'not_sent' })
      this.#controller?.abort(new Error('timeout'))
    }, spec.timeoutMs)
  }

  get started (): boolean {
    return this.#controller !== undefined
  }

  onRequestStart (controller: Dispatcher.DispatchController): void {
    this.#controller = controller
    if (this.#ended) controller.abort(new Error('timeout'))
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
    this.#end(classifyAnswer(this.#status, this.#headers, text, this.#spec))
  }

  onResponseError (_controller: Dispatcher.DispatchController, error: Error): void {
    this.#end({ result: SendResult.NoAnswer, reason: (error as { code?: string }).code ?? error.name })
  }

  #end (end: SendEnd): void {
    if (this.#ended) return
    this.#ended = true
    clearTimeout(this.#timer)
    this.#onEnd(end)
  }
}

/**
 * Connections to the nodes that a caller uses.
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
      method: spec.stream.method as Dispatcher.HttpMethod, path: spec.stream.path, headers: headersOf(spec), body
    }, new SendHandler(spec, onEnd))
  }

  async close (): Promise<void> {
    await Promise.all(this.#pools.map(async pool => await pool.destroy()))
  }
}
