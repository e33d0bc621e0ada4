import { Readable } from 'node:stream'
import { gzipSync } from 'node:zlib'
import { Importance, Outcome, Reason } from '../core/coreTypes.js'
import { parseDocumentText } from '../core/documents/documentsParse.js'
import { ledgerDefinition } from '../core/ledger/ledgerDefinition.js'
import { RecordRole, type CallRecord } from '../core/ledger/ledgerTypes.js'
import { seededRandom } from '../standins/randomNumbers.js'
import { BOOKING_TEXT } from '../testing/documentSamples.js'
import { DONE_RECORD, generateRecordLines, createTestLedger } from '../testing/recordLines.js'
import { buildReport } from './buildReport.js'
import { DistinctCounter } from './distinctCounter.js'
import { readLines } from './readLines.js'
import { reportHtml } from './reportHtml.js'
import { reportText } from './reportTable.js'
import { ReportTally } from './reportTally.js'
import type { Report } from './reportTypes.js'
import { SequenceStatus, SequenceRanges } from './sequenceRanges.js'

const documents = parseDocumentText(BOOKING_TEXT).map(found => [found.document]).orDefault([])

async function reportFor (text: string | Buffer, chunkSize = 1_000): Promise<Report> {
  const bytes = Buffer.from(text)
  const chunks = Array.from({ length: Math.ceil(bytes.length / chunkSize) }, (_, index) =>
    bytes.subarray(index * chunkSize, (index + 1) * chunkSize))
  const tally = new ReportTally()
  const fileReadResult = await readLines('node.log', (line, hasLineEnd) => tally.countLine(line, hasLineEnd), Readable.from(chunks))
  return buildReport(tally, documents, [fileReadResult])
}

function fileOf (lines: readonly string[]): string {
  return lines.map(line => `${line}\n`).join('')
}

function linesOf (records: ReadonlyArray<Partial<CallRecord>>, nodeId = 'vm-1'): string[] {
  const ledger = createTestLedger(nodeId)
  return records.map((record, index) =>
    ledgerDefinition.recordCall(ledger, { ...DONE_RECORD, callId: `${nodeId}-${index}`, ...record }))
}

const generated = [...generateRecordLines(3, 400, 3)]
const tenLines = linesOf(Array.from({ length: 10 }, (_, index) => ({ rootId: `root-${index}` })))

/** The report without the counts of lines, which depend on repeated lines. */
function withoutLineCounts ({ completeness, ...rest }: Report): unknown {
  return { ...rest, losses: completeness.losses, isComplete: completeness.isComplete }
}

