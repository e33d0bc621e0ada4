import type { IncarnationLoss } from './reportTypes.js'
import { SequenceStatus, SequenceRanges, type SequenceRange } from './sequenceRanges.js'

interface Incarnation {
  readonly node: string
  readonly incarnation: string
  readonly read: SequenceRanges
  damaged: SequenceRanges | undefined
  tooLateCount: number
}

function countOf (ranges: readonly SequenceRange[]): number {
  return ranges.reduce((sum, { first, last }) => sum + last - first + 1, 0)
}

/** Numbers of damaged lines that no whole line has. */
function damagedRangesNotRead ({ read, damaged }: Incarnation): SequenceRange[] {
  if (damaged === undefined) return []
  const ranges: Array<{ first: number, last: number }> = []
  for (const { first, last } of damaged.coveredRanges()) {
    for (let sequence = first; sequence <= last; sequence += 1) {
      if (read.has(sequence)) continue
      const lastRange = ranges.at(-1)
      if (lastRange?.last === sequence - 1) lastRange.last = sequence
      else ranges.push({ first: sequence, last: sequence })
    }
  }
  return ranges
}

/** The parts of the gaps that no damaged line explains. */
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

/** Which record lines were read, by node, incarnation and sequence number. */
export class RecordLosses {
  readonly #incarnations = new Map<string, Incarnation>()

  get incarnationsCount (): number {
    return this.#incarnations.size
  }

  get startsLaterCount (): number {
    return [...this.#incarnations.values()].filter(one => one.read.first > 1).length
  }

  /** Notes a whole line; tells whether it is to be counted. */
  addIntact (node: string, incarnation: string, sequence: number): SequenceStatus {
    const found = this.#getOrCreate(node, incarnation)
    const status = found.read.add(sequence)
    if (status === SequenceStatus.TooLate) found.tooLateCount += 1
    return status
  }

  addDamaged (node: string, incarnation: string, sequence: number): void {
    const found = this.#getOrCreate(node, incarnation)
    found.damaged ??= new SequenceRanges()
    found.damaged.add(sequence)
  }

  /** Incarnations with missing, damaged or late lines. */
  losses (): IncarnationLoss[] {
    return [...this.#incarnations.values()].map(one => {
      const damaged = damagedRangesNotRead(one)
      const missing = subtractRanges(one.read.gaps(), damaged)
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

  #getOrCreate (node: string, incarnation: string): Incarnation {
    const key = `${node}\n${incarnation}`
    const known = this.#incarnations.get(key)
    if (known !== undefined) return known
    // The copies keep no reference to the text of the file that the names were cut from.
    const created = {
      node: detachedCopy(node),
      incarnation: detachedCopy(incarnation),
      read: new SequenceRanges(),
      damaged: undefined,
      tooLateCount: 0
    }
    this.#incarnations.set(detachedCopy(key), created)
    return created
  }
}

/**
 * Copy of a text that was cut from a larger one; the engine would keep the
 * larger one in memory as long as the part.
 *
 * @example
 * names.add(copied(line.slice(0, 20)))
 */
export function detachedCopy (text: string): string {
  return Buffer.from(text, 'utf8').toString('utf8')
}
