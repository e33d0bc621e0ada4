import type { Socket } from 'node:net'
import type { Clock, Millis } from '../clock/clock.js'

/** A connection without a request that has been silent for at least this long makes room for a new one. */
const SILENT_MIN_MS: Millis = 1_000

/**
 * The connections of a server that have no open request.
 *
 * @example
 * if (isFull && !silentConnections.closeOldest()) socket.destroy()
 */
export class SilentConnections {
  readonly #clock: Clock
  /** Since when each is silent, the longest first. */
  readonly #sinceMs = new Map<Socket, Millis>()

  constructor (clock: Clock) {
    this.#clock = clock
  }

  add (socket: Socket): void {
    this.#sinceMs.delete(socket)
    if (!socket.destroyed) this.#sinceMs.set(socket, this.#clock.monotonicMs())
  }

  /** Returns false if the connection has an open request already. */
  remove (socket: Socket): boolean {
    return this.#sinceMs.delete(socket)
  }

  /** Closes the connection that has been silent for longest. Returns false if none has been for some time. */
  closeOldest (): boolean {
    const [oldest] = this.#sinceMs
    if (oldest === undefined || this.#clock.monotonicMs() - oldest[1] < SILENT_MIN_MS) return false
    this.#sinceMs.delete(oldest[0])
    oldest[0].destroy()
    return true
  }
}
