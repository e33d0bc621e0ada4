/** Bytes that a node sent and received in control messages and reads of published values. */
export interface ControlBytes {
  sentBytes: number
  receivedBytes: number
}

/** Bytes of the IPv4 and UDP headers of one datagram. */
export const DATAGRAM_HEADER_BYTES = 28

/** Adds up the bytes of several sources. */
export function sumControlBytes (counts: readonly Readonly<ControlBytes>[]): ControlBytes {
  return {
    sentBytes: counts.reduce((sum, one) => sum + one.sentBytes, 0),
    receivedBytes: counts.reduce((sum, one) => sum + one.receivedBytes, 0)
  }
}
