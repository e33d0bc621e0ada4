import { pack, unpack } from 'msgpackr'
import { encodeBodyPartHead } from './bodyPartHead.js'
import { encodeFrame, FrameKind, FrameReader, type Frame } from './frames.js'
import { RefusalReason, UnknownOutcomeReason, type ResultReport } from './meshTypes.js'

const REPORT: ResultReport = {
  load: { runningCount: 3, queuedCount: 0, limitCount: 28, acceptsWork: true, paceRatio: null },
  usage: [
    { serviceName: 'front', slotMs: 41, utilizationRatio: 0.3, callsCount: 1, refusedRatio: null, reportsCount: 0 },
    { serviceName: 'deep', slotMs: 320, utilizationRatio: 0.4, callsCount: 8, refusedRatio: 0.552, reportsCount: 17 }
  ],
  arrivals: null,
  signals: { kind: 'none' }
}
const FRAME = encodeFrame({
  kind: FrameKind.NotRun,
  number: 7,
  result: { kind: 'not_run', reason: RefusalReason.BackendShed, reachedBackend: true },
  report: REPORT
})

/** Reads the frame after a change of the fields of its report, as a peer of another build or a faulty one sends it. */
function readWith (change: (fields: unknown[]) => unknown[]): ResultReport {
  const fields = unpack(FRAME.subarray(4)) as unknown[]
  fields[2] = change(fields[2] as unknown[])
  const packed = pack(fields)
  const length = Buffer.alloc(4)
  length.writeUInt32BE(packed.length)
  const [frame] = new FrameReader().read(Buffer.concat([length, packed]))
  return (frame as { report: ResultReport }).report
}

test('calls and refusal ratios of services reach the other node', () => {
  expect(readWith(fields => fields)).toEqual(REPORT)
})

test('a peer of an older build sends no calls, which are then not known', () => {
  const { usage, signals } = readWith(fields => fields.slice(0, -2))
  expect(usage.map(({ callsCount, refusedRatio }) => [callsCount, refusedRatio])).toEqual([[0, null], [0, null]])
  expect(signals).toEqual({ kind: 'none' })
})

test.each([[-1], [Number.NaN], [1e300], ['1'], [null], [1023], [[]]])('a faulty peer that sends %j as calls does no harm', field => {
  const [entry] = readWith(fields => [...fields.slice(0, -1), [field, field]]).usage
  expect(entry!.callsCount).toBeGreaterThanOrEqual(0)
  expect(entry!.refusedRatio ?? 0).toBeGreaterThanOrEqual(0)
  expect(entry!.refusedRatio ?? 0).toBeLessThanOrEqual(1)
})

const ANSWERED = {
  kind: 'answered', statusCode: 200, statusText: '', headerText: '', body: Buffer.alloc(0), hasLength: true, servedMs: 1
} as const
const UNKNOWN = { kind: 'unknown', reason: UnknownOutcomeReason.MalformedAnswer }
const UNKNOWN_FRAMES = [7, 8].map(number => (
  { kind: FrameKind.UnknownOutcome, number, result: UNKNOWN, report: REPORT }
))

/** Encodes and reads the frames of an answer as a whole and of an announced one. */
function readAnswers (answer: object): Frame[] {
  const result = { ...ANSWERED, ...answer }
  return new FrameReader().read(Buffer.concat([
    encodeFrame({ kind: FrameKind.Answered, number: 7, result, report: REPORT }),
    encodeFrame({ kind: FrameKind.LongAnswer, number: 8, result, report: REPORT, bodyBytes: 70_000 })
  ]))
}

// A node of an older build forwards what the parser refuses now.
test.each([0, 99, 101, 600, 1_000, Number.NaN])('an answer with status %d from another node has an unknown outcome', statusCode => {
  expect(readAnswers({ statusCode })).toMatchObject(UNKNOWN_FRAMES)
})

test.each([
  ['a b: c\r\n'], ['a : b\r\n'], ['a\x01: b\r\n'], [': b\r\n'], ['a\r\n'], ['a: b\r\n c\r\n'],
  ['a: b\x00\r\n'], ['a: b\r\n\r\n'], ['a: b'], ['\u0141: b\r\n'], ['a: \u0141\r\n'], [7]
])('an answer with header lines like %j from another node has an unknown outcome', headerText => {
  expect(readAnswers({ headerText })).toMatchObject(UNKNOWN_FRAMES)
})

test('an answer with a control byte in its reason phrase from another node has an unknown outcome', () => {
  expect(readAnswers({ statusText: 'a\r\nb: c' })).toMatchObject(UNKNOWN_FRAMES)
})

test('an answer with ordinary header lines from another node is read as it was sent', () => {
  const answer = { statusText: 'Voil\xE0', headerText: 'A: b\r\nEmpty: \r\nText: voil\xC3\xA0\t"x: y"\r\n' }
  expect(readAnswers(answer)).toMatchObject([
    { kind: FrameKind.Answered, number: 7, result: answer, report: REPORT },
    { kind: FrameKind.LongAnswer, number: 8, result: answer, report: REPORT, bodyBytes: 70_000 }
  ])
})

test.each([[0], [7], [0xFFFF_FFFF], [0x1_0000_0000], [Number.MAX_SAFE_INTEGER]])(
  'a part of the body of call %d is the same frame as if it had been packed whole', number => {
    const bytes = Buffer.alloc(70_000, 'part')
    const frames = new FrameReader().read(Buffer.concat([encodeBodyPartHead(number, bytes.length), bytes]))
    expect(frames).toEqual([{ kind: FrameKind.BodyPart, number, bytes }])
    expect(new FrameReader().read(encodeFrame(frames[0]!))).toEqual(frames)
  }
)
