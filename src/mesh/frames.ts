// Without the package's native addon, whose search and load take longer at the start than it saves on short strings.
import { Packr } from 'msgpackr/pack'
import type { ServiceUsage } from '../core/chainAdmission/chainAdmissionTypes.js'
import { BodyBuffer } from '../http/bodyBuffer.js'
import { areFieldLines, isFieldText } from '../http/fieldSyntax.js'
import { joinBody } from '../http/messageBody.js'
import { plausiblePaceRatio } from '../core/placement/placementDetector.js'
import type { ServerSignals } from '../core/placement/placementTypes.js'
import type { SpreadId, TreeNumber } from '../core/spread/spreadTypes.js'
import { UnknownOutcomeReason, type DispatchedCall, type DispatchResult, type RefusalReason, type ResultReport } from './meshTypes.js'

/** Kinds of messages between nodes. The numbers are part of the wire format. */
export enum FrameKind {
  Hello = 1,
  Call = 2,
  Cancel = 3,
  Answered = 4,
  NotRun = 5,
  UnknownOutcome = 6,
  Ping = 7,
  Pong = 8,
  Resume = 9,
  NotReceived = 10,
  Notice = 11,
  Spread = 12,
  /** A call whose body follows in parts once the receiver asks for it. */
  LongCall = 13,
  /** An answer whose body follows in parts once the receiver asks for it. */
  LongAnswer = 14,
  /** Asks for the body of a long call or answer. */
  Pull = 15,
  /** The next part of a body that was asked for. */
  BodyPart = 16
}

/** Longest accepted frame. An answer of the greatest allowed size (64 MB) fits into it with its head. */
const FRAME_MAX_BYTES = 80 * 1024 * 1024
/** Length of a frame, before it. */
export const LENGTH_BYTES = 4

/** A notice on its way to all nodes. */
export interface SpreadCopy extends SpreadId {
  readonly tree: TreeNumber
  /** Number of connections that the copy has travelled. */
  readonly hopsCount: number
  readonly text: string
}

/** Handshake message that each side sends first on a connection. */
export interface Hello {
  /** Random id that is new at each start of a node's process. */
  readonly incarnation: string
  readonly ip: string
  readonly dataCentre: string
  readonly serviceName: string
  /** Whether the process reads bodies in parts. Those of older builds do not. */
  readonly acceptsParts: boolean
}

type AnsweredResult = Extract<DispatchResult, { kind: 'answered' }>

export type Frame =
  | { readonly kind: FrameKind.Hello, readonly hello: Hello }
  | { readonly kind: FrameKind.Call, readonly number: number, readonly call: DispatchedCall }
  | { readonly kind: FrameKind.Cancel, readonly number: number }
  | {
    readonly kind: FrameKind.Answered | FrameKind.NotRun | FrameKind.UnknownOutcome
    readonly number: number
    readonly result: DispatchResult
    readonly report: ResultReport
  }
  | { readonly kind: FrameKind.Ping | FrameKind.Pong }
  | { readonly kind: FrameKind.Resume, readonly numbers: readonly number[] }
  | { readonly kind: FrameKind.NotReceived, readonly number: number }
  | { readonly kind: FrameKind.Notice, readonly text: string }
  | { readonly kind: FrameKind.Spread, readonly copy: SpreadCopy }
  /** `call` has an empty body. */
  | {
    readonly kind: FrameKind.LongCall
    readonly number: number
    readonly call: DispatchedCall
    readonly bodyBytes: number
  }
  /** `result` has an empty body. */
  | {
    readonly kind: FrameKind.LongAnswer
    readonly number: number
    readonly result: AnsweredResult
    readonly report: ResultReport
    readonly bodyBytes: number
  }
  | { readonly kind: FrameKind.Pull, readonly number: number }
  | { readonly kind: FrameKind.BodyPart, readonly number: number, readonly bytes: Uint8Array }

const packr = new Packr({ useRecords: false, moreTypes: false, encodeUndefinedAsNil: true })

const PER_MILLE = 1000
const PER_CENT = 100
/** Greater than any ratio in thousandths plus one. */
const RESULTS_FACTOR = 1024
const RESULTS_MAX_COUNT = 63
const CALLS_FACTOR = RESULTS_FACTOR * (RESULTS_MAX_COUNT + 1)
/** What is known of the calls if the sender is of an older build. */
const NO_CALLS = { callsCount: 0, refusedRatio: null, reportsCount: 0 }
/** Stands for counts that the sender does not know. */
const NOT_KNOWN = -1

