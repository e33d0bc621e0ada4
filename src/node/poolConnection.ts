import { connect, type Socket } from 'node:net'
import { Client, type Dispatcher } from 'undici'
import type { Millis } from '../clock/clock.js'
import { Step, StepError } from '../errors/errors.js'

/** An attempt to open a socket; after `cancel` the callback is not called. */
export interface OpenAttempt {
  cancel (): void
}

/**
 * Opens a TCP connection to `ip:port` and calls `onDone` once, with undefined if that failed or timed out.
 *
 * @example
 * openSocket('127.0.0.1:9000', 500, socket => socket?.end())
 */
export function openSocket (
  address: string, timeoutMs: Millis, onDone: (socket: Socket | undefined) => void
): OpenAttempt {
  const colonAt = address.lastIndexOf(':')
  const host = address.slice(0, colonAt).replace(/^\[|\]$/g, '')
  const socket = connect({ host, port: Number(address.slice(colonAt + 1)), noDelay: true })
  let isPending = true
  const finish = (result: Socket | undefined): void => {
    if (!isPending) return
    isPending = false
    clearTimeout(timer)
    if (result === undefined) socket.destroy()
    onDone(result)
  }
  const timer = setTimeout(() => finish(undefined), timeoutMs)
  socket.once('connect', () => finish(socket))
  socket.on('error', () => finish(undefined))
  return {
    cancel: () => {
      isPending = false
      clearTimeout(timer)
      socket.destroy()
    }
  }
}

const noop = (): void => {}

/** One socket with its HTTP/1.1 client. It carries one request at a time and never reconnects. */
export class PoolConnection {
  readonly #client: Client
  readonly #socket: Socket
  #isAttached = false
  #isClosed = false
  /** Whether an answer on this connection named its request, so that all others have to. */
  identifiesAnswers = false
  /** When the last complete answer arrived, or when the connection was opened. */
  lastReceivedAtMs: Millis

  constructor (
    address: string, socket: Socket, idleCloseAfterMs: Millis, nowMs: Millis,
    onClosed: (connection: PoolConnection) => void
  ) {
    this.#socket = socket
    this.lastReceivedAtMs = nowMs
    this.#client = new Client(`http://${address}`, {
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: idleCloseAfterMs,
      connect: (_options, callback) => this.#attach(callback, address)
    })
    // What arrives before the first request is either the end of the connection or unsolicited data.
    socket.on('readable', this.#onUnsolicitedData)
    socket.once('close', () => {
      this.#isClosed = true
      // Fails requests queued in the undici client, which would otherwise open a new connection for them.
      this.#client.destroy(new StepError(Step.Dispatch, address, 'connection closed'), noop)
      onClosed(this)
    })
  }

  get isUsable (): boolean {
    return !this.#isClosed && !this.#socket.destroyed
  }

  /** Sends a request; the handler receives the answer or the error. */
  dispatch (request: Dispatcher.DispatchOptions, handler: Dispatcher.DispatchHandler): void {
    this.#client.dispatch(request, handler)
  }

  /** Closes the socket at once, also with a request in flight. */
  destroy (): void {
    this.#client.destroy(null, noop)
    this.#socket.destroy()
  }

  readonly #onUnsolicitedData = (): void => {
    this.#socket.destroy()
  }

  #attach (callback: (...args: [Error, null] | [null, Socket]) => void, address: string): void {
    const isFirst = !this.#isAttached
    this.#isAttached = true
    // undici ignores a callback that is called before its connector returns.
    queueMicrotask(() => {
      if (!isFirst || !this.isUsable) {
        callback(new StepError(Step.Dispatch, address, 'connection closed'), null)
        return
      }
      this.#socket.off('readable', this.#onUnsolicitedData)
      callback(null, this.#socket)
    })
  }
}
