import type { IncarnationLoss } from './reportTypes.js'
import { SequenceNews, SequenceRanges, type SequenceRange } from './sequenceRanges.js'

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
function damagedOnly ({ read, damaged }: Incarnation): SequenceRange[] {
  if (damaged === undefined) return []
  const found: Array<{ first: number, last: number }> = []
  for (const { first, last } of damaged.all()) {
    for (let number = first; number <= last; number += 1) {
      if (read.has(number)) continue
      const newest = found.at(-1)
      if (newest?.last === number - 1) newest.last = number
      else found.push({ first: number, last: number })
    }
  }
  return found
}

/** The parts of the gaps that no damaged line explains. */
function without (gaps: readonly SequenceRange[], taken: readonly SequenceRange[]): SequenceRange[] {
  return gaps.flatMap(gap => {
    const parts: SequenceRange[] = []
    let from = gap.first
    for (const { first, last } of taken) {
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
  add (node: string, incarnation: string, sequence: number): SequenceNews {
    const found = this.#of(node, incarnation)
    const news = found.read.add(sequence)
    if (news === SequenceNews.TooLate) found.tooLateCount += 1
    return news
  }

  addDamaged (node: string, incarnation: string, sequence: number): void {
    const found = this.#of(node, incarnation)
    found.damaged ??= new SequenceRanges()
    found.damaged.add(sequence)
  }

  /** Incarnations with missing, damaged or late lines. */
  losses (): IncarnationLoss[] {
    return [...this.#incarnations.values()].map(one => {
      const damaged = damagedOnly(one)
      const missing = without(one.read.gaps(), damaged)
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

  #of (node: string, incarnation: string): Incarnation {
    const key = `${node}\n${incarnation}`
    const known = this.#incarnations.get(key)
    if (known !== undefined) return known
    // The copies keep no reference to the text of the file that the names were cut from.
    const made = {
      node: copied(node),
      incarnation: copied(incarnation),
      read: new SequenceRanges(),
      damaged: undefined,
      tooLateCount: 0
    }
    this.#incarnations.set(copied(key), made)
    return made
  }
}

/**
 * Copy of a text that was cut from a larger one; the engine would keep the
 * larger one in memory as long as the part.
 *
 * @example
 * names.add(copied(line.slice(0, 20)))
 */
export function copied (text: string): string {
  return Buffer.from(text, 'utf8').toString('utf8')
}
