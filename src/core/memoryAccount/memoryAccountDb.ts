import type { MemoryHolder, MemoryLimits, MemoryReservation } from './memoryAccountTypes.js'

/** The one account of the bytes that a process holds for its peers. */
export interface MemoryAccountDb {
  readonly limits: MemoryLimits
  /** In the order in which they give up something when the account is full. */
  readonly holders: MemoryHolder[]
  /** Is told of each piece of a body that arrives. */
  onArrival: (bytes: number) => void
  /** In the order in which they are granted, as far as they fit. */
  readonly waiting: Set<MemoryReservation>
}

export function createMemoryAccountDb (limits: MemoryLimits): MemoryAccountDb {
  return { limits, holders: [], onArrival: () => {}, waiting: new Set() }
}
