import type { IncomingMessage } from 'node:http'
import type { Clock } from '../clock/clock.js'
import type { Answer, NodeCommand, NodeEvent, IncomingCall } from '../core/nodeCore/nodeCoreTypes.js'
import type { BackendLink } from './backendLink.js'
import { forwardedHeaders } from './callReader.js'
import type { NodeHoldings } from './holdings.js'
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
  readonly holdings: NodeHoldings
  readonly emit: (event: NodeEvent) => void
}

type SendCommand = Extract<NodeCommand, { kind: 'dispatch' | 'forward' }>

/** Owns the open calls with their requests and replies, and the connections to peers. */
export class CallTask {
  readonly #options: CallTaskOptions
  readonly #openCalls = new Map<string, OpenCall>()
  readonly #pools = new Map<string, ConnectionPool>()

  constructor (options: CallTaskOptions) {
    this.#options = options
  }

  get openCallsCount (): number {
    return this.#openCalls.size
  }

  hasCall (callId: string): boolean {
    return this.#openCalls.has(callId)
  }

  registerCall (call: IncomingCall, message: IncomingMessage, body: Uint8Array | null, reply: Reply): void {
    this.#openCalls.set(call.callId, { call, message, body, reply, cancellation: new Cancellation() })
    reply.onCallerGone = () => this.#options.emit({ kind: 'caller_gone', callId: call.callId })
  }

  answerCall (callId: string, answer: Answer): void {
    this.#openCalls.get(callId)?.reply.send(answer)
    this.#openCalls.delete(callId)
  }

  dropCall (callId: string): void {
    this.#openCalls.get(callId)?.reply.closeWithoutAnswer()
    this.#openCalls.delete(callId)
  }

  cancelSend (callId: string): void {
    this.#openCalls.get(callId)?.cancellation.cancel()
  }

  /** Sends a call to the node's backend server or to a peer and emits the result. */
  async sendCall (command: SendCommand): Promise<void> {
    const { callId } = command
    const open = this.#openCalls.get(callId)
    if (open === undefined) return
    open.cancellation = new Cancellation()
    const request = this.#buildRequest(open, command)
    const kind = command.kind === 'dispatch' ? 'backend_result' : 'peer_result'
    const result = command.kind === 'dispatch'
      ? await this.#options.backend.send(request, open.cancellation)
      : await this.#getOrCreatePool(command.address).send(request, open.cancellation)
    this.#options.emit({ kind, callId, result })
  }

  async stop (): Promise<void> {
    await Promise.all([...this.#pools.values()].map(pool => pool.close()))
  }

  /** Closes the pools of peers whose address is in no VM list any more. */
  closeUnlistedPools (addresses: ReadonlySet<string>): void {
    for (const [address, pool] of this.#pools) {
      if (addresses.has(address)) continue
      this.#pools.delete(address)
      void pool.close()
    }
  }

  #buildRequest (open: OpenCall, command: SendCommand): PoolRequest {
    const { call, message, body } = open
    const headers = forwardedHeaders(message)
    headers['ragwortspur-caller'] = call.callerName
    headers['ragwortspur-root'] = call.rootId
    headers['ragwortspur-call'] = call.callId
    headers['ragwortspur-deadline-ms'] = String(Math.floor(command.timeoutMs))
    if (command.kind === 'forward') Object.assign(headers, command.headers)
    else delete headers['ragwortspur-service']
    return { method: call.method, path: call.path, headers, body, timeoutMs: command.timeoutMs }
  }

  #getOrCreatePool (address: string): ConnectionPool {
    const existing = this.#pools.get(address)
    if (existing !== undefined) return existing
    const pool = new ConnectionPool(address, {
      clock: this.#options.clock,
      holdings: this.#options.holdings,
      connectionsMaxCount: PEER_CONNECTIONS_MAX_COUNT,
      probePath: '/ragwortspur/ping'
    })
    this.#pools.set(address, pool)
    return pool
  }
}
