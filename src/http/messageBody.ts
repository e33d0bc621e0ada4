/** The body of a message: in one piece, or the pieces of a long one, which are not copied together. */
export type MessageBody = Uint8Array | readonly Uint8Array[]

/** Longer bodies stay in pieces. */
export const ONE_PIECE_MAX_BYTES = 256 * 1024

/** Whether a body is in pieces. */
export function isInPieces (body: MessageBody): body is readonly Uint8Array[] {
  return !ArrayBuffer.isView(body)
}

/**
 * Number of bytes in a body.
 *
 * @example
 * bodyLength([Buffer.from('ab'), Buffer.from('c')]) // 3
 */
export function bodyLength (body: MessageBody): number {
  return isInPieces(body) ? body.reduce((sum, piece) => sum + piece.length, 0) : body.length
}

/** The pieces of a body; an empty body has none. */
export function bodyPieces (body: MessageBody): readonly Uint8Array[] {
  if (isInPieces(body)) return body
  return body.length === 0 ? [] : [body]
}

/** The body in one piece, copied if it is not. */
export function joinBody (body: MessageBody): Uint8Array {
  return isInPieces(body) ? Buffer.concat(body) : body
}
