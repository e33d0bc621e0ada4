import type { Socket } from 'node:net'
import { encodeFrame, FrameReader, type Frame } from './frames.js'

/**
 * A connection between two nodes. Frames sent in one turn of the event loop are
 * batched into one write, since each write costs a system call.
 */
export class FrameSocket {
  readonly #socket: Socket
  readonly #reader = new FrameReader()
  #unsentFrames: Buffer[] = []
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

  /** Bytes that are written but not yet accepted by the operating system. */
  get bufferedBytes (): number {
    return this.#socket.writableLength
  }

  send (frame: Frame): void {
    if (!this.isOpen) return
    if (this.#unsentFrames.length === 0) setImmediate(() => this.#flush())
    this.#unsentFrames.push(encodeFrame(frame))
  }

  /** Writes the unsent frames, then ends the connection. */
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
      // The peer does not speak this protocol version, and later frames cannot be located in the stream.
      this.destroy()
      return
    }
    for (const frame of frames) onFrame(frame)
  }

  #flush (): void {
    const pending = this.#unsentFrames
    if (pending.length === 0) return
    this.#unsentFrames = []
    if (this.isOpen) this.#socket.write(pending.length === 1 ? pending[0]! : Buffer.concat(pending))
  }
}
