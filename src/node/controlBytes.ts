/** Bytes that a node spent on control messages and reads. */
export interface ControlBytes {
  sentBytes: number
  receivedBytes: number
}

/** Bytes of the IPv4 and UDP headers of one datagram. */
export const DATAGRAM_HEADER_BYTES = 28

/** Sum of several counts. */
export function sumBytes (counts: readonly Readonly<ControlBytes>[]): ControlBytes {
  return {
    sentBytes: counts.reduce((sum, one) => sum + one.sentBytes, 0),
    receivedBytes: counts.reduce((sum, one) => sum + one.receivedBytes, 0)
  }
}
