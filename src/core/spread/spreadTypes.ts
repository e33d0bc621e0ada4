/** A node that takes part in the spread of notices. */
export interface SpreadMember {
  readonly ip: string
  readonly dataCentre: string
}

/** Number of the tree along which a copy of a notice travels. Each notice travels along both. */
export type TreeNumber = 0 | 1

/** A neighbour to which a copy of a notice is sent. */
export interface SpreadTarget {
  readonly ip: string
  readonly tree: TreeNumber
}

/** Identity of a notice: its origin's process and a number that is unique there. */
export interface SpreadId {
  readonly origin: string
  readonly number: number
}

/** What a node does with a received copy. */
export interface SpreadReceipt {
  /** Whether this is the first copy, so that the notice has to be handled. */
  readonly isFirstCopy: boolean
  /** Whether this is the first copy on its tree, so that it has to be forwarded. */
  readonly isFirstOnTree: boolean
}
