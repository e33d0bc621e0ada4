import type { MemoryHolder, MemoryLimits, MemoryReservation } from './memoryAccountTypes.js'

/** The one account of the bytes that a process holds for its peers. */
export interface MemoryAccountDb {
  readonly limits: MemoryLimits
  /** In the order in which they give up something when the account is full. */
  readonly holders: MemoryHolder[]
  /** Bytes that are held since the limits were enforced last. */
  unenforcedBytes: number
  /** Is told of each piece of a body that arrives. */
  onArrival: (bytes: number) => void
  /** In the order in which they are granted, as far as they fit. */
  readonly waiting: Set<MemoryReservation>
}

export function createMemoryAccountDb (limits: MemoryLimits): MemoryAccountDb {
  return { limits, holders: [], unenforcedBytes: 0, onArrival: () => {}, waiting: new Set() }
}
