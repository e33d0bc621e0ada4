import { BodyBuffer } from '../http/bodyBuffer.js'
import { ONE_PIECE_MAX_BYTES, type MessageBody } from '../http/messageBody.js'

/** A body that another node sends in parts. */
export class IncomingBody {
  readonly expectedBytes: number
  readonly #buffer = new BodyBuffer()

  constructor (expectedBytes: number) {
    this.expectedBytes = expectedBytes
  }

  /** Adds a part. Returns the body once it is complete. Throws a RangeError if it is longer than announced. */
  append (part: Uint8Array): MessageBody | null {
    // A part can be a slice of the bytes of several frames, which would be kept as a whole.
    this.#buffer.append(Buffer.from(part))
    if (this.#buffer.lengthBytes > this.expectedBytes) throw new RangeError(`body above ${this.expectedBytes} bytes`)
    return this.#buffer.lengthBytes === this.expectedBytes ? this.#buffer.takeBody() : null
  }
}

/** Shorter bodies are always part of their frame. */
const INLINE_MIN_BYTES = 4 * 1024

/**
 * Whether a body is sent in parts once the receiver asks for it. A peer that does not take what it was sent gets
 * shorter ones in the same way, so that they are held once and not in frames as well.
 */
export function isSentInParts (bodyBytes: number, isBacklogged: boolean): boolean {
  return bodyBytes > (isBacklogged ? INLINE_MIN_BYTES : ONE_PIECE_MAX_BYTES)
}
