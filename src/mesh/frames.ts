import { Packr } from 'msgpackr'
import type { ServiceUsage } from '../core/chainAdmission/chainAdmissionTypes.js'
import type { LossReason, PlacedCall, PlacedResult, RefusalReason, ResultReport } from './meshTypes.js'

/** Messages between nodes. The numbers are part of the wire format. */
export enum FrameKind {
  Hello = 1,
  Call = 2,
  Cancel = 3,
  Answer = 4,
  Refusal = 5,
  Loss = 6,
  Ping = 7,
  Pong = 8,
  Resume = 9,
  NotReceived = 10,
  Notice = 11
}

/** Longest frame; a body of the greatest allowed size and its head fit. */
const FRAME_MAX_BYTES = 80 * 1024 * 1024
const LENGTH_BYTES = 4

export interface Hello {
  /** Differs for each start of a node's process. */
  readonly incarnation: string
  readonly ip: string
  readonly dataCentre: string
  readonly serviceName: string
}

export type Frame =
  | { readonly kind: FrameKind.Hello, readonly hello: Hello }
  | { readonly kind: FrameKind.Call, readonly number: number, readonly call: PlacedCall }
  | { readonly kind: FrameKind.Cancel, readonly number: number }
  | {
    readonly kind: FrameKind.Answer | FrameKind.Refusal | FrameKind.Loss
    readonly number: number
    readonly result: PlacedResult
    readonly report: ResultReport
  }
  | { readonly kind: FrameKind.Ping | FrameKind.Pong }
  | { readonly kind: FrameKind.Resume, readonly numbers: readonly number[] }
  | { readonly kind: FrameKind.NotReceived, readonly number: number }
  | { readonly kind: FrameKind.Notice, readonly text: string }

const packr = new Packr({ useRecords: false, moreTypes: false, encodeUndefinedAsNil: true })

const PER_MILLE = 1000

/** Load in four numbers, then three fields for each service that was used. */
function reportFields ({ load, usage }: ResultReport): unknown[] {
  const fields: unknown[] = [load.runningCount, load.queuedCount, load.limitCount, load.acceptsWork ? 1 : 0]
  for (const { serviceName, slotMs, utilizationRatio } of usage) {
    fields.push(serviceName, Math.round(slotMs), Math.round(utilizationRatio * PER_MILLE))
  }
  return fields
}

function resultFields (number: number, result: PlacedResult, report: ResultReport): unknown[] {
  switch (result.kind) {
    case 'answered':
      return [
        FrameKind.Answer, number, reportFields(report), result.statusCode, result.statusText, result.headerText,
        result.body, Math.round(result.servedMs),
        result.hasLength ? 1 : 0
      ]
    case 'not_run': return [FrameKind.Refusal, number, reportFields(report), result.reason, result.reachedBackend ? 1 : 0]
    case 'unknown': return [FrameKind.Loss, number, reportFields(report), result.reason]
  }
}

function fieldsOf (frame: Frame): unknown[] {
  switch (frame.kind) {
    case FrameKind.Hello: {
      const { incarnation, ip, dataCentre, serviceName } = frame.hello
      return [frame.kind, incarnation, ip, dataCentre, serviceName]
    }
    case FrameKind.Call: {
      const { call } = frame
      const { lineage } = call
      return [
        frame.kind, frame.number, call.serviceName, call.serverId, call.requestId, call.method, call.target,
        call.headerText, call.body, Math.floor(call.remainingMs), Math.floor(call.waitMaxMs), call.rank,
        call.isIdempotent ? 1 : 0, lineage.rootId, lineage.rootRoute, lineage.rootRank, lineage.depth,
        lineage.isRepeat ? 1 : 0
      ]
    }
    case FrameKind.Answer:
    case FrameKind.Refusal:
    case FrameKind.Loss:
      return resultFields(frame.number, frame.result, frame.report)
    case FrameKind.Cancel:
    case FrameKind.NotReceived:
      return [frame.kind, frame.number]
    case FrameKind.Ping:
    case FrameKind.Pong:
      return [frame.kind]
    case FrameKind.Resume: return [frame.kind, frame.numbers]
    case FrameKind.Notice: return [frame.kind, frame.text]
  }
}

/**
 * Bytes of a frame: its length in four bytes, then a MessagePack array.
 *
 * @example
 * socket.write(encodeFrame({ kind: FrameKind.Ping }))
 */
