import { FrameKind, LENGTH_BYTES } from './frames.js'

/** First bytes of MessagePack values: an array of three, a 32-bit number, a 64-bit float, bytes with their length. */
const ARRAY_OF_3 = 0x93
const UINT_32 = 0xCE
const FLOAT_64 = 0xCB
const BIN_32 = 0xC6
const UINT_32_MAX = 0xFFFF_FFFF

/**
 * Encodes all of a `BodyPart` frame but the bytes of the part, which follow it on the connection without being copied.
 *
 * @example
 * socket.write(encodeBodyPartHead(7, part.length))
 * socket.write(part)
 */
export function encodeBodyPartHead (number: number, partBytes: number): Buffer {
  const isShort = number <= UINT_32_MAX
  const numberBytes = isShort ? 4 : 8
  const headBytes = 3 + numberBytes + 5
  const bytes = Buffer.allocUnsafe(LENGTH_BYTES + headBytes)
  let at = bytes.writeUInt32BE(headBytes + partBytes, 0)
  at = bytes.writeUInt8(ARRAY_OF_3, at)
  at = bytes.writeUInt8(FrameKind.BodyPart, at)
  at = bytes.writeUInt8(isShort ? UINT_32 : FLOAT_64, at)
  at = isShort ? bytes.writeUInt32BE(number, at) : bytes.writeDoubleBE(number, at)
  at = bytes.writeUInt8(BIN_32, at)
  bytes.writeUInt32BE(partBytes, at)
  return bytes
}
