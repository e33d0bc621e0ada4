import { Step, StepError } from '../errors/errors.js'

/** Bounds on what a peer may send on a connection besides the body of a message. */
export enum MessageLimit {
  /** Start line and header lines. */
  Head = 'head',
  /** The line with the size of a chunk, including its extensions. */
  ChunkSizeLine = 'chunk_size_line',
  /** All lines between the chunks of one body, relative to the bytes in the chunks. */
  ChunkFraming = 'chunk_framing',
  Trailers = 'trailers',
  Body = 'body',
  /** All bodies that are being received. */
  Bodies = 'bodies',
  /** Interim answers and answers to other requests that precede the answer to a request. */
  SkippedAnswers = 'skipped_answers',
  /** Bytes in the bodies of these answers. */
  SkippedBytes = 'skipped_bytes',
  /** All answers that are held because their peers do not take them. */
  UnreadAnswers = 'unread_answers',
  /** All connections and the heads that are being received on them. */
  Connections = 'connections',
  /** Time without a byte of a body that is being received, or without a byte taken of an answer. */
  StallTime = 'stall_time'
}

/**
 * A message exceeds a limit, so its connection is not read any further.
 *
 * @example
 * new MessageLimitError(MessageLimit.Head, 16_384).message // 'head above 16384 (step=read_message peer=)'
 */
export class MessageLimitError extends StepError {
  readonly limit: MessageLimit

  constructor (limit: MessageLimit, max: number) {
    super(Step.ReadMessage, '', `${limit} above ${max}`)
    this.name = 'MessageLimitError'
    this.limit = limit
  }
}

/** Is told of each connection that is closed because a peer exceeded a limit. */
export type LimitListener = (limit: MessageLimit) => void
