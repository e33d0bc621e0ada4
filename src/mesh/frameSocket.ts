import type { Socket } from 'node:net'
import { encodeFrame, FrameReader, type Frame } from './frames.js'

/**
 * A connection between two nodes. Frames written in one turn of the event loop
 * leave in one write, since each write costs a system call.
 */
export class FrameSocket {
  readonly #socket: Socket
  readonly #reader = new FrameReader()
  #pending: Buffer[] = []
  #isClosed = false

  constructor (socket: Socket, onFrame: (frame: Frame) => void, onClosed: () => void) {
    this.#socket = socket
    socket.on('data', (chunk: Buffer) => this.#read(chunk, onFrame))
    socket.on('error', () => this.destroy())
    socket.on('end', () => this.destroy())
    socket.on('close', () => {
      this.#isClosed = true
      onClosed()
    })
  }

  get isOpen (): boolean {
    return !this.#isClosed && !this.#socket.destroyed
  }

  /** Bytes that the other side has not taken yet. */
  get waitingBytes (): number {
    return this.#socket.writableLength
  }

  send (frame: Frame): void {
    if (!this.isOpen) return
    if (this.#pending.length === 0) setImmediate(() => this.#flush())
    this.#pending.push(encodeFrame(frame))
  }

  /** Writes what is pending, then ends the connection. */
  end (): void {
    this.#flush()
    this.#socket.end()
  }

  destroy (): void {
    this.#socket.destroy()
  }

  #read (chunk: Buffer, onFrame: (frame: Frame) => void): void {
    let frames: Frame[]
    try {
      frames = this.#reader.read(chunk)
    } catch {
      // The peer is no node of this protocol version; without frames nothing on the connection can be trusted.
      this.destroy()
      return
    }
    for (const frame of frames) onFrame(frame)
  }

  #flush (): void {
    const pending = this.#pending
    if (pending.length === 0) return
    this.#pending = []
    if (this.isOpen) this.#socket.write(pending.length === 1 ? pending[0]! : Buffer.concat(pending))
  }
}
