import type { Socket } from 'node:net'
import type { Clock, Millis } from '../clock/clock.js'
import { bodyPieces, isInPieces, type MessageBody } from './messageBody.js'

/** A long answer is written in pieces of this size, so that it can be seen how far its reader is. */
const PIECE_BYTES = 128 * 1024
const EMPTY_PIECE = Buffer.alloc(0)

/**
 * Writes answers to a socket as fast as the peer takes them, and counts what it has not taken.
 *
 * @example
 * const writer = new AnswerWriter(socket, clock, addedBytes => { heldBytes += addedBytes })
 * writer.write(bytes, () => socket.end())
 */
export class AnswerWriter {
  readonly #socket: Socket
  readonly #clock: Clock
  readonly #onUnsentChanged: (addedBytes: number) => void
  #pieces: Uint8Array[] = []
  #unsentBytes = 0
  #onSent: (() => void) | null = null
  /** When the peer last took something of what is unsent. */
  #progressAtMs: Millis = 0

  constructor (socket: Socket, clock: Clock, onUnsentChanged: (addedBytes: number) => void) {
    this.#socket = socket
    this.#clock = clock
    this.#onUnsentChanged = onUnsentChanged
  }

  /** Bytes that the operating system has not accepted yet. */
  get unsentBytes (): number {
    return this.#unsentBytes
  }

  /** How long the peer has taken nothing of what is unsent. */
  stalledMs (nowMs: Millis): Millis {
    return this.#unsentBytes === 0 ? 0 : nowMs - this.#progressAtMs
  }

  /** Writes a message. `onSent` is called once the operating system has accepted all of it, possibly at once. */
  write (message: MessageBody, onSent: () => void): void {
    if (this.#unsentBytes === 0 && !isInPieces(message) && message.length <= PIECE_BYTES && message.length > 0) {
      this.#socket.write(message)
      // The usual case, in which nothing has to be kept.
      if (this.#socket.writableLength === 0) {
        onSent()
        return
      }
      // Its callback follows that of the message, which would take time in the usual case as well.
      this.#socket.write(EMPTY_PIECE, this.#onWritten)
      this.#onSent = onSent
      this.#progressAtMs = this.#clock.monotonicMs()
      this.#setUnsent(this.#socket.writableLength)
      return
    }
    for (const piece of bodyPieces(message)) {
      for (let at = 0; at < piece.length; at += PIECE_BYTES) this.#pieces.push(piece.subarray(at, at + PIECE_BYTES))
    }
    this.#onSent = onSent
    this.#progressAtMs = this.#clock.monotonicMs()
    this.#pump()
  }

  /** Drops what is unsent, because the connection is closed. */
  clear (): void {
    this.#pieces = []
    this.#onSent = null
    this.#setUnsent(0)
  }

  #setUnsent (bytes: number): void {
    const addedBytes = bytes - this.#unsentBytes
    this.#unsentBytes = bytes
    if (addedBytes !== 0) this.#onUnsentChanged(addedBytes)
  }

  /** Writes until the operating system accepts no more. */
  #pump (): void {
    let writtenCount = 0
    while (writtenCount < this.#pieces.length && this.#socket.writableLength === 0) {
      this.#socket.write(this.#pieces[writtenCount]!, this.#onWritten)
      writtenCount += 1
    }
    if (writtenCount > 0) this.#pieces = this.#pieces.slice(writtenCount)
    const waitingBytes = this.#pieces.reduce((sum, piece) => sum + piece.length, 0)
    this.#setUnsent(waitingBytes + this.#socket.writableLength)
    if (this.#unsentBytes > 0 || this.#onSent === null) return
    const onSent = this.#onSent
    this.#onSent = null
    onSent()
  }

  readonly #onWritten = (error?: Error | null): void => {
    if (error !== undefined && error !== null) return
    if (this.#unsentBytes === 0) return
    this.#progressAtMs = this.#clock.monotonicMs()
    this.#pump()
  }
}
