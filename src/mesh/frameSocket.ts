import type { Socket } from 'node:net'
import { bodyPieces, type MessageBody } from '../http/messageBody.js'
import { encodeBodyPartHead } from './bodyPartHead.js'
import { encodeFrame, FrameReader, type Frame } from './frames.js'

/** Parts of long bodies wait while more than this is unsent, so that other frames are not held up behind them. */
const BACKLOG_MAX_BYTES = 256 * 1024
const PART_BYTES = 64 * 1024
/** Parts that are written in one turn of the event loop. */
const PARTS_PER_TURN_MAX = 16

/** A body that is being sent in parts. */
interface Transfer {
  readonly number: number
  readonly pieces: readonly Uint8Array[]
  pieceAt: number
  offsetBytes: number
  readonly onPart: (isLast: boolean) => void
}

/**
 * A connection between two nodes. Frames sent in one turn of the event loop are
 * batched into one write, since each write costs a system call. Long bodies are sent in
 * parts, in turn and only as fast as the peer takes them.
 */
export class FrameSocket {
  readonly #socket: Socket
  readonly #reader = new FrameReader()
  readonly #transfers = new Map<number, Transfer>()
  #unsentFrames: Buffer[] = []
  #unsentFramesBytes = 0
  #isScheduled = false
  #isClosed = false

  constructor (socket: Socket, onFrame: (frame: Frame) => void, onClosed: () => void) {
    this.#socket = socket
    socket.on('data', (chunk: Buffer) => this.#read(chunk, onFrame))
    socket.on('drain', () => this.#flush())
    socket.on('error', () => this.destroy())
    socket.on('end', () => this.destroy())
    socket.on('close', () => {
      this.#isClosed = true
      this.#transfers.clear()
      onClosed()
    })
  }

  get isOpen (): boolean {
    return !this.#isClosed && !this.#socket.destroyed
  }

  /** Whether the peer takes frames more slowly than they are sent. */
  get isBacklogged (): boolean {
    return this.#socket.writableLength + this.#unsentFramesBytes > BACKLOG_MAX_BYTES
  }

  /** Whether frames or bodies have not been handed to the operating system completely. */
  get hasUnsent (): boolean {
    return this.#socket.writableLength > 0 || this.#unsentFrames.length > 0 || this.#transfers.size > 0
  }

  send (frame: Frame): void {
    if (!this.isOpen) return
    this.#schedule()
    const bytes = encodeFrame(frame)
    this.#unsentFrames.push(bytes)
    this.#unsentFramesBytes += bytes.length
  }

  /** Sends a body in parts. `onPart` is called after each part, and tells whether it was the last one. */
  sendBody (number: number, body: MessageBody, onPart: (isLast: boolean) => void = () => {}): void {
    if (!this.isOpen) return
    this.#transfers.set(number, { number, pieces: bodyPieces(body), pieceAt: 0, offsetBytes: 0, onPart })
    this.#schedule()
  }

  /** Sends no further part of a body. */
  cancelBody (number: number): void {
    this.#transfers.delete(number)
  }

  /** Writes the unsent frames, then ends the connection. */
  end (): void {
    this.#flush()
    this.#socket.end()
  }

  destroy (): void {
    this.#socket.destroy()
  }

  #schedule (): void {
    if (this.#isScheduled) return
    this.#isScheduled = true
    setImmediate(() => this.#flush())
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
    this.#isScheduled = false
    const pending = this.#unsentFrames
    this.#unsentFrames = []
    this.#unsentFramesBytes = 0
    if (!this.isOpen) return
    if (pending.length > 0) this.#socket.write(pending.length === 1 ? pending[0]! : Buffer.concat(pending))
    this.#sendParts()
  }

  #sendParts (): void {
    for (let count = 0; this.#transfers.size > 0 && this.#socket.writableLength <= BACKLOG_MAX_BYTES; count++) {
      if (count === PARTS_PER_TURN_MAX) {
        this.#schedule()
        return
      }
      const [transfer] = this.#transfers.values() as Iterable<Transfer>
      this.#sendPart(transfer!)
    }
  }

  #sendPart (transfer: Transfer): void {
    const { number, pieces, onPart } = transfer
    const piece = pieces[transfer.pieceAt]!
    const bytes = piece.subarray(transfer.offsetBytes, transfer.offsetBytes + PART_BYTES)
    transfer.offsetBytes += bytes.length
    if (transfer.offsetBytes >= piece.length) {
      transfer.pieceAt += 1
      transfer.offsetBytes = 0
    }
    const isLast = transfer.pieceAt >= pieces.length
    // Moves the transfer behind the others, so that all get their turn.
    this.#transfers.delete(number)
    if (!isLast) this.#transfers.set(number, transfer)
    this.#socket.cork()
    this.#socket.write(encodeBodyPartHead(number, bytes.length))
    this.#socket.write(bytes)
    this.#socket.uncork()
    onPart(isLast)
  }
}
