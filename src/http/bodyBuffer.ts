import { ONE_PIECE_MAX_BYTES, type MessageBody } from './messageBody.js'

const EMPTY_BODY = Buffer.alloc(0)
/** Smaller pieces are copied, so that neither their number nor the buffers they are part of cost memory. */
const COPIED_PIECE_MAX_BYTES = 16 * 1024
const BLOCK_MIN_BYTES = 1024
const BLOCK_MAX_BYTES = 64 * 1024

/**
 * Collects the pieces of a body. It takes at most twice the memory of the body and some KB, however small the pieces
 * are and however large the buffers that contain them.
 *
 * @example
 * const body = new BodyBuffer()
 * body.append(Buffer.from('ab'))
 * body.take().length // 2
 */
export class BodyBuffer {
  readonly #parts: Buffer[] = []
  /** Partly filled block, from `#blockStart` on not yet among the parts. */
  #block: Buffer = EMPTY_BODY
  #blockStart = 0
  #blockEnd = 0
  #lengthBytes = 0

  get lengthBytes (): number {
    return this.#lengthBytes
  }

  append (piece: Buffer): void {
    this.#lengthBytes += piece.length
    if (piece.length > COPIED_PIECE_MAX_BYTES && piece.length * 2 >= piece.buffer.byteLength) {
      this.#sealBlock()
      this.#parts.push(piece)
      return
    }
    for (let at = 0; at < piece.length;) {
      if (this.#blockEnd === this.#block.length) this.#openBlock(piece.length - at)
      const count = piece.copy(this.#block, this.#blockEnd, at)
      this.#blockEnd += count
      at += count
    }
  }

  /** Returns the whole body and empties the buffer. */
  take (): Buffer {
    this.#sealBlock()
    const body = this.#parts.length === 1 ? this.#parts[0]! : Buffer.concat(this.#parts, this.#lengthBytes)
    this.clear()
    return body
  }

  /** Returns the body and empties the buffer. A long body is returned in its pieces, so that it is held only once. */
  takeBody (): MessageBody {
    if (this.#lengthBytes <= ONE_PIECE_MAX_BYTES) return this.take()
    this.#sealBlock()
    const pieces = [...this.#parts]
    this.clear()
    return pieces
  }

  clear (): void {
    this.#parts.length = 0
    this.#block = EMPTY_BODY
    this.#blockStart = this.#blockEnd = 0
    this.#lengthBytes = 0
  }

  #openBlock (neededBytes: number): void {
    this.#sealBlock()
    // The first block often holds the whole body.
    const bytes = this.#parts.length === 0 ? neededBytes : Math.max(neededBytes, this.#lengthBytes, BLOCK_MIN_BYTES)
    this.#block = Buffer.allocUnsafe(Math.min(bytes, BLOCK_MAX_BYTES))
    this.#blockStart = this.#blockEnd = 0
  }

  #sealBlock (): void {
    if (this.#blockEnd > this.#blockStart) this.#parts.push(this.#block.subarray(this.#blockStart, this.#blockEnd))
    this.#blockStart = this.#blockEnd
  }
}
