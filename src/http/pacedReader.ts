import type { Socket } from 'node:net'
import type { MessageParser } from './messageParser.js'

/**
 * Parses what a socket receives, a bounded number of steps in each turn of the event loop: many small pieces would
 * otherwise keep the process from its other connections. The socket is paused while bytes are left.
 *
 * @example
 * const reader = new PacedReader(socket, parser, error => socket.destroy(error))
 * socket.on('data', chunk => reader.read(chunk))
 */
export class PacedReader {
  readonly #socket: Socket
  readonly #parser: MessageParser
  readonly #onError: (error: Error) => void
  #isScheduled = false
  #hasFailed = false

  constructor (socket: Socket, parser: MessageParser, onError: (error: Error) => void) {
    this.#socket = socket
    this.#parser = parser
    this.#onError = onError
  }

  read (bytes: Buffer): void {
    if (this.#hasFailed) return
    this.#parser.defer(bytes)
    if (!this.#isScheduled) this.#check(this.#parser.readMore())
  }

  /** Parses what is left. To be called when the connection ends, since nothing follows then. */
  finish (): void {
    while (this.#parser.hasUnread && !this.#hasFailed && !this.#socket.destroyed) this.#check(this.#parser.readMore())
  }

  #check (error: Error | undefined): void {
    if (error !== undefined) {
      this.#hasFailed = true
      this.#onError(error)
      return
    }
    if (!this.#parser.hasUnread || this.#isScheduled || this.#socket.destroyed) return
    this.#isScheduled = true
    this.#socket.pause()
    setImmediate(() => this.#readMore())
  }

  #readMore (): void {
    this.#isScheduled = false
    if (this.#hasFailed || this.#socket.destroyed) return
    this.#check(this.#parser.readMore())
    if (!this.#isScheduled) this.#socket.resume()
  }
}
