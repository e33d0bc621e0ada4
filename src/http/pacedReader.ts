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
  readonly #onParsed: () => void
  readonly #onError: (error: Error) => void
  #isScheduled = false
  #hasFailed = false
  #isHeld = false
  #onFinished: (() => void) | null = null

  /** `onParsed` is called each time bytes have been parsed. */
  constructor (
    socket: Socket, parser: MessageParser, onError: (error: Error) => void, onParsed: () => void = () => {}
  ) {
    this.#onParsed = onParsed
    this.#socket = socket
    this.#parser = parser
    this.#onError = onError
  }

  read (bytes: Buffer): void {
    if (this.#hasFailed) return
    this.#parser.defer(bytes)
    if (!this.#isScheduled && !this.#isHeld) this.#check(this.#parser.readMore())
  }

  /** Reads nothing more from the socket until `release`. */
  hold (): void {
    this.#isHeld = true
    this.#parser.isHeld = true
    this.#socket.pause()
  }

  /** Reads on in the next turn of the event loop. */
  release (): void {
    if (!this.#isHeld) return
    this.#isHeld = false
    this.#parser.isHeld = false
    if (this.#isScheduled) return
    this.#isScheduled = true
    setImmediate(() => this.#readMore())
  }

  /** To be called when the connection ends. Parses what is left, also after a hold, and then calls `onFinished`. */
  finish (onFinished: () => void): void {
    this.#onFinished = onFinished
    this.#finishUnlessHeld()
  }

  #finishUnlessHeld (): void {
    while (this.#parser.hasUnread && !this.#isHeld && !this.#hasFailed && !this.#socket.destroyed) {
      this.#check(this.#parser.readMore())
    }
    if (this.#isHeld || this.#onFinished === null) return
    const onFinished = this.#onFinished
    this.#onFinished = null
    onFinished()
  }

  #check (error: Error | undefined): void {
    this.#onParsed()
    if (error !== undefined) {
      this.#hasFailed = true
      this.#onError(error)
      return
    }
    if (!this.#parser.hasUnread || this.#isScheduled || this.#isHeld || this.#socket.destroyed) return
    this.#isScheduled = true
    this.#socket.pause()
    setImmediate(() => this.#readMore())
  }

  #readMore (): void {
    this.#isScheduled = false
    if (this.#hasFailed || this.#isHeld || this.#socket.destroyed) return
    if (this.#onFinished !== null) {
      this.#finishUnlessHeld()
      return
    }
    this.#check(this.#parser.readMore())
    if (!this.#isScheduled && !this.#isHeld) this.#socket.resume()
  }
}
