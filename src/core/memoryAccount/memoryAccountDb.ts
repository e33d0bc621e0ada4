import { MemoryShare, type MemoryHolder, type MemoryLimits, type MemoryReservation } from './memoryAccountTypes.js'

/** The one account of the bytes that a process holds for its peers. */
export interface MemoryAccountDb {
  readonly limits: MemoryLimits
  /** In the order in which they give up something when the account is full. */
  readonly holders: MemoryHolder[]
  readonly holdersByShare: Readonly<Record<MemoryShare, MemoryHolder[]>>
  /** Bytes that are held since the limits were enforced last. */
  unenforcedBytes: number
  /** Is told of each piece of a body that arrives. */
  onArrival: (bytes: number) => void
  /** In the order in which they are granted, as far as they fit. */
  readonly waiting: Set<MemoryReservation>
}

export function createMemoryAccountDb (limits: MemoryLimits): MemoryAccountDb {
  const holdersByShare = {
    [MemoryShare.Connections]: [],
    [MemoryShare.Requests]: [],
    [MemoryShare.PeerCalls]: [],
    [MemoryShare.ServerAnswers]: [],
    [MemoryShare.CallerAnswers]: []
  }
  return { limits, holders: [], holdersByShare, unenforcedBytes: 0, onArrival: () => {}, waiting: new Set() }
}
