import type { IncomingMessage } from 'node:http'
import type { Clock } from '../clock/clock.js'
import type { Answer, NodeCommand, NodeEvent, IncomingCall } from '../core/nodeCore/nodeCoreTypes.js'
import type { BackendLink } from './backendLink.js'
import { passedHeaders } from './callReader.js'
import type { Reply } from './reply.js'
import { Cancellation, ConnectionPool } from './connectionPool.js'
import type { PoolRequest } from './connectionPool.js'

const PEER_CONNECTIONS_MAX_COUNT = 256

interface OpenCall {
  readonly call: IncomingCall
  readonly message: IncomingMessage
  readonly body: Uint8Array | null
  readonly reply: Reply
  cancellation: Cancellation
}

export interface CallTaskOptions {
  readonly clock: Clock
  readonly backend: BackendLink
  readonly emit: (event: NodeEvent) => void
}

type SendCommand = Extract<NodeCommand, { kind: 'dispatch' | 'forward' }>

/** The task that owns open calls: their requests, their replies and the connections to peers. */
export class CallTask {
  readonly #options: CallTaskOptions
  readonly #calls = new Map<string, OpenCall>()
  readonly #pools = new Map<string, ConnectionPool>()

  constructor (options: CallTaskOptions) {
    this.#options = options
  }

  get openCount (): number {
    return this.#calls.size
  }

  has (callId: string): boolean {
    return this.#calls.has(callId)
  }

  open (call: IncomingCall, message: IncomingMessage, body: Uint8Array | null, reply: Reply): void {
    this.#calls.set(call.callId, { call, message, body, reply, cancellation: new Cancellation() })
    reply.onGone = () => this.#options.emit({ kind: 'caller_gone', callId: call.callId })
  }

  answer (callId: string, answer: Answer): void {
    this.#calls.get(callId)?.reply.send(answer)
    this.#calls.delete(callId)
  }

  drop (callId: string): void {
    this.#calls.get(callId)?.reply.drop()
    this.#calls.delete(callId)
  }

  abort (callId: string): void {
    this.#calls.get(callId)?.cancellation.cancel()
  }

  /** Sends a call to the own backend server or to a peer and reports how that ended. */
  async send (command: SendCommand): Promise<void> {
    const { callId } = command
    const open = this.#calls.get(callId)
    if (open === undefined) return
    open.cancellation = new Cancellation()
    const request = this.#requestOf(open, command)
    const kind = command.kind === 'dispatch' ? 'backend_result' : 'peer_result'
    const result = command.kind === 'dispatch'
      ? await this.#options.backend.send(request, open.cancellation)
      : await this.#poolOf(command.address).send(request, open.cancellation)
    this.#options.emit({ kind, callId, result })
  }

  async stop (): Promise<void> {
    await Promise.all([...this.#pools.values()].map(pool => pool.close()))
  }

  /** Closes pools of addresses that no VM list names any more. */
  keepOnly (addresses: ReadonlySet<string>): void {
    for (const [address, pool] of this.#pools) {
      if (addresses.has(address)) continue
      this.#pools.delete(address)
      void pool.close()
    }
  }

  #requestOf (open: OpenCall, command: SendCommand): PoolRequest {
    const { call, message, body } = open
    const headers = passedHeaders(message)
    headers['ragwortspur-caller'] = call.callerName
    headers['ragwortspur-root'] = call.rootId
    headers['ragwortspur-call'] = call.callId
    headers['ragwortspur-deadline-ms'] = String(Math.floor(command.timeoutMs))
    if (command.kind === 'forward') Object.assign(headers, command.headers)
    else delete headers['ragwortspur-service']
    return { method: call.method, path: call.path, headers, body, timeoutMs: command.timeoutMs }
  }

  #poolOf (address: string): ConnectionPool {
    const known = this.#pools.get(address)
    if (known !== undefined) return known
    const pool = new ConnectionPool(address, {
      clock: this.#options.clock,
      connectionsMaxCount: PEER_CONNECTIONS_MAX_COUNT,
      probePath: '/ragwortspur/ping'
    })
    this.#pools.set(address, pool)
    return pool
  }
}