/** Encodes what a server asks for as one field, or null for the usual case that it asks for nothing. */
function encodeSignals (signals: ServerSignals): unknown[] | null {
  switch (signals.kind) {
    case 'none': return null
    case 'unknown': return []
    case 'limited':
      return [signals.serverId, signals.startedAtWallMs, signals.limitPerS, Math.ceil(signals.startDelayMs)]
    case 'departing': return [signals.serverId, signals.startedAtWallMs]
  }
}

function decodeSignals (field: unknown): ServerSignals {
  if (field === null || field === undefined) return { kind: 'none' }
  const fields = field as unknown[]
  if (fields.length === 0) return { kind: 'unknown' }
  const [serverId, startedAtWallMs] = fields as [string, number]
  if (fields.length === 2) return { kind: 'departing', serverId, startedAtWallMs }
  const [limitPerS, startDelayMs] = fields.slice(2) as [number, number]
  return { kind: 'limited', serverId, startedAtWallMs, limitPerS, startDelayMs }
}

function decodePace (field: unknown): number | null {
  return typeof field === 'number' ? plausiblePaceRatio(field / PER_CENT) : null
}

/**
 * Encodes the calls and the refusal ratio of a service as one number: the calls times 65,536, plus the results behind
 * the ratio times 1,024, plus the ratio in thousandths plus one. An unknown ratio has no results.
 */
function encodeCalls ({ callsCount, refusedRatio, reportsCount }: ServiceUsage): number {
  const calls = callsCount * CALLS_FACTOR
  if (refusedRatio === null) return calls
  return calls + Math.min(RESULTS_MAX_COUNT, reportsCount) * RESULTS_FACTOR + Math.round(refusedRatio * PER_MILLE) + 1
}

/** Decodes what `encodeCalls` encodes. A peer of an older build sends nothing, and a faulty one any value. */
function decodeCalls (field: unknown): Pick<ServiceUsage, 'callsCount' | 'refusedRatio' | 'reportsCount'> {
  if (!Number.isSafeInteger(field) || (field as number) < 0) return NO_CALLS
  const perMille = (field as number) % RESULTS_FACTOR - 1
  return {
    callsCount: Math.floor((field as number) / CALLS_FACTOR),
    reportsCount: Math.floor((field as number) / RESULTS_FACTOR) % (RESULTS_MAX_COUNT + 1),
    refusedRatio: perMille < 0 ? null : Math.min(1, perMille / PER_MILLE)
  }
}

/**
 * Encodes the load and the arrivals as six numbers, then three fields for each service in the usage, then what the
 * server asks for, or null, then a list: the server's pace in percent, or null, and the calls at these services.
 * An older build ignores the last field; with three fields at the end it would read them as a service.
 */
function encodeReport ({ load, usage, arrivals, signals }: ResultReport): unknown[] {
  const fields: unknown[] = [
    load.runningCount, load.queuedCount, load.limitCount, load.acceptsWork ? 1 : 0,
    arrivals === null ? NOT_KNOWN : arrivals.firstCount, arrivals === null ? NOT_KNOWN : arrivals.repeatedCount
  ]
  for (const { serviceName, slotMs, utilizationRatio } of usage) {
    fields.push(serviceName, Math.round(slotMs), Math.round(utilizationRatio * PER_MILLE))
  }
  const paceField = load.paceRatio === null ? null : Math.round(load.paceRatio * PER_CENT)
  fields.push(encodeSignals(signals), [paceField, ...usage.map(encodeCalls)])
  return fields
}

function encodeResult (number: number, result: DispatchResult, report: ResultReport): unknown[] {
  switch (result.kind) {
    case 'answered':
      return [
        FrameKind.Answered, number, encodeReport(report), result.statusCode, result.statusText, result.headerText,
        joinBody(result.body), Math.round(result.servedMs),
        result.hasLength ? 1 : 0
      ]
    case 'not_run': return [FrameKind.NotRun, number, encodeReport(report), result.reason, result.reachedBackend ? 1 : 0]
    case 'unknown': return [FrameKind.UnknownOutcome, number, encodeReport(report), result.reason]
  }
}

function encodeCall (number: number, call: DispatchedCall): unknown[] {
  const { traceContext } = call
  return [
    FrameKind.Call, number, call.serviceName, call.serverId, call.requestId, call.method, call.target,
    call.headerText, joinBody(call.body), Math.floor(call.remainingMs), Math.floor(call.queueWaitMaxMs), call.rank,
    call.mayRepeat ? 1 : 0, traceContext.rootId, traceContext.rootRoute, traceContext.rootImportanceRank,
    traceContext.depth, traceContext.isRetry ? 1 : 0, call.knownLimitPerS, call.workspaceName
  ]
}