describe('report', () => {
  test('text, HTML and JSON output match the snapshots', async () => {
    const report = await reportFor(fileOf(generated))
    expect(reportText(report)).toMatchSnapshot()
    expect(reportHtml(report)).toMatchSnapshot()
    expect(await reportFor(fileOf(tenLines.slice(0, 2)))).toMatchSnapshot()
  })

  test('an empty input gives a complete report without calls', async () => {
    expect(reportHtml(await reportFor(''))).toMatchSnapshot()
  })

  test('a call with records of several nodes counts once, and a refused send does not count as taken', async () => {
    const refusal = { outcome: Outcome.NotRun, reason: Reason.ShareUsed, limitedBy: 'dispatchers' }
    const report = await reportFor(fileOf([
      ...linesOf([{ role: RecordRole.Entry, callId: 'c' }], 'vm-entry'),
      ...linesOf([{ role: RecordRole.Executor, callId: 'c', ...refusal }], 'vm-full'),
      ...linesOf([{ role: RecordRole.Executor, callId: 'c' }], 'vm-free'),
      ...linesOf([{ role: RecordRole.Both, callId: 'd', withinPromise: false }], 'vm-both')
    ]))
    expect(report.usage)
      .toMatchObject([{ takenCount: 2, withinPromiseCount: 1, abovePromiseCount: 1, promisedCallsPerS: 100 }])
    expect(report.seen.map(row => row.counts)).toEqual([{ done: 2, not_run: 0, unknown: 0, cancelled: 0 }])
    expect(report.refusals).toEqual([])
  })

  test('sends and distinct root requests are counted; sub-calls are not sends', async () => {
    const roots = ['a', 'a', 'a', 'b'].map(rootId => ({ rootId, outcome: Outcome.NotRun, reason: Reason.Overload }))
    const report = await reportFor(fileOf(linesOf([...roots, { rootId: 'a', parentId: 'call-9' }])))
    expect(report.sends).toEqual([{ callerName: 'dispatchers', sendsCount: 4, rootsCount: 2, isEstimate: false }])
  })

  test('a record marked as repeated takes a sequence number but is not counted', async () => {
    const report = await reportFor(fileOf(linesOf([{ callId: 'x' }, { callId: 'x' }, { callId: 'y' }])))
    expect(report.completeness).toMatchObject({ recordsCount: 2, repeatedRecordsCount: 1, isComplete: true })
  })

  test('an unused promise is listed', async () => {
    const report = await reportFor('')
    expect(report.usage).toMatchObject([{ callerName: 'dispatchers', takenCount: 0, promisedCallsPerS: 100 }])
  })

  test('unlisted callers recorded as default_caller have the default promise; any other unlisted name has none', async () => {
    const misnamed = { serviceName: 'stock', outcome: Outcome.NotRun, reason: Reason.UnknownService }
    const report = await reportFor(fileOf(linesOf([{ callerName: 'default_caller' }, { callerName: 'former' }, misnamed])))
    expect(report.usage.map(row => [row.callerName, row.promisedCallsPerS]))
      .toEqual([['default_caller', 1], ['dispatchers', 100], ['former', null]])
  })

  test('names from headers cannot inject HTML or control characters', async () => {
    const report = await reportFor(fileOf(linesOf([{ callerName: '<script>&"\n\u001b[2J' }])))
    expect(reportHtml(report)).not.toMatch(/<script|\u001b/) // eslint-disable-line no-control-regex
  })
})

