/** Integers from `first` to `last`, inclusive. */
export interface SequenceRange {
  readonly first: number
  readonly last: number
}

/** Status of a sequence number that was just added. */
export enum SequenceStatus {
  New = 'new',
  /** Already read. */
  Repeated = 'repeated',
  /** Not above the newest closed gap, so it is unknown whether it was read before. */
  TooLate = 'too_late'
}

/** Beyond this many ranges the oldest gap is closed, which bounds the memory of one incarnation. */
const OPEN_RANGES_CAPACITY_COUNT = 1_024

interface MutableRange { first: number, last: number }

/**
 * The sequence numbers read of one incarnation, as sorted ranges. Lines may arrive in
 * any order and fill the gaps. A repeated line is detected at any distance from the
 * first one, unless more gaps than the capacity lie between them.
 *
 * @example
 * const ranges = new SequenceRanges()
 * ranges.add(1); ranges.add(3)
 * ranges.gaps() // [{ first: 2, last: 2 }]
 */
export class SequenceRanges {
  readonly #capacityCount: number
  readonly #ranges: MutableRange[] = []
  readonly #closedGaps: SequenceRange[] = []
  /** Last number of the newest closed gap; 0 if no gap is closed. */
  #closedUntil = 0

  constructor (capacityCount = OPEN_RANGES_CAPACITY_COUNT) {
    this.#capacityCount = capacityCount
  }

  get first (): number {
    return this.#ranges[0]?.first ?? 0
  }

  add (sequence: number): SequenceStatus {
    const highest = this.#ranges.at(-1)
    if (highest !== undefined && sequence === highest.last + 1) {
      highest.last = sequence
      return SequenceStatus.New
    }
    const index = this.#indexFor(sequence)
    const previous = this.#ranges[index - 1]
    if (previous !== undefined && sequence <= previous.last) {
      return sequence > this.#closedUntil ? SequenceStatus.Repeated : SequenceStatus.TooLate
    }
    if (previous === undefined && sequence <= this.#closedUntil) return SequenceStatus.TooLate
    this.#insert(index, sequence)
    if (this.#ranges.length > this.#capacityCount) this.#closeOldestGap()
    return SequenceStatus.New
  }

  has (sequence: number): boolean {
    const previous = this.#ranges[this.#indexFor(sequence) - 1]
    return previous !== undefined && sequence <= previous.last && !this.#closedGaps.some(
      gap => gap.first <= sequence && sequence <= gap.last)
  }

  /** The ranges read, including the closed gaps. */
  coveredRanges (): readonly SequenceRange[] {
    return this.#ranges
  }

  /** Numbers that were not read, between the lowest and the highest one read. */
  gaps (): SequenceRange[] {
    const open = this.#ranges.slice(1).map((range, index) => (
      { first: (this.#ranges[index]?.last ?? 0) + 1, last: range.first - 1 }))
    return [...this.#closedGaps, ...open]
  }

  /** Index of the first range that starts after the number. */
  #indexFor (sequence: number): number {
    let low = 0
    let high = this.#ranges.length
    while (low < high) {
      const middle = (low + high) >> 1
      if ((this.#ranges[middle]?.first ?? 0) <= sequence) low = middle + 1
      else high = middle
    }
    return low
  }

  #insert (index: number, sequence: number): void {
    const previous = this.#ranges[index - 1]
    const next = this.#ranges[index]
    const touchesPrevious = previous?.last === sequence - 1
    const touchesNext = next?.first === sequence + 1
    if (touchesPrevious && touchesNext) {
      previous!.last = next!.last
      this.#ranges.splice(index, 1)
    } else if (touchesPrevious) previous!.last = sequence
    else if (touchesNext) next!.first = sequence
    else this.#ranges.splice(index, 0, { first: sequence, last: sequence })
  }

  /** Merges the two lowest ranges; the gap between them can no longer be filled. */
  #closeOldestGap (): void {
    const [lowest, next] = this.#ranges
    if (lowest === undefined || next === undefined) return
    this.#recordClosedGap({ first: lowest.last + 1, last: next.first - 1 })
    this.#closedUntil = next.first - 1
    lowest.last = next.last
    this.#ranges.splice(1, 1)
  }

  /** Beyond the capacity, extends the newest closed gap up to this one: losses are overstated rather than hidden. */
  #recordClosedGap (gap: SequenceRange): void {
    const newest = this.#closedGaps.at(-1)
    if (newest === undefined || this.#closedGaps.length < this.#capacityCount) this.#closedGaps.push(gap)
    else this.#closedGaps[this.#closedGaps.length - 1] = { first: newest.first, last: gap.last }
  }
}