export function encodeFrame (frame: Frame): Buffer {
  const packed = packr.pack(fieldsOf(frame))
  const bytes = Buffer.allocUnsafe(LENGTH_BYTES + packed.length)
  bytes.writeUInt32BE(packed.length, 0)
  bytes.set(packed, LENGTH_BYTES)
  return bytes
}

function readReport (field: unknown): ResultReport {
  const fields = field as unknown[]
  const [runningCount, queuedCount, limitCount, acceptsWork] = fields as [number, number, number, number]
  const usage: ServiceUsage[] = []
  for (let at = 4; at + 2 < fields.length; at += 3) {
    const [serviceName, slotMs, perMille] = fields.slice(at, at + 3) as [string, number, number]
    usage.push({ serviceName, slotMs, utilizationRatio: perMille / PER_MILLE })
  }
  return { load: { runningCount, queuedCount, limitCount, acceptsWork: acceptsWork === 1 }, usage }
}

function readFrame (fields: readonly unknown[]): Frame {
  const kind = fields[0] as FrameKind
  switch (kind) {
    case FrameKind.Hello: {
      const [, incarnation, ip, dataCentre, serviceName] = fields as [unknown, string, string, string, string]
      return { kind, hello: { incarnation, ip, dataCentre, serviceName } }
    }
    case FrameKind.Call: {
      const [
        , number, serviceName, serverId, requestId, method, target, headerText, body, remainingMs, waitMaxMs, rank,
        safe, rootId, rootRoute, rootRank, depth, repeat
      ] = fields as [
        unknown, number, string, string, string, string, string, string, Buffer, number, number, number, number,
        string, string, number, number, number
      ]
      return {
        kind,
        number,
        call: {
          serviceName,
          serverId,
          requestId,
          method,
          target,
          headerText,
          body,
          remainingMs,
          waitMaxMs,
          rank,
          isIdempotent: safe === 1,
          lineage: { rootId, rootRoute, rootRank, depth, isRepeat: repeat === 1 }
        }
      }
    }
    case FrameKind.Answer: {
      const [, number, report, statusCode, statusText, headerText, body, servedMs, length] =
        fields as [unknown, number, unknown, number, string, string, Buffer, number, number]
      return {
        kind,
        number,
        report: readReport(report),
        result: {
          kind: 'answered', statusCode, statusText, headerText, body, servedMs, hasLength: length === 1
        }
      }
    }
    case FrameKind.Refusal: {
      const [, number, report, reason, reached] = fields as [unknown, number, unknown, RefusalReason, number]
      return { kind, number, report: readReport(report), result: { kind: 'not_run', reason, reachedBackend: reached === 1 } }
    }
    case FrameKind.Loss: {
      const [, number, report, reason] = fields as [unknown, number, unknown, LossReason]
      return { kind, number, report: readReport(report), result: { kind: 'unknown', reason } }
    }
    case FrameKind.Cancel:
    case FrameKind.NotReceived:
      return { kind, number: fields[1] as number }
    case FrameKind.Ping:
    case FrameKind.Pong:
      return { kind }
    case FrameKind.Resume: return { kind, numbers: fields[1] as number[] }
    case FrameKind.Notice: return { kind, text: fields[1] as string }
    default: throw new RangeError(`unknown frame kind ${String(kind)}`)
  }
}

/** Cuts the bytes of a connection into frames. */
export class FrameReader {
  #rest: Buffer = Buffer.alloc(0)
  #chunks: Buffer[] = []
  #bytes = 0
  #neededBytes = LENGTH_BYTES

  /** Frames that are whole after these bytes. Throws for bytes that are no frame. */
  read (chunk: Buffer): Frame[] {
    this.#chunks.push(chunk)
    this.#bytes += chunk.length
    if (this.#bytes < this.#neededBytes) return []
    const bytes = this.#chunks.length === 1 ? chunk : Buffer.concat(this.#chunks, this.#bytes)
    const frames: Frame[] = []
    let at = 0
    this.#neededBytes = LENGTH_BYTES
    while (bytes.length - at >= LENGTH_BYTES) {
      const length = bytes.readUInt32BE(at)
      if (length > FRAME_MAX_BYTES) throw new RangeError(`frame of ${length} bytes`)
      const end = at + LENGTH_BYTES + length
      if (end > bytes.length) {
        this.#neededBytes = LENGTH_BYTES + length
        break
      }
      frames.push(readFrame(packr.unpack(bytes.subarray(at + LENGTH_BYTES, end)) as unknown[]))
      at = end
    }
    this.#rest = bytes.subarray(at)
    this.#chunks = this.#rest.length === 0 ? [] : [this.#rest]
    this.#bytes = this.#rest.length
    return frames
  }
}
