import type { IncarnationLoss } from './reportTypes.js'
import { SequenceStatus, SequenceRanges, type SequenceRange } from './sequenceRanges.js'

interface IncarnationRanges {
  readonly node: string
  readonly incarnation: string
  readonly intactRanges: SequenceRanges
  damagedRanges: SequenceRanges | undefined
  tooLateCount: number
}

function countOf (ranges: readonly SequenceRange[]): number {
  return ranges.reduce((sum, { first, last }) => sum + last - first + 1, 0)
}

/** Sequence numbers of damaged lines of which no intact copy was read. */
function damagedRangesNotRead ({ intactRanges, damagedRanges }: IncarnationRanges): SequenceRange[] {
  if (damagedRanges === undefined) return []
  const ranges: Array<{ first: number, last: number }> = []
  for (const { first, last } of damagedRanges.coveredRanges()) {
    for (let sequence = first; sequence <= last; sequence += 1) {
      if (intactRanges.has(sequence)) continue
      const lastRange = ranges.at(-1)
      if (lastRange?.last === sequence - 1) lastRange.last = sequence
      else ranges.push({ first: sequence, last: sequence })
    }
  }
  return ranges
}

/** The gaps without the excluded ranges, which must be sorted. */
function subtractRanges (gaps: readonly SequenceRange[], excluded: readonly SequenceRange[]): SequenceRange[] {
  return gaps.flatMap(gap => {
    const parts: SequenceRange[] = []
    let from = gap.first
    for (const { first, last } of excluded) {
      if (last < from || first > gap.last) continue
      if (first > from) parts.push({ first: from, last: first - 1 })
      from = last + 1
    }
    if (from <= gap.last) parts.push({ first: from, last: gap.last })
    return parts
  })
}

/** Tracks by node, incarnation and sequence number which record lines were read, to find missing and damaged ones. */
export class RecordLosses {
  readonly #incarnations = new Map<string, IncarnationRanges>()

  get incarnationsCount (): number {
    return this.#incarnations.size
  }

  get startsLaterCount (): number {
    return [...this.#incarnations.values()].filter(one => one.intactRanges.first > 1).length
  }

  /** Adds an intact line; only a line with the status `New` is to be counted. */
  addIntact (node: string, incarnation: string, sequence: number): SequenceStatus {
    const found = this.#getOrCreate(node, incarnation)
    const status = found.intactRanges.add(sequence)
    if (status === SequenceStatus.TooLate) found.tooLateCount += 1
    return status
  }

  addDamaged (node: string, incarnation: string, sequence: number): void {
    const found = this.#getOrCreate(node, incarnation)
    found.damagedRanges ??= new SequenceRanges()
    found.damagedRanges.add(sequence)
  }

  /** Incarnations with missing, damaged or late lines. */
  losses (): IncarnationLoss[] {
    return [...this.#incarnations.values()].map(one => {
      const damaged = damagedRangesNotRead(one)
      const missing = subtractRanges(one.intactRanges.gaps(), damaged)
      return {
        node: one.node,
        incarnation: one.incarnation,
        missing,
        missingCount: countOf(missing),
        damaged,
        damagedCount: countOf(damaged),
        tooLateCount: one.tooLateCount
      }
    }).filter(loss => loss.missingCount + loss.damagedCount + loss.tooLateCount > 0)
      .sort((a, b) => a.node < b.node || (a.node === b.node && a.incarnation < b.incarnation) ? -1 : 1)
  }

  #getOrCreate (node: string, incarnation: string): IncarnationRanges {
    const key = `${node}\n${incarnation}`
    const known = this.#incarnations.get(key)
    if (known !== undefined) return known
    // The copies hold no reference to the text of the file from which the names were sliced.
    const created = {
      node: detachedCopy(node),
      incarnation: detachedCopy(incarnation),
      intactRanges: new SequenceRanges(),
      damagedRanges: undefined,
      tooLateCount: 0
    }
    this.#incarnations.set(detachedCopy(key), created)
    return created
  }
}

/**
 * Returns a copy of a slice of a larger string. V8 keeps the larger string in
 * memory as long as the slice itself exists.
 *
 * @example
 * names.add(copied(line.slice(0, 20)))
 */
export function detachedCopy (text: string): string {
  return Buffer.from(text, 'utf8').toString('utf8')
}