function encodeFields (frame: Frame): unknown[] {
  switch (frame.kind) {
    case FrameKind.Hello: {
      const { incarnation, ip, dataCentre, serviceName, acceptsParts } = frame.hello
      return [frame.kind, incarnation, ip, dataCentre, serviceName, acceptsParts ? 1 : 0]
    }
    case FrameKind.Call: return encodeCall(frame.number, frame.call)
    case FrameKind.LongCall: return [frame.kind, frame.bodyBytes, encodeCall(frame.number, frame.call)]
    case FrameKind.LongAnswer:
      return [frame.kind, frame.bodyBytes, encodeResult(frame.number, frame.result, frame.report)]
    case FrameKind.BodyPart: return [frame.kind, frame.number, frame.bytes]
    case FrameKind.Answered:
    case FrameKind.NotRun:
    case FrameKind.UnknownOutcome:
      return encodeResult(frame.number, frame.result, frame.report)
    case FrameKind.Cancel:
    case FrameKind.NotReceived:
    case FrameKind.Pull:
      return [frame.kind, frame.number]
    case FrameKind.Ping:
    case FrameKind.Pong:
      return [frame.kind]
    case FrameKind.Resume: return [frame.kind, frame.numbers]
    case FrameKind.Notice: return [frame.kind, frame.text]
    case FrameKind.Spread: {
      const { tree, origin, number, hopsCount, text } = frame.copy
      return [frame.kind, tree, origin, number, hopsCount, text]
    }
  }
}

/**
 * Encodes a frame as its length in four bytes (big-endian), then a MessagePack array.
 *
 * @example
 * socket.write(encodeFrame({ kind: FrameKind.Ping }))
 */
export function encodeFrame (frame: Frame): Buffer {
  const packed = packr.pack(encodeFields(frame))
  const bytes = Buffer.allocUnsafe(LENGTH_BYTES + packed.length)
  bytes.writeUInt32BE(packed.length, 0)
  bytes.set(packed, LENGTH_BYTES)
  return bytes
}

function decodeReport (field: unknown): ResultReport {
  const fields = field as unknown[]
  const [runningCount, queuedCount, limitCount, acceptsWork, firstCount, repeatedCount] =
    fields as [number, number, number, number, number, number]
  const usage: ServiceUsage[] = []
  let index = 6
  for (; index + 2 < fields.length; index += 3) {
    const [serviceName, slotMs, perMille] = fields.slice(index, index + 3) as [string, number, number]
    usage.push({ serviceName, slotMs, utilizationRatio: perMille / PER_MILLE, ...NO_CALLS })
  }
  const lastField = fields[index + 1]
  const [paceField, ...callsFields]: readonly unknown[] = Array.isArray(lastField) ? lastField : []
  return {
    load: { runningCount, queuedCount, limitCount, acceptsWork: acceptsWork === 1, paceRatio: decodePace(paceField) },
    usage: usage.map((entry, at) => ({ ...entry, ...decodeCalls(callsFields[at]) })),
    arrivals: firstCount === NOT_KNOWN ? null : { firstCount, repeatedCount },
    signals: decodeSignals(fields[index])
  }
}

function decodeCall (fields: readonly unknown[]): DispatchedCall {
  const [
    , , serviceName, serverId, requestId, method, target, headerText, body, remainingMs, waitMaxMs, rank,
    mayRepeatFlag, rootId, rootRoute, rootImportanceRank, depth, retryFlag, knownLimitPerS, workspaceName
  ] = fields as [
    unknown, unknown, string, string, string, string, string, string, Buffer, number, number, number, number,
    string, string, number, number, number, number | null | undefined, string | null | undefined
  ]
  return {
    serviceName,
    serverId,
    requestId,
    method,
    target,
    headerText,
    body,
    remainingMs,
    queueWaitMaxMs: waitMaxMs,
    rank,
    mayRepeat: mayRepeatFlag === 1,
    knownLimitPerS: knownLimitPerS ?? null,
    workspaceName: workspaceName ?? null,
    traceContext: { rootId, rootRoute, rootImportanceRank, depth, isRetry: retryFlag === 1 }
  }
}

function isFinalStatus (statusCode: unknown): boolean {
  return Number.isInteger(statusCode) && (statusCode as number) >= 200 && (statusCode as number) <= 599
}

/** Returns null if the head of the answer is malformed: a peer of an older build forwards any head of its server. */
function decodeAnswer (fields: readonly unknown[]): AnsweredResult | null {
  const [, , , statusCode, statusText, headerText, body, servedMs, hasLengthFlag] =
    fields as [unknown, unknown, unknown, number, string, string, Buffer, number, number]
  const isHeadValid = isFinalStatus(statusCode) && isFieldText(statusText) &&
    typeof headerText === 'string' && areFieldLines(headerText)
  if (!isHeadValid) return null
  return { kind: 'answered', statusCode, statusText, headerText, body, servedMs, hasLength: hasLengthFlag === 1 }
}