describe('damaged, missing and reordered lines', () => {
  test('reordered and repeated lines change no figure and are not reported as missing', async () => {
    const random = seededRandom(5)
    const mixed = [...generated, ...generated.slice(0, 150)].map(line => ({ line, key: random() }))
      .sort((a, b) => a.key - b.key).map(entry => entry.line)
    const [plain, changed] = [await reportFor(fileOf(generated)), await reportFor(fileOf(mixed))]
    expect(withoutLineCounts(changed)).toEqual(withoutLineCounts(plain))
    expect(changed.completeness).toMatchObject({ repeatedLinesCount: 150, isComplete: true })
  })

  test('missing lines are reported by node, incarnation and range', async () => {
    const report = await reportFor(fileOf(tenLines.filter((_, index) => ![2, 3, 4, 7].includes(index))))
    expect(report.completeness.losses).toMatchObject([
      { node: 'vm-1', incarnation: 'i1', missing: [{ first: 3, last: 5 }, { first: 8, last: 8 }], missingCount: 4 }
    ])
    expect(report.completeness).toMatchObject({ isComplete: false, recordsCount: 6 })
  })

  test('a line truncated at any position is never counted', async () => {
    const whole = tenLines[4] ?? ''
    for (let length = 1; length < whole.length; length += 1) {
      const file = fileOf(tenLines.slice(0, 4)) + whole.slice(0, length)
      const { completeness } = await reportFor(file, 100_000)
      const isNamed = length > whole.indexOf(' role=')
      expect([length, completeness.recordsCount]).toEqual([length, 4])
      if (isNamed) expect(completeness.losses).toMatchObject([{ damaged: [{ first: 5, last: 5 }], missingCount: 0 }])
    }
  })

  test('a line without its start, two merged lines and invalid values are damaged, not other events', async () => {
    const [a = '', b = '', c = '', d = ''] = tenLines
    const garbled = d.replace('outcome=done', 'outcome=dxne')
    const { completeness } = await reportFor(fileOf([a.slice(12), b.slice(0, 150) + c, garbled, ...tenLines.slice(4)]))
    expect(completeness.losses)
      .toMatchObject([{ damaged: [{ first: 1, last: 2 }, { first: 4, last: 4 }], missingCount: 0 }])
    expect(completeness.recordsCount).toBe(6)
  })

  test('a damaged line with an intact copy elsewhere is not a loss', async () => {
    const { completeness } = await reportFor(fileOf([(tenLines[3] ?? '').slice(0, 200), ...tenLines]))
    expect(completeness).toMatchObject({ losses: [], isComplete: true, recordsCount: 10 })
  })

  test('lines of other events, blank lines and CRLF line ends are not damage', async () => {
    const others = ['level=info event=node_ready node=vm-1', '', 'plain text', 'event=caller_second seq=4']
    const { completeness } = await reportFor([...tenLines, ...others].join('\r\n') + '\r\n')
    expect(completeness).toMatchObject({ recordsCount: 10, otherLinesCount: 4, isComplete: true })
  })

  test('a too long line is reported as damaged and not kept in memory', async () => {
    const { completeness } = await reportFor(`${'x'.repeat(300_000)}\n${fileOf(tenLines)}`, 65_536)
    expect(completeness).toMatchObject({ unnamedDamagedCount: 1, recordsCount: 10 })
  })

  test.each([1, 3, 100_000])('gzip is recognized by content, in chunks of %d bytes', async chunkSize => {
    const report = await reportFor(gzipSync(fileOf(generated)), chunkSize)
    expect(withoutLineCounts(report)).toEqual(withoutLineCounts(await reportFor(fileOf(generated))))
  })

  test('a truncated gzip file is reported as unread', async () => {
    const packed = gzipSync(fileOf(generated))
    const { completeness } = await reportFor(packed.subarray(0, packed.length - 2_000))
    expect([completeness.unreadFiles.map(file => file.name), completeness.isComplete]).toEqual([['node.log'], false])
  })

  test('a file that does not exist gives an error', async () => {
    const end = await readLines('no-such-file.log', () => {})
    expect(end.error).toContain('ENOENT')
  })
})

describe('bounded memory', () => {
  test('beyond the capacity the oldest gap is closed, and its lines count as too late', () => {
    const ranges = new SequenceRanges(3)
    for (const number of [1, 3, 5, 7]) ranges.add(number)
    expect([2, 3, 6, 7].map(number => ranges.add(number)))
      .toEqual([SequenceStatus.TooLate, SequenceStatus.Repeated, SequenceStatus.New, SequenceStatus.Repeated])
    expect(ranges.gaps()).toEqual([{ first: 2, last: 2 }, { first: 4, last: 4 }])
    expect([ranges.has(2), ranges.has(6)]).toEqual([false, true])
  })

  test('an estimate of distinct requests is marked as such and within 3%', () => {
    const counter = new DistinctCounter(1_000)
    for (let index = 0; index < 100_000; index += 1) counter.add(`root-${index % 50_000}`)
    expect(counter.isEstimate).toBe(true)
    expect(Math.abs(counter.count() / 50_000 - 1)).toBeLessThan(0.03)
  })

  test('names beyond the capacity count under (other)', async () => {
    const names = Array.from({ length: 10_050 }, (_, index) => `c-${index}`)
    const records = names.map(callerName => ({ callerName, importance: Importance.Low }))
    const report = await reportFor(fileOf(linesOf(records)), 1_000_000)
    expect(report.seen.find(row => row.callerName === '(other)')?.counts.done).toBe(50)
    expect(report.completeness.overflowCount).toBe(50)
  })
})
