import { connect, type Socket } from 'node:net'
import { Client, type Dispatcher } from 'undici'
import type { Millis } from '../clock/clock.js'
import { Step, StepError } from '../errors/errors.js'

/** An attempt to open a socket, which `cancel` ends without a callback. */
export interface OpenAttempt {
  cancel (): void
}

/**
 * Opens a TCP connection to `ip:port` and calls back once, with the socket or with undefined.
 *
 * @example
 * openSocket('127.0.0.1:9000', 500, socket => socket?.end())
 */
export function openSocket (
  place: string, timeoutMs: Millis, done: (socket: Socket | undefined) => void
): OpenAttempt {
  const colonAt = place.lastIndexOf(':')
  const host = place.slice(0, colonAt).replace(/^\[|\]$/g, '')
  const socket = connect({ host, port: Number(place.slice(colonAt + 1)), noDelay: true })
  let open = true
  const finish = (result: Socket | undefined): void => {
    if (!open) return
    open = false
    clearTimeout(timer)
    if (result === undefined) socket.destroy()
    done(result)
  }
  const timer = setTimeout(() => finish(undefined), timeoutMs)
  socket.once('connect', () => finish(socket))
  socket.on('error', () => finish(undefined))
  return {
    cancel: () => {
      open = false
      clearTimeout(timer)
      socket.destroy()
    }
  }
}

const ignore = (): void => {}

/** One socket with its HTTP/1.1 client. It carries one request at a time and never reconnects. */
export class PoolConnection {
  readonly #client: Client
  readonly #socket: Socket
  #attached = false
  #closed = false
  /** Time at which the other side was last heard. */
  lastHeardMs: Millis

  constructor (
    place: string, socket: Socket, idleCloseMs: Millis, nowMs: Millis,
    onClosed: (connection: PoolConnection) => void
  ) {
    this.#socket = socket
    this.lastHeardMs = nowMs
    this.#client = new Client(`http://${place}`, {
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: idleCloseMs,
      connect: (_options, callback) => this.#attach(callback, place)
    })
    // Anything that arrives before the first request is an end of the connection or unsolicited.
    socket.on('readable', this.#onEarlyRead)
    socket.once('close', () => {
      this.#closed = true
      // Fails what is queued in the client, which otherwise opens a connection of its own.
      this.#client.destroy(new StepError(Step.Dispatch, place, 'connection closed'), ignore)
      onClosed(this)
    })
  }

  get usable (): boolean {
    return !this.#closed && !this.#socket.destroyed
  }

  /** Sends a request; the handler's callbacks tell how it goes. */
  dispatch (request: Dispatcher.DispatchOptions, handler: Dispatcher.DispatchHandler): void {
    this.#client.dispatch(request, handler)
  }

  /** Closes the socket at once, also with a request in flight. */
  destroy (): void {
    this.#client.destroy(null, ignore)
    this.#socket.destroy()
  }

  readonly #onEarlyRead = (): void => {
    this.#socket.destroy()
  }

  #attach (callback: (...args: [Error, null] | [null, Socket]) => void, place: string): void {
    const isFirst = !this.#attached
    this.#attached = true
    // undici ignores a callback made before its connector returns.
    queueMicrotask(() => {
      if (!isFirst || !this.usable) {
        callback(new StepError(Step.Dispatch, place, 'connection closed'), null)
        return
      }
      this.#socket.off('readable', this.#onEarlyRead)
      callback(null, this.#socket)
    })
  }
}