function createMalformed (number: number, report: unknown): Frame {
  const result = { kind: 'unknown', reason: UnknownOutcomeReason.MalformedAnswer } as const
  return { kind: FrameKind.UnknownOutcome, number, report: decodeReport(report), result }
}

function decodeLength (field: unknown): number {
  if (!Number.isSafeInteger(field) || (field as number) < 0) throw new RangeError(`body of ${String(field)} bytes`)
  return field as number
}

function decodeFields (fields: readonly unknown[]): Frame {
  const kind = fields[0] as FrameKind
  switch (kind) {
    case FrameKind.Hello: {
      const [, incarnation, ip, dataCentre, serviceName, acceptsPartsFlag] =
        fields as [unknown, string, string, string, string, number | undefined]
      return { kind, hello: { incarnation, ip, dataCentre, serviceName, acceptsParts: acceptsPartsFlag === 1 } }
    }
    case FrameKind.Call: return { kind, number: fields[1] as number, call: decodeCall(fields) }
    case FrameKind.Answered: {
      const [, number, report] = fields as [unknown, number, unknown]
      const result = decodeAnswer(fields)
      return result === null ? createMalformed(number, report) : { kind, number, report: decodeReport(report), result }
    }
    case FrameKind.LongCall: {
      const callFields = fields[2] as unknown[]
      return {
        kind, bodyBytes: decodeLength(fields[1]), number: callFields[1] as number, call: decodeCall(callFields)
      }
    }
    case FrameKind.LongAnswer: {
      const [, number, report] = fields[2] as [unknown, number, unknown]
      const result = decodeAnswer(fields[2] as unknown[])
      if (result === null) return createMalformed(number, report)
      return { kind, bodyBytes: decodeLength(fields[1]), number, report: decodeReport(report), result }
    }
    case FrameKind.BodyPart: return { kind, number: fields[1] as number, bytes: fields[2] as Buffer }
    case FrameKind.NotRun: {
      const [, number, report, reason, reachedBackendFlag] = fields as [unknown, number, unknown, RefusalReason, number]
      return { kind, number, report: decodeReport(report), result: { kind: 'not_run', reason, reachedBackend: reachedBackendFlag === 1 } }
    }
    case FrameKind.UnknownOutcome: {
      const [, number, report, reason] = fields as [unknown, number, unknown, UnknownOutcomeReason]
      return { kind, number, report: decodeReport(report), result: { kind: 'unknown', reason } }
    }
    case FrameKind.Cancel:
    case FrameKind.NotReceived:
    case FrameKind.Pull:
      return { kind, number: fields[1] as number }
    case FrameKind.Ping:
    case FrameKind.Pong:
      return { kind }
    case FrameKind.Resume: return { kind, numbers: fields[1] as number[] }
    case FrameKind.Notice: return { kind, text: fields[1] as string }
    case FrameKind.Spread: {
      const [, tree, origin, number, hopsCount, text] = fields as [unknown, TreeNumber, string, number, number, string]
      return { kind, copy: { tree, origin, number, hopsCount, text } }
    }
    default: throw new RangeError(`unknown frame kind ${String(kind)}`)
  }
}

/** Splits the byte stream of a connection into frames. */
export class FrameReader {
  /** The start of an incomplete frame. */
  readonly #buffered = new BodyBuffer()
  #neededBytes = LENGTH_BYTES

  /** Returns the frames that are complete after this chunk. Throws if the bytes are not a valid frame. */
  read (chunk: Buffer): Frame[] {
    let bytes = chunk
    if (this.#buffered.lengthBytes > 0 || chunk.length < this.#neededBytes) {
      this.#buffered.append(chunk)
      if (this.#buffered.lengthBytes < this.#neededBytes) return []
      bytes = this.#buffered.take()
    }
    const frames: Frame[] = []
    let offset = 0
    this.#neededBytes = LENGTH_BYTES
    while (bytes.length - offset >= LENGTH_BYTES) {
      const length = bytes.readUInt32BE(offset)
      if (length > FRAME_MAX_BYTES) throw new RangeError(`frame of ${length} bytes`)
      const end = offset + LENGTH_BYTES + length
      if (end > bytes.length) {
        this.#neededBytes = LENGTH_BYTES + length
        break
      }
      frames.push(decodeFields(packr.unpack(bytes.subarray(offset + LENGTH_BYTES, end)) as unknown[]))
      offset = end
    }
    if (offset < bytes.length) this.#buffered.append(bytes.subarray(offset))
    return frames
  }
}
